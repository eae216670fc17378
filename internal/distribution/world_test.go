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
	perDomain = 4
	latency   = 3 * time.Millisecond
)

var domainNames = []string{"a", "b", "c"}

// world is a fleet with its store and its network in virtual time.
type world struct {
	t      *testing.T
	random *rand.Rand
	vms    []fleet.VM

	mu sync.Mutex // guards all below
	// change is closed and replaced at each change of the store.
	change   chan struct{}
	revision store.Revision
	objects  map[store.Key]store.Object
	events   []store.Object
	accepted []time.Time // of each event
	// down and slow are the store's faults, lose that of the answers to a put.
	down, lose bool
	slow       time.Duration
	// cut holds pairs of places that do not reach each other.
	cut map[[2]string]bool
	// deaf holds VMs that reach their own failure domain only.
	deaf    map[string]bool
	daemons map[string]*daemon
	calls   map[string]int
	// sent and served count the calls to peers by VM, bytes what was sent in them.
	sent, served, bytes map[string]int
	// pairs counts the calls to peers by the two VMs.
	pairs map[[2]string]int
}

// daemon is one incarnation of a VM's process.
type daemon struct {
	vm     fleet.VM
	runner *Syncer
	holder *configuration.Holder
	stop   context.CancelFunc
	done   chan struct{}
	// seen is the snapshot at the last check.
	seen *configuration.Snapshot
	// informed is the time since which the daemon could know of every change.
	informed time.Time
}

const storePlace = "store"

func newWorld(t *testing.T, seed uint64) *world {
	return newWorldOf(t, seed, domainNames, perDomain)
}

func newWorldOf(t *testing.T, seed uint64, domainNames []string, perDomain int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), change: make(chan struct{}), objects: map[store.Key]store.Object{},
		sent: map[string]int{}, served: map[string]int{}, bytes: map[string]int{}, pairs: map[[2]string]int{}, cut: map[[2]string]bool{}, deaf: map[string]bool{}, daemons: map[string]*daemon{}, calls: map[string]int{}}
	for i, domain := range domainNames {
		for n := range perDomain {
			address := netip.MustParseAddrPort(fmt.Sprintf("127.0.%d.%d:7000", i, n+1))
			w.vms = append(w.vms, fleet.VM{Name: fmt.Sprintf("%s%d", domain, n), FailureDomain: domain, Peer: address, Reachable: true})
		}
	}
	return w
}

// Current returns the view of one VM; it never learns that a VM is gone.
type fixedView struct{ view *fleet.View }

func (f fixedView) Current() *fleet.View { return f.view }

func (w *world) view(self fleet.VM) fixedView {
	tracker := fleet.NewTracker(self, nil)
	var listed []store.VM
	for _, vm := range w.vms {
		listed = append(listed, store.VM{Name: vm.Name, Address: vm.Peer.String(), FailureDomain: vm.FailureDomain, State: store.VMLive})
	}
	tracker.SetListed(time.Now(), listed)
	return fixedView{tracker.View(time.Now())}
}

func (w *world) start(vm fleet.VM) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{vm: vm, holder: configuration.NewHolder(), stop: cancel, done: make(chan struct{}), seen: configuration.Empty()}
	d.runner = NewWithPeers(Options{Store: storeOf{w: w, vm: vm}, Holder: d.holder, Fleet: w.view(vm), Peers: peersOf{w: w, vm: vm}, Seed: w.random.Uint64()})
	w.mu.Lock()
	w.daemons[vm.Name] = d
	w.mu.Unlock()
	go func() {
		defer close(d.done)
		_ = d.runner.Run(ctx)
	}()
}

func (w *world) kill(name string) {
	w.mu.Lock()
	d := w.daemons[name]
	delete(w.daemons, name)
	w.mu.Unlock()
	if d != nil {
		d.stop()
		<-d.done
	}
}

func (w *world) connected(a, b string) bool {
	return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}]
}

// reachFrom waits for the way from a VM to a place.
func (w *world) reachFrom(ctx context.Context, vm fleet.VM, to string) error {
	w.mu.Lock()
	deaf := w.deaf[vm.Name]
	w.mu.Unlock()
	if deaf && to != vm.FailureDomain {
		<-ctx.Done()
		return ctx.Err()
	}
	return w.reach(ctx, vm.FailureDomain, to)
}

// reach waits for the way from a to b, or until ctx ends if there is none.
func (w *world) reach(ctx context.Context, a, b string) error {
	w.mu.Lock()
	open := w.connected(a, b)
	delay := latency
	if b == storePlace {
		delay += w.slow
	}
	w.mu.Unlock()
	if !open {
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

// peersOf calls the other daemons for one VM.
type peersOf struct {
	w  *world
	vm fleet.VM
}

func (p peersOf) daemon(ctx context.Context, vm fleet.VM) (*daemon, error) {
	if err := p.w.reachFrom(ctx, p.vm, vm.FailureDomain); err != nil {
		return nil, err
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if d := p.w.daemons[vm.Name]; d != nil {
		return d, nil
	}
	return nil, errors.New("connection refused")
}

// counted adds one message to the figures of its two ends.
func (w *world) counted(from, to fleet.VM, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[from.Name]++
	w.pairs[[2]string{from.Name, to.Name}]++
	w.served[to.Name]++
	w.bytes[from.Name] += size
	w.bytes[to.Name] += size
}

func (w *world) size(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		w.t.Error(err)
	}
	return len(b)
}

func (p peersOf) Push(ctx context.Context, vm fleet.VM, mine Status) (Status, error) {
	p.w.counted(p.vm, vm, 2*p.w.size(mine))
	d, err := p.daemon(ctx, vm)
	if err != nil {
		return Status{}, err
	}
	theirs := d.runner.HandlePush(p.vm, mine)
	return theirs, p.w.reach(ctx, vm.FailureDomain, p.vm.FailureDomain)
}

func (p peersOf) Pull(ctx context.Context, vm fleet.VM, since store.Revision) ([]byte, error) {
	d, err := p.daemon(ctx, vm)
	if err != nil {
		return nil, err
	}
	b, err := d.runner.HandlePull(since)
	p.w.counted(p.vm, vm, len(b)+p.w.size(since))
	return b, errors.Join(err, p.w.reach(ctx, vm.FailureDomain, p.vm.FailureDomain))
}

// storeOf is the store as one VM reaches it.
type storeOf struct {
	store.Store
	w  *world
	vm fleet.VM
}

func (s storeOf) call(ctx context.Context) error {
	s.w.mu.Lock()
	s.w.calls[s.vm.Name]++
	s.w.mu.Unlock()
	if s.w.reachFrom(ctx, s.vm, storePlace) != nil {
		return store.ErrUnclear
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.w.down {
		return store.ErrUnavailable
	}
	return nil
}

// answer waits for the way back of an answer to a read.
func (s storeOf) answer(ctx context.Context) error {
	if s.w.reach(ctx, storePlace, s.vm.FailureDomain) != nil {
		return store.ErrUnavailable
	}
	return nil
}

func (s storeOf) List(ctx context.Context, _ ...store.Kind) (store.Page, error) {
	if err := s.call(ctx); err != nil {
		return store.Page{}, err
	}
	s.w.mu.Lock()
	page := store.Page{Revision: s.w.revision}
	for _, o := range s.w.objects {
		page.Objects = append(page.Objects, o)
	}
	s.w.mu.Unlock()
	return page, s.answer(ctx)
}

func (s storeOf) Watch(ctx context.Context, from store.Revision, wait time.Duration, _ ...store.Kind) (store.Page, error) {
	if err := s.call(ctx); err != nil {
		return store.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.w.mu.Lock()
		changed, done := s.w.change, s.w.revision > from
		s.w.mu.Unlock()
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
	s.w.mu.Lock()
	page := store.Page{Revision: s.w.revision}
	if from < s.w.revision {
		page.Objects = append(page.Objects, s.w.events[from:]...)
	}
	s.w.mu.Unlock()
	return page, s.answer(ctx)
}

func (s storeOf) Get(ctx context.Context, k store.Key) (store.Object, error) {
	if err := s.call(ctx); err != nil {
		return store.Object{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	o, ok := s.w.objects[k]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s storeOf) Put(ctx context.Context, o store.Object) (store.Object, error) {
	return s.write(ctx, o)
}

func (s storeOf) Delete(ctx context.Context, k store.Key, version store.Revision) error {
	_, err := s.write(ctx, store.Object{Key: k, Version: version, Deleted: true})
	return err
}

func (s storeOf) write(ctx context.Context, o store.Object) (store.Object, error) {
	if err := s.call(ctx); err != nil {
		return o, err
	}
	w := s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.objects[o.Key]; current.Version != o.Version {
		return o, &store.ConflictError{Key: o.Key, Current: current}
	}
	w.revision++
	o.Version = w.revision
	w.objects[o.Key] = o
	if o.Deleted {
		delete(w.objects, o.Key)
	}
	w.events = append(w.events, o)
	w.accepted = append(w.accepted, time.Now())
	close(w.change)
	w.change = make(chan struct{})
	if w.lose {
		return o, store.ErrUnclear
	}
	return o, nil
}

// check compares every daemon with its own past, with the store's history, and
// with what it must know by now.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	due := store.Revision(0)
	for i, at := range w.accepted {
		if now.Sub(at) >= PropagationBound {
			due = store.Revision(i + 1)
		}
	}
	for _, d := range w.daemons {
		s := d.holder.Current()
		if s.Revision < d.seen.Revision {
			w.t.Errorf("%s went back from revision %d to %d", d.vm.Name, d.seen.Revision, s.Revision)
		}
		w.compare(d, s)
		d.seen = s
		if !w.canKnow(d.vm) {
			d.informed = time.Time{}
		} else if d.informed.IsZero() {
			d.informed = now
		}
		if !d.informed.IsZero() && now.Sub(d.informed) >= PropagationBound && s.Revision < due {
			w.t.Errorf("%s is at revision %d, revision %d was accepted %v ago", d.vm.Name, s.Revision, due, now.Sub(w.accepted[due-1]))
		}
	}
}

// compare wants the snapshot to be the store's state at its revision.
func (w *world) compare(d *daemon, s *configuration.Snapshot) {
	versions := map[store.Key]store.Revision{}
	for _, e := range w.events[:s.Revision] {
		versions[e.Key] = e.Version
		if e.Deleted {
			delete(versions, e.Key)
		}
	}
	if len(versions) != len(s.Documents()) {
		w.t.Errorf("%s at revision %d holds %d objects, want %d", d.vm.Name, s.Revision, len(s.Documents()), len(versions))
	}
	for k, v := range versions {
		if s.Version(k) != v {
			w.t.Errorf("%s at revision %d holds version %d of %s, want %d", d.vm.Name, s.Revision, s.Version(k), k, v)
		}
	}
}

// canKnow reports whether a VM reaches the store, or a live relay that does.
func (w *world) canKnow(vm fleet.VM) bool {
	if w.down || w.slow > 0 {
		return false
	}
	if w.connected(vm.FailureDomain, storePlace) {
		return true
	}
	for _, domain := range domainNames {
		if domain == vm.FailureDomain || !w.connected(domain, storePlace) || !w.connected(domain, vm.FailureDomain) {
			continue
		}
		if w.relaysLive(vm, domain) {
			return true
		}
	}
	return false
}

// relaysLive reports whether all relays of a failure domain run.
func (w *world) relaysLive(vm fleet.VM, domain string) bool {
	for _, relay := range w.view(vm).view.Relays(domain) {
		if w.daemons[relay.Name] == nil {
			return false
		}
	}
	return true
}
