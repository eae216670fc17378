package home

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	. "github.com/smartystreets/goconvey/convey"
)

// TestDeadlines checks that the deadline of a request ends each wait of a home. All other
// timeouts are an hour, so a wait that ignores the deadline would hang the test.
func TestDeadlines(t *testing.T) {
	const longTimeout = time.Hour
	withLongTimeouts := func(share Share) func(*Config) {
		return func(c *Config) {
			c.Timings.ConfirmTimeout, c.Timings.FailoverTimeout, c.Timings.SettleTimeout = longTimeout, longTimeout, longTimeout
			c.Timings.IdleTransactionTimeout = longTimeout
			c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share { return share }
		}
	}
	limitedWrite := func(tc *testCluster) request {
		r := tc.write(insertOne)
		r.header.Remaining = 100 * time.Millisecond
		return r
	}
	beginTransaction := func(tc *testCluster) wireunit.Unit {
		u, _ := tc.homes[0].Open(context.Background(), tc.write("").header)
		So(u.Exchange(context.Background(), mustQuery(tc, "BEGIN"), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		return u
	}
	Convey("The deadline ends the wait for a slot", t, func() {
		tc := newTestCluster(t, 1, withLongTimeouts(Share{Slots: 1, Connections: 3}))
		defer beginTransaction(tc).Close()
		a := tc.do(limitedWrite(tc))
		So(a.Outcome.Kind, ShouldEqual, outcome.Refused)
		So(a.Outcome.Reason, ShouldBeIn, outcome.TooLate, outcome.DeadlinePassed)
	})
	Convey("The deadline ends the wait for a connection", t, func() {
		tc := newTestCluster(t, 1, withLongTimeouts(Share{Slots: 1, Connections: 2}))
		d, _ := tc.homes[0].databases.Load(databaseKey{testService, testDatabase})
		p := d.members.Load().byName["t1"].pool
		c, err := p.get(context.Background())
		So(err, ShouldBeNil)
		defer p.put(c)
		So(tc.do(limitedWrite(tc)).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
	})
	Convey("The deadline ends the wait for a confirmation", t, func() {
		tc := newTestCluster(t, 1, withLongTimeouts(Share{Slots: 1, Connections: 3}))
		tc.group.Instances[1].PauseReplication(true)
		tc.group.Instances[2].PauseReplication(true)
		So(tc.do(limitedWrite(tc)).Outcome.Reason, ShouldEqual, outcome.ConfirmTimeout)
	})
	Convey("The deadline ends the wait for a hand-over", t, func() {
		tc := newTestCluster(t, 1, withLongTimeouts(Share{Slots: 1, Connections: 3}))
		d, _ := tc.homes[0].databases.Load(databaseKey{testService, testDatabase})
		So((&promotion{database: d, ctx: context.Background()}).stopWrites(), ShouldBeNil)
		So(tc.do(limitedWrite(tc)).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
	})
	Convey("The deadline ends the wait for a primary and for its answer", t, func() {
		tc := newTestCluster(t, 1, withLongTimeouts(Share{Slots: 1, Connections: 3}))
		for _, in := range tc.group.Instances {
			in.Freeze()
		}
		So(tc.do(limitedWrite(tc)).Outcome.OK(), ShouldBeFalse)
		tc.addHome(1, withLongTimeouts(Share{Slots: 1, Connections: 3}))
		So(tc.doAt(tc.homes[1], limitedWrite(tc)).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
		read := limitedWrite(tc)
		read.header.ReadOnly = true
		So(tc.doAt(tc.homes[1], read).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
	})
	Convey("The deadline ends a settlement", t, func() {
		tc, d := newFaultyCluster(t, withLongTimeouts(Share{Slots: 1, Connections: 3}))
		d.injectFault(sqlContains("commit"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			tc.group.Instances[0].Freeze()
			return loseBeforeExecution(c, ctx, x, sink)
		})
		So(tc.do(limitedWrite(tc).withID("order-1")).Outcome.Reason, ShouldEqual, outcome.RequestUnsettled)
	})
}
