package home

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"k8s.io/klog/v2"
)

// unreachableSilence is the silence after which an instance gets no reads.
const unreachableSilence = 250 * time.Millisecond

// The silences after which nobody waits any more for what runs on an instance: a
// read can run elsewhere, a write may still be answered.
const (
	abandonReadSilence = time.Second
	abandonSilence     = 10 * time.Second
)

// instance is one target of a database: its control connection, its pool and the
// queue in front of its slots.
type instance struct {
	database *database
	declared configuration.Target
	region   string
	gate     *gate
	pool     *pool
	// kick asks for a status call at once.
	kick   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	// turn is held by whoever uses the control connection; it guards the fields
	// below.
	turn     chan struct{}
	control  target.Control
	redialAt time.Time

	mu sync.Mutex
	// fence is the highest fence that was seen; connections that were opened
	// below it run no more writes.
	fence position.Term
	// silentSince is when the oldest status call that is not answered, or that
	// failed since the latest answer, had started; zero if there is none.
	silentSince time.Time
	refused     bool
	// trip is a moving average of the status calls' round trips.
	trip   time.Duration
	leases map[*lease]struct{}
}

// averageWeight is the inverse weight of a new value in a moving average.
const averageWeight = 8

// average enters a value into a moving average.
func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/averageWeight
}

func newInstance(d *database, t configuration.Target, region string, share Share) *instance {
	ctx, cancel := context.WithCancel(d.ctx)
	i := &instance{
		database: d, declared: t, region: region, gate: newGate(share.Slots),
		kick: make(chan struct{}, 1), turn: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	i.turn <- struct{}{}
	i.leases = make(map[*lease]struct{})
	i.pool = newPool(ctx, i.dial, i.openAccount, d.home.counters.doubtful.Inc)
	i.resize(share)
	return i
}

// resize applies the home's share of the target.
func (i *instance) resize(share Share) {
	connections := share.Connections - controlConnections
	i.gate.resize(min(share.Slots, max(connections, 0)))
	i.pool.resize(connections, share.Slots+spareConnections)
}

func (i *instance) close() {
	i.cancel()
	i.gate.drain(outcome.NoReplica)
	i.pool.close()
}

func (i *instance) dial(ctx context.Context) (target.Conn, error) {
	c, err := i.database.home.config.Dialer.Dial(ctx, i.declared.Address, i.database.key.Database)
	if err != nil {
		return nil, err
	}
	i.database.home.counters.opened.Inc()
	return c, nil
}

func (i *instance) openAccount() *account {
	return newAccount(i.database.home.config.Ledger, i.declared.Name)
}

// watch reads the status of the instance until its context ends.
func (i *instance) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer i.dropControl()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-i.kick:
		case <-timer.C:
		}
		asked := time.Now()
		i.recordCall(asked)
		status, err := i.status()
		if i.ctx.Err() != nil {
			return
		}
		i.recordAnswer(status, time.Since(asked), err)
		i.database.answered(i, group.Observation{Status: status, CallStarted: asked, CallEnded: time.Now()}, err)
		timer.Reset(i.database.probeInterval())
	}
}

// probe asks for a status call without waiting for it.
func (i *instance) probe() {
	select {
	case i.kick <- struct{}{}:
	default:
	}
}

func (i *instance) status() (target.Status, error) {
	ctx, cancel := context.WithTimeout(i.ctx, i.database.home.timings.StatusTimeout)
	defer cancel()
	var status target.Status
	i.database.home.counters.statusCalls.Inc()
	err := i.withControl(ctx, func(c target.Control) (err error) {
		status, err = c.Status(ctx)
		return err
	})
	if err == nil && status.Target != i.declared.Name {
		return status, fmt.Errorf("target at %s calls itself %q, not %q", i.declared.Address, status.Target, i.declared.Name)
	}
	return status, err
}

// recordCall notes the start of a status call.
func (i *instance) recordCall(asked time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.silentSince.IsZero() {
		i.silentSince = asked
	}
}

// recordAnswer notes whether the instance answers, and drops the connections
// that a fence has made useless.
func (i *instance) recordAnswer(status target.Status, trip time.Duration, err error) {
	i.mu.Lock()
	raised := false
	if err == nil {
		i.trip = average(i.trip, trip)
		i.silentSince, i.refused = time.Time{}, false
		raised = status.Fence > i.fence && i.fence > 0
		i.fence = max(i.fence, status.Fence)
	} else {
		i.refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	i.mu.Unlock()
	if raised {
		i.pool.flush()
	}
	if err == nil {
		i.pool.warm()
	}
}

// silence returns how long the instance has not answered, and whether its VM
// refuses connections.
func (i *instance) silence(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.silentSince.IsZero() {
		return 0, false
	}
	return now.Sub(i.silentSince), i.refused
}

// note adds a lease to the holders, or takes it out.
func (i *instance) note(l *lease, held bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if held {
		i.leases[l] = struct{}{}
	} else {
		delete(i.leases, l)
	}
}

// abandon ends the running exchanges of the leases that match.
func (i *instance) abandon(match func(*lease) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for l := range i.leases {
		if match(l) {
			l.abandon()
		}
	}
}

// abandonSilent ends what runs on an instance that has been silent for long.
func (i *instance) abandonSilent(now time.Time) {
	silence, _ := i.silence(now)
	if silence < abandonReadSilence {
		return
	}
	i.abandon(func(l *lease) bool { return l.replica || silence >= abandonSilence })
}

// holders lists who holds a connection, the longest first.
func (i *instance) holders() []Holder {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]Holder, 0, len(i.leases))
	for l := range i.leases {
		out = append(out, Holder{Caller: l.holder.Caller, Class: l.holder.Class, InTransaction: l.inTransaction.Load(), Since: time.Since(l.started)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Since > out[b].Since })
	return out
}

// countBatch counts a batch that was sent.
func (i *instance) countBatch(replica bool) {
	if replica {
		i.database.home.counters.replica.Inc()
	} else {
		i.database.home.counters.primary.Inc()
	}
}

// roundTrip returns the usual time of a status call.
func (i *instance) roundTrip() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.trip
}

// answers reports whether the instance answered its latest status calls in the
// usual time.
func (i *instance) answers() bool {
	silence, _ := i.silence(time.Now())
	return silence < unreachableSilence
}

// withControl runs f with the control connection, which is opened if need be and
// closed when f could not use it.
func (i *instance) withControl(ctx context.Context, f func(target.Control) error) error {
	select {
	case <-i.turn:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrNotSent, ctx.Err())
	}
	defer func() { i.turn <- struct{}{} }()
	if err := i.openControl(ctx); err != nil {
		return err
	}
	err := f(i.control)
	if errors.Is(err, target.ErrLost) || errors.Is(err, target.ErrNotSent) {
		i.closeControl()
	}
	return err
}

// openControl opens the control connection; the turn is held.
func (i *instance) openControl(ctx context.Context) error {
	if i.control != nil {
		return nil
	}
	select {
	case <-time.After(time.Until(i.redialAt)):
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrNotSent, ctx.Err())
	}
	c, err := i.database.home.config.Dialer.DialControl(ctx, i.declared.Address, i.database.key.Database)
	if err != nil {
		i.redialAt = time.Now().Add(i.database.home.timings.RedialDelay)
		return err
	}
	i.control = c
	return nil
}

func (i *instance) closeControl() {
	if i.control == nil {
		return
	}
	if err := i.control.Close(); err != nil {
		klog.V(2).Infof("home: closing control connection to %s: %v", i.declared.Name, err)
	}
	i.control = nil
}

func (i *instance) dropControl() {
	<-i.turn
	i.closeControl()
	i.turn <- struct{}{}
}
