package leadership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

func seen(id string, primary bool, term position.Term, index uint64) Observation {
	return Observation{ID: id, Reached: true, Status: query.TargetStatus{
		Primary: primary, Term: term, Received: position.Position{Term: term, Index: index},
	}}
}

func TestFindLeader(t *testing.T) {
	Convey("The primary of the highest term leads", t, func() {
		l, ok := FindLeader([]Observation{seen("p", true, 1, 9), seen("a", true, 2, 7), seen("b", false, 2, 7)}, 0)
		So(ok, ShouldBeTrue)
		So(l, ShouldResemble, Leader{ID: "a", Term: 2})
	})
	Convey("Nobody leads while a higher term is held or known", t, func() {
		held := seen("b", false, 1, 7)
		held.Status.Held = 2
		_, ok := FindLeader([]Observation{seen("p", true, 1, 9), held}, 0)
		So(ok, ShouldBeFalse)
		_, ok = FindLeader([]Observation{seen("p", true, 1, 9)}, 2)
		So(ok, ShouldBeFalse)
	})
}

func TestDue(t *testing.T) {
	last := Leader{ID: "p", Term: 1}
	silent := func(refused bool, for_ time.Duration) []Observation {
		return []Observation{{ID: "p", Refused: refused, FailingFor: for_}, seen("a", false, 1, 3)}
	}
	draining := seen("p", true, 1, 3)
	draining.Draining = true
	cases := []struct {
		name       string
		targets    []Observation
		known      position.Term
		leaderless time.Duration
		want       Reason
	}{
		{"a leader that stays", []Observation{seen("p", true, 1, 3)}, 1, time.Hour, NotNeeded},
		{"a leader that leaves", []Observation{draining}, 1, 0, PrimaryLeaving},
		{"silence within bounds", silent(false, 300*time.Millisecond), 1, time.Second, NotNeeded},
		{"silence", silent(false, 500*time.Millisecond), 1, time.Second, PrimaryUnreachable},
		{"one refusal", silent(true, 10*time.Millisecond), 1, time.Second, NotNeeded},
		{"refusals", silent(true, 150*time.Millisecond), 1, time.Second, PrimaryUnreachable},
		{"gone from the list", []Observation{seen("a", false, 1, 3)}, 1, 0, PrimaryUnlisted},
		{"promotion under way", silent(false, time.Second), 2, time.Second, NotNeeded},
		{"promotion stalled", silent(false, time.Second), 2, 2 * time.Second, PromotionStalled},
		{"only replicas", []Observation{seen("p", false, 1, 3), seen("a", false, 1, 3)}, 1, 2 * time.Second, NoPrimaryFound},
	}
	Convey("A promotion is due", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(PromotionDue(c.targets, last, c.known, c.leaderless, DefaultPolicy), ShouldEqual, c.want)
			})
		}
	})
}

func TestCandidate(t *testing.T) {
	near := func(a, b string) bool { return a < b }
	leaving := seen("c", false, 1, 99)
	leaving.Draining = true
	targets := []Observation{{ID: "p"}, seen("b", false, 1, 7), seen("a", false, 1, 7), seen("d", false, 1, 5), leaving}
	Convey("The longest log that stays is promoted, the nearer of equals", t, func() {
		id, ok := SelectCandidate(targets, nil, near)
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, "a")
		id, _ = SelectCandidate(targets, map[string]bool{"a": true, "b": true}, near)
		So(id, ShouldEqual, "d")
		_, ok = SelectCandidate(targets[:1], nil, near)
		So(ok, ShouldBeFalse)
	})
}

func TestHoldsSuffice(t *testing.T) {
	held := func(id string, term position.Term) Observation {
		o := seen(id, false, 1, 3)
		o.Status.Held = term
		return o
	}
	Convey("Every target but the old primary is held, or runs no process", t, func() {
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), held("b", 2)}, "p", 2, 0), ShouldBeTrue)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), {ID: "b", Refused: true}}, "p", 2, 0), ShouldBeTrue)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), {ID: "b"}}, "p", 2, 0), ShouldBeFalse)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), held("b", 0)}, "p", 2, 0), ShouldBeFalse)
		So(HoldsSuffice([]Observation{{ID: "p"}, {ID: "b", Refused: true}}, "p", 2, 0), ShouldBeFalse)
	})
	Convey("Where commits wait for replicas, one that has an acknowledged commit must be held", t, func() {
		crashed := Observation{ID: "b", Refused: true}
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), held("b", 2)}, "p", 2, 1), ShouldBeTrue)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), crashed}, "p", 2, 1), ShouldBeFalse)
		So(HoldsSuffice([]Observation{{ID: "p"}, held("a", 2), crashed}, "p", 2, 2), ShouldBeTrue)
	})
}
