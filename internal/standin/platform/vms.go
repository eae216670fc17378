package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// vmState is the VM list from a point in time on.
type vmState struct {
	since time.Time
	vms   []store.VM
}

// vmList holds the VM list with its history, so that changes can be shown late. setLag,
// replace and visible may be called from any goroutine.
type vmList struct {
	mu     sync.Mutex
	lag    time.Duration
	states []vmState
}

// setLag sets how late changes are shown.
func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// latest returns the newest list. The caller holds mu.
func (l *vmList) latest() []store.VM {
	if len(l.states) == 0 {
		return nil
	}
	return l.states[len(l.states)-1].vms
}

// replace sets the VM of a name; nil removes it.
func (l *vmList) replace(name string, vm *store.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(l.latest()), func(v store.VM) bool { return v.Name == name })
	if vm != nil {
		next = append(next, *vm)
	}
	slices.SortFunc(next, func(a, b store.VM) int { return strings.Compare(a.Name, b.Name) })
	l.states = append(l.states, vmState{since: time.Now(), vms: next})
}

// visible returns the list as it was one lag ago.
func (l *vmList) visible() []store.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := time.Now().Add(-l.lag)
	for _, state := range slices.Backward(l.states) {
		if !state.since.After(until) {
			return state.vms
		}
	}
	return []store.VM{}
}

// PutVM adds or replaces a VM. An empty state means live.
func (p *Platform) PutVM(vm store.VM) {
	if vm.State == "" {
		vm.State = store.VMLive
	}
	p.vms.replace(vm.Name, &vm)
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.vms.replace(name, nil)
}

// SetVMLag sets the age that a change of the VM list must reach before the list shows
// it.
func (p *Platform) SetVMLag(lag time.Duration) {
	p.vms.setLag(lag)
}
