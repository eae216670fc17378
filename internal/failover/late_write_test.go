package failover

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Guards against a promotion without an intent in the store: two writes of the holder followed
// the same record and got no answer, the first one was applied late, and the holder took it for
// the second one. Daemons that read the store went on acknowledging writes of the old primary.
func TestLateWriteOfAnotherIntent(t *testing.T) {
	ctx := context.Background()
	Convey("Given a holder whose write of the intent for group g is applied after it has given up", t, func() {
		s := newFakeStore()
		c := &fakeClock{now: time.Hour}
		a, b := c.newManager(s, "a"), c.newManager(s, "b")
		So(a.Claim(ctx, true), ShouldBeNil)
		s.delayed = 1
		_, err := a.Acquire(ctx, "g", 2, 0)
		So(err, ShouldNotBeNil)

		Convey("it is not taken for the write of the intent for group h, which is lost", func() {
			s.beforePut = func() { s.applyLate(); s.delayed = 1 }
			_, err := a.Acquire(ctx, "h", 2, 0)
			So(err, ShouldNotBeNil)
			r, err := b.ReadIntents(ctx)
			So(err, ShouldBeNil)
			So(r.Intents, ShouldResemble, map[string]position.Term{"g": 2})
			So(a.IntendedTerm("h"), ShouldEqual, position.Term(0))

			Convey("and the next attempt for h succeeds", func() {
				_, err := a.Acquire(ctx, "h", 2, 0)
				So(err, ShouldBeNil)
				r, err := b.ReadIntents(ctx)
				So(err, ShouldBeNil)
				So(r.Intents, ShouldResemble, map[string]position.Term{"g": 2, "h": 2})
			})
		})
		Convey("a write that has been applied is recognised when its answer is lost", func() {
			s.lostAnswers = 1
			_, err := a.Acquire(ctx, "h", 2, 0)
			So(err, ShouldBeNil)
			So(a.IntendedTerm("h"), ShouldEqual, position.Term(2))
			s.applyLate()
			So(s.objects[lockKey].Version, ShouldEqual, s.revision)
		})
	})
}
