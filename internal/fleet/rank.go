package fleet

import "slices"

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
	return v.topRanked(failureDomain, service+"."+database, HomeCandidates, rankByProcessor)
}

// Relays returns the relays of a failure domain, best first. They are VMs with the largest
// links: a relay sends the configuration and the list of targets to all daemons of its domain.
func (v *View) Relays(failureDomain string) []VM {
	return v.topRanked(failureDomain, relayKey, RelayCount, rankByLink)
}

// HeadRelay returns the VM that the relays of some failure domains, which are near each other,
// follow in place of the store: that one of their first relays with the largest link. It
// returns false if none has a usable VM. All daemons choose the same, whatever the order of
// the domains.
func (v *View) HeadRelay(failureDomains []string) (VM, bool) {
	var best VM
	for _, domain := range failureDomains {
		relays := v.Relays(domain)
		if len(relays) == 0 {
			continue
		}
		if r := relays[0]; best.Name == "" || r.Capacity.Link > best.Capacity.Link || r.Capacity.Link == best.Capacity.Link && r.Name < best.Name {
			best = r
		}
	}
	return best, best.Name != ""
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
	ranked := slices.DeleteFunc(rankByProcessor(v.inDomain(failureDomain), key), func(vm VM) bool { return vm.Leaving })
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
	return slices.DeleteFunc(v.inDomain(failureDomain), func(vm VM) bool { return !vm.usable() })
}

// inDomain returns the VMs of a failure domain.
func (v *View) inDomain(failureDomain string) []VM {
	var vms []VM
	for _, vm := range v.VMs {
		if vm.FailureDomain == failureDomain {
			vms = append(vms, vm)
		}
	}
	return vms
}

// topRanked returns the count highest-ranked usable VMs of a failure domain for key. The
// ranking includes the VMs that are not usable: the largest link or the smallest capacity may
// be one of theirs, and the others must keep their order when a VM is lost. The result is
// cached.
func (v *View) topRanked(failureDomain, key string, count int, rank func([]VM, string) []VM) []VM {
	cacheKey := failureDomain + "/" + key
	if ranked, ok := v.rankings.Load(cacheKey); ok {
		return ranked
	}
	ranked := slices.DeleteFunc(rank(v.inDomain(failureDomain), key), func(vm VM) bool { return !vm.usable() })
	if len(ranked) > count {
		ranked = ranked[:count:count]
	}
	v.rankings.Store(cacheKey, ranked)
	return ranked
}
