package home

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	"github.com/puzpuzpuz/xsync/v4"
	"k8s.io/klog/v2"
)

// Times of a Home.
const (
	// janitorInterval is the pause between two rounds of upkeep.
	janitorInterval = 500 * time.Millisecond
	// leaveRetryAfter is what a caller of a leaving home is told to wait;
	// another home can serve at once.
	leaveRetryAfter = 10 * time.Millisecond
	// stateRetryAfter is what a caller is told to wait for a service that is
	// being drained or stopped, or is not known yet.
	stateRetryAfter = 5 * time.Second
)

// Home runs units of work. It implements wireunit.Opener. Its methods may be called
// by any goroutine.
type Home struct {
	config    Config
	timings   Timings
	shares    ShareFunc
	counters  *counters
	ctx       context.Context
	cancel    context.CancelFunc
	databases *xsync.Map[databaseKey, *database]
	leaving   atomic.Bool
	janitor   sync.WaitGroup

	mu sync.Mutex
	// units counts the open units; empty is closed when it drops to zero after
	// the shutdown has begun.
	units int
	empty chan struct{}
}

var _ wireunit.Opener = (*Home)(nil)

// New returns a Home that serves until Shutdown.
func New(config Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		config:    config,
		timings:   config.Timings.withDefaults(),
		shares:    config.Shares,
		counters:  newCounters(config.Metrics),
		ctx:       ctx,
		cancel:    cancel,
		databases: xsync.NewMap[databaseKey, *database](),
	}
	if h.shares == nil {
		h.shares = EqualShares
	}
	h.janitor.Add(1)
	go h.upkeep()
	return h
}

// Open starts a unit of work; see wireunit.Opener.
func (h *Home) Open(_ context.Context, header wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	u, o := h.open(header)
	if !o.OK() {
		h.counters.count(o)
		return nil, o
	}
	return u, o
}

func (h *Home) open(header wireunit.Header) (*unit, outcome.Outcome) {
	snapshot := h.config.Source.Current()
	if o := admitService(snapshot, header); !o.OK() {
		return nil, o
	}
	if !h.enter() {
		return nil, outcome.Refuse(outcome.ShuttingDown, leaveRetryAfter, "home %s takes no new work", h.config.VM)
	}
	d := h.database(databaseKey{header.Service, header.Database}, snapshot)
	return newUnit(h, d, header), outcome.Outcome{}
}

// admitService refuses work for a database that is unknown or takes none.
func admitService(s *configuration.Snapshot, header wireunit.Header) outcome.Outcome {
	service, ok := s.Services[header.Service]
	if !ok && s.Revision == 0 {
		return outcome.Refuse(outcome.NoConfiguration, stateRetryAfter, "no configuration is known yet")
	}
	if _, known := s.Database(header.Service, header.Database); !ok || !known {
		return outcome.Refuse(outcome.UnknownService, 0, "there is no database %s in service %s", header.Database, header.Service)
	}
	switch service.Value.State {
	case configuration.ServiceDraining:
		return outcome.Refuse(outcome.ServiceDraining, stateRetryAfter, "service %s is being drained", header.Service)
	case configuration.ServiceStopped:
		return outcome.Refuse(outcome.ServiceStopped, stateRetryAfter, "service %s is stopped", header.Service)
	default:
		return outcome.Outcome{}
	}
}

// database returns the runtime of a database, counted in for one unit.
func (h *Home) database(key databaseKey, s *configuration.Snapshot) *database {
	for {
		d, found := h.databases.Load(key)
		if !found {
			d, found = h.databases.LoadOrCompute(key, func() (*database, bool) { return newDatabase(h, key), false })
		}
		if !d.enter() {
			h.databases.Compute(key, func(current *database, loaded bool) (*database, xsync.ComputeOp) {
				if loaded && current == d {
					return nil, xsync.DeleteOp
				}
				return current, xsync.CancelOp
			})
			continue
		}
		d.configure(s)
		if !found {
			go d.guard()
		}
		return d
	}
}

// enter counts a unit in, unless the home is leaving.
func (h *Home) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving.Load() {
		return false
	}
	h.units++
	return true
}

func (h *Home) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.units--
	if h.units == 0 && h.empty != nil {
		close(h.empty)
		h.empty = nil
	}
}

// Shutdown refuses new units, waits for the open ones and closes everything. An
// error means that ctx ended first; the units that were left are cut.
func (h *Home) Shutdown(ctx context.Context) error {
	err := h.drain(ctx)
	h.cancel()
	h.databases.Range(func(_ databaseKey, d *database) bool {
		d.retire(true)
		return true
	})
	h.janitor.Wait()
	return err
}

func (h *Home) drain(ctx context.Context) error {
	h.mu.Lock()
	h.leaving.Store(true)
	left := h.units
	if left > 0 && h.empty == nil {
		h.empty = make(chan struct{})
	}
	empty := h.empty
	h.mu.Unlock()
	klog.Infof("home: shutting down, %d units are open", left)
	if left == 0 {
		return nil
	}
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return errors.Join(fmt.Errorf("home: units were cut by the shutdown"), ctx.Err())
	}
}

// upkeep applies configuration changes and drops idle databases.
func (h *Home) upkeep() {
	defer h.janitor.Done()
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := h.config.Source.Current()
		h.databases.Range(func(key databaseKey, d *database) bool {
			d.configure(snapshot)
			d.reshare()
			if d.retire(false) {
				h.databases.Delete(key)
			}
			return true
		})
	}
}
