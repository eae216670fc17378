package group

import (
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// rules holds the predicates that make a group safe. Tests replace one at a time to
// verify that each is necessary.
type rules struct {
	// acknowledges reports whether an instance with status s acknowledges p.
	acknowledges func(s target.Status, p position.Position) bool
	// compareLogs orders logs by their last entries when a new primary is chosen.
	compareLogs func(a, b position.Position) int
	// isValidReplica reports whether a read on an instance with status s returns
	// only data that survives any promotion.
	isValidReplica func(s target.Status) bool
	// mayResolve reports whether the outcome of a request may be read from a
	// primary, given whether the primary's term is open.
	mayResolve func(open bool) bool
}

var safeRules = rules{
	acknowledges:   Acknowledges,
	compareLogs:    position.Position.Compare,
	isValidReplica: isValidReplica,
	mayResolve:     requireOpenTerm,
}

// Acknowledges reports whether an instance with status s counts towards the
// majority that confirms p. The instance must be fenced at the term of p, must have
// joined that term, and must hold an entry of that term at or after p. A longer log
// of another term does not count: its tail may have been written by an old primary
// and may be truncated.
func Acknowledges(s target.Status, p position.Position) bool {
	if s.Fence != p.Term || s.Joined != p.Term {
		return false
	}
	return s.Last.Term == p.Term && s.Last.Index >= p.Index
}

// requireOpenTerm allows resolution only by a primary whose term is open.
func requireOpenTerm(open bool) bool {
	return open
}

// tally collects the members that acknowledge one position.
type tally struct {
	position position.Position
	// acknowledged holds the members that acknowledged the position in any status
	// read after the batch.
	acknowledged memberSet
	// fenced holds the members that were fenced at a later term.
	fenced memberSet
	// superseded is true once an entry of a later term was observed: a majority
	// was fenced before that entry was written.
	superseded bool
}

// add records a status of one member that was read after the batch.
func (t *tally) add(r *rules, member int, s target.Status) {
	if r.acknowledges(s, t.position) {
		t.acknowledged = t.acknowledged.with(member)
	}
	if s.Fence > t.position.Term {
		t.fenced = t.fenced.with(member)
	}
	t.superseded = t.superseded || s.Last.Term > t.position.Term
}

// verdict returns the verdict on the position in a group of n members.
func (t *tally) verdict(n int) Verdict {
	majority := n/2 + 1
	if t.acknowledged.size() >= majority {
		return Confirmed
	}
	if t.superseded {
		return Deposed
	}
	// A member that acknowledged before it was fenced still counts.
	unavailable := t.fenced &^ t.acknowledged
	if n-unavailable.size() < majority {
		return Deposed
	}
	return Waiting
}

// Verdict is the state of a batch with respect to its confirmation.
type Verdict uint8

// The verdicts on a batch.
const (
	// Waiting means that statuses of more instances are needed.
	Waiting Verdict = iota
	// Confirmed means that the batch survives any promotion and that its primary
	// was the valid one when it answered.
	Confirmed
	// Deposed means that the batch can no longer be confirmed. Its outcome is
	// unknown unless it was read-only.
	Deposed
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Confirmed:
		return "confirmed"
	case Deposed:
		return "deposed"
	default:
		return "waiting"
	}
}
