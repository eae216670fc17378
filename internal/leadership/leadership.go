// Package leadership decides which target of a group is the rightful primary and
// when another has to be promoted. It is pure: times are arguments.
//
// A promotion to term T is preceded by a hold at T on every replica, and the one
// that is promoted shows the hold or its new term from then on. So an answer of the
// primary of term T-1 counts if all replicas, asked after that answer, show neither
// a hold nor a term above T-1. A single replica proves nothing: the promotion of
// another releases its hold before it has joined the new term.
package leadership

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Observation is one target as a daemon sees it at one moment.
type Observation struct {
	ID string
	// Draining says that the target takes no new work soon.
	Draining bool
	// Reached says that Status was read just now.
	Reached bool
	// Refused says that the target refuses connections: no process runs there.
	Refused bool
	Status  query.TargetStatus
	// FailingFor is the time since the target was last heard of.
	FailingFor time.Duration
}

// Leader is the rightful primary of a term.
type Leader struct {
	ID   string
	Term position.Term
}

// HighestTerm returns the highest term that a target has joined or holds.
func HighestTerm(targets []Observation) position.Term {
	var highest position.Term
	for _, t := range targets {
		if t.Reached {
			highest = max(highest, t.Status.Term, t.Status.Held)
		}
	}
	return highest
}

// JoinedTerm returns the highest term that a target has joined.
func JoinedTerm(targets []Observation) position.Term {
	var highest position.Term
	for _, t := range targets {
		if t.Reached {
			highest = max(highest, t.Status.Term)
		}
	}
	return highest
}

// FindLeader returns the primary of the highest term that is known, if a target
// leads it. known is the highest term that the daemon has ever seen.
func FindLeader(targets []Observation, known position.Term) (Leader, bool) {
	highest := max(known, HighestTerm(targets))
	for _, t := range targets {
		if t.Reached && t.Status.Primary && t.Status.Term == highest {
			return Leader{ID: t.ID, Term: t.Status.Term}, true
		}
	}
	return Leader{}, false
}

// Reason says why a promotion is needed.
type Reason string

// The reasons of a promotion.
const (
	NotNeeded          Reason = ""
	PrimaryLeaving     Reason = "primary_leaving"
	PrimaryUnreachable Reason = "primary_unreachable"
	PrimaryUnlisted    Reason = "primary_unlisted"
	PromotionStalled   Reason = "promotion_stalled"
	NoPrimaryFound     Reason = "no_primary"
	Requested          Reason = "demanded"
)

// Policy holds the times after which a promotion is due.
type Policy struct {
	// SilentAfter is how long a primary may give no sign of life.
	SilentAfter time.Duration
	// RefusedAfter is how long a primary may refuse connections.
	RefusedAfter time.Duration
	// LeaderlessAfter is how long a group may have no primary while a promotion
	// seems to be under way.
	LeaderlessAfter time.Duration
}

// DefaultPolicy bounds the gap of a failover. A promotion that begins is withdrawn
// if the primary is back when the permits have run out, so it begins early.
// SilentAfter covers a round trip between regions and a queue before the slots.
var DefaultPolicy = Policy{
	SilentAfter:     400 * time.Millisecond,
	RefusedAfter:    100 * time.Millisecond,
	LeaderlessAfter: 1500 * time.Millisecond,
}

// PromotionDue tells whether a promotion is needed. last is the leader that was known last,
// leaderless the time since it was found to lead no more.
func PromotionDue(targets []Observation, last Leader, known position.Term, leaderless time.Duration, p Policy) Reason {
	if l, ok := FindLeader(targets, known); ok {
		for _, t := range targets {
			if t.ID == l.ID && t.Draining {
				return PrimaryLeaving
			}
		}
		return NotNeeded
	}
	if known > last.Term || last.ID == "" {
		return dueIf(leaderless >= p.LeaderlessAfter, PromotionStalled)
	}
	for _, t := range targets {
		if t.ID != last.ID {
			continue
		}
		switch {
		case t.Reached:
			return dueIf(leaderless >= p.LeaderlessAfter, NoPrimaryFound)
		case t.Refused:
			return dueIf(t.FailingFor >= p.RefusedAfter, PrimaryUnreachable)
		default:
			return dueIf(t.FailingFor >= p.SilentAfter, PrimaryUnreachable)
		}
	}
	return PrimaryUnlisted
}

func dueIf(due bool, r Reason) Reason {
	if due {
		return r
	}
	return NotNeeded
}

// SelectCandidate returns the target to promote: of those that were held or reached and
// stay, the one with the longest log. Equal logs are told apart by prefer.
func SelectCandidate(targets []Observation, except map[string]bool, prefer func(a, b string) bool) (string, bool) {
	best := -1
	for i, t := range targets {
		if !t.Reached || t.Draining || except[t.ID] {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		switch c := t.Status.Received.Compare(targets[best].Status.Received); {
		case c > 0, c == 0 && prefer(t.ID, targets[best].ID):
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return targets[best].ID, true
}

// HoldsSuffice reports whether the replicas are held well enough to promote one:
// every target but the old primary shows a hold at the new term, or runs no process
// that could answer. Of those that run none there must be fewer than the replicas
// that receive a commit before it is acknowledged: an acknowledged commit is then on
// one that is held.
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
