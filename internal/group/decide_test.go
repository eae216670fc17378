package group

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
	. "github.com/smartystreets/goconvey/convey"
)

func ms(n int) time.Time { return simStart.Add(time.Duration(n) * time.Millisecond) }

// standing is the status of an instance that has joined term 1.
func standing(name string, index uint64) target.Status {
	p := position.Position{Term: 1, Index: index}
	return target.Status{Target: name, Primary: name == "a", Fence: 1, Joined: 1, Last: p, Applied: p}
}

func TestConfirmer(t *testing.T) {
	Convey("Three batches that have ended", t, func() {
		c := NewConfirmer(simGroup, 0)
		for i := range 3 {
			b := Batch{ID: BatchID(i), Term: 1, Started: ms(i), Ended: ms(i + 1), StatusAfter: standing("a", uint64(i+1))}
			So(c.Add(b).Verdict, ShouldEqual, Waiting)
		}
		names, _ := c.DueCalls(ms(3))
		So(names, ShouldResemble, []string{"b", "c"})
		again, _ := c.DueCalls(ms(3))
		So(again, ShouldBeEmpty)
		Convey("are confirmed by one round", func() {
			So(c.Observe(Observation{Status: standing("b", 3), CallStarted: ms(3), CallEnded: ms(4)}), ShouldHaveLength, 3)
			So(c.WaitingCount(), ShouldEqual, 0)
			p, _ := c.LastConfirmed()
			So(p.Index, ShouldEqual, 3)
		})
		Convey("are not served by a call that started before they ended", func() {
			d := c.Observe(Observation{Status: standing("b", 3), CallStarted: ms(2), CallEnded: ms(9)})
			So(d, ShouldHaveLength, 2)
			So(c.WaitingCount(), ShouldEqual, 1)
		})
		Convey("are deposed once a majority stands at a later term", func() {
			fenced := standing("b", 2)
			fenced.Fence = 2
			So(c.Observe(Observation{Status: fenced, CallStarted: ms(3)}), ShouldBeEmpty)
			fenced.Target = "c"
			d := c.Observe(Observation{Status: fenced, CallStarted: ms(3)})
			So(d, ShouldHaveLength, 3)
			So(d[0].Verdict, ShouldEqual, Deposed)
		})
	})
	Convey("A batch whose instance led another term behind it is deposed", t, func() {
		after := standing("a", 1)
		after.Fence, after.Joined, after.Last.Term = 3, 3, 3
		So(NewConfirmer(simGroup, 0).Add(Batch{Term: 1, StatusAfter: after}).Verdict, ShouldEqual, Deposed)
	})
	Convey("A replica is as old as the latest confirmed position that it covers", t, func() {
		c := NewConfirmer(simGroup, 0)
		for i := range 3 {
			c.Add(Batch{Term: 1, Started: ms(10 * i), Ended: ms(10 * i), StatusAfter: standing("a", uint64(i+1))})
			c.Observe(Observation{Status: standing("b", uint64(i+1)), CallStarted: ms(10*i + 1)})
		}
		c.Observe(Observation{Status: standing("c", 2), CallStarted: ms(30)})
		r, _ := c.Replica("c", ms(50))
		So(r.Age, ShouldEqual, 40*time.Millisecond)
		unknown, _ := NewConfirmer(simGroup, 0).Replica("c", ms(50))
		So(unknown.Age, ShouldEqual, UnknownAge)
	})
}

func TestConfirmerAllocations(t *testing.T) {
	c := NewConfirmer(simGroup, 0)
	i := uint64(0)
	one := func() {
		i++
		at := simStart.Add(time.Duration(i) * time.Millisecond)
		c.Add(Batch{ID: BatchID(i), Term: 1, Started: at, Ended: at, StatusAfter: standing("a", i)})
		c.Observe(Observation{Status: standing("b", i), CallStarted: at, CallEnded: at})
	}
	if n := testing.AllocsPerRun(1000, one); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func TestPromotionClaim(t *testing.T) {
	Convey("A promotion that has read term 1", t, func() {
		p := NewPromotion(PromotionSettings{Electorate: simGroup, HighestTerm: 1, Nonce: "mine"})
		read := p.Start(ms(0))[0]
		claim := p.Handle(ms(1), Result{Command: read, Object: TermObject{Term: 1, Electorate: simGroup}, Version: 7})[0]
		So(claim.Object.Term, ShouldEqual, 2)
		So(claim.Version, ShouldEqual, 7)
		Convey("reads an unclear claim back and goes on if it took effect", func() {
			back := p.Handle(ms(2), Result{Command: claim, Err: store.ErrUnclear})[0]
			So(back.Kind, ShouldEqual, CommandReadTerm)
			fences := p.Handle(ms(3), Result{Command: back, Object: claim.Object, Version: 8})
			So(fences, ShouldHaveLength, 3)
			So(fences[0].Kind, ShouldEqual, CommandFence)
		})
		Convey("claims the same term again if it did not", func() {
			back := p.Handle(ms(2), Result{Command: claim, Err: store.ErrUnclear})[0]
			again := p.Handle(ms(3), Result{Command: back, Object: TermObject{Term: 1}, Version: 7})
			So(again, ShouldResemble, []Command{claim})
		})
		Convey("backs off from a rival, and claims a later term after that", func() {
			rival := TermObject{Term: 2, Electorate: simGroup, Claimant: "other"}
			lost := Result{Command: claim, Err: &store.ConflictError{}, Object: rival, Version: 8}
			So(p.Handle(ms(2), lost), ShouldBeEmpty)
			So(p.Phase(), ShouldEqual, PhaseBackingOff)
			read := p.Tick(p.NextTick())[0]
			next := p.Handle(ms(900), Result{Command: read, Object: rival, Version: 8})[0]
			So(next.Object.Term, ShouldEqual, 3)
		})
		Convey("leaves a rival its time also when the rival's fence was seen before", func() {
			rival := TermObject{Term: 2, Electorate: simGroup, Claimant: "other"}
			for _, suspected := range []position.Term{0, 1} {
				q := NewPromotion(PromotionSettings{Electorate: simGroup, HighestTerm: 2, SuspectedTerm: suspected, Nonce: "mine"})
				read := q.Start(ms(0))[0]
				So(q.Handle(ms(1), Result{Command: read, Object: rival, Version: 8}), ShouldBeEmpty)
				So(q.Phase(), ShouldEqual, PhaseBackingOff)
			}
		})
		Convey("goes on once it may have fenced an instance, unless a later term is open", func() {
			back := Primary{Name: "a", Term: 1, Open: true}
			So(p.IsSupersededBy(back), ShouldBeTrue)
			fence := p.Handle(ms(2), Result{Command: claim, Object: claim.Object, Version: 8})[0]
			So(fence.Kind, ShouldEqual, CommandFence)
			So(p.IsSupersededBy(back), ShouldBeFalse)
			So(p.IsSupersededBy(Primary{Name: "b", Term: 3, Open: true}), ShouldBeTrue)
		})
		Convey("fences nobody while the store is down", func() {
			for i := range 100 {
				So(p.Handle(ms(2+i), Result{Command: claim, Err: store.ErrUnavailable}), ShouldBeEmpty)
			}
			So(p.Phase(), ShouldEqual, PhaseClaiming)
		})
	})
}

func TestPrimaryView(t *testing.T) {
	Convey("A primary whose term is open", t, func() {
		v := NewPrimaryView(simGroup)
		for _, name := range simGroup {
			v.Observe(Observation{Status: standing(name, 1), CallStarted: ms(1)})
		}
		So(v.Primary().Name, ShouldEqual, "a")
		So(v.Primary().Open, ShouldBeTrue)
		fenced := standing("b", 1)
		fenced.Fence = 2
		v.Observe(Observation{Status: fenced, CallStarted: ms(2)})
		Convey("stays rightful while a minority is fenced, which it can't lead any more", func() {
			So(v.Primary().Name, ShouldEqual, "a")
			So(v.FollowActions(), ShouldBeEmpty)
			So(v.HasLaterFence(), ShouldBeTrue)
		})
		Convey("is none once a majority is", func() {
			fenced.Target = "c"
			v.Observe(Observation{Status: fenced, CallStarted: ms(3)})
			So(v.Primary().Name, ShouldEqual, "")
		})
		Convey("is none once an entry of a later term is seen", func() {
			fenced.Joined, fenced.Last.Term = 2, 2
			v.Observe(Observation{Status: fenced, CallStarted: ms(3)})
			So(v.Primary().Name, ShouldEqual, "")
		})
	})
}

func TestSettle(t *testing.T) {
	open := Primary{Name: "a", Term: 2, Open: true}
	absent := RecordLookup{Term: 2, Read: true}
	Convey("An unclear request", t, func() {
		u := UnclearRequest{HasID: true, Term: 1, ConnectionTerm: 1}
		So(Settle(UnclearRequest{Term: 1}, open, absent), ShouldEqual, StepUnknown)
		So(Settle(u, Primary{Name: "a", Term: 2}, absent), ShouldEqual, StepWait)
		So(Settle(u, open, RecordLookup{Term: 1, Read: true}), ShouldEqual, StepReadRecord)
		So(Settle(u, open, absent), ShouldEqual, StepNotRun)
		So(Settle(u, open, RecordLookup{Term: 2, Read: true, Found: true}), ShouldEqual, StepDone)
		Convey("may still run on a connection that the term outlasts not", func() {
			u.ConnectionTerm = 2
			So(Settle(u, open, absent), ShouldEqual, StepTerminate)
			u.ConnectionTerm = 0
			So(Settle(u, open, absent), ShouldEqual, StepTerminate)
			u.ConnectionEnded = true
			So(Settle(u, open, absent), ShouldEqual, StepNotRun)
		})
	})
}
