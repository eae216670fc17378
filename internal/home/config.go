package home

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// Intervals are the times of a Home. A zero field means its default.
type Intervals struct {
	// Active is the pause between two status calls to an instance of a database
	// that is in use.
	Active time.Duration
	// Idle is that pause for a database that is not in use.
	Idle time.Duration
	// Quiet is how long after its last unit a database counts as not in use.
	Quiet time.Duration
	// Drop is how long after its last unit a database is dropped.
	Drop time.Duration
	// Status bounds one status call.
	Status time.Duration
	// Redial is the pause before a failed control connection is opened again.
	Redial time.Duration
	// Confirm bounds the wait for a confirmation.
	Confirm time.Duration
	// Settle bounds the settlement of an unclear request.
	Settle time.Duration
	// FirstView is how long a request waits for the first statuses of a
	// database that was not in use.
	FirstView time.Duration
	// Failover is how long a request waits for the group to get a new primary,
	// counted from when the old one was lost. After that it is refused at once.
	Failover time.Duration
	// CancelGrace is how long a canceled batch may take to end before its
	// connection is closed.
	CancelGrace time.Duration
	// IdleTransaction is how long a transaction may wait for its next batch.
	IdleTransaction time.Duration
}

// Defaults of Intervals.
const (
	DefaultActive          = 50 * time.Millisecond
	DefaultIdle            = time.Second
	DefaultQuiet           = 5 * time.Second
	DefaultDrop            = 5 * time.Minute
	DefaultStatus          = time.Second
	DefaultRedial          = 50 * time.Millisecond
	DefaultConfirm         = 3 * time.Second
	DefaultSettle          = 10 * time.Second
	DefaultFirstView       = 2 * time.Second
	DefaultFailover        = 3 * time.Second
	DefaultCancelGrace     = 250 * time.Millisecond
	DefaultIdleTransaction = time.Minute
)

func (i Intervals) withDefaults() Intervals {
	setDefault(&i.Active, DefaultActive)
	setDefault(&i.Idle, DefaultIdle)
	setDefault(&i.Quiet, DefaultQuiet)
	setDefault(&i.Drop, DefaultDrop)
	setDefault(&i.Status, DefaultStatus)
	setDefault(&i.Redial, DefaultRedial)
	setDefault(&i.Confirm, DefaultConfirm)
	setDefault(&i.Settle, DefaultSettle)
	setDefault(&i.FirstView, DefaultFirstView)
	setDefault(&i.Failover, DefaultFailover)
	setDefault(&i.CancelGrace, DefaultCancelGrace)
	setDefault(&i.IdleTransaction, DefaultIdleTransaction)
	return i
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Config is what a Home needs.
type Config struct {
	Source configuration.Source
	// Store holds the terms. Without it nothing is promoted.
	Store  store.Store
	Dialer target.Dialer
	// FailureDomain and VM name the place of this home.
	FailureDomain string
	VM            string
	// Shares says what this home may use of a target; nil means EqualShares.
	Shares ShareFunc
	// Delegate makes the home refuse a unit whose target stands in another failure
	// domain, so that the gateway sends it to the home there, which owns the
	// target's slots. Units marked Direct run here all the same.
	Delegate bool
	// Ledger accounts for the time of the connections; it may be nil.
	Ledger *ledger.Ledger
	// Metrics takes the counters; nil means a set of its own.
	Metrics   *metrics.Set
	Intervals Intervals
	// Seed feeds the jitter of delays.
	Seed uint64
	// RemoteEvidence asks homes of other failure domains what they see of a primary
	// that is silent here. If it is nil, a silence seen here is enough for a
	// promotion.
	RemoteEvidence RemoteEvidenceFunc
}

// RemoteEvidenceFunc returns the evidence of homes in other failure domains on a target.
type RemoteEvidenceFunc func(ctx context.Context, service, database, target string) []group.Evidence
