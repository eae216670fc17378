// Package fleet assigns roles, such as home of a database and relay, to VMs.
//
// Every daemon decides on its own, from the platform's lagging list of VMs corrected by
// its observations of its peers. Two daemons may disagree for a while; that may cost an
// extra hop or an extra connection, but never correctness.
package fleet

import (
	"net/netip"
	"slices"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// VM is the state of one VM as this daemon knows it.
type VM struct {
	Name string
	// Peer is the address of the VM's peer listener (UDP).
	Peer          netip.AddrPort
	FailureDomain string
	// Capacity is what the VM declares that it can carry.
	Capacity store.Capacity
	// Leaving is whether the VM takes no new work.
	Leaving bool
	// Reachable is false while the VM is held as unreachable after failed calls.
	Reachable bool
}

// usable reports whether the VM may hold a role.
func (v VM) usable() bool {
	return v.Reachable && !v.Leaving
}

// View is an immutable snapshot of the fleet. VMs are sorted by name. It is safe for
// concurrent use.
type View struct {
	Self VM
	VMs  []VM

	// rankings caches rankings by failure domain and key. A view never changes, so
	// neither do they.
	rankings *xsync.Map[string, []VM]
}

// NewView returns a view of vms, which must be sorted by name and not change.
func NewView(self VM, vms []VM) *View {
	return &View{Self: self, VMs: vms, rankings: xsync.NewMap[string, []VM]()}
}

// Find returns the VM of that name, and false if there is none.
func (v *View) Find(name string) (VM, bool) {
	for _, vm := range v.VMs {
		if vm.Name == name {
			return vm, true
		}
	}
	return VM{}, false
}

// Source gives the current view. Current is called on the path of every request
// and must not block.
type Source interface {
	Current() *View
}

// Equal reports whether both views have the same VMs in the same state.
func (v *View) Equal(other *View) bool {
	return v.Self == other.Self && slices.Equal(v.VMs, other.VMs)
}
