package daemon

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/laburnumrack/laburnumrack/internal/distribution"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// pushRequest carries the configuration status of the sender and its address.
type pushRequest struct {
	VM            string              `cbor:"1,keyasint"`
	Address       string              `cbor:"2,keyasint"`
	FailureDomain string              `cbor:"3,keyasint"`
	Status        distribution.Status `cbor:"4,keyasint"`
}

// pullRequest asks for the configuration objects that changed after a revision.
type pullRequest struct {
	Since store.Revision `cbor:"1,keyasint"`
}

// configPeers implements distribution.Peers with control calls over peer connections.
type configPeers struct {
	daemon *Daemon
}

// Push sends the status of this daemon to vm and returns the status of vm.
func (p configPeers) Push(ctx context.Context, vm fleet.VM, local distribution.Status) (distribution.Status, error) {
	self := p.daemon.members.Current().Self
	request := pushRequest{
		VM:            self.Name,
		Address:       self.Peer.String(),
		FailureDomain: self.FailureDomain,
		Status:        local,
	}
	return call[distribution.Status](ctx, p.daemon.peerClient, vm, methodConfigPush, request)
}

// Pull returns the encoded objects of vm that changed after the revision since, or nil if
// there are none.
func (p configPeers) Pull(ctx context.Context, vm fleet.VM, since store.Revision) ([]byte, error) {
	return call[[]byte](ctx, p.daemon.peerClient, vm, methodConfigPull, pullRequest{Since: since})
}

// handlePush records the status of a peer and returns the status of this daemon. It
// returns an error if the address in the request can't be parsed.
func (d *Daemon) handlePush(_ context.Context, in pushRequest) (distribution.Status, error) {
	address, err := netip.ParseAddrPort(in.Address)
	if err != nil {
		return distribution.Status{}, fmt.Errorf("parse the peer address of VM %s: %w", in.VM, err)
	}
	from := fleet.VM{Name: in.VM, Peer: address, FailureDomain: in.FailureDomain, Reachable: true}
	d.members.PeerResponded(from)
	return d.configSyncer.HandlePush(from, in.Status), nil
}

func (d *Daemon) handlePull(_ context.Context, in pullRequest) ([]byte, error) {
	return d.configSyncer.HandlePull(in.Since)
}
