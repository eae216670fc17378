package routing

import "time"

// ageCostShift makes the cost 1/256 of the age.
const ageCostShift = 8

// maxAgeCost is the upper bound of the cost of age.
const maxAgeCost = 2 * time.Millisecond

// ageCost is a small cost that prefers the candidate with the freshest data among
// otherwise equal ones.
func ageCost(_ *Read, c *Candidate) time.Duration {
	if c.Primary {
		return 0
	}
	return min(c.Age>>ageCostShift, maxAgeCost)
}
