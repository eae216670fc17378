package backend

import (
	"slices"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/conncache"
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
	// growBackoff is the same for a pool with tenants and with connections that are not held
	// by transactions: it serves other tenants in the places of these meanwhile. With
	// fullBackoff, 6 homes of 80 tenants that started at once were refused about 100 times in
	// 3 s by a target that counted old connections, with this value about 40 times.
	growBackoff = time.Second
	// fullMemory is how long after a target had no room idle connections are closed to make
	// room for those of other homes: the time for which a target counts the connections of a
	// daemon that lost power.
	fullMemory = 3 * time.Second
	// aliveCheckIdle is the idle time after which a connection is checked before use.
	aliveCheckIdle = 20 * time.Millisecond
	// initialOpenTime is the assumed time of a dial until one has been measured: a round
	// trip and the time for which the target needs a slot.
	initialOpenTime = 15 * time.Millisecond
	// openTimeWeight is the weight of a new measurement of the time of a dial.
	openTimeWeight = 0.2
	// maxTenantDialFailures is the number of failed dials after which the requests of a
	// tenant without a connection fail although other tenants have connections.
	maxTenantDialFailures = 2
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
	tenant string
	// values are the session values of the request.
	values map[string]string
	// control is set for a control statement, which may use a connection of any tenant.
	control  bool
	priority int
	seq      uint64
	since    time.Time
	// failures is the number of dials for the tenant that have failed meanwhile.
	failures int
	result   chan *PooledConn // receives nil if the target is unreachable
}

// canUse reports whether the request may run on a connection of the given tenant.
func (w *waiter) canUse(tenant string) bool {
	return w.control || w.tenant == tenant
}

// tenantConns counts the connections of one tenant in a pool.
type tenantConns struct {
	// open includes those that are being dialed, which dialing counts, and those that
	// transactions hold, which pinned counts.
	open, dialing, pinned int
}

// Pool holds the connections of one daemon to one target. A connection belongs to the
// tenant that it was opened for; connections without a tenant are a kind of their own. At
// the limit, a connection for one tenant takes the place of an idle one of another. A Pool
// is safe for concurrent use.
type Pool struct {
	target *Target
	dialer Dialer
	// transactions limits the connections that transactions hold. It is locked after mu.
	transactions transactionRoom

	mu        sync.Mutex
	tenants   map[string]tenantConns // guarded by mu; by tenant, without tenants that have none
	idle      []*PooledConn          // guarded by mu; ordered by last use, the most recent last
	waiters   []*waiter              // guarded by mu; ordered by priority, then by arrival
	open      int                    // guarded by mu; number of idle, lent and dialing connections
	dialing   int                    // guarded by mu
	pinned    int                    // guarded by mu; number of connections held by transactions
	demand    conncache.Demand       // guarded by mu; of requests with tenants
	openTime  time.Duration          // guarded by mu; moving average of the time of a dial
	seq       uint64                 // guarded by mu; seq of the last waiter
	base      int                    // guarded by mu; number of connections to keep open when idle
	limit     int                    // guarded by mu; maximum of open
	fullUntil time.Time              // guarded by mu; end of the time for which the target counts as full
	redialAt  time.Time              // guarded by mu; end of the backoff after the target was full
	growAt    time.Time              // guarded by mu; end of growBackoff
	// replaceAt is the end of the backoff after the target refused a connection in the place of
	// one that was closed for it.
	replaceAt      time.Time            // guarded by mu
	tenantRedialAt map[string]time.Time // guarded by mu; end of the backoff of a tenant whose dial failed
	fullAt         time.Time            // guarded by mu; when the target last had no room
	refusedLast    bool                 // guarded by mu; set if the target had no room for the last connection dialed
	keepIdle       bool                 // guarded by mu; set if idle connections are kept as a cache of those of tenants
	tenanted       bool                 // guarded by mu; set once the pool is known to serve tenants
	closed         bool                 // guarded by mu
}

// newPool returns a pool without connections.
func newPool(t *Target, dialer Dialer) *Pool {
	return &Pool{target: t, dialer: dialer, openTime: initialOpenTime, tenants: make(map[string]tenantConns), tenantRedialAt: make(map[string]time.Time)}
}

// SetLimits sets how many connections are kept open when idle and how many may be open.
func (p *Pool) SetLimits(base, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.base, p.limit = base, limit
	p.updateGate()
	p.updateTransactionRoom()
	if p.tenanted {
		p.dialIfNeeded(0)
	}
}

// SetKeepIdle sets whether idle connections are kept as long as the group is in use and the
// target has room, so that tenants find theirs open.
func (p *Pool) SetKeepIdle(keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepIdle = keep
	p.tenanted = p.tenanted || keep
}

// ReserveTransaction waits until another transaction of a tenant may hold a connection, at
// most until the given time, and reports whether one may. The reservation ends with
// CancelTransaction, or when the connection of the tenant that Pin marked is released or
// discarded.
func (p *Pool) ReserveTransaction(tenant string, until time.Time) bool {
	return p.transactions.reserve(tenant, until)
}

// CancelTransaction ends a reservation of a tenant for which no connection was marked.
func (p *Pool) CancelTransaction(tenant string) {
	p.transactions.release(tenant)
}

// updateTransactionRoom sets how many transactions may hold connections. p.mu must be held.
func (p *Pool) updateTransactionRoom() {
	p.transactions.setLimit(transactionLimit(p.open-p.dialing, p.limit, time.Now().Before(p.fullUntil)))
}

// Pin marks a lent connection, for which room was reserved, as held by a transaction of its
// tenant until the transaction ends.
func (p *Pool) Pin(c *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pinned = true
	p.countTenant(c.tenant, tenantConns{pinned: 1})
	p.target.Gate.connectionPinned(c.tenant)
	p.updateGate()
	if p.tenanted {
		// growBackoff ends when transactions hold all connections.
		p.dialIfNeeded(0)
	}
}

// unpin marks a connection as no longer held by a transaction. p.mu must be held.
func (p *Pool) unpin(c *PooledConn) {
	if c.pinned {
		c.pinned = false
		p.countTenant(c.tenant, tenantConns{pinned: -1})
		p.target.Gate.connectionUnpinned(c.tenant)
		p.updateGate()
		p.transactions.release(c.tenant)
	}
}

// updateGate sets the number of connections that the gate may use for new work. p.mu must
// be held.
func (p *Pool) updateGate() {
	p.target.Gate.SetConnections(p.limit - p.pinned)
}

// controlPriority is the priority of control statements, which go before all requests.
const controlPriority = -1

// AcquireControl returns a connection of any tenant for a control statement. It may open
// one above the limit, so that the health of a target can be checked while all other
// connections wait for answers.
func (p *Pool) AcquireControl(until time.Time) (*PooledConn, Verdict) {
	return p.acquire(&waiter{control: true, priority: controlPriority}, 0, 1, until)
}

// Acquire is AcquireFor for a request without a tenant.
func (p *Pool) Acquire(session uint64, priority int, until time.Time) (*PooledConn, Verdict) {
	return p.AcquireFor("", session, priority, until)
}

// AcquireFor returns a connection of a tenant for a session, and waits for one until the
// given time. Requests with a lower priority value go first.
func (p *Pool) AcquireFor(tenant string, session uint64, priority int, until time.Time) (*PooledConn, Verdict) {
	return p.acquire(&waiter{tenant: tenant, priority: priority}, session, 0, until)
}

// AcquireWithValues is AcquireFor for a session with values: of several idle connections that
// the session has not used, it prefers one that has these values.
func (p *Pool) AcquireWithValues(tenant string, session uint64, values map[string]string, priority int, until time.Time) (*PooledConn, Verdict) {
	return p.acquire(&waiter{tenant: tenant, values: values, priority: priority}, session, 0, until)
}

// acquire returns a connection for a request, and waits for one until the given time. It
// may open a number of extra connections above the limit.
func (p *Pool) acquire(w *waiter, session uint64, extra int, until time.Time) (*PooledConn, Verdict) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Closed
	}
	now := time.Now()
	p.tenanted = p.tenanted || w.tenant != ""
	if p.tenanted && !w.control {
		p.demand.Record(w.tenant, boottime.Now())
	}
	if c := p.takeIdle(w, session, now); c != nil {
		if p.tenanted {
			p.dialIfNeeded(0)
		}
		p.mu.Unlock()
		p.countFound(w, foundIdle)
		return c, Acquired
	}
	wait := until.Sub(now)
	if wait <= 0 {
		p.mu.Unlock()
		return nil, TimedOut
	}
	p.seq++
	w.seq, w.since, w.result = p.seq, now, make(chan *PooledConn, 1)
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

// takeIdle removes an idle connection that a request can use and that is still open, and
// returns it, preferably the one that the session used last. It returns nil if there is
// none. p.mu must be held.
func (p *Pool) takeIdle(w *waiter, session uint64, now time.Time) *PooledConn {
	for {
		at, best := -1, 0
		for i, c := range p.idle {
			if fit := c.fit(w, session); fit > 0 && fit >= best {
				at, best = i, fit
			}
		}
		if at < 0 && w.control {
			// The connection to be closed next is the one that is missed least meanwhile.
			if i, ok := conncache.Victim(p.view()); ok {
				at = i
			}
		}
		if at < 0 {
			return nil
		}
		c := p.removeIdle(at)
		if now.Sub(c.idleSince) < aliveCheckIdle || c.Alive() {
			c.session = session
			return c
		}
		p.closeConn(c)
		p.target.connectionEnded()
	}
}

// fit returns how well an idle connection suits a request of a session, 0 if it can't be used:
// one that has the values of the session saves a round trip.
func (c *PooledConn) fit(w *waiter, session uint64) int {
	switch {
	case c.tenant != w.tenant:
		return 0
	case !c.hasValues(w.values):
		return 1
	case c.session != session:
		return 2
	default:
		return 3
	}
}

// removeIdle removes the idle connection at an index and returns it. p.mu must be held.
func (p *Pool) removeIdle(at int) *PooledConn {
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return c
}

// countTenant adds to the numbers of connections of a tenant and of the pool. p.mu must be
// held.
func (p *Pool) countTenant(tenant string, n tenantConns) {
	p.open += n.open
	p.dialing += n.dialing
	p.pinned += n.pinned
	t := p.tenants[tenant]
	t = tenantConns{open: t.open + n.open, dialing: t.dialing + n.dialing, pinned: t.pinned + n.pinned}
	if t == (tenantConns{}) {
		delete(p.tenants, tenant)
		return
	}
	p.tenants[tenant] = t
}

// closeConn closes a connection, which must not be among the idle ones any more. p.mu must
// be held.
func (p *Pool) closeConn(c *PooledConn) {
	closeQuietly(c.Conn)
	p.countTenant(c.tenant, tenantConns{open: -1})
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

// deliver hands a connection to the first waiter that can use it, or adds it to the idle
// ones, and reports whether a waiter got it. p.mu must be held.
func (p *Pool) deliver(c *PooledConn, found string) bool {
	if at := slices.IndexFunc(p.waiters, func(w *waiter) bool { return w.canUse(c.tenant) }); at >= 0 {
		w := p.waiters[at]
		p.waiters = slices.Delete(p.waiters, at, at+1)
		p.countFound(w, found)
		w.result <- c
		return true
	}
	c.idleSince, c.usedAt = time.Now(), boottime.Now()
	p.idle = append(p.idle, c)
	return false
}

// Release returns a connection to the pool. It must have no open transaction and no
// pending answer.
func (p *Pool) Release(c *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpin(c)
	if p.closed {
		p.closeConn(c)
		return
	}
	if p.yield(c) || p.deliver(c, foundReleased) {
		return
	}
	p.dialIfNeeded(0)
}

// Discard closes a connection that cannot be used again.
func (p *Pool) Discard(c *PooledConn) {
	closeQuietly(c.Conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpin(c)
	p.countTenant(c.tenant, tenantConns{open: -1})
	p.dialIfNeeded(0)
}

// Close closes the pool and its idle connections, and fails all waiting requests. Lent
// connections are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.failWaiters(func(*waiter) bool { return true })
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

// Ways in which a request got its connection.
const (
	foundIdle     = "idle"
	foundReleased = "released"
	foundDialed   = "dialed"
)

// countFound counts a request of a caller that got a connection.
func (p *Pool) countFound(w *waiter, found string) {
	if !w.control {
		p.target.counters.found[found].Inc()
	}
}

// closeQuietly closes a connection and ignores the error.
func closeQuietly(c Conn) {
	// The connection is discarded, so an error has no consequences.
	_ = c.Close()
}
