package home

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	. "github.com/smartystreets/goconvey/convey"
)

const insertOne = "INSERT INTO bins (id, state) VALUES (1, 'on')"

// TestLostConnections breaks the connection to the target at each step of a request. The
// home must neither repeat a batch that may have run nor report a committed request as
// not run.
func TestLostConnections(t *testing.T) {
	Convey("A batch whose connection closes before it was sent is retried", t, func() {
		tc, d := newFaultyCluster(t)
		d.injectFault(sqlContains("insert"), closeBeforeSend)
		So(tc.do(tc.write(insertOne)).Outcome.OK(), ShouldBeTrue)
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "1")
	})
	Convey("Without a request id, a batch whose answer was lost has an unknown outcome", t, func() {
		for _, cut := range []func(target.Conn, context.Context, target.Exchange, io.Writer) (target.Reply, error){loseBeforeExecution, loseAfterExecution} {
			tc, d := newFaultyCluster(t)
			d.injectFault(sqlContains("insert"), cut)
			a := tc.do(tc.write(insertOne))
			So(a.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(a.Outcome.Reason, ShouldEqual, outcome.TargetLost)
			So(a.messages, ShouldBeEmpty)
		}
	})
	Convey("With a request id, a request that was committed before its answer was lost is reported as done", t, func() {
		tc, d := newFaultyCluster(t)
		d.injectFault(sqlContains("commit"), loseAfterExecution)
		a := tc.do(tc.write(insertOne).withID("order-1"))
		So(a.Outcome.OK(), ShouldBeTrue)
		So(a.Repeated, ShouldBeTrue)
		So(a.Tag, ShouldEqual, "INSERT 0 1")
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "1")
	})
	Convey("With a request id, a request that was lost before its commit is reported as not run, and has no effect", t, func() {
		for n, word := range []string{"commit", "bins", "begin", "commit", "bins"} {
			tc, d := newFaultyCluster(t)
			d.injectFault(sqlContains(word), loseBeforeExecution)
			r := tc.write(insertOne).withID("order-1")
			r.extended = n > 2
			a := tc.do(r)
			if a.Outcome.OK() {
				So(word, ShouldEqual, "begin")
				continue
			}
			So(a.Outcome.Kind, ShouldEqual, outcome.Refused)
			So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "0")
			So(tc.mustDo(tc.write(insertOne).withID("order-1")).Repeated, ShouldBeFalse)
		}
	})
	Convey("A lost commit is reported as not run only after its connection is closed at the target", t, func() {
		tc, d := newFaultyCluster(t)
		late := make(chan func(), 1)
		d.ignoreClose = true
		d.injectFault(sqlContains("commit"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			late <- func() { _, _ = c.Exchange(context.Background(), x, io.Discard) }
			return target.Reply{Held: x.Held}, fmt.Errorf("%w: cut by the test", target.ErrLost)
		})
		a := tc.do(tc.write(insertOne).withID("order-1"))
		(<-late)()
		So(a.Outcome.Reason, ShouldEqual, outcome.PrimaryChanged)
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "0")
	})
	Convey("A request record that was read on a primary deposed meanwhile is not used for the settlement", t, func() {
		tc, d := newFaultyCluster(t)
		replicate := func(on bool) {
			tc.group.Instances[1].PauseReplication(!on)
			tc.group.Instances[2].PauseReplication(!on)
		}
		d.injectFault(sqlContains("commit"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			replicate(false)
			reply, err := loseAfterExecution(c, ctx, x, sink)
			d.injectFault(sqlContains("tag"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
				reply, err := c.Exchange(ctx, x, sink)
				tc.promoteSecond(2)
				replicate(true)
				return reply, err
			})
			return reply, err
		})
		a := tc.do(tc.write(insertOne).withID("order-1"))
		So(a.Outcome.Reason, ShouldEqual, outcome.PrimaryChanged)
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "0")
	})
	Convey("A transaction whose connection breaks is ended and has no effect", t, func() {
		tc, d := newFaultyCluster(t)
		u, o := tc.homes[0].Open(context.Background(), tc.write("").header)
		So(o.OK(), ShouldBeTrue)
		defer u.Close()
		run := func(sql string) wireunit.Result {
			return u.Exchange(context.Background(), mustQuery(tc, sql), io.Discard)
		}
		So(run("BEGIN").Status, ShouldEqual, wireunit.TxOpen)
		So(run(insertOne).Status, ShouldEqual, wireunit.TxOpen)
		d.injectFault(sqlContains("update"), loseBeforeExecution)
		lost := run("UPDATE bins SET state = 'off' WHERE id = 1")
		So(lost.Outcome.Reason, ShouldEqual, outcome.TransactionLost)
		So(run("COMMIT").Outcome.Reason, ShouldEqual, outcome.TransactionLost)
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "0")
	})
}

// withControl runs f on a new control connection to an instance.
func (tc *testCluster) withControl(i int, f func(context.Context, target.Control) error) {
	tc.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := tc.homes[0].config.Dialer.DialControl(ctx, tc.group.Instances[i].Address(), testDatabase)
	if err == nil {
		defer c.Close()
		err = f(ctx, c)
	}
	if err != nil {
		tc.Fatal(err)
	}
}

// promoteSecond replaces the primary t1 in term t, without contacting it: it fences the
// two replicas, promotes t2 and makes t3 follow it.
func (tc *testCluster) promoteSecond(t position.Term) {
	for _, i := range []int{1, 2} {
		tc.withControl(i, func(ctx context.Context, c target.Control) error { _, err := c.Fence(ctx, t); return err })
	}
	tc.withControl(1, func(ctx context.Context, c target.Control) error { _, err := c.Promote(ctx, t); return err })
	tc.withControl(2, func(ctx context.Context, c target.Control) error {
		_, err := c.Follow(ctx, t, tc.group.Instances[1].Address())
		return err
	})
}

// TestDeposedPrimary guards against acknowledging an answer that no majority holds. A
// primary that was replaced, or whose replicas lag, still answers batches.
func TestDeposedPrimary(t *testing.T) {
	for _, kind := range []string{"write", "write with an id", "current read"} {
		Convey("An answer of a primary that is deposed meanwhile is not reported as a success: "+kind, t, func() {
			tc, d := newFaultyCluster(t)
			r, word := tc.write(insertOne), "insert"
			switch kind {
			case "write with an id":
				r, word = r.withID("order-1"), "commit"
			case "current read":
				r, word = tc.write("SELECT state FROM bins WHERE id = 1"), "select"
				r.header.ReadOnly = true
				tc.requirePrimaryReads("silo")
			}
			d.injectFault(sqlContains(word), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
				for _, i := range []int{1, 2} {
					tc.group.Instances[i].PauseReplication(true)
				}
				reply, err := c.Exchange(ctx, x, sink)
				tc.promoteSecond(2)
				for _, i := range []int{1, 2} {
					tc.group.Instances[i].PauseReplication(false)
				}
				return reply, err
			})
			a := tc.do(r)
			So(a.types(), ShouldNotContainSubstring, "C")
			switch kind {
			case "write":
				So(a.Outcome.Kind, ShouldEqual, outcome.Unknown)
				So(a.Outcome.Reason, ShouldEqual, outcome.PrimaryDeposed)
			case "write with an id":
				So(a.Outcome.Kind, ShouldEqual, outcome.Refused)
				So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "0")
			default:
				So(a.Outcome.Reason, ShouldEqual, outcome.NotConfirmed)
			}
		})
	}
	Convey("A write that no majority confirms in time has an unknown outcome, and its answer is withheld", t, func() {
		tc, _ := newFaultyCluster(t)
		for _, i := range []int{1, 2} {
			tc.group.Instances[i].PauseReplication(true)
		}
		a := tc.do(tc.write(insertOne))
		So(a.Outcome.Kind, ShouldEqual, outcome.Unknown)
		So(a.Outcome.Reason, ShouldEqual, outcome.ConfirmTimeout)
		So(a.messages, ShouldBeEmpty)
	})
}

// TestFailover guards against lost acknowledged writes, two primaries and groups that
// stay without a primary when instances freeze, crash, are fenced or are drained.
func TestFailover(t *testing.T) {
	Convey("A primary that freezes under load is replaced, and no acknowledged write is lost", t, func() {
		tc := newTestCluster(t, 2)
		acknowledged := tc.runWriters(4, func() {
			tc.group.Instances[0].Freeze()
			tc.doUntilDone(tc.homes[1], tc.write("INSERT INTO bins (id, state) VALUES (100001, 'after')"))
			tc.eventually(func() bool { return tc.homes[0].Snapshot().Databases[0].Primary != "t1" })
			tc.group.Instances[0].Thaw()
			tc.waitForStatus(tc.group.Instances[0], func(s target.Status) bool { return !s.Primary && s.Joined > 1 })
			tc.doUntilDone(tc.homes[0], tc.write("INSERT INTO bins (id, state) VALUES (100002, 'resumed')"))
		})
		tc.checkAcknowledged(acknowledged)
		tc.eventually(func() bool { return tc.store.has(store.KindPromotion, testService+"."+testDatabase+".2") })
	})
	Convey("Two homes that start a promotion at the same time leave one primary", t, func() {
		tc := newTestCluster(t, 2, func(c *Config) { c.FailureDomain = "osijek" })
		a := tc.mustDo(tc.write(insertOne))
		tc.mustDoAt(tc.homes[1], tc.readAnywhere("SELECT count(*) FROM bins"))
		tc.waitForReplication(a)
		tc.group.Instances[0].Crash()
		var both sync.WaitGroup
		for i, h := range tc.homes {
			both.Go(func() {
				tc.doUntilDone(h, tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 10+i)))
			})
		}
		both.Wait()
		So(tc.countRows(tc.homes[0], "id > 0"), ShouldEqual, "3")
		So(tc.countRows(tc.homes[1], "id > 0"), ShouldEqual, "3")
		primaries := 0
		for _, in := range tc.group.Instances[1:] {
			if in.Status().Primary {
				primaries++
			}
		}
		So(primaries, ShouldEqual, 1)
	})
	Convey("A healthy group serves without the store; a promotion waits for it", t, func() {
		tc := newTestCluster(t, 1)
		tc.store.setUnavailable(true)
		a := tc.mustDo(tc.write(insertOne))
		tc.waitForReplication(a)
		tc.group.Instances[0].Crash()
		refused := tc.do(tc.write("SELECT 1"))
		So(refused.Outcome.OK(), ShouldBeFalse)
		tc.store.setUnavailable(false)
		So(tc.doUntilDone(tc.homes[0], tc.write("INSERT INTO bins (id, state) VALUES (2, 'on')")).Outcome.OK(), ShouldBeTrue)
		So(tc.countRows(tc.homes[0], "id > 0"), ShouldEqual, "2")
	})
	Convey("Homes of two failure domains that agree on a silent primary replace it", t, func() {
		var homes atomic.Pointer[[]*Home]
		homes.Store(&[]*Home{})
		tc := newTestCluster(t, 2, func(c *Config) {
			own := c.FailureDomain
			c.RemoteEvidence = func(_ context.Context, service, database, name string) (out []group.Evidence) {
				for _, h := range *homes.Load() {
					if e, ok := h.LocalEvidence(service, database, name); ok && e.FailureDomain != own {
						e.At = time.Now()
						out = append(out, e)
					}
				}
				return out
			}
		})
		tc.waitForReplication(tc.mustDo(tc.write(insertOne)))
		tc.mustDoAt(tc.homes[1], tc.write("SELECT 1"))
		homes.Store(&tc.homes)
		tc.group.Instances[0].Freeze()
		So(tc.doUntilDone(tc.homes[0], tc.write("INSERT INTO bins (id, state) VALUES (2, 'on')")).Outcome.OK(), ShouldBeTrue)
		So(tc.countRows(tc.homes[1], "id > 0"), ShouldEqual, "2")
	})
	Convey("A group whose promotion stopped after setting fences gets a primary again", t, func() {
		for _, fenced := range [][]int{{2}, {1, 2}, {0, 1, 2}} {
			tc := newTestCluster(t, 1)
			acknowledged := tc.mustDo(tc.write(insertOne))
			tc.waitForReplication(acknowledged)
			for _, i := range fenced {
				tc.withControl(i, func(ctx context.Context, c target.Control) error { _, err := c.Fence(ctx, 5); return err })
			}
			for _, in := range tc.group.Instances {
				tc.eventually(func() bool {
					tc.do(tc.readAnywhere("SELECT 1"))
					s := in.Status()
					return s.Joined > 5 && s.Joined == s.Fence
				})
			}
			So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "1")
		}
	})
	Convey("Requests that run on a frozen primary or wait for its slots are done after the failover", t, func() {
		tc := newTestCluster(t, 1)
		tc.group.Instances[0].Freeze()
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				tc.doUntilDone(tc.homes[0], tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", n)).withID(fmt.Sprint("order-", n)))
			})
		}
		all.Wait()
		So(tc.countRows(tc.homes[0], "id >= 0"), ShouldEqual, "12")
	})
	Convey("A drained primary hands over under load without a failed or lost write", t, func() {
		tc := newTestCluster(t, 1, func(c *Config) {
			// As in the daemon, a silence that only this home sees must not start a
			// failover.
			c.RemoteEvidence = func(context.Context, string, string, string) []group.Evidence { return nil }
		})
		var failed atomic.Int64
		tc.onOutcome = func(o outcome.Outcome) {
			if !o.OK() {
				failed.Add(1)
				tc.Logf("request failed: %+v", o)
			}
		}
		acknowledged := tc.runWriters(4, func() {
			tc.source.drain("t1")
			tc.waitForStatus(tc.group.Instances[0], func(s target.Status) bool { return !s.Primary && s.Joined > 1 })
			tc.doUntilDone(tc.homes[0], tc.write("INSERT INTO bins (id, state) VALUES (100001, 'after')"))
		})
		So(failed.Load(), ShouldEqual, 0)
		tc.checkAcknowledged(acknowledged)
	})
}

// runWriters runs writers against all homes while during runs. It returns the ids of all
// inserts, with true for those that were acknowledged.
func (tc *testCluster) runWriters(writers int, during func()) map[string]bool {
	ctx, stop := context.WithCancel(context.Background())
	acknowledged := map[string]bool{}
	var mu sync.Mutex
	var all sync.WaitGroup
	running := make(chan struct{}, writers)
	for w := range writers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if n == 3 {
					running <- struct{}{}
				}
				id := fmt.Sprint(1000*(w+1) + n)
				a := tc.doAt(tc.homes[n%len(tc.homes)], tc.write("INSERT INTO bins (id, state) VALUES ("+id+", 'on')").withID("order-"+id))
				if tc.onOutcome != nil {
					tc.onOutcome(a.Outcome)
				}
				mu.Lock()
				acknowledged[id] = a.Outcome.OK() && a.types() != "E"
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for range writers {
		<-running
	}
	during()
	stop()
	all.Wait()
	return acknowledged
}

// checkAcknowledged checks that every acknowledged insert is in the table exactly once.
func (tc *testCluster) checkAcknowledged(acknowledged map[string]bool) {
	tc.Helper()
	rows := map[string]int{}
	for _, id := range tc.doUntilDone(tc.homes[0], tc.write("SELECT id FROM bins")).values() {
		rows[id]++
	}
	confirmed := 0
	for id, ok := range acknowledged {
		if ok {
			confirmed++
		}
		if ok && rows[id] != 1 {
			tc.Fatalf("insert %s was acknowledged and is in the table %d times, want once", id, rows[id])
		}
	}
	if confirmed == 0 {
		tc.Fatal("no insert was acknowledged")
	}
}

func (tc *testCluster) mustDoAt(h *Home, r request) response {
	tc.Helper()
	a := tc.doAt(h, r)
	if !a.Outcome.OK() {
		tc.Fatalf("%s: %+v", r.sql, a.Outcome)
	}
	return a
}

// TestAtMostOnce guards against running a request with an id twice when a caller repeats
// it, possibly at several homes at the same time.
func TestAtMostOnce(t *testing.T) {
	Convey("A request with an id that is sent to all homes at the same time runs once", t, func() {
		tc := newTestCluster(t, 3)
		const requests = 20
		var all sync.WaitGroup
		var runs [requests]atomic.Int64
		for n := range requests {
			for _, h := range tc.homes {
				all.Go(func() {
					r := tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", n)).withID(fmt.Sprint("order-", n))
					r.extended = n%2 == 0
					a := tc.doUntilDone(h, r)
					if a.Outcome.OK() && !a.Repeated && strings.HasSuffix(a.types(), "C") {
						runs[n].Add(1)
					}
				})
			}
		}
		all.Wait()
		for n := range requests {
			So(runs[n].Load(), ShouldEqual, 1)
		}
		So(tc.countRows(tc.homes[0], "id >= 0"), ShouldEqual, fmt.Sprint(requests))
	})
	Convey("An interactive transaction with a request id runs only once", t, func() {
		tc := newTestCluster(t, 1)
		run := func() (last wireunit.Result) {
			header := tc.write("").withID("order-1").header
			u, _ := tc.homes[0].Open(context.Background(), header)
			defer u.Close()
			for _, sql := range []string{"BEGIN", insertOne, "COMMIT"} {
				last = u.Exchange(context.Background(), mustQuery(tc, sql), io.Discard)
				if last.Status == wireunit.TxIdle {
					return last
				}
			}
			return last
		}
		first, second := run(), run()
		So(first.Outcome.OK(), ShouldBeTrue)
		So(first.Repeated, ShouldBeFalse)
		So(second.Repeated, ShouldBeTrue)
		So(second.Tag, ShouldEqual, "COMMIT")
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "1")
	})
	Convey("A request id that another caller has used is refused", t, func() {
		tc := newTestCluster(t, 1)
		tc.mustDo(tc.write(insertOne).withID("order-1"))
		r := tc.write(insertOne).withID("order-1")
		r.header.Caller = "depot"
		So(tc.do(r).Outcome.Reason, ShouldEqual, outcome.ParameterInvalid)
	})
}

// TestAnswersReachTheirOwnCaller guards against delivering an answer or a cancel request
// to another unit, which happens if a pooled connection is reused while an old answer or
// cancel request is still on its way.
func TestAnswersReachTheirOwnCaller(t *testing.T) {
	Convey("A late cancel request does not reach the request of another unit", t, func() {
		tc, d := newFaultyCluster(t)
		late := make(chan func(), 1)
		d.onCancel = func(c target.Conn, ctx context.Context) error {
			late <- func() { _ = c.Cancel(context.Background()) }
			return nil
		}
		sent, goOn := make(chan target.Conn, 1), make(chan struct{})
		d.injectFault(sqlContains("first"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			sent <- c
			<-goOn
			return c.Exchange(ctx, x, sink)
		})
		u, _ := tc.homes[0].Open(context.Background(), tc.write("").header)
		done := make(chan wireunit.Result, 1)
		go func() { done <- u.Exchange(context.Background(), mustQuery(tc, "SELECT 'first'"), io.Discard) }()
		first := <-sent
		u.Cancel()
		close(goOn)
		So((<-done).Outcome.OK(), ShouldBeTrue)
		So(first.Reusable(), ShouldBeFalse)
		d.injectFault(sqlContains("second"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			(<-late)()
			So(c.PID(), ShouldNotEqual, first.PID())
			return c.Exchange(ctx, x, sink)
		})
		a := tc.mustDo(tc.write("SELECT 'second'"))
		So(a.values(), ShouldResemble, []string{"second"})
	})
	Convey("An answer that arrives after the deadline is not delivered to any caller", t, func() {
		tc := newTestCluster(t, 1, func(c *Config) { c.Timings.CancelGrace = 50 * time.Millisecond })
		tc.group.Instances[0].Freeze()
		r := tc.write("SELECT 'late'")
		r.header.Remaining = 100 * time.Millisecond
		a := tc.do(r)
		So(a.Outcome.OK(), ShouldBeFalse)
		So(a.messages, ShouldBeEmpty)
		tc.group.Instances[0].Thaw()
		for n := range 10 {
			want := fmt.Sprint("mine-", n)
			So(tc.doUntilDone(tc.homes[0], tc.write("SELECT '"+want+"'")).values(), ShouldResemble, []string{want})
		}
	})
	Convey("A write marked as a read is retried on the primary after the replica refused it", t, func() {
		tc := newTestCluster(t, 1, func(c *Config) { c.FailureDomain = "vukovar" })
		a := tc.mustDo(tc.write("SELECT 1"))
		tc.waitForReplication(a)
		read := tc.readAnywhere("SELECT 'x' FROM bins")
		read.header.MaxAge = time.Hour
		tc.eventually(func() bool { return tc.doUntilDone(tc.homes[0], read).Origin.Target == "t2" })
		read.sql = insertOne
		moved := tc.mustDo(read)
		So(moved.types(), ShouldEqual, "C")
		So(moved.Origin.Target, ShouldEqual, "t1")
	})
}

// TestLimits checks that homes stay within the slots and connections of their shares and
// account for them, and that idle transactions release theirs.
func TestLimits(t *testing.T) {
	Convey("The ledger accounts for the time of every connection by its holder", t, func() {
		l := ledger.New("vm0-test", time.Hour, time.Now())
		tc := newTestCluster(t, 1, func(c *Config) { c.Ledger = l })
		u, _ := tc.homes[0].Open(context.Background(), tc.write("").header)
		So(u.Exchange(context.Background(), mustQuery(tc, "BEGIN"), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		So(tc.homes[0].Snapshot().Databases[0].Targets[0].Holders[0].InTransaction, ShouldBeTrue)
		u.Close()
		now := time.Now()
		So(l.Check(now), ShouldBeNil)
		silo := ledger.Holder{Service: testService, Caller: "silo"}
		for _, state := range []ledger.State{ledger.Working, ledger.Idle} {
			So(l.Totals(now)[ledger.Account{Target: "t1", State: state, Holder: silo}], ShouldBeGreaterThan, 0)
		}
	})
	Convey("A drained replica gets no reads", t, func() {
		tc := newTestCluster(t, 1, func(c *Config) { c.FailureDomain = "vukovar" })
		tc.source.drain("t2")
		read := tc.readAnywhere("SELECT count(*) FROM bins")
		for range 20 {
			So(tc.doUntilDone(tc.homes[0], read).Origin.Target, ShouldNotEqual, "t2")
		}
	})
	Convey("A home without a share of a target uses none of its slots", t, func() {
		tc := newTestCluster(t, 1)
		none := tc.addHome(1, func(c *Config) {
			c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share {
				return Share{Connections: 1}
			}
		})
		So(tc.doAt(none, tc.write("SELECT 1")).Outcome.Reason, ShouldEqual, outcome.QueueFull)
	})
	Convey("Three homes with equal shares never exceed a target's slots and connections", t, func() {
		tc := newTestCluster(t, 3, func(c *Config) { c.Shares = nil })
		var all sync.WaitGroup
		for w := range 30 {
			all.Go(func() {
				for n := range 10 {
					r := tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 100*w+n))
					if w%2 == 0 {
						r = tc.readAnywhere("SELECT count(*) FROM bins")
					}
					tc.doAt(tc.homes[w%3], r)
				}
			})
		}
		all.Wait()
		for _, in := range tc.group.Instances {
			load := in.Load()
			So(load.Peak, ShouldBeLessThanOrEqualTo, 3)
			So(load.Connections, ShouldBeLessThanOrEqualTo, 20)
			So(load.Overuse, ShouldEqual, 0)
		}
	})
	Convey("A transaction whose next batch does not arrive is rolled back and releases its slot", t, func() {
		tc := newTestCluster(t, 1, func(c *Config) {
			c.Timings.IdleTransactionTimeout = 20 * time.Millisecond
			c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share {
				return Share{Slots: 1, Connections: 4}
			}
		})
		u, _ := tc.homes[0].Open(context.Background(), tc.write("").header)
		defer u.Close()
		So(u.Exchange(context.Background(), mustQuery(tc, "BEGIN"), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		So(u.Exchange(context.Background(), mustQuery(tc, insertOne), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		So(tc.countRows(tc.homes[0], "id = 1"), ShouldEqual, "0")
		So(u.Exchange(context.Background(), mustQuery(tc, "COMMIT"), io.Discard).Outcome.Reason, ShouldEqual, outcome.TransactionLost)
	})
}

// TestShutdown guards against units that fail and connections that stay open when a home
// shuts down under load.
func TestShutdown(t *testing.T) {
	Convey("A shutdown under load lets every open unit of work finish", t, func() {
		tc := newTestCluster(t, 1)
		h := tc.homes[0]
		var unexpected atomic.Value
		var all sync.WaitGroup
		started := make(chan struct{}, 8)
		for w := range 8 {
			all.Go(func() {
				for n := 0; ; n++ {
					o := tc.runTransaction(h, 1000*w+n)
					if n == 0 {
						started <- struct{}{}
					}
					if o.Reason == outcome.ShuttingDown {
						return
					}
					if !o.OK() && o.Reason != outcome.TooLate {
						unexpected.Store(o)
					}
				}
			})
		}
		for range 8 {
			<-started
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		So(h.Shutdown(ctx), ShouldBeNil)
		all.Wait()
		So(unexpected.Load(), ShouldBeNil)
		for _, in := range tc.group.Instances {
			in := in
			tc.eventually(func() bool { return in.Load().Connections == 0 })
		}
	})
}

// runTransaction runs a transaction of three batches and returns the first outcome that
// is not OK.
func (tc *testCluster) runTransaction(h *Home, id int) outcome.Outcome {
	u, o := h.Open(context.Background(), tc.write("").header)
	if !o.OK() {
		return o
	}
	defer u.Close()
	for _, sql := range []string{"BEGIN", fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", id), "COMMIT"} {
		var sink bytes.Buffer
		r := u.Exchange(context.Background(), mustQuery(tc, sql), &sink)
		if !r.Outcome.OK() {
			return r.Outcome
		}
		if strings.Contains((response{messages: sink.Bytes()}).types(), "E") {
			return outcome.UnknownOutcome(outcome.TargetLost, "%s failed", sql)
		}
	}
	return outcome.Outcome{}
}

func (tc *testCluster) eventually(cond func() bool) {
	tc.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tc.Fatal("timed out waiting for a condition")
		}
	}
}

// TestReads guards against stale reads: a session that does not see its own write on a
// lagging replica, and a replica that answers after it left its term.
func TestReads(t *testing.T) {
	Convey("A session reads its own writes at every home, with and without its token", t, func() {
		tc := newTestCluster(t, 3)
		tc.group.Instances[1].SetLag(30 * time.Millisecond)
		tc.group.Instances[2].SetLag(300 * time.Millisecond)
		for n := range 60 {
			a := tc.mustDoAt(tc.homes[n%3], tc.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", n)))
			read := tc.readAnywhere(fmt.Sprintf("SELECT state FROM bins WHERE id = %d", n))
			read.header.SessionAge = time.Nanosecond
			if n%2 == 0 {
				read.header.Seen = a.Position
			}
			if n%4 == 0 {
				read.header.MaxAge = time.Hour
			}
			r := tc.mustDoAt(tc.homes[(n+1)%3], read)
			So(r.values(), ShouldResemble, []string{"on"})
			So(r.Position.Covers(a.Position), ShouldBeTrue)
		}
		tc.eventually(func() bool {
			return tc.doUntilDone(tc.homes[1], tc.readAnywhere("SELECT state FROM bins")).Origin.Replica
		})
	})
	Convey("A replica that leaves its term during a read does not answer it", t, func() {
		tc, d := newFaultyCluster(t, func(c *Config) { c.FailureDomain = "vukovar" })
		tc.mustDo(tc.write(insertOne))
		read := tc.readAnywhere("SELECT state FROM bins")
		tc.eventually(func() bool { return tc.doUntilDone(tc.homes[0], read).Origin.Target == "t2" })
		fenced := ""
		d.injectFault(sqlContains("state"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			tc.withControl(1, func(ctx context.Context, c target.Control) error { _, err := c.Fence(ctx, 2); return err })
			reply, err := c.Exchange(ctx, x, sink)
			fenced = reply.StatusAfter.Target
			return reply, err
		})
		a := tc.do(read)
		if fenced == "t2" {
			So(a.Outcome.OK() && a.Origin.Target == "t2", ShouldBeFalse)
		}
		So(fenced, ShouldNotBeEmpty)
	})
}
