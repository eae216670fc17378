package backend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/conncache"
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
	// growBackoff is the same for a pool with tenants and with connections that are not held
	// by transactions: it serves other tenants in the places of these meanwhile. With
	// fullBackoff, 6 homes of 80 tenants that started at once were refused 108 times in 3 s by
	// a target that counted old connections.
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
	// replaceAt is the same for a dial in the place of a connection that was closed for it.
	replaceAt      time.Time            // guarded by mu
	tenantRedialAt map[string]time.Time // guarded by mu; end of the backoff of a tenant whose dial failed
	fullAt         time.Time            // guarded by mu; when the target last had no room
	refusedLast    bool                 // guarded by mu; set if the target had no room for the last connection dialed
	keepIdle       bool                 // guarded by mu; set if idle connections are kept as a cache of those of tenants
	tenanted       bool                 // guarded by mu; set once a request has had a tenant
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

// Pin marks a lent connection, for which room was reserved, as held by a transaction until
// the transaction ends.
func (p *Pool) Pin(c *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pinned = true
	p.countTenant(c.tenant, tenantConns{pinned: 1})
	p.updateGate()
}

// unpin marks a connection as no longer held by a transaction. p.mu must be held.
func (p *Pool) unpin(c *PooledConn) {
	if c.pinned {
		c.pinned = false
		p.countTenant(c.tenant, tenantConns{pinned: -1})
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
		at := -1
		for i, c := range p.idle {
			if c.tenant == w.tenant && (at < 0 || c.session == session || p.idle[at].session != session) {
				at = i
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

// backsOff reports whether no connection may be opened for a tenant at a time except in the
// place of another. growBackoff does not hold for those without a tenant, so that the
// control statements that tell whether the target answers are not delayed by it. p.mu must
// be held.
func (p *Pool) backsOff(tenant string, now time.Time) bool {
	return now.Before(p.redialAt) || tenant != "" && p.open > p.pinned && now.Before(p.growAt)
}

// view returns the state of the connections for a decision. The idle ones come first, with
// the same indices as in p.idle. p.mu must be held.
func (p *Pool) view() conncache.View {
	now := boottime.Now()
	v := conncache.View{
		Now: now, Limit: p.limit, OpenTime: p.openTime, Demand: &p.demand,
		Connections: make([]conncache.Connection, 0, p.open), Waiting: make([]string, 0, len(p.waiters)),
	}
	idle := make(map[string]int, len(p.tenants))
	for _, c := range p.idle {
		idle[c.tenant]++
		v.Connections = append(v.Connections, conncache.Connection{Tenant: c.tenant, State: conncache.Idle, UsedAt: c.usedAt})
	}
	for tenant, n := range p.tenants {
		inUse := n.open - n.dialing - n.pinned - idle[tenant]
		for state, count := range map[conncache.State]int{conncache.Opening: n.dialing, conncache.Held: n.pinned, conncache.InUse: inUse} {
			for range count {
				v.Connections = append(v.Connections, conncache.Connection{Tenant: tenant, State: state, UsedAt: now})
			}
		}
	}
	for _, w := range p.waiters {
		v.Waiting = append(v.Waiting, w.tenant)
	}
	return v
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

// dialIfNeeded opens connections for the requests that wait and for which no dial is
// running. It dials as many at once as are established, at least one, so that the homes
// that connect to a target at the same time, with the connections of their dead
// predecessors still counted there, get one each before one of them gets all that are
// left. The connections of the pool may exceed the limit by extra for requests without a
// tenant. p.mu must be held.
func (p *Pool) dialIfNeeded(extra int) {
	if p.closed || len(p.waiters) == 0 {
		return
	}
	now := time.Now()
	for _, tenant := range p.undialed() {
		if p.dialing >= p.maxDials(p.open-p.dialing) {
			return
		}
		limit := p.limit
		if tenant == "" {
			limit += extra
		}
		p.tryDial(tenant, limit, now)
	}
}

// maxDials returns how many dials may run at once with a number of established connections.
// With tenants it is one from a refusal for want of room until the next success, so that a
// target that stays full refuses one dial per backoff. p.mu must be held.
func (p *Pool) maxDials(established int) int {
	if p.tenanted && p.refusedLast {
		return 1
	}
	return max(established, 1)
}

// undialed returns the tenants of the waiting requests for which no dial is running, in the
// order in which to dial. Tenants over their share come last. p.mu must be held.
func (p *Pool) undialed() []string {
	dialing := make(map[string]int, len(p.tenants))
	for tenant, n := range p.tenants {
		dialing[tenant] = n.dialing
	}
	out := make([]string, 0, len(p.waiters))
	for _, w := range p.waiters {
		if dialing[w.tenant] > 0 {
			dialing[w.tenant]--
			continue
		}
		out = append(out, w.tenant)
	}
	if len(out) < 2 || !p.tenanted {
		return out
	}
	v := p.view()
	rank := func(tenant string) int {
		if conncache.OverShare(v, tenant) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b string) int { return rank(a) - rank(b) })
	return out
}

// tryDial opens a connection for a tenant, if there is a place for one within the limit or
// if an idle connection of another tenant can be closed for it. While it backs off from a
// full target, it only opens one in the place of another. p.mu must be held.
func (p *Pool) tryDial(tenant string, limit int, now time.Time) {
	if now.Before(p.tenantRedialAt[tenant]) {
		return
	}
	v := p.view()
	v.Limit, v.Full = limit, p.backsOff(tenant, now)
	switch d := conncache.Decide(v); {
	case d.Action == conncache.Open:
		p.startDial(tenant, false)
	case d.Action == conncache.Evict && !now.Before(p.replaceAt):
		p.evict(d.Victim, p.target.counters.evicted)
		p.startDial(tenant, true)
	}
}

// evict closes an idle connection and counts it. p.mu must be held.
func (p *Pool) evict(at int, reason *metrics.Counter) {
	p.closeConn(p.removeIdle(at))
	reason.Inc()
}

// startDial starts to open a connection for a tenant. replacing is set if another
// connection was closed for it. p.mu must be held.
func (p *Pool) startDial(tenant string, replacing bool) {
	p.countTenant(tenant, tenantConns{open: 1, dialing: 1})
	go p.dial(tenant, replacing)
}

// dial opens a connection for a tenant and delivers it.
func (p *Pool) dial(tenant string, replacing bool) {
	info := p.target.Info()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.target.counters.dials.Inc()
	began := time.Now()
	conn, err := p.dialer.Dial(ctx, info.Address, info.Group, tenant, info.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.countTenant(tenant, tenantConns{open: -1, dialing: -1})
		p.dialFailed(tenant, replacing, err)
		return
	}
	p.countTenant(tenant, tenantConns{dialing: -1})
	c := &PooledConn{Conn: conn, target: p.target, tenant: tenant, values: map[string]string{}, prepared: map[string]struct{}{}}
	if p.closed {
		p.closeConn(c)
		return
	}
	p.target.markAnswering()
	p.refusedLast = false
	p.openTime += time.Duration(openTimeWeight * float64(time.Since(began)-p.openTime))
	p.deliver(c, foundDialed)
	p.dialIfNeeded(0)
}

// dialFailed handles a failed dial for a tenant. If the target has no room, dialing is
// retried after a backoff. If the target is unreachable, the waiting requests fail for which
// no connection is open that they could use. p.mu must be held.
func (p *Pool) dialFailed(tenant string, replacing bool, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == query.TooManyConnections {
		p.targetFull(replacing)
		p.dialIfNeeded(0)
		return
	}
	if refused != nil && refused.Code == query.Unauthorized {
		p.target.markAnswering()
	} else {
		p.target.connectFailed(err)
	}
	if p.open <= p.dialing {
		p.failWaiters(func(*waiter) bool { return true })
		return
	}
	if established := p.tenants[tenant]; established.open <= established.dialing {
		p.failWaiters(func(w *waiter) bool {
			if w.control || w.tenant != tenant {
				return false
			}
			w.failures++
			return refused != nil || w.failures >= maxTenantDialFailures
		})
	}
	if p.tenanted {
		p.tenantRedialAt[tenant] = time.Now().Add(firstBackoff)
		time.AfterFunc(firstBackoff, func() { p.retryTenant(tenant) })
		p.dialIfNeeded(0)
	}
}

// targetFull starts the backoff after the target had no room for a connection. A refusal of
// a connection that should replace another prolongs the backoff for additional ones, so that
// both together are refused no more often. p.mu must be held.
func (p *Pool) targetFull(replacing bool) {
	p.target.counters.full.Inc()
	p.target.markAnswering()
	backoff := fullBackoff
	if p.open == 0 {
		backoff = firstBackoff
	}
	now := time.Now()
	p.refusedLast = true
	p.fullAt, p.fullUntil, p.growAt = now, now.Add(fullBackoff), now.Add(growBackoff)
	if !replacing {
		p.redialAt = now.Add(backoff)
	} else {
		p.replaceAt = now.Add(backoff)
		if now.Before(p.redialAt) {
			p.redialAt = now.Add(min(p.redialAt.Sub(now), backoff) + backoff)
		} else {
			p.redialAt = now.Add(backoff)
		}
		time.AfterFunc(backoff, p.retryDial)
	}
	p.updateTransactionRoom()
	time.AfterFunc(p.redialAt.Sub(now), p.retryDial)
	if p.tenanted {
		time.AfterFunc(growBackoff, p.retryDial)
	}
}

// failWaiters fails the waiting requests that a condition holds for, because the target is
// unreachable. p.mu must be held.
func (p *Pool) failWaiters(condition func(*waiter) bool) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		fail := condition(w)
		if fail {
			w.result <- nil
		}
		return fail
	})
}

// retryDial opens connections for the requests that still wait after a backoff.
func (p *Pool) retryDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateTransactionRoom()
	p.dialIfNeeded(0)
}

// retryTenant ends the backoff of a tenant and opens connections for the requests that
// still wait.
func (p *Pool) retryTenant(tenant string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(p.tenantRedialAt[tenant]) {
		delete(p.tenantRedialAt, tenant)
	}
	p.dialIfNeeded(0)
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

// yield closes a released connection and opens one for another tenant in its place, if a
// request of that tenant goes before those that could use the connection, and reports
// whether it did. p.mu must be held.
func (p *Pool) yield(c *PooledConn) bool {
	own := slices.IndexFunc(p.waiters, func(w *waiter) bool { return w.canUse(c.tenant) })
	now := time.Now()
	if own < 0 || !p.tenanted || p.dialing >= p.maxDials(p.open-1-p.dialing) || now.Before(p.replaceAt) {
		return false
	}
	other := p.firstUndialed(c.tenant, now)
	if other == nil || other.priority > p.waiters[own].priority {
		return false
	}
	if !conncache.Yields(p.view(), c.tenant, other.tenant, now.Sub(p.waiters[own].since), now.Sub(other.since)) {
		return false
	}
	p.closeConn(c)
	p.target.counters.yielded.Inc()
	p.startDial(other.tenant, true)
	return true
}

// firstUndialed returns the first waiting request that can't use a connection of the given
// tenant, for which no dial is running, and whose own tenant does not back off from a failed
// dial; nil if there is none. p.mu must be held.
func (p *Pool) firstUndialed(tenant string, now time.Time) *waiter {
	waiting := make(map[string]int)
	for _, w := range p.waiters {
		if w.canUse(tenant) {
			continue
		}
		waiting[w.tenant]++
		if waiting[w.tenant] > p.tenants[w.tenant].dialing && !now.Before(p.tenantRedialAt[w.tenant]) {
			return w
		}
	}
	return nil
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

// Trim closes idle connections that are not needed. If the group is not in use, these are
// all that have been idle for longer than surplusIdleTimeout: this daemon is no longer home
// of the group, and the target's cap is for those that are. Otherwise they are those above
// the base that have been idle as long, or with SetKeepIdle those that trimKept closes.
func (p *Pool) Trim(now time.Time, inUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inUse && p.keepIdle {
		p.trimKept(now)
		return
	}
	keep := 0
	if inUse {
		keep = p.base
	}
	for len(p.idle) > 0 && p.open > keep && now.Sub(p.idle[0].idleSince) > surplusIdleTimeout {
		p.evict(0, p.target.counters.trimmed)
	}
}

// trimKept closes idle connections that the target has closed, those above the limit and,
// within fullMemory after the target had no room, those that can best be missed. p.mu must
// be held.
func (p *Pool) trimKept(now time.Time) {
	for at := len(p.idle) - 1; at >= 0; at-- {
		if !p.idle[at].Alive() {
			p.evict(at, p.target.counters.trimmed)
		}
	}
	for p.open > p.limit {
		at, ok := conncache.Victim(p.view())
		if !ok {
			break
		}
		p.evict(at, p.target.counters.trimmed)
	}
	p.dialIfNeeded(0)
	if now.Sub(p.fullAt) > fullMemory {
		return
	}
	surplus := conncache.Release(p.view(), p.base)
	slices.SortFunc(surplus, func(a, b int) int { return b - a })
	for _, at := range surplus {
		if now.Sub(p.idle[at].idleSince) > surplusIdleTimeout {
			p.evict(at, p.target.counters.trimmed)
		}
	}
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

// evictionCostFactor multiplies the time of opening a connection where another tenant's is
// closed for it: that one will have to be opened again, and the new one too once it is closed
// in its turn.
const evictionCostFactor = 3

// OpeningCost returns by how much longer a statement of a tenant is expected to take because
// it finds no idle connection of the tenant, 0 if there is one. It includes the openings that
// follow where another tenant's connection is closed. Without SetKeepIdle it is 0.
func (p *Pool) OpeningCost(tenant string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keepIdle || slices.ContainsFunc(p.idle, func(c *PooledConn) bool { return c.tenant == tenant }) {
		return 0
	}
	room := p.open < p.limit && !p.backsOff(tenant, time.Now())
	if own := p.tenants[tenant]; room || own.open > own.pinned {
		return p.openTime
	}
	return evictionCostFactor * p.openTime
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
