package failover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Times of a promotion.
const (
	// catchUpLimit bounds the wait for a replica to hold all of a primary that was
	// demoted for planned work; writes wait meanwhile.
	catchUpLimit = 800 * time.Millisecond
	// holdAhead is how long before the leases run out the replicas of a primary that
	// can't be reached are held.
	holdAhead = 350 * time.Millisecond
	// demoteTimeout bounds the demotion of a primary that may be dead.
	demoteTimeout = 250 * time.Millisecond
	// pollInterval is the time between looks at the targets.
	pollInterval = 30 * time.Millisecond
	// holdLimit bounds the attempts to hold every replica.
	holdLimit = 1500 * time.Millisecond
	// takesEffectLimit bounds the wait for a promotion to take effect.
	takesEffectLimit = 3 * time.Second
	// promoteCallTimeout bounds one promote call.
	promoteCallTimeout = time.Second
)

// Promoter implements backend.Promoter.
type Promoter struct {
	PromotionLock *LockManager
	Client        PromotionClient
	Log           *eventlog.Log

	// demanded maps each group to the highest term that the holder was asked for.
	demanded sync.Map
}

// Holder reports whether this daemon holds the promotion lock, as far as known.
func (p *Promoter) Holder() bool {
	return p.PromotionLock.IsHolder()
}

// demandAfter is how long a need is watched before the holder is told of it. A
// holder sees by itself that a primary leaves, and a primary that is silent may come
// back.
var demandAfter = map[leadership.Reason]time.Duration{
	leadership.PrimaryLeaving:     800 * time.Millisecond,
	leadership.PrimaryUnreachable: 300 * time.Millisecond,
}

// demand asks the holder for a promotion that it may not see the need of, once a
// term.
func (p *Promoter) demand(ctx context.Context, g *backend.Group, reason leadership.Reason, term position.Term, since time.Duration) error {
	if since < demandAfter[reason] {
		return nil
	}
	if asked, ok := p.demanded.Load(g.Name); ok && asked.(position.Term) >= term {
		return nil
	}
	if err := p.PromotionLock.RequestPromotion(ctx, g.Name, term); err != nil {
		return err
	}
	p.demanded.Store(g.Name, term)
	p.Log.StateChange("promotion_demanded", "group", g.Name, "reason", string(reason), "term", term, "since_ms", since.Milliseconds())
	return nil
}

// attempt is one promotion.
type attempt struct {
	*Promoter
	group *backend.Group
	// old is the primary to replace, nil if unknown.
	old  *backend.Target
	term position.Term
	duty PromotionLock
}

// Promote makes another target the primary of g. Only the holder of the promotion lock acts;
// others take the promotion lock over if the need lasts.
func (p *Promoter) Promote(ctx context.Context, g *backend.Group, reason leadership.Reason, since time.Duration) error {
	began := boottime.Now()
	term := max(g.JoinedTerm()+1, g.RequestedTerm())
	a := attempt{Promoter: p, group: g, old: oldPrimary(g), term: term}
	duty, err := p.PromotionLock.Acquire(ctx, g.Name, term, since)
	if err != nil {
		if errors.Is(err, ErrOtherHolder) {
			return p.demand(ctx, g, reason, term, since)
		}
		return err
	}
	a.duty = duty
	p.Log.StateChange("promotion_begins", "group", g.Name, "reason", string(reason), "term", term, "token", duty.Token, "since_ms", since.Milliseconds())
	target, err := a.run(ctx, reason)
	if err != nil || target == "" {
		return err
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_promotions_total{reason=%q}`, reason)).Inc()
	p.Log.StateChange("promotion_done", "group", g.Name, "target", target, "term", term, "took_ms", (boottime.Now() - began).Milliseconds())
	return nil
}

// oldPrimary returns the target that leads or led, if it is still listed.
func oldPrimary(g *backend.Group) *backend.Target {
	if l := g.Leader(); l != nil {
		return l.Target
	}
	for _, t := range g.Targets() {
		if t.Info().Primary {
			return t
		}
	}
	return nil
}

// run promotes a replica once every lease for the old primary has run out.
func (a *attempt) run(ctx context.Context, reason leadership.Reason) (string, error) {
	free := boottime.Now() + primarylease.TTL + primarylease.Margin
	ctxtime.Sleep(ctx, free-holdAhead-boottime.Now())
	reached := a.primaryLeads(ctx)
	switch {
	case reached && reason == leadership.PrimaryUnreachable:
		a.Log.StateChange("promotion_withdrawn", "group", a.group.Name, "term", a.term)
		return "", a.PromotionLock.Withdraw(ctx, a.duty, a.group.Name, a.term)
	case reached || reason == leadership.PrimaryLeaving:
		// It serves those whose leases still count until then.
		ctxtime.Sleep(ctx, free-boottime.Now())
		if end, demoted := a.demote(ctx); demoted {
			a.awaitCatchUp(ctx, end)
		}
	default:
		a.demote(ctx)
	}
	observed, err := a.hold(ctx)
	if err != nil {
		return "", err
	}
	if joined := leadership.JoinedTerm(observed); joined >= a.term {
		// A promotion would lead beyond the intent that stands in the store.
		a.group.ObserveJoinedTerm(joined)
		return "", fmt.Errorf("term %d of %s is reached already", joined, a.group.Name)
	}
	ctxtime.Sleep(ctx, free-boottime.Now())
	return a.name(ctx, observed)
}

// primaryLeads reports whether the old primary stays, can be reached and leads.
func (a *attempt) primaryLeads(ctx context.Context) bool {
	if a.old == nil || !a.group.HasTarget(a.old) || a.old.Info().Draining {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, demoteTimeout)
	defer cancel()
	status, err := a.old.Control(ctx, query.Statement{Kind: query.Status})
	return err == nil && status.Primary && status.Term == a.term-1
}

// demote makes the old primary a replica if it can be reached, and returns the end
// of its log.
func (a *attempt) demote(ctx context.Context) (position.Position, bool) {
	if a.old == nil {
		return position.Position{}, false
	}
	if a.old.State(boottime.Now()).FailingFor > 0 {
		// It is told in the background, for the case that it can be reached.
		go a.demoteOld(context.WithoutCancel(ctx))
		return position.Position{}, false
	}
	return a.demoteOld(ctx)
}

func (a *attempt) demoteOld(ctx context.Context) (position.Position, bool) {
	ctx, cancel := context.WithTimeout(ctx, demoteTimeout)
	defer cancel()
	status, err := a.old.Control(ctx, query.Statement{Kind: query.Demote, Term: a.term})
	a.Log.StateChange("primary_demoted", "group", a.group.Name, "target", a.old.Info().ID, "term", a.term, "ok", err == nil)
	return status.Received, err == nil
}

// awaitCatchUp waits until a replica that stays holds everything up to end.
func (a *attempt) awaitCatchUp(ctx context.Context, end position.Position) {
	limit := boottime.Now() + catchUpLimit
	for boottime.Now() < limit && ctx.Err() == nil {
		caughtUp := func(seen []leadership.Observation) bool {
			return slices.ContainsFunc(seen, func(o leadership.Observation) bool {
				return o.Reached && !o.Draining && o.ID != a.old.Info().ID && o.Status.Received.Covers(end)
			})
		}
		if caughtUp(a.group.Observe(ctx, query.Statement{Kind: query.Status}, nil, caughtUp)) {
			return
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
}

// hold holds every replica at the new term.
func (a *attempt) hold(ctx context.Context) ([]leadership.Observation, error) {
	limit := boottime.Now() + holdLimit
	old := ""
	if a.old != nil {
		old = a.old.Info().ID
	}
	for {
		suffice := func(seen []leadership.Observation) bool {
			return leadership.HoldsSuffice(seen, old, a.term, a.group.Limits().SyncReplicas)
		}
		observed := a.group.Observe(ctx, query.Statement{Kind: query.Hold, Term: a.term}, a.old, suffice)
		if suffice(observed) {
			return observed, nil
		}
		if boottime.Now() > limit || ctx.Err() != nil {
			return nil, fmt.Errorf("not every replica of %s could be held at term %d", a.group.Name, a.term)
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
}

// name calls promote for the best candidate, and for the next if that one is not
// running.
func (a *attempt) name(ctx context.Context, observed []leadership.Observation) (string, error) {
	except := map[string]bool{}
	if a.old != nil {
		except[a.old.Info().ID] = true
	}
	for {
		target, ok := leadership.SelectCandidate(observed, except, a.prefer)
		if !ok {
			return "", fmt.Errorf("no replica of %s can be promoted", a.group.Name)
		}
		answer, err := a.call(ctx, target)
		switch answer {
		case PromoteRefused:
			except[target] = true
			continue
		case PromoteAccepted, PromoteUnclear:
			if a.awaitEffect(ctx) {
				return target, nil
			}
			// The call may still take effect, after another: the intent covers that.
			_, widening := a.PromotionLock.Acquire(ctx, a.group.Name, a.term+1, 0)
			err = errors.Join(err, widening)
			return "", fmt.Errorf("promotion of %s has no effect yet: %w", target, errors.Join(err, ctx.Err()))
		default:
			return "", fmt.Errorf("promote call for %s was not taken: %w", target, errors.Join(err, ctx.Err()))
		}
	}
}

func (a *attempt) call(ctx context.Context, target string) (PromoteAnswer, error) {
	if err := a.PromotionLock.Verify(ctx, a.duty); err != nil {
		return PromoteBusy, err
	}
	ctx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	answer, err := a.Client.Promote(ctx, a.group.Name, target, a.duty)
	a.Log.StateChange("promote_called", "group", a.group.Name, "target", target, "term", a.term, "token", a.duty.Token, "answer", answer, "failed", err != nil)
	return answer, err
}

// prefer orders replicas with equal logs: the nearer goes first.
func (a *attempt) prefer(x, y string) bool {
	return a.distance(x) < a.distance(y)
}

func (a *attempt) distance(id string) int {
	if t := a.group.FindTarget(id); t != nil {
		return a.group.Locality.Distance(t.Info().FailureDomain)
	}
	return 0
}

// awaitEffect waits until a target leads the new term, and lets the others
// receive again.
func (a *attempt) awaitEffect(ctx context.Context) bool {
	limit := boottime.Now() + takesEffectLimit
	for boottime.Now() < limit && ctx.Err() == nil {
		leads := func(seen []leadership.Observation) bool {
			return slices.ContainsFunc(seen, func(o leadership.Observation) bool {
				return o.Reached && o.Status.Primary && o.Status.Term >= a.term
			})
		}
		if leads(a.group.Observe(ctx, query.Statement{Kind: query.Status}, nil, leads)) {
			a.group.ObserveJoinedTerm(a.term)
			a.group.TriggerCheck()
			go a.resume()
			return true
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return false
}

// resumeAfter is how long a held replica is given to join the new term by itself.
const resumeAfter = 300 * time.Millisecond

// resume lets replicas receive that are still held after the promotion.
func (a *attempt) resume() {
	ctx, cancel := context.WithTimeout(context.Background(), takesEffectLimit)
	defer cancel()
	ctxtime.Sleep(ctx, resumeAfter)
	for _, t := range a.group.Targets() {
		status, err := t.Control(ctx, query.Statement{Kind: query.Status})
		if err != nil || status.Primary || status.Held == 0 {
			continue
		}
		_, err = t.Control(ctx, query.Statement{Kind: query.Resume})
		a.Log.StateChange("replica_resumed", "group", a.group.Name, "target", t.Info().ID, "held", status.Held, "joined", status.Term, "ok", err == nil)
	}
}
