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

func TestLostConnections(t *testing.T) {
	Convey("A connection cut before the batch was sent costs nothing", t, func() {
		b, d := newTamperedBench(t)
		d.next(holding("insert"), cutBeforeSend)
		So(b.do(b.write(insertOne)).Outcome.OK(), ShouldBeTrue)
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "1")
	})
	Convey("Without an id, a batch whose answer was lost is unknown", t, func() {
		for _, cut := range []func(target.Conn, context.Context, target.Exchange, io.Writer) (target.Reply, error){cutBeforeEffect, cutAfterEffect} {
			b, d := newTamperedBench(t)
			d.next(holding("insert"), cut)
			a := b.do(b.write(insertOne))
			So(a.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(a.Outcome.Reason, ShouldEqual, outcome.TargetLost)
			So(a.messages, ShouldBeEmpty)
		}
	})
	Convey("With an id, what was committed although its answer was lost is found done", t, func() {
		b, d := newTamperedBench(t)
		d.next(holding("commit"), cutAfterEffect)
		a := b.do(b.write(insertOne).id("order-1"))
		So(a.Outcome.OK(), ShouldBeTrue)
		So(a.Repeated, ShouldBeTrue)
		So(a.Tag, ShouldEqual, "INSERT 0 1")
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "1")
	})
	Convey("With an id, what was lost before its commit is not run, and that is true", t, func() {
		for n, word := range []string{"commit", "bins", "begin", "commit", "bins"} {
			b, d := newTamperedBench(t)
			d.next(holding(word), cutBeforeEffect)
			r := b.write(insertOne).id("order-1")
			r.extended = n > 2
			a := b.do(r)
			if a.Outcome.OK() {
				So(word, ShouldEqual, "begin")
				continue
			}
			So(a.Outcome.Kind, ShouldEqual, outcome.Refused)
			So(b.count(b.homes[0], "id = 1"), ShouldEqual, "0")
			So(b.mustDo(b.write(insertOne).id("order-1")).Repeated, ShouldBeFalse)
		}
	})
	Convey("A lost commit is not run only once its connection is gone at the target", t, func() {
		b, d := newTamperedBench(t)
		late := make(chan func(), 1)
		d.deaf = true
		d.next(holding("commit"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			late <- func() { _, _ = c.Exchange(context.Background(), x, io.Discard) }
			return target.Reply{Held: x.Held}, fmt.Errorf("%w: cut by the test", target.ErrLost)
		})
		a := b.do(b.write(insertOne).id("order-1"))
		(<-late)()
		So(a.Outcome.Reason, ShouldEqual, outcome.PrimaryChanged)
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "0")
	})
	Convey("A record that was read on a primary deposed meanwhile settles nothing", t, func() {
		b, d := newTamperedBench(t)
		replicate := func(on bool) {
			b.group.Instances[1].PauseReplication(!on)
			b.group.Instances[2].PauseReplication(!on)
		}
		d.next(holding("commit"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			replicate(false)
			reply, err := cutAfterEffect(c, ctx, x, sink)
			d.next(holding("tag"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
				reply, err := c.Exchange(ctx, x, sink)
				b.depose(2)
				replicate(true)
				return reply, err
			})
			return reply, err
		})
		a := b.do(b.write(insertOne).id("order-1"))
		So(a.Outcome.Reason, ShouldEqual, outcome.PrimaryChanged)
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "0")
	})
	Convey("A transaction whose connection breaks is over and has left nothing", t, func() {
		b, d := newTamperedBench(t)
		u, o := b.homes[0].Open(context.Background(), b.write("").header)
		So(o.OK(), ShouldBeTrue)
		defer u.Close()
		run := func(sql string) wireunit.Result {
			return u.Exchange(context.Background(), mustQuery(b, sql), io.Discard)
		}
		So(run("BEGIN").Status, ShouldEqual, wireunit.TxOpen)
		So(run(insertOne).Status, ShouldEqual, wireunit.TxOpen)
		d.next(holding("update"), cutBeforeEffect)
		lost := run("UPDATE bins SET state = 'off' WHERE id = 1")
		So(lost.Outcome.Reason, ShouldEqual, outcome.TransactionLost)
		So(run("COMMIT").Outcome.Reason, ShouldEqual, outcome.TransactionLost)
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "0")
	})
}

// control runs f on a control connection of its own to an instance.
func (b *bench) control(i int, f func(context.Context, target.Control) error) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	c, err := b.homes[0].config.Dialer.DialControl(ctx, b.group.Instances[i].Address(), testDatabase)
	if err == nil {
		defer c.Close()
		err = f(ctx, c)
	}
	if err != nil {
		b.Fatal(err)
	}
}

// depose fences the replicas and promotes t2, without the old primary.
func (b *bench) depose(t position.Term) {
	for _, i := range []int{1, 2} {
		b.control(i, func(ctx context.Context, c target.Control) error { _, err := c.Fence(ctx, t); return err })
	}
	b.control(1, func(ctx context.Context, c target.Control) error { _, err := c.Promote(ctx, t); return err })
	b.control(2, func(ctx context.Context, c target.Control) error {
		_, err := c.Follow(ctx, t, b.group.Instances[1].Address())
		return err
	})
}

func TestDeposedPrimary(t *testing.T) {
	for _, kind := range []string{"write", "write with an id", "current read"} {
		Convey("An answer of a primary that is deposed meanwhile is no success: "+kind, t, func() {
			b, d := newTamperedBench(t)
			r, word := b.write(insertOne), "insert"
			switch kind {
			case "write with an id":
				r, word = r.id("order-1"), "commit"
			case "current read":
				r, word = b.write("SELECT state FROM bins WHERE id = 1"), "select"
				r.header.ReadOnly = true
				b.readAtPrimary("silo")
			}
			d.next(holding(word), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
				for _, i := range []int{1, 2} {
					b.group.Instances[i].PauseReplication(true)
				}
				reply, err := c.Exchange(ctx, x, sink)
				b.depose(2)
				for _, i := range []int{1, 2} {
					b.group.Instances[i].PauseReplication(false)
				}
				return reply, err
			})
			a := b.do(r)
			So(a.types(), ShouldNotContainSubstring, "C")
			switch kind {
			case "write":
				So(a.Outcome.Kind, ShouldEqual, outcome.Unknown)
				So(a.Outcome.Reason, ShouldEqual, outcome.PrimaryDeposed)
			case "write with an id":
				So(a.Outcome.Kind, ShouldEqual, outcome.Refused)
				So(b.count(b.homes[0], "id = 1"), ShouldEqual, "0")
			default:
				So(a.Outcome.Reason, ShouldEqual, outcome.NotConfirmed)
			}
		})
	}
	Convey("A write that no majority holds in time is unknown, and its success is not told", t, func() {
		b, _ := newTamperedBench(t)
		for _, i := range []int{1, 2} {
			b.group.Instances[i].PauseReplication(true)
		}
		a := b.do(b.write(insertOne))
		So(a.Outcome.Kind, ShouldEqual, outcome.Unknown)
		So(a.Outcome.Reason, ShouldEqual, outcome.ConfirmTimeout)
		So(a.messages, ShouldBeEmpty)
	})
}

func TestFailover(t *testing.T) {
	Convey("A primary that freezes under load is replaced, and nothing acknowledged is lost", t, func() {
		b := newBench(t, 2)
		acknowledged := b.load(4, func() {
			b.group.Instances[0].Freeze()
			b.until(b.homes[1], b.write("INSERT INTO bins (id, state) VALUES (100001, 'after')"))
			b.eventually(func() bool { return b.homes[0].Snapshot().Databases[0].Primary != "t1" })
			b.group.Instances[0].Thaw()
			b.wait(b.group.Instances[0], func(s target.Status) bool { return !s.Primary && s.Joined > 1 })
			b.until(b.homes[0], b.write("INSERT INTO bins (id, state) VALUES (100002, 'resumed')"))
		})
		b.holdsExactly(acknowledged)
		b.eventually(func() bool { return b.store.has(store.KindPromotion, testService+"."+testDatabase+".2") })
	})
	Convey("Two homes that promote at once leave one primary", t, func() {
		b := newBench(t, 2, func(c *Config) { c.FailureDomain = "osijek" })
		a := b.mustDo(b.write(insertOne))
		b.mustDoAt(b.homes[1], b.readAnywhere("SELECT count(*) FROM bins"))
		b.replicated(a)
		b.group.Instances[0].Crash()
		var both sync.WaitGroup
		for i, h := range b.homes {
			both.Go(func() { b.until(h, b.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 10+i))) })
		}
		both.Wait()
		So(b.count(b.homes[0], "id > 0"), ShouldEqual, "3")
		So(b.count(b.homes[1], "id > 0"), ShouldEqual, "3")
		primaries := 0
		for _, in := range b.group.Instances[1:] {
			if in.Status().Primary {
				primaries++
			}
		}
		So(primaries, ShouldEqual, 1)
	})
	Convey("A healthy group goes on without the store; a promotion waits for it", t, func() {
		b := newBench(t, 1)
		b.store.setDown(true)
		a := b.mustDo(b.write(insertOne))
		b.replicated(a)
		b.group.Instances[0].Crash()
		lost := b.do(b.write("SELECT 1"))
		So(lost.Outcome.OK(), ShouldBeFalse)
		b.store.setDown(false)
		So(b.until(b.homes[0], b.write("INSERT INTO bins (id, state) VALUES (2, 'on')")).Outcome.OK(), ShouldBeTrue)
		So(b.count(b.homes[0], "id > 0"), ShouldEqual, "2")
	})
	Convey("Homes of two failure domains that agree replace a silent primary", t, func() {
		var homes atomic.Pointer[[]*Home]
		homes.Store(&[]*Home{})
		b := newBench(t, 2, func(c *Config) {
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
		b.replicated(b.mustDo(b.write(insertOne)))
		b.mustDoAt(b.homes[1], b.write("SELECT 1"))
		homes.Store(&b.homes)
		b.group.Instances[0].Freeze()
		So(b.until(b.homes[0], b.write("INSERT INTO bins (id, state) VALUES (2, 'on')")).Outcome.OK(), ShouldBeTrue)
		So(b.count(b.homes[1], "id > 0"), ShouldEqual, "2")
	})
	Convey("A promotion that died behind its fences leaves no group without a primary", t, func() {
		for _, fenced := range [][]int{{2}, {1, 2}, {0, 1, 2}} {
			b := newBench(t, 1)
			acknowledged := b.mustDo(b.write(insertOne))
			b.replicated(acknowledged)
			for _, i := range fenced {
				b.control(i, func(ctx context.Context, c target.Control) error { _, err := c.Fence(ctx, 5); return err })
			}
			for _, in := range b.group.Instances {
				b.eventually(func() bool {
					b.do(b.readAnywhere("SELECT 1"))
					s := in.Status()
					return s.Joined > 5 && s.Joined == s.Fence
				})
			}
			So(b.count(b.homes[0], "id = 1"), ShouldEqual, "1")
		}
	})
	Convey("What runs on a frozen primary, and what waits for its slots, ends after the failover", t, func() {
		b := newBench(t, 1)
		b.group.Instances[0].Freeze()
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				b.until(b.homes[0], b.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", n)).id(fmt.Sprint("order-", n)))
			})
		}
		all.Wait()
		So(b.count(b.homes[0], "id >= 0"), ShouldEqual, "12")
	})
	Convey("A drained primary hands over under load: every write is done, none is lost", t, func() {
		b := newBench(t, 1, func(c *Config) {
			// As in the daemon, a silence that only this home sees is no failover.
			c.RemoteEvidence = func(context.Context, string, string, string) []group.Evidence { return nil }
		})
		var failed atomic.Int64
		b.onOutcome = func(o outcome.Outcome) {
			if !o.OK() {
				failed.Add(1)
				b.Logf("not done: %+v", o)
			}
		}
		acknowledged := b.load(4, func() {
			b.source.drain("t1")
			b.wait(b.group.Instances[0], func(s target.Status) bool { return !s.Primary && s.Joined > 1 })
			b.until(b.homes[0], b.write("INSERT INTO bins (id, state) VALUES (100001, 'after')"))
		})
		So(failed.Load(), ShouldEqual, 0)
		b.holdsExactly(acknowledged)
	})
}

// load runs writers against all homes while during runs, and returns the ids
// whose insert was acknowledged.
func (b *bench) load(writers int, during func()) map[string]bool {
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
				a := b.doAt(b.homes[n%len(b.homes)], b.write("INSERT INTO bins (id, state) VALUES ("+id+", 'on')").id("order-"+id))
				if b.onOutcome != nil {
					b.onOutcome(a.Outcome)
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

// holdsExactly checks that every acknowledged insert is there, and once.
func (b *bench) holdsExactly(acknowledged map[string]bool) {
	b.Helper()
	rows := map[string]int{}
	for _, id := range b.until(b.homes[0], b.write("SELECT id FROM bins")).values() {
		rows[id]++
	}
	told := 0
	for id, ok := range acknowledged {
		if ok {
			told++
		}
		if ok && rows[id] != 1 {
			b.Fatalf("insert %s was acknowledged and is there %d times", id, rows[id])
		}
	}
	if told == 0 {
		b.Fatal("nothing was acknowledged")
	}
}

func (b *bench) mustDoAt(h *Home, r request) answer {
	b.Helper()
	a := b.doAt(h, r)
	if !a.Outcome.OK() {
		b.Fatalf("%s: %+v", r.sql, a.Outcome)
	}
	return a
}

func TestAtMostOnce(t *testing.T) {
	Convey("A request that is repeated at two homes at the same instant runs once", t, func() {
		b := newBench(t, 3)
		const requests = 20
		var all sync.WaitGroup
		var runs [requests]atomic.Int64
		for n := range requests {
			for _, h := range b.homes {
				all.Go(func() {
					r := b.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", n)).id(fmt.Sprint("order-", n))
					r.extended = n%2 == 0
					a := b.until(h, r)
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
		So(b.count(b.homes[0], "id >= 0"), ShouldEqual, fmt.Sprint(requests))
	})
	Convey("An interactive transaction with an id is not run a second time", t, func() {
		b := newBench(t, 1)
		run := func() (last wireunit.Result) {
			header := b.write("").id("order-1").header
			u, _ := b.homes[0].Open(context.Background(), header)
			defer u.Close()
			for _, sql := range []string{"BEGIN", insertOne, "COMMIT"} {
				last = u.Exchange(context.Background(), mustQuery(b, sql), io.Discard)
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
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "1")
	})
	Convey("An id that another caller used is refused", t, func() {
		b := newBench(t, 1)
		b.mustDo(b.write(insertOne).id("order-1"))
		r := b.write(insertOne).id("order-1")
		r.header.Caller = "depot"
		So(b.do(r).Outcome.Reason, ShouldEqual, outcome.ParameterInvalid)
	})
}

func TestAnswersReachTheirOwnCaller(t *testing.T) {
	Convey("A cancel request that arrives late hits nobody else", t, func() {
		b, d := newTamperedBench(t)
		late := make(chan func(), 1)
		d.cancel = func(c target.Conn, ctx context.Context) error {
			late <- func() { _ = c.Cancel(context.Background()) }
			return nil
		}
		sent, goOn := make(chan target.Conn, 1), make(chan struct{})
		d.next(holding("first"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			sent <- c
			<-goOn
			return c.Exchange(ctx, x, sink)
		})
		u, _ := b.homes[0].Open(context.Background(), b.write("").header)
		done := make(chan wireunit.Result, 1)
		go func() { done <- u.Exchange(context.Background(), mustQuery(b, "SELECT 'first'"), io.Discard) }()
		first := <-sent
		u.Cancel()
		close(goOn)
		So((<-done).Outcome.OK(), ShouldBeTrue)
		So(first.Reusable(), ShouldBeFalse)
		d.next(holding("second"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			(<-late)()
			So(c.PID(), ShouldNotEqual, first.PID())
			return c.Exchange(ctx, x, sink)
		})
		a := b.mustDo(b.write("SELECT 'second'"))
		So(a.values(), ShouldResemble, []string{"second"})
	})
	Convey("An answer that comes after the deadline reaches nobody", t, func() {
		b := newBench(t, 1, func(c *Config) { c.Timings.CancelGrace = 50 * time.Millisecond })
		b.group.Instances[0].Freeze()
		r := b.write("SELECT 'late'")
		r.header.Remaining = 100 * time.Millisecond
		a := b.do(r)
		So(a.Outcome.OK(), ShouldBeFalse)
		So(a.messages, ShouldBeEmpty)
		b.group.Instances[0].Thaw()
		for n := range 10 {
			want := fmt.Sprint("mine-", n)
			So(b.until(b.homes[0], b.write("SELECT '"+want+"'")).values(), ShouldResemble, []string{want})
		}
	})
	Convey("A write that was taken for a read moves from the replica to the primary", t, func() {
		b := newBench(t, 1, func(c *Config) { c.FailureDomain = "vukovar" })
		a := b.mustDo(b.write("SELECT 1"))
		b.replicated(a)
		read := b.readAnywhere("SELECT 'x' FROM bins")
		read.header.MaxAge = time.Hour
		b.eventually(func() bool { return b.until(b.homes[0], read).Origin.Target == "t2" })
		read.sql = insertOne
		moved := b.mustDo(read)
		So(moved.types(), ShouldEqual, "C")
		So(moved.Origin.Target, ShouldEqual, "t1")
	})
}

func TestLimits(t *testing.T) {
	Convey("The ledger accounts for every connection, by its holder", t, func() {
		l := ledger.New("vm0-test", time.Hour, time.Now())
		b := newBench(t, 1, func(c *Config) { c.Ledger = l })
		u, _ := b.homes[0].Open(context.Background(), b.write("").header)
		So(u.Exchange(context.Background(), mustQuery(b, "BEGIN"), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		So(b.homes[0].Snapshot().Databases[0].Targets[0].Holders[0].InTransaction, ShouldBeTrue)
		u.Close()
		now := time.Now()
		So(l.Check(now), ShouldBeNil)
		silo := ledger.Holder{Service: testService, Caller: "silo"}
		for _, state := range []ledger.State{ledger.Working, ledger.Idle} {
			So(l.Totals(now)[ledger.Account{Target: "t1", State: state, Holder: silo}], ShouldBeGreaterThan, 0)
		}
	})
	Convey("A drained replica gets no more reads", t, func() {
		b := newBench(t, 1, func(c *Config) { c.FailureDomain = "vukovar" })
		b.source.drain("t2")
		read := b.readAnywhere("SELECT count(*) FROM bins")
		for range 20 {
			So(b.until(b.homes[0], read).Origin.Target, ShouldNotEqual, "t2")
		}
	})
	Convey("A home without a share of a target uses none of its slots", t, func() {
		b := newBench(t, 1)
		none := b.addHome(1, func(c *Config) {
			c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share {
				return Share{Connections: 1}
			}
		})
		So(b.doAt(none, b.write("SELECT 1")).Outcome.Reason, ShouldEqual, outcome.QueueFull)
	})
	Convey("Three homes with equal shares never exceed a target's slots and connections", t, func() {
		b := newBench(t, 3, func(c *Config) { c.Shares = nil })
		var all sync.WaitGroup
		for w := range 30 {
			all.Go(func() {
				for n := range 10 {
					r := b.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", 100*w+n))
					if w%2 == 0 {
						r = b.readAnywhere("SELECT count(*) FROM bins")
					}
					b.doAt(b.homes[w%3], r)
				}
			})
		}
		all.Wait()
		for _, in := range b.group.Instances {
			load := in.Load()
			So(load.Peak, ShouldBeLessThanOrEqualTo, 3)
			So(load.Connections, ShouldBeLessThanOrEqualTo, 20)
			So(load.Overuse, ShouldEqual, 0)
		}
	})
	Convey("A transaction whose next batch does not come is rolled back and gives its slot back", t, func() {
		b := newBench(t, 1, func(c *Config) {
			c.Timings.IdleTransactionTimeout = 20 * time.Millisecond
			c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share {
				return Share{Slots: 1, Connections: 4}
			}
		})
		u, _ := b.homes[0].Open(context.Background(), b.write("").header)
		defer u.Close()
		So(u.Exchange(context.Background(), mustQuery(b, "BEGIN"), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		So(u.Exchange(context.Background(), mustQuery(b, insertOne), io.Discard).Status, ShouldEqual, wireunit.TxOpen)
		So(b.count(b.homes[0], "id = 1"), ShouldEqual, "0")
		So(u.Exchange(context.Background(), mustQuery(b, "COMMIT"), io.Discard).Outcome.Reason, ShouldEqual, outcome.TransactionLost)
	})
}

func TestShutdown(t *testing.T) {
	Convey("A shutdown under load cuts no unit of work", t, func() {
		b := newBench(t, 1)
		h := b.homes[0]
		var wrong atomic.Value
		var all sync.WaitGroup
		started := make(chan struct{}, 8)
		for w := range 8 {
			all.Go(func() {
				for n := 0; ; n++ {
					o := b.transaction(h, 1000*w+n)
					if n == 0 {
						started <- struct{}{}
					}
					if o.Reason == outcome.ShuttingDown {
						return
					}
					if !o.OK() && o.Reason != outcome.TooLate {
						wrong.Store(o)
					}
				}
			})
		}
		for range 8 {
			<-started
		}
		ctx, cancel := context.WithTimeout(context.Background(), testPatience)
		defer cancel()
		So(h.Shutdown(ctx), ShouldBeNil)
		all.Wait()
		So(wrong.Load(), ShouldBeNil)
		for _, in := range b.group.Instances {
			in := in
			b.eventually(func() bool { return in.Load().Connections == 0 })
		}
	})
}

// transaction runs a transaction of three batches and returns the first outcome
// that is not OK.
func (b *bench) transaction(h *Home, id int) outcome.Outcome {
	u, o := h.Open(context.Background(), b.write("").header)
	if !o.OK() {
		return o
	}
	defer u.Close()
	for _, sql := range []string{"BEGIN", fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", id), "COMMIT"} {
		var sink bytes.Buffer
		r := u.Exchange(context.Background(), mustQuery(b, sql), &sink)
		if !r.Outcome.OK() {
			return r.Outcome
		}
		if strings.Contains((answer{messages: sink.Bytes()}).types(), "E") {
			return outcome.Unclear(outcome.TargetLost, "%s failed", sql)
		}
	}
	return outcome.Outcome{}
}

func (b *bench) eventually(cond func() bool) {
	b.Helper()
	for end := time.Now().Add(testPatience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.Fatal("condition did not come true")
		}
	}
}

func TestReads(t *testing.T) {
	Convey("A session sees its own writes at every home, with and without its token", t, func() {
		b := newBench(t, 3)
		b.group.Instances[1].SetLag(30 * time.Millisecond)
		b.group.Instances[2].SetLag(300 * time.Millisecond)
		for n := range 60 {
			a := b.mustDoAt(b.homes[n%3], b.write(fmt.Sprintf("INSERT INTO bins (id, state) VALUES (%d, 'on')", n)))
			read := b.readAnywhere(fmt.Sprintf("SELECT state FROM bins WHERE id = %d", n))
			read.header.SessionAge = time.Nanosecond
			if n%2 == 0 {
				read.header.Seen = a.Position
			}
			if n%4 == 0 {
				read.header.MaxAge = time.Hour
			}
			r := b.mustDoAt(b.homes[(n+1)%3], read)
			So(r.values(), ShouldResemble, []string{"on"})
			So(r.Position.Covers(a.Position), ShouldBeTrue)
		}
		b.eventually(func() bool { return b.until(b.homes[1], b.readAnywhere("SELECT state FROM bins")).Origin.Replica })
	})
	Convey("A replica that leaves its term during a read does not answer it", t, func() {
		b, d := newTamperedBench(t, func(c *Config) { c.FailureDomain = "vukovar" })
		b.mustDo(b.write(insertOne))
		read := b.readAnywhere("SELECT state FROM bins")
		b.eventually(func() bool { return b.until(b.homes[0], read).Origin.Target == "t2" })
		fenced := ""
		d.next(holding("state"), func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
			b.control(1, func(ctx context.Context, c target.Control) error { _, err := c.Fence(ctx, 2); return err })
			reply, err := c.Exchange(ctx, x, sink)
			fenced = reply.After.Target
			return reply, err
		})
		a := b.do(read)
		if fenced == "t2" {
			So(a.Outcome.OK() && a.Origin.Target == "t2", ShouldBeFalse)
		}
		So(fenced, ShouldNotBeEmpty)
	})
}
