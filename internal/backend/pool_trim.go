package backend

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/conncache"
)

// evict closes an idle connection and counts it. p.mu must be held.
func (p *Pool) evict(at int, reason *metrics.Counter) {
	p.closeConn(p.removeIdle(at))
	reason.Inc()
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
