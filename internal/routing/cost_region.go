package routing

import "time"

// regionBytesPerSecond is the capacity of the network between regions, 30 Mbit/s.
const regionBytesPerSecond = 30_000_000 / 8

// regionCost is the time that the transfer of the answer takes on the network between
// regions. That candidates in the read's own region come first is a rule of Choose and not
// part of this cost.
func regionCost(r *Read, c *Candidate) time.Duration {
	if !crossesRegion(r, c) {
		return 0
	}
	return time.Duration(r.AnswerBytes) * time.Second / regionBytesPerSecond
}

// crossesRegion reports whether the answer would be sent from another region.
func crossesRegion(r *Read, c *Candidate) bool {
	return c.Region != r.Region
}
