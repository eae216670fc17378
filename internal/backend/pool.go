package backend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Timeouts and intervals of a pool.
const (
	// dialTimeout is the timeout of a dial: a round trip between regions, the handshake,
	// and the wait for a slot of the target.
	dialTimeout = 1500 * time.Millisecond
	// surplusIdleTimeout is how long a connection above the base may be idle before it is
	// closed, so that other daemons can open one.
	surplusIdleTimeout = time.Second
	// fullBackoff is how long no further connection is opened after a target had no room
	// for one.
	fullBackoff = 200 * time.Millisecond
	// firstBackoff is the same for a pool that has no connection at all.
	firstBackoff = 50 * time.Millisecond
	// aliveCheckIdle is the idle time after which a connection is checked before use.
	aliveCheckIdle = 20 * time.Millisecond
)

// Verdict is the result of acquiring a connection.
type Verdict uint8

// Verdicts of Acquire.
const (
	Acquired Verdict = iota
	// TimedOut means that no connection was available in time.
	TimedOut
	// Unreachable means that connecting to the target failed.
	Unreachable
	// Closed means that the pool is closed and lends no more connections.
	Closed
	// Overloaded means that too many requests wait for the target to serve another in
	// time.
	Overloaded
	// NoTransactionRoom means that other transactions hold the connections that
	// transactions may hold.
	NoTransactionRoom
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	seq      uint64
	result   chan *PooledConn // receives nil if the target is unreachable
}

// Pool holds the connections of one daemon to one target. It is safe for concurrent use.
type Pool struct {
	target *Target
	dialer Dialer
	// transactions limits the connections that transactions hold. It is locked after mu.
	transactions transactionRoom

	mu        sync.Mutex
	idle      []*PooledConn // guarded by mu; ordered by last use, the most recent last
	waiters   []*waiter     // guarded by mu; ordered by priority, then by arrival
	open      int           // guarded by mu; number of idle, lent and dialing connections
	dialing   int           // guarded by mu
	pinned    int           // guarded by mu; number of connections held by transactions
	seq       uint64        // guarded by mu; seq of the last waiter
	base      int           // guarded by mu; number of connections to keep open when idle
	limit     int           // guarded by mu; maximum of open
	fullUntil time.Time     // guarded by mu; end of the time for which the target counts as full
	redialAt  time.Time     // guarded by mu; end of the backoff after the target was full
	closed    bool          // guarded by mu
}

// SetLimits sets how many connections are kept open when idle and how many may be open.
func (p *Pool) SetLimits(base, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.base, p.limit = base, limit
	p.updateGate()
	p.updateTransactionRoom()
}

// ReserveTransaction waits until another transaction may hold a connection, at most until
// the given time, and reports whether one may. The reservation ends with
// CancelTransaction, or when the connection that Pin marked is released or discarded.
func (p *Pool) ReserveTransaction(until time.Time) bool {
	return p.transactions.reserve(until)
}

// CancelTransaction ends a reservation for which no connection was marked.
func (p *Pool) CancelTransaction() {
	p.transactions.release()
}

// updateTransactionRoom sets how many transactions may hold connections. p.mu must be held.
func (p *Pool) updateTransactionRoom() {
	p.transactions.setLimit(transactionLimit(p.open-p.dialing, p.limit, time.Now().Before(p.fullUntil)))
}

// Pin marks a lent connection, for which room was reserved, as held by a transaction of
// the given tenant until the transaction ends.
func (p *Pool) Pin(c *PooledConn, tenant string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pinned, c.pinnedBy = true, tenant
	p.pinned++
	p.target.Gate.connectionPinned(tenant)
	p.updateGate()
}

// unpin marks a connection as no longer held by a transaction. p.mu must be held.
func (p *Pool) unpin(c *PooledConn) {
	if c.pinned {
		c.pinned = false
		p.pinned--
		p.target.Gate.connectionUnpinned(c.pinnedBy)
		p.updateGate()
		p.transactions.release()
	}
}

// updateGate sets the number of connections that the gate may use for new work. p.mu must
// be held.
func (p *Pool) updateGate() {
	p.target.Gate.SetConnections(p.limit - p.pinned)
}

// controlPriority is the priority of control statements, which go before all requests.
const controlPriority = -1

// AcquireControl returns a connection for a control statement. It may open one above the
// limit, so that the health of a target can be checked while all other connections wait
// for answers.
func (p *Pool) AcquireControl(until time.Time) (*PooledConn, Verdict) {
	return p.acquire(0, controlPriority, 1, until)
}

// Acquire returns a connection for a session, and waits for one until the given time.
// Requests with a lower priority value go first.
func (p *Pool) Acquire(session uint64, priority int, until time.Time) (*PooledConn, Verdict) {
	return p.acquire(session, priority, 0, until)
}

// acquire is Acquire with a number of extra connections that may be opened above the
// limit.
func (p *Pool) acquire(session uint64, priority, extra int, until time.Time) (*PooledConn, Verdict) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Closed
	}
	if c := p.takeIdle(session, time.Now()); c != nil {
		p.mu.Unlock()
		return c, Acquired
	}
	wait := time.Until(until)
	if wait <= 0 {
		p.mu.Unlock()
		return nil, TimedOut
	}
	p.seq++
	w := &waiter{priority: priority, seq: p.seq, result: make(chan *PooledConn, 1)}
	p.enqueue(w)
	p.dialIfNeeded(extra)
	p.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c := <-w.result:
		return connVerdict(c)
	case <-timer.C:
	}
	if p.removeWaiter(w) {
		return nil, TimedOut
	}
	return connVerdict(<-w.result)
}

// connVerdict returns a connection sent to a waiter with the verdict; nil is sent if the
// target is unreachable.
func connVerdict(c *PooledConn) (*PooledConn, Verdict) {
	if c == nil {
		return nil, Unreachable
	}
	return c, Acquired
}

// takeIdle removes an idle connection that is still open and returns it, preferably the
// one that the session used last. It returns nil if there is none. p.mu must be held.
func (p *Pool) takeIdle(session uint64, now time.Time) *PooledConn {
	for len(p.idle) > 0 {
		at := len(p.idle) - 1
		for i, c := range p.idle {
			if c.session == session {
				at = i
			}
		}
		c := p.idle[at]
		p.idle = slices.Delete(p.idle, at, at+1)
		if now.Sub(c.idleSince) < aliveCheckIdle || c.Alive() {
			c.session = session
			return c
		}
		p.open--
		p.target.connectionEnded()
		closeQuietly(c.Conn)
	}
	return nil
}

// enqueue inserts a waiter by priority and arrival. p.mu must be held.
func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiters, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.seq) - int(b.seq)
	})
	p.waiters = slices.Insert(p.waiters, at, w)
}

// removeWaiter removes a waiter that has timed out, and reports whether it was still
// waiting.
func (p *Pool) removeWaiter(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiters, w)
	if at < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return true
}

// dialIfNeeded opens connections while more requests wait than dials are running and the
// limit plus extra is not reached. It dials as many at once as are established, at least
// one, so that the homes that connect to a target at the same time, with the connections
// of their dead predecessors still counted there, get one each before one of them gets
// all that are left. It opens none while it backs off from a full target.
// p.mu must be held.
func (p *Pool) dialIfNeeded(extra int) {
	for !p.closed && p.dialing < len(p.waiters) && p.open < p.limit+extra {
		if established := p.open - p.dialing; p.dialing >= max(established, 1) {
			return
		}
		if time.Now().Before(p.redialAt) {
			return
		}
		p.open++
		p.dialing++
		go p.dial()
	}
}

// dial opens a connection and delivers it.
func (p *Pool) dial() {
	info := p.target.Info()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.target.counters.dials.Inc()
	conn, err := p.dialer.Dial(ctx, info.Address, info.Group, "", info.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err == nil && p.closed {
		p.open--
		closeQuietly(conn)
		return
	}
	if err == nil {
		p.target.markAnswering()
		p.deliver(&PooledConn{Conn: conn, target: p.target, values: map[string]string{}, prepared: map[string]struct{}{}})
		p.dialIfNeeded(0)
		return
	}
	p.open--
	p.dialFailed(err)
}

// dialFailed handles a failed dial. If the target has no room, dialing is retried after
// a backoff. If the target is unreachable, all waiting requests fail, unless other
// connections are still open. p.mu must be held.
func (p *Pool) dialFailed(err error) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == query.TooManyConnections {
		p.target.counters.full.Inc()
		p.target.markAnswering()
		backoff := fullBackoff
		if p.open == 0 {
			backoff = firstBackoff
		}
		now := time.Now()
		p.fullUntil, p.redialAt = now.Add(fullBackoff), now.Add(backoff)
		p.updateTransactionRoom()
		time.AfterFunc(backoff, p.retryDial)
		return
	}
	p.target.connectFailed(err)
	if p.open > p.dialing {
		return
	}
	for _, w := range p.waiters {
		w.result <- nil
	}
	p.waiters = nil
}

// retryDial opens connections for the requests that still wait after a backoff.
func (p *Pool) retryDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateTransactionRoom()
	p.dialIfNeeded(0)
}

// deliver hands a connection to the first waiter, or adds it to the idle ones. p.mu must
// be held.
func (p *Pool) deliver(c *PooledConn) {
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		w.result <- c
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// Release returns a connection to the pool. It must have no open transaction and no
// pending answer.
func (p *Pool) Release(c *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpin(c)
	if p.closed {
		p.open--
		closeQuietly(c.Conn)
		return
	}
	p.deliver(c)
}

// Discard closes a connection that cannot be used again.
func (p *Pool) Discard(c *PooledConn) {
	closeQuietly(c.Conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpin(c)
	p.open--
	p.dialIfNeeded(0)
}

// Trim closes connections above the base that have been idle for longer than
// surplusIdleTimeout. If the group is not in use, it closes those of the base too: this
// daemon is no longer home of the group, and the target's cap is for those that are.
func (p *Pool) Trim(now time.Time, inUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := 0
	if inUse {
		keep = p.base
	}
	for len(p.idle) > 0 && p.open > keep && now.Sub(p.idle[0].idleSince) > surplusIdleTimeout {
		closeQuietly(p.idle[0].Conn)
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
}

// Close closes the pool and its idle connections, and fails all waiting requests. Lent
// connections are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		closeQuietly(c.Conn)
		p.open--
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.result <- nil
	}
	p.waiters = nil
}

// Full reports whether the target had no room for another connection within the last
// fullBackoff.
func (p *Pool) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.fullUntil)
}

// Exhausted reports whether the target had no room for a connection within the last
// fullBackoff and none is open.
func (p *Pool) Exhausted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == p.dialing && time.Now().Before(p.fullUntil)
}

// closeQuietly closes a connection and ignores the error.
func closeQuietly(c Conn) {
	// The connection is discarded, so an error has no consequences.
	_ = c.Close()
}
