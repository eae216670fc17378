package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Guards against limits in the settings that don't reach the other daemons, so that a VM with a
// small link is relay, and against a registration that keeps the capacity from before a restart.
func TestRelayHasLargeLink(t *testing.T) {
	Convey("Daemons follow the VM with the largest link, also after it was restarted with that link", t, func() {
		tc := newTestCluster(t)
		followed := func(relay string) func() bool {
			return func() bool {
				for _, n := range tc.nodes {
					followed := n.settings.Name
					if c := n.members.Relay(); c != nil {
						followed = c.Name()
					}
					if followed != relay {
						return false
					}
				}
				return true
			}
		}
		links := map[string]float64{"vm-0": 10, "vm-1": 10, "vm-2": 50, "vm-3": 10}
		for _, name := range []string{"vm-0", "vm-1", "vm-2", "vm-3"} {
			tc.capacity = store.Capacity{Processor: 0.5, Link: links[name]}
			tc.nodes = append(tc.nodes, tc.start(name, "north"))
		}
		tc.eventually(10*time.Second, "vm-2 is relay", followed("vm-2"))
		for i, next := range []string{"vm-0", "vm-1"} {
			tc.kill(tc.nodes[i])
			tc.capacity.Link = []float64{150, 600}[i]
			tc.nodes[i] = tc.restart(tc.nodes[i])
			tc.eventually(15*time.Second, next+" is relay", followed(next))
		}
	})
}

// Guards against a founder with a slow link: the founder of a failure domain of 50 VMs sent
// 0.2 MB to each over 10 Mbit/s, and its followers took it for lost.
func TestFounderDelay(t *testing.T) {
	Convey("A VM with a slow link lets others become founder, one with a fast link or an unknown one does not wait", t, func() {
		So(founderDelay(10), ShouldEqual, slowFounderDelay)
		So(founderDelay(200), ShouldEqual, 0)
		So(founderDelay(0), ShouldEqual, 0)
	})
}
