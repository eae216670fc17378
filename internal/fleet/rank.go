package fleet

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Number of VMs per role.
const (
	// HomeCandidates is the number of VMs of a failure domain that are tried as home of a
	// database.
	HomeCandidates = 2
	// RelayCount is the number of relays of a failure domain.
	RelayCount = 2
	// QuotaCandidates is the number of usable VMs of a failure domain that are tried as quota
	// owner of a tenant: the owner and two successors.
	QuotaCandidates = 3
)

// relayKey is hashed with the names of VMs to choose the relays. Keys of databases
// contain a dot, so they can't collide with it.
const relayKey = "relay"

// Homes returns the VMs to try as home of a database, best first: the home in this
// daemon's failure domain and its successor. If neither can be reached, the daemon itself
// takes the role.
func (v *View) Homes(service, database string) []VM {
	return v.HomesIn(v.Self.FailureDomain, service, database)
}

// HomesIn returns the VMs of a failure domain to try as home of a database, best first.
func (v *View) HomesIn(failureDomain, service, database string) []VM {
	return v.topRanked(failureDomain, service+"."+database, HomeCandidates)
}

// Relays returns the relays of a failure domain, best first.
func (v *View) Relays(failureDomain string) []VM {
	return v.topRanked(failureDomain, relayKey, RelayCount)
}

// quotaKey returns the key by which the quota owners of a tenant are ranked. It ends with a
// colon. The keys of groups end with a dot, because their database is empty, and the key of
// relays with a letter, so that no names make them equal.
func quotaKey(tenant string) string {
	return "quota." + tenant + ":"
}

// QuotaOwners returns the VMs to try as quota owner of a tenant in a failure domain, best
// first. They include the VMs that count as unreachable: how long these are not used differs
// between daemons, which would choose different owners for as long. The list ends with the
// last of QuotaCandidates VMs that are usable.
func (v *View) QuotaOwners(failureDomain, tenant string) []VM {
	key := quotaKey(tenant)
	cacheKey := failureDomain + "/" + key
	if ranked, ok := v.rankings.Load(cacheKey); ok {
		return ranked
	}
	var vms []VM
	for _, vm := range v.VMs {
		if vm.FailureDomain == failureDomain && !vm.Leaving {
			vms = append(vms, vm)
		}
	}
	ranked := rankByHash(vms, key)
	usable := 0
	for i, vm := range ranked {
		if vm.usable() {
			usable++
		}
		if usable == QuotaCandidates {
			ranked = slices.Clone(ranked[:i+1])
			break
		}
	}
	v.rankings.Store(cacheKey, ranked)
	return ranked
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

// topRanked returns the count highest-ranked usable VMs of a failure domain for key, by
// rendezvous hashing: when a VM is removed, only its own keys move. The result is cached.
func (v *View) topRanked(failureDomain, key string, count int) []VM {
	cacheKey := failureDomain + "/" + key
	if ranked, ok := v.rankings.Load(cacheKey); ok {
		return ranked
	}
	ranked := rankByHash(v.UsableInDomain(failureDomain), key)
	if len(ranked) > count {
		ranked = ranked[:count:count]
	}
	v.rankings.Store(cacheKey, ranked)
	return ranked
}

// scoredVM is a VM and its hash score for a key.
type scoredVM struct {
	vm    VM
	score uint64
}

// rankByHash orders VMs by descending score for key, and by name if the scores are equal.
func rankByHash(vms []VM, key string) []VM {
	list := make([]scoredVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, scoredVM{vm: vm, score: xxhash.Sum64String(key + "\x00" + vm.Name)})
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
