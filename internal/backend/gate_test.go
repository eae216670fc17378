package backend

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// offerLoad sends n requests through a gate, one per interval, to a target that runs as
// many statements at once as it has slots. It counts how the requests ended.
func offerLoad(g *Gate, slots int, serviceTime, interval, timeout time.Duration, n int) (inTime, late, refused int, longestRefusal time.Duration) {
	target := make(chan struct{}, slots)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range n {
		time.Sleep(interval)
		wg.Go(func() {
			began := time.Now()
			_, ok := g.Enter(Request{Kind: "read", Weight: 1, Deadline: began.Add(timeout)})
			if !ok {
				mu.Lock()
				defer mu.Unlock()
				refused++
				longestRefusal = max(longestRefusal, time.Since(began))
				return
			}
			sent := time.Now()
			target <- struct{}{}
			time.Sleep(serviceTime)
			<-target
			g.Leave("", "read", time.Since(sent))
			mu.Lock()
			defer mu.Unlock()
			if time.Since(began) <= timeout {
				inTime++
			} else {
				late++
			}
		})
	}
	wg.Wait()
	return inTime, late, refused, longestRefusal
}

func TestGateUnderLoad(t *testing.T) {
	Convey("At half of the capacity almost no request is refused or late", t, func() {
		g := newGate(3)
		g.SetMaxLimit(4)
		inTime, late, refused, _ := offerLoad(g, 3, 20*time.Millisecond, 14*time.Millisecond, 300*time.Millisecond, 100)
		So(inTime, ShouldBeGreaterThanOrEqualTo, 98)
		So(late+refused, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("At twice the capacity as many requests are served in time as the target can serve, and the others are refused early", t, func() {
		g := newGate(3)
		g.SetMaxLimit(4)
		inTime, late, refused, longest := offerLoad(g, 3, 30*time.Millisecond, 5*time.Millisecond, 300*time.Millisecond, 300)
		So(inTime, ShouldBeGreaterThan, 120)
		So(late, ShouldBeLessThan, 15)
		So(refused, ShouldBeGreaterThan, 60)
		So(longest, ShouldBeLessThan, 320*time.Millisecond)
	})
}

func TestGate(t *testing.T) {
	farDeadline := time.Now().Add(time.Hour)
	Convey("Statements of open transactions go ahead of waiting requests", t, func() {
		g := newGate(1)
		_, ok := g.Enter(Request{Deadline: farDeadline})
		So(ok, ShouldBeTrue)
		entered := make(chan struct{})
		go func() {
			g.Enter(Request{Deadline: farDeadline})
			close(entered)
		}()
		g.EnterForced("")
		select {
		case <-entered:
			t.Fatal("a waiting request entered while a forced statement held the place")
		case <-time.After(20 * time.Millisecond):
		}
		g.LeaveForced("")
		g.Leave("", "", time.Millisecond)
		<-entered
	})
	Convey("Busy answers shrink the limit to the slots, and it grows again without them", t, func() {
		g := newGate(2)
		g.SetMaxLimit(4)
		for range 5 {
			g.ReportBusy()
			time.Sleep(shrinkInterval + time.Millisecond)
		}
		So(g.limit, ShouldEqual, 2)
		time.Sleep(growInterval)
		_, ok := g.Enter(Request{Deadline: farDeadline})
		So(ok, ShouldBeTrue)
		So(g.limit, ShouldEqual, 3)
	})
	Convey("Every place that was taken is released", t, func() {
		g := newGate(2)
		var running atomic.Int64
		var peak atomic.Int64
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				if _, ok := g.Enter(Request{Deadline: time.Now().Add(time.Minute)}); ok {
					peak.Store(max(peak.Load(), running.Add(1)))
					time.Sleep(time.Millisecond)
					running.Add(-1)
					g.Leave("", "", time.Millisecond)
				}
			})
		}
		wg.Wait()
		So(peak.Load(), ShouldBeLessThanOrEqualTo, 2)
		So(g.queue.Running(), ShouldEqual, 0)
		So(g.waiting, ShouldBeEmpty)
	})
}

// Guards against a data race, which only the race detector finds: a request that timed
// out read the retry-after time without the lock while another request was refused.
func TestGateTimeouts(t *testing.T) {
	Convey("Requests that time out while others are refused return the retry-after time", t, func() {
		const slots = 20
		g := newGate(slots)
		for range slots {
			_, ok := g.Enter(Request{Deadline: time.Now().Add(time.Hour)})
			So(ok, ShouldBeTrue)
		}
		var wg sync.WaitGroup
		var entered atomic.Int64
		for range 400 {
			wg.Go(func() {
				if _, ok := g.Enter(Request{Deadline: time.Now().Add(2 * initialServiceTime)}); ok {
					entered.Add(1)
				}
			})
		}
		time.Sleep(2*initialServiceTime - 5*time.Millisecond)
		for range slots {
			g.Abandon("")
			time.Sleep(500 * time.Microsecond)
		}
		wg.Wait()
		So(g.queue.Running(), ShouldEqual, entered.Load())
		So(g.waiting, ShouldBeEmpty)
	})
}

// Guards against a tenant that takes the slots of the others with statements of open
// transactions or with idle transactions, neither of which queue.
func TestGateCountsTransactions(t *testing.T) {
	const length = 300 * time.Millisecond
	deadline := time.Now().Add(time.Hour)
	// firstServed returns the tenant that is served first after both have queued, the
	// request of the tenant with transactions having the earlier deadline.
	firstServed := func(g *Gate) string {
		served := make(chan string, 2)
		enter := func(tenant string, deadline time.Time) {
			if _, ok := g.Enter(Request{Tenant: tenant, Deadline: deadline}); ok {
				served <- tenant
				g.Abandon(tenant)
			}
		}
		go enter("transactions", deadline.Add(-time.Minute))
		go enter("single", deadline)
		for waiting := 0; waiting < 2; time.Sleep(time.Millisecond) {
			g.mu.Lock()
			waiting = g.queue.Waiting()
			g.mu.Unlock()
		}
		g.Leave("single", "", time.Millisecond)
		return <-served
	}
	Convey("Statements of open transactions and pinned connections are use of their tenant", t, func() {
		for name, use := range map[string]func(g *Gate){
			"statements":  func(g *Gate) { g.EnterForced("transactions") },
			"connections": func(g *Gate) { g.connectionPinned("transactions"); g.connectionPinned("transactions") },
			"none":        func(*Gate) {},
		} {
			g := newGate(2)
			use(g)
			if name != "statements" {
				g.SetConnections(1)
			}
			// Both tenants run single statements for equally long.
			_, ok := g.Enter(Request{Tenant: "transactions", Deadline: deadline})
			So(ok, ShouldBeTrue)
			time.Sleep(length)
			g.Leave("transactions", "", time.Millisecond)
			_, ok = g.Enter(Request{Tenant: "single", Deadline: deadline})
			So(ok, ShouldBeTrue)
			time.Sleep(length)
			first := firstServed(g)
			if name == "none" {
				So(first, ShouldEqual, "transactions")
			} else {
				So(first, ShouldEqual, "single")
			}
		}
	})
}

// Guards against refusals that don't tell their cause: a tenant above its share must be
// told so, with the time after which to retry.
func TestGateRefusesOverShare(t *testing.T) {
	Convey("A gate that refuses a tenant above its share says so", t, func() {
		g := newGate(1)
		_, ok := g.Enter(Request{Tenant: "large", Deadline: time.Now().Add(time.Hour)})
		So(ok, ShouldBeTrue)
		time.Sleep(100 * time.Millisecond)
		go g.Enter(Request{Tenant: "small", Deadline: time.Now().Add(time.Second)})
		for waiting := 0; waiting < 1; time.Sleep(time.Millisecond) {
			g.mu.Lock()
			waiting = g.queue.Waiting()
			g.mu.Unlock()
		}
		refusal, ok := g.Enter(Request{Tenant: "large", Deadline: time.Now().Add(30 * time.Millisecond)})
		So(ok, ShouldBeFalse)
		So(refusal.Reason, ShouldEqual, outcome.OverShare)
		So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
	})
}
