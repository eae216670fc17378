package distribution

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
)

// Timing of the distribution. Both worst cases are below PropagationBound:
//
// The relays of a daemon lose the store right after an answer. They count as fresh for
// maxFreshAge. The daemon starts its next round within roundInterval, waits one
// peerTimeout for each of maxRelaysAsked relays without an answer, and polls the store
// within storeTimeout.
//
// A daemon found no fresh state in its last round. After staleRoundInterval it asks one
// relay and waits one peerTimeout without an answer. Then it polls the store and at the
// same time asks relays in other failure domains, within peerTimeout and pullTimeout.
const (
	// watchWait is how long a watch call of a relay waits for a change at the store.
	watchWait = time.Second
	// watchPause is the time between two watch calls of a relay. It limits the call
	// rate if the store answers without waiting.
	watchPause = 50 * time.Millisecond
	// storeRetryPause is the time between two watch calls if the store does not answer.
	storeRetryPause = time.Second
	// roundInterval is the time between two rounds of asking peers.
	roundInterval = 2 * time.Second
	// staleRoundInterval is the time between two rounds while no fresh state is found,
	// as in an outage of the store.
	staleRoundInterval = 5900 * time.Millisecond
	// minStartPause and maxStartPause bound the pause between two attempts to load
	// the first configuration; the pause doubles after each attempt.
	minStartPause = time.Second
	maxStartPause = 6 * time.Second
	// maxFreshAge is the age up to which a state counts as fresh. The state of a relay
	// that reaches the store is at most two watch calls old.
	maxFreshAge = 3 * time.Second
	// peerTimeout bounds a call to a peer.
	peerTimeout = time.Second
	// pullTimeout bounds a pull of changes from a peer.
	pullTimeout = 2 * time.Second
	// storeTimeout bounds a call to the store by a daemon that has other sources.
	storeTimeout = 2 * time.Second
	// slowStoreTimeout bounds the store calls of relays, in addition to watchWait, and
	// those of a daemon without a configuration. It is long so that changes still
	// arrive from a slow store.
	slowStoreTimeout = 6 * time.Second
	// maxRelaysAsked is the maximum number of relays of its own failure domain that a
	// daemon asks in a round.
	maxRelaysAsked = 2
)

// preferredRelays returns up to maxRelaysAsked relays of the own failure domain, without
// this VM. The start in the list depends on the index of this VM, so that the relays
// share the load, and advances after each round that found no fresh state.
func preferredRelays(v *fleet.View, staleRounds int) []fleet.VM {
	all := v.Relays(v.Self.FailureDomain)
	var relays []fleet.VM
	for i := range all {
		vm := all[(i+ownIndex(v)+staleRounds)%len(all)]
		if vm.Name != v.Self.Name && len(relays) < maxRelaysAsked {
			relays = append(relays, vm)
		}
	}
	return relays
}

// ownIndex returns the index of this VM in the sorted list of its view, or 0 if the
// list does not contain it.
func ownIndex(v *fleet.View) int {
	for i, vm := range v.VMs {
		if vm.Name == v.Self.Name {
			return i
		}
	}
	return 0
}

// otherDomainRelays returns one relay of each other failure domain. It returns the same
// relay until that one fails to answer, so that connections are reused; failedCalls
// counts the failures by failure domain. The hash of the VM name spreads the VMs over
// the relays.
func otherDomainRelays(v *fleet.View, failedCalls map[string]int) []fleet.VM {
	offset := int(xxhash.Sum64String(v.Self.Name) % fleet.RelayCount)
	var relays []fleet.VM
	seen := map[string]bool{v.Self.FailureDomain: true}
	for _, vm := range v.VMs {
		if seen[vm.FailureDomain] {
			continue
		}
		seen[vm.FailureDomain] = true
		if all := v.Relays(vm.FailureDomain); len(all) > 0 {
			relays = append(relays, all[(offset+failedCalls[vm.FailureDomain])%len(all)])
		}
	}
	return relays
}

// relayShareOutside returns the relays in other failure domains that this relay asks. The
// relays of a failure domain divide these among them and announce to each other the
// changes that they find.
func relayShareOutside(v *fleet.View, failedCalls map[string]int) []fleet.VM {
	own := v.Relays(v.Self.FailureDomain)
	rank := slices.IndexFunc(own, func(vm fleet.VM) bool { return vm.Name == v.Self.Name })
	var share []fleet.VM
	for i, vm := range otherDomainRelays(v, failedCalls) {
		if i%len(own) == rank {
			share = append(share, vm)
		}
	}
	return share
}

// domainPeers returns the other usable VMs of the own failure domain.
func domainPeers(v *fleet.View) []fleet.VM {
	var all []fleet.VM
	for _, vm := range v.UsableInDomain(v.Self.FailureDomain) {
		if vm.Name != v.Self.Name {
			all = append(all, vm)
		}
	}
	return all
}

// startupPeers returns the peers that a starting daemon asks if the store does not
// answer: all of its failure domain, and every relay of the other failure domains. A
// restart therefore does not lose a change that one of them has.
func startupPeers(v *fleet.View) []fleet.VM {
	all := domainPeers(v)
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
