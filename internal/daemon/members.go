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

// refreshInterval is the longest time between two updates of the view. Changes that depend
// on time alone, such as a timeout, appear in it at the next update.
const refreshInterval = 500 * time.Millisecond

// members maintains the view of the fleet. It implements fleet.Source, peer.Observer and
// gateway.HomeFinder, and is safe for concurrent use.
type members struct {
	store store.Store
	// seedPeers are the peer addresses from which the daemon gets the list of VMs if the
	// platform does not answer at the start.
	seedPeers []netip.AddrPort
	view      atomic.Pointer[fleet.View]
	list      atomic.Pointer[vmList]

	mu      sync.Mutex
	tracker *fleet.Tracker
}

func newMembers(self fleet.VM, s store.Store, drained func(string) bool) *members {
	m := &members{store: s, tracker: fleet.NewTracker(self, drained)}
	m.list.Store(&vmList{})
	m.refresh()
	return m
}

// Current returns the latest view of the fleet.
func (m *members) Current() *fleet.View {
	return m.view.Load()
}

// Homes returns the VMs that can be the home of a database in this failure domain, in the
// order to try them. This VM is appended as the last choice if it is not among them.
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

// HomesIn returns the VMs that can be the home of a database in failureDomain, in the
// order to try them.
func (m *members) HomesIn(failureDomain, service, database string) []fleet.VM {
	if failureDomain == m.view.Load().Self.FailureDomain {
		return m.Homes(service, database)
	}
	return m.view.Load().HomesIn(failureDomain, service, database)
}

// PeerResponded records that vm answered.
func (m *members) PeerResponded(vm fleet.VM) {
	if vm.FailureDomain == "" {
		// The peer was called as a seed: only its address is known, not its VM.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.RecordAnswer(time.Now(), vm)
}

// PeerUnreachable records that a call to vm failed.
func (m *members) PeerUnreachable(vm fleet.VM) {
	m.mu.Lock()
	changed := m.tracker.RecordFailure(time.Now(), vm.Name)
	m.mu.Unlock()
	if changed {
		klog.Warningf("fleet: VM %s does not answer.", vm.Name)
		m.refresh()
	}
}

// MarkLeaving records that the VM with this name announced that it accepts no new units.
func (m *members) MarkLeaving(name string) {
	m.mu.Lock()
	m.tracker.MarkLeaving(time.Now(), name)
	m.mu.Unlock()
	klog.Infof("fleet: VM %s is leaving.", name)
	m.refresh()
}

// Leave marks this VM as leaving.
func (m *members) Leave() {
	m.mu.Lock()
	m.tracker.Leave()
	m.mu.Unlock()
	m.refresh()
}

// Run keeps the view up to date until ctx ends.
func (m *members) Run(ctx context.Context, client *peer.Client) {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollVMList(ctx, client) })
	wg.Go(func() { runEvery(ctx, refreshInterval, m.refresh) })
	wg.Wait()
}

// refresh publishes a new view. An equal view is not replaced, because the current one
// holds a cache of home ranks.
func (m *members) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.tracker.View(time.Now())
	if old := m.view.Load(); old != nil && old.Equal(next) {
		return
	}
	m.view.Store(next)
}
