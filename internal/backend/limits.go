package backend

// Limits on the connections to a target. The homes of a group, one per failure domain,
// share the connection cap of a target evenly. A part of the cap stays unused: the target
// counts the connections of a daemon that lost power for seconds after its successor has
// started.
const (
	// freeShareDivisor is the inverse of the part of the cap that stays unused.
	freeShareDivisor = 7
	// localExtraConnections is added to the slots of a replica in the failure domain of
	// the home, and remoteExtraConnections to half of the slots of another one, to get
	// the connections that the home may open: transactions pin some of them.
	localExtraConnections  = 3
	remoteExtraConnections = 1
	// minConnectionLimit is the least number of connections that a home may open to a
	// target.
	minConnectionLimit = 2
)

// connectionLimits returns the number of connections that a home keeps open to a target
// and the number that it may open. domains is the number of failure domains with homes;
// distance is 0 for a target in the failure domain of the home.
func connectionLimits(maxConnections, slots, domains, distance int, primary bool) (base, limit int) {
	share := homeShare(maxConnections, domains)
	switch {
	case primary:
		limit = share
	case distance == 0:
		limit = min(share, slots+localExtraConnections)
	default:
		limit = min(share, (slots+1)/2+remoteExtraConnections)
	}
	return 1, max(minConnectionLimit, limit)
}

// homeShare returns the connections to a target that one of the homes of all failure domains
// may open.
func homeShare(maxConnections, domains int) int {
	return (maxConnections - maxConnections/freeShareDivisor) / max(domains, 1)
}

// tenantConnectionLimits is connectionLimits for a deployment with tenants. There a
// connection serves one tenant only, so that many are idle, and every target gets the full
// share.
func tenantConnectionLimits(maxConnections, domains int) (base, limit int) {
	return 1, max(minConnectionLimit, homeShare(maxConnections, domains))
}

// Limits on the statements that one home runs on a target at once. They cover the slots
// and the round trip. Further statements wait at the home, which orders them by deadline
// and serves statements of open transactions first.
const (
	// sameRegionExtraStatements is added to the slots of a target in the region of the
	// home.
	sameRegionExtraStatements = 1
	// otherRegionStatementFactor multiplies the slots of a target in another region,
	// where a round trip takes longer than the statement.
	otherRegionStatementFactor = 2
)

// statementLimit returns the number of statements that a home may run on a target at
// once.
func statementLimit(slots, distance int) int {
	if distance == farDistance {
		return otherRegionStatementFactor * slots
	}
	return slots + sameRegionExtraStatements
}
