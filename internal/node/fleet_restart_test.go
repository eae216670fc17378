package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/platform"
)

// Guards against the restart of a fleet in which every daemon lists all targets and the
// configuration from the store. On 96 VMs with 250 groups, these answers of 0.5 MB filled
// the link between the regions for so long that none arrived in time, and all were asked
// for again: the fleet never came back.
func TestFleetRestart(t *testing.T) {
	Convey("When all daemons restart at once, a few of each failure domain get the large lists from the store", t, func() {
		tc := newTestCluster(t)
		tc.firstStart = true
		const perZone = 2 * directListVMs
		var nodes []*Node
		for i := range perZone * len(testZones) {
			nodes = append(nodes, tc.start(fmt.Sprintf("vm-%d", i), testZones[i%len(testZones)]))
		}
		for _, n := range nodes {
			tc.eventually(10*time.Second, "the daemons know each other", func() bool { return len(n.members.Registered()) == len(nodes) })
		}
		for _, n := range nodes {
			tc.kill(n)
		}
		// The store answers as late as over a link that large answers fill.
		for _, kind := range []string{string(platform.KindConfiguration), string(platform.KindTargets)} {
			tc.store.SetDelay(kind, 300*time.Millisecond)
		}
		lists := func() int { return tc.store.ListCount("config") + tc.store.ListCount("servers") }
		before := lists()
		tc.firstStart = false
		started := time.Now()
		var restarted []*Node
		for i := range nodes {
			restarted = append(restarted, tc.restart(nodes[i]))
		}
		for _, n := range restarted {
			tc.eventually(5*time.Second, "the daemons are ready", n.Ready)
		}
		t.Logf("ready after %s", time.Since(started))
		// The relay lists each kind, and so may one daemon that takes itself for the relay
		// for a moment.
		const listsPerDomain = 4
		So(lists()-before, ShouldBeLessThanOrEqualTo, listsPerDomain*len(testZones))
	})
}
