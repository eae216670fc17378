package primarylease

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// fakeStore is a Reader that returns one intent, or fails while down is set.
type fakeStore struct {
	intent atomic.Uint64
	down   atomic.Bool
	reads  atomic.Int64
}

func (s *fakeStore) ReadIntents(context.Context) (Record, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return Record{}, errors.New("down")
	}
	return Record{Intents: map[string]position.Term{"g": position.Term(s.intent.Load())}, ReadStart: boottime.Now()}, nil
}

func TestJudge(t *testing.T) {
	r := &Record{Intents: map[string]position.Term{"g": 2}, ReadStart: time.Hour}
	Convey("A record is valid until its lease expires", t, func() {
		So(r.Evaluate("g", 2, time.Hour+TTL-1), ShouldEqual, Allowed)
		So(r.Evaluate("g", 1, time.Hour+TTL-1), ShouldEqual, Denied)
		So(r.Evaluate("other", 1, time.Hour), ShouldEqual, Allowed)
		So(r.Evaluate("g", 2, time.Hour+TTL), ShouldEqual, Expired)
		So((*Record)(nil).Evaluate("g", 2, 0), ShouldEqual, Expired)
	})
}

func TestCheck(t *testing.T) {
	Convey("Checks read the store once while the record is valid", t, func() {
		s := &fakeStore{}
		c := New(s)
		for range 50 {
			So(c.Check("g", 1), ShouldEqual, Allowed)
		}
		So(s.reads.Load(), ShouldEqual, 1)
	})
	Convey("An intent is seen at the latest when the lease expires", t, func() {
		s := &fakeStore{}
		c := New(s)
		So(c.Check("g", 1), ShouldEqual, Allowed)
		s.intent.Store(2)
		time.Sleep(TTL)
		So(c.Check("g", 1), ShouldEqual, Denied)
	})
	Convey("Not every check waits for a store that fails", t, func() {
		s := &fakeStore{}
		s.down.Store(true)
		c := New(s)
		for range 50 {
			So(c.Check("g", 1), ShouldEqual, Expired)
		}
		So(s.reads.Load(), ShouldBeLessThan, 60)
		_, ok := c.RecentRecord()
		So(ok, ShouldBeFalse)
	})
	Convey("A young record is returned without another read", t, func() {
		c := New(&fakeStore{})
		a, ok := c.RecentRecord()
		So(ok, ShouldBeTrue)
		b, _ := c.RecentRecord()
		So(b.ReadStart, ShouldEqual, a.ReadStart)
	})
}

// Guards against a flood of reads during an outage of the store: while the store reset
// connections, each answer of a primary caused another read, 420 reads in 4 s from
// eight daemons.
func TestOutageLimitsStoreReads(t *testing.T) {
	Convey("A failing store is read a few times a second, and answers are allowed soon after it recovers", t, func() {
		s := &fakeStore{}
		s.down.Store(true)
		c := New(s)
		const outage = time.Second
		began := time.Now()
		for time.Since(began) < outage {
			So(c.Check("g", 1), ShouldEqual, Expired)
			time.Sleep(2 * time.Millisecond)
		}
		So(s.reads.Load(), ShouldBeLessThanOrEqualTo, int64(outage/renewBackoff)+1)
		s.down.Store(false)
		began = time.Now()
		for c.Check("g", 1) != Allowed {
			time.Sleep(2 * time.Millisecond)
		}
		So(time.Since(began), ShouldBeLessThan, renewBackoff+100*time.Millisecond)
	})
}
