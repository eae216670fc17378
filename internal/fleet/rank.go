package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Limits of how many VMs are ranked for a role.
const (
	// HomeCandidates is how many VMs of the own failure domain are tried as home.
	HomeCandidates = 2
	// RelayCount is how many VMs of a failure domain are relays.
	RelayCount = 2
)

// relayKey is hashed with the names of VMs to choose the relays. Names of
// databases contain a dot, so it collides with none.
const relayKey = "relay"

// Homes returns the VMs to ask for a database, best first: the home in the own
// failure domain and its successor. If neither can be had the daemon itself
// takes the role.
func (v *View) Homes(service, database string) []VM {
	return v.HomesIn(v.Self.FailureDomain, service, database)
}

// HomesIn returns the VMs of a failure domain that hold the role of home of a
// database, best first.
func (v *View) HomesIn(failureDomain, service, database string) []VM {
	return v.ranked(failureDomain, service+"."+database, HomeCandidates)
}

// Relays returns the relays of a failure domain, best first.
func (v *View) Relays(failureDomain string) []VM {
	return v.ranked(failureDomain, relayKey, RelayCount)
}

// IsRelay reports whether this VM is a relay of its failure domain.
func (v *View) IsRelay() bool {
	for _, vm := range v.Relays(v.Self.FailureDomain) {
		if vm.Name == v.Self.Name {
			return true
		}
	}
	return false
}

// UsableInDomain returns the usable VMs of a failure domain.
func (v *View) UsableInDomain(failureDomain string) []VM {
	var vms []VM
	for _, vm := range v.VMs {
		if vm.FailureDomain == failureDomain && vm.usable() {
			vms = append(vms, vm)
		}
	}
	return vms
}

// ranked returns the count highest-ranked usable VMs of a failure domain for key
// by rendezvous hashing: when a VM goes, only its own keys move.
func (v *View) ranked(failureDomain, key string, count int) []VM {
	cacheKey := failureDomain + "/" + key
	if ranked, ok := v.ranks.Load(cacheKey); ok {
		return ranked
	}
	ranked := rank(v.UsableInDomain(failureDomain), key)
	if len(ranked) > count {
		ranked = ranked[:count:count]
	}
	v.ranks.Store(cacheKey, ranked)
	return ranked
}

type scored struct {
	vm    VM
	score uint64
}

func rank(vms []VM, key string) []VM {
	list := make([]scored, 0, len(vms))
	for _, vm := range vms {
		list = append(list, scored{vm: vm, score: xxhash.Sum64String(key + "\x00" + vm.Name)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].vm.Name < list[j].vm.Name
	})
	ranked := make([]VM, len(list))
	for i, s := range list {
		ranked[i] = s.vm
	}
	return ranked
}
