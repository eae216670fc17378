package backend

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// play offers requests at a rate to a gate before a target that works for a given
// time on slots statements at once, and counts what callers get.
func play(g *Gate, slots int, work, every, aim time.Duration, n int) (inTime, late, refused int, longestRefusal time.Duration) {
	target := make(chan struct{}, slots)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range n {
		time.Sleep(every)
		wg.Go(func() {
			began := time.Now()
			_, ok := g.Enter(Request{Kind: "read", Weight: 1, Deadline: began.Add(aim)})
			if !ok {
				mu.Lock()
				defer mu.Unlock()
				refused++
				longestRefusal = max(longestRefusal, time.Since(began))
				return
			}
			sent := time.Now()
			target <- struct{}{}
			time.Sleep(work)
			<-target
			g.Leave("read", time.Since(sent))
			mu.Lock()
			defer mu.Unlock()
			if time.Since(began) <= aim {
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
	Convey("At half of the capacity nobody is refused", t, func() {
		g := newGate(3)
		g.SetMaxLimit(4)
		inTime, late, refused, _ := play(g, 3, 20*time.Millisecond, 14*time.Millisecond, 300*time.Millisecond, 100)
		So(inTime, ShouldBeGreaterThanOrEqualTo, 98)
		So(late+refused, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("At twice the capacity as many are served in time as the target can serve, and the rest is refused early", t, func() {
		g := newGate(3)
		g.SetMaxLimit(4)
		inTime, late, refused, longest := play(g, 3, 30*time.Millisecond, 5*time.Millisecond, 300*time.Millisecond, 300)
		So(inTime, ShouldBeGreaterThan, 120)
		So(late, ShouldBeLessThan, 15)
		So(refused, ShouldBeGreaterThan, 60)
		So(longest, ShouldBeLessThan, 320*time.Millisecond)
	})
}

func TestGate(t *testing.T) {
	far := time.Now().Add(time.Hour)
	Convey("Statements of open transactions go before all that wait", t, func() {
		g := newGate(1)
		_, ok := g.Enter(Request{Deadline: far})
		So(ok, ShouldBeTrue)
		entered := make(chan struct{})
		go func() {
			g.Enter(Request{Deadline: far})
			close(entered)
		}()
		g.EnterForced()
		select {
		case <-entered:
			t.Fatal("a waiting request entered")
		case <-time.After(20 * time.Millisecond):
		}
		g.LeaveForced()
		g.Leave("", time.Millisecond)
		<-entered
	})
	Convey("Busy answers shrink the bound to the slots, and quiet lets it grow", t, func() {
		g := newGate(2)
		g.SetMaxLimit(4)
		for range 5 {
			g.ReportBusy()
			time.Sleep(shrinkPause + time.Millisecond)
		}
		So(g.limit, ShouldEqual, 2)
		time.Sleep(growInterval)
		_, ok := g.Enter(Request{Deadline: far})
		So(ok, ShouldBeTrue)
		So(g.limit, ShouldEqual, 3)
	})
	Convey("Every place that was taken comes back", t, func() {
		g := newGate(2)
		var running atomic.Int64
		var most atomic.Int64
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				if _, ok := g.Enter(Request{Deadline: time.Now().Add(time.Minute)}); ok {
					most.Store(max(most.Load(), running.Add(1)))
					time.Sleep(time.Millisecond)
					running.Add(-1)
					g.Leave("", time.Millisecond)
				}
			})
		}
		wg.Wait()
		So(most.Load(), ShouldBeLessThanOrEqualTo, 2)
		So(g.queue.Running(), ShouldEqual, 0)
		So(g.waiting, ShouldBeEmpty)
	})
}

// Run with the race detector: the time to come back was read without the lock by a
// request whose time had run out, while another was refused.
func TestGateTimeouts(t *testing.T) {
	Convey("Requests whose time runs out are told when to come back, beside others that are refused", t, func() {
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
				if _, ok := g.Enter(Request{Deadline: time.Now().Add(2 * firstServiceTime)}); ok {
					entered.Add(1)
				}
			})
		}
		time.Sleep(2*firstServiceTime - 5*time.Millisecond)
		for range slots {
			g.Abandon()
			time.Sleep(500 * time.Microsecond)
		}
		wg.Wait()
		So(g.queue.Running(), ShouldEqual, entered.Load())
		So(g.waiting, ShouldBeEmpty)
	})
}
