// Package membership tracks which daemons are live, registers this one and chooses the
// home of each database group: the daemon of this failure domain that runs the group's
// units of work, by weighted rendezvous hashing over the VMs that this daemon considers live.
package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// KindVM is the kind of the objects by which daemons register themselves.
const KindVM store.Kind = "laburnumrack-vms"

// registration is the value of an object of KindVM.
type registration struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Capacity is missing in registrations of daemons that don't declare it.
	Capacity store.Capacity `json:"capacity,omitzero"`
}

// viewInterval is the time between checks whether a VM has become usable again.
const viewInterval = 250 * time.Millisecond

// Members holds this daemon's view of the fleet and the clients of its VMs. It is safe
// for concurrent use.
type Members struct {
	self fleet.VM
	// local opens units on this daemon.
	local stmtunit.Opener
	log   *eventlog.Log
	// regions maps each failure domain to its region.
	regions map[string]string
	// regionDomains are the failure domains of this daemon's region.
	regionDomains []string
	view          atomic.Pointer[fleet.View]
	// known is set by the first list of registrations.
	known atomic.Bool
	// joinUntil is when the founder ceases to act as relay, in nanoseconds since boot; 0 if
	// there is no founder.
	joinUntil atomic.Int64

	mu         sync.Mutex
	tracker    *fleet.Tracker          // guarded by mu
	registered map[string]registeredVM // guarded by mu
	clients    map[string]*peer.Client // guarded by mu; by address
	// closed is set when no call to another daemon may be made any more.
	closed bool // guarded by mu
	// contacts are the founder and the daemons that connected to this one before known was
	// set, the newest last.
	contacts []*peer.Client // guarded by mu
	// outdatedUntil maps a relay to the time until which it counts as without a current
	// copy.
	outdatedUntil map[string]time.Time // guarded by mu
	// missingUntil ends the time for which VMs that the store lost are kept; zero if there
	// are none.
	missingUntil time.Time // guarded by mu
	// verifyOwn is set until the first list of a new era has shown whether the store still
	// has this daemon's registration.
	verifyOwn bool // guarded by mu
	// registrationDelay is how long this daemon waits before it registers again, in
	// nanoseconds.
	registrationDelay atomic.Int64
	// removed receives a value when this daemon's registration has been removed.
	removed chan struct{}
}

// registeredVM is a registered VM and the version of its registration.
type registeredVM struct {
	vm      store.VM
	version store.Revision
	// missing is set if the store has lost the registration with an earlier era.
	missing bool
}

// New returns the members as seen by the daemon self, which runs units with local.
// regions maps each failure domain to its region.
func New(self fleet.VM, regions map[string]string, local stmtunit.Opener, log *eventlog.Log) *Members {
	m := &Members{
		self: self, regions: regions, local: local, log: log, tracker: fleet.NewTracker(self, nil),
		registered: map[string]registeredVM{}, clients: map[string]*peer.Client{}, outdatedUntil: map[string]time.Time{}, removed: make(chan struct{}, 1),
	}
	for domain, region := range regions {
		if region == regions[self.FailureDomain] {
			m.regionDomains = append(m.regionDomains, domain)
		}
	}
	m.publishView()
	return m
}

// Self returns this daemon's VM.
func (m *Members) Self() fleet.VM {
	return m.self
}

// Known reports whether the registrations of the VMs have been listed.
func (m *Members) Known() bool {
	return m.known.Load()
}

// Openers returns the openers to try in order for a group: its home candidates, then this
// daemon.
func (m *Members) Openers(group string) []stmtunit.Opener {
	var out []stmtunit.Opener
	for _, vm := range m.view.Load().Homes(group, "") {
		if vm.Name == m.self.Name {
			return append(out, m.local)
		}
		out = append(out, m.client(vm))
	}
	return append(out, m.local)
}

// OtherDomainOpeners returns the openers of a group's homes in the other failure domains,
// those of this daemon's region first.
func (m *Members) OtherDomainOpeners(group string) []stmtunit.Opener {
	var out []stmtunit.Opener
	for _, home := range m.otherDomainHomes(group) {
		out = append(out, home)
	}
	return out
}

// otherDomainHomes returns the clients of the first home of a group in each other failure
// domain, those of this daemon's region first.
func (m *Members) otherDomainHomes(group string) []*peer.Client {
	view := m.view.Load()
	own := m.self.FailureDomain
	var near, far []*peer.Client
	for _, domain := range slices.Sorted(maps.Keys(m.regions)) {
		homes := view.HomesIn(domain, group, "")
		switch {
		case domain == own || len(homes) == 0:
		case m.regions[domain] == m.regions[own]:
			near = append(near, m.client(homes[0]))
		default:
			far = append(far, m.client(homes[0]))
		}
	}
	return append(near, far...)
}

// FindPosition implements backend.PositionFinder. It asks all other homes of the group at
// once: the candidates of this failure domain and the first home of each other one.
func (m *Members) FindPosition(group string) (freshness.Sample, bool) {
	homes := m.otherDomainHomes(group)
	for _, vm := range m.view.Load().Homes(group, "") {
		if vm.Name != m.self.Name {
			homes = append(homes, m.client(vm))
		}
	}
	answers := make(chan *freshness.Sample, len(homes))
	for _, home := range homes {
		go func() {
			sample, err := home.Position(group)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &sample
		}()
	}
	for range homes {
		if s := <-answers; s != nil {
			return *s, true
		}
	}
	return freshness.Sample{}, false
}

// Registered returns the names of the registered VMs, those included that the store has lost
// and that may register again.
func (m *Members) Registered() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.registered))
}

// Answers reports whether a VM answers. An unknown VM and this daemon count as answering.
func (m *Members) Answers(name string) bool {
	vm, ok := m.view.Load().Find(name)
	return !ok || name == m.self.Name || m.client(vm).IsReachable()
}

// Relay returns the client of the relay of this failure domain, nil if this daemon is the
// relay or the domain has no usable VM. As long as the VMs are not known, or the founder
// acts as relay, it is the contact, if there is one.
func (m *Members) Relay() *peer.Client {
	if !m.Known() || m.joining() {
		return m.contact()
	}
	relay, ok := m.selectRelay(m.view.Load().Relays(m.self.FailureDomain))
	if !ok || relay.Name == m.self.Name {
		return nil
	}
	return m.client(relay)
}

// DomainSize returns the number of VMs of this failure domain, this one included, and false
// as long as the VMs are not known.
func (m *Members) DomainSize() (int, bool) {
	if !m.Known() {
		return 0, false
	}
	n := 0
	for _, vm := range m.view.Load().VMs {
		if vm.FailureDomain == m.self.FailureDomain {
			n++
		}
	}
	return n, true
}

// HasContact reports whether this daemon knows another one that it can follow before it
// knows the VMs.
func (m *Members) HasContact() bool {
	return m.contact() != nil
}

// client returns the client of a VM, and creates it if there is none for its address and
// name.
func (m *Members) client(vm fleet.VM) *peer.Client {
	address := vm.Peer.String()
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.clients[address]
	if !ok || c.Name() != vm.Name {
		c = peer.NewClient(m.identity(), vm.Name, address, m)
		m.clients[address] = c
		if m.closed {
			c.Close()
		}
	}
	return c
}

// Close ends all calls to other daemons; later ones fail at once.
func (m *Members) Close() {
	m.mu.Lock()
	m.closed = true
	clients := append(slices.Collect(maps.Values(m.clients)), m.contacts...)
	m.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
}

// publishView makes the tracker's current view the one that requests use. m.mu must be
// held unless m is still private to its constructor.
func (m *Members) publishView() {
	view := m.tracker.View(time.Now())
	if old := m.view.Load(); old == nil || !old.Equal(view) {
		m.view.Store(view)
	}
}

// PeerResponded implements peer.Observer.
func (m *Members) PeerResponded(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm, ok := m.view.Load().Find(name); ok {
		m.tracker.RecordAnswer(time.Now(), vm)
		m.publishView()
	}
}

// PeerUnreachable implements peer.Observer. A connection that ended or failed to open marks
// the VM unreachable at once, without further failures.
func (m *Members) PeerUnreachable(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := false
	if errors.Is(err, syscall.ECONNREFUSED) {
		changed = m.tracker.RecordRefusal(now, name)
	} else {
		for range fleet.FailureThreshold {
			changed = m.tracker.RecordFailure(now, name) || changed
		}
	}
	m.publishView()
	if changed {
		m.log.StateChange("peer_lost", "peer", name, "error", fmt.Sprint(err))
	}
}

// PeerLeaving implements peer.Observer.
func (m *Members) PeerLeaving(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.MarkLeaving(time.Now(), name)
	m.publishView()
	m.log.StateChange("peer_leaving", "peer", name)
}

// Leave marks this daemon as leaving in its own view, so that it is home of no group.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Leave()
	m.publishView()
}

// Run refreshes the view until ctx ends, so that unreachable and leaving VMs become
// usable again when their hold expires.
func (m *Members) Run(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.mu.Lock()
			m.dropMissing(time.Now())
			m.publishView()
			m.mu.Unlock()
		}
	}
}

// Replace replaces all known registrations.
func (m *Members) Replace(objects []store.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, wasRegistered := m.registered[m.self.Name]
	m.registered = m.keepMissing(time.Now(), objects)
	for _, o := range objects {
		m.put(o)
	}
	_, isRegistered := m.registered[m.self.Name]
	if wasRegistered && !isRegistered || m.verifyOwn && m.ownRegistrationLost() {
		m.signalRemoval(m.self.Name)
	}
	m.verifyOwn = false
	m.updateTracker()
	m.known.Store(true)
}

// Change applies a change of one registration.
func (m *Members) Change(o store.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Deleted {
		delete(m.registered, o.Name)
		m.signalRemoval(o.Name)
	} else {
		m.put(o)
	}
	m.updateTracker()
}

// signalRemoval wakes KeepRegistered if the removed registration is this daemon's.
func (m *Members) signalRemoval(name string) {
	if name != m.self.Name {
		return
	}
	select {
	case m.removed <- struct{}{}:
	default:
	}
}

// put adds a registration; one that can't be decoded is logged and ignored. m.mu must be
// held.
func (m *Members) put(o store.Object) {
	var r registration
	if err := json.Unmarshal(o.Value, &r); err != nil {
		m.log.StateChange("vm_entry_ignored", "entry", o.Name, "error", err.Error())
		return
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		m.log.StateChange("vm_entry_ignored", "entry", o.Name, "error", err.Error())
		return
	}
	vm := store.VM{Name: o.Name, Address: r.Address, FailureDomain: r.FailureDomain, State: store.VMLive, Capacity: r.Capacity}
	m.registered[o.Name] = registeredVM{vm: vm, version: o.Version}
}

// updateTracker passes the registrations to the tracker and publishes the resulting view.
// m.mu must be held.
func (m *Members) updateTracker() {
	vms := make([]store.VM, 0, len(m.registered))
	for _, r := range m.registered {
		vms = append(vms, r.vm)
	}
	m.tracker.SetListed(time.Now(), vms)
	m.publishView()
	m.closeStaleClients()
}

// closeStaleClients closes the clients of VMs that are no longer registered at their
// address. m.mu must be held.
func (m *Members) closeStaleClients() {
	for address, c := range m.clients {
		if r, ok := m.registered[c.Name()]; !ok || r.vm.Address != address {
			delete(m.clients, address)
			go c.Close()
		}
	}
}

// Objects reads and writes objects of the store.
type Objects interface {
	Get(ctx context.Context, k store.Key) (store.Object, error)
	Put(ctx context.Context, o store.Object) (store.Object, error)
}

// Register writes this daemon's registration unless the store already has it. It retries
// until that succeeds or ctx ends.
func (m *Members) Register(ctx context.Context, objects Objects) {
	pause := 200 * time.Millisecond
	for ctx.Err() == nil {
		err := m.register(ctx, objects)
		if err == nil {
			return
		}
		m.log.StateChange("registration_failed", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, 2*time.Second)
	}
}

// register makes one attempt to write this daemon's registration. On a conflict it
// replaces the existing object.
func (m *Members) register(ctx context.Context, objects Objects) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r := registration{Address: m.self.Peer.String(), FailureDomain: m.self.FailureDomain, Capacity: m.self.Capacity}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	o := store.Object{Key: store.Key{Kind: KindVM, Name: m.self.Name}, Value: value}
	_, err = objects.Put(ctx, o)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	var known registration
	if json.Unmarshal(conflict.Current.Value, &known) == nil && known == r {
		return nil
	}
	o.Version = conflict.Current.Version
	if o.Version == 0 {
		current, err := objects.Get(ctx, o.Key)
		if err != nil {
			return err
		}
		o.Version = current.Version
	}
	_, err = objects.Put(ctx, o)
	return err
}
