package admission

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// accountsWith returns accounts with the given claims and weights in order of claim per weight.
func accountsWith(claims, weights []float64) []*account {
	var accounts []*account
	for i, claim := range claims {
		accounts = append(accounts, &account{claim: claim, weight: weights[i]})
	}
	return accounts
}

func TestFairShare(t *testing.T) {
	Convey("Claims below an equal part are granted, and the others share the rest equally", t, func() {
		So(fairShare(accountsWith([]float64{1, 2, 10, 20}, []float64{1, 1, 1, 1}), 13), ShouldEqual, 5)
		So(fairShare(accountsWith([]float64{4, 4, 4}, []float64{1, 1, 1}), 6), ShouldEqual, 2)
		So(fairShare(accountsWith([]float64{1, 2}, []float64{1, 1}), 3), ShouldEqual, math.Inf(1))
		So(fairShare(accountsWith([]float64{1, 2}, []float64{1, 1}), 0), ShouldEqual, 0)
	})
	Convey("With weights, the others share the rest in proportion to them", t, func() {
		// 1 of 13 is granted, and 12 are divided 1:3.
		So(fairShare(accountsWith([]float64{1, 5, 30}, []float64{2, 1, 3}), 13), ShouldEqual, 3)
		So(fairShare(accountsWith([]float64{1, 3, 9}, []float64{2, 1, 3}), 13), ShouldEqual, math.Inf(1))
	})
}

// Guards against declared rates that make a weight zero, infinite or not a number, and
// against weights that outlast a change of the rates.
func TestWeights(t *testing.T) {
	weights := func(rates ...float64) []float64 {
		s := newShares()
		for i, rate := range rates {
			s.declare(s.account(at(0), string(rune('a'+i))), rate)
		}
		s.updateWeights()
		var out []float64
		for _, a := range s.ordered {
			out = append(out, a.weight)
		}
		return out
	}
	Convey("Tenants weigh in proportion to their rates, those without one as the mean", t, func() {
		So(weights(1, 3, 8), ShouldResemble, []float64{0.25, 0.75, 2})
		So(weights(1, math.Inf(1), 3, 0), ShouldResemble, []float64{0.5, 1, 1.5, 1})
		So(weights(0, math.Inf(1)), ShouldResemble, []float64{1, 1})
		for _, w := range weights(math.MaxFloat64, math.SmallestNonzeroFloat64, math.MaxFloat64, math.NaN(), -1) {
			So(w, ShouldBeGreaterThan, 0)
			So(w, ShouldBeLessThan, 10)
		}
	})
	Convey("A changed rate and a forgotten tenant change the weights", t, func() {
		s := newShares()
		a, b := s.account(at(0), "a"), s.account(at(0), "b")
		s.declare(a, 1)
		s.declare(b, 3)
		s.updateWeights()
		So(b.weight, ShouldEqual, 1.5)
		s.declare(b, 1)
		s.updateWeights()
		So(b.weight, ShouldEqual, 1)
		s.declare(b, 3)
		b.held = 1
		s.prune(at(10))
		s.updateWeights()
		So(s.ordered, ShouldResemble, []*account{b})
		So(b.weight, ShouldEqual, 1)
	})
}

// occupy lets a tenant use the only slot of a queue from one time to another.
func occupy(q *Queue, tenant string, from, to int) {
	if d := q.Offer(at(from), Ticket{ID: ID(1_000_000 + from), Tenant: tenant}); d.Verdict != Admitted {
		panic("the slot is not free")
	}
	q.Release(at(to), tenant, "", 10*time.Millisecond)
}

// Guards against a tenant that takes the slot time of the others by sending more.
func TestTenants(t *testing.T) {
	config := Config{Slots: 1, MaxWaiting: 20, ServiceTime: 10 * time.Millisecond}

	Convey("A request of a tenant within its share is not evicted for more valuable ones of a tenant above it", t, func() {
		q := NewQueue(config)
		occupy(q, "large", 0, 300)
		q.Offer(at(300), Ticket{ID: 1, Tenant: "large"})
		So(q.Offer(at(300), Ticket{ID: 2, Tenant: "small", Weight: 1, Deadline: at(345)}).Verdict, ShouldEqual, Queued)
		refused := 0
		for id := ID(3); id < 20; id++ {
			d := q.Offer(at(300), Ticket{ID: id, Tenant: "large", Weight: 9, Deadline: at(344)})
			for _, r := range d.Evicted {
				So(r.ID, ShouldNotEqual, ID(2))
				So(r.Outcome.Reason, ShouldEqual, outcome.OverShare)
				refused++
			}
			if d.Verdict == Refused {
				So(d.Outcome.Reason, ShouldEqual, outcome.OverShare)
				So(d.Outcome.RetryAfter, ShouldBeGreaterThan, 0)
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, 10)
		So(q.Release(at(310), "large", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{2})
	})

	Convey("Tenants above their share are served after the others, and whenever no other waits", t, func() {
		q := NewQueue(config)
		occupy(q, "large", 0, 300)
		q.Offer(at(300), Ticket{ID: 1, Tenant: "large"})
		q.Offer(at(300), Ticket{ID: 2, Tenant: "large", Deadline: at(900)})
		q.Offer(at(300), Ticket{ID: 3, Tenant: "large", Deadline: at(950)})
		q.Offer(at(300), Ticket{ID: 4, Tenant: "small", Deadline: at(1000)})
		So(q.Release(at(310), "large", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{4})
		So(q.Release(at(320), "small", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{2})
		So(q.Release(at(330), "large", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{3})
	})

	Convey("Use is forgotten with time", t, func() {
		q := NewQueue(config)
		occupy(q, "large", 0, 300)
		occupy(q, "other", 10_000, 10_010)
		q.Offer(at(10_010), Ticket{ID: 1, Tenant: "other"})
		So(q.shares.accounts, ShouldHaveLength, 1)
	})

	Convey("Slots held outside the queue count as use", t, func() {
		q := NewQueue(config)
		q.ReportUse(at(0), "transactions", 2)
		occupy(q, "single", 0, 300)
		q.Offer(at(300), Ticket{ID: 1, Tenant: "single"})
		q.Offer(at(300), Ticket{ID: 2, Tenant: "transactions", Deadline: at(900)})
		q.Offer(at(300), Ticket{ID: 3, Tenant: "single", Deadline: at(1000)})
		So(q.Release(at(310), "single", "", 10*time.Millisecond).Admitted, ShouldResemble, []ID{3})
	})

	Convey("The latest start of a request applies only while tenants compete", t, func() {
		for _, other := range []string{"a", "b"} {
			q := NewQueue(config)
			q.Offer(at(0), Ticket{ID: 1, Tenant: other})
			So(q.Offer(at(0), Ticket{ID: 2, Tenant: "a", LatestStart: at(50), Deadline: at(900)}).Verdict, ShouldEqual, Queued)
			c := q.Release(at(60), other, "", 10*time.Millisecond)
			if other == "a" {
				So(c.Admitted, ShouldResemble, []ID{2})
			} else {
				So(c.Refused, ShouldHaveLength, 1)
			}
		}
	})

	Convey("After a refusal, requests of lower value are refused at once", t, func() {
		q := NewQueue(config)
		occupy(q, "large", 0, 300)
		q.Offer(at(300), Ticket{ID: 1, Tenant: "large"})
		q.Offer(at(300), Ticket{ID: 2, Tenant: "small"})
		for id := ID(3); id < 10; id++ {
			q.Offer(at(300), Ticket{ID: id, Tenant: "large", Weight: 4, Deadline: at(340)})
		}
		So(q.Offer(at(301), Ticket{ID: 20, Tenant: "large", Weight: 1, Deadline: at(5000)}).Outcome.Reason, ShouldEqual, outcome.OverShare)
		So(q.Offer(at(301), Ticket{ID: 21, Tenant: "large", Weight: 4, Deadline: at(5000)}).Verdict, ShouldEqual, Queued)
		So(q.Offer(at(301), Ticket{ID: 22, Tenant: "small", Weight: 1, Deadline: at(5000)}).Verdict, ShouldEqual, Queued)
	})
}

// TestTenantAccounts checks on random schedules of several tenants that every ticket ends
// exactly once, that a slot is never free while a ticket waits, and that the accounts hold
// what runs and waits.
func TestTenantAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		q := NewQueue(Config{Slots: slots, MaxWaiting: 12, ServiceTime: 10 * time.Millisecond})
		tenants := []string{"", "a", "b", "c"}
		running, queued := map[ID]string{}, map[ID]string{}
		now := epoch
		end := func(refused []Refusal) {
			for _, r := range refused {
				if _, ok := queued[r.ID]; !ok {
					t.Fatalf("ticket %d is refused but did not wait", r.ID)
				}
				delete(queued, r.ID)
			}
		}
		apply := func(c Change) {
			for _, id := range c.Admitted {
				tenant, ok := queued[id]
				if !ok {
					t.Fatalf("ticket %d runs but did not wait", id)
				}
				delete(queued, id)
				running[id] = tenant
			}
			end(c.Refused)
		}
		for next := ID(1); next <= 80; next++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				tenant := rapid.SampledFrom(tenants).Draw(t, "tenant")
				limit := time.Duration(rapid.IntRange(1, 120).Draw(t, "limit")) * time.Millisecond
				d := q.Offer(now, Ticket{ID: next, Tenant: tenant, Weight: rapid.IntRange(1, 3).Draw(t, "weight"), Deadline: now.Add(limit), LatestStart: now.Add(limit / 2)})
				switch d.Verdict {
				case Admitted:
					running[next] = tenant
				case Queued:
					queued[next] = tenant
				}
				end(d.Evicted)
			case 3:
				for id := ID(1); id < next; id++ {
					if tenant, ok := running[id]; ok {
						delete(running, id)
						apply(q.Release(now, tenant, "", 10*time.Millisecond))
						break
					}
				}
			case 4:
				apply(q.Expire(now))
			}
			if len(running) != q.Running() || len(queued) != q.Waiting() || len(running) > slots {
				t.Fatalf("running %d (%d), waiting %d (%d), slots %d", len(running), q.Running(), len(queued), q.Waiting(), slots)
			}
			if len(running) < slots && len(queued) > 0 {
				t.Fatalf("%d run on %d slots while %d wait", len(running), slots, len(queued))
			}
			for _, a := range q.shares.accounts {
				held, waiting := 0, 0
				for _, tenant := range running {
					if tenant == a.tenant {
						held++
					}
				}
				for _, tenant := range queued {
					if tenant == a.tenant {
						waiting++
					}
				}
				if a.held != float64(held) || a.waiting != waiting {
					t.Fatalf("tenant %q: held %v (%d), waiting %d (%d)", a.tenant, a.held, held, a.waiting, waiting)
				}
			}
		}
	})
}
