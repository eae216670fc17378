package home

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/standin/link"
	"github.com/laburnumrack/laburnumrack/internal/target"
	. "github.com/smartystreets/goconvey/convey"
)

// partitionedHome is a home that reaches each instance over a simulated network line of
// its own.
type partitionedHome struct {
	*Home
	lines []*link.Line
}

// setFrozen freezes or thaws the lines to some instances.
func (h partitionedHome) setFrozen(frozen bool, instances ...int) {
	for _, i := range instances {
		h.lines[i].SetShape(func(s *link.Shape) { s.Frozen = frozen })
	}
}

// addPartitionedHome adds a home in the failure domain of instance i.
func (tc *testCluster) addPartitionedHome(i int) partitionedHome {
	tc.Helper()
	var h partitionedHome
	service := tc.source.Current().Services[testService]
	db := service.Value.Databases[0]
	db.Targets = append([]configuration.Target(nil), db.Targets...)
	for n := range db.Targets {
		line := link.NewLine(fmt.Sprintf("%d-%d", i, n), link.Shape{})
		relay, err := link.StartRelay("tcp", "127.0.0.1:0", db.Targets[n].Address.String(), link.FixedRoute(line))
		if err != nil {
			tc.Fatal(err)
		}
		tc.Cleanup(relay.Close)
		db.Targets[n].Address = relay.Address()
		h.lines = append(h.lines, line)
	}
	service.Value.Databases = []configuration.Database{db}
	snapshot := configuration.Empty()
	snapshot.Revision = 1
	snapshot.Services[testService] = service
	h.Home = tc.addHome(i, func(c *Config) {
		c.Source = configuration.Static{Snapshot: snapshot}
		c.Timings.ConfirmTimeout = 300 * time.Millisecond
		c.Timings.SettleTimeout = 300 * time.Millisecond
		c.Timings.CancelGrace = 100 * time.Millisecond
	})
	return h
}

// TestPartition guards against a split brain. A home and the primary are partitioned off
// together while the other side promotes a replica.
func TestPartition(t *testing.T) {
	Convey("A primary that is partitioned off together with a home and its callers acknowledges nothing", t, func() {
		tc := newTestCluster(t, 1)
		So(tc.homes[0].Shutdown(context.Background()), ShouldBeNil)
		inside, outside := tc.addPartitionedHome(0), tc.addPartitionedHome(1)
		before := tc.doUntilDone(inside.Home, tc.write(insertOne).withID("order-1"))
		So(before.Outcome.OK(), ShouldBeTrue)
		So(tc.doUntilDone(outside.Home, tc.write("SELECT 1")).Outcome.OK(), ShouldBeTrue)
		tc.waitForReplication(before)

		inside.setFrozen(true, 1, 2)
		outside.setFrozen(true, 0)
		tc.group.Instances[0].PauseReplication(true)
		withDeadline := func(r request) request {
			r.header.Remaining = 250 * time.Millisecond
			return r
		}
		order := withDeadline(tc.write("INSERT INTO bins (id, state) VALUES (2, 'on')").withID("order-2"))
		So(tc.doAt(inside.Home, order).Outcome.OK(), ShouldBeFalse)
		after := tc.doUntilDone(outside.Home, tc.write("INSERT INTO bins (id, state) VALUES (3, 'on')").withID("order-3"))
		So(after.Outcome.OK(), ShouldBeTrue)
		So(after.Position.Term, ShouldBeGreaterThan, before.Position.Term)
		for n := range 3 {
			So(tc.doAt(inside.Home, withDeadline(tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 100+n)))).Outcome.OK(), ShouldBeFalse)
			current := withDeadline(tc.readAnywhere("SELECT id FROM bins"))
			current.header.Seen = after.Position
			r := tc.doAt(inside.Home, current)
			So(r.Outcome.OK(), ShouldBeFalse)
			So(r.types(), ShouldNotContainSubstring, "C")
		}

		inside.setFrozen(false, 1, 2)
		outside.setFrozen(false, 0)
		tc.group.Instances[0].PauseReplication(false)
		tc.waitForStatus(tc.group.Instances[0], func(s target.Status) bool { return !s.Primary && s.Joined >= after.Position.Term })
		order.header.Remaining = 0
		So(tc.doUntilDone(inside.Home, order).Outcome.OK(), ShouldBeTrue)
		So(tc.doUntilDone(outside.Home, order).Repeated, ShouldBeTrue)
		So(tc.countRows(inside.Home, "id < 100"), ShouldEqual, "3")
		So(tc.countRows(inside.Home, "id >= 100"), ShouldEqual, "0")
	})
}
