package leadership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// reached returns an observation of a target that answered.
func reached(id string, primary bool, term position.Term, index uint64) Observation {
	return Observation{ID: id, Reached: true, Status: query.TargetStatus{
		Primary: primary, Term: term, Received: position.Position{Term: term, Index: index},
	}}
}

func TestFindLeader(t *testing.T) {
	Convey("The primary of the highest term is the leader", t, func() {
		l, ok := FindLeader([]Observation{reached("p", true, 1, 9), reached("a", true, 2, 7), reached("b", false, 2, 7)}, 0)
		So(ok, ShouldBeTrue)
		So(l, ShouldResemble, Leader{ID: "a", Term: 2})
	})
	Convey("There is no leader while a higher term is held or known", t, func() {
		held := reached("b", false, 1, 7)
		held.Status.Held = 2
		_, ok := FindLeader([]Observation{reached("p", true, 1, 9), held}, 0)
		So(ok, ShouldBeFalse)
		_, ok = FindLeader([]Observation{reached("p", true, 1, 9)}, 2)
		So(ok, ShouldBeFalse)
	})
}

func TestPromotionDue(t *testing.T) {
	last := Leader{ID: "p", Term: 1}
	unreachable := func(refused bool, failingFor time.Duration) []Observation {
		return []Observation{{ID: "p", Refused: refused, FailingFor: failingFor}, reached("a", false, 1, 3)}
	}
	draining := reached("p", true, 1, 3)
	draining.Draining = true
	cases := []struct {
		name       string
		targets    []Observation
		known      position.Term
		leaderless time.Duration
		want       Reason
	}{
		{"leader not draining", []Observation{reached("p", true, 1, 3)}, 1, time.Hour, NotNeeded},
		{"leader draining", []Observation{draining}, 1, 0, PrimaryLeaving},
		{"primary silent for less than SilentAfter", unreachable(false, 300*time.Millisecond), 1, time.Second, NotNeeded},
		{"primary silent for longer than SilentAfter", unreachable(false, 500*time.Millisecond), 1, time.Second, PrimaryUnreachable},
		{"primary refusing for less than RefusedAfter", unreachable(true, 10*time.Millisecond), 1, time.Second, NotNeeded},
		{"primary refusing for longer than RefusedAfter", unreachable(true, 150*time.Millisecond), 1, time.Second, PrimaryUnreachable},
		{"primary not in the list", []Observation{reached("a", false, 1, 3)}, 1, 0, PrimaryUnlisted},
		{"promotion in progress", unreachable(false, time.Second), 2, time.Second, NotNeeded},
		{"promotion stalled", unreachable(false, time.Second), 2, 2 * time.Second, PromotionStalled},
		{"only replicas", []Observation{reached("p", false, 1, 3), reached("a", false, 1, 3)}, 1, 2 * time.Second, NoPrimaryFound},
	}
	Convey("PromotionDue returns the reason", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(PromotionDue(c.targets, last, c.known, c.leaderless, DefaultPolicy), ShouldEqual, c.want)
			})
		}
	})
}

func TestSelect(t *testing.T) {
	draining := reached("c", false, 1, 99)
	draining.Draining = true
	targets := []Observation{{ID: "p"}, reached("b", false, 1, 7), reached("a", false, 1, 7), reached("d", false, 1, 5), draining}
	candidates := func(targets []Observation, syncReplicas int, except ...string) Candidates {
		c := Candidates{Targets: targets, Except: map[string]bool{}, SyncReplicas: syncReplicas, Prefer: func(a, b string) bool { return a < b }}
		for _, id := range except {
			c.Except[id] = true
		}
		return c
	}
	Convey("The target with the longest log that is not draining is selected; Prefer decides between equal logs", t, func() {
		id, ok := candidates(targets, 0).Select()
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, "a")
		id, _ = candidates(targets, 0, "a", "b").Select()
		So(id, ShouldEqual, "d")
		_, ok = candidates(targets[:1], 0).Select()
		So(ok, ShouldBeFalse)
	})
	Convey("A target that has joined a later term is preferred to one with a longer log, and an excepted one is passed over", t, func() {
		joined := reached("e", false, 2, 0)
		joined.Status.Received = position.Position{Term: 1, Index: 3}
		withJoined := append([]Observation{joined}, targets...)
		id, _ := candidates(withJoined, 0).Select()
		So(id, ShouldEqual, "e")
		id, ok := candidates(withJoined, 0, "e").Select()
		So(ok, ShouldBeTrue)
		So(id, ShouldNotEqual, "e")
		_, ok = candidates([]Observation{joined}, 0, "e").Select()
		So(ok, ShouldBeFalse)
	})
	Convey("With synchronous replicas, a draining target is selected if only it has the longest log", t, func() {
		id, _ := candidates(targets, 1).Select()
		So(id, ShouldEqual, "c")
		id, _ = candidates(targets, 1, "c").Select()
		So(id, ShouldEqual, "a")
		sameLog := draining
		sameLog.Status.Received.Index = 7
		id, _ = candidates([]Observation{sameLog, targets[1]}, 1).Select()
		So(id, ShouldEqual, "b")
		id, _ = candidates([]Observation{targets[1], sameLog}, 1).Select()
		So(id, ShouldEqual, "b")
	})
}

func TestHoldsSuffice(t *testing.T) {
	held := func(id string, term position.Term) Observation {
		o := reached(id, false, 1, 3)
		o.Status.Held = term
		return o
	}
	Convey("Every target except the old primary must be held or run no process", t, func() {
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), held("b", 2)}, "p", 2, 0), ShouldBeTrue)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), {ID: "b", Refused: true}}, "p", 2, 0), ShouldBeTrue)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), {ID: "b"}}, "p", 2, 0), ShouldBeFalse)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), held("b", 0)}, "p", 2, 0), ShouldBeFalse)
		So(HoldsSuffice([]Observation{{ID: "p"}, {ID: "b", Refused: true}}, "p", 2, 0), ShouldBeFalse)
	})
	Convey("With synchronous replicas, a replica that has every acknowledged commit must be held", t, func() {
		crashed := Observation{ID: "b", Refused: true}
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), held("b", 2)}, "p", 2, 1), ShouldBeTrue)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), crashed}, "p", 2, 1), ShouldBeFalse)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), crashed}, "p", 2, 2), ShouldBeTrue)
	})
}
