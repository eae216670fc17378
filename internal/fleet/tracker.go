package fleet

import (
	"net/netip"
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Timing of a Tracker.
const (
	// FailureThreshold is how many calls in a row must fail before a VM counts as
	// silent.
	FailureThreshold = 2
	// UnreachableHold is how long a silent VM is left alone before it is tried again. It
	// doubles each time that the VM is found silent again, up to MaxUnreachableHold: a VM
	// that was removed may be listed for ever.
	UnreachableHold    = 3 * time.Second
	MaxUnreachableHold = 24 * time.Second
	// UnlistedRetention is how long a VM that the list lacks is kept after its last
	// answer.
	UnlistedRetention = 10 * time.Second
	// LeavingHold is how long a VM's own word that it leaves counts. A daemon that
	// is started again at the same place gets its roles back after it.
	LeavingHold = 2 * time.Minute
)

// member is what the tracker knows of one VM.
type member struct {
	vm      VM
	listed  bool
	leaving bool
	// saidUntil is how long the VM's own word that it leaves counts.
	saidUntil time.Time
	failures  int
	// holds counts the silences since the VM was heard last.
	holds       int
	silentUntil time.Time
	heard       time.Time
}

// Tracker merges the platform's list with what this daemon sees of its peers. It
// is pure and not safe for concurrent use.
type Tracker struct {
	self VM
	// listedLeaving says that the platform's list has this VM as leaving.
	listedLeaving bool

	members map[string]*member
	drained func(name string) bool
}

// NewTracker returns a tracker that knows self only. drained reports whether
// the configuration drains a VM; it may be nil.
func NewTracker(self VM, drained func(name string) bool) *Tracker {
	if drained == nil {
		drained = func(string) bool { return false }
	}
	self.Reachable = true
	return &Tracker{self: self, members: map[string]*member{}, drained: drained}
}

// SetListed takes in the platform's list. VMs with an unreadable address are left
// out, and their names returned.
func (t *Tracker) SetListed(now time.Time, vms []store.VM) (bad []string) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, listed := range vms {
		if listed.Name == t.self.Name {
			t.listedLeaving = listed.State == store.VMLeaving
			continue
		}
		address, err := netip.ParseAddrPort(listed.Address)
		if err != nil {
			bad = append(bad, listed.Name)
			continue
		}
		m := t.member(VM{Name: listed.Name, Peer: address, FailureDomain: listed.FailureDomain})
		if m.vm.Peer != address {
			// A VM that came back at another address is a new process.
			*m = member{}
		}
		m.vm = VM{Name: listed.Name, Peer: address, FailureDomain: listed.FailureDomain}
		m.listed = true
		m.leaving = listed.State == store.VMLeaving
	}
	t.forget(now)
	return bad
}

// RecordAnswer records that a VM answered.
func (t *Tracker) RecordAnswer(now time.Time, vm VM) {
	if vm.Name == t.self.Name {
		return
	}
	m := t.member(vm)
	m.failures, m.holds = 0, 0
	m.silentUntil = time.Time{}
	m.heard = now
}

// RecordFailure records that a call to a VM failed. It reports whether the view changed.
func (t *Tracker) RecordFailure(now time.Time, name string) bool {
	m, ok := t.members[name]
	if !ok {
		return false
	}
	m.failures++
	if m.failures < FailureThreshold {
		return false
	}
	if now.Before(m.silentUntil) {
		return false
	}
	m.silentUntil = now.Add(min(UnreachableHold<<m.holds, MaxUnreachableHold))
	if UnreachableHold<<m.holds < MaxUnreachableHold {
		m.holds++
	}
	return true
}

// MarkLeaving records that a VM itself said that it takes no new work.
func (t *Tracker) MarkLeaving(now time.Time, name string) {
	if m, ok := t.members[name]; ok {
		m.saidUntil = now.Add(LeavingHold)
	}
}

// Leave marks this daemon as leaving.
func (t *Tracker) Leave() {
	t.self.Leaving = true
}

// View returns the picture at now.
func (t *Tracker) View(now time.Time) *View {
	self := t.self
	self.Leaving = self.Leaving || t.listedLeaving || t.drained(self.Name)
	vms := []VM{self}
	for _, m := range t.members {
		vm := m.vm
		vm.Leaving = m.leaving || now.Before(m.saidUntil) || t.drained(vm.Name)
		vm.Reachable = !now.Before(m.silentUntil)
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return NewView(self, vms)
}

func (t *Tracker) member(vm VM) *member {
	m, ok := t.members[vm.Name]
	if !ok {
		m = &member{vm: vm}
		t.members[vm.Name] = m
	}
	return m
}

// forget drops VMs that neither the list has nor this daemon has heard lately.
func (t *Tracker) forget(now time.Time) {
	for name, m := range t.members {
		if !m.listed && now.Sub(m.heard) > UnlistedRetention {
			delete(t.members, name)
		}
	}
}
