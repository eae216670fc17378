// Package distribution brings the configuration from the store to this daemon.
//
// The relays of a failure domain watch the store and tell the daemons of their
// domain of each change; these pull what they lack from whoever told them. Every
// daemon also asks a relay from time to time, turns to the store itself when no
// relay is fresh, and to relays elsewhere when the store does not answer. So a
// change is in force within PropagationBound of its acceptance on every daemon that can reach
// the store, or a daemon that does. A daemon never goes back to an older state.
//
// Freshness is passed on as an age, the time since the state was known to be
// complete, so that no clocks are compared.
package distribution

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// PropagationBound is the time within which an accepted change is in force on every daemon
// that reaches the store or an informed peer.
const PropagationBound = 10 * time.Second

// maxCalls bounds the calls to peers that are under way at once.
const maxCalls = 16

// unknownAge is the age of a daemon that never knew its state to be complete.
const unknownAge = time.Duration(math.MaxInt64)

var (
	rejectedObjects = metrics.NewCounter("laburnumrack_config_rejected_objects_total")
	appliedObjects  = metrics.NewCounter("laburnumrack_config_applied_objects_total")
	storeFailures   = metrics.NewCounter(`laburnumrack_config_failures_total{source="store"}`)
	peerFailures    = metrics.NewCounter(`laburnumrack_config_failures_total{source="peer"}`)
	stalePeers      = metrics.NewCounter("laburnumrack_config_stale_peers_total")
	pulls           = metrics.NewCounter("laburnumrack_config_pulls_total")
	pushes          = metrics.NewCounter("laburnumrack_config_pushes_total")
)

// Status is what a daemon tells a peer of its configuration.
type Status struct {
	Digest configuration.Digest `cbor:"1,keyasint"`
	// Age is the time since the state was known to be complete.
	Age time.Duration `cbor:"2,keyasint"`
}

// Peers calls other daemons. Its methods may be called from any goroutine and
// return when their context ends.
type Peers interface {
	// Push tells a VM this daemon's status and returns the VM's own.
	Push(ctx context.Context, vm fleet.VM, mine Status) (Status, error)
	// Pull returns what the VM's configuration.Snapshot.ExportSince gives, or nil
	// if the VM holds nothing newer.
	Pull(ctx context.Context, vm fleet.VM, since store.Revision) ([]byte, error)
}

// Options set up a Syncer.
type Options struct {
	Store  store.Store
	Holder *configuration.Holder
	Fleet  fleet.Source
	Peers  Peers
	// Seed sets the jitter of pauses.
	Seed uint64
	// Metrics, if not nil, gets gauges of the age and the revision.
	Metrics *metrics.Set
}

// Syncer keeps a holder up to date. Run is called once; the other methods may be
// called from any goroutine.
type Syncer struct {
	options Options
	// offers carries VMs that told of a change that this daemon lacks.
	offers chan fleet.VM
	ready  chan struct{}
	// source is the VM that was fresh when this relay last turned to other relays;
	// used by askPeers only.
	source fleet.VM
	// failed counts the relays elsewhere that did not answer, by failure domain;
	// used by askPeers only.
	failed map[string]int

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
	// complete is the time as of which the state is known to be complete; guarded
	// by mu.
	complete time.Time
}

// New returns a runner that watches the store itself and knows no peers.
func New(s store.Store, holder *configuration.Holder, seed uint64) *Syncer {
	return NewWithPeers(Options{Store: s, Holder: holder, Fleet: aloneView(), Seed: seed})
}

// alone is the view of a VM that knows no other, and so is its own relay.
type alone struct {
	view *fleet.View
}

func aloneView() alone {
	return alone{view: fleet.NewTracker(fleet.VM{Name: "self"}, nil).View(time.Time{})}
}

// Current returns the view.
func (a alone) Current() *fleet.View {
	return a.view
}

// NewWithPeers returns a runner that takes part in the distribution among peers.
func NewWithPeers(o Options) *Syncer {
	r := &Syncer{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		offers:  make(chan fleet.VM, maxCalls),
		ready:   make(chan struct{}),
		failed:  map[string]int{},
	}
	if o.Metrics != nil {
		r.register(o.Metrics)
	}
	return r
}

func (r *Syncer) register(set *metrics.Set) {
	set.GetOrCreateGauge("laburnumrack_config_age_seconds", func() float64 { return r.Age().Seconds() })
	set.GetOrCreateGauge("laburnumrack_config_revision", func() float64 { return float64(r.options.Holder.Current().Revision) })
	set.GetOrCreateGauge("laburnumrack_config_last_change_revision", func() float64 { return float64(r.options.Holder.Current().LastChange) })
}

// Ready returns a channel that is closed when the daemon has a configuration to
// start with: the store's, or that of its peers while the store does not answer.
func (r *Syncer) Ready() <-chan struct{} {
	return r.ready
}

// Age returns the time since the configuration was known to be complete.
func (r *Syncer) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.complete.IsZero() {
		return unknownAge
	}
	return time.Since(r.complete)
}

// completeAt records that the state was complete at t.
func (r *Syncer) completeAt(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.After(r.complete) {
		r.complete = t
	}
}

// Status returns what this daemon tells its peers.
func (r *Syncer) Status() Status {
	age := r.Age()
	return Status{Digest: r.options.Holder.Current().Digest(), Age: age}
}

// HandlePush takes the status of a peer and returns this daemon's own. If the peer
// holds more, Run pulls it.
func (r *Syncer) HandlePush(from fleet.VM, theirs Status) Status {
	if r.lacks(theirs) {
		select {
		case r.offers <- from:
		default:
			// Run has other offers to look at, and asks in every round.
		}
	}
	return r.Status()
}

// HandlePull returns the answer to a peer's Pull.
func (r *Syncer) HandlePull(since store.Revision) ([]byte, error) {
	return r.options.Holder.Current().ExportSince(since)
}

// lacks reports whether a peer's state holds a change that this daemon lacks.
func (r *Syncer) lacks(theirs Status) bool {
	return !r.options.Holder.Current().Covers(theirs.Digest)
}

// Run keeps the holder up to date until ctx ends, and returns its error.
func (r *Syncer) Run(ctx context.Context) error {
	r.start(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.watchStore(ctx) })
	group.Go(func() error { return r.askPeers(ctx) })
	group.Go(func() error { return r.tell(ctx) })
	return group.Wait()
}

// start gets the first configuration. It returns when there is one, or ctx ended.
func (r *Syncer) start(ctx context.Context) {
	timeout := storeTimeout
	for pause := startPause; ctx.Err() == nil; pause = min(2*pause, longestStartPause) {
		if r.list(ctx, timeout) == nil || r.startFromPeers(ctx) {
			close(r.ready)
			return
		}
		timeout = slowTimeout
		r.sleep(ctx, pause)
	}
}

// wait waits for a jittered time of about d.
func (r *Syncer) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(r.jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sleep waits for a jittered time of about d. Offers of peers are taken meanwhile.
func (r *Syncer) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(r.jitter(d))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-r.offers:
			r.follow(ctx, vm)
		case <-timer.C:
			return
		}
	}
}

// jitter returns a time from four fifths of d to d.
func (r *Syncer) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d - time.Duration(r.random.Int64N(int64(d/5)+1))
}
