package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// writeUntil writes until a write succeeds in a term above the given one.
func writeUntil(w *world, c *caller, item string, above uint64) time.Duration {
	began := time.Now()
	w.eventually(8*time.Second, "a write succeeds in a new term", func() bool {
		r := c.Do("WRITE " + item + " after")
		_, term := w.group.Primary()
		return r.OK() && term > above
	})
	return time.Since(began)
}

// oneHolder checks that promote calls never take turns within three seconds and
// never carry a lower token than an earlier one.
func oneHolder(w *world) {
	calls := w.cloud.Calls()
	for i := 1; i < len(calls); i++ {
		So(calls[i].Token, ShouldBeGreaterThanOrEqualTo, calls[i-1].Token)
		if calls[i].Holder != calls[i-1].Holder {
			So(calls[i].Token, ShouldBeGreaterThan, calls[i-1].Token)
			So(calls[i].At.Sub(calls[i-1].At), ShouldBeGreaterThan, 3*time.Second)
		}
	}
}

func TestPrimaryCrash(t *testing.T) {
	Convey("A crashed primary is replaced, by one holder, and acknowledged writes are there", t, func() {
		w := newWorld(t, "north", "south", "west")
		callers := []*caller{w.connect(w.nodes[0], dbSession), w.connect(w.nodes[1], dbSession), w.connect(w.nodes[2], dbCurrent)}
		for i, c := range callers {
			So(c.Do(fmt.Sprintf("WRITE before%d kept", i)).OK(), ShouldBeTrue)
		}
		time.Sleep(50 * time.Millisecond) // replication
		w.group.Crash(0)
		for i, c := range callers {
			took := writeUntil(w, c, fmt.Sprintf("after%d", i), 1)
			So(took, ShouldBeLessThan, 6*time.Second)
			So(c.Do(fmt.Sprintf("READ before%d", i)).Rows, ShouldResemble, []string{"kept"})
		}
		oneHolder(w)
	})
}

func TestPlannedReplacement(t *testing.T) {
	Convey("A draining primary hands over without losing a write", t, func() {
		w := newWorld(t, "north", "west")
		c := w.connect(w.nodes[1], dbCurrent)
		for i := range 20 {
			So(c.Do(fmt.Sprintf("WRITE k%d v", i)).OK(), ShouldBeTrue)
		}
		w.group.Drain(0)
		writeUntil(w, c, "after", 1)
		for i := range 20 {
			So(c.Do(fmt.Sprintf("READ k%d", i)).Rows, ShouldResemble, []string{"v"})
		}
		primary, _ := w.group.Primary()
		So(primary, ShouldNotEqual, 0)
		w.eventually(4*time.Second, "nothing runs on the draining target", func() bool {
			return w.group.RanOn(c.Do("READ k1").ID) != 0
		})
		oneHolder(w)
	})
}

// Seen on the users' bench: a request at a draining primary 8.4 s after it had said that
// it leaves, by a daemon that had not used the group since before the handover.
func TestIdleHandover(t *testing.T) {
	Convey("After a handover that no request saw, none reaches the old primary", t, func() {
		w := newWorld(t, "north", "west")
		callers := []*caller{w.connect(w.nodes[0], dbCurrent), w.connect(w.nodes[1], dbCurrent)}
		for _, c := range callers {
			So(c.Do("READ k").OK(), ShouldBeTrue)
		}
		time.Sleep(groupIdle)
		w.group.Drain(0)
		w.eventually(8*time.Second, "another target leads", func() bool { p, _ := w.group.Primary(); return p > 0 })
		time.Sleep(handoverEnds)
		for _, c := range callers {
			r := c.Do("READ k")
			So(r.OK(), ShouldBeTrue)
			So(w.group.RanOn(r.ID), ShouldNotEqual, 0)
		}
	})
}

// Times of the test of idle groups.
const (
	// groupIdle is longer than a group counts as in use.
	groupIdle = 5500 * time.Millisecond
	// handoverEnds is how long after a promotion its holder is done with it.
	handoverEnds = time.Second
)

// drainingEntry is what a relay passes on of the draining primary.
func drainingEntry(w *world) catalog.Target {
	for _, t := range w.nodes[0].registry.Group("grp").Targets() {
		if info := t.Info(); info.Primary {
			info.Draining = true
			return info
		}
	}
	w.t.Fatal("no primary is listed")
	return catalog.Target{}
}

func TestHandoverHeldBack(t *testing.T) {
	Convey("A primary that leaves takes no request after the time it has, also without a successor", t, func() {
		w := newWorld(t, "north")
		c := w.connect(w.nodes[0], dbCurrent)
		So(c.Do("WRITE k 0").OK(), ShouldBeTrue)
		w.store.SetFault(site.Busy)
		drained := time.Now()
		w.group.Drain(0)
		w.nodes[0].registry.PutTarget(drainingEntry(w))
		served, refused := 0, 0
		for time.Since(drained) < testDrain+time.Second {
			sent := time.Now()
			r := c.Do("READ k")
			if w.group.RanOn(r.ID) == 0 {
				served++
				So(sent.Sub(drained), ShouldBeLessThan, testDrain)
			} else {
				refused++
				So(r.Code(), ShouldEqual, "BUSY")
			}
			time.Sleep(50 * time.Millisecond)
		}
		So(served, ShouldBeGreaterThan, 0)
		So(refused, ShouldBeGreaterThan, 0)
		w.store.SetFault(site.Healthy)
		writeUntil(w, c, "k", 1)
	})
}

// A primary that is cut off from the other targets goes on answering callers after
// another was promoted. Seen as 37 stale reads in a day of the users' bench: one
// replica alone was asked, and the promotion had released its hold.
func TestDeposedPrimary(t *testing.T) {
	Convey("Nothing that a deposed primary answers is passed on", t, func() {
		w := newWorld(t, "north", "south")
		old := w.connect(w.nodes[0], dbCurrent)
		So(old.Do("WRITE x 0").OK(), ShouldBeTrue)
		w.group.Cut(0, true)
		// The promotion is called for as another daemon's holder would: after the
		// intent has stood for longer than a lease counts.
		leader := w.nodes[1].registry.Group("grp")
		leader.MarkUsed()
		w.eventually(3*time.Second, "the leader is known", func() bool { return leader.Leader() != nil })
		w.nodes[0].registry.Group("grp").RequestPromotion(2)
		w.nodes[1].registry.Group("grp").RequestPromotion(2)
		w.eventually(8*time.Second, "another target leads", func() bool { p, _ := w.group.Primary(); return p > 0 })
		fresh := w.connect(w.nodes[1], dbCurrent)
		writeUntil(w, fresh, "x", 1)
		for i := range 30 {
			data := fmt.Sprint(i)
			So(fresh.Do("WRITE x "+data).OK(), ShouldBeTrue)
			r := old.Do("READ x")
			if r.OK() {
				So(r.Rows, ShouldResemble, []string{data})
			}
		}
		// A demand that was met is not acted on again.
		So(w.cloud.Calls(), ShouldHaveLength, 1)
		_, term := w.group.Primary()
		So(term, ShouldEqual, 2)
		oneHolder(w)
	})
}

func TestLostHome(t *testing.T) {
	Convey("Requests go on when the home of a group is lost, and no write runs twice", t, func() {
		w := newWorld(t, "north", "north", "north")
		home := 0
		for i, n := range w.nodes {
			if n.members.Openers("grp")[0] == stmtunit.Opener(n.local) {
				home = i
			}
		}
		entry := w.nodes[(home+1)%3]
		c := w.connect(entry, dbSession)
		So(c.Do("WRITE a 1").OK(), ShouldBeTrue)
		w.kill(w.nodes[home])
		served := 0
		for i := range 20 {
			r := c.Do(fmt.Sprintf("WRITE a%d 2", i))
			if r.OK() {
				served++
			}
			So(w.group.Runs(r.ID), ShouldBeLessThanOrEqualTo, 1)
		}
		So(served, ShouldBeGreaterThanOrEqualTo, 18)
		So(c.Do("READ a").Rows, ShouldResemble, []string{"1"})
	})
}

func TestShutdown(t *testing.T) {
	Convey("A shutdown cuts no request and ends idle sessions", t, func() {
		w := newWorld(t, "north", "north")
		n := w.nodes[0]
		idle, busy, inTx := w.connect(n, dbCurrent), w.connect(n, dbCurrent), w.connect(n, dbCurrent)
		So(idle.Do("READ a").OK(), ShouldBeTrue)
		inTx.Do("BEGIN")
		So(inTx.Do("WRITE tx 1").OK(), ShouldBeTrue)
		stopped := make(chan error, 1)
		var wg sync.WaitGroup
		wg.Go(func() { stopped <- n.Stop(context.Background()) })
		w.eventually(time.Second, "the daemon is not ready", func() bool { return !n.Ready() })
		cut, answered := 0, 0
		for range 400 {
			r := busy.Do("READ a")
			if r.End == "closed" {
				break
			}
			if !r.OK() {
				cut++
			}
			answered++
			time.Sleep(2 * time.Millisecond)
		}
		So(cut, ShouldEqual, 0)
		So(answered, ShouldBeGreaterThan, 100)
		end := inTx.Do("COMMIT")
		So(end.OK() || end.Code() == "ABORTED", ShouldBeTrue)
		So(idle.Line(), ShouldEqual, "closed")
		So(<-stopped, ShouldBeNil)
		wg.Wait()
		other := w.connect(w.nodes[1], dbCurrent)
		So(other.Do("READ a").OK(), ShouldBeTrue)
	})
}
