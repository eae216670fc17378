// Package leadership decides which target of a group is the valid primary, when
// another one has to be promoted, and which. It does no I/O and reads no clock: times
// are arguments.
//
// Before a promotion to term T, every replica is held at T. From then on the replica
// that is promoted reports the hold or its new term. An answer of the primary of term
// T-1 is therefore valid if all replicas, queried after that answer, report neither a
// hold nor a term above T-1. One replica is not enough: the promotion of another
// releases its hold before it has joined the new term.
package leadership

import (
	"errors"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Observation is what a daemon knows of one target at one moment.
type Observation struct {
	ID string
	// Draining reports whether the target is about to stop accepting new work.
	Draining bool
	// Reached reports whether the target answered; only then is Status valid.
	Reached bool
	// Refused reports whether the target refuses connections, which means that no
	// process runs there.
	Refused bool
	Status  query.TargetStatus
	// FailingFor is the time for which the target has failed or been silent; 0 if it
	// answered last.
	FailingFor time.Duration
}

// Leader is the valid primary of a term.
type Leader struct {
	ID   string
	Term position.Term
}

// HighestTerm returns the highest term that a reached target has joined or is held at.
func HighestTerm(targets []Observation) position.Term {
	var highest position.Term
	for _, t := range targets {
		if t.Reached {
			highest = max(highest, t.Status.Term, t.Status.Held)
		}
	}
	return highest
}

// JoinedTerm returns the highest term that a reached target has joined.
func JoinedTerm(targets []Observation) position.Term {
	var highest position.Term
	for _, t := range targets {
		if t.Reached {
			highest = max(highest, t.Status.Term)
		}
	}
	return highest
}

// FindLeader returns the primary of the highest known term. It reports false if no
// reached target is primary of that term. known is the highest term that the daemon has
// ever seen.
func FindLeader(targets []Observation, known position.Term) (Leader, bool) {
	highest := max(known, HighestTerm(targets))
	for _, t := range targets {
		if t.Reached && t.Status.Primary && t.Status.Term == highest {
			return Leader{ID: t.ID, Term: t.Status.Term}, true
		}
	}
	return Leader{}, false
}

// PromoteCall is what the record of the promotion lock tells of the promote calls for a
// group.
type PromoteCall struct {
	// Term is the highest term to which a call may have led; 0 if there was none.
	Term position.Term
	// Target is the target of the last call, empty if it is not known.
	Target string
	// End is the end of the log with which Target was called, zero if it is not known. The
	// promotion rolled back what other targets had after it.
	End position.Position
}

// PresentTerm returns the newest term that may have a primary after the given call. A called
// target that answers and has not joined the term shows that the call has had no effect. One
// that does not answer, or that has left the list, may lead the term or have led it.
func (c PromoteCall) PresentTerm(targets []Observation) position.Term {
	for _, t := range targets {
		if t.ID == c.Target && t.Reached && t.Status.Term < c.Term {
			return c.Term - 1
		}
	}
	return c.Term
}

// KeepsRolledBack reports whether the log of a target that has not joined the term of the call
// may end in commits that the promotion to that term has rolled back.
func (c PromoteCall) KeepsRolledBack(t Observation) bool {
	return c.End.IsZero() || t.Status.Received.Compare(c.End) > 0
}

// Reason is the reason for a promotion.
type Reason string

// Reasons for a promotion.
const (
	NotNeeded          Reason = ""
	PrimaryLeaving     Reason = "primary_leaving"
	PrimaryUnreachable Reason = "primary_unreachable"
	PrimaryUnlisted    Reason = "primary_unlisted"
	PromotionStalled   Reason = "promotion_stalled"
	NoPrimaryFound     Reason = "no_primary"
	Requested          Reason = "demanded"
)

// Policy holds the delays after which a promotion is due.
type Policy struct {
	// SilentAfter is how long a primary may leave requests unanswered.
	SilentAfter time.Duration
	// RefusedAfter is how long a primary may refuse connections.
	RefusedAfter time.Duration
	// LeaderlessAfter is how long a group may have no primary while a promotion
	// appears to be in progress.
	LeaderlessAfter time.Duration
}

// DefaultPolicy keeps failovers short. The delays can be short because a promotion is
// withdrawn if the primary has recovered by the time that the primary leases expire.
// SilentAfter covers a round trip between regions and a queue for the target's slots.
var DefaultPolicy = Policy{
	SilentAfter:     400 * time.Millisecond,
	RefusedAfter:    100 * time.Millisecond,
	LeaderlessAfter: 1500 * time.Millisecond,
}

// PromotionDue returns the reason why a promotion is due, or NotNeeded. last is the last
// known leader, leaderlessFor the time since it was found not to lead any more.
func PromotionDue(targets []Observation, last Leader, known position.Term, leaderlessFor time.Duration, p Policy) Reason {
	if l, ok := FindLeader(targets, known); ok {
		for _, t := range targets {
			if t.ID == l.ID && t.Draining {
				return PrimaryLeaving
			}
		}
		return NotNeeded
	}
	if known > last.Term || last.ID == "" {
		return reasonIf(leaderlessFor >= p.LeaderlessAfter, PromotionStalled)
	}
	for _, t := range targets {
		if t.ID != last.ID {
			continue
		}
		switch {
		case t.Reached:
			return reasonIf(leaderlessFor >= p.LeaderlessAfter, NoPrimaryFound)
		case t.Refused:
			return reasonIf(t.FailingFor >= p.RefusedAfter, PrimaryUnreachable)
		default:
			return reasonIf(t.FailingFor >= p.SilentAfter, PrimaryUnreachable)
		}
	}
	return PrimaryUnlisted
}

// reasonIf returns r if due, NotNeeded otherwise.
func reasonIf(due bool, r Reason) Reason {
	if due {
		return r
	}
	return NotNeeded
}

// ErrNoSuccessor means that no target in reach has joined the term that is to be replaced.
var ErrNoSuccessor = errors.New("no target in reach has joined the present term")

// Candidates are the targets of which one is promoted.
type Candidates struct {
	// Targets are the held targets.
	Targets []Observation
	// Except names targets that must not be promoted.
	Except map[string]bool
	// SyncReplicas is the number of replicas that receive a commit before it is acknowledged.
	SyncReplicas int
	// Prefer reports whether x is preferred to y, which has the same log; nil if neither is.
	Prefer func(x, y string) bool
}

// Select returns the ID of the target to promote: among those that were reached and are not
// excepted, the one that has joined the latest term, and among these the
// one with the longest log. The log of a target that has not joined a term may end in commits
// that the promotion to that term has rolled back.
//
// Draining targets are passed over, unless commits are acknowledged only after replicas
// received them: then a draining target may be the only one that has them, and is passed over
// only for one with the same log. Select reports false if there is no target.
func (c Candidates) Select() (string, bool) {
	best := -1
	for i, t := range c.Targets {
		if !t.Reached || c.Except[t.ID] || t.Draining && c.SyncReplicas == 0 {
			continue
		}
		if best < 0 || c.better(t, c.Targets[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return c.Targets[best].ID, true
}

// better reports whether x is to be promoted rather than y.
func (c Candidates) better(x, y Observation) bool {
	order := x.Status.Received.Compare(y.Status.Received)
	switch {
	case x.Status.Term != y.Status.Term:
		return x.Status.Term > y.Status.Term
	case order != 0:
		return order > 0
	case x.Draining != y.Draining:
		return y.Draining
	default:
		return c.Prefer != nil && c.Prefer(x.ID, y.ID)
	}
}

// PrimariesOf returns the IDs of the targets that lead the given term or a later one.
func PrimariesOf(targets []Observation, term position.Term) map[string]bool {
	ids := map[string]bool{}
	for _, t := range targets {
		if t.Reached && t.Status.Primary && t.Status.Term >= term {
			ids[t.ID] = true
		}
	}
	return ids
}

// HoldsSuffice reports whether enough replicas are held to promote one: every target
// except the old primary reports a hold at the new term or that term itself, or runs no
// process. If commits are acknowledged only after syncReplicas replicas received them,
// fewer than syncReplicas may run no process, so that a held replica has every
// acknowledged commit.
func HoldsSuffice(targets []Observation, old string, term position.Term, syncReplicas int) bool {
	held, missing := 0, 0
	for _, t := range targets {
		switch {
		case t.ID == old:
		case t.Reached && (t.Status.Held >= term || t.Status.Term >= term):
			held++
		case t.Reached, !t.Refused:
			return false
		default:
			missing++
		}
	}
	return held > 0 && (syncReplicas == 0 || missing < syncReplicas)
}
