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

// startFromPeers asks many peers and takes the newest state. It reports whether
// there was one.
func (r *Syncer) startFromPeers(ctx context.Context) bool {
	r.takeNewest(ctx, r.askAll(ctx, firstSources(r.options.Fleet.Current())))
	revision := r.options.Holder.Current().Revision
	if revision == 0 {
		return false
	}
	klog.Infof("config: started from peers at revision %d, the store does not answer", revision)
	return true
}

// offer is what a daemon heard from one peer.
type offer struct {
	vm     fleet.VM
	status Status
	// sent is when the peer was asked.
	sent time.Time
}

// started reports whether the peer has a configuration and so asks others.
func (o offer) started() bool {
	return o.status.Age < unknownAge
}

// takeNewest sorts the offers, the newest state and then the freshest first, and
// takes them in this order. It reports whether the first one was fresh.
func (r *Syncer) takeNewest(ctx context.Context, offers []offer) bool {
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.status.Digest.LastChange, a.status.Digest.LastChange), cmp.Compare(a.status.Age, b.status.Age))
	})
	fresh := false
	for i, o := range offers {
		if r.take(ctx, o) && i == 0 {
			fresh = true
		}
	}
	return fresh
}

// askAll asks every VM for its status and returns what those say that answered.
func (r *Syncer) askAll(ctx context.Context, vms []fleet.VM) []offer {
	var mu sync.Mutex
	var offers []offer
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for _, vm := range vms {
		group.Go(func() error {
			if o, err := r.ask(ctx, vm); err == nil {
				mu.Lock()
				defer mu.Unlock()
				offers = append(offers, o)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return offers
}

func (r *Syncer) ask(ctx context.Context, vm fleet.VM) (offer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := time.Now()
	pushes.Inc()
	status, err := r.options.Peers.Push(ctx, vm, r.Status())
	if err != nil {
		peerFailures.Inc()
		return offer{}, err
	}
	return offer{vm: vm, status: status, sent: sent}, nil
}

// took records how fresh the state of a peer was that this daemon now holds.
func (r *Syncer) took(o offer) {
	r.options.Holder.Advance(o.status.Digest)
	if o.status.Age >= 0 && o.started() {
		r.completeAt(o.sent.Add(-o.status.Age))
	}
}

// pull takes what a VM holds more than this daemon.
func (r *Syncer) pull(ctx context.Context, vm fleet.VM) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	pulls.Inc()
	changes, err := r.options.Peers.Pull(ctx, vm, r.options.Holder.Current().Revision)
	if err != nil {
		peerFailures.Inc()
		return err
	}
	if len(changes) == 0 {
		return nil
	}
	report, err := r.options.Holder.Import(changes)
	if err != nil {
		peerFailures.Inc()
		klog.Warningf("config: what %s sent is not usable: %v", vm.Name, err)
		return err
	}
	count(report)
	return nil
}

// askPeers goes through one round after the other until ctx ends.
func (r *Syncer) askPeers(ctx context.Context) error {
	misses := 0
	for ctx.Err() == nil {
		view := r.options.Fleet.Current()
		if view.IsRelay() {
			r.relayRound(ctx, view, misses)
		} else {
			r.round(ctx, view, misses)
		}
		if r.Age() <= freshAge {
			misses = 0
			r.sleep(ctx, roundEvery)
		} else {
			misses++
			r.sleep(ctx, staleEvery)
		}
	}
	return ctx.Err()
}

// round asks a relay of the failure domain, and the next one if it does not answer.
// If the relay is not fresh, it may be cut off from the store: the store is asked.
// If no relay answers, relays elsewhere are asked at the same time. After a round
// that found nothing fresh, which comes later, the next relay is asked with those
// elsewhere.
func (r *Syncer) round(ctx context.Context, v *fleet.View, misses int) {
	relays := preferred(v, misses)
	first := len(relays)
	if misses > 0 {
		first = min(1, first)
	}
	answered := false
	for _, vm := range relays[:first] {
		o, err := r.ask(ctx, vm)
		if err != nil {
			continue
		}
		if r.take(ctx, o) {
			return
		}
		answered = true
		break
	}
	var group errgroup.Group
	group.Go(func() error { r.watch(ctx, 0, storeTimeout); return nil })
	if !answered {
		others := append(relays[first:], elsewhere(v, r.failed)...)
		group.Go(func() error { r.takeNewest(ctx, r.askElsewhere(ctx, others)); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// relayRound asks for what is newer if the store has not answered this relay for a
// time: first the VM that was fresh the last time, then the other relays of the
// failure domain and its share of the relays elsewhere, or all of these if no other
// relay answers that could ask the rest.
func (r *Syncer) relayRound(ctx context.Context, v *fleet.View, misses int) {
	if r.Age() <= freshAge {
		return
	}
	if r.source.Name != "" && r.follow(ctx, r.source) {
		return
	}
	r.source = fleet.VM{}
	asked := preferred(v, misses)
	offers := r.askAll(ctx, asked[:min(1, len(asked))])
	others := shareElsewhere(v, r.failed)
	if !slices.ContainsFunc(offers, offer.started) {
		others = elsewhere(v, r.failed)
	}
	offers = append(offers, r.askElsewhere(ctx, others)...)
	if r.takeNewest(ctx, offers) {
		r.source = offers[0].vm
	}
}

// askElsewhere asks VMs, and notes for the failure domain of each one that does not
// answer that another relay is to be asked the next time.
func (r *Syncer) askElsewhere(ctx context.Context, vms []fleet.VM) []offer {
	offers := r.askAll(ctx, vms)
	for _, vm := range vms {
		if !slices.ContainsFunc(offers, func(o offer) bool { return o.vm.Name == vm.Name }) {
			r.failed[vm.FailureDomain]++
		}
	}
	return offers
}

// follow asks a peer and takes what it holds more. It reports whether the peer is
// fresh.
func (r *Syncer) follow(ctx context.Context, vm fleet.VM) bool {
	o, err := r.ask(ctx, vm)
	return err == nil && r.take(ctx, o)
}

// take takes what a peer holds more, and reports whether the peer is fresh.
func (r *Syncer) take(ctx context.Context, o offer) bool {
	if r.lacks(o.status) && (r.pull(ctx, o.vm) != nil || r.lacks(o.status)) {
		return false
	}
	r.took(o)
	if o.status.Age < 0 || o.status.Age > freshAge {
		stalePeers.Inc()
		return false
	}
	return true
}

// tell tells the daemons of the failure domain of each change while this daemon is
// a relay.
func (r *Syncer) tell(ctx context.Context) error {
	told := r.options.Holder.Current().LastChange
	for {
		changed := r.options.Holder.Changed()
		if now := r.options.Holder.Current().LastChange; now != told {
			told = now
			r.tellAll(ctx)
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (r *Syncer) tellAll(ctx context.Context) {
	if view := r.options.Fleet.Current(); view.IsRelay() {
		r.askAll(ctx, neighbours(view))
	}
}
