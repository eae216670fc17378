package membership

import (
	"context"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/peer"
)

// introductionInterval is the time between the introductions of a relay.
const introductionInterval = 500 * time.Millisecond

// identity returns what this daemon tells its peers of itself.
func (m *Members) identity() peer.Identity {
	return peer.Identity{Name: m.self.Name, Address: m.self.Peer.String()}
}

// PeerConnected records that another daemon has connected to this one. A daemon that
// doesn't know the VMs yet takes it as contact and follows it in place of a relay, so
// that it can start while the store serves others but not this VM.
func (m *Members) PeerConnected(p peer.Identity) {
	m.PeerResponded(p.Name)
	if m.Known() || m.joining() || p.Address == "" {
		return
	}
	m.addContact(p)
	m.log.StateChange("contact_found", "peer", p.Name, "address", p.Address)
}

// maxContacts is the number of contacts that are kept.
const maxContacts = 8

// addContact adds a contact, and drops the oldest one if there are more than maxContacts.
func (m *Members) addContact(p peer.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.contacts = append(m.contacts, peer.NewClient(m.identity(), p.Name, p.Address, m))
	if len(m.contacts) > maxContacts {
		m.contacts = slices.Delete(m.contacts, 0, 1)
	}
}

// contact returns the newest contact that counts as having a current copy, and the newest
// one if none does; nil if there is none. Any daemon may connect, not only the relay.
func (m *Members) contact() *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, c := range slices.Backward(m.contacts) {
		if now.After(m.outdatedUntil[c.Name()]) {
			return c
		}
	}
	if len(m.contacts) == 0 {
		return nil
	}
	return m.contacts[len(m.contacts)-1]
}

// Introduce connects, at intervals until ctx ends, to the usable VMs of this failure domain
// that are not connected to this daemon, as long as it is their relay. connected returns
// the names of the daemons that are.
func (m *Members) Introduce(ctx context.Context, connected func() map[string]bool) {
	ticker := time.NewTicker(introductionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !m.Known() || m.Relay() != nil {
			continue
		}
		present := connected()
		for _, vm := range m.view.Load().UsableInDomain(m.self.FailureDomain) {
			if vm.Name != m.self.Name && !present[vm.Name] {
				// A failure is recorded by PeerUnreachable.
				_ = m.client(vm).Connect()
			}
		}
	}
}
