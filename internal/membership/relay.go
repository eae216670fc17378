package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/peer"
)

// outdatedHold is how long a relay that had no current copy is not followed if another
// one may have one: the store may refuse that VM and serve others.
const outdatedHold = 2 * time.Second

// RelayOutdated records that a relay had no current copy.
func (m *Members) RelayOutdated(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.After(m.outdatedUntil[name]) {
		m.log.StateChange("relay_outdated", "peer", name)
	}
	m.outdatedUntil[name] = now.Add(outdatedHold)
}

// selectRelay returns the best of the given relays that counts as current, and the best one
// if none does. It reports false if there are no relays.
func (m *Members) selectRelay(relays []fleet.VM) (fleet.VM, bool) {
	if len(relays) == 0 {
		return fleet.VM{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, vm := range relays {
		if now.After(m.outdatedUntil[vm.Name]) {
			return vm, true
		}
	}
	return relays[0], true
}

// HeadRelay returns, if this daemon is the relay of its failure domain, the client of the VM
// that the relays of its region follow in place of the store. It is nil if this daemon is no
// relay or is that VM itself, if there is none, or if that VM had no current copy lately.
func (m *Members) HeadRelay() *peer.Client {
	if !m.Known() || m.joining() || m.Relay() != nil {
		return nil
	}
	head, ok := m.view.Load().HeadRelay(m.regionDomains)
	if !ok || head.Name == m.self.Name || m.isOutdated(head.Name) {
		return nil
	}
	return m.client(head)
}

// isOutdated reports whether a relay counts as without a current copy.
func (m *Members) isOutdated(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.outdatedUntil[name])
}

// AlternativeRelay returns the client of a relay other than this daemon, of this failure
// domain if possible; nil if none is known.
func (m *Members) AlternativeRelay() *peer.Client {
	relays := slices.DeleteFunc(slices.Clone(m.view.Load().Relays(m.self.FailureDomain)), func(vm fleet.VM) bool { return vm.Name == m.self.Name })
	if relay, ok := m.selectRelay(relays); ok {
		return m.client(relay)
	}
	return m.NearestOtherRelay()
}

// NearestOtherRelay returns the client of a relay of another failure domain, of this
// daemon's region if possible; nil if none is known.
func (m *Members) NearestOtherRelay() *peer.Client {
	view := m.view.Load()
	own := m.self.FailureDomain
	var far *peer.Client
	for _, domain := range slices.Sorted(maps.Keys(m.regions)) {
		if domain == own {
			continue
		}
		relay, ok := m.selectRelay(view.Relays(domain))
		switch {
		case !ok:
		case m.regions[domain] == m.regions[own]:
			return m.client(relay)
		case far == nil:
			far = m.client(relay)
		}
	}
	return far
}
