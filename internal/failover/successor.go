package failover

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// The log of a target that has not joined a term may end in commits that the promotion to that
// term has rolled back: promoted, it would bring them back, and reads of the term would turn
// out to have missed them. The primary of the term, or a target that follows it, mostly returns
// in some seconds.

// outdatedAfter is how long a target that has joined the present term is waited for, before an
// outdated one may be promoted that has none of the commits that were rolled back. A change of
// primary shall be over within 13 s; the promotion itself takes the rest of that time. An
// outdated target that may have such commits is promoted after abandonAfter.
const outdatedAfter = 10 * time.Second

// successorRule tells which targets may be promoted. The zero rule allows all.
type successorRule struct {
	// present is the newest term that may have had a primary. Targets that have joined it may
	// be promoted.
	present position.Term
	// outdated tells that others may be promoted too, if they have none of the commits that
	// call, the call that led to the present term, has rolled back.
	outdated bool
	call     leadership.PromoteCall
}

// allows reports whether an observed target may be promoted.
func (r successorRule) allows(t leadership.Observation) bool {
	return t.Status.Term >= r.present || r.outdated && r.call.Term == r.present && !r.call.KeepsRolledBack(t)
}

// excluded returns the IDs of the observed targets that may not be promoted.
func (r successorRule) excluded(observed []leadership.Observation) map[string]bool {
	ids := map[string]bool{}
	for _, o := range observed {
		if !r.allows(o) {
			ids[o.ID] = true
		}
	}
	return ids
}

// successorWait tells since when no target in reach has joined a term, in time since boot.
type successorWait struct {
	term  position.Term
	since time.Duration
}

// waitedFor returns how long no target in reach has joined the present term, if a promotion has
// been needed for the given time. The need may be older than the term.
func (p *Promoter) waitedFor(g *backend.Group, present position.Term, needed time.Duration) time.Duration {
	now := boottime.Now()
	wait := successorWait{term: present, since: now}
	if known, ok := p.waits.Load(g.Name); ok && known.(successorWait).term == present {
		wait = known.(successorWait)
	}
	p.waits.Store(g.Name, wait)
	return min(needed, now-wait.since)
}

// successorRule returns the rule by which a target may be promoted, when a promotion has been
// needed for the given time, and leadership.ErrNoSuccessor if it allows no target in reach.
func (p *Promoter) successorRule(ctx context.Context, g *backend.Group, needed time.Duration) (successorRule, error) {
	call, err := p.PromotionLock.LastCall(ctx, g.Name)
	if err != nil {
		return successorRule{}, err
	}
	old := knownPrimary(g)
	rule := successorRule{call: call}
	hasSuccessor := func(seen []leadership.Observation) bool {
		rule.present = max(g.JoinedTerm(), call.PresentTerm(seen))
		c := leadership.Candidates{Targets: seen, Except: rule.excluded(seen), SyncReplicas: g.Limits().SyncReplicas}
		for id := range leadership.PrimariesOf(seen, rule.present) {
			c.Except[id] = true
		}
		if old != nil {
			c.Except[old.Info().ID] = true
		}
		_, ok := c.Select()
		return ok
	}
	observed := g.Observe(ctx, query.Statement{Kind: query.Status}, nil, hasSuccessor)
	g.ObserveJoinedTerm(leadership.JoinedTerm(observed))
	if hasSuccessor(observed) {
		p.waits.Delete(g.Name)
		return rule, nil
	}
	waited := p.waitedFor(g, rule.present, needed)
	if waited >= abandonAfter {
		return successorRule{}, nil
	}
	rule.outdated = waited >= outdatedAfter
	if hasSuccessor(observed) {
		return rule, nil
	}
	if p.HoldsLock() {
		p.holdOutdated(ctx, g, rule, observed)
	}
	metrics.GetOrCreateCounter(`laburnumrack_promotions_delayed_total{reason="no_successor"}`).Inc()
	return successorRule{}, fmt.Errorf("%w: group %s, term %d", leadership.ErrNoSuccessor, g.Name, rule.present)
}

// holdOutdated holds the replicas in reach that have not joined the present term, so that they
// receive nothing from a primary of an older term: commits that were rolled back, after which
// none of them could be promoted. When a target leads the present term, they are resumed.
func (p *Promoter) holdOutdated(ctx context.Context, g *backend.Group, rule successorRule, observed []leadership.Observation) {
	for _, o := range observed {
		t := g.FindTarget(o.ID)
		if t == nil || !o.Reached || o.Status.Primary || o.Status.Term >= rule.present || o.Status.Held >= rule.present || rule.call.KeepsRolledBack(o) {
			continue
		}
		_, err := t.Control(ctx, query.Statement{Kind: query.Hold, Term: rule.present})
		p.Log.StateChange("outdated_held", "group", g.Name, "target", o.ID, "term", rule.present, "ok", err == nil)
		go p.resumeWhenLed(g, rule.present)
	}
}
