// Package gateway finds the home of a unit of work and tries again what may be
// tried again.
//
// A Gateway is a wireunit.Opener for the callers' side. A unit is placed at a home
// when its first batch is exchanged. Until a part of the answer has reached the
// caller, and while nothing ran or nothing can run twice, a failed first batch
// is tried again, at another home if the first one is not there.
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

// HomeFinder knows the homes of a database, the best first.
type HomeFinder interface {
	// Homes returns those of the own failure domain.
	Homes(service, database string) []fleet.VM
	// HomesIn returns those of a failure domain.
	HomesIn(failureDomain, service, database string) []fleet.VM
}

// Config is what a Gateway needs. Now, Sleep and Seed may be left out.
type Config struct {
	Homes HomeFinder
	// OpenerFor returns the way to the home at a VM. It must not block.
	OpenerFor func(vm fleet.VM) wireunit.Opener
	// Configuration tells the regions of failure domains.
	Configuration configuration.Source
	// FailureDomain is that of this VM.
	FailureDomain string
	Metrics       *metrics.Set
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits for d or until ctx ends; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Seed feeds the jitter of retries.
	Seed uint64
}

// Gateway opens units of work at homes. Its methods may be called from any
// goroutine.
type Gateway struct {
	config Config
	meters *meters

	mu      sync.Mutex
	rng     *rand.Rand
	budgets map[databaseKey]*admission.RetryBudget

	// primaries holds the failure domain of the primary of each database, as the
	// last answer from one told.
	primaries *xsync.Map[databaseKey, string]
	// reads holds where the own home sends reads of each database.
	reads *xsync.Map[databaseKey, readRoute]
}

type databaseKey struct {
	service  string
	database string
}

// New returns a gateway.
func New(config Config) (*Gateway, error) {
	switch {
	case config.Homes == nil:
		return nil, errors.New("entry: no home finder")
	case config.OpenerFor == nil:
		return nil, errors.New("entry: no openers")
	case config.Configuration == nil:
		return nil, errors.New("entry: no configuration source")
	case config.Metrics == nil:
		return nil, errors.New("entry: no metrics set")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	return &Gateway{
		config:  config,
		meters:  newMeters(config.Metrics),
		rng:     rand.New(rand.NewPCG(config.Seed, 0)),
		budgets: make(map[databaseKey]*admission.RetryBudget),

		primaries: xsync.NewMap[databaseKey, string](),
		reads:     xsync.NewMap[databaseKey, readRoute](),
	}, nil
}

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

// Open starts a unit. It reaches for no home yet, so that whatever goes wrong
// with a home is met by the retries of the first batch.
func (e *Gateway) Open(_ context.Context, h wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	return &unit{gateway: e, header: h, arrived: e.config.Now()}, outcome.Outcome{}
}

// firstTry records a request for the retry budget of its database.
func (e *Gateway) firstTry(key databaseKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(key).RecordRequest(e.config.Now())
}

// mayRetry takes one retry from the budget of a database.
func (e *Gateway) mayRetry(key databaseKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(key).AllowRetry(e.config.Now())
}

// budget is called with mu held.
func (e *Gateway) budget(key databaseKey) *admission.RetryBudget {
	b := e.budgets[key]
	if b == nil {
		b = admission.NewRetryBudget(e.config.Now())
		e.budgets[key] = b
	}
	return b
}
