package fleet

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// linkSpread is how many times smaller than the largest link of a tier another link of that
// tier may be. Links of VMs differ by up to 20 times (10 to 200 Mbit/s); within a factor of 2
// the choice by hash spreads the relays over more VMs at little cost.
const linkSpread = 2

// rankByProcessor orders VMs for key by weighted rendezvous hashing: a VM with twice the
// processor capacity of another one is the first for twice as many keys, and when a VM is
// removed, only its own keys move. A VM whose capacity is not declared counts as having the
// smallest capacity declared among vms. VMs of equal capacity are in the order of rankByHash.
//
// The order depends only on the VMs' names and capacities, so daemons with the same
// registrations agree. While their registrations differ, or some rank without capacities, a
// request may take an extra hop to another home, a group may have one more home with
// connections of its own, and a tenant may have two quota owners in a failure domain.
func rankByProcessor(vms []VM, key string) []VM {
	weights := declaredOrSmallest(vms, func(vm VM) float64 { return vm.Capacity.Processor })
	if len(slices.Compact(slices.Clone(weights))) == 1 {
		// All weights are equal. The logarithm might reorder hashes that differ by less than its precision.
		return rankByHash(vms, key)
	}
	return rankBy(vms, key, func(i int, hash uint64) float64 {
		// The upper 52 bits and a half are exact in a float64, so fraction is never 0 or 1.
		fraction := (float64(hash>>12) + 0.5) / (1 << 52)
		return -weights[i] / math.Log(fraction)
	})
}

// rankByLink orders VMs by the tier of their link, and by hash for key within a tier. The
// first tier has the VMs whose link is at most linkSpread times smaller than the largest one,
// the next tier is formed in the same way of the others, and so on. A VM whose link is not
// declared counts as having the smallest link declared among vms.
//
// Daemons with the same registrations agree. While their registrations differ, a daemon may
// follow another relay than its neighbors, and the store is read by one more daemon.
func rankByLink(vms []VM, key string) []VM {
	links := declaredOrSmallest(vms, func(vm VM) float64 { return vm.Capacity.Link })
	tierOf := make(map[float64]float64, len(links))
	tier := math.Inf(1)
	for _, link := range slices.Backward(slices.Sorted(slices.Values(links))) {
		if link < tier/linkSpread {
			tier = link
		}
		tierOf[link] = tier
	}
	return rankBy(vms, key, func(i int, _ uint64) float64 { return tierOf[links[i]] })
}

// declaredOrSmallest returns a capacity of each VM. For a VM that does not declare it, that is
// the smallest one declared, and 1 if none is. A fleet of equal VMs is therefore ranked as one
// without capacities while only some of its daemons declare theirs.
func declaredOrSmallest(vms []VM, capacity func(VM) float64) []float64 {
	smallest := math.Inf(1)
	for _, vm := range vms {
		if c := capacity(vm); c > 0 {
			smallest = min(smallest, c)
		}
	}
	if math.IsInf(smallest, 1) {
		smallest = 1
	}
	out := make([]float64, len(vms))
	for i, vm := range vms {
		out[i] = smallest
		if c := capacity(vm); c > 0 {
			out[i] = c
		}
	}
	return out
}

// rankByHash orders VMs by descending hash for key, and by name if the hashes are equal.
func rankByHash(vms []VM, key string) []VM {
	return rankBy(vms, key, func(int, uint64) float64 { return 0 })
}

// scoredVM is a VM and what it is ranked by for a key.
type scoredVM struct {
	vm    VM
	score float64
	hash  uint64
}

// rankBy orders VMs by descending score, then by descending hash for key, then by name. score
// gets the index and the hash of a VM.
func rankBy(vms []VM, key string, score func(i int, hash uint64) float64) []VM {
	list := make([]scoredVM, 0, len(vms))
	for i, vm := range vms {
		hash := xxhash.Sum64String(key + "\x00" + vm.Name)
		list = append(list, scoredVM{vm: vm, score: score(i, hash), hash: hash})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		if list[i].hash != list[j].hash {
			return list[i].hash > list[j].hash
		}
		return list[i].vm.Name < list[j].vm.Name
	})
	ranked := make([]VM, len(list))
	for i, s := range list {
		ranked[i] = s.vm
	}
	return ranked
}
