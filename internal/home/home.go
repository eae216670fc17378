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

// Intervals and retry delays of a Home.
const (
	// maintenanceInterval is the pause between two rounds of maintenance.
	maintenanceInterval = 500 * time.Millisecond
	// leavingRetryAfter is the retry delay given to a caller of a home that is shutting
	// down. It is short because another home can serve the caller at once.
	leavingRetryAfter = 10 * time.Millisecond
	// unavailableRetryAfter is the retry delay given to a caller of a service that is
	// drained, stopped or not known yet.
	unavailableRetryAfter = 5 * time.Second
)

// Home runs units of work. It implements wireunit.Opener. Its methods are safe for
// concurrent use.
type Home struct {
	config      Config
	timings     Timings
	shares      ShareFunc
	counters    *counters
	ctx         context.Context
	cancel      context.CancelFunc
	databases   *xsync.Map[databaseKey, *database]
	leaving     atomic.Bool
	maintenance sync.WaitGroup

	mu sync.Mutex
	// units counts the open units. drained is closed when the count drops to zero after
	// the shutdown has begun.
	units   int
	drained chan struct{}
}

var _ wireunit.Opener = (*Home)(nil)

// New returns a Home that serves until Shutdown is called.
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
	h.maintenance.Add(1)
	go h.maintain()
	return h
}

// Open starts a unit of work. It refuses the unit if its database is unknown, its service
// is drained or stopped, or the home is shutting down. See wireunit.Opener.
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
	if o := checkService(snapshot, header); !o.OK() {
		return nil, o
	}
	if !h.addUnit() {
		return nil, outcome.Refuse(outcome.ShuttingDown, leavingRetryAfter, "home %s is shutting down and accepts no new units of work", h.config.VM)
	}
	d := h.database(databaseKey{header.Service, header.Database}, snapshot)
	return newUnit(h, d, header), outcome.Outcome{}
}

// checkService refuses a unit for an unknown database, for a service that is drained or
// stopped, and while no configuration has been loaded.
func checkService(s *configuration.Snapshot, header wireunit.Header) outcome.Outcome {
	service, ok := s.Services[header.Service]
	if !ok && s.Revision == 0 {
		return outcome.Refuse(outcome.NoConfiguration, unavailableRetryAfter, "no configuration has been loaded yet")
	}
	if _, known := s.Database(header.Service, header.Database); !ok || !known {
		return outcome.Refuse(outcome.UnknownService, 0, "database %s does not exist in service %s", header.Database, header.Service)
	}
	switch service.Value.State {
	case configuration.ServiceDraining:
		return outcome.Refuse(outcome.ServiceDraining, unavailableRetryAfter, "service %s is being drained", header.Service)
	case configuration.ServiceStopped:
		return outcome.Refuse(outcome.ServiceStopped, unavailableRetryAfter, "service %s is stopped", header.Service)
	default:
		return outcome.Outcome{}
	}
}

// database returns the runtime of a database, with one unit added to it. It creates the
// runtime if there is none and replaces one that was retired meanwhile.
func (h *Home) database(key databaseKey, s *configuration.Snapshot) *database {
	for {
		d, found := h.databases.Load(key)
		if !found {
			d, found = h.databases.LoadOrCompute(key, func() (*database, bool) { return newDatabase(h, key), false })
		}
		if !d.addUnit() {
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
			go d.monitorPrimary()
		}
		return d
	}
}

// addUnit counts a unit and reports whether it may run; it returns false if the home is
// shutting down.
func (h *Home) addUnit() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving.Load() {
		return false
	}
	h.units++
	return true
}

func (h *Home) removeUnit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.units--
	if h.units == 0 && h.drained != nil {
		close(h.drained)
		h.drained = nil
	}
}

// Shutdown refuses new units, waits for the open ones and closes all connections. If ctx
// ends before the last unit, Shutdown cancels the open units and returns an error.
func (h *Home) Shutdown(ctx context.Context) error {
	err := h.drain(ctx)
	h.cancel()
	h.databases.Range(func(_ databaseKey, d *database) bool {
		d.retire(true)
		return true
	})
	h.maintenance.Wait()
	return err
}

func (h *Home) drain(ctx context.Context) error {
	h.mu.Lock()
	h.leaving.Store(true)
	open := h.units
	if open > 0 && h.drained == nil {
		h.drained = make(chan struct{})
	}
	drained := h.drained
	h.mu.Unlock()
	klog.Infof("home: shutting down, %d units are open", open)
	if open == 0 {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return errors.Join(fmt.Errorf("home: the shutdown canceled open units of work"), ctx.Err())
	}
}

// maintain applies configuration changes and retires idle databases until the home is
// closed.
func (h *Home) maintain() {
	defer h.maintenance.Done()
	ticker := time.NewTicker(maintenanceInterval)
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
			d.applyShares()
			if d.retire(false) {
				h.databases.Delete(key)
			}
			return true
		})
	}
}
