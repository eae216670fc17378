package backend

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// cappedDialer accepts a number of connections and refuses further ones as a target does
// that is at its limit.
type cappedDialer struct {
	mu      sync.Mutex
	free    int // guarded by mu
	refused int // guarded by mu
}

// handshakeTime is how long a dial of a cappedDialer takes.
const handshakeTime = 12 * time.Millisecond

func (d *cappedDialer) Dial(context.Context, string, string, string, string) (Conn, error) {
	time.Sleep(handshakeTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.free == 0 {
		d.refused++
		return nil, &RefusedError{Code: query.TooManyConnections}
	}
	d.free--
	return idleConn{}, nil
}

// idleConn is a connection that is only opened and closed.
type idleConn struct{ Conn }

func (idleConn) Alive() bool  { return true }
func (idleConn) Close() error { return nil }

// Guards against a home that takes all connections that a target has left: after a
// failure of power the targets count the connections of dead daemons for seconds, and
// half of the homes found no primary until these were dropped.
func TestHomesThatStartAtOnce(t *testing.T) {
	Convey("Homes that start within the time of a handshake get a connection each while the target has few left", t, func() {
		const homes, requests, limit = 3, 8, 4
		dialer := &cappedDialer{free: homes + 1}
		var wg sync.WaitGroup
		served := make([]bool, homes)
		for home := range homes {
			target := NewTarget(catalog.Target{ID: "i-1", Slots: 2}, dialer)
			target.Pool.SetLimits(1, limit)
			var mu sync.Mutex
			time.Sleep(handshakeTime / (2 * homes))
			for range requests {
				wg.Go(func() {
					if _, verdict := target.Pool.Acquire(1, 0, time.Now().Add(5*handshakeTime)); verdict == Acquired {
						mu.Lock()
						defer mu.Unlock()
						served[home] = true
					}
				})
			}
		}
		wg.Wait()
		So(served, ShouldResemble, []bool{true, true, true})
	})
	Convey("The connections of a busy home grow to the limit", t, func() {
		const limit = 7
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 2}, &cappedDialer{free: limit})
		target.Pool.SetLimits(1, limit)
		var wg sync.WaitGroup
		verdicts := make([]Verdict, limit)
		for i := range verdicts {
			wg.Go(func() { _, verdicts[i] = target.Pool.Acquire(1, 0, time.Now().Add(20*handshakeTime)) })
		}
		wg.Wait()
		So(verdicts, ShouldResemble, make([]Verdict, limit))
	})
}

// Guards against a home without a connection that dials a full target for each request:
// after a loss of power, targets reset 1,996 connections in 1.3 s.
func TestBackoffFromFullTarget(t *testing.T) {
	Convey("However many requests come, a full target is dialed once per backoff, and used soon after it has room", t, func() {
		dialer := &cappedDialer{}
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 2}, dialer)
		const length = 300 * time.Millisecond
		var wg sync.WaitGroup
		for began := time.Now(); time.Since(began) < length; time.Sleep(time.Millisecond) {
			wg.Go(func() { target.Pool.Acquire(1, 0, time.Now().Add(10*time.Millisecond)) })
		}
		wg.Wait()
		dialer.mu.Lock()
		refused := dialer.refused
		dialer.free = 1
		dialer.mu.Unlock()
		So(refused, ShouldBeLessThanOrEqualTo, int(length/firstBackoff)+1)
		_, verdict := target.Pool.Acquire(1, 0, time.Now().Add(2*firstBackoff))
		So(verdict, ShouldEqual, Acquired)
	})
}

// Guards against a round trip for the values of a session that another idle connection has.
func TestIdleConnectionWithValues(t *testing.T) {
	Convey("Given two idle connections, of which the one used last has values", t, func() {
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 2}, &cappedDialer{free: 2})
		target.Pool.SetLimits(1, 2)
		soon := func() time.Time { return time.Now().Add(time.Second) }
		acquire := func(session uint64, values map[string]string) *PooledConn {
			c, verdict := target.Pool.AcquireWithValues("", session, values, 0, soon())
			So(verdict, ShouldEqual, Acquired)
			return c
		}
		var wg sync.WaitGroup
		conns := make([]*PooledConn, 2)
		for i := range conns {
			wg.Go(func() { conns[i], _ = target.Pool.Acquire(3, 0, soon()) })
		}
		wg.Wait()
		clean, used := conns[0], conns[1]
		clean.session, used.session = 1, 2
		used.values = map[string]string{"schema": "a"}
		target.Pool.Release(clean)
		target.Pool.Release(used)

		Convey("a session without values gets the other one", func() {
			So(acquire(7, nil), ShouldEqual, clean)
		})
		Convey("a session with these values gets it, and one with other values gets the last one too", func() {
			So(acquire(7, map[string]string{"schema": "a"}), ShouldEqual, used)
			target.Pool.Release(used)
			So(acquire(7, map[string]string{"schema": "b"}), ShouldEqual, used)
		})
		Convey("a connection whose values are not known has none that a session wants", func() {
			clean.values = nil
			So(acquire(7, nil), ShouldEqual, used)
		})
		Convey("of two with the same values a session gets the one that it used last", func() {
			used.values = map[string]string{}
			So(acquire(1, nil), ShouldEqual, clean)
		})
	})
}

// Guards against connections that are kept for nobody: before a failure of power the targets
// had 15 or 16 of 16 connections, most of them idle, some at daemons that were no longer
// home, and counted them for 3 s after it, so that the restarted homes found no room.
func TestTrim(t *testing.T) {
	Convey("Given a pool whose connections are all idle", t, func() {
		const open = 4
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 2}, &cappedDialer{free: open})
		target.Pool.SetLimits(1, open)
		var wg sync.WaitGroup
		conns := make([]*PooledConn, open)
		for i := range conns {
			wg.Go(func() { conns[i], _ = target.Pool.Acquire(1, 0, time.Now().Add(time.Second)) })
		}
		wg.Wait()
		for _, c := range conns {
			target.Pool.Release(c)
		}
		count := func() int {
			target.Pool.mu.Lock()
			defer target.Pool.mu.Unlock()
			return target.Pool.open
		}
		So(count(), ShouldEqual, open)
		Convey("a burst keeps its connections for the idle time only, and the base is kept", func() {
			target.Pool.Trim(time.Now(), true)
			So(count(), ShouldEqual, open)
			target.Pool.Trim(time.Now().Add(2*surplusIdleTimeout), true)
			So(count(), ShouldEqual, 1)
		})
		Convey("a daemon that is no longer home of the group keeps none", func() {
			target.Pool.Trim(time.Now().Add(2*surplusIdleTimeout), false)
			So(count(), ShouldEqual, 0)
		})
	})
}
