package distribution

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
)

// Timing of the distribution. A change reaches a daemon late when its relays are
// cut off from the store right after an answer. They count as fresh for freshAge,
// the daemon asks again within roundEvery, waits for its relays in vain, one
// peerTimeout each, and asks the store, within storeTimeout. A daemon that has
// found nothing fresh before asks one relay after staleEvery, waits a peerTimeout in
// vain, and then asks the store and, within peerTimeout and pullTimeout, relays
// elsewhere. Both are less than PropagationBound.
const (
	// watchWait is how long one watch call of a relay waits at the store.
	watchWait = time.Second
	// relayPause is the time between two watches of a relay. It bounds the calls
	// when the store answers without waiting.
	relayPause = 50 * time.Millisecond
	// retryPause is the time between two tries at a store that does not answer.
	retryPause = time.Second
	// roundEvery is the time between two rounds of asking peers.
	roundEvery = 2 * time.Second
	// staleEvery is the time between two rounds that found nothing fresh, as in an
	// outage of the store.
	staleEvery = 5900 * time.Millisecond
	// startPause and longestStartPause bound the pause between two tries of a
	// daemon that has no configuration yet.
	startPause        = time.Second
	longestStartPause = 6 * time.Second
	// freshAge is the age up to which a state counts as fresh. That of a relay
	// that reaches the store is at most two watches old.
	freshAge = 3 * time.Second
	// peerTimeout bounds a call to a peer.
	peerTimeout = time.Second
	// pullTimeout bounds a transfer from a peer.
	pullTimeout = 2 * time.Second
	// storeTimeout bounds a call to the store by a daemon that has other sources.
	storeTimeout = 2 * time.Second
	// slowTimeout bounds the calls of relays, beside the wait of a watch, and those
	// of a daemon that has no configuration. It keeps changes coming from a store
	// that is slow.
	slowTimeout = 6 * time.Second
	// relaysAsked is how many relays of the own failure domain a daemon asks in a
	// round.
	relaysAsked = 2
)

// preferred returns the relays of the own failure domain to ask, without this VM.
// Each VM begins at another place in the list, so that the relays share the load,
// and goes on to the next one after each round that found nothing fresh.
func preferred(v *fleet.View, misses int) []fleet.VM {
	all := v.Relays(v.Self.FailureDomain)
	var relays []fleet.VM
	for i := range all {
		vm := all[(i+place(v)+misses)%len(all)]
		if vm.Name != v.Self.Name && len(relays) < relaysAsked {
			relays = append(relays, vm)
		}
	}
	return relays
}

// place returns the place of this VM in the sorted list of its view.
func place(v *fleet.View) int {
	for i, vm := range v.VMs {
		if vm.Name == v.Self.Name {
			return i
		}
	}
	return 0
}

// elsewhere returns one relay of each other failure domain. It is the same one until
// it fails to answer, so that its connection serves for long; failed counts the
// failures by failure domain. The names of VMs spread their choices over the relays.
func elsewhere(v *fleet.View, failed map[string]int) []fleet.VM {
	own := int(xxhash.Sum64String(v.Self.Name) % fleet.RelayCount)
	var relays []fleet.VM
	seen := map[string]bool{v.Self.FailureDomain: true}
	for _, vm := range v.VMs {
		if seen[vm.FailureDomain] {
			continue
		}
		seen[vm.FailureDomain] = true
		if all := v.Relays(vm.FailureDomain); len(all) > 0 {
			relays = append(relays, all[(own+failed[vm.FailureDomain])%len(all)])
		}
	}
	return relays
}

// shareElsewhere returns those of the relays elsewhere that this relay asks. The
// relays of a failure domain share them out, and tell each other what they find.
func shareElsewhere(v *fleet.View, failed map[string]int) []fleet.VM {
	own := v.Relays(v.Self.FailureDomain)
	rank := slices.IndexFunc(own, func(vm fleet.VM) bool { return vm.Name == v.Self.Name })
	var share []fleet.VM
	for i, vm := range elsewhere(v, failed) {
		if i%len(own) == rank {
			share = append(share, vm)
		}
	}
	return share
}

// neighbours returns the other VMs of the own failure domain.
func neighbours(v *fleet.View) []fleet.VM {
	var all []fleet.VM
	for _, vm := range v.UsableInDomain(v.Self.FailureDomain) {
		if vm.Name != v.Self.Name {
			all = append(all, vm)
		}
	}
	return all
}

// firstSources returns the peers that a starting daemon asks when the store does
// not answer: all of its failure domain, and every relay elsewhere. A change that
// one of them holds is not lost to the daemon by its restart.
func firstSources(v *fleet.View) []fleet.VM {
	all := neighbours(v)
	for _, vm := range v.VMs {
		if vm.FailureDomain != v.Self.FailureDomain && isRelay(v, vm) {
			all = append(all, vm)
		}
	}
	return all
}

// isRelay reports whether a VM is a relay of its failure domain.
func isRelay(v *fleet.View, vm fleet.VM) bool {
	return slices.ContainsFunc(v.Relays(vm.FailureDomain), func(relay fleet.VM) bool { return relay.Name == vm.Name })
}
