package distribution

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

const (
	vmsPerDomain   = 4
	networkLatency = 3 * time.Millisecond
)

var domainNames = []string{"a", "b", "c"}

// simulation is a fleet of daemons with a store and a network. It runs in the virtual time
// of synctest.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	vms    []fleet.VM

	mu sync.Mutex // guards the fields below
	// storeChanged is closed and replaced at each change of the store.
	storeChanged chan struct{}
	revision     store.Revision
	objects      map[store.Key]store.Object
	events       []store.Object
	acceptedAt   []time.Time // time of each event
	// storeDown makes the store unavailable, loseAnswers loses the answers to writes.
	storeDown, loseAnswers bool
	// storeDelay is added to the latency of each call to the store.
	storeDelay time.Duration
	// partitioned holds pairs of failure domains, or of one and the store, that cannot
	// reach each other.
	partitioned map[[2]string]bool
	// domainOnly holds VMs that reach their own failure domain only.
	domainOnly map[string]bool
	daemons    map[string]*daemon
	// storeCalls counts the calls to the store by VM.
	storeCalls map[string]int
	// callsSent and callsServed count the calls to peers by VM, callBytes the bytes sent
	// and received in them.
	callsSent, callsServed, callBytes map[string]int
	// callPairs counts the calls to peers by caller and callee.
	callPairs map[[2]string]int
}

// daemon is one incarnation of the process on a VM.
type daemon struct {
	vm     fleet.VM
	syncer *Syncer
	holder *configuration.Holder
	stop   context.CancelFunc
	done   chan struct{}
	// lastSnapshot is the snapshot at the last check.
	lastSnapshot *configuration.Snapshot
	// reachableSince is the time since which the daemon has had a path to the store; zero
	// if it has none.
	reachableSince time.Time
}

// storeEndpoint is the name of the store in pairs of partitioned.
const storeEndpoint = "store"

func newSimulation(t *testing.T, seed uint64) *simulation {
	return newSimulationOf(t, seed, domainNames, vmsPerDomain)
}

func newSimulationOf(t *testing.T, seed uint64, domainNames []string, vmsPerDomain int) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), storeChanged: make(chan struct{}), objects: map[store.Key]store.Object{},
		callsSent: map[string]int{}, callsServed: map[string]int{}, callBytes: map[string]int{}, callPairs: map[[2]string]int{}, partitioned: map[[2]string]bool{}, domainOnly: map[string]bool{}, daemons: map[string]*daemon{}, storeCalls: map[string]int{}}
	for i, domain := range domainNames {
		for n := range vmsPerDomain {
			address := netip.MustParseAddrPort(fmt.Sprintf("127.0.%d.%d:7000", i, n+1))
			sim.vms = append(sim.vms, fleet.VM{Name: fmt.Sprintf("%s%d", domain, n), FailureDomain: domain, Peer: address, Reachable: true})
		}
	}
	return sim
}

// fixedView is the fleet.Source of one VM. It lists every VM as live, also after the VM
// was killed.
type fixedView struct{ view *fleet.View }

func (f fixedView) Current() *fleet.View { return f.view }

func (sim *simulation) view(self fleet.VM) fixedView {
	tracker := fleet.NewTracker(self, nil)
	var listed []store.VM
	for _, vm := range sim.vms {
		listed = append(listed, store.VM{Name: vm.Name, Address: vm.Peer.String(), FailureDomain: vm.FailureDomain, State: store.VMLive})
	}
	tracker.SetListed(time.Now(), listed)
	return fixedView{tracker.View(time.Now())}
}

// start starts the daemon of a VM with an empty configuration.
func (sim *simulation) start(vm fleet.VM) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{vm: vm, holder: configuration.NewHolder(), stop: cancel, done: make(chan struct{}), lastSnapshot: configuration.Empty()}
	d.syncer = NewWithPeers(Options{Store: vmStore{sim: sim, vm: vm}, Holder: d.holder, Fleet: sim.view(vm), Peers: vmPeers{sim: sim, vm: vm}, Seed: sim.random.Uint64()})
	sim.mu.Lock()
	sim.daemons[vm.Name] = d
	sim.mu.Unlock()
	go func() {
		defer close(d.done)
		_ = d.syncer.Run(ctx)
	}()
}

// kill stops the daemon of a VM, if one runs, and waits until it has stopped.
func (sim *simulation) kill(name string) {
	sim.mu.Lock()
	d := sim.daemons[name]
	delete(sim.daemons, name)
	sim.mu.Unlock()
	if d != nil {
		d.stop()
		<-d.done
	}
}

// isConnected reports whether two endpoints reach each other. The caller holds mu.
func (sim *simulation) isConnected(a, b string) bool {
	return !sim.partitioned[[2]string{a, b}] && !sim.partitioned[[2]string{b, a}]
}

// deliverFrom waits for the delivery of a message from a VM to an endpoint, a failure
// domain or the store. If there is no path it waits until ctx ends and returns its error.
func (sim *simulation) deliverFrom(ctx context.Context, vm fleet.VM, to string) error {
	sim.mu.Lock()
	isolated := sim.domainOnly[vm.Name]
	sim.mu.Unlock()
	if isolated && to != vm.FailureDomain {
		<-ctx.Done()
		return ctx.Err()
	}
	return sim.deliver(ctx, vm.FailureDomain, to)
}

// deliver waits for the delivery of a message between two endpoints. If they are
// partitioned it waits until ctx ends and returns its error.
func (sim *simulation) deliver(ctx context.Context, a, b string) error {
	sim.mu.Lock()
	connected := sim.isConnected(a, b)
	delay := networkLatency
	if b == storeEndpoint {
		delay += sim.storeDelay
	}
	sim.mu.Unlock()
	if !connected {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

// vmPeers implements Peers for one VM.
type vmPeers struct {
	sim *simulation
	vm  fleet.VM
}

// daemon delivers a message to a VM and returns the daemon that runs there.
func (p vmPeers) daemon(ctx context.Context, vm fleet.VM) (*daemon, error) {
	if err := p.sim.deliverFrom(ctx, p.vm, vm.FailureDomain); err != nil {
		return nil, err
	}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if d := p.sim.daemons[vm.Name]; d != nil {
		return d, nil
	}
	return nil, errors.New("connection refused")
}

// countCall adds a call and its size in bytes to the counters of caller and callee.
func (sim *simulation) countCall(from, to fleet.VM, size int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.callsSent[from.Name]++
	sim.callPairs[[2]string{from.Name, to.Name}]++
	sim.callsServed[to.Name]++
	sim.callBytes[from.Name] += size
	sim.callBytes[to.Name] += size
}

// encodedSize returns the length of the CBOR encoding of v in bytes.
func (sim *simulation) encodedSize(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		sim.t.Error(err)
	}
	return len(b)
}

func (p vmPeers) Push(ctx context.Context, vm fleet.VM, local Status) (Status, error) {
	p.sim.countCall(p.vm, vm, 2*p.sim.encodedSize(local))
	d, err := p.daemon(ctx, vm)
	if err != nil {
		return Status{}, err
	}
	remote := d.syncer.HandlePush(p.vm, local)
	return remote, p.sim.deliver(ctx, vm.FailureDomain, p.vm.FailureDomain)
}

func (p vmPeers) Pull(ctx context.Context, vm fleet.VM, since store.Revision) ([]byte, error) {
	d, err := p.daemon(ctx, vm)
	if err != nil {
		return nil, err
	}
	b, err := d.syncer.HandlePull(since)
	p.sim.countCall(p.vm, vm, len(b)+p.sim.encodedSize(since))
	return b, errors.Join(err, p.sim.deliver(ctx, vm.FailureDomain, p.vm.FailureDomain))
}

// vmStore implements store.Store for one VM.
type vmStore struct {
	store.Store
	sim *simulation
	vm  fleet.VM
}

// call counts and delivers a call to the store. It fails if the store is unreachable or
// down.
func (s vmStore) call(ctx context.Context) error {
	s.sim.mu.Lock()
	s.sim.storeCalls[s.vm.Name]++
	s.sim.mu.Unlock()
	if s.sim.deliverFrom(ctx, s.vm, storeEndpoint) != nil {
		return store.ErrOutcomeUnknown
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	if s.sim.storeDown {
		return store.ErrUnavailable
	}
	return nil
}

// awaitAnswer waits for the delivery of the answer to a read.
func (s vmStore) awaitAnswer(ctx context.Context) error {
	if s.sim.deliver(ctx, storeEndpoint, s.vm.FailureDomain) != nil {
		return store.ErrUnavailable
	}
	return nil
}

func (s vmStore) List(ctx context.Context, _ ...store.Kind) (store.Page, error) {
	if err := s.call(ctx); err != nil {
		return store.Page{}, err
	}
	s.sim.mu.Lock()
	page := store.Page{Revision: s.sim.revision}
	for _, o := range s.sim.objects {
		page.Objects = append(page.Objects, o)
	}
	s.sim.mu.Unlock()
	return page, s.awaitAnswer(ctx)
}

func (s vmStore) Watch(ctx context.Context, from store.Revision, wait time.Duration, _ ...store.Kind) (store.Page, error) {
	if err := s.call(ctx); err != nil {
		return store.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.sim.mu.Lock()
		changed, done := s.sim.storeChanged, s.sim.revision > from
		s.sim.mu.Unlock()
		if done {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return store.Page{}, store.ErrUnavailable
		}
	}
	s.sim.mu.Lock()
	page := store.Page{Revision: s.sim.revision}
	if from < s.sim.revision {
		page.Objects = append(page.Objects, s.sim.events[from:]...)
	}
	s.sim.mu.Unlock()
	return page, s.awaitAnswer(ctx)
}

func (s vmStore) Get(ctx context.Context, k store.Key) (store.Object, error) {
	if err := s.call(ctx); err != nil {
		return store.Object{}, err
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	o, ok := s.sim.objects[k]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s vmStore) Put(ctx context.Context, o store.Object) (store.Object, error) {
	return s.write(ctx, o)
}

func (s vmStore) Delete(ctx context.Context, k store.Key, version store.Revision) error {
	_, err := s.write(ctx, store.Object{Key: k, Version: version, Deleted: true})
	return err
}

// write applies a put or a delete if the version matches, and notifies the watches.
func (s vmStore) write(ctx context.Context, o store.Object) (store.Object, error) {
	if err := s.call(ctx); err != nil {
		return o, err
	}
	sim := s.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if current := sim.objects[o.Key]; current.Version != o.Version {
		return o, &store.ConflictError{Key: o.Key, Current: current}
	}
	sim.revision++
	o.Version = sim.revision
	sim.objects[o.Key] = o
	if o.Deleted {
		delete(sim.objects, o.Key)
	}
	sim.events = append(sim.events, o)
	sim.acceptedAt = append(sim.acceptedAt, time.Now())
	close(sim.storeChanged)
	sim.storeChanged = make(chan struct{})
	if sim.loseAnswers {
		return o, store.ErrOutcomeUnknown
	}
	return o, nil
}

// checkDaemons fails the test if a daemon returned to an older revision, differs from the
// store's state at its revision, or lacks a change that must be in force by now.
func (sim *simulation) checkDaemons() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := time.Now()
	required := store.Revision(0)
	for i, at := range sim.acceptedAt {
		if now.Sub(at) >= PropagationBound {
			required = store.Revision(i + 1)
		}
	}
	for _, d := range sim.daemons {
		s := d.holder.Current()
		if s.Revision < d.lastSnapshot.Revision {
			sim.t.Errorf("%s returned from revision %d to revision %d", d.vm.Name, d.lastSnapshot.Revision, s.Revision)
		}
		sim.compareWithStore(d, s)
		d.lastSnapshot = s
		if !sim.canReachStore(d.vm) {
			d.reachableSince = time.Time{}
		} else if d.reachableSince.IsZero() {
			d.reachableSince = now
		}
		if !d.reachableSince.IsZero() && now.Sub(d.reachableSince) >= PropagationBound && s.Revision < required {
			sim.t.Errorf("%s is at revision %d, revision %d was accepted %v ago", d.vm.Name, s.Revision, required, now.Sub(sim.acceptedAt[required-1]))
		}
	}
}

// compareWithStore fails the test if a snapshot differs from the state that the store had
// at the revision of the snapshot.
func (sim *simulation) compareWithStore(d *daemon, s *configuration.Snapshot) {
	versions := map[store.Key]store.Revision{}
	for _, e := range sim.events[:s.Revision] {
		versions[e.Key] = e.Version
		if e.Deleted {
			delete(versions, e.Key)
		}
	}
	if len(versions) != len(s.Documents()) {
		sim.t.Errorf("%s at revision %d holds %d objects, want %d", d.vm.Name, s.Revision, len(s.Documents()), len(versions))
	}
	for k, v := range versions {
		if s.Version(k) != v {
			sim.t.Errorf("%s at revision %d holds version %d of %s, want %d", d.vm.Name, s.Revision, s.Version(k), k, v)
		}
	}
}

// canReachStore reports whether a VM reaches the store, or a failure domain that reaches
// the store and whose relays all run. The caller holds mu.
func (sim *simulation) canReachStore(vm fleet.VM) bool {
	if sim.storeDown || sim.storeDelay > 0 {
		return false
	}
	if sim.isConnected(vm.FailureDomain, storeEndpoint) {
		return true
	}
	for _, domain := range domainNames {
		if domain == vm.FailureDomain || !sim.isConnected(domain, storeEndpoint) || !sim.isConnected(domain, vm.FailureDomain) {
			continue
		}
		if sim.allRelaysLive(vm, domain) {
			return true
		}
	}
	return false
}

// allRelaysLive reports whether all relays of a failure domain run. The caller holds mu.
func (sim *simulation) allRelaysLive(vm fleet.VM, domain string) bool {
	for _, relay := range sim.view(vm).view.Relays(domain) {
		if sim.daemons[relay.Name] == nil {
			return false
		}
	}
	return true
}
