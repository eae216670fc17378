package failover

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// outdatedAfter is how long a promotion must be needed before a target may be promoted that
// has not joined the term that is replaced. A change of primary shall be over within 13 s; the
// promotion itself takes the rest of that time.
const outdatedAfter = 10 * time.Second

// minTerm returns the term that a target must have joined to be promoted, when a promotion has
// been needed for the given time, and returns leadership.ErrNoSuccessor if no target in reach
// has joined it.
//
// The log of a target that has not joined a term may end in commits that the promotion to that
// term has rolled back: they would return, and reads of that term would turn out to have
// missed them. The primary of the term, or a target that follows it, mostly returns in some
// seconds.
func (p *Promoter) minTerm(ctx context.Context, g *backend.Group, needed time.Duration) (position.Term, error) {
	if needed >= outdatedAfter {
		return 0, nil
	}
	call, err := p.PromotionLock.LastCall(ctx, g.Name)
	if err != nil {
		return 0, err
	}
	old := knownPrimary(g)
	var present position.Term
	hasSuccessor := func(seen []leadership.Observation) bool {
		present = max(g.JoinedTerm(), call.PresentTerm(seen))
		c := leadership.Candidates{Targets: seen, Except: leadership.PrimariesOf(seen, present), MinTerm: present, SyncReplicas: g.Limits().SyncReplicas}
		if old != nil {
			c.Except[old.Info().ID] = true
		}
		_, ok := c.Select()
		return ok
	}
	observed := g.Observe(ctx, query.Statement{Kind: query.Status}, nil, hasSuccessor)
	g.ObserveJoinedTerm(leadership.JoinedTerm(observed))
	if hasSuccessor(observed) {
		return present, nil
	}
	metrics.GetOrCreateCounter(`laburnumrack_promotions_delayed_total{reason="no_successor"}`).Inc()
	return 0, fmt.Errorf("%w: group %s, term %d", leadership.ErrNoSuccessor, g.Name, present)
}
