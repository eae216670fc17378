package group

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
	. "github.com/smartystreets/goconvey/convey"
)

// atMs returns the time n milliseconds after the start of the simulation.
func atMs(n int) time.Time { return simStart.Add(time.Duration(n) * time.Millisecond) }

// joinedStatus returns the status of an instance that has joined term 1 and whose log ends
// at index. Instance a is the primary.
func joinedStatus(name string, index uint64) target.Status {
	p := position.Position{Term: 1, Index: index}
	return target.Status{Target: name, Primary: name == "a", Fence: 1, Joined: 1, Last: p, Applied: p}
}

// TestConfirmer guards against batches that are confirmed by a status from before their
// end or in another term, and against wrong replica ages.
func TestConfirmer(t *testing.T) {
	Convey("Three batches that have ended", t, func() {
		c := NewConfirmer(simGroup, 0)
		for i := range 3 {
			b := Batch{ID: BatchID(i), Term: 1, Started: atMs(i), Ended: atMs(i + 1), StatusAfter: joinedStatus("a", uint64(i+1))}
			So(c.Add(b).Verdict, ShouldEqual, Waiting)
		}
		names, _ := c.DueCalls(atMs(3))
		So(names, ShouldResemble, []string{"b", "c"})
		again, _ := c.DueCalls(atMs(3))
		So(again, ShouldBeEmpty)
		Convey("are confirmed by one status call", func() {
			So(c.Observe(Observation{Status: joinedStatus("b", 3), CallStarted: atMs(3), CallEnded: atMs(4)}), ShouldHaveLength, 3)
			So(c.WaitingCount(), ShouldEqual, 0)
			p, _ := c.LastConfirmed()
			So(p.Index, ShouldEqual, 3)
		})
		Convey("are not all confirmed by a call that started before they ended", func() {
			d := c.Observe(Observation{Status: joinedStatus("b", 3), CallStarted: atMs(2), CallEnded: atMs(9)})
			So(d, ShouldHaveLength, 2)
			So(c.WaitingCount(), ShouldEqual, 1)
		})
		Convey("are deposed once a majority is fenced at a later term", func() {
			fenced := joinedStatus("b", 2)
			fenced.Fence = 2
			So(c.Observe(Observation{Status: fenced, CallStarted: atMs(3)}), ShouldBeEmpty)
			fenced.Target = "c"
			d := c.Observe(Observation{Status: fenced, CallStarted: atMs(3)})
			So(d, ShouldHaveLength, 3)
			So(d[0].Verdict, ShouldEqual, Deposed)
		})
	})
	Convey("A batch is deposed if its instance leads another term afterwards", t, func() {
		after := joinedStatus("a", 1)
		after.Fence, after.Joined, after.Last.Term = 3, 3, 3
		So(NewConfirmer(simGroup, 0).Add(Batch{Term: 1, StatusAfter: after}).Verdict, ShouldEqual, Deposed)
	})
	Convey("The age of a replica is that of the latest confirmed position that it covers", t, func() {
		c := NewConfirmer(simGroup, 0)
		for i := range 3 {
			c.Add(Batch{Term: 1, Started: atMs(10 * i), Ended: atMs(10 * i), StatusAfter: joinedStatus("a", uint64(i+1))})
			c.Observe(Observation{Status: joinedStatus("b", uint64(i+1)), CallStarted: atMs(10*i + 1)})
		}
		c.Observe(Observation{Status: joinedStatus("c", 2), CallStarted: atMs(30)})
		r, _ := c.Replica("c", atMs(50))
		So(r.Age, ShouldEqual, 40*time.Millisecond)
		unknown, _ := NewConfirmer(simGroup, 0).Replica("c", atMs(50))
		So(unknown.Age, ShouldEqual, UnknownAge)
	})
}

// TestConfirmerAllocations guards against allocations on the path of each write.
func TestConfirmerAllocations(t *testing.T) {
	c := NewConfirmer(simGroup, 0)
	i := uint64(0)
	one := func() {
		i++
		at := simStart.Add(time.Duration(i) * time.Millisecond)
		c.Add(Batch{ID: BatchID(i), Term: 1, Started: at, Ended: at, StatusAfter: joinedStatus("a", i)})
		c.Observe(Observation{Status: joinedStatus("b", i), CallStarted: at, CallEnded: at})
	}
	if n := testing.AllocsPerRun(1000, one); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// TestPromotionClaim guards against two promotions in the same term and against fences
// without a claimed term, when the answer to a claim is lost, a rival promotion claims the
// term or the store is down.
func TestPromotionClaim(t *testing.T) {
	Convey("A promotion that has read term 1", t, func() {
		p := NewPromotion(PromotionSettings{Electorate: simGroup, HighestTerm: 1, Nonce: "mine"})
		read := p.Start(atMs(0))[0]
		claim := p.Handle(atMs(1), Result{Command: read, Object: TermObject{Term: 1, Electorate: simGroup}, Version: 7})[0]
		So(claim.Object.Term, ShouldEqual, 2)
		So(claim.Version, ShouldEqual, 7)
		Convey("reads an unclear claim back and continues if it took effect", func() {
			back := p.Handle(atMs(2), Result{Command: claim, Err: store.ErrOutcomeUnknown})[0]
			So(back.Kind, ShouldEqual, CommandReadTerm)
			fences := p.Handle(atMs(3), Result{Command: back, Object: claim.Object, Version: 8})
			So(fences, ShouldHaveLength, 3)
			So(fences[0].Kind, ShouldEqual, CommandFence)
		})
		Convey("claims the same term again if the claim did not take effect", func() {
			back := p.Handle(atMs(2), Result{Command: claim, Err: store.ErrOutcomeUnknown})[0]
			again := p.Handle(atMs(3), Result{Command: back, Object: TermObject{Term: 1}, Version: 7})
			So(again, ShouldResemble, []Command{claim})
		})
		Convey("backs off from a rival and then claims a later term", func() {
			rival := TermObject{Term: 2, Electorate: simGroup, Claimant: "other"}
			lost := Result{Command: claim, Err: &store.ConflictError{}, Object: rival, Version: 8}
			So(p.Handle(atMs(2), lost), ShouldBeEmpty)
			So(p.Phase(), ShouldEqual, PhaseBackingOff)
			read := p.Tick(p.NextTick())[0]
			next := p.Handle(atMs(900), Result{Command: read, Object: rival, Version: 8})[0]
			So(next.Object.Term, ShouldEqual, 3)
		})
		Convey("backs off from a rival whose fence was observed before the claim was read", func() {
			rival := TermObject{Term: 2, Electorate: simGroup, Claimant: "other"}
			for _, suspected := range []position.Term{0, 1} {
				q := NewPromotion(PromotionSettings{Electorate: simGroup, HighestTerm: 2, SuspectedTerm: suspected, Nonce: "mine"})
				read := q.Start(atMs(0))[0]
				So(q.Handle(atMs(1), Result{Command: read, Object: rival, Version: 8}), ShouldBeEmpty)
				So(q.Phase(), ShouldEqual, PhaseBackingOff)
			}
		})
		Convey("is not superseded after it may have fenced an instance, unless a later term is open", func() {
			back := Primary{Name: "a", Term: 1, Open: true}
			So(p.IsSupersededBy(back), ShouldBeTrue)
			fence := p.Handle(atMs(2), Result{Command: claim, Object: claim.Object, Version: 8})[0]
			So(fence.Kind, ShouldEqual, CommandFence)
			So(p.IsSupersededBy(back), ShouldBeFalse)
			So(p.IsSupersededBy(Primary{Name: "b", Term: 3, Open: true}), ShouldBeTrue)
		})
		Convey("fences no instance while the store is down", func() {
			for i := range 100 {
				So(p.Handle(atMs(2+i), Result{Command: claim, Err: store.ErrUnavailable}), ShouldBeEmpty)
			}
			So(p.Phase(), ShouldEqual, PhaseClaiming)
		})
	})
}

// TestPrimaryView guards against a primary that is still considered valid after another one
// may have been promoted.
func TestPrimaryView(t *testing.T) {
	Convey("A primary whose term is open", t, func() {
		v := NewPrimaryView(simGroup)
		for _, name := range simGroup {
			v.Observe(Observation{Status: joinedStatus(name, 1), CallStarted: atMs(1)})
		}
		So(v.Primary().Name, ShouldEqual, "a")
		So(v.Primary().Open, ShouldBeTrue)
		fenced := joinedStatus("b", 1)
		fenced.Fence = 2
		v.Observe(Observation{Status: fenced, CallStarted: atMs(2)})
		Convey("stays valid while only a minority is fenced at a later term", func() {
			So(v.Primary().Name, ShouldEqual, "a")
			So(v.FollowActions(), ShouldBeEmpty)
			So(v.HasLaterFence(), ShouldBeTrue)
		})
		Convey("is not valid once a majority is fenced at a later term", func() {
			fenced.Target = "c"
			v.Observe(Observation{Status: fenced, CallStarted: atMs(3)})
			So(v.Primary().Name, ShouldEqual, "")
		})
		Convey("is not valid once an entry of a later term is observed", func() {
			fenced.Joined, fenced.Last.Term = 2, 2
			v.Observe(Observation{Status: fenced, CallStarted: atMs(3)})
			So(v.Primary().Name, ShouldEqual, "")
		})
	})
}

// TestSettle guards against requests that are reported as not run although they may still
// be executed.
func TestSettle(t *testing.T) {
	open := Primary{Name: "a", Term: 2, Open: true}
	absent := RecordLookup{Term: 2, Read: true}
	Convey("An unclear request", t, func() {
		u := UnresolvedRequest{HasID: true, Term: 1, ConnectionTerm: 1}
		So(Settle(UnresolvedRequest{Term: 1}, open, absent), ShouldEqual, StepUnknown)
		So(Settle(u, Primary{Name: "a", Term: 2}, absent), ShouldEqual, StepWait)
		So(Settle(u, open, RecordLookup{Term: 1, Read: true}), ShouldEqual, StepReadRecord)
		So(Settle(u, open, absent), ShouldEqual, StepNotRun)
		So(Settle(u, open, RecordLookup{Term: 2, Read: true, Found: true}), ShouldEqual, StepDone)
		Convey("may still be executed on a connection that the term does not fence", func() {
			u.ConnectionTerm = 2
			So(Settle(u, open, absent), ShouldEqual, StepTerminate)
			u.ConnectionTerm = 0
			So(Settle(u, open, absent), ShouldEqual, StepTerminate)
			u.ConnectionEnded = true
			So(Settle(u, open, absent), ShouldEqual, StepNotRun)
		})
	})
}
