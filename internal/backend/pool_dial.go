package backend

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/conncache"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

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
