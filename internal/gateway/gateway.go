// Package gateway routes units of work to the home of their database group and
// retries failed requests where that is safe.
//
// A Gateway implements wireunit.Opener for the server that accepts callers. It selects a
// home for a unit when the first batch of the unit is sent. A failed first batch is
// retried as long as no part of the answer has reached the caller and the batch either
// did not run or may run twice. If the home is unreachable, the retry goes to another
// home.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/puzpuzpuz/xsync/v4"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// HomeFinder returns the homes of a database, the preferred one first.
type HomeFinder interface {
	// Homes returns the homes in the failure domain of this VM.
	Homes(service, database string) []fleet.VM
	// HomesIn returns the homes in the given failure domain.
	HomesIn(failureDomain, service, database string) []fleet.VM
}

// Config configures a Gateway. Now, Sleep and Seed are optional.
type Config struct {
	Homes HomeFinder
	// OpenerFor returns the opener of units at the home on a VM. It must not block.
	OpenerFor func(vm fleet.VM) wireunit.Opener
	// Configuration maps failure domains to regions.
	Configuration configuration.Source
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	Metrics       *metrics.Set
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Sleep waits for d, or returns the error of ctx if that ends first; nil means a
	// timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Seed seeds the jitter of retries.
	Seed uint64
}

// Gateway opens units of work at homes. It is safe for concurrent use.
type Gateway struct {
	config   Config
	counters *counters

	mu      sync.Mutex
	rng     *rand.Rand
	budgets map[databaseKey]*admission.RetryBudget

	// primaryDomains holds the failure domain of the primary that last answered, by
	// database.
	primaryDomains *xsync.Map[databaseKey, string]
	// readRoutes holds where the local home last redirected reads, by database.
	readRoutes *xsync.Map[databaseKey, readRoute]
}

// databaseKey identifies a database of a service.
type databaseKey struct {
	service  string
	database string
}

// New returns a Gateway. It fails if a mandatory field of config is not set.
func New(config Config) (*Gateway, error) {
	switch {
	case config.Homes == nil:
		return nil, errors.New("entry: Config.Homes is not set")
	case config.OpenerFor == nil:
		return nil, errors.New("entry: Config.OpenerFor is not set")
	case config.Configuration == nil:
		return nil, errors.New("entry: Config.Configuration is not set")
	case config.Metrics == nil:
		return nil, errors.New("entry: Config.Metrics is not set")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	return &Gateway{
		config:   config,
		counters: newCounters(config.Metrics),
		rng:      rand.New(rand.NewPCG(config.Seed, 0)),
		budgets:  make(map[databaseKey]*admission.RetryBudget),

		primaryDomains: xsync.NewMap[databaseKey, string](),
		readRoutes:     xsync.NewMap[databaseKey, readRoute](),
	}, nil
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Open starts a unit without contacting a home: the first batch does that, so that
// its retries cover every failure of a home. Open never fails.
func (g *Gateway) Open(_ context.Context, h wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	return &unit{gateway: g, header: h, arrivedAt: g.config.Now()}, outcome.Outcome{}
}

// recordRequest adds a request to the retry budget of its database.
func (g *Gateway) recordRequest(key databaseKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgetLocked(key).RecordRequest(g.config.Now())
}

// allowRetry takes one retry from the budget of a database and reports whether the
// budget allows it.
func (g *Gateway) allowRetry(key databaseKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgetLocked(key).AllowRetry(g.config.Now())
}

// budgetLocked returns the retry budget of a database. The caller holds mu.
func (g *Gateway) budgetLocked(key databaseKey) *admission.RetryBudget {
	b := g.budgets[key]
	if b == nil {
		b = admission.NewRetryBudget(g.config.Now())
		g.budgets[key] = b
	}
	return b
}
