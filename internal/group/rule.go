package group

import (
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// rules are the conditions that the safety of a group rests on. Tests
// replace one at a time to see that each is needed.
type rules struct {
	// counts reports whether an instance counts towards the confirmation of p.
	counts func(s target.Status, p position.Position) bool
	// compare orders logs by their last entry for the choice of a new primary.
	compare func(a, b position.Position) int
	// shows reports whether a read on a replica with status s shows only what
	// outlasts any promotion.
	shows func(s target.Status) bool
	// mayJudge reports whether a primary of a term later than a request's own
	// may be asked what became of the request.
	mayJudge func(open bool) bool
}

var safeRules = rules{
	counts:   Acknowledges,
	compare:  position.Position.Compare,
	shows:    showsConfirmed,
	mayJudge: openOnly,
}

// Acknowledges reports whether an instance with status s counts towards the
// confirmation of p. It must still stand at the term of p, have joined it, and
// hold an entry of that term at or after p. A longer log of another term does
// not count: its entries may be a leftover of an older primary.
func Acknowledges(s target.Status, p position.Position) bool {
	if s.Fence != p.Term || s.Joined != p.Term {
		return false
	}
	return s.Last.Term == p.Term && s.Last.Index >= p.Index
}

func openOnly(open bool) bool {
	return open
}

// tally counts the instances that were seen to hold one position.
type tally struct {
	position position.Position
	// seen holds the members that counted at some moment after the batch.
	seen memberSet
	// fenced holds the members that left the term.
	fenced memberSet
	// succeeded says that an entry of a later term was seen: a majority had been
	// fenced before it was written.
	succeeded bool
}

// add enters the status of one member, read after the batch.
func (t *tally) add(r *rules, member int, s target.Status) {
	if r.counts(s, t.position) {
		t.seen = t.seen.with(member)
	}
	if s.Fence > t.position.Term {
		t.fenced = t.fenced.with(member)
	}
	t.succeeded = t.succeeded || s.Last.Term > t.position.Term
}

// verdict judges the tally in a group of n members.
func (t *tally) verdict(n int) Verdict {
	majority := n/2 + 1
	if t.seen.size() >= majority {
		return Confirmed
	}
	if t.succeeded {
		return Deposed
	}
	// A member that counted before it left the term stays counted.
	lost := t.fenced &^ t.seen
	if n-lost.size() < majority {
		return Deposed
	}
	return Waiting
}

// Verdict says how a batch stands.
type Verdict uint8

// The verdicts on a batch.
const (
	// Waiting means that more instances must be asked.
	Waiting Verdict = iota
	// Confirmed means that the batch outlasts any promotion and that its primary
	// was rightful when it answered.
	Confirmed
	// Deposed means that the batch can't be confirmed any more. Its outcome is
	// unknown, unless it wrote nothing.
	Deposed
)

// String names the verdict.
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
