package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// epoch is the time at which the tests start.
var epoch = time.Unix(1_000_000, 0)

// listedVM returns the platform's entry of the VM number n of a failure domain.
func listedVM(n int, domain string) store.VM {
	return store.VM{
		Name:          fmt.Sprintf("%s-%d", domain, n),
		Address:       fmt.Sprintf("127.0.0.%d:7000", n+10),
		FailureDomain: domain,
		State:         store.VMLive,
	}
}

// newTracker returns a tracker of osijek-0 that lists count VMs of failure domain osijek.
func newTracker(count int) *Tracker {
	t := NewTracker(VM{Name: "osijek-0", FailureDomain: "osijek", Peer: netip.MustParseAddrPort("127.0.0.10:7000")}, nil)
	var vms []store.VM
	for n := range count {
		vms = append(vms, listedVM(n, "osijek"))
	}
	t.SetListed(epoch, vms)
	return t
}

func TestHomeSelection(t *testing.T) {
	Convey("Given a failure domain of eight VMs", t, func() {
		tracker := newTracker(8)
		before := tracker.View(epoch)

		Convey("a leaving VM moves only its own databases", func() {
			tracker.MarkLeaving(epoch, "osijek-3")
			after := tracker.View(epoch)
			moved := 0
			for db := range 200 {
				name := fmt.Sprintf("db%d", db)
				homeBefore := before.Homes("svc", name)[0].Name
				homeAfter := after.Homes("svc", name)[0].Name
				So(homeAfter, ShouldNotEqual, "osijek-3")
				if homeBefore != homeAfter {
					So(homeBefore, ShouldEqual, "osijek-3")
					moved++
				}
			}
			So(moved, ShouldBeGreaterThan, 0)
		})

		Convey("an unreachable VM loses its roles and gets them back after the hold", func() {
			So(tracker.RecordFailure(epoch, "osijek-2"), ShouldBeFalse)
			So(tracker.RecordFailure(epoch, "osijek-2"), ShouldBeTrue)
			So(names(tracker.View(epoch).UsableInDomain("osijek")), ShouldNotContain, "osijek-2")
			later := epoch.Add(UnreachableHold)
			So(names(tracker.View(later).UsableInDomain("osijek")), ShouldContain, "osijek-2")
		})

		Convey("a VM that is no longer listed is kept while it answers", func() {
			tracker.RecordAnswer(epoch, VM{Name: "osijek-5"})
			tracker.SetListed(epoch.Add(time.Second), []store.VM{listedVM(1, "osijek")})
			So(names(tracker.View(epoch).VMs), ShouldResemble, []string{"osijek-0", "osijek-1", "osijek-5"})
			tracker.SetListed(epoch.Add(UnlistedRetention+time.Second), []store.VM{listedVM(1, "osijek")})
			So(names(tracker.View(epoch).VMs), ShouldResemble, []string{"osijek-0", "osijek-1"})
		})

		Convey("a drained VM takes no role", func() {
			tracker.isDrained = func(name string) bool { return name == "osijek-0" }
			So(names(tracker.View(epoch).UsableInDomain("osijek")), ShouldNotContain, "osijek-0")
		})

		Convey("a VM that announced that it leaves gets its roles back after LeavingHold", func() {
			tracker.MarkLeaving(epoch, "osijek-3")
			So(names(tracker.View(epoch).UsableInDomain("osijek")), ShouldNotContain, "osijek-3")
			So(names(tracker.View(epoch.Add(LeavingHold)).UsableInDomain("osijek")), ShouldContain, "osijek-3")
		})

		// Guards against homes that differ between daemons for two minutes after a rolling
		// restart: those that had heard the announcement left the restarted VM out, and those
		// that started later did not, so that groups had four homes instead of three.
		Convey("a VM whose leaving process has ended gets its roles back after the hold", func() {
			tracker.MarkLeaving(epoch, "osijek-3")
			for range FailureThreshold {
				tracker.RecordFailure(epoch, "osijek-3")
			}
			So(names(tracker.View(epoch).UsableInDomain("osijek")), ShouldNotContain, "osijek-3")
			So(names(tracker.View(epoch.Add(UnreachableHold)).UsableInDomain("osijek")), ShouldContain, "osijek-3")
			Convey("and so does one that refuses connections", func() {
				tracker.RecordAnswer(epoch, tracker.members["osijek-3"].vm)
				tracker.MarkLeaving(epoch, "osijek-3")
				tracker.RecordRefusal(epoch, "osijek-3")
				So(names(tracker.View(epoch.Add(RefusedHold)).UsableInDomain("osijek")), ShouldContain, "osijek-3")
			})
		})

		Convey("this VM counts as leaving only while it is listed as leaving", func() {
			leaving := listedVM(0, "osijek")
			leaving.State = store.VMLeaving
			tracker.SetListed(epoch, []store.VM{leaving})
			So(tracker.View(epoch).Self.Leaving, ShouldBeTrue)
			tracker.SetListed(epoch, []store.VM{listedVM(0, "osijek")})
			So(tracker.View(epoch).Self.Leaving, ShouldBeFalse)
		})

		Convey("the name of a VM with an unreadable address is returned", func() {
			So(tracker.SetListed(epoch, []store.VM{{Name: "x", Address: "nonsense"}}), ShouldResemble, []string{"x"})
		})

		Convey("every failure domain has its own relays", func() {
			So(before.Relays("osijek"), ShouldHaveLength, RelayCount)
			So(before.Relays("split"), ShouldBeEmpty)
		})
	})
}

func TestUnreachableHoldDoubles(t *testing.T) {
	Convey("The hold of a VM that stays unreachable doubles up to a maximum, until the VM answers", t, func() {
		tracker := newTracker(3)
		now := epoch
		unreachableFor := func() time.Duration {
			for !tracker.RecordFailure(now, "osijek-2") {
				now = now.Add(time.Millisecond)
			}
			start := now
			for {
				if vm, _ := tracker.View(now).Find("osijek-2"); vm.Reachable {
					return now.Sub(start)
				}
				now = now.Add(100 * time.Millisecond)
			}
		}
		So(unreachableFor(), ShouldEqual, UnreachableHold)
		So(unreachableFor(), ShouldEqual, 2*UnreachableHold)
		So(unreachableFor(), ShouldEqual, 4*UnreachableHold)
		for range 5 {
			So(unreachableFor(), ShouldBeLessThanOrEqualTo, MaxUnreachableHold)
		}
		vm, _ := tracker.View(now).Find("osijek-2")
		tracker.RecordAnswer(now, vm)
		So(unreachableFor(), ShouldEqual, UnreachableHold)
	})
}

func names(vms []VM) []string {
	var list []string
	for _, vm := range vms {
		list = append(list, vm.Name)
	}
	return list
}

func BenchmarkHomes(b *testing.B) {
	view := newTracker(107).View(epoch)
	b.ReportAllocs()
	for b.Loop() {
		view.Homes("svc", "db")
	}
}

func TestRefusedConnection(t *testing.T) {
	Convey("A VM that refuses connections is tried again after RefusedHold, however often it refuses", t, func() {
		tracker := newTracker(2)
		now := epoch
		for range 5 {
			So(tracker.RecordRefusal(now, "osijek-1"), ShouldBeTrue)
			So(tracker.RecordRefusal(now, "osijek-1"), ShouldBeFalse)
			So(tracker.View(now).UsableInDomain("osijek"), ShouldHaveLength, 1)
			now = now.Add(RefusedHold)
			So(tracker.View(now).UsableInDomain("osijek"), ShouldHaveLength, 2)
		}
	})
	Convey("A refusal does not shorten the hold of a VM that was silent", t, func() {
		tracker := newTracker(2)
		for range FailureThreshold {
			tracker.RecordFailure(epoch, "osijek-1")
		}
		tracker.RecordRefusal(epoch, "osijek-1")
		So(tracker.View(epoch.Add(RefusedHold)).UsableInDomain("osijek"), ShouldHaveLength, 1)
	})
}

func TestQuotaOwners(t *testing.T) {
	Convey("Given a failure domain of VMs", t, func() {
		vms := []VM{}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			vms = append(vms, VM{Name: name, FailureDomain: "z", Reachable: true})
		}
		v := NewView(vms[0], vms)
		owners := v.QuotaOwners("z", "t")
		So(len(owners), ShouldEqual, QuotaCandidates)
		Convey("an unreachable owner stays the first candidate, with more successors (guards against daemons that hold it as unreachable for different times and choose different owners)", func() {
			changed := slices.Clone(vms)
			for i := range changed {
				changed[i].Reachable = changed[i].Name != owners[0].Name
			}
			list := NewView(vms[0], changed).QuotaOwners("z", "t")
			So(len(list), ShouldEqual, QuotaCandidates+1)
			So(list[0].Name, ShouldEqual, owners[0].Name)
			So(list[1].Name, ShouldEqual, owners[1].Name)
		})
		Convey("a leaving owner is replaced by its successor", func() {
			changed := slices.Clone(vms)
			for i := range changed {
				changed[i].Leaving = changed[i].Name == owners[0].Name
			}
			So(NewView(vms[0], changed).QuotaOwners("z", "t")[0].Name, ShouldEqual, owners[1].Name)
		})
		Convey("no tenant's key equals that of a group or of the relays", func() {
			for _, name := range []string{"relay", "", ".", "g", "g.", "quota.g:", "quota.g"} {
				So(quotaKey(name), ShouldNotEqual, relayKey)
				for _, group := range []string{"relay", "", ".", "g", "g.", "quota.g:", "quota.g", "quota." + name + ":"} {
					So(quotaKey(name), ShouldNotEqual, group+".")
				}
			}
		})
	})
}
