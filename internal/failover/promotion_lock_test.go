package failover

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// memory is a store of objects whose answers can be lost.
type memory struct {
	objects  map[store.Key]store.Object
	revision store.Revision
	// loseAnswers makes that many changes take effect without an answer.
	loseAnswers int
	down        bool
	puts        int
}

func (m *memory) Get(_ context.Context, k store.Key) (store.Object, error) {
	if m.down {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := m.objects[k]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (m *memory) Put(_ context.Context, o store.Object) (store.Object, error) {
	m.puts++
	if m.down {
		return store.Object{}, store.ErrUnavailable
	}
	if current := m.objects[o.Key]; current.Version != o.Version {
		return store.Object{}, &store.ConflictError{Key: o.Key, Current: current}
	}
	m.revision++
	o.Version = m.revision
	m.objects[o.Key] = o
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return store.Object{}, store.ErrUnclear
	}
	return o, nil
}

// clock is the time of all keepers of a test.
type clock struct {
	mu  sync.Mutex
	now time.Duration // guarded by mu
}

// at returns the time; keepers ask for it in the background too.
func (c *clock) at() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// pass lets time pass.
func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

func (c *clock) keeper(m *memory, name string) *LockManager {
	k := NewLockManager(m, name, name+"-process", eventlog.New())
	k.now = c.at
	return k
}

// waitFor acquires the promotion lock again and again, as a monitor does, until it is had.
func waitFor(c *clock, k *LockManager, group string, term position.Term) (PromotionLock, time.Duration) {
	began := c.at()
	for range 1000 {
		if d, err := k.Acquire(context.Background(), group, term, c.at()-began); err == nil {
			return d, c.at() - began
		}
		c.pass(50 * time.Millisecond)
	}
	return PromotionLock{}, 0
}

// awaitAsked waits until the holder has been asked.
func awaitAsked(k *LockManager) {
	for k.asking.Load() {
		time.Sleep(time.Millisecond)
	}
}

func TestDuty(t *testing.T) {
	ctx := context.Background()
	Convey("With a store and two daemons", t, func() {
		m := &memory{objects: map[store.Key]store.Object{}}
		c := &clock{now: time.Hour}
		a, b := c.keeper(m, "a"), c.keeper(m, "b")
		So(a.Claim(ctx), ShouldBeNil)
		So(b.Claim(ctx), ShouldBeNil)
		So(a.IsHolder(), ShouldBeTrue)
		So(b.IsHolder(), ShouldBeFalse)

		Convey("the holder acts at once", func() {
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "a", Token: 1})
			So(a.Verify(ctx, d), ShouldBeNil)
			r, err := b.ReadIntents(ctx)
			So(err, ShouldBeNil)
			So(r.Intents["g"], ShouldEqual, position.Term(2))
		})
		Convey("another takes over from a quiet holder only after the turns are apart, with a higher token", func() {
			d, waited := waitFor(c, b, "g", 2)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: 2})
			So(waited+primarylease.TTL, ShouldBeGreaterThan, turnsApart+lockFresh)
			So(errors.Is(a.Verify(ctx, PromotionLock{Holder: "a", Token: 1}), ErrOtherHolder) || !a.IsHolder(), ShouldBeTrue)
		})
		Convey("a holder that is known to have been quiet for long is followed after a short grace", func() {
			b.ObserveRevision(m.objects[lockKey].Version)
			c.pass(10 * time.Second)
			b.ObserveRevision(m.objects[lockKey].Version)
			d, waited := waitFor(c, b, "g", 2)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: 2})
			So(waited, ShouldBeBetweenOrEqual, holderGrace, holderGrace+recheckAfter)
		})
		Convey("a holder that does not answer is followed without a grace, if its last act is long past", func() {
			b.SetProbe(func(string) bool { return false })
			b.ObserveRevision(m.objects[lockKey].Version)
			c.pass(10 * time.Second)
			b.ObserveRevision(m.objects[lockKey].Version)
			_, err := b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			awaitAsked(b)
			d, err := b.Acquire(ctx, "g", 2, 50*time.Millisecond)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: 2})
		})
		Convey("a holder that does not answer, but has just acted, keeps its turn", func() {
			b.SetProbe(func(string) bool { return false })
			_, err := a.Acquire(ctx, "h", 2, 0)
			So(err, ShouldBeNil)
			_, err = b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			awaitAsked(b)
			_, waited := waitFor(c, b, "g", 2)
			So(waited+primarylease.TTL, ShouldBeGreaterThan, turnsApart+lockFresh)
		})
		Convey("a holder that answers gets its grace", func() {
			b.SetProbe(func(string) bool { return true })
			b.ObserveRevision(m.objects[lockKey].Version)
			c.pass(10 * time.Second)
			b.ObserveRevision(m.objects[lockKey].Version)
			_, waited := waitFor(c, b, "g", 2)
			So(waited, ShouldBeGreaterThanOrEqualTo, holderGrace)
		})
		Convey("a record that is older than what the store showed of other objects long ago is as old", func() {
			b.SetProbe(func(string) bool { return false })
			b.ObserveRevision(m.objects[lockKey].Version + 7)
			c.pass(takeoverAfter)
			_, err := b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			awaitAsked(b)
			d, err := b.Acquire(ctx, "g", 2, 50*time.Millisecond)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: 2})
		})
		Convey("a record that has changed since it was sighted starts the wait anew", func() {
			b.ObserveRevision(m.objects[lockKey].Version)
			c.pass(10 * time.Second)
			_, err := a.Acquire(ctx, "h", 2, 0)
			So(err, ShouldBeNil)
			_, waited := waitFor(c, b, "g", 2)
			So(waited+primarylease.TTL, ShouldBeGreaterThan, turnsApart+lockFresh)
		})
		Convey("a holder that acts is not taken over from", func() {
			for range 200 {
				_, err := b.Acquire(ctx, "g", 2, time.Minute)
				So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
				if c.at()%time.Second == 0 {
					_, err := a.Acquire(ctx, "h", 2, time.Minute)
					So(err, ShouldBeNil)
				}
				c.pass(100 * time.Millisecond)
			}
		})
		Convey("a holder that was suspended since its write can't act", func() {
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			_, _ = b.Acquire(ctx, "g", 2, time.Minute)
			c.pass(10 * time.Second)
			taken, _ := waitFor(c, b, "g", 2)
			So(taken.Token, ShouldEqual, 2)
			So(a.Verify(ctx, d), ShouldNotBeNil)
			So(a.IsHolder(), ShouldBeFalse)
		})
		Convey("a write whose answer is lost is settled by reading back", func() {
			m.loseAnswers = 1
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(d.Token, ShouldEqual, 1)
		})
		Convey("a restarted holder takes a new token at once", func() {
			again := NewLockManager(m, "a", "another-process", eventlog.New())
			again.now = a.now
			d, err := again.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "a", Token: 2})
		})
		Convey("nobody acts while the store is out", func() {
			m.down = true
			_, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldNotBeNil)
			c.pass(time.Minute)
			So(a.Verify(ctx, PromotionLock{Holder: "a", Token: 1}), ShouldNotBeNil)
		})
		Convey("an intent is taken back by its holder only", func() {
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(b.Withdraw(ctx, d, "g", 2), ShouldNotBeNil)
			So(a.Withdraw(ctx, d, "g", 2), ShouldBeNil)
			r, err := a.ReadIntents(ctx)
			So(err, ShouldBeNil)
			So(r.Intents["g"], ShouldEqual, position.Term(1))
		})
		Convey("a demand reaches the holder, is written once a term, and grows", func() {
			So(b.RequestPromotion(ctx, "g", 2), ShouldBeNil)
			puts := m.puts
			So(b.RequestPromotion(ctx, "g", 2), ShouldBeNil)
			So(m.puts, ShouldEqual, puts+1)
			So(b.RequestPromotion(ctx, "g", 3), ShouldBeNil)
			group, term, ok := a.Observe(m.objects[store.Key{Kind: KindLock, Name: demandPrefix + "g"}])
			So(ok, ShouldBeTrue)
			So(group, ShouldEqual, "g")
			So(term, ShouldEqual, position.Term(3))
		})
	})
}
