package backend

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Guards against a second promotion right after a planned one: 1.8 s after the primary had
// begun to drain, homes that had not found its successor yet took the promotion for
// stalled. The group had no primary for 17 s then, and 22 commits were cut back.
func TestGroupHealth(t *testing.T) {
	policy := leadership.DefaultPolicy
	old := leadership.Leader{ID: "old", Term: 1}
	// leaderless is what a home sees while the successor does not lead yet.
	leaderless := []leadership.Observation{
		{ID: "old", Draining: true, Reached: true, Status: query.TargetStatus{Term: 1}},
		{ID: "next", Reached: true, Status: query.TargetStatus{Term: 1, Held: 2}},
	}
	due := func(h *groupHealth, now time.Duration) leadership.Reason {
		return leadership.PromotionDue(leaderless, old, 2, h.leaderlessFor(now), policy)
	}
	Convey("A planned replacement counts as stalled by the time without a leader, not by that of the drain", t, func() {
		var h groupHealth
		const drained, demoted = 10 * time.Second, 11100 * time.Millisecond
		h.observe(drained, groupTerms{joined: 1, known: 1}, true, true)
		So(h.healthy(), ShouldBeFalse)
		h.observe(demoted, groupTerms{joined: 1, known: 2}, false, false)
		soon := drained + policy.LeaderlessAfter + 300*time.Millisecond
		h.observe(soon, groupTerms{joined: 1, known: 2}, false, false)
		So(h.unhealthyFor(soon), ShouldEqual, soon-drained)
		So(due(&h, soon), ShouldEqual, leadership.NotNeeded)
		So(due(&h, demoted+policy.LeaderlessAfter), ShouldEqual, leadership.PromotionStalled)
		h.observe(soon, groupTerms{joined: 1, known: 2}, true, false)
		So(h.healthy(), ShouldBeTrue)
		So(h.unhealthyFor(soon)+h.leaderlessFor(soon), ShouldEqual, 0)
	})
	// Guards against a second promotion after an unplanned one: the silence of the primary,
	// the primary leases and the promotion take 2 s and more together. On a played day the
	// second one cost another gap of 2 s.
	Convey("A failover counts as stalled by the time since its first sign, not by that without a leader", t, func() {
		var h groupHealth
		const lost, held = 10 * time.Second, 11400 * time.Millisecond
		h.observe(lost, groupTerms{joined: 1, known: 1}, false, false)
		h.observe(held, groupTerms{joined: 1, known: 2}, false, false)
		late := lost + policy.LeaderlessAfter + 500*time.Millisecond
		h.observe(late, groupTerms{joined: 1, known: 2}, false, false)
		So(h.unhealthyFor(late), ShouldEqual, late-lost)
		So(due(&h, late), ShouldEqual, leadership.NotNeeded)
		So(due(&h, held+policy.LeaderlessAfter), ShouldEqual, leadership.PromotionStalled)
	})
	// Seen on a day with a primary that is cut off from a home: it knew the new term from a
	// replica and reached the new primary 0.3 s after it had asked for another one.
	Convey("A target that has joined the new term shows progress too", t, func() {
		var h groupHealth
		const lost, joined = 10 * time.Second, 13 * time.Second
		h.observe(lost, groupTerms{joined: 1, known: 2}, false, false)
		h.observe(joined, groupTerms{joined: 2, known: 2}, false, false)
		So(h.leaderlessFor(joined+time.Second), ShouldEqual, time.Second)
		So(due(&h, joined+time.Second), ShouldEqual, leadership.NotNeeded)
	})
	Convey("A lost leader counts from the first look that did not find it", t, func() {
		var h groupHealth
		h.observe(time.Second, groupTerms{joined: 1, known: 1}, false, false)
		h.observe(2*time.Second, groupTerms{joined: 1, known: 1}, false, false)
		So(h.leaderlessFor(3*time.Second), ShouldEqual, 2*time.Second)
		So(h.unhealthyFor(3*time.Second), ShouldEqual, 2*time.Second)
	})
	Convey("A request of another daemon is a need of its own", t, func() {
		var h groupHealth
		h.observeRequest(time.Second)
		h.observeRequest(2 * time.Second)
		So(h.unhealthyFor(3*time.Second), ShouldEqual, 2*time.Second)
		So(h.leaderlessFor(3*time.Second), ShouldEqual, 0)
	})
}
