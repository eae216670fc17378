// Package membership tracks which daemons are live and chooses the one that runs the
// units of a group: its home in the own failure domain, by rendezvous hashing over the
// VMs believed to be live.
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
	"time"

	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// KindVM is the kind of the objects that daemons register themselves with.
const KindVM store.Kind = "laburnumrack-vms"

// registration is the value of such an object.
type registration struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// viewInterval is the time between looks whether a VM has become usable again.
const viewInterval = 250 * time.Millisecond

// Members knows the fleet and the connections to its VMs. It may be used by any
// goroutine.
type Members struct {
	self  fleet.VM
	local stmtunit.Opener
	log   *eventlog.Log
	// regions maps each failure domain to its region.
	regions map[string]string
	view    atomic.Pointer[fleet.View]

	mu      sync.Mutex
	tracker *fleet.Tracker          // guarded by mu
	listed  map[string]listedVM     // guarded by mu
	clients map[string]*peer.Client // guarded by mu; by address
	// removed says that this daemon's registration was removed.
	removed chan struct{}
}

// listedVM is a registration with the version of its object.
type listedVM struct {
	vm      store.VM
	version store.Revision
}

// New returns the homes as seen by the daemon self, which runs units with local.
// regions maps each failure domain to its region.
func New(self fleet.VM, regions map[string]string, local stmtunit.Opener, log *eventlog.Log) *Members {
	h := &Members{
		self: self, regions: regions, local: local, log: log, tracker: fleet.NewTracker(self, nil),
		listed: map[string]listedVM{}, clients: map[string]*peer.Client{}, removed: make(chan struct{}, 1),
	}
	h.publish()
	return h
}

// Self returns this daemon's entry.
func (h *Members) Self() fleet.VM {
	return h.self
}

// Openers returns the openers to ask for a group: its homes, then this daemon.
func (h *Members) Openers(group string) []stmtunit.Opener {
	var out []stmtunit.Opener
	for _, vm := range h.view.Load().Homes(group, "") {
		if vm.Name == h.self.Name {
			return append(out, h.local)
		}
		out = append(out, h.client(vm))
	}
	return append(out, h.local)
}

// OtherDomainOpeners returns the homes of a group in other failure domains, those of the own
// region first.
func (h *Members) OtherDomainOpeners(group string) []stmtunit.Opener {
	view := h.view.Load()
	own := h.self.FailureDomain
	var near, far []stmtunit.Opener
	for _, domain := range slices.Sorted(maps.Keys(h.regions)) {
		homes := view.HomesIn(domain, group, "")
		switch {
		case domain == own || len(homes) == 0:
		case h.regions[domain] == h.regions[own]:
			near = append(near, h.client(homes[0]))
		default:
			far = append(far, h.client(homes[0]))
		}
	}
	return append(near, far...)
}

// Answers reports whether a VM answers. One that is not known counts as answering.
func (h *Members) Answers(name string) bool {
	vm, ok := h.view.Load().Find(name)
	return !ok || name == h.self.Name || h.client(vm).IsReachable()
}

// Relay returns the client of the relay to ask for objects, nil if this daemon is
// the relay.
func (h *Members) Relay() *peer.Client {
	relays := h.view.Load().Relays(h.self.FailureDomain)
	if len(relays) == 0 || relays[0].Name == h.self.Name {
		return nil
	}
	return h.client(relays[0])
}

func (h *Members) client(vm fleet.VM) *peer.Client {
	address := vm.Peer.String()
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.clients[address]
	if !ok || c.Name() != vm.Name {
		c = peer.NewClient(h.self.Name, vm.Name, address, h)
		h.clients[address] = c
	}
	return c
}

// publish makes the tracker's picture that of all requests. The lock is held, or
// nobody else knows h yet.
func (h *Members) publish() {
	view := h.tracker.View(time.Now())
	if old := h.view.Load(); old == nil || !old.Equal(view) {
		h.view.Store(view)
	}
}

// Heard implements peer.Observer.
func (h *Members) Heard(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vm, ok := h.view.Load().Find(name); ok {
		h.tracker.RecordAnswer(time.Now(), vm)
		h.publish()
	}
}

// Lost implements peer.Observer. The end of a connection and a failed connect are
// clear enough to leave the VM alone at once.
func (h *Members) Lost(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	changed := false
	for range fleet.FailureThreshold {
		changed = h.tracker.RecordFailure(now, name) || changed
	}
	h.publish()
	if changed {
		h.log.StateChange("peer_lost", "peer", name, "error", fmt.Sprint(err))
	}
}

// Leaving implements peer.Observer.
func (h *Members) Leaving(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.MarkLeaving(time.Now(), name)
	h.publish()
	h.log.StateChange("peer_leaving", "peer", name)
}

// Leave makes this daemon home of nothing in its own view.
func (h *Members) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Leave()
	h.publish()
}

// Run lets VMs become usable again when their time has come, until ctx ends.
func (h *Members) Run(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.mu.Lock()
			h.publish()
			h.mu.Unlock()
		}
	}
}

// Replace takes in all registrations.
func (h *Members) Replace(objects []store.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, before := h.listed[h.self.Name]
	clear(h.listed)
	for _, o := range objects {
		h.put(o)
	}
	if _, still := h.listed[h.self.Name]; before && !still {
		h.noteRemoved(h.self.Name)
	}
	h.list()
}

// Change takes in one registration that changed.
func (h *Members) Change(o store.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Deleted {
		delete(h.listed, o.Name)
		h.noteRemoved(o.Name)
	} else {
		h.put(o)
	}
	h.list()
}

// noteRemoved takes in that a registration was removed.
func (h *Members) noteRemoved(name string) {
	if name != h.self.Name {
		return
	}
	select {
	case h.removed <- struct{}{}:
	default:
	}
}

func (h *Members) put(o store.Object) {
	var r registration
	if err := json.Unmarshal(o.Value, &r); err != nil {
		h.log.StateChange("vm_entry_ignored", "entry", o.Name, "error", err.Error())
		return
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		h.log.StateChange("vm_entry_ignored", "entry", o.Name, "error", err.Error())
		return
	}
	vm := store.VM{Name: o.Name, Address: r.Address, FailureDomain: r.FailureDomain, State: store.VMLive}
	h.listed[o.Name] = listedVM{vm: vm, version: o.Version}
}

func (h *Members) list() {
	vms := make([]store.VM, 0, len(h.listed))
	for _, r := range h.listed {
		vms = append(vms, r.vm)
	}
	h.tracker.SetListed(time.Now(), vms)
	h.publish()
	h.dropClients()
}

// dropClients closes the connections to VMs that are not listed any more.
func (h *Members) dropClients() {
	for address, c := range h.clients {
		if r, ok := h.listed[c.Name()]; !ok || r.vm.Address != address {
			delete(h.clients, address)
			go c.Close()
		}
	}
}

// Objects is the part of the store that the registration needs.
type Objects interface {
	Get(ctx context.Context, k store.Key) (store.Object, error)
	Put(ctx context.Context, o store.Object) (store.Object, error)
}

// Register writes this daemon's registration unless it stands there already. It
// tries until ctx ends.
func (h *Members) Register(ctx context.Context, objects Objects) {
	pause := 200 * time.Millisecond
	for ctx.Err() == nil {
		err := h.register(ctx, objects)
		if err == nil {
			return
		}
		h.log.StateChange("registration_failed", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, 2*time.Second)
	}
}

func (h *Members) register(ctx context.Context, objects Objects) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r := registration{Address: h.self.Peer.String(), FailureDomain: h.self.FailureDomain}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	o := store.Object{Key: store.Key{Kind: KindVM, Name: h.self.Name}, Value: value}
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
