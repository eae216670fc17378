package routing

import "time"

// MaxWait is the longest wait for a replica to apply what a read needs.
const MaxWait = 150 * time.Millisecond

// minWait is the shortest wait. A shorter one would end before the next status of the
// replica.
const minWait = time.Millisecond

// waitCost estimates how long a replica takes to apply what the read needs. It returns
// false if the time is unknown, exceeds MaxWait or ends after the read's deadline.
//
// The estimate assumes that a replica applies an entry its usual lag after the entry was
// confirmed.
func waitCost(r *Read, b freshnessBound, c *Candidate) (time.Duration, bool) {
	if c.Lag <= 0 {
		return 0, false
	}
	wait := minWait
	if b.needsPosition && !c.Applied.Covers(r.Seen) {
		wait = max(wait, positionWait(r, c))
	}
	if b.maxAge > 0 && c.Age > b.maxAge {
		if !b.fromSession && c.Lag > b.maxAge {
			return 0, false
		}
		wait = max(wait, r.NextConfirmationIn+c.Lag)
	}
	if wait > MaxWait {
		return 0, false
	}
	if r.Remaining > 0 && wait+c.RoundTrip+c.QueueWait >= r.Remaining {
		return 0, false
	}
	return wait, true
}

// positionWait estimates the time until the replica covers Read.Seen. It is the
// rest of the replica's usual lag. A replica that is later than usual is given another
// quarter of its usual lag each time.
func positionWait(r *Read, c *Candidate) time.Duration {
	return max(c.Lag-r.SeenAge, c.Lag/4)
}
