package node

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/platform"
)

// fillConnections opens connections to a target until it refuses further ones.
func fillConnections(tc *testCluster, target int) {
	spec := tc.group.ServerSpec(target)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		c, err := platform.TargetDialer{}.Dial(ctx, spec["addr"].(string), "grp", "", tc.group.Targets[target].ID)
		cancel()
		if err != nil {
			return
		}
		tc.t.Cleanup(func() { _ = c.Close() })
	}
}

func TestReadsWithoutConnectionToPrimary(t *testing.T) {
	Convey("A home that gets no connection to the primary serves reads from replicas", t, func() {
		tc := newTestCluster(t, "north")
		north := tc.connect(tc.nodes[0], dbSession)
		So(north.Query("WRITE k v").OK(), ShouldBeTrue)
		fillConnections(tc, 0)
		south := tc.start("vm-south", "south")
		tc.eventually(5*time.Second, "the daemon is ready", south.Ready)
		reader := tc.connect(south, dbBounded)
		tc.eventually(3*time.Second, "a read is served", func() bool {
			So(north.Query("READ k").OK(), ShouldBeTrue)
			return reader.Query("READ k").OK()
		})
		group := south.registry.Group("grp")
		So(group.Leader(), ShouldBeNil)
		_, known := group.PositionHistory.Newest()
		So(known, ShouldBeTrue)
		running := func(t *backend.Target) bool { return !t.State(0).Applied.IsZero() }
		So(running(group.FindTarget(tc.group.Targets[1].ID)) || running(group.FindTarget(tc.group.Targets[2].ID)), ShouldBeTrue)
	})
}
