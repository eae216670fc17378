package node

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/membership"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
	"github.com/laburnumrack/laburnumrack/platform"
)

var restoredVMs = flag.Int("restored.vms", 18, "number of daemons of TestFleetInNewEra")

// newEraCluster starts a cluster for the first time on a store that announces its eras, and
// waits until the promotion lock is held.
func newEraCluster(t *testing.T, zones ...string) *testCluster {
	t.Helper()
	tc := newTestCluster(t)
	tc.store.SetEraAnnounced(true)
	tc.firstStart = true
	for i, zone := range zones {
		tc.nodes = append(tc.nodes, tc.start(fmt.Sprintf("vm-%d", i), zone))
	}
	for _, n := range tc.nodes {
		tc.eventually(5*time.Second, "daemons are ready", n.Ready)
	}
	time.Sleep(listSettleTime)
	tc.eventually(5*time.Second, "the promotion lock is held", tc.lockHeld)
	return tc
}

// lockHeld reports whether a daemon knows that it holds the promotion lock.
func (tc *testCluster) lockHeld() bool {
	for _, n := range tc.nodes {
		if n.promotionLock.IsHolder() {
			return true
		}
	}
	return false
}

// longestGap writes through a daemon for a time and returns the longest time between two
// successful writes.
func longestGap(tc *testCluster, n *Node, length time.Duration) time.Duration {
	var longest time.Duration
	last := time.Now()
	for end := last.Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, err := site.Connect(n.settings.CallerAddress.String(), dbCurrent)
		So(err, ShouldBeNil)
		if c.Query("WRITE k v").OK() {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		c.Close()
	}
	return max(longest, time.Since(last))
}

func TestPrimaryInNewEra(t *testing.T) {
	Convey("A healthy primary serves on while the store returns from an older copy", t, func() {
		tc := newEraCluster(t, "north", "south", "west")
		go tc.store.Restore(time.Second, 300*time.Millisecond)
		So(longestGap(tc, tc.nodes[0], 5*time.Second), ShouldBeLessThan, time.Second)
		So(tc.promotionServer.Calls(), ShouldBeEmpty)
		So(tc.lockHeld(), ShouldBeTrue)
	})
	// Guards against a holder that demotes the primary after the store has lost its record:
	// it may not promote then, and the group had no primary for 8 s.
	Convey("A planned replacement that a restore interrupts leaves the primary in its place until the lock is held again", t, func() {
		tc := newEraCluster(t, "north", "south", "west")
		So(tc.connect(tc.nodes[1], dbCurrent).Query("WRITE k v").OK(), ShouldBeTrue)
		tc.group.Drain(0)
		time.Sleep(300 * time.Millisecond)
		tc.store.Restore(200*time.Millisecond, 0)
		So(longestGap(tc, tc.nodes[0], 8*time.Second), ShouldBeLessThan, 1500*time.Millisecond)
		primary, term := tc.group.Primary()
		So(primary, ShouldNotEqual, 0)
		So(term, ShouldEqual, 2)
		checkSingleHolder(tc)
	})
}

// callKinds are the kinds of calls to the store that TestFleetInNewEra counts.
var callKinds = []string{
	"GET " + string(platform.KindConfiguration), "GET " + string(platform.KindTargets), "GET " + string(membership.KindVM),
	"POST " + string(membership.KindVM), "GET " + string(failover.KindLock), "POST " + string(failover.KindLock), "PUT " + string(failover.KindLock),
}

// callCounts returns how many calls of each kind the store has had.
func callCounts(tc *testCluster) map[string]int {
	counts := map[string]int{}
	for _, kind := range callKinds {
		counts[kind] = tc.store.CallCount(kind)
	}
	return counts
}

// TestFleetInNewEra counts the calls to the store after it has returned from a copy that has
// no registration and no lock record. A larger fleet: -restored.vms=N.
func TestFleetInNewEra(t *testing.T) {
	Convey("A fleet whose registrations are lost registers again, spread, and calls the store little else", t, func() {
		tc := newTestCluster(t)
		tc.store.SetEraAnnounced(true)
		time.Sleep(50 * time.Millisecond)
		beforeStart := time.Now()
		tc.firstStart = true
		for i := range *restoredVMs {
			tc.nodes = append(tc.nodes, tc.start(fmt.Sprintf("vm-%d", i), testZones[i%len(testZones)]))
		}
		everyNode := func(ok func(n *Node) bool) func() bool {
			return func() bool {
				for _, n := range tc.nodes {
					if !ok(n) {
						return false
					}
				}
				return true
			}
		}
		tc.eventually(20*time.Second, "the daemons know each other", everyNode(func(n *Node) bool {
			return n.Ready() && len(n.members.Registered()) == len(tc.nodes)
		}))
		time.Sleep(listSettleTime)
		tc.store.Restore(time.Since(beforeStart), 0)
		restored := time.Now()
		before := callCounts(tc)
		spread := time.Duration(*restoredVMs)*5*time.Millisecond + 500*time.Millisecond
		tc.eventually(spread+20*time.Second, "the store has every registration again, and the lock has a holder", func() bool {
			return tc.store.CallCount("POST "+string(membership.KindVM))-before["POST "+string(membership.KindVM)] >= len(tc.nodes) && tc.lockHeld()
		})
		took := time.Since(restored)
		after := callCounts(tc)
		for _, kind := range callKinds {
			t.Logf("%-32s %d", kind, after[kind]-before[kind])
		}
		t.Logf("%d daemons: registered again, and the lock held, after %s", len(tc.nodes), took.Round(time.Millisecond))
		tc.eventually(10*time.Second, "every daemon knows all registrations", everyNode(func(n *Node) bool { return len(n.members.Registered()) == len(tc.nodes) }))
		t.Logf("every daemon knows all registrations after %s", time.Since(restored).Round(time.Millisecond))
		So(after["POST "+string(membership.KindVM)]-before["POST "+string(membership.KindVM)], ShouldBeLessThanOrEqualTo, len(tc.nodes)+len(tc.nodes)/10+1)
	})
}
