package backend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Settings of a pool.
const (
	// dialTimeout bounds a connect with its start message: a round trip between
	// regions, the handshake, and a queue before the target's slots.
	dialTimeout = 1500 * time.Millisecond
	// surplusIdle is how long a connection over the base rests before it is closed,
	// so that other daemons get it.
	surplusIdle = time.Second
	// fullPause is how long a target that had no room is not asked for more.
	fullPause = 200 * time.Millisecond
	// aliveCheckAfter is the rest after which a connection is checked before use.
	aliveCheckAfter = 20 * time.Millisecond
)

// Verdict says how an Acquire ended.
type Verdict uint8

// The verdicts of Acquire.
const (
	Acquired Verdict = iota
	// TimedOut says that no connection came free in time.
	TimedOut
	// Unreachable says that the target can't be connected to.
	Unreachable
	// Closed says that the target takes no new work.
	Closed
	// Overloaded says that too many requests wait for the target to be served in time.
	Overloaded
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	seq      uint64
	given    chan *PooledConn // nil is sent when the target can't be reached
}

// Pool holds the connections to one target. Its methods may be called by any
// goroutine.
type Pool struct {
	target *Target
	dialer Dialer

	mu        sync.Mutex
	idle      []*PooledConn // guarded by mu; the last used is last
	waiters   []*waiter     // guarded by mu; sorted by priority, then arrival
	open      int           // guarded by mu; idle, lent and dialing
	dialing   int           // guarded by mu
	kept      int           // guarded by mu; lent to transactions
	seq       uint64        // guarded by mu
	base      int           // guarded by mu; connections that are kept though idle
	limit     int           // guarded by mu
	fullUntil time.Time     // guarded by mu
	closed    bool          // guarded by mu
}

// SetLimits sets how many connections are kept and how many may be opened.
func (p *Pool) SetLimits(base, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.base, p.limit = base, limit
	p.tellGate()
}

// Pin notes that a transaction keeps a lent connection until it ends.
func (p *Pool) Pin(l *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.kept = true
	p.kept++
	p.tellGate()
}

// unkeep notes that the transaction of a connection has ended. The lock is held.
func (p *Pool) unkeep(l *PooledConn) {
	if l.kept {
		l.kept = false
		p.kept--
		p.tellGate()
	}
}

// tellGate tells the gate how many connections are there for new work. The lock is
// held.
func (p *Pool) tellGate() {
	p.target.Gate.SetConnections(p.limit - p.kept)
}

// controlPriority puts statements of control before all requests.
const controlPriority = -1

// AcquireControl returns a connection for a statement of control. It may open one
// over the limit, so that a target is judged by a connection of its own when all
// others wait for answers.
func (p *Pool) AcquireControl(until time.Time) (*PooledConn, Verdict) {
	return p.acquire(0, controlPriority, 1, until)
}

// Acquire returns a connection, waiting until the given time for one. Requests of
// a lower priority number go first.
func (p *Pool) Acquire(session uint64, priority int, until time.Time) (*PooledConn, Verdict) {
	return p.acquire(session, priority, 0, until)
}

// acquire may open extra connections over the limit.
func (p *Pool) acquire(session uint64, priority, extra int, until time.Time) (*PooledConn, Verdict) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Closed
	}
	if l := p.takeIdle(session, time.Now()); l != nil {
		p.mu.Unlock()
		return l, Acquired
	}
	wait := time.Until(until)
	if wait <= 0 {
		p.mu.Unlock()
		return nil, TimedOut
	}
	p.seq++
	w := &waiter{priority: priority, seq: p.seq, given: make(chan *PooledConn, 1)}
	p.enqueue(w)
	p.dialIfNeeded(extra)
	p.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case l := <-w.given:
		return verdictOf(l)
	case <-timer.C:
	}
	if p.abandon(w) {
		return nil, TimedOut
	}
	return verdictOf(<-w.given)
}

func verdictOf(l *PooledConn) (*PooledConn, Verdict) {
	if l == nil {
		return nil, Unreachable
	}
	return l, Acquired
}

// takeIdle returns an idle connection that is still open, best the one that the
// session used last.
func (p *Pool) takeIdle(session uint64, now time.Time) *PooledConn {
	for len(p.idle) > 0 {
		at := len(p.idle) - 1
		for i, l := range p.idle {
			if l.session == session {
				at = i
			}
		}
		l := p.idle[at]
		p.idle = slices.Delete(p.idle, at, at+1)
		if now.Sub(l.idleSince) < aliveCheckAfter || l.Alive() {
			l.session = session
			return l
		}
		p.open--
		p.target.connectionEnded()
		closeQuietly(l.Conn)
	}
	return nil
}

func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiters, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.seq) - int(b.seq)
	})
	p.waiters = slices.Insert(p.waiters, at, w)
}

// abandon removes a waiter that gave up, and reports whether it was still there.
func (p *Pool) abandon(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiters, w)
	if at < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return true
}

// dialIfNeeded opens a connection if more requests wait than are being opened and
// the limit and the extra connections allow it.
func (p *Pool) dialIfNeeded(extra int) {
	for !p.closed && p.dialing < len(p.waiters) && p.open < p.limit+extra {
		if p.open > 0 && time.Now().Before(p.fullUntil) {
			return
		}
		p.open++
		p.dialing++
		go p.dial()
	}
}

func (p *Pool) dial() {
	info := p.target.Info()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.target.counters.dials.Inc()
	conn, err := p.dialer.Dial(ctx, info.Address, info.Group, info.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err == nil && p.closed {
		p.open--
		closeQuietly(conn)
		return
	}
	if err == nil {
		p.target.heard()
		p.give(&PooledConn{Conn: conn, target: p.target, values: map[string]string{}, prepared: map[string]struct{}{}})
		return
	}
	p.open--
	p.dialFailed(err)
}

// dialFailed handles a failed dial. A target without room is asked again after a
// pause; one that can't be reached fails those who wait for it, unless other
// connections still work.
func (p *Pool) dialFailed(err error) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == query.TooManyConnections {
		p.target.counters.full.Inc()
		p.target.heard()
		p.fullUntil = time.Now().Add(fullPause)
		time.AfterFunc(fullPause, p.retryDial)
		return
	}
	p.target.connectFailed(err)
	if p.open > p.dialing {
		return
	}
	for _, w := range p.waiters {
		w.given <- nil
	}
	p.waiters = nil
}

func (p *Pool) retryDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialIfNeeded(0)
}

// give hands a connection to the first waiter or keeps it. The lock is held.
func (p *Pool) give(l *PooledConn) {
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		w.given <- l
		return
	}
	l.idleSince = time.Now()
	p.idle = append(p.idle, l)
}

// Release gives a connection back that has no transaction and no answer pending.
func (p *Pool) Release(l *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unkeep(l)
	if p.closed {
		p.open--
		closeQuietly(l.Conn)
		return
	}
	p.give(l)
}

// Discard closes a connection that can't be used again.
func (p *Pool) Discard(l *PooledConn) {
	closeQuietly(l.Conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unkeep(l)
	p.open--
	p.dialIfNeeded(0)
}

// Trim closes connections over the base that have rested for long.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.open > p.base && now.Sub(p.idle[0].idleSince) > surplusIdle {
		closeQuietly(p.idle[0].Conn)
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
}

// Close closes the idle connections and takes no new work; lent connections are
// closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		closeQuietly(l.Conn)
		p.open--
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.given <- nil
	}
	p.waiters = nil
}

// Full reports whether the target has no room for more connections, as far as known.
func (p *Pool) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.fullUntil)
}

// Exhausted reports whether the target has refused connections for want of room a moment
// ago and none is open.
func (p *Pool) Exhausted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == p.dialing && time.Now().Before(p.fullUntil)
}

func closeQuietly(c Conn) {
	// Closing a connection that is given up can't be acted on.
	_ = c.Close()
}
