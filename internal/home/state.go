package home

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
)

// state is an immutable snapshot of a database that requests read without a lock.
type state struct {
	primary group.Primary
	// replicas holds the latest state of each instance, the primary included.
	replicas map[string]group.ReplicaState
	// takenAt is when the ages of the replicas were computed.
	takenAt time.Time
	// noPrimarySince is when the database was first seen without an open primary; zero if
	// it has one.
	noPrimarySince time.Time
	// ready is set once an open primary is known or every instance has answered or failed
	// a status call.
	ready bool
	// writesStopped is set while a hand-over blocks new writes.
	writesStopped bool
	// changed is closed when primary, ready or writesStopped changes.
	changed chan struct{}
}

// sameRouting reports whether a waiting request would be routed the same way in both
// states.
func (s *state) sameRouting(other *state) bool {
	return s.primary.Name == other.primary.Name && s.primary.Term == other.primary.Term &&
		s.primary.Open == other.primary.Open && s.ready == other.ready && s.writesStopped == other.writesStopped
}
