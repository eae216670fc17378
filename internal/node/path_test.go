package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

func TestWholePath(t *testing.T) {
	tc := newTestCluster(t, "north", "south", "west", "north")

	Convey("Every daemon serves every kind of statement", t, func() {
		for i, n := range tc.nodes {
			for _, database := range []string{dbCurrent, dbBounded, dbSession} {
				c := tc.connect(n, database)
				So(c.Refused, ShouldBeEmpty)
				data := fmt.Sprintf("%s-%d", database, i)
				So(c.Query("WRITE "+data+" "+data).OK(), ShouldBeTrue)
				if database != dbBounded {
					So(c.Query("READ "+data).Rows, ShouldResemble, []string{data})
				} else {
					So(c.Query("READ "+data).OK(), ShouldBeTrue)
				}
				So(c.Query("BEGIN").State, ShouldEqual, "T")
				So(c.Query("WRITE tx"+data+" a b c").OK(), ShouldBeTrue)
				So(c.Query("READ "+data).OK(), ShouldBeTrue)
				end := c.Query("COMMIT")
				So(end.OK(), ShouldBeTrue)
				So(end.State, ShouldEqual, "I")
				if database != dbBounded {
					So(c.Query("READ tx"+data).Rows, ShouldResemble, []string{"a b c"})
				}
				So(c.Query("BEGIN READ").State, ShouldEqual, "T")
				So(c.Query("READ "+data).OK(), ShouldBeTrue)
				So(c.Query("COMMIT").OK(), ShouldBeTrue)
			}
		}
	})
	Convey("A rolled back transaction has no effect", t, func() {
		c := tc.connect(tc.nodes[0], dbSession)
		c.Query("BEGIN")
		So(c.Query("WRITE gone x").OK(), ShouldBeTrue)
		So(c.Query("ROLLBACK").State, ShouldEqual, "I")
		So(c.Query("READ gone").Rows, ShouldResemble, []string{"none"})
	})
	Convey("Sessions do not share values or prepared statements", t, func() {
		a, b := tc.connect(tc.nodes[0], dbCurrent), tc.connect(tc.nodes[0], dbCurrent)
		a.Query("SET lang hr")
		a.Query("SET only a")
		b.Query("SET lang en")
		a.Query("PREPARE s READ q1")
		b.Query("PREPARE s WRITE q2")
		for range 3 {
			ra, rb := a.Query("EXEC s item"), b.Query("EXEC s item new value")
			So(ra.OK(), ShouldBeTrue)
			So(rb.OK(), ShouldBeTrue)
			So(tc.group.SessionValues(ra.ID), ShouldResemble, map[string]string{"lang": "hr", "only": "a"})
			So(tc.group.SessionValues(rb.ID), ShouldResemble, map[string]string{"lang": "en"})
		}
		a.Query("FORGET s")
		So(a.Query("EXEC s item").Code(), ShouldEqual, "NOSTMT")
	})
	Convey("Unknown databases and statements are refused with a code", t, func() {
		So(tc.connect(tc.nodes[0], "nobody").Refused, ShouldStartWith, "ERR NODB")
		c := tc.connect(tc.nodes[0], dbCurrent)
		So(c.Query("EXPLODE now").Code(), ShouldEqual, "BAD")
		So(c.Query("COMMIT").Code(), ShouldEqual, "ABORTED")
		So(c.Query("READ still-open").OK(), ShouldBeTrue)
	})
	Convey("A removed route is refused from the next transaction on", t, func() {
		c := tc.connect(tc.nodes[1], dbSession)
		c.Query("BEGIN")
		So(c.Query("READ a").OK(), ShouldBeTrue)
		tc.configure(dbCurrent, dbBounded)
		tc.eventually(4*time.Second, "every daemon refuses the dropped route", func() bool {
			for _, n := range tc.nodes {
				if n.configuration.Version() != uint64(tc.version) {
					return false
				}
			}
			return true
		})
		So(c.Query("READ a").OK(), ShouldBeTrue)
		So(c.Query("COMMIT").OK(), ShouldBeTrue)
		So(c.Query("READ a").Code(), ShouldEqual, "NODB")
	})
	Convey("No target had more connections than its limit", t, func() {
		So(tc.group.PeakConnections(), ShouldBeLessThanOrEqualTo, 21)
	})
}

func TestLostAnswers(t *testing.T) {
	tc := newTestCluster(t, "north")
	Convey("A write whose answer is lost is reported as unsure and ran once", t, func() {
		c := tc.connect(tc.nodes[0], dbCurrent)
		So(c.Query("WRITE a 1").OK(), ShouldBeTrue)
		tc.group.LoseAnswers(0, 1)
		r := c.Query("WRITE a 2")
		So(r.Code(), ShouldEqual, "UNSURE")
		So(r.State, ShouldEqual, "I")
		So(tc.group.RunCount(r.ID), ShouldEqual, 1)
	})
	Convey("A read whose answer is lost is run again and answered", t, func() {
		c := tc.connect(tc.nodes[0], dbCurrent)
		tc.group.LoseAnswers(0, 1)
		r := c.Query("READ a")
		So(r.OK(), ShouldBeTrue)
		So(tc.group.RunCount(r.ID), ShouldEqual, 2)
	})
	Convey("A transaction that loses an answer before its commit is aborted", t, func() {
		c := tc.connect(tc.nodes[0], dbCurrent)
		c.Query("BEGIN")
		So(c.Query("WRITE b 1").OK(), ShouldBeTrue)
		tc.group.LoseAnswers(0, 1)
		r := c.Query("WRITE b 2")
		So(r.Code(), ShouldEqual, "ABORTED")
		So(r.State, ShouldEqual, "E")
		So(c.Query("READ b").Code(), ShouldEqual, "BAD")
		So(c.Query("ROLLBACK").State, ShouldEqual, "I")
		So(c.Query("READ b").Rows, ShouldResemble, []string{"none"})
	})
	Convey("A commit whose answer is lost is reported as unsure", t, func() {
		c := tc.connect(tc.nodes[0], dbCurrent)
		c.Query("BEGIN")
		So(c.Query("WRITE d 1").OK(), ShouldBeTrue)
		tc.group.LoseAnswers(0, 1)
		So(c.Query("COMMIT").Code(), ShouldEqual, "UNSURE")
	})
}

func TestLaggingReplicas(t *testing.T) {
	tc := newTestCluster(t, "south")
	tc.group.SetLag(1, 400*time.Millisecond)
	tc.group.SetLag(2, 400*time.Millisecond)
	Convey("A session reads its own writes at once, from any target", t, func() {
		c := tc.connect(tc.nodes[0], dbSession)
		for i := range 10 {
			data := fmt.Sprint(i)
			So(c.Query("WRITE mine "+data).OK(), ShouldBeTrue)
			So(c.Query("READ mine").Rows, ShouldResemble, []string{data})
		}
	})
	Convey("A bounded read may be stale, but not beyond its bound", t, func() {
		writer, reader := tc.connect(tc.nodes[0], dbCurrent), tc.connect(tc.nodes[0], dbBounded)
		So(writer.Query("WRITE shared new").OK(), ShouldBeTrue)
		written := time.Now()
		onReplica := 0
		for time.Since(written) < 2*time.Second {
			r := reader.Query("READ shared")
			if time.Since(written) > 1050*time.Millisecond {
				So(r.Rows, ShouldResemble, []string{"new"})
			}
			if tc.group.RanOn(r.ID) != 0 {
				onReplica++
			}
			time.Sleep(20 * time.Millisecond)
		}
		So(onReplica, ShouldBeGreaterThan, 10)
	})
	Convey("A replica that is too far behind is not read", t, func() {
		tc.group.SetLag(1, time.Minute)
		tc.group.SetLag(2, time.Minute)
		writer, reader := tc.connect(tc.nodes[0], dbCurrent), tc.connect(tc.nodes[0], dbBounded)
		So(writer.Query("WRITE far new").OK(), ShouldBeTrue)
		time.Sleep(1050 * time.Millisecond)
		So(reader.Query("READ far").Rows, ShouldResemble, []string{"new"})
	})
}

func TestStoreOutage(t *testing.T) {
	tc := newTestCluster(t, "north", "west")
	Convey("Reads and writes are served while the store does not answer, confirmed by the replicas", t, func() {
		c := tc.connect(tc.nodes[0], dbCurrent)
		So(c.Query("WRITE a 0").OK(), ShouldBeTrue)
		for _, fault := range []site.Fault{site.Unresponsive, site.Unavailable} {
			tc.store.SetFault(fault)
			time.Sleep(1100 * time.Millisecond) // longer than the TTL of a lease
			for i := range 5 {
				So(c.Query(fmt.Sprintf("WRITE a %d", i)).OK(), ShouldBeTrue)
				So(c.Query("READ a").Rows, ShouldResemble, []string{fmt.Sprint(i)})
			}
			tc.store.SetFault(site.Healthy)
		}
	})
	Convey("A configuration written after an outage that lost the history of changes is in force in time", t, func() {
		tc.store.DiscardHistory()
		tc.configure(dbCurrent)
		tc.eventually(4*time.Second, "the version is in force everywhere", func() bool {
			return tc.nodes[0].configuration.Version() == uint64(tc.version) && tc.nodes[1].configuration.Version() == uint64(tc.version)
		})
	})
}

// TestWriteWithoutAnswer shows what a caller that leaves before the answer has to expect: its
// write may still run, also after a later one of the same caller. No answer promises nothing.
func TestWriteWithoutAnswer(t *testing.T) {
	Convey("A write whose caller left while it was queued runs after a later write at another daemon", t, func() {
		tc := newTestCluster(t, "north", "south")
		tc.group.StatementTime = 300 * time.Millisecond
		busy, other := tc.nodes[0], tc.nodes[1]
		So(tc.connect(busy, dbCurrent).Query("WRITE k 0").OK(), ShouldBeTrue)
		// As many statements as the home runs on the primary at once.
		const running = 4
		var fillers sync.WaitGroup
		for i := range running {
			c := tc.connect(busy, dbCurrent)
			fillers.Go(func() { c.Query(fmt.Sprintf("WRITE filler%d v", i)) })
		}
		time.Sleep(100 * time.Millisecond)
		leaving := tc.connect(busy, dbCurrent)
		go leaving.Query("WRITE k 1")
		time.Sleep(50 * time.Millisecond)
		leaving.Close()
		So(tc.connect(other, dbCurrent).Query("WRITE k 2").OK(), ShouldBeTrue)
		fillers.Wait()
		tc.eventually(3*time.Second, "both writes are committed", func() bool { return len(tc.group.Committed("k")) == 3 })
		So(tc.group.Committed("k"), ShouldResemble, []string{"0", "2", "1"})
	})
}
