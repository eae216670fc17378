package routing

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Choose returns where a read goes. A candidate of the read's own region comes
// before any other, and then the least cost decides; of equals the first wins.
// Choose keeps nothing of its arguments.
func Choose(r *Read, candidates []Candidate) Decision {
	a := accepts(r)
	best := Decision{Index: -1}
	var bestCost time.Duration
	known := false
	for i := range candidates {
		c := &candidates[i]
		if !allowed(r, c) {
			continue
		}
		known = known || c.Primary
		wait := time.Duration(0)
		if !current(r, a, c) {
			var ok bool
			if wait, ok = waitCost(r, a, c); !ok {
				continue
			}
		}
		d := Decision{Index: i, Wait: wait, CrossRegion: remote(r, c)}
		total := wait + cost(r, c)
		if best.Index < 0 || better(d, total, best, bestCost) {
			best, bestCost = d, total
		}
	}
	if best.Index < 0 {
		best.Reason = refusal(known)
	}
	return best
}

// better reports whether decision d beats the best so far.
func better(d Decision, cost time.Duration, best Decision, bestCost time.Duration) bool {
	if d.CrossRegion != best.CrossRegion {
		return !d.CrossRegion
	}
	return cost < bestCost
}

// cost adds the factors of one candidate.
func cost(r *Read, c *Candidate) time.Duration {
	return distanceCost(r, c) +
		domainCost(r, c) +
		regionCost(r, c) +
		loadCost(r, c) +
		primaryCost(r, c) +
		ageCost(r, c)
}

// refusal says why no candidate may serve a read.
func refusal(primaryKnown bool) outcome.Reason {
	if primaryKnown {
		return outcome.NoReplica
	}
	return outcome.NoPrimary
}
