package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

func TestQueue(t *testing.T) {
	config := Config{Slots: 1, MaxWaiting: 3, ServiceTime: 10 * time.Millisecond}

	Convey("A free slot is assigned at once", t, func() {
		q := NewQueue(config)
		So(q.Offer(at(0), Ticket{ID: 1}).Verdict, ShouldEqual, Admitted)
		So(q.Offer(at(0), Ticket{ID: 2}).Verdict, ShouldEqual, Queued)
		So(q.Release(at(10), "", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{2})
	})

	Convey("The ticket with the earliest deadline runs first", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		q.Offer(at(0), Ticket{ID: 2, Deadline: at(200)})
		q.Offer(at(0), Ticket{ID: 3, Deadline: at(100)})
		So(q.Release(at(10), "", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{3})
	})

	Convey("A request that can't meet its deadline is refused at once", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		d := q.Offer(at(0), Ticket{ID: 2, Deadline: at(15)})
		So(d.Verdict, ShouldEqual, Refused)
		So(d.Outcome.Reason, ShouldEqual, outcome.TooLate)
		So(d.Outcome.RetryAfter, ShouldBeGreaterThan, 0)
	})

	Convey("A request with more weight evicts one with less", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		So(q.Offer(at(0), Ticket{ID: 2, Weight: 1, Deadline: at(25)}).Verdict, ShouldEqual, Queued)
		d := q.Offer(at(0), Ticket{ID: 3, Weight: 2, Deadline: at(25)})
		So(d.Verdict, ShouldEqual, Queued)
		So(d.Evicted, ShouldHaveLength, 1)
		So(d.Evicted[0].ID, ShouldEqual, ID(2))
	})

	Convey("The number of waiting requests is bounded", t, func() {
		q := NewQueue(config)
		for id := range 4 {
			So(q.Offer(at(0), Ticket{ID: ID(id)}).Verdict, ShouldNotEqual, Refused)
		}
		d := q.Offer(at(0), Ticket{ID: 9})
		So(d.Outcome.Reason, ShouldEqual, outcome.QueueFull)
		So(q.Waiting(), ShouldEqual, 3)
	})

	Convey("Refused callers get different retry delays", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		first := q.Offer(at(0), Ticket{ID: 2, Deadline: at(11)})
		second := q.Offer(at(0), Ticket{ID: 3, Deadline: at(11)})
		So(second.Outcome.RetryAfter-first.Outcome.RetryAfter, ShouldEqual, 10*time.Millisecond)
	})

	Convey("A waiting request that can no longer meet its deadline is refused", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		q.Offer(at(0), Ticket{ID: 2, Deadline: at(30)})
		expiry, ok := q.NextExpiry()
		So(ok, ShouldBeTrue)
		So(expiry, ShouldEqual, at(20))
		c := q.Expire(at(21))
		So(c.Refused, ShouldHaveLength, 1)
		So(q.Waiting(), ShouldEqual, 0)
	})

	Convey("One slow request does not block the queue permanently", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		q.Release(at(60_000), "", "", time.Minute)
		d := q.Offer(at(60_000), Ticket{ID: 2, Deadline: at(60_050)})
		So(d.Verdict, ShouldEqual, Admitted)
	})

	Convey("Among requests of equal weight, the one with the longest service time is evicted", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1, Kind: "long"})
		q.Release(at(40), "", "long", 40*time.Millisecond)
		q.Offer(at(40), Ticket{ID: 2, Kind: "short"})
		q.Release(at(50), "", "short", 10*time.Millisecond)
		q.Offer(at(50), Ticket{ID: 3, Kind: "short"})
		So(q.Offer(at(50), Ticket{ID: 4, Kind: "long", Deadline: at(110)}).Verdict, ShouldEqual, Queued)
		d := q.Offer(at(50), Ticket{ID: 5, Kind: "short", Deadline: at(90)})
		So(d.Verdict, ShouldEqual, Queued)
		So(d.Evicted, ShouldHaveLength, 1)
		So(d.Evicted[0].ID, ShouldEqual, ID(4))
	})

	Convey("The number of slots can decrease and increase", t, func() {
		q := NewQueue(config)
		q.Offer(at(0), Ticket{ID: 1})
		q.Offer(at(0), Ticket{ID: 2})
		So(q.Resize(at(1), 0).Admitted, ShouldBeEmpty)
		So(q.Release(at(2), "", "", time.Millisecond).Admitted, ShouldBeEmpty)
		So(q.Resize(at(3), 2).Admitted, ShouldResemble, []ID{2})
	})
}

// TestQueueAccounts checks on random schedules that no more tickets run than there are
// slots and that every ticket ends exactly once.
func TestQueueAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 4).Draw(t, "slots")
		q := NewQueue(Config{Slots: slots, MaxWaiting: 5, ServiceTime: 10 * time.Millisecond})
		running := map[ID]bool{}
		queued := map[ID]bool{}
		now := epoch
		apply := func(c Change) {
			for _, id := range c.Admitted {
				if !queued[id] {
					t.Fatalf("ticket %d runs but did not wait", id)
				}
				delete(queued, id)
				running[id] = true
			}
			for _, r := range c.Refused {
				if !queued[r.ID] {
					t.Fatalf("ticket %d is refused but did not wait", r.ID)
				}
				delete(queued, r.ID)
			}
		}
		for next := ID(1); next <= 60; next++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				limit := time.Duration(rapid.IntRange(1, 80).Draw(t, "limit")) * time.Millisecond
				d := q.Offer(now, Ticket{ID: next, Weight: rapid.IntRange(1, 2).Draw(t, "weight"), Deadline: now.Add(limit)})
				for _, r := range d.Evicted {
					if !queued[r.ID] {
						t.Fatalf("ticket %d is evicted but did not wait", r.ID)
					}
					delete(queued, r.ID)
				}
				switch d.Verdict {
				case Admitted:
					running[next] = true
				case Queued:
					queued[next] = true
				}
			case 2:
				if len(running) > 0 {
					for id := range running {
						delete(running, id)
						break
					}
					apply(q.Release(now, "", "", 10*time.Millisecond))
				}
			case 3:
				apply(q.Expire(now))
			}
			if len(running) > slots || len(running) != q.Running() || len(queued) != q.Waiting() {
				t.Fatalf("running %d (%d), waiting %d (%d), slots %d", len(running), q.Running(), len(queued), q.Waiting(), slots)
			}
		}
	})
}

func TestBudget(t *testing.T) {
	Convey("Retries are limited to a share of the requests, plus a reserve", t, func() {
		b := NewRetryBudget(at(0))
		for range int(DefaultRetryReserve) {
			So(b.AllowRetry(at(0)), ShouldBeTrue)
		}
		So(b.AllowRetry(at(0)), ShouldBeFalse)
		for range 11 {
			b.RecordRequest(at(0))
		}
		So(b.AllowRetry(at(0)), ShouldBeTrue)
		So(b.AllowRetry(at(0)), ShouldBeFalse)
		So(b.AllowRetry(at(200)), ShouldBeTrue)
	})
}
