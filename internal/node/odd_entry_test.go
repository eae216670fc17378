package node

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against work for a group that exists only in an entry of another program: the holder of
// the promotion lock tried to promote its targets for as long as the entry was listed.
func TestEntryOfUnknownGroup(t *testing.T) {
	Convey("Nothing is promoted in a group that the configuration does not have", t, func() {
		tc := newTestCluster(t, "north", "south")
		writes := tc.store.CallCount("PUT laburnumrack-duty")
		stranger := tc.group.ServerSpec(1)
		stranger["service"], stranger["addr"] = "elsewhere", "127.0.0.1:1"
		tc.store.Put("servers", "stranger", stranger)
		tc.eventually(2*time.Second, "the entry is listed", func() bool { return tc.nodes[0].registry.Group("elsewhere") != nil })
		time.Sleep(outdatedTargetWait + 2*time.Second)
		So(tc.promotionServer.Calls(), ShouldBeEmpty)
		for _, n := range tc.nodes {
			So(n.promotionLock.IntendedTerm("elsewhere"), ShouldBeZeroValue)
		}
		So(tc.store.CallCount("PUT laburnumrack-duty")-writes, ShouldBeLessThan, 3)
		c := tc.connect(tc.nodes[1], dbCurrent)
		So(c.Query("WRITE k v").OK(), ShouldBeTrue)
	})
}

// Guards against an entry that stops the list of targets: changes after it did not arrive.
func TestDeeplyNestedEntry(t *testing.T) {
	Convey("A primary is replaced while an entry is nested too deeply to be decoded", t, func() {
		tc := newTestCluster(t, "north", "south", "west")
		tc.store.PutRaw("servers", "odd", strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000))
		c := tc.connect(tc.nodes[1], dbCurrent)
		So(c.Query("WRITE k v").OK(), ShouldBeTrue)
		restarted := tc.nodes[0]
		tc.kill(restarted)
		tc.nodes[0] = tc.restart(restarted)
		tc.eventually(8*time.Second, "a daemon that starts beside the entry is ready", tc.nodes[0].Ready)
		tc.group.Drain(0)
		writeInNewTerm(tc, c, "after", 1)
		So(c.Query("READ k").Rows, ShouldResemble, []string{"v"})
	})
}
