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

// linked is a home that reaches each instance over a line of its own.
type linked struct {
	*Home
	lines []*link.Line
}

// cut freezes or thaws the lines to some instances.
func (l linked) cut(frozen bool, instances ...int) {
	for _, i := range instances {
		l.lines[i].SetShape(func(s *link.Shape) { s.Frozen = frozen })
	}
}

// addLinked adds a home of the failure domain of instance i.
func (b *bench) addLinked(i int) linked {
	b.Helper()
	var l linked
	service := b.source.Current().Services[testService]
	db := service.Value.Databases[0]
	db.Targets = append([]configuration.Target(nil), db.Targets...)
	for n := range db.Targets {
		line := link.NewLine(fmt.Sprintf("%d-%d", i, n), link.Shape{})
		relay, err := link.StartRelay("tcp", "127.0.0.1:0", db.Targets[n].Address.String(), link.Always(line))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(relay.Close)
		db.Targets[n].Address = relay.Address()
		l.lines = append(l.lines, line)
	}
	service.Value.Databases = []configuration.Database{db}
	snapshot := configuration.Empty()
	snapshot.Revision = 1
	snapshot.Services[testService] = service
	l.Home = b.addHome(i, func(c *Config) {
		c.Source = configuration.Static{Snapshot: snapshot}
		c.Timings.ConfirmTimeout = 300 * time.Millisecond
		c.Timings.SettleTimeout = 300 * time.Millisecond
		c.Timings.CancelGrace = 100 * time.Millisecond
	})
	return l
}

func TestPartition(t *testing.T) {
	Convey("A primary that is cut off with a home and its callers acknowledges nothing", t, func() {
		b := newBench(t, 1)
		So(b.homes[0].Shutdown(context.Background()), ShouldBeNil)
		inside, outside := b.addLinked(0), b.addLinked(1)
		before := b.until(inside.Home, b.write(insertOne).id("order-1"))
		So(before.Outcome.OK(), ShouldBeTrue)
		So(b.until(outside.Home, b.write("SELECT 1")).Outcome.OK(), ShouldBeTrue)
		b.replicated(before)

		inside.cut(true, 1, 2)
		outside.cut(true, 0)
		b.group.Instances[0].PauseReplication(true)
		limited := func(r request) request {
			r.header.Remaining = 250 * time.Millisecond
			return r
		}
		order := limited(b.write("INSERT INTO bins (id, state) VALUES (2, 'on')").id("order-2"))
		So(b.doAt(inside.Home, order).Outcome.OK(), ShouldBeFalse)
		after := b.until(outside.Home, b.write("INSERT INTO bins (id, state) VALUES (3, 'on')").id("order-3"))
		So(after.Outcome.OK(), ShouldBeTrue)
		So(after.Position.Term, ShouldBeGreaterThan, before.Position.Term)
		for n := range 3 {
			So(b.doAt(inside.Home, limited(b.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 100+n)))).Outcome.OK(), ShouldBeFalse)
			current := limited(b.readAnywhere("SELECT id FROM bins"))
			current.header.Seen = after.Position
			r := b.doAt(inside.Home, current)
			So(r.Outcome.OK(), ShouldBeFalse)
			So(r.types(), ShouldNotContainSubstring, "C")
		}

		inside.cut(false, 1, 2)
		outside.cut(false, 0)
		b.group.Instances[0].PauseReplication(false)
		b.wait(b.group.Instances[0], func(s target.Status) bool { return !s.Primary && s.Joined >= after.Position.Term })
		order.header.Remaining = 0
		So(b.until(inside.Home, order).Outcome.OK(), ShouldBeTrue)
		So(b.until(outside.Home, order).Repeated, ShouldBeTrue)
		So(b.count(inside.Home, "id < 100"), ShouldEqual, "3")
		So(b.count(inside.Home, "id >= 100"), ShouldEqual, "0")
	})
}
