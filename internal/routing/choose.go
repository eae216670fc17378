package routing

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Choose returns the candidate that serves a read. It prefers candidates in the read's own
// region, then the lowest cost, and the first one among equals. It does not retain its
// arguments.
func Choose(r *Read, candidates []Candidate) Decision {
	b := freshnessBoundOf(r)
	best := Decision{Index: -1}
	var bestCost time.Duration
	primaryKnown := false
	for i := range candidates {
		c := &candidates[i]
		if !isEligible(r, c) {
			continue
		}
		primaryKnown = primaryKnown || c.Primary
		wait := time.Duration(0)
		if !isCurrent(r, b, c) {
			var ok bool
			if wait, ok = waitCost(r, b, c); !ok {
				continue
			}
		}
		d := Decision{Index: i, Wait: wait, CrossRegion: crossesRegion(r, c)}
		total := wait + totalCost(r, c)
		if best.Index < 0 || isBetter(d, total, best, bestCost) {
			best, bestCost = d, total
		}
	}
	if best.Index < 0 {
		best.Reason = refusalReason(primaryKnown)
	}
	return best
}

// isBetter reports whether decision d with the given cost is better than best.
func isBetter(d Decision, cost time.Duration, best Decision, bestCost time.Duration) bool {
	if d.CrossRegion != best.CrossRegion {
		return !d.CrossRegion
	}
	return cost < bestCost
}

// totalCost returns the sum of all costs of a candidate.
func totalCost(r *Read, c *Candidate) time.Duration {
	return distanceCost(r, c) +
		domainCost(r, c) +
		regionCost(r, c) +
		loadCost(r, c) +
		primaryCost(r, c) +
		ageCost(r, c)
}

// refusalReason returns the reason why no candidate may serve a read.
func refusalReason(primaryKnown bool) outcome.Reason {
	if primaryKnown {
		return outcome.NoReplica
	}
	return outcome.NoPrimary
}
