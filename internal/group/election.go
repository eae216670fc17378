package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Instance describes a member of a group for the ranking of failure domains.
type Instance struct {
	Target        string
	FailureDomain string
	// Reachable reports whether the instance has answered recently.
	Reachable bool
	// Last is the position of the last entry in the instance's log.
	Last position.Position
}

// ElectionStep is the difference in promotion delay between consecutive ranks.
const ElectionStep = 150 * time.Millisecond

// maxElectionJitter is the upper bound of the random part of a promotion delay.
const maxElectionJitter = 20 * time.Millisecond

// ElectionRank returns the rank of a failure domain among the domains of the group.
// The home of the domain with rank 0 promotes first. Domains with a reachable
// instance whose log is at most maxEntryLag entries behind the most advanced one
// rank before the others. Within both classes domains rank in the order of
// instances, which must be the same in all homes. Callers pass the operator's order of the
// targets, in which domains close to the store and to each other come first. A
// domain without an instance ranks last.
func ElectionRank(domain string, instances []Instance) int {
	var furthest position.Position
	for _, p := range instances {
		if p.Reachable {
			furthest = position.Max(furthest, p.Last)
		}
	}
	var upToDate, lagging []string
	for _, p := range instances {
		if p.Reachable && nearlyCaughtUp(p.Last, furthest) {
			upToDate = append(upToDate, p.FailureDomain)
			continue
		}
		lagging = append(lagging, p.FailureDomain)
	}
	rank := 0
	ordered := append(upToDate, lagging...)
	for i, d := range ordered {
		if d == domain {
			return rank
		}
		if !slices.Contains(ordered[:i], d) {
			rank++
		}
	}
	return rank
}

// nearlyCaughtUp reports whether a log that ends at last is at most maxEntryLag
// entries behind furthest in the same term, so that the missing entries may still be
// in transit.
func nearlyCaughtUp(last, furthest position.Position) bool {
	return last.Term == furthest.Term && last.Index+maxEntryLag >= furthest.Index
}

// ElectionDelay returns how long the home of a domain with the given rank waits
// after it suspects the primary before it starts a promotion. The seed determines
// the jitter, which separates homes of equal rank.
func ElectionDelay(rank int, seed uint64) time.Duration {
	r := rand.New(rand.NewPCG(seed, uint64(rank)))
	return time.Duration(rank)*ElectionStep + time.Duration(r.Int64N(int64(maxElectionJitter)))
}
