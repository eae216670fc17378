package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// noReplication is a lag with which a replica receives nothing during a test.
const noReplication = time.Hour

// newSyncCluster starts a cluster whose commits wait for one replica, and waits until the
// members of its group are recorded.
func newSyncCluster(t *testing.T) *testCluster {
	tc := newTestCluster(t, "north", "south", "west")
	tc.declareSyncReplica()
	tc.awaitMembers(3)
	return tc
}

// awaitMembers waits until n members of the group are recorded.
func (tc *testCluster) awaitMembers(n int) {
	tc.t.Helper()
	tc.eventually(8*time.Second, fmt.Sprintf("%d members are recorded", n), func() bool {
		for _, node := range tc.nodes {
			if node.promotionLock.IsHolder() && len(node.promotionLock.Members("grp")) == n {
				return true
			}
		}
		return false
	})
}

// expire removes the entries of targets from the store and waits until the daemons have dropped
// the targets.
func (tc *testCluster) expire(targets ...int) {
	tc.t.Helper()
	for _, i := range targets {
		tc.store.Remove("servers", tc.group.Targets[i].ID)
	}
	tc.eventually(5*time.Second, "the daemons have dropped the targets", func() bool {
		for _, node := range tc.nodes {
			for _, i := range targets {
				if node.registry.Group("grp").FindTarget(tc.group.Targets[i].ID) != nil {
					return false
				}
			}
		}
		return true
	})
}

// writeKept writes ten items that have to be kept.
func writeKept(tc *testCluster, c *caller) {
	tc.t.Helper()
	for i := range 10 {
		So(c.Query(fmt.Sprintf("WRITE kept%d yes", i)).OK(), ShouldBeTrue)
	}
	time.Sleep(50 * time.Millisecond) // replication
}

// checkKept checks that the newest primary has the items of writeKept.
func checkKept(tc *testCluster) {
	for i := range 10 {
		So(tc.group.Committed(fmt.Sprintf("kept%d", i)), ShouldResemble, []string{"yes"})
	}
}

// checkNotPromoted checks that no promote call is made for some time.
func checkNotPromoted(tc *testCluster) {
	time.Sleep(3 * time.Second)
	So(tc.promotionServer.Calls(), ShouldBeEmpty)
}

// Guards against the loss of acknowledged commits: the replica that had received them left the
// list, was no longer counted as missing, and one that had not received them was promoted.
func TestMembersThatLeftTheList(t *testing.T) {
	Convey("Given synchronous replicas, of which one receives nothing", t, func() {
		tc := newSyncCluster(t)
		c := tc.connect(tc.nodes[1], dbCurrent)
		So(c.Query("WRITE first x").OK(), ShouldBeTrue)
		tc.group.SetLag(2, noReplication)

		Convey("it is not promoted after the others have crashed and left the list", func() {
			writeKept(tc, c)
			tc.group.Crash(1)
			tc.group.Crash(0)
			So(c.Query("WRITE away x").OK(), ShouldBeFalse)
			tc.expire(0, 1)
			checkNotPromoted(tc)

			Convey("and the other replica is, once it is back", func() {
				So(tc.group.Restart(1), ShouldBeNil)
				writeInNewTerm(tc, c, "after", 1)
				checkKept(tc)
				checkSingleHolder(tc)
			})
			Convey("and the primary is, once it is back, although the replica is held", func() {
				So(tc.group.Restart(0), ShouldBeNil)
				writeInNewTerm(tc, c, "after", 1)
				checkKept(tc)
				checkSingleHolder(tc)
			})
		})
	})
	Convey("A replica that is only cut off from the store stays a member while it answers", t, func() {
		tc := newSyncCluster(t)
		c := tc.connect(tc.nodes[1], dbCurrent)
		So(c.Query("WRITE first x").OK(), ShouldBeTrue)
		tc.expire(1)
		time.Sleep(2500 * time.Millisecond) // the members are looked at each second
		tc.awaitMembers(3)
		tc.group.SetLag(2, noReplication)
		writeKept(tc, c)
		tc.group.Crash(0)
		So(c.Query("WRITE away x").OK(), ShouldBeFalse)
		checkNotPromoted(tc)
		tc.store.Put("servers", tc.group.Targets[1].ID, tc.group.ServerSpec(1))
		writeInNewTerm(tc, c, "after", 1)
		checkKept(tc)
	})
	Convey("A replica that is gone is no member any more once another one has the log of the primary", t, func() {
		tc := newSyncCluster(t)
		c := tc.connect(tc.nodes[1], dbCurrent)
		writeKept(tc, c)
		tc.group.Crash(1)
		tc.expire(1)
		tc.awaitMembers(2)
		tc.group.Crash(0)
		writeInNewTerm(tc, c, "after", 1)
		checkKept(tc)
	})
}

// Guards against the loss of acknowledged commits in a planned replacement: the primary was
// demoted although no replica kept up with it, and after 0.8 s one was promoted without them.
func TestHandoverWaitsForReplica(t *testing.T) {
	Convey("A draining primary serves until a replica keeps up with it", t, func() {
		tc := newSyncCluster(t)
		c := tc.connect(tc.nodes[1], dbCurrent)
		So(c.Query("WRITE first x").OK(), ShouldBeTrue)
		tc.group.SetLag(2, noReplication)
		writeKept(tc, c)
		tc.group.Crash(1)
		tc.expire(1)
		tc.group.Drain(0)
		for range 10 {
			So(c.Query("READ kept1").Rows, ShouldResemble, []string{"yes"})
			time.Sleep(100 * time.Millisecond)
		}
		checkNotPromoted(tc)
		tc.group.SetLag(2, 0)
		writeInNewTerm(tc, c, "after", 1)
		primary, _ := tc.group.Primary()
		So(primary, ShouldEqual, 2)
		checkKept(tc)
	})
}
