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

// TestDeadlines ends each wait of the home by the request's deadline. Every other
// limit is set so far off that the test would not end without it.
func TestDeadlines(t *testing.T) {
	const farOff = time.Hour
	patient := func(share Share) func(*Config) {
		return func(c *Config) {
			c.Timings.ConfirmTimeout, c.Timings.FailoverTimeout, c.Timings.SettleTimeout = farOff, farOff, farOff
			c.Timings.IdleTransactionTimeout = farOff
			c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share { return share }
		}
	}
	limited := func(b *bench) request {
		r := b.write(insertOne)
		r.header.Remaining = 100 * time.Millisecond
		return r
	}
	begin := func(b *bench) wireunit.Unit {
		u, _ := b.homes[0].Open(context.Background(), b.write("").header)
		So(u.Exchange(context.Background(), mustQuery(b, "BEGIN"), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		return u
	}
	Convey("The deadline ends the wait for a slot", t, func() {
		b := newBench(t, 1, patient(Share{Slots: 1, Connections: 3}))
		defer begin(b).Close()
		a := b.do(limited(b))
		So(a.Outcome.Kind, ShouldEqual, outcome.Refused)
		So(a.Outcome.Reason, ShouldBeIn, outcome.TooLate, outcome.DeadlinePassed)
	})
	Convey("The deadline ends the wait for a connection", t, func() {
		b := newBench(t, 1, patient(Share{Slots: 1, Connections: 2}))
		d, _ := b.homes[0].databases.Load(databaseKey{testService, testDatabase})
		p := d.members.Load().byName["t1"].pool
		c, err := p.get(context.Background())
		So(err, ShouldBeNil)
		defer p.put(c)
		So(b.do(limited(b)).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
	})
	Convey("The deadline ends the wait for a confirmation", t, func() {
		b := newBench(t, 1, patient(Share{Slots: 1, Connections: 3}))
		b.group.Instances[1].PauseReplication(true)
		b.group.Instances[2].PauseReplication(true)
		So(b.do(limited(b)).Outcome.Reason, ShouldEqual, outcome.ConfirmTimeout)
	})
	Convey("The deadline ends the wait for a hand-over", t, func() {
		b := newBench(t, 1, patient(Share{Slots: 1, Connections: 3}))
		d, _ := b.homes[0].databases.Load(databaseKey{testService, testDatabase})
		So((&promotion{database: d, ctx: context.Background()}).stopWrites(), ShouldBeNil)
		So(b.do(limited(b)).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
	})
	Convey("The deadline ends the wait for a primary, and for the answer of one", t, func() {
		b := newBench(t, 1, patient(Share{Slots: 1, Connections: 3}))
		for _, in := range b.group.Instances {
			in.Freeze()
		}
		So(b.do(limited(b)).Outcome.OK(), ShouldBeFalse)
		b.addHome(1, patient(Share{Slots: 1, Connections: 3}))
		So(b.doAt(b.homes[1], limited(b)).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
		read := limited(b)
		read.header.ReadOnly = true
		So(b.doAt(b.homes[1], read).Outcome.Reason, ShouldEqual, outcome.DeadlinePassed)
	})
	Convey("The deadline ends a settlement", t, func() {
		b, d := newTamperedBench(t, patient(Share{Slots: 1, Connections: 3}))
		d.next(holding("commit"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			b.group.Instances[0].Freeze()
			return cutBeforeEffect(c, ctx, x, sink)
		})
		So(b.do(limited(b).id("order-1")).Outcome.Reason, ShouldEqual, outcome.RequestUnsettled)
	})
}
