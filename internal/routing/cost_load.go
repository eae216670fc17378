package routing

import "time"

// loadCost is the expected wait for a slot and for the status round that a read on the
// candidate needs.
func loadCost(_ *Read, c *Candidate) time.Duration {
	return c.QueueWait + c.ConfirmTime
}

// primaryCost reserves the slots of the primary for writes, which no other instance can
// serve.
func primaryCost(_ *Read, c *Candidate) time.Duration {
	if !c.Primary {
		return 0
	}
	return primaryPenalty
}

// primaryPenalty is the additional cost of a read on the primary.
const primaryPenalty = 8 * time.Millisecond
