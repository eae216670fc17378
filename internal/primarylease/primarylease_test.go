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

// source is a store that answers or fails.
type source struct {
	intent atomic.Uint64
	down   atomic.Bool
	reads  atomic.Int64
}

func (s *source) ReadIntents(context.Context) (Record, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return Record{}, errors.New("down")
	}
	return Record{Intents: map[string]position.Term{"g": position.Term(s.intent.Load())}, ReadStart: boottime.Now()}, nil
}

func TestJudge(t *testing.T) {
	r := &Record{Intents: map[string]position.Term{"g": 2}, ReadStart: time.Hour}
	Convey("A record counts until its lease has run out", t, func() {
		So(r.Evaluate("g", 2, time.Hour+TTL-1), ShouldEqual, Allowed)
		So(r.Evaluate("g", 1, time.Hour+TTL-1), ShouldEqual, Denied)
		So(r.Evaluate("other", 1, time.Hour), ShouldEqual, Allowed)
		So(r.Evaluate("g", 2, time.Hour+TTL), ShouldEqual, Expired)
		So((*Record)(nil).Evaluate("g", 2, 0), ShouldEqual, Expired)
	})
}

func TestCheck(t *testing.T) {
	Convey("A check reads the store once while the record counts", t, func() {
		s := &source{}
		p := New(s)
		for range 50 {
			So(p.Check("g", 1), ShouldEqual, Allowed)
		}
		So(s.reads.Load(), ShouldEqual, 1)
	})
	Convey("An intent is seen once the lease has run out at the latest", t, func() {
		s := &source{}
		p := New(s)
		So(p.Check("g", 1), ShouldEqual, Allowed)
		s.intent.Store(2)
		time.Sleep(TTL)
		So(p.Check("g", 1), ShouldEqual, Denied)
	})
	Convey("A store that fails is not waited for by every request", t, func() {
		s := &source{}
		s.down.Store(true)
		p := New(s)
		for range 50 {
			So(p.Check("g", 1), ShouldEqual, Expired)
		}
		So(s.reads.Load(), ShouldBeLessThan, 60)
		_, ok := p.Fresh()
		So(ok, ShouldBeFalse)
	})
	Convey("A record is passed on while it is young", t, func() {
		p := New(&source{})
		a, ok := p.Fresh()
		So(ok, ShouldBeTrue)
		b, _ := p.Fresh()
		So(b.ReadStart, ShouldEqual, a.ReadStart)
	})
}

// In an outage in which the store resets connections, every answer of a primary cost a
// call: 420 in 4 s at eight daemons.
func TestOutageIsNotHammered(t *testing.T) {
	Convey("A store that refuses is asked a few times a second, and counts soon after its return", t, func() {
		s := &source{}
		s.down.Store(true)
		p := New(s)
		const outage = time.Second
		began := time.Now()
		for time.Since(began) < outage {
			So(p.Check("g", 1), ShouldEqual, Expired)
			time.Sleep(2 * time.Millisecond)
		}
		So(s.reads.Load(), ShouldBeLessThanOrEqualTo, int64(outage/failureRetry)+1)
		s.down.Store(false)
		began = time.Now()
		for p.Check("g", 1) != Allowed {
			time.Sleep(2 * time.Millisecond)
		}
		So(time.Since(began), ShouldBeLessThan, failureRetry+100*time.Millisecond)
	})
}
