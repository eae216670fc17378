// Package report holds the tables that operators ask for: their typed rows, and
// the conditions and sums of a SHOW statement.
package report

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Holder is one connection of one target and who holds it now.
type Holder struct {
	VM            string
	Service       string
	Database      string
	Target        string
	FailureDomain string
	// Connection numbers the connections that the VM holds to the target.
	Connection uint64
	// State is working, idle (held by a transaction that runs nothing) or free.
	State string
	// Caller and Class are those of the holder; empty when free.
	Caller string
	Class  string
	// For is the time since the connection came into this state.
	For time.Duration
}

// Replica is one target as the home of its database sees it.
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
	// Age is how stale reads on the target are; it counts only if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// Silent is the time since the target last answered.
	Silent time.Duration
	// Drained says that the target takes no new work.
	Drained bool
}

// ConnectionTime is connection time that went to one holder.
type ConnectionTime struct {
	Service  string
	Database string
	Target   string
	// State is working, idle, free or unattributed.
	State  string
	Caller string
	Class  string
	// Spent is connection time: two connections for a second are two seconds.
	Spent time.Duration
}

// VM is one entry VM.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	// State is that of the platform's list.
	State     string
	Reachable bool
	Drained   bool
	// Roles says what the VM does, for example "relay".
	Roles string
	// Configuration is the revision of the VM's configuration; zero if unknown.
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
	// Reason says why, for example "drain" or "silent".
	Reason string
	// Took is the time from the start of the promotion to the confirmed opening
	// entry.
	Took time.Duration
}

// RowSet are rows from the whole fleet.
type RowSet[T any] struct {
	Rows []T
	// Missing names the VMs that did not answer, so that their rows lack.
	Missing []string
}

// Reporter gathers what the fleet knows. Its methods may be called from any
// goroutine.
type Reporter interface {
	Holders(ctx context.Context) (RowSet[Holder], error)
	Replicas(ctx context.Context) (RowSet[Replica], error)
	// ConnectionTime returns the time spent from so long ago until now; zero is all that is
	// kept.
	ConnectionTime(ctx context.Context, since time.Duration) (RowSet[ConnectionTime], error)
	VMs(ctx context.Context) (RowSet[VM], error)
	Promotions(ctx context.Context, since time.Duration) (RowSet[Promotion], error)
}
