package home

import (
	"github.com/laburnumrack/laburnumrack/internal/configuration"
)

// Share is the part of a target's slots and connections that one home may use.
type Share struct {
	// Slots is how many units of work may run at once.
	Slots int
	// Connections is the connection limit, the control connection included.
	Connections int
}

// controlConnections is how many connections of a share are reserved for control.
const controlConnections = 1

// ShareFunc returns the share of a target that this home may use. It is called whenever
// the configuration has changed, and must be safe for concurrent use.
type ShareFunc func(s *configuration.Snapshot, database configuration.Database, t configuration.Target) Share

// Shares of a home that is in another failure domain than the target. They serve units
// that the home in the target's failure domain cannot be asked to run.
const (
	remoteSlots       = 1
	remoteConnections = controlConnections + 1
)

// DomainShares gives the slots of a target to the homes of its own failure domain. Each
// other failure domain keeps a fixed minimum of slots and connections, so that the
// connection limit of the target holds even if homes disagree on which of them are live.
func DomainShares(failureDomain string) ShareFunc {
	return func(s *configuration.Snapshot, database configuration.Database, t configuration.Target) Share {
		if t.FailureDomain != failureDomain {
			return Share{Slots: remoteSlots, Connections: remoteConnections}
		}
		others := countFailureDomains(s, database) - 1
		return Share{Slots: t.Slots, Connections: max(t.Connections-others*remoteConnections, controlConnections+1)}
	}
}

// EqualShares divides the slots and connections of a target evenly between the failure
// domains, whether they use the target or not.
func EqualShares(s *configuration.Snapshot, database configuration.Database, t configuration.Target) Share {
	n := countFailureDomains(s, database)
	return Share{Slots: t.Slots / n, Connections: t.Connections / n}
}

// countFailureDomains returns how many failure domains may run a home.
func countFailureDomains(s *configuration.Snapshot, database configuration.Database) int {
	domains := make(map[string]struct{})
	for _, region := range s.Regions {
		for _, d := range region.Value.FailureDomains {
			domains[d] = struct{}{}
		}
	}
	for _, t := range database.Targets {
		domains[t.FailureDomain] = struct{}{}
	}
	return max(len(domains), 1)
}
