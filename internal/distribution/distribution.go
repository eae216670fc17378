// Package distribution synchronizes the configuration of this daemon with the store,
// directly or through other daemons.
//
// The relays of a failure domain watch the store and announce each change to the
// daemons of their failure domain, which pull missing changes from the announcing
// relay. Every daemon also polls a relay periodically. If no relay is fresh it polls
// the store, and if no relay answers it also asks relays in other failure domains. A
// change is therefore in force within PropagationBound of its acceptance on every
// daemon that reaches the store, or that reaches a daemon that does. A daemon never
// returns to an older state.
//
// Peers exchange freshness as an age, the time since the state was known to be
// complete, so that clocks of different VMs are never compared.
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

// PropagationBound is the time within which an accepted change is in force on every
// daemon that reaches the store or a peer that has the change.
const PropagationBound = 10 * time.Second

// maxConcurrentCalls is the maximum number of concurrent calls to peers.
const maxConcurrentCalls = 16

// unknownAge is the age of a state that was never known to be complete.
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

// Status describes the configuration of a daemon to its peers.
type Status struct {
	// Digest identifies the changes that the daemon has.
	Digest configuration.Digest `cbor:"1,keyasint"`
	// Age is the time since the state was known to be complete, in nanoseconds on the
	// wire.
	Age time.Duration `cbor:"2,keyasint"`
}

// Peers calls other daemons. It is safe for concurrent use. Its methods return when
// their context ends.
type Peers interface {
	// Push sends the status of this daemon to a VM and returns the status of the VM.
	Push(ctx context.Context, vm fleet.VM, local Status) (Status, error)
	// Pull returns the VM's changes after revision since, as encoded by
	// configuration.Snapshot.ExportSince, or nil if the VM has none.
	Pull(ctx context.Context, vm fleet.VM, since store.Revision) ([]byte, error)
}

// Options configures a Syncer.
type Options struct {
	Store  store.Store
	Holder *configuration.Holder
	Fleet  fleet.Source
	Peers  Peers
	// Seed seeds the jitter of pauses.
	Seed uint64
	// Metrics receives gauges of the age and the revisions of the configuration; nil
	// for none.
	Metrics *metrics.Set
}

// Syncer keeps the configuration in a configuration.Holder up to date. Run must be
// called at most once; the other methods are safe for concurrent use.
type Syncer struct {
	options Options
	// newerPeers carries VMs that announced a change that this daemon does not have.
	newerPeers chan fleet.VM
	// ready is closed when the first configuration is loaded.
	ready chan struct{}
	// lastFreshPeer is the VM that was fresh when this relay last asked other relays;
	// used by runPeerRounds only.
	lastFreshPeer fleet.VM
	// failedCalls counts the calls to relays in other failure domains that were not
	// answered, by failure domain; used by runPeerRounds only.
	failedCalls map[string]int

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
	// completeAsOf is the latest time as of which the state is known to be complete;
	// guarded by mu.
	completeAsOf time.Time
}

// New returns a Syncer that watches the store itself and has no peers.
func New(s store.Store, holder *configuration.Holder, seed uint64) *Syncer {
	return NewWithPeers(Options{Store: s, Holder: holder, Fleet: newSingleVMFleet(), Seed: seed})
}

// singleVMFleet is the fleet.Source of a VM without peers, which is its own relay.
type singleVMFleet struct {
	view *fleet.View
}

func newSingleVMFleet() singleVMFleet {
	return singleVMFleet{view: fleet.NewTracker(fleet.VM{Name: "self"}, nil).View(time.Time{})}
}

// Current returns the view, which never changes.
func (f singleVMFleet) Current() *fleet.View {
	return f.view
}

// NewWithPeers returns a Syncer that exchanges changes with its peers.
func NewWithPeers(o Options) *Syncer {
	s := &Syncer{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, 0)),
		newerPeers:  make(chan fleet.VM, maxConcurrentCalls),
		ready:       make(chan struct{}),
		failedCalls: map[string]int{},
	}
	if o.Metrics != nil {
		s.register(o.Metrics)
	}
	return s
}

// register registers the gauges of the configuration in set.
func (s *Syncer) register(set *metrics.Set) {
	set.GetOrCreateGauge("laburnumrack_config_age_seconds", func() float64 { return s.Age().Seconds() })
	set.GetOrCreateGauge("laburnumrack_config_revision", func() float64 { return float64(s.options.Holder.Current().Revision) })
	set.GetOrCreateGauge("laburnumrack_config_last_change_revision", func() float64 { return float64(s.options.Holder.Current().LastChange) })
}

// Ready returns a channel that is closed when the first configuration is loaded, from
// the store or, if the store does not answer, from peers.
func (s *Syncer) Ready() <-chan struct{} {
	return s.ready
}

// Age returns the time since the configuration was known to be complete. It is the
// maximum duration if that was never the case.
func (s *Syncer) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completeAsOf.IsZero() {
		return unknownAge
	}
	return time.Since(s.completeAsOf)
}

// recordComplete records that the state was known to be complete as of t.
func (s *Syncer) recordComplete(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.After(s.completeAsOf) {
		s.completeAsOf = t
	}
}

// Status returns the status that this daemon sends to its peers.
func (s *Syncer) Status() Status {
	age := s.Age()
	return Status{Digest: s.options.Holder.Current().Digest(), Age: age}
}

// HandlePush processes the status that a peer pushed and returns the status of this
// daemon. If the peer has changes that this daemon does not have, Run pulls them.
func (s *Syncer) HandlePush(from fleet.VM, remote Status) Status {
	if s.isBehind(remote) {
		select {
		case s.newerPeers <- from:
		default:
			// Run has announcements left to process and polls in every round anyway.
		}
	}
	return s.Status()
}

// HandlePull returns the changes after revision since to a peer, or nil if there are
// none.
func (s *Syncer) HandlePull(since store.Revision) ([]byte, error) {
	return s.options.Holder.Current().ExportSince(since)
}

// isBehind reports whether a peer has a change that this daemon does not have.
func (s *Syncer) isBehind(remote Status) bool {
	return !s.options.Holder.Current().Covers(remote.Digest)
}

// Run keeps the holder up to date until ctx ends, and returns the error of ctx.
func (s *Syncer) Run(ctx context.Context) error {
	s.loadInitial(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watchStore(ctx) })
	group.Go(func() error { return s.runPeerRounds(ctx) })
	group.Go(func() error { return s.announceChanges(ctx) })
	return group.Wait()
}

// loadInitial loads the first configuration, from the store or from peers, and then
// closes ready. It retries until it succeeds or ctx ends.
func (s *Syncer) loadInitial(ctx context.Context) {
	timeout := storeTimeout
	for pause := minStartPause; ctx.Err() == nil; pause = min(2*pause, maxStartPause) {
		if s.listStore(ctx, timeout) == nil || s.loadFromPeers(ctx) {
			close(s.ready)
			return
		}
		timeout = slowStoreTimeout
		s.followWhileWaiting(ctx, pause)
	}
}

// sleepJittered waits for the jittered time d or until ctx ends.
func (s *Syncer) sleepJittered(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// followWhileWaiting waits for the jittered time d or until ctx ends. Meanwhile it
// synchronizes with peers that announce changes.
func (s *Syncer) followWhileWaiting(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-s.newerPeers:
			s.followPeer(ctx, vm)
		case <-timer.C:
			return
		}
	}
}

// jitter returns a random duration from four fifths of d to d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d - time.Duration(s.random.Int64N(int64(d/5)+1))
}
