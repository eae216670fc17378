package failover

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// fakeStore is an in-memory store that can lose answers or be unavailable.
type fakeStore struct {
	objects  map[store.Key]store.Object
	revision store.Revision
	// lostAnswers is the number of next writes that take effect but return
	// ErrOutcomeUnknown.
	lostAnswers int
	// delayed is the number of next writes that return ErrOutcomeUnknown and that applyLate
	// may apply, if their condition still holds.
	delayed int
	late    []store.Object
	down    bool
	puts    int
	// era is the present era; beforePut, if set, is called once before the next Put takes
	// effect.
	era       store.Era
	beforePut func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[store.Key]store.Object{}, era: store.AnnouncedEra(7)}
}

// copyOf returns a copy of the store, from which it can be restored.
func (s *fakeStore) copyOf() fakeStore {
	return fakeStore{objects: maps.Clone(s.objects), revision: s.revision}
}

// restore returns the store to an earlier copy, in the next era.
func (s *fakeStore) restore(c fakeStore) {
	s.objects, s.revision, s.era = map[store.Key]store.Object{}, c.revision, s.era+1
	maps.Copy(s.objects, c.objects)
}

func (s *fakeStore) Get(_ context.Context, k store.Key) (store.Object, error) {
	if s.down {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[k]
	o.Key, o.Era = k, s.era
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.puts++
	if s.down {
		return store.Object{}, store.ErrUnavailable
	}
	if s.beforePut != nil {
		before := s.beforePut
		s.beforePut = nil
		before()
	}
	if s.delayed > 0 {
		s.delayed--
		s.late = append(s.late, o)
		return store.Object{}, store.ErrOutcomeUnknown
	}
	if current := s.objects[o.Key]; current.Version != o.Version {
		current.Era = s.era
		return store.Object{}, &store.ConflictError{Key: o.Key, Current: current}
	}
	s.revision++
	o.Version, o.Era = s.revision, s.era
	s.objects[o.Key] = o
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return o, nil
}

// applyLate applies the delayed writes whose condition still holds.
func (s *fakeStore) applyLate() {
	late := s.late
	s.late = nil
	for _, o := range late {
		_, _ = s.Put(context.Background(), o)
	}
}

// fakeClock is the clock of all lock managers of a test.
type fakeClock struct {
	mu  sync.Mutex
	now time.Duration // guarded by mu
}

// elapsed returns the time since boot. Lock managers also call it in the background.
func (c *fakeClock) elapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// advance moves the clock forward by d.
func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// newManager returns a lock manager of the daemon name that uses the clock.
func (c *fakeClock) newManager(s *fakeStore, name string) *LockManager {
	m := NewLockManager(s, name, name+"-process", eventlog.New())
	m.now = c.elapsed
	return m
}

// acquireUntilHeld retries Acquire, as a monitor does, until it succeeds, and returns the
// lock and how long that took.
func acquireUntilHeld(c *fakeClock, m *LockManager, group string, term position.Term) (PromotionLock, time.Duration) {
	started := c.elapsed()
	for range 1000 {
		if d, err := m.Acquire(context.Background(), group, term, c.elapsed()-started); err == nil {
			return d, c.elapsed() - started
		}
		c.advance(50 * time.Millisecond)
	}
	return PromotionLock{}, 0
}

// waitForProbe waits until the probe of the holder has ended.
func waitForProbe(m *LockManager) {
	for m.probing.Load() {
		time.Sleep(time.Millisecond)
	}
}

// firstToken is the first token of the era in which the tests start.
const firstToken = uint64(store.UnannouncedEra+7) * tokensPerEra

func TestPromotionLock(t *testing.T) {
	ctx := context.Background()
	Convey("Given a store and two daemons, of which a holds the lock", t, func() {
		s := newFakeStore()
		c := &fakeClock{now: time.Hour}
		a, b := c.newManager(s, "a"), c.newManager(s, "b")
		So(a.Claim(ctx, true), ShouldBeNil)
		So(b.Claim(ctx, true), ShouldBeNil)
		So(a.IsHolder(), ShouldBeTrue)
		So(b.IsHolder(), ShouldBeFalse)

		Convey("the holder acquires the lock at once", func() {
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "a", Token: firstToken})
			So(a.Verify(ctx, d, "g", "t", position.Position{}), ShouldBeNil)
			r, err := b.ReadIntents(ctx)
			So(err, ShouldBeNil)
			So(r.Intents["g"], ShouldEqual, position.Term(2))
		})
		Convey("another daemon takes over from an inactive holder only after the minimum gap, with a higher token", func() {
			d, waited := acquireUntilHeld(c, b, "g", 2)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: firstToken + 1})
			So(waited+primarylease.TTL, ShouldBeGreaterThan, minHolderGap+lockFresh)
			So(errors.Is(a.Verify(ctx, PromotionLock{Holder: "a", Token: firstToken}, "g", "t", position.Position{}), ErrOtherHolder) || !a.IsHolder(), ShouldBeTrue)
		})
		Convey("a holder that is known to have been inactive for long is replaced after the grace", func() {
			b.ObservePoint(s.objects[lockKey].Point())
			c.advance(10 * time.Second)
			b.ObservePoint(s.objects[lockKey].Point())
			d, waited := acquireUntilHeld(c, b, "g", 2)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: firstToken + 1})
			So(waited, ShouldBeBetweenOrEqual, holderGrace, holderGrace+recheckAfter)
		})
		Convey("a holder that does not answer and has long been inactive is replaced without the grace", func() {
			b.SetProbe(func(string) bool { return false })
			b.ObservePoint(s.objects[lockKey].Point())
			c.advance(10 * time.Second)
			b.ObservePoint(s.objects[lockKey].Point())
			_, err := b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			waitForProbe(b)
			d, err := b.Acquire(ctx, "g", 2, 50*time.Millisecond)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: firstToken + 1})
		})
		Convey("a holder that does not answer but has just acted is replaced only after the minimum gap", func() {
			b.SetProbe(func(string) bool { return false })
			_, err := a.Acquire(ctx, "h", 2, 0)
			So(err, ShouldBeNil)
			_, err = b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			waitForProbe(b)
			_, waited := acquireUntilHeld(c, b, "g", 2)
			So(waited+primarylease.TTL, ShouldBeGreaterThan, minHolderGap+lockFresh)
		})
		Convey("a holder that answers is not replaced before the grace has passed", func() {
			b.SetProbe(func(string) bool { return true })
			b.ObservePoint(s.objects[lockKey].Point())
			c.advance(10 * time.Second)
			b.ObservePoint(s.objects[lockKey].Point())
			_, waited := acquireUntilHeld(c, b, "g", 2)
			So(waited, ShouldBeGreaterThanOrEqualTo, holderGrace)
		})
		Convey("a record is at least as old as a later revision of the store that was seen before", func() {
			b.SetProbe(func(string) bool { return false })
			b.ObservePoint(store.Point{Era: s.era, Revision: s.objects[lockKey].Version + 7})
			c.advance(takeoverAfter)
			_, err := b.Acquire(ctx, "g", 2, 0)
			So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
			waitForProbe(b)
			d, err := b.Acquire(ctx, "g", 2, 50*time.Millisecond)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "b", Token: firstToken + 1})
		})
		Convey("a record that has changed since its revision was seen restarts the wait", func() {
			b.ObservePoint(s.objects[lockKey].Point())
			c.advance(10 * time.Second)
			_, err := a.Acquire(ctx, "h", 2, 0)
			So(err, ShouldBeNil)
			_, waited := acquireUntilHeld(c, b, "g", 2)
			So(waited+primarylease.TTL, ShouldBeGreaterThan, minHolderGap+lockFresh)
		})
		Convey("an active holder is not replaced", func() {
			for range 200 {
				_, err := b.Acquire(ctx, "g", 2, time.Minute)
				So(errors.Is(err, ErrOtherHolder), ShouldBeTrue)
				if c.elapsed()%time.Second == 0 {
					_, err := a.Acquire(ctx, "h", 2, time.Minute)
					So(err, ShouldBeNil)
				}
				c.advance(100 * time.Millisecond)
			}
		})
		Convey("a holder that was suspended after its write fails verification", func() {
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			_, _ = b.Acquire(ctx, "g", 2, time.Minute)
			c.advance(10 * time.Second)
			taken, _ := acquireUntilHeld(c, b, "g", 2)
			So(taken.Token, ShouldEqual, firstToken+1)
			So(a.Verify(ctx, d, "g", "t", position.Position{}), ShouldNotBeNil)
			So(a.IsHolder(), ShouldBeFalse)
		})
		Convey("a write with a lost answer is resolved by reading back", func() {
			s.lostAnswers = 1
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(d.Token, ShouldEqual, firstToken)
		})
		Convey("a restarted holder acquires the lock at once, with a new token", func() {
			again := NewLockManager(s, "a", "another-process", eventlog.New())
			again.now = a.now
			d, err := again.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(d, ShouldResemble, PromotionLock{Holder: "a", Token: firstToken + 1})
		})
		Convey("the lock can be neither acquired nor verified while the store is unavailable", func() {
			s.down = true
			_, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldNotBeNil)
			c.advance(time.Minute)
			So(a.Verify(ctx, PromotionLock{Holder: "a", Token: firstToken}, "g", "t", position.Position{}), ShouldNotBeNil)
		})
		Convey("only the holder can withdraw an intent", func() {
			d, err := a.Acquire(ctx, "g", 2, time.Minute)
			So(err, ShouldBeNil)
			So(b.Withdraw(ctx, d, "g"), ShouldNotBeNil)
			So(a.Withdraw(ctx, d, "g"), ShouldBeNil)
			r, err := a.ReadIntents(ctx)
			So(err, ShouldBeNil)
			So(r.Intents["g"], ShouldEqual, position.Term(1))
		})
		Convey("a promotion request reaches the holder, is stored once per term, and its term can grow", func() {
			So(b.RequestPromotion(ctx, "g", 2), ShouldBeNil)
			puts := s.puts
			So(b.RequestPromotion(ctx, "g", 2), ShouldBeNil)
			So(s.puts, ShouldEqual, puts+1)
			So(b.RequestPromotion(ctx, "g", 3), ShouldBeNil)
			group, term, ok := a.Observe(s.objects[store.Key{Kind: KindLock, Name: requestPrefix + "g"}])
			So(ok, ShouldBeTrue)
			So(group, ShouldEqual, "g")
			So(term, ShouldEqual, position.Term(3))
		})
	})
}
