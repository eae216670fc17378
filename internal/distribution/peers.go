package distribution

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
)

// loadFromPeers loads the newest configuration of the startup peers. It reports
// whether one of them had a configuration.
func (s *Syncer) loadFromPeers(ctx context.Context) bool {
	s.syncNewest(ctx, s.exchangeStatuses(ctx, startupPeers(s.options.Fleet.Current())))
	revision := s.options.Holder.Current().Revision
	if revision == 0 {
		return false
	}
	klog.Infof("config: loaded revision %d from peers because the store does not answer", revision)
	return true
}

// peerStatus is the answer of a peer to a push.
type peerStatus struct {
	vm     fleet.VM
	status Status
	// sentAt is the time at which the push was sent.
	sentAt time.Time
}

// hasConfiguration reports whether the peer has loaded a configuration, and so runs
// rounds itself.
func (o peerStatus) hasConfiguration() bool {
	return o.status.Age < unknownAge
}

// syncNewest sorts the answers by state, the newest first, and then by age, the
// freshest first, and synchronizes with the peers in this order. It reports whether
// the first one was fresh.
func (s *Syncer) syncNewest(ctx context.Context, answers []peerStatus) bool {
	slices.SortFunc(answers, func(a, b peerStatus) int {
		return cmp.Or(cmp.Compare(b.status.Digest.LastChange, a.status.Digest.LastChange), cmp.Compare(a.status.Age, b.status.Age))
	})
	fresh := false
	for i, o := range answers {
		if s.syncWith(ctx, o) && i == 0 {
			fresh = true
		}
	}
	return fresh
}

// exchangeStatuses exchanges the status with every VM and returns the answers; VMs that
// do not answer are left out.
func (s *Syncer) exchangeStatuses(ctx context.Context, vms []fleet.VM) []peerStatus {
	var mu sync.Mutex
	var answers []peerStatus
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, vm := range vms {
		group.Go(func() error {
			if o, err := s.exchangeStatus(ctx, vm); err == nil {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, o)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

// exchangeStatus pushes the status of this daemon to a VM and returns the VM's status.
func (s *Syncer) exchangeStatus(ctx context.Context, vm fleet.VM) (peerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sentAt := time.Now()
	pushes.Inc()
	status, err := s.options.Peers.Push(ctx, vm, s.Status())
	if err != nil {
		peerFailures.Inc()
		return peerStatus{}, err
	}
	return peerStatus{vm: vm, status: status, sentAt: sentAt}, nil
}

// recordSynced records that this daemon has the state of a peer, and how fresh that
// state was.
func (s *Syncer) recordSynced(o peerStatus) {
	s.options.Holder.Advance(o.status.Digest)
	if o.status.Age >= 0 && o.hasConfiguration() {
		s.recordComplete(o.sentAt.Add(-o.status.Age))
	}
}

// pull imports the changes of a VM that this daemon does not have.
func (s *Syncer) pull(ctx context.Context, vm fleet.VM) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	pulls.Inc()
	changes, err := s.options.Peers.Pull(ctx, vm, s.options.Holder.Current().Revision)
	if err != nil {
		peerFailures.Inc()
		return err
	}
	if len(changes) == 0 {
		return nil
	}
	report, err := s.options.Holder.Import(changes)
	if err != nil {
		peerFailures.Inc()
		klog.Warningf("config: cannot import the changes pulled from VM %s: %v", vm.Name, err)
		return err
	}
	countObjects(report)
	return nil
}

// runPeerRounds asks peers for changes, one round after the other, until ctx ends.
func (s *Syncer) runPeerRounds(ctx context.Context) error {
	staleRounds := 0
	for ctx.Err() == nil {
		view := s.options.Fleet.Current()
		if view.IsRelay() {
			s.relayRound(ctx, view, staleRounds)
		} else {
			s.memberRound(ctx, view, staleRounds)
		}
		if s.Age() <= maxFreshAge {
			staleRounds = 0
			s.followWhileWaiting(ctx, roundInterval)
		} else {
			staleRounds++
			s.followWhileWaiting(ctx, staleRoundInterval)
		}
	}
	return ctx.Err()
}

// memberRound runs a round of a daemon that is not a relay. It asks a relay of the
// failure domain, and the next one if the first does not answer. If the relay is not
// fresh, which may be because it cannot reach the store, it polls the store. If no relay
// answers, it also asks relays in other failure domains, at the same time. After a round
// that found no fresh state, the next round comes later and asks only one relay first;
// the next relay is asked together with those in other failure domains.
func (s *Syncer) memberRound(ctx context.Context, v *fleet.View, staleRounds int) {
	relays := preferredRelays(v, staleRounds)
	first := len(relays)
	if staleRounds > 0 {
		first = min(1, first)
	}
	answered := false
	for _, vm := range relays[:first] {
		o, err := s.exchangeStatus(ctx, vm)
		if err != nil {
			continue
		}
		if s.syncWith(ctx, o) {
			return
		}
		answered = true
		break
	}
	var group errgroup.Group
	group.Go(func() error { s.watchStoreOnce(ctx, 0, storeTimeout); return nil })
	if !answered {
		others := append(relays[first:], otherDomainRelays(v, s.failedCalls)...)
		group.Go(func() error { s.syncNewest(ctx, s.exchangeOutsideDomain(ctx, others)); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// relayRound runs a round of a relay. It does nothing while the store answers. Otherwise
// it asks the VM that was fresh the last time. If that VM is not fresh any more, it asks
// another relay of its failure domain and its share of the relays in other failure
// domains. If the other relay does not answer or has no configuration, and so asks no
// relays itself, it asks all relays returned by otherDomainRelays instead of its share.
func (s *Syncer) relayRound(ctx context.Context, v *fleet.View, staleRounds int) {
	if s.Age() <= maxFreshAge {
		return
	}
	if s.lastFreshPeer.Name != "" && s.followPeer(ctx, s.lastFreshPeer) {
		return
	}
	s.lastFreshPeer = fleet.VM{}
	relays := preferredRelays(v, staleRounds)
	answers := s.exchangeStatuses(ctx, relays[:min(1, len(relays))])
	others := relayShareOutside(v, s.failedCalls)
	if !slices.ContainsFunc(answers, peerStatus.hasConfiguration) {
		others = otherDomainRelays(v, s.failedCalls)
	}
	answers = append(answers, s.exchangeOutsideDomain(ctx, others)...)
	if s.syncNewest(ctx, answers) {
		s.lastFreshPeer = answers[0].vm
	}
}

// exchangeOutsideDomain exchanges the status with relays in other failure domains. For
// each relay that does not answer it increments failedCalls of the failure domain, so
// that another relay is asked the next time.
func (s *Syncer) exchangeOutsideDomain(ctx context.Context, vms []fleet.VM) []peerStatus {
	answers := s.exchangeStatuses(ctx, vms)
	for _, vm := range vms {
		if !slices.ContainsFunc(answers, func(o peerStatus) bool { return o.vm.Name == vm.Name }) {
			s.failedCalls[vm.FailureDomain]++
		}
	}
	return answers
}

// followPeer exchanges the status with a peer and pulls missing changes from it. It
// reports whether the peer is fresh.
func (s *Syncer) followPeer(ctx context.Context, vm fleet.VM) bool {
	o, err := s.exchangeStatus(ctx, vm)
	return err == nil && s.syncWith(ctx, o)
}

// syncWith pulls missing changes from a peer and reports whether the peer is fresh.
func (s *Syncer) syncWith(ctx context.Context, o peerStatus) bool {
	if s.isBehind(o.status) && (s.pull(ctx, o.vm) != nil || s.isBehind(o.status)) {
		return false
	}
	s.recordSynced(o)
	if o.status.Age < 0 || o.status.Age > maxFreshAge {
		stalePeers.Inc()
		return false
	}
	return true
}

// announceChanges announces each change to the daemons of the failure domain while this
// daemon is a relay, until ctx ends.
func (s *Syncer) announceChanges(ctx context.Context) error {
	announced := s.options.Holder.Current().LastChange
	for {
		changed := s.options.Holder.Changed()
		if now := s.options.Holder.Current().LastChange; now != announced {
			announced = now
			s.announceToDomain(ctx)
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// announceToDomain pushes the status of this daemon to the other daemons of its failure
// domain if this daemon is a relay.
func (s *Syncer) announceToDomain(ctx context.Context) {
	if view := s.options.Fleet.Current(); view.IsRelay() {
		s.exchangeStatuses(ctx, domainPeers(view))
	}
}
