package membership

import (
	"context"
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
	m.contact.Store(peer.NewClient(m.identity(), p.Name, p.Address, m))
	m.log.StateChange("contact_found", "peer", p.Name, "address", p.Address)
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
