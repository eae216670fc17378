package routing

import "time"

// distanceCost is the network round trip to the candidate.
func distanceCost(_ *Read, c *Candidate) time.Duration {
	return c.RoundTrip
}

// domainCost prefers the read's own failure domain among otherwise equal candidates,
// because it still works if the domain is cut off from the others.
func domainCost(r *Read, c *Candidate) time.Duration {
	if c.FailureDomain == r.FailureDomain {
		return 0
	}
	return crossDomainPenalty
}

// crossDomainPenalty is the cost of a read in another failure domain.
const crossDomainPenalty = 500 * time.Microsecond
