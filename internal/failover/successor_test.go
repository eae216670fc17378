package failover

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Guards against commits that return after a promotion has rolled them back.
func TestSuccessorRule(t *testing.T) {
	target := func(joined position.Term, end position.Position) leadership.Observation {
		return leadership.Observation{ID: "t", Reached: true, Status: query.TargetStatus{Term: joined, Received: end}}
	}
	at := func(term position.Term, index uint64) position.Position {
		return position.Position{Term: term, Index: index}
	}
	call := leadership.PromoteCall{Term: 2, Target: "b", End: at(1, 100)}
	rule := successorRule{present: 2, call: call}
	outdated := successorRule{present: 2, outdated: true, call: call}
	Convey("A target that has joined the present term may always be promoted", t, func() {
		So(rule.allows(target(2, at(2, 101))), ShouldBeTrue)
		So(outdated.allows(target(2, at(1, 3))), ShouldBeTrue)
	})
	Convey("An outdated one only after the wait, and if it has no commits that were rolled back", t, func() {
		So(rule.allows(target(1, at(1, 90))), ShouldBeFalse)
		So(outdated.allows(target(1, at(1, 90))), ShouldBeTrue)
		So(outdated.allows(target(1, at(1, 100))), ShouldBeTrue)
		So(outdated.allows(target(1, at(1, 101))), ShouldBeFalse)
	})
	Convey("Nor if it is not known what was rolled back", t, func() {
		unknown := outdated
		unknown.call.End = position.Position{}
		So(unknown.allows(target(1, at(1, 3))), ShouldBeFalse)
		other := outdated
		other.present = 3
		So(other.allows(target(1, at(1, 3))), ShouldBeFalse)
	})
	Convey("Without a rule, every target may be promoted", t, func() {
		So(successorRule{}.excluded([]leadership.Observation{target(1, at(1, 200))}), ShouldBeEmpty)
	})
}

// Guards against an outdated target that is promoted too early: the time since which a promotion
// was needed began before the term whose primary was lost.
func TestWaitForSuccessor(t *testing.T) {
	Convey("The wait for a successor begins anew with each term", t, func() {
		p, g := &Promoter{}, &backend.Group{Name: "g"}
		So(p.waitedFor(g, 2, time.Hour), ShouldEqual, 0)
		time.Sleep(20 * time.Millisecond)
		So(p.waitedFor(g, 2, time.Hour), ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
		So(p.waitedFor(g, 2, time.Millisecond), ShouldEqual, time.Millisecond)
		So(p.waitedFor(g, 3, time.Hour), ShouldEqual, 0)
	})
}
