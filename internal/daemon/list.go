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

// Timing of the list of VMs. Relays read it from the platform, the other daemons
// ask a relay of their failure domain; so the platform's load does not grow with
// the fleet.
const (
	// listInterval is the shortest time between two reads or asks.
	listInterval = 2 * time.Second
	// listPauseByVM is added to a relay's interval for each VM of the fleet, so
	// that the bytes a second that the list costs stay the same.
	listPauseByVM = 50 * time.Millisecond
	// askPauseByVM is the interval of asks for each VM of a failure domain, so
	// that the load of its relays stays the same.
	askPauseByVM = 100 * time.Millisecond
	// longestListPause bounds the interval that doubles with each failure in a row,
	// as in an outage of the platform.
	longestListPause = 16 * time.Second
	// staleIntervals is how many of a relay's intervals its list may be old before
	// a daemon turns to the platform.
	staleIntervals = 3
)

// Errors of asking a relay.
var (
	// errNoRelay says that the failure domain has none, as when its last daemon
	// is leaving.
	errNoRelay = errors.New("the failure domain has no relay")
	// errNoSeed says that no configured peer has a list.
	errNoSeed = errors.New("no configured peer has a list of VMs")
	// errStaleList says that a relay has no list that is new enough.
	errStaleList = errors.New("the list of the relay is old")
)

// vmList is the platform's list as of a time.
type vmList struct {
	vms  []store.VM
	hash uint64
	read time.Time
}

// listRequest asks a relay for its list, unless it has the same hash.
type listRequest struct {
	Hash uint64 `cbor:"1,keyasint"`
}

// listReply holds the list, or nothing if the hash is that of the request.
type listReply struct {
	Hash uint64        `cbor:"1,keyasint"`
	VMs  []store.VM    `cbor:"2,keyasint,omitempty"`
	Age  time.Duration `cbor:"3,keyasint"`
}

// followList keeps the list up to date until ctx ends.
func (m *members) followList(ctx context.Context, client *peer.Client) {
	failures := 0
	for ctx.Err() == nil {
		if err := m.updateList(ctx, client); err == nil {
			failures = 0
		} else if ctx.Err() == nil {
			failures++
			klog.V(1).Infof("fleet: The list of VMs can't be read: %v.", err)
		}
		pause := backOff(m.listPause(), failures)
		// The jitter keeps daemons that started together apart.
		pause += rand.N(pause / 4)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// backOff returns the pause after a number of failures in a row: doubled with each
// one up to longestListPause, never less than the pause itself.
func backOff(pause time.Duration, failures int) time.Duration {
	longest := max(pause, longestListPause)
	for ; failures > 0 && pause < longest; failures-- {
		pause = min(2*pause, longest)
	}
	return pause
}

// listPause returns the time until the next read or ask without a failure.
func (m *members) listPause() time.Duration {
	view := m.view.Load()
	if view.IsRelay() {
		return max(listInterval, time.Duration(len(view.VMs))*listPauseByVM)
	}
	return max(listInterval, time.Duration(len(view.UsableInDomain(view.Self.FailureDomain)))*askPauseByVM)
}

// updateList asks a relay, or reads the platform's list if this daemon is one or
// no relay has a list that is new enough.
func (m *members) updateList(ctx context.Context, client *peer.Client) error {
	view := m.view.Load()
	if !view.IsRelay() {
		if err := m.askRelay(ctx, client, view); err == nil {
			return nil
		}
	}
	vms, err := m.store.VMs(ctx)
	if err == nil {
		m.takeList(vms, time.Now())
		return nil
	}
	if m.list.Load().read.IsZero() {
		return errors.Join(err, m.askSeeds(ctx, client))
	}
	return err
}

// askSeeds takes the list of the first of the configured peers that has one. It
// serves a daemon that starts while the platform does not answer.
func (m *members) askSeeds(ctx context.Context, client *peer.Client) error {
	for _, address := range m.seeds {
		seed := fleet.VM{Name: address.String(), Peer: address}
		reply, err := call[listReply](ctx, client, seed, methodList, listRequest{})
		if err != nil {
			klog.V(1).Infof("fleet: Peer %s gives no list of VMs: %v.", address, err)
			continue
		}
		m.takeList(reply.VMs, time.Now().Add(-reply.Age))
		klog.Infof("fleet: The list of VMs comes from peer %s.", address)
		return nil
	}
	return errNoSeed
}

func (m *members) askRelay(ctx context.Context, client *peer.Client, view *fleet.View) error {
	relays := view.Relays(view.Self.FailureDomain)
	if len(relays) == 0 {
		return errNoRelay
	}
	relay := relays[rand.N(len(relays))]
	known := m.list.Load()
	reply, err := call[listReply](ctx, client, relay, methodList, listRequest{Hash: known.hash})
	if err != nil {
		return err
	}
	limit := staleIntervals * max(listInterval, time.Duration(len(view.VMs))*listPauseByVM)
	if reply.Age > limit {
		return errStaleList
	}
	if reply.Hash == known.hash {
		m.refresh()
		return nil
	}
	m.takeList(reply.VMs, time.Now().Add(-reply.Age))
	return nil
}

// takeList brings a list into the picture. An older one than the last is left.
func (m *members) takeList(vms []store.VM, read time.Time) {
	m.mu.Lock()
	if read.Before(m.list.Load().read) {
		m.mu.Unlock()
		return
	}
	m.list.Store(&vmList{vms: vms, hash: hashOf(vms), read: read})
	bad := m.tracker.SetListed(time.Now(), vms)
	m.mu.Unlock()
	for _, name := range bad {
		klog.Warningf("fleet: VM %s has an unreadable address.", name)
	}
	m.refresh()
}

// answerList answers a daemon that asks for the list.
func (m *members) answerList(_ context.Context, in listRequest) (listReply, error) {
	list := m.list.Load()
	if list.read.IsZero() {
		return listReply{}, errStaleList
	}
	reply := listReply{Hash: list.hash, Age: time.Since(list.read)}
	if list.hash != in.Hash {
		reply.VMs = list.vms
	}
	return reply, nil
}

func hashOf(vms []store.VM) uint64 {
	encoded, err := cbor.Marshal(vms)
	if err != nil {
		panic("daemon: a list of VMs can't be encoded: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}
