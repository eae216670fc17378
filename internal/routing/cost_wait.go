package routing

import "time"

// MaxWait is the longest wait for a replica that is almost there.
const MaxWait = 150 * time.Millisecond

// waitStep is the least wait: a shorter one ends before the next status.
const waitStep = time.Millisecond

// waitCost estimates how long a replica takes to hold what the read needs. It is
// false if that is not known, too long, or past the deadline.
//
// A replica applies an entry its usual lag after the confirmation.
func waitCost(r *Read, a acceptance, c *Candidate) (time.Duration, bool) {
	if c.Lag <= 0 {
		return 0, false
	}
	wait := waitStep
	if a.position && !c.Applied.Covers(r.Seen) {
		wait = max(wait, positionWait(r, c))
	}
	if a.age > 0 && c.Age > a.age {
		if !a.session && c.Lag > a.age {
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

// positionWait estimates the time until the replica covers Read.Seen. A replica
// that is later than usual is given a quarter of its usual lag at a time.
func positionWait(r *Read, c *Candidate) time.Duration {
	return max(c.Lag-r.SeenAge, c.Lag/4)
}
