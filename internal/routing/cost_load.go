package routing

import "time"

// loadCost is the expected wait for a slot and for the status round that a read
// on the candidate needs.
func loadCost(_ *Read, c *Candidate) time.Duration {
	return c.QueueWait + c.ConfirmTime
}

// primaryCost keeps the slots of the primary for writes, which nobody else can
// serve.
func primaryCost(_ *Read, c *Candidate) time.Duration {
	if !c.Primary {
		return 0
	}
	return primaryReserve
}

// primaryReserve is the cost of a read on the primary.
const primaryReserve = 8 * time.Millisecond
