package daemon

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/adapter/peer"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// refreshInterval is the time between two new pictures without news.
const refreshInterval = 500 * time.Millisecond

// members keeps the picture of the fleet. It is a fleet.Source, a
// peer.Observer and an gateway.HomeFinder, and may be used by any goroutine.
type members struct {
	store store.Store
	// seeds are the peers that are asked when the platform does not answer at the
	// start.
	seeds []netip.AddrPort
	view  atomic.Pointer[fleet.View]
	list  atomic.Pointer[vmList]

	mu      sync.Mutex
	tracker *fleet.Tracker
}

func newMembers(self fleet.VM, s store.Store, drained func(string) bool) *members {
	m := &members{store: s, tracker: fleet.NewTracker(self, drained)}
	m.list.Store(&vmList{})
	m.refresh()
	return m
}

// Current returns the latest picture.
func (m *members) Current() *fleet.View {
	return m.view.Load()
}

// Homes returns the VMs to ask for a database; this daemon itself is the last
// resort.
func (m *members) Homes(service, database string) []fleet.VM {
	view := m.view.Load()
	homes := view.Homes(service, database)
	for _, vm := range homes {
		if vm.Name == view.Self.Name {
			return homes
		}
	}
	return append(homes[:len(homes):len(homes)], view.Self)
}

// HomesIn returns the VMs to ask for a database in a failure domain.
func (m *members) HomesIn(failureDomain, service, database string) []fleet.VM {
	if failureDomain == m.view.Load().Self.FailureDomain {
		return m.Homes(service, database)
	}
	return m.view.Load().HomesIn(failureDomain, service, database)
}

// Heard records that a VM answered.
func (m *members) Heard(vm fleet.VM) {
	if vm.FailureDomain == "" {
		// A seed is an address, not yet a VM.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.RecordAnswer(time.Now(), vm)
}

// Silent records that a call to a VM failed.
func (m *members) Silent(vm fleet.VM) {
	m.mu.Lock()
	changed := m.tracker.RecordFailure(time.Now(), vm.Name)
	m.mu.Unlock()
	if changed {
		klog.Warningf("fleet: VM %s does not answer.", vm.Name)
		m.refresh()
	}
}

// MarkLeaving records that a VM said that it takes no new work.
func (m *members) MarkLeaving(name string) {
	m.mu.Lock()
	m.tracker.MarkLeaving(time.Now(), name)
	m.mu.Unlock()
	klog.Infof("fleet: VM %s is leaving.", name)
	m.refresh()
}

// Leave marks this daemon as leaving.
func (m *members) Leave() {
	m.mu.Lock()
	m.tracker.Leave()
	m.mu.Unlock()
	m.refresh()
}

// Run keeps the picture up to date until ctx ends.
func (m *members) Run(ctx context.Context, client *peer.Client) {
	var wg sync.WaitGroup
	wg.Go(func() { m.followList(ctx, client) })
	wg.Go(func() { every(ctx, refreshInterval, m.refresh) })
	wg.Wait()
}

// refresh publishes a new picture. A view keeps its cache of ranks, so an
// unchanged picture is not replaced.
func (m *members) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.tracker.View(time.Now())
	if old := m.view.Load(); old != nil && old.Equal(next) {
		return
	}
	m.view.Store(next)
}
