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

// Timings holds the intervals and timeouts of a Home. A zero field selects its default.
type Timings struct {
	// ActiveProbeInterval is the pause between two status calls to an instance of a
	// database that is in use.
	ActiveProbeInterval time.Duration
	// IdleProbeInterval is the pause between two status calls to an instance of a
	// database that is not in use.
	IdleProbeInterval time.Duration
	// IdleAfter is how long after its last unit a database counts as not in use.
	IdleAfter time.Duration
	// RetireAfter is how long after its last unit the runtime of a database is closed.
	RetireAfter time.Duration
	// StatusTimeout bounds one status call.
	StatusTimeout time.Duration
	// RedialDelay is the pause before a control connection that failed to open is
	// dialed again.
	RedialDelay time.Duration
	// ConfirmTimeout bounds the wait for a confirmation.
	ConfirmTimeout time.Duration
	// SettleTimeout bounds the settlement of a request with an unknown outcome.
	SettleTimeout time.Duration
	// FirstStatusTimeout is unused: FailoverTimeout bounds the wait for the first
	// statuses of a database that was not in use.
	FirstStatusTimeout time.Duration
	// FailoverTimeout bounds the wait of a request for a new primary, counted from the
	// loss of the old one. Requests that arrive later are refused at once.
	FailoverTimeout time.Duration
	// CancelGrace is how long a canceled batch may take to end before its connection
	// is closed.
	CancelGrace time.Duration
	// IdleTransactionTimeout is how long a transaction may wait for its next batch.
	IdleTransactionTimeout time.Duration
}

// Defaults of Timings.
const (
	DefaultActiveProbeInterval    = 50 * time.Millisecond
	DefaultIdleProbeInterval      = time.Second
	DefaultIdleAfter              = 5 * time.Second
	DefaultRetireAfter            = 5 * time.Minute
	DefaultStatusTimeout          = time.Second
	DefaultRedialDelay            = 50 * time.Millisecond
	DefaultConfirmTimeout         = 3 * time.Second
	DefaultSettleTimeout          = 10 * time.Second
	DefaultFirstStatusTimeout     = 2 * time.Second
	DefaultFailoverTimeout        = 3 * time.Second
	DefaultCancelGrace            = 250 * time.Millisecond
	DefaultIdleTransactionTimeout = time.Minute
)

func (t Timings) withDefaults() Timings {
	setDefault(&t.ActiveProbeInterval, DefaultActiveProbeInterval)
	setDefault(&t.IdleProbeInterval, DefaultIdleProbeInterval)
	setDefault(&t.IdleAfter, DefaultIdleAfter)
	setDefault(&t.RetireAfter, DefaultRetireAfter)
	setDefault(&t.StatusTimeout, DefaultStatusTimeout)
	setDefault(&t.RedialDelay, DefaultRedialDelay)
	setDefault(&t.ConfirmTimeout, DefaultConfirmTimeout)
	setDefault(&t.SettleTimeout, DefaultSettleTimeout)
	setDefault(&t.FirstStatusTimeout, DefaultFirstStatusTimeout)
	setDefault(&t.FailoverTimeout, DefaultFailoverTimeout)
	setDefault(&t.CancelGrace, DefaultCancelGrace)
	setDefault(&t.IdleTransactionTimeout, DefaultIdleTransactionTimeout)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Config holds the settings and dependencies of a Home.
type Config struct {
	// Source supplies the configuration.
	Source configuration.Source
	// Store holds the terms. Without a store the home promotes no instance.
	Store  store.Store
	Dialer target.Dialer
	// FailureDomain and VM are the failure domain and the VM that the home runs in.
	FailureDomain string
	VM            string
	// Shares returns the slots and connections of a target that this home may use; nil
	// selects EqualShares.
	Shares ShareFunc
	// Delegate makes the home refuse a unit whose target is in another failure domain,
	// so that the gateway sends it to the home there, which owns the target's slots.
	// Units marked Direct are exempt.
	Delegate bool
	// Ledger accounts for the time of the connections; it may be nil.
	Ledger *ledger.Ledger
	// Metrics is the set that the counters are registered in; nil selects a new set.
	Metrics *metrics.Set
	Timings Timings
	// Seed seeds the jitter of delays.
	Seed uint64
	// RemoteEvidence asks homes of other failure domains whether a primary that is
	// silent here answers them. If it is nil, silence seen by this home alone is enough
	// for a promotion.
	RemoteEvidence RemoteEvidenceFunc
}

// RemoteEvidenceFunc returns the evidence of homes in other failure domains on a target.
type RemoteEvidenceFunc func(ctx context.Context, service, database, target string) []group.Evidence
