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

// unresponsiveAfter is the time without an answer after which an instance gets no reads.
const unresponsiveAfter = 250 * time.Millisecond

// Times without an answer of an instance after which the exchanges on it are aborted.
// Reads are aborted earlier because they can run on another instance; the answer to a
// write may still arrive.
const (
	abortReadsAfter = time.Second
	abortAllAfter   = 10 * time.Second
)

// instance is one target of a database, with its control connection, its connection pool
// and the admission queue in front of its slots.
type instance struct {
	database *database
	declared configuration.Target
	region   string
	gate     *gate
	pool     *pool
	// probeNow requests a status call without delay.
	probeNow chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc

	// controlLock is a one-token semaphore that is held while the control connection is
	// in use; it guards the two fields below.
	controlLock chan struct{}
	control     target.Control
	redialAt    time.Time

	mu sync.Mutex
	// fence is the highest fence that was seen. Connections that were opened below it run
	// no more writes.
	fence position.Term
	// silentSince is the start of the oldest status call that has no answer yet, or that
	// failed since the latest answer; zero if there is none.
	silentSince time.Time
	refused     bool
	// meanRoundTrip is a moving average of the round trips of status calls.
	meanRoundTrip time.Duration
	leases        map[*lease]struct{}
}

// movingAverageDivisor is the inverse weight of a new value in a moving average.
const movingAverageDivisor = 8

// movingAverage returns the moving average after a new value.
func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/movingAverageDivisor
}

func newInstance(d *database, t configuration.Target, region string, share Share) *instance {
	ctx, cancel := context.WithCancel(d.ctx)
	i := &instance{
		database: d, declared: t, region: region, gate: newGate(share.Slots),
		probeNow: make(chan struct{}, 1), controlLock: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	i.controlLock <- struct{}{}
	i.leases = make(map[*lease]struct{})
	i.pool = newPool(ctx, i.dial, i.openAccount, d.home.counters.connectionsDoubtful.Inc)
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
	i.database.home.counters.connectionsOpened.Inc()
	return c, nil
}

func (i *instance) openAccount() *account {
	return newAccount(i.database.home.config.Ledger, i.declared.Name)
}

// watch reads the status of the instance at intervals until the context of the instance
// ends.
func (i *instance) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer i.lockAndCloseControl()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-i.probeNow:
		case <-timer.C:
		}
		asked := time.Now()
		i.recordProbeStart(asked)
		status, err := i.status()
		if i.ctx.Err() != nil {
			return
		}
		i.recordProbeResult(status, time.Since(asked), err)
		i.database.recordStatus(i, group.Observation{Status: status, CallStarted: asked, CallEnded: time.Now()}, err)
		timer.Reset(i.database.probeInterval())
	}
}

// probe requests a status call without waiting for it.
func (i *instance) probe() {
	select {
	case i.probeNow <- struct{}{}:
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
		return status, fmt.Errorf("target at %s reports the name %q, want %q", i.declared.Address, status.Target, i.declared.Name)
	}
	return status, err
}

// recordProbeStart records the start of a status call.
func (i *instance) recordProbeStart(asked time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.silentSince.IsZero() {
		i.silentSince = asked
	}
}

// recordProbeResult records the result of a status call. It flushes the pool if the fence
// was raised, because the older connections run no more writes.
func (i *instance) recordProbeResult(status target.Status, roundTrip time.Duration, err error) {
	i.mu.Lock()
	fenceRaised := false
	if err == nil {
		i.meanRoundTrip = movingAverage(i.meanRoundTrip, roundTrip)
		i.silentSince, i.refused = time.Time{}, false
		fenceRaised = status.Fence > i.fence && i.fence > 0
		i.fence = max(i.fence, status.Fence)
	} else {
		i.refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	i.mu.Unlock()
	if fenceRaised {
		i.pool.flush()
	}
	if err == nil {
		i.pool.openAhead()
	}
}

// silence returns how long the instance has not answered, and whether its VM refuses
// connections.
func (i *instance) silence(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.silentSince.IsZero() {
		return 0, false
	}
	return now.Sub(i.silentSince), i.refused
}

// setLeased adds a lease to the holders or removes it.
func (i *instance) setLeased(l *lease, held bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if held {
		i.leases[l] = struct{}{}
	} else {
		delete(i.leases, l)
	}
}

// abortLeases aborts the running exchanges of the leases that match.
func (i *instance) abortLeases(match func(*lease) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for l := range i.leases {
		if match(l) {
			l.abort()
		}
	}
}

// abortSilent aborts the exchanges on an instance that has not answered for
// abortReadsAfter (reads) or abortAllAfter (all).
func (i *instance) abortSilent(now time.Time) {
	silence, _ := i.silence(now)
	if silence < abortReadsAfter {
		return
	}
	i.abortLeases(func(l *lease) bool { return l.replica || silence >= abortAllAfter })
}

// holders returns the units that hold a connection, the longest-held first.
func (i *instance) holders() []Holder {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]Holder, 0, len(i.leases))
	for l := range i.leases {
		out = append(out, Holder{Caller: l.holder.Caller, Class: l.holder.Class, InTransaction: l.inTransaction.Load(), Since: time.Since(l.startedAt)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Since > out[b].Since })
	return out
}

// countBatch counts a batch that was sent.
func (i *instance) countBatch(replica bool) {
	if replica {
		i.database.home.counters.replicaBatches.Inc()
	} else {
		i.database.home.counters.primaryBatches.Inc()
	}
}

// roundTrip returns the moving average of the round trips of status calls; zero if there
// was none.
func (i *instance) roundTrip() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.meanRoundTrip
}

// isResponsive reports whether the instance has answered its status calls within
// unresponsiveAfter.
func (i *instance) isResponsive() bool {
	silence, _ := i.silence(time.Now())
	return silence < unresponsiveAfter
}

// withControl runs call with the control connection. It opens the connection if there is
// none, and closes it if call fails with target.ErrLost or target.ErrNotSent.
func (i *instance) withControl(ctx context.Context, call func(target.Control) error) error {
	select {
	case <-i.controlLock:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrNotSent, ctx.Err())
	}
	defer func() { i.controlLock <- struct{}{} }()
	if err := i.openControl(ctx); err != nil {
		return err
	}
	err := call(i.control)
	if errors.Is(err, target.ErrLost) || errors.Is(err, target.ErrNotSent) {
		i.closeControl()
	}
	return err
}

// openControl opens the control connection; controlLock is held.
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
		klog.V(2).Infof("home: closing the control connection to %s failed: %v", i.declared.Name, err)
	}
	i.control = nil
}

func (i *instance) lockAndCloseControl() {
	<-i.controlLock
	i.closeControl()
	i.controlLock <- struct{}{}
}
