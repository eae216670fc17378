package failover

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// claimUntilHeld retries Claim, as a relay does, until the lock has a holder of the present
// era, and returns how long that took.
func claimUntilHeld(c *fakeClock, m *LockManager) time.Duration {
	started := c.elapsed()
	for range 1000 {
		if err := m.Claim(context.Background(), false); err == nil {
			return c.elapsed() - started
		}
		c.advance(50 * time.Millisecond)
	}
	return 0
}

// evaluate returns the verdict on a present answer of the primary of term 1 of group g,
// according to a new read of the store.
func evaluate(m *LockManager) primarylease.Verdict {
	r, err := m.ReadIntents(context.Background())
	So(err, ShouldBeNil)
	return r.Evaluate("g", 1, r.ReadStart)
}

func TestLockInNewEra(t *testing.T) {
	ctx := context.Background()
	Convey("Given a holder a whose last acts are in no copy of the store", t, func() {
		s := newFakeStore()
		c := &fakeClock{now: time.Hour}
		a, b := c.newManager(s, "a"), c.newManager(s, "b")
		So(a.Claim(ctx, true), ShouldBeNil)
		copied := s.copyOf()
		before, err := a.Acquire(ctx, "g", 2, 0)
		So(err, ShouldBeNil)
		c.advance(100 * time.Millisecond)
		So(a.Verify(ctx, before, "g", "t", position.Position{}), ShouldBeNil)
		settled := Settlement{Terms: map[string]position.Term{"g": 1}}
		settle := func(context.Context, []string) Settlement { return settled }
		a.SetSettler(settle)
		b.SetSettler(settle)
		restoredAt := c.elapsed()
		s.restore(copied)

		Convey("no lease is granted before the lock is held again, and then by the targets' terms", func() {
			So(evaluate(b), ShouldEqual, primarylease.Unproven)
			settled.Terms["g"] = 2
			claimUntilHeld(c, b)
			So(evaluate(b), ShouldEqual, primarylease.Denied)
		})
		Convey("a group of which a target does not answer has no leases until it is settled", func() {
			settled = Settlement{Unsettled: []string{"g"}}
			claimUntilHeld(c, b)
			So(evaluate(b), ShouldEqual, primarylease.Unproven)
			So(b.Settle(ctx), ShouldBeNil)
			So(evaluate(b), ShouldEqual, primarylease.Unproven)
			settled = Settlement{Terms: map[string]position.Term{"g": 1}}
			So(b.Settle(ctx), ShouldBeNil)
			So(evaluate(b), ShouldEqual, primarylease.Allowed)
		})
		Convey("a promotion under the new lock settles its group", func() {
			settled = Settlement{Unsettled: []string{"g", "h"}}
			claimUntilHeld(c, b)
			d, err := b.Acquire(ctx, "g", 2, 0)
			So(err, ShouldBeNil)
			So(b.MarkPromoted(ctx, d, "g", 3), ShouldBeNil)
			r, err := b.ReadIntents(ctx)
			So(err, ShouldBeNil)
			So(r.Unsettled, ShouldResemble, []string{"h"})
			So(r.Intents["g"], ShouldEqual, position.Term(3))
		})
		Convey("the holder does not act on its record of the earlier era", func() {
			c.advance(lockFresh)
			So(a.Verify(ctx, before, "g", "t", position.Position{}), ShouldNotBeNil)
			So(a.IsHolder(), ShouldBeFalse)
			_, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
		})
		Convey("the next holder acts after the minimum gap, with a higher token, also if it is the same daemon", func() {
			for _, m := range []*LockManager{a, b} {
				d, _ := acquireUntilHeld(c, m, "g", 2)
				So(d.Token, ShouldBeGreaterThan, before.Token)
				So(d.Token, ShouldBeGreaterThanOrEqualTo, uint64(s.era-store.UnannouncedEra)*tokensPerEra)
				So(c.elapsed()+primarylease.TTL-restoredAt, ShouldBeGreaterThan, minHolderGap+lockFresh)
				s.restore(copied)
				restoredAt = c.elapsed()
				So(m.IsHolder(), ShouldBeTrue) // it does not know of the third era yet
			}
		})
		Convey("a copy that has no record at all is no proof that there was no holder", func() {
			s.restore(fakeStore{})
			So(evaluate(b), ShouldEqual, primarylease.Unproven)
			So(errors.Is(b.Claim(ctx, false), ErrOtherHolder), ShouldBeTrue)
			So(claimUntilHeld(c, b), ShouldBeGreaterThanOrEqualTo, takeoverAfter)
			So(b.HolderKnown(), ShouldBeTrue)
		})
		Convey("a write of the earlier era that replaces a record of the same revision gives no lock, and the replaced holder notices", func() {
			claimUntilHeld(c, b)
			d, err := b.Acquire(ctx, "g", 2, 0)
			So(err, ShouldBeNil)
			// a knows its object at a revision that is now that of b's record.
			a.mu.Lock()
			a.object.Version = s.objects[lockKey].Version
			a.mu.Unlock()
			So(a.Verify(ctx, before, "g", "t", position.Position{}), ShouldNotBeNil)
			So(a.IsHolder(), ShouldBeFalse)
			So(evaluate(b), ShouldEqual, primarylease.Unproven)
			c.advance(lockFresh)
			So(b.Verify(ctx, d, "g", "t", position.Position{}), ShouldNotBeNil)
			So(b.IsHolder(), ShouldBeFalse)
		})
		Convey("a store that returns while a write is under way gives no lock", func() {
			claimUntilHeld(c, b)
			inNewEra := s.copyOf()
			s.beforePut = func() { s.restore(inNewEra) }
			_, err := b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			So(b.IsHolder(), ShouldBeFalse)
		})
		Convey("an era that is learnt from any answer makes the record void at once", func() {
			a.ObservePoint(store.Point{Era: s.era, Revision: 1})
			So(a.IsHolder(), ShouldBeFalse)
			So(a.HolderKnown(), ShouldBeFalse)
		})
		Convey("an empty store of a first start is claimed at once", func() {
			first := c.newManager(newFakeStore(), "first")
			So(first.Claim(ctx, true), ShouldBeNil)
			So(first.IsHolder(), ShouldBeTrue)
		})
		Convey("a store that announces no eras loses no record", func() {
			old := newFakeStore()
			old.era = store.UnannouncedEra
			m := c.newManager(old, "m")
			So(evaluate(m), ShouldEqual, primarylease.Allowed)
			So(m.Claim(ctx, false), ShouldBeNil)
			d, err := m.Acquire(ctx, "g", 2, 0)
			So(err, ShouldBeNil)
			So(d.Token, ShouldEqual, 1)
		})
	})
}
