package daemon

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/laburnumrack/laburnumrack/internal/distribution"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// pushRequest tells a peer of the sender's configuration.
type pushRequest struct {
	VM            string              `cbor:"1,keyasint"`
	Address       string              `cbor:"2,keyasint"`
	FailureDomain string              `cbor:"3,keyasint"`
	Status        distribution.Status `cbor:"4,keyasint"`
}

// pullRequest asks for what is newer than a revision.
type pullRequest struct {
	Since store.Revision `cbor:"1,keyasint"`
}

// configPeers carries the distribution of configuration over peer connections.
type configPeers struct {
	daemon *Daemon
}

// Push tells vm this daemon's status and returns the VM's own.
func (p configPeers) Push(ctx context.Context, vm fleet.VM, mine distribution.Status) (distribution.Status, error) {
	self := p.daemon.members.Current().Self
	request := pushRequest{
		VM:            self.Name,
		Address:       self.Peer.String(),
		FailureDomain: self.FailureDomain,
		Status:        mine,
	}
	return call[distribution.Status](ctx, p.daemon.peers, vm, methodConfigPush, request)
}

// Pull returns what vm holds beyond a revision, or nil if nothing.
func (p configPeers) Pull(ctx context.Context, vm fleet.VM, since store.Revision) ([]byte, error) {
	return call[[]byte](ctx, p.daemon.peers, vm, methodConfigPull, pullRequest{Since: since})
}

// pushed takes a peer's status and returns this daemon's.
func (d *Daemon) pushed(_ context.Context, in pushRequest) (distribution.Status, error) {
	address, err := netip.ParseAddrPort(in.Address)
	if err != nil {
		return distribution.Status{}, fmt.Errorf("address of VM %s: %w", in.VM, err)
	}
	from := fleet.VM{Name: in.VM, Peer: address, FailureDomain: in.FailureDomain, Reachable: true}
	d.members.Heard(from)
	return d.runner.HandlePush(from, in.Status), nil
}

func (d *Daemon) pulled(_ context.Context, in pullRequest) ([]byte, error) {
	return d.runner.HandlePull(in.Since)
}
