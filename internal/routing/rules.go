package routing

// isEligible reports whether the candidate may serve the read, apart from its position and
// the age of its data. No cost outweighs these rules.
func isEligible(r *Read, c *Candidate) bool {
	if c.Drained || !c.Reachable {
		return false
	}
	if c.Primary {
		return true
	}
	return c.Valid && !r.Policy.PrimaryOnly
}

// isCurrent reports whether the data of an eligible candidate is fresh enough for the read
// now.
func isCurrent(r *Read, b freshnessBound, c *Candidate) bool {
	if c.Primary {
		return true
	}
	if b.needsPosition && !c.Applied.Covers(r.Seen) {
		return false
	}
	return b.maxAge == 0 || c.Age <= b.maxAge
}
