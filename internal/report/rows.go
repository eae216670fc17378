// Package report builds the tables of SHOW statements. It defines their typed rows,
// applies the conditions and groupings of a statement, and writes tables as text or JSON.
package report

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Holder is one connection to a target and its current holder.
type Holder struct {
	VM            string
	Service       string
	Database      string
	Target        string
	FailureDomain string
	// Connection is the number of the connection, from 1, among those of the VM to the
	// target.
	Connection uint64
	// State is working, idle (held by a transaction that runs nothing) or free.
	State string
	// Caller and Class identify the holder; empty if the connection is free.
	Caller string
	Class  string
	// For is the time since the connection entered this state.
	For time.Duration
}

// Replica is the state of a target as known to the home of its database.
type Replica struct {
	// VM is the home that reports.
	VM            string
	Service       string
	Database      string
	Target        string
	FailureDomain string
	// Role is primary, replica or unknown.
	Role    string
	Fence   position.Term
	Last    position.Position
	Applied position.Position
	// Age is the staleness of reads on the target; it is valid only if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
	// Silent is the time since the target last answered.
	Silent time.Duration
	// Drained is set if the target receives no new work.
	Drained bool
}

// ConnectionTime is the connection time that one holder used on a target.
type ConnectionTime struct {
	Service  string
	Database string
	Target   string
	// State is working, idle, free or unattributed.
	State  string
	Caller string
	Class  string
	// Spent is the sum over all connections: two connections held for one second are
	// two seconds.
	Spent time.Duration
}

// VM is one VM of the fleet.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	// State is the state of the VM in the list of the platform.
	State     string
	Reachable bool
	Drained   bool
	// Roles lists the roles of the VM, for example "relay".
	Roles string
	// Configuration is the revision of the configuration in force on the VM; zero if
	// unknown.
	Configuration store.Revision
	Version       string
}

// Promotion is one change of primary.
type Promotion struct {
	At       time.Time
	Service  string
	Database string
	Term     position.Term
	Primary  string
	// Reason is the cause of the change, for example "drain" or "silent".
	Reason string
	// Took is the time from the start of the promotion to the confirmed opening
	// entry.
	Took time.Duration
}

// RowSet holds the rows of a table, collected from the whole fleet.
type RowSet[T any] struct {
	Rows []T
	// Missing names the VMs that did not answer, whose rows are missing.
	Missing []string
}

// Reporter collects the rows of tables from the fleet. It is safe for concurrent use.
type Reporter interface {
	Holders(ctx context.Context) (RowSet[Holder], error)
	Replicas(ctx context.Context) (RowSet[Replica], error)
	// ConnectionTime returns the connection time used within the duration since until
	// now; zero means all that is kept.
	ConnectionTime(ctx context.Context, since time.Duration) (RowSet[ConnectionTime], error)
	VMs(ctx context.Context) (RowSet[VM], error)
	// Promotions returns the changes of primary within the duration since until now;
	// zero means all that are kept.
	Promotions(ctx context.Context, since time.Duration) (RowSet[Promotion], error)
}
