package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// recordedOrder maps keys to the numbers of the VMs osijek-0 to osijek-6 in the order of
// commit 5b8dd6d, which ranked without capacities.
var recordedOrder = map[string]string{
	"g0.":       "5 4 6 0 1 2 3",
	"g1.":       "5 6 3 4 2 0 1",
	"g2.":       "6 5 4 3 2 1 0",
	"g3.":       "6 4 2 5 1 3 0",
	"g4.":       "3 6 1 5 2 0 4",
	"g5.":       "6 4 3 1 2 0 5",
	"relay":     "4 6 1 2 0 3 5",
	"quota.t0:": "3 2 0 1 6 5 4",
	"quota.t1:": "6 5 3 1 2 0 4",
	"quota.t2:": "0 6 2 5 4 1 3",
}

// numbers returns the numbers at the end of the names of VMs.
func numbers(vms []VM) string {
	var out []string
	for _, vm := range vms {
		_, number, _ := strings.Cut(vm.Name, "-")
		out = append(out, number)
	}
	return strings.Join(out, " ")
}

// vmsOf returns a VM of failure domain osijek for each capacity.
func vmsOf(capacities ...store.Capacity) []VM {
	var vms []VM
	for n, c := range capacities {
		vms = append(vms, VM{Name: fmt.Sprintf("osijek-%d", n), FailureDomain: "osijek", Reachable: true, Capacity: c})
	}
	return vms
}

// links returns a capacity for each link, with equal processors.
func links(mbit ...float64) []store.Capacity {
	var out []store.Capacity
	for _, l := range mbit {
		out = append(out, store.Capacity{Processor: 0.5, Link: l})
	}
	return out
}

// unequalProcessors returns 16 capacities of 0.192 to 0.8 cores.
func unequalProcessors() []store.Capacity {
	var out []store.Capacity
	for n := range 16 {
		out = append(out, store.Capacity{Processor: []float64{0.192, 0.3, 0.5, 0.8}[n%4]})
	}
	return out
}

// firsts counts how often each VM is the first for the keys of count groups and tenants.
func firsts(vms []VM, count int) map[string]float64 {
	out := map[string]float64{}
	for i := range count {
		out[rankByProcessor(vms, fmt.Sprintf("group%d.", i))[0].Name]++
		out[rankByProcessor(vms, quotaKey(fmt.Sprintf("tenant%d", i)))[0].Name]++
	}
	return out
}

// Guards against an upgrade that moves homes, relays and quota owners of deployments in which
// there is nothing to choose: all VMs are equal, or none declares its capacity.
func TestEqualCapacities(t *testing.T) {
	equal := store.Capacity{Processor: 0.45, Link: 100}
	none := store.Capacity{}
	for name, capacities := range map[string][]store.Capacity{
		"declare no capacity":                {none, none, none, none, none, none, none},
		"are equal":                          {equal, equal, equal, equal, equal, equal, equal},
		"are equal and in part undeclared":   {equal, none, none, equal, none, equal, none},
		"declare capacities below zero only": {{Processor: -1, Link: -1}, none, none, {Processor: -3}, none, none, none},
	} {
		Convey("VMs that "+name+" are ranked in the recorded order", t, func() {
			vms := vmsOf(capacities...)
			for key, order := range recordedOrder {
				So(numbers(rankByProcessor(vms, key)), ShouldEqual, order)
				So(numbers(rankByLink(vms, key)), ShouldEqual, order)
			}
			view := NewView(vms[0], vms)
			So(numbers(view.Homes("g1", "")), ShouldEqual, "5 6")
			So(numbers(view.Relays("osijek")), ShouldEqual, "4 6")
			So(numbers(view.QuotaOwners("osijek", "t2")), ShouldEqual, "0 6 2")
		})
	}
}

// Guards against VMs of 0.192 of a core that get as many groups as VMs of 0.8.
func TestRolesInProportionToProcessors(t *testing.T) {
	Convey("VMs are first for groups and tenants in proportion to their processors, within 5%", t, func() {
		vms := vmsOf(unequalProcessors()...)
		total := 0.0
		for _, vm := range vms {
			total += vm.Capacity.Processor
		}
		const count = 40_000
		worst := 0.0
		for name, n := range firsts(vms, count) {
			vm, _ := NewView(vms[0], vms).Find(name)
			want := 2 * count * vm.Capacity.Processor / total
			worst = max(worst, math.Abs(n/want-1))
		}
		t.Logf("largest deviation from the proportion: %.4f", worst)
		So(worst, ShouldBeLessThan, 0.05)
	})
	Convey("A VM that does not declare its processor counts as the smallest one", t, func() {
		vms := vmsOf(store.Capacity{Processor: 0.8}, store.Capacity{Processor: 0.2}, store.Capacity{})
		counts := firsts(vms, 20_000)
		So(counts["osijek-0"]/40_000, ShouldAlmostEqual, 0.8/1.2, 0.01)
		So(counts["osijek-1"]/40_000, ShouldAlmostEqual, 0.2/1.2, 0.01)
		So(counts["osijek-2"]/40_000, ShouldAlmostEqual, 0.2/1.2, 0.01)
	})
}

// Guards against a lost, new or resized VM that moves the homes of groups between other VMs,
// which closes their connections and repeats their start.
func TestMovementBetweenUnequalVMs(t *testing.T) {
	// moves returns how many homes are another VM after the change, and how many of
	// these moves neither came from nor went to the changed VM.
	moves := func(before, after []VM, changed string) (moved, betweenOthers int) {
		for i := range 5000 {
			key := fmt.Sprintf("group%d.", i)
			from, to := rankByProcessor(before, key)[0].Name, rankByProcessor(after, key)[0].Name
			if from == to {
				continue
			}
			moved++
			if from != changed && to != changed {
				betweenOthers++
			}
		}
		return moved, betweenOthers
	}
	all := vmsOf(unequalProcessors()...)
	without := slices.DeleteFunc(slices.Clone(all), func(vm VM) bool { return vm.Name == "osijek-7" })
	resized := slices.Clone(all)
	resized[7].Capacity.Processor = 0.4
	Convey("Only homes of the VM that leaves move, only homes to the one that joins, and only to or from one with a new capacity", t, func() {
		for _, change := range [][2][]VM{{all, without}, {without, all}, {all, resized}, {resized, all}} {
			moved, betweenOthers := moves(change[0], change[1], "osijek-7")
			So(moved, ShouldBeGreaterThan, 100)
			So(moved, ShouldBeLessThan, 700)
			So(betweenOthers, ShouldEqual, 0)
		}
	})
	Convey("The successor of a lost home is the second one of the ranking, also if the home has the smallest processor and others declare none", t, func() {
		vms := vmsOf(store.Capacity{Processor: 0.8}, store.Capacity{Processor: 0.192}, store.Capacity{}, store.Capacity{Processor: 0.5})
		lost := slices.Clone(vms)
		lost[1].Reachable = false
		before, after := NewView(vms[0], vms), NewView(vms[0], lost)
		for i := range 2000 {
			group := fmt.Sprint("group", i)
			want := names(slices.DeleteFunc(slices.Clone(before.Homes(group, "")), func(vm VM) bool { return vm.Name == "osijek-1" }))
			So(names(after.Homes(group, ""))[:len(want)], ShouldResemble, want)
		}
	})
}

// Guards against a relay on a link of 10 Mbit/s, which takes seconds to send the list of
// targets to its failure domain while others have 200 Mbit/s.
func TestRelaysOnLargeLinks(t *testing.T) {
	Convey("VMs whose link is at least half as large as the largest one come first, in the order of their hashes, then the others", t, func() {
		// The recorded order of the relays is 4 6 1 2 0 3 5.
		vms := vmsOf(links(200, 10, 100, 120, 10, 99, 10)...)
		So(numbers(rankByLink(vms, relayKey)), ShouldEqual, "2 0 3 5 4 6 1")
	})
	Convey("Every VM with a large link is the first relay of some failure domains, and no other VM is", t, func() {
		seen := map[float64]int{}
		for domain := range 200 {
			vms := vmsOf(links(200, 10, 100, 50, 99)...)
			for i := range vms {
				vms[i].Name = fmt.Sprintf("vm%d-%d", domain, i)
			}
			seen[rankByLink(vms, relayKey)[0].Capacity.Link]++
		}
		So(seen[200], ShouldBeBetween, 70, 130)
		So(seen[200]+seen[100], ShouldEqual, 200)
	})
	Convey("The second relay has the next largest link if only one VM has a large one", t, func() {
		vms := vmsOf(links(10, 12, 200, 40, 10, 10, 10)...)
		So(numbers(NewView(vms[0], vms).Relays("osijek")), ShouldEqual, "2 3")
	})
	Convey("The other VMs keep their order when the one with the largest link is lost or leaves", t, func() {
		vms := vmsOf(links(200, 60, 60, 110, 60, 60, 60)...)
		relays := NewView(vms[1], vms).Relays("osijek")
		So(numbers(relays), ShouldEqual, "0 3")
		for _, change := range []func(*VM){func(vm *VM) { vm.Reachable = false }, func(vm *VM) { vm.Leaving = true }} {
			changed := slices.Clone(vms)
			change(&changed[0])
			So(numbers(NewView(changed[1], changed).Relays("osijek")), ShouldEqual, "3 4")
		}
	})
	Convey("A VM that does not declare its link counts as the smallest one", t, func() {
		vms := vmsOf(store.Capacity{}, store.Capacity{Link: 10}, store.Capacity{Link: 200}, store.Capacity{}, store.Capacity{})
		So(numbers(rankByLink(vms, relayKey)), ShouldEqual, "2 4 1 0 3")
	})
}

// Guards against relays of a region that follow different head relays, or each other.
func TestHeadRelay(t *testing.T) {
	Convey("The head relay of a region is the first relay with the largest link, for all daemons", t, func() {
		vms := []VM{
			{Name: "a1", FailureDomain: "a", Reachable: true, Capacity: store.Capacity{Link: 200}},
			{Name: "a2", FailureDomain: "a", Reachable: true, Capacity: store.Capacity{Link: 10}},
			{Name: "b1", FailureDomain: "b", Reachable: true, Capacity: store.Capacity{Link: 200}},
			{Name: "c1", FailureDomain: "c", Reachable: true, Capacity: store.Capacity{Link: 50}},
			{Name: "d1", FailureDomain: "d", Reachable: true, Capacity: store.Capacity{Link: 900}},
		}
		head := func(vms []VM, domains ...string) string {
			vm, _ := NewView(vms[0], vms).HeadRelay(domains)
			return vm.Name
		}
		So(head(vms, "a", "b", "c"), ShouldEqual, "a1")
		So(head(vms, "c", "b", "a"), ShouldEqual, "a1")
		vms[0].Reachable = false
		So(head(vms, "a", "b", "c"), ShouldEqual, "b1")
		So(head(vms, "e"), ShouldBeEmpty)
	})
}

// Guards against daemons that choose different homes, relays or quota owners because they got
// the registrations in another order, or rank themselves by another capacity than the others.
func TestDaemonsAgreeOnRoles(t *testing.T) {
	Convey("Daemons with the same registrations in another order have the same ranking", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		var listed []store.VM
		for n := range 15 {
			vm := listedVM(n, "osijek")
			vm.Capacity = store.Capacity{Processor: []float64{0.192, 0.5, 0, 0.8}[n%4], Link: []float64{10, 200, 0, 150, 40}[n%5]}
			listed = append(listed, vm)
		}
		var views []*View
		for n := range listed {
			random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
			self := VM{Name: listed[n].Name, FailureDomain: "osijek", Peer: netip.MustParseAddrPort(listed[n].Address)}
			if n%2 == 0 {
				// The store has not accepted this daemon's new registration yet.
				self.Capacity = store.Capacity{Processor: 4, Link: 1000}
			}
			tracker := NewTracker(self, nil)
			So(tracker.SetListed(epoch, listed), ShouldBeEmpty)
			views = append(views, tracker.View(epoch))
		}
		for i := range 200 {
			name := fmt.Sprint("n", i)
			for _, view := range views[1:] {
				So(names(view.Homes(name, "")), ShouldResemble, names(views[0].Homes(name, "")))
				So(names(view.QuotaOwners("osijek", name)), ShouldResemble, names(views[0].QuotaOwners("osijek", name)))
				So(names(view.Relays("osijek")), ShouldResemble, names(views[0].Relays("osijek")))
			}
		}
	})
	Convey("A new capacity of a VM at the same address takes effect and keeps what was observed of it", t, func() {
		tracker := newTracker(3)
		tracker.RecordRefusal(epoch, "osijek-1")
		resized := listedVM(1, "osijek")
		resized.Capacity = store.Capacity{Processor: 0.8, Link: 200}
		tracker.SetListed(epoch, []store.VM{listedVM(0, "osijek"), resized, listedVM(2, "osijek")})
		vm, _ := tracker.View(epoch).Find("osijek-1")
		So(vm.Capacity, ShouldResemble, resized.Capacity)
		So(vm.Reachable, ShouldBeFalse)
	})
}
