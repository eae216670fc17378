package home

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	. "github.com/smartystreets/goconvey/convey"
)

// TestHomeServes checks the units of work of a home in front of a healthy group.
func TestHomeServes(t *testing.T) {
	Convey("A home in front of a healthy group", t, func() {
		tc := newTestCluster(t, 1)

		Convey("confirms a write and returns its position", func() {
			a := tc.do(tc.write("INSERT INTO bins (id, state) VALUES (1, 'on')"))
			So(a.Outcome.OK(), ShouldBeTrue)
			So(a.types(), ShouldEqual, "C")
			So(a.Position.Term, ShouldEqual, 1)
			So(a.Origin.Target, ShouldEqual, "t1")

			Convey("and reads it on a replica that has applied it", func() {
				tc.waitForReplication(a)
				read := tc.readAnywhere("SELECT state FROM bins WHERE id = 1")
				read.header.Seen = a.Position
				r := tc.do(read)
				So(r.Outcome.OK(), ShouldBeTrue)
				So(r.values(), ShouldResemble, []string{"on"})
				So(r.Position.Covers(a.Position), ShouldBeTrue)
			})
		})

		Convey("passes on an error of the target unchanged", func() {
			a := tc.do(tc.write("SELECT nonsense FROM nowhere"))
			So(a.Outcome.OK(), ShouldBeTrue)
			So(a.types(), ShouldEqual, "E")
		})

		Convey("runs a request with an id once", func() {
			r := tc.write("INSERT INTO bins (id, state) VALUES (2, 'on')").withID("order-1")
			first := tc.do(r)
			So(first.Outcome.OK(), ShouldBeTrue)
			So(first.Repeated, ShouldBeFalse)
			second := tc.do(r)
			So(second.Outcome.OK(), ShouldBeTrue)
			So(second.Repeated, ShouldBeTrue)
			So(second.Tag, ShouldEqual, "INSERT 0 1")
			So(second.messages, ShouldBeEmpty)
			So(tc.countRows(tc.homes[0], "id = 2"), ShouldEqual, "1")
		})

		Convey("sends a deferred BEGIN with the first statement of the transaction, in either protocol", func() {
			for n, begin := range []string{"BEGIN", "BEGIN", "BEGIN )", "BEGIN )"} {
				u, o := tc.homes[0].Open(context.Background(), tc.write("").header)
				So(o.OK(), ShouldBeTrue)
				opening := mustQuery(t, begin)
				opening.Auxiliary = true
				So(u.Exchange(context.Background(), opening, io.Discard).Status, ShouldEqual, wireunit.TxOpen)
				So(tc.homes[0].Snapshot().Databases[0].Targets[0].Running, ShouldEqual, 0)
				insert := tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 100+n))
				insert.extended = n%2 == 1
				var sink bytes.Buffer
				r := u.Exchange(context.Background(), insert.batch(t), &sink)
				So(r.Outcome.OK(), ShouldBeTrue)
				if n < 2 {
					So(r.Status, ShouldEqual, wireunit.TxOpen)
					r = u.Exchange(context.Background(), mustQuery(t, "COMMIT"), io.Discard)
					So(r.Outcome.OK(), ShouldBeTrue)
				} else {
					So(response{messages: sink.Bytes()}.types(), ShouldEqual, "E")
				}
				So(r.Status, ShouldEqual, wireunit.TxIdle)
				u.Close()
			}
			So(tc.countRows(tc.homes[0], "id >= 100"), ShouldEqual, "2")
		})

		Convey("runs a transaction that begins with a read on the primary, because it may write", func() {
			for n := range 20 {
				u, _ := tc.homes[0].Open(context.Background(), tc.readAnywhere("").writableHeader())
				for i, sql := range []string{"BEGIN", "SELECT id FROM bins", fmt.Sprintf("INSERT INTO bins (id) VALUES (%d)", 200+n), "COMMIT"} {
					batch := mustQuery(t, sql)
					batch.Auxiliary, batch.ReadOnly = i == 0, i == 1
					var sink bytes.Buffer
					r := u.Exchange(context.Background(), batch, &sink)
					So(r.Outcome.OK(), ShouldBeTrue)
					So(response{messages: sink.Bytes()}.types(), ShouldNotContainSubstring, "E")
				}
				u.Close()
			}
		})

		Convey("refuses a database that is not declared", func() {
			r := tc.write("SELECT 1")
			r.header.Database = "nowhere"
			So(tc.do(r).Outcome.Reason, ShouldEqual, outcome.UnknownService)
		})
	})
}
