package fleet

import (
	"net/netip"
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Limits of a Tracker.
const (
	// FailureThreshold is the number of consecutive failed calls after which a VM counts
	// as unreachable.
	FailureThreshold = 2
	// UnreachableHold is how long an unreachable VM is not used before it is tried again.
	// It doubles each time that the VM becomes unreachable again, up to
	// MaxUnreachableHold: the platform may list a removed VM forever.
	UnreachableHold    = 3 * time.Second
	MaxUnreachableHold = 24 * time.Second
	// RefusedHold is how long a VM is not used that refused a connection: its process is
	// not running, and processes are restarted within moments.
	RefusedHold = 500 * time.Millisecond
	// UnlistedRetention is how long a VM that the platform does not list is kept after
	// its last answer.
	UnlistedRetention = 10 * time.Second
	// LeavingHold is how long a VM counts as leaving after it announced that itself, unless
	// its process is found to have ended before. A daemon that is restarted at the same
	// address then gets its roles back with the next hold: without that, daemons that heard
	// the announcement and daemons that started after it chose different homes for as long.
	LeavingHold = 2 * time.Minute
)

// member is the tracked state of one VM.
type member struct {
	vm VM
	// listed and leaving are the VM's state in the platform's list.
	listed  bool
	leaving bool
	// leavingUntil is the time until which the VM's own announcement that it leaves
	// counts.
	leavingUntil        time.Time
	consecutiveFailures int
	// holdDoublings is how many times the next unreachable hold is doubled. An answer
	// resets it.
	holdDoublings    int
	unreachableUntil time.Time
	lastAnswer       time.Time
}

// Tracker merges the platform's list of VMs with this daemon's observations of its peers.
// It does no I/O and reads no clock, and is not safe for concurrent use.
type Tracker struct {
	self VM
	// listedLeaving is whether the platform lists this VM as leaving.
	listedLeaving bool

	// members are the other VMs by name.
	members   map[string]*member
	isDrained func(name string) bool
}

// NewTracker returns a tracker that knows only self. isDrained reports whether the
// configuration drains a VM; nil means that it drains none.
func NewTracker(self VM, isDrained func(name string) bool) *Tracker {
	if isDrained == nil {
		isDrained = func(string) bool { return false }
	}
	self.Reachable = true
	return &Tracker{self: self, members: map[string]*member{}, isDrained: isDrained}
}

// SetListed replaces the platform's list. VMs whose address can't be parsed are left out,
// and their names are returned.
func (t *Tracker) SetListed(now time.Time, vms []store.VM) (unreadable []string) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, listed := range vms {
		if listed.Name == t.self.Name {
			t.listedLeaving = listed.State == store.VMLeaving
			// The other daemons rank this VM by the capacity that is listed.
			t.self.Capacity = listed.Capacity
			continue
		}
		address, err := netip.ParseAddrPort(listed.Address)
		if err != nil {
			unreadable = append(unreadable, listed.Name)
			continue
		}
		vm := VM{Name: listed.Name, Peer: address, FailureDomain: listed.FailureDomain, Capacity: listed.Capacity}
		m := t.member(vm)
		if m.vm.Peer != address {
			// A VM with a new address is a new process: discard what was observed of the
			// old one.
			*m = member{}
		}
		m.vm = vm
		m.listed = true
		m.leaving = listed.State == store.VMLeaving
	}
	t.dropUnlisted(now)
	return unreadable
}

// RecordAnswer records that a VM answered.
func (t *Tracker) RecordAnswer(now time.Time, vm VM) {
	if vm.Name == t.self.Name {
		return
	}
	m := t.member(vm)
	m.consecutiveFailures, m.holdDoublings = 0, 0
	m.unreachableUntil = time.Time{}
	m.lastAnswer = now
}

// RecordFailure records that a call to a VM failed. It reports whether the VM became
// unreachable by that. The process that announced that it leaves has then ended; if it has
// not, it says so again when it is called.
func (t *Tracker) RecordFailure(now time.Time, name string) bool {
	m, ok := t.members[name]
	if !ok {
		return false
	}
	m.consecutiveFailures++
	if m.consecutiveFailures < FailureThreshold {
		return false
	}
	if now.Before(m.unreachableUntil) {
		return false
	}
	m.leavingUntil = time.Time{}
	m.unreachableUntil = now.Add(min(UnreachableHold<<m.holdDoublings, MaxUnreachableHold))
	if UnreachableHold<<m.holdDoublings < MaxUnreachableHold {
		m.holdDoublings++
	}
	return true
}

// RecordRefusal records that a VM refused a connection. It reports whether the VM became
// unreachable by that.
func (t *Tracker) RecordRefusal(now time.Time, name string) bool {
	m, ok := t.members[name]
	if !ok || now.Before(m.unreachableUntil) {
		return false
	}
	m.leavingUntil = time.Time{}
	m.unreachableUntil = now.Add(RefusedHold)
	return true
}

// MarkLeaving records that a VM announced that it takes no new work.
func (t *Tracker) MarkLeaving(now time.Time, name string) {
	if m, ok := t.members[name]; ok {
		m.leavingUntil = now.Add(LeavingHold)
	}
}

// Leave marks this daemon as leaving.
func (t *Tracker) Leave() {
	t.self.Leaving = true
}

// View returns the view of the fleet at now.
func (t *Tracker) View(now time.Time) *View {
	self := t.self
	self.Leaving = self.Leaving || t.listedLeaving || t.isDrained(self.Name)
	vms := []VM{self}
	for _, m := range t.members {
		vm := m.vm
		vm.Leaving = m.leaving || now.Before(m.leavingUntil) || t.isDrained(vm.Name)
		vm.Reachable = !now.Before(m.unreachableUntil)
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return NewView(self, vms)
}

// member returns the tracked state of vm, and starts to track it if necessary.
func (t *Tracker) member(vm VM) *member {
	m, ok := t.members[vm.Name]
	if !ok {
		m = &member{vm: vm}
		t.members[vm.Name] = m
	}
	return m
}

// dropUnlisted drops the VMs that are not listed and have not answered for
// UnlistedRetention.
func (t *Tracker) dropUnlisted(now time.Time) {
	for name, m := range t.members {
		if !m.listed && now.Sub(m.lastAnswer) > UnlistedRetention {
			delete(t.members, name)
		}
	}
}
