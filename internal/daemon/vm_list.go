package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/adapter/peer"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Intervals of the updates of the VM list. Relays read the list from the platform, and the
// other daemons request it from a relay of their failure domain, so the load on the
// platform does not grow with the fleet.
const (
	// minListInterval is the shortest time between two updates.
	minListInterval = 2 * time.Second
	// relayIntervalPerVM is the interval of a relay per VM of the fleet. The list grows
	// with the fleet, so the bytes read per second stay constant.
	relayIntervalPerVM = 50 * time.Millisecond
	// requestIntervalPerVM is the interval of requests to relays per usable VM of the
	// failure domain, so that the load on its relays stays constant.
	requestIntervalPerVM = 100 * time.Millisecond
	// maxListBackoff limits the interval, which doubles with each consecutive failure, as
	// during an outage of the platform.
	maxListBackoff = 16 * time.Second
	// maxListAgeIntervals is the largest age of a relay's list in intervals of the relay.
	// If the list is older, a daemon reads the platform's list itself.
	maxListAgeIntervals = 3
)

// Errors of requesting the VM list from a peer.
var (
	// errNoRelay reports that the failure domain has no relay, as when its last daemon is
	// leaving.
	errNoRelay = errors.New("the failure domain has no relay")
	// errNoSeed reports that no configured peer returned a list.
	errNoSeed = errors.New("no configured peer returned a list of VMs")
	// errStaleList reports that a peer has no list, or one that is too old.
	errStaleList = errors.New("the list of VMs of the peer is missing or too old")
)

// vmList is the platform's list of VMs as read at readAt. hash identifies its content.
type vmList struct {
	vms    []store.VM
	hash   uint64
	readAt time.Time
}

// listRequest asks a daemon for its list of VMs. Hash is that of the sender's list.
type listRequest struct {
	Hash uint64 `cbor:"1,keyasint"`
}

// listReply holds the list of VMs and the time since it was read from the platform. VMs is
// empty if Hash equals the hash of the request.
type listReply struct {
	Hash uint64        `cbor:"1,keyasint"`
	VMs  []store.VM    `cbor:"2,keyasint,omitempty"`
	Age  time.Duration `cbor:"3,keyasint"`
}

// pollVMList keeps the list of VMs up to date until ctx ends.
func (m *members) pollVMList(ctx context.Context, client *peer.Client) {
	failures := 0
	for ctx.Err() == nil {
		if err := m.updateList(ctx, client); err == nil {
			failures = 0
		} else if ctx.Err() == nil {
			failures++
			klog.V(1).Infof("fleet: Update of the list of VMs failed: %v.", err)
		}
		interval := backoff(m.nextListInterval(), failures)
		// The jitter spreads the requests of daemons that started together.
		interval += rand.N(interval / 4)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// backoff returns the interval after a number of consecutive failures: doubled with each
// failure up to maxListBackoff, but never below interval.
func backoff(interval time.Duration, failures int) time.Duration {
	limit := max(interval, maxListBackoff)
	for ; failures > 0 && interval < limit; failures-- {
		interval = min(2*interval, limit)
	}
	return interval
}

// nextListInterval returns the time until the next update if the last one succeeded.
func (m *members) nextListInterval() time.Duration {
	view := m.view.Load()
	if view.IsRelay() {
		return max(minListInterval, time.Duration(len(view.VMs))*relayIntervalPerVM)
	}
	return max(minListInterval, time.Duration(len(view.UsableInDomain(view.Self.FailureDomain)))*requestIntervalPerVM)
}

// updateList gets the list of VMs from a relay. If this daemon is a relay itself, or the
// relay fails or has an old list, it reads the list from the platform. If that fails and
// no list is known yet, it gets the list from the configured peers.
func (m *members) updateList(ctx context.Context, client *peer.Client) error {
	view := m.view.Load()
	if !view.IsRelay() {
		if err := m.fetchFromRelay(ctx, client, view); err == nil {
			return nil
		}
	}
	vms, err := m.store.VMs(ctx)
	if err == nil {
		m.applyList(vms, time.Now())
		return nil
	}
	if m.list.Load().readAt.IsZero() {
		return errors.Join(err, m.fetchFromSeeds(ctx, client))
	}
	return err
}

// fetchFromSeeds applies the list of the first configured peer that returns one. It
// allows a daemon to start while the platform does not answer.
func (m *members) fetchFromSeeds(ctx context.Context, client *peer.Client) error {
	for _, address := range m.seedPeers {
		seed := fleet.VM{Name: address.String(), Peer: address}
		reply, err := call[listReply](ctx, client, seed, methodList, listRequest{})
		if err != nil {
			klog.V(1).Infof("fleet: Request for the list of VMs to peer %s failed: %v.", address, err)
			continue
		}
		m.applyList(reply.VMs, time.Now().Add(-reply.Age))
		klog.Infof("fleet: Got the list of VMs from peer %s.", address)
		return nil
	}
	return errNoSeed
}

// fetchFromRelay applies the list of a random relay of the failure domain. It returns
// errNoRelay without a relay, and errStaleList if the list is too old.
func (m *members) fetchFromRelay(ctx context.Context, client *peer.Client, view *fleet.View) error {
	relays := view.Relays(view.Self.FailureDomain)
	if len(relays) == 0 {
		return errNoRelay
	}
	relay := relays[rand.N(len(relays))]
	current := m.list.Load()
	reply, err := call[listReply](ctx, client, relay, methodList, listRequest{Hash: current.hash})
	if err != nil {
		return err
	}
	maxAge := maxListAgeIntervals * max(minListInterval, time.Duration(len(view.VMs))*relayIntervalPerVM)
	if reply.Age > maxAge {
		return errStaleList
	}
	if reply.Hash == current.hash {
		m.refresh()
		return nil
	}
	m.applyList(reply.VMs, time.Now().Add(-reply.Age))
	return nil
}

// applyList updates the view with a list of VMs. It ignores a list that is older than the
// current one.
func (m *members) applyList(vms []store.VM, readAt time.Time) {
	m.mu.Lock()
	if readAt.Before(m.list.Load().readAt) {
		m.mu.Unlock()
		return
	}
	m.list.Store(&vmList{vms: vms, hash: hashVMs(vms), readAt: readAt})
	invalid := m.tracker.SetListed(time.Now(), vms)
	m.mu.Unlock()
	for _, name := range invalid {
		klog.Warningf("fleet: VM %s has an invalid address in the list of VMs.", name)
	}
	m.refresh()
}

// handleList replies with the list of VMs, or errStaleList if this daemon has none.
func (m *members) handleList(_ context.Context, in listRequest) (listReply, error) {
	list := m.list.Load()
	if list.readAt.IsZero() {
		return listReply{}, errStaleList
	}
	reply := listReply{Hash: list.hash, Age: time.Since(list.readAt)}
	if list.hash != in.Hash {
		reply.VMs = list.vms
	}
	return reply, nil
}

// hashVMs returns a hash of the encoded list, by which two daemons compare their lists.
func hashVMs(vms []store.VM) uint64 {
	encoded, err := cbor.Marshal(vms)
	if err != nil {
		panic("daemon: encode the list of VMs: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}
