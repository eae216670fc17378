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
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Timing of a promotion.
const (
	// catchUpTimeout bounds the wait for a replica to receive the whole log of a primary
	// that was demoted while reachable; writes wait meanwhile.
	catchUpTimeout = 800 * time.Millisecond
	// holdLeadTime is how long before the primary leases expire the demotion and the
	// holding of replicas start if the primary can't be reached.
	holdLeadTime = 350 * time.Millisecond
	// demoteTimeout bounds one call to the old primary, which may be down.
	demoteTimeout = 250 * time.Millisecond
	// pollInterval is the time between checks of the targets.
	pollInterval = 30 * time.Millisecond
	// holdTimeout bounds the attempts to hold the replicas.
	holdTimeout = 1500 * time.Millisecond
	// effectTimeout bounds the wait until a target leads the new term.
	effectTimeout = 3 * time.Second
	// promoteCallTimeout bounds one promote call.
	promoteCallTimeout = time.Second
)

// Promoter implements backend.Promoter: it replaces a group's primary under the promotion
// lock, or requests that from the lock's holder.
type Promoter struct {
	PromotionLock *LockManager
	Client        PromotionClient
	Log           *eventlog.Log

	// requested maps each group to the highest promotionDemand made of the holder.
	requested sync.Map
	// waits maps each group to its successorWait, the last one without a successor.
	waits sync.Map
	// retired maps each group to the retiredPrimary that this daemon demoted last.
	retired sync.Map
}

// retiredPrimary is a primary that was demoted while it led a term: no commit of the term comes
// after the end of its log. It stays true for later attempts, should the first one fail.
type retiredPrimary struct {
	id   string
	term position.Term
	end  position.Position
}

// promotionDemand is a promotion that was requested from the holder. In a later era of the
// store the request may be lost.
type promotionDemand struct {
	term position.Term
	era  store.Era
}

// HoldsLock reports whether this daemon holds the promotion lock, according to the record
// that was last read or written.
func (p *Promoter) HoldsLock() bool {
	return p.PromotionLock.IsHolder()
}

// requestAfter is how long a promotion must be needed, by reason, before it is requested
// from the holder. The holder itself sees that a primary leaves, and an unreachable
// primary may come back.
var requestAfter = map[leadership.Reason]time.Duration{
	leadership.PrimaryLeaving:     800 * time.Millisecond,
	leadership.PrimaryUnreachable: 300 * time.Millisecond,
}

// requestPromotion requests a promotion from the holder, which may not see that it is
// needed. It does so once per term, when the promotion has been needed for requestAfter.
func (p *Promoter) requestPromotion(ctx context.Context, g *backend.Group, reason leadership.Reason, term position.Term, since time.Duration) error {
	if since < requestAfter[reason] {
		return nil
	}
	demand := promotionDemand{term: term, era: p.PromotionLock.Era()}
	if known, ok := p.requested.Load(g.Name); ok {
		if made := known.(promotionDemand); made.era == demand.era && made.term >= term {
			return nil
		}
	}
	if err := p.PromotionLock.RequestPromotion(ctx, g.Name, term); err != nil {
		return err
	}
	p.requested.Store(g.Name, demand)
	p.Log.StateChange("promotion_demanded", "group", g.Name, "reason", string(reason), "term", term, "since_ms", since.Milliseconds())
	return nil
}

// attempt is one attempt to promote a replica.
type attempt struct {
	*Promoter
	group *backend.Group
	// old is the primary to replace, nil if unknown.
	old  *backend.Target
	term position.Term
	// rule tells which targets may be promoted.
	rule successorRule
	lock PromotionLock
	// needed is how long the promotion has been needed.
	needed time.Duration
}

// Promote makes another target the primary of g, for the given reason; since is how long
// the promotion has been needed. A daemon that doesn't hold the promotion lock takes it
// over if the holder does not act, and otherwise requests the promotion from the holder.
func (p *Promoter) Promote(ctx context.Context, g *backend.Group, reason leadership.Reason, since time.Duration) error {
	started := boottime.Now()
	if reason == leadership.Requested && g.RequestedTerm() <= g.JoinedTerm() {
		// The request was met before this daemon knew of it.
		return nil
	}
	if !g.Declared() {
		return fmt.Errorf("the configuration does not have group %s, so its synchronous replicas are not known", g.Name)
	}
	term := max(g.JoinedTerm()+1, g.RequestedTerm())
	rule, err := p.successorRule(ctx, g, since)
	if err != nil {
		if !p.HoldsLock() {
			err = errors.Join(err, p.requestPromotion(ctx, g, reason, term, since))
		}
		return err
	}
	// A term that was not known when the promotion became due may have met the need.
	if err := checkNotJoined(g, term); err != nil {
		return err
	}
	a := attempt{Promoter: p, group: g, old: knownPrimary(g), term: term, rule: rule, needed: since}
	a.keepRetired()
	if err := a.checkSuccessor(ctx); err != nil {
		return err
	}
	lock, err := p.PromotionLock.Acquire(ctx, g.Name, term, since)
	if err != nil {
		if errors.Is(err, ErrOtherHolder) {
			return p.requestPromotion(ctx, g, reason, term, since)
		}
		return err
	}
	a.lock = lock
	a.noteAbandoned()
	p.Log.StateChange("promotion_begins", "group", g.Name, "reason", string(reason), "term", term, "token", lock.Token, "since_ms", since.Milliseconds())
	target, err := a.run(ctx, reason)
	if err != nil || target == "" {
		return err
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_promotions_total{reason=%q}`, reason)).Inc()
	p.Log.StateChange("promotion_done", "group", g.Name, "target", target, "term", term, "took_ms", (boottime.Now() - started).Milliseconds())
	return nil
}

// knownPrimary returns the known leader, unless it is of an older term, or the target that is
// listed as primary; nil if there is neither.
func knownPrimary(g *backend.Group) *backend.Target {
	if l := g.Leader(); l != nil && l.Term >= g.JoinedTerm() {
		return l.Target
	}
	for _, t := range g.Targets() {
		if t.Info().Primary {
			return t
		}
	}
	return nil
}

// askForPrimary asks the targets which of them is primary of the highest term that one has
// joined, and records that term. A hold at a later term does not count: it may be left from an
// attempt that failed. It returns nil if none of those that answer is.
func askForPrimary(ctx context.Context, g *backend.Group) *backend.Target {
	leads := func(o leadership.Observation) bool {
		return o.Reached && o.Status.Primary && o.Status.Term >= g.JoinedTerm()
	}
	observed := g.Observe(ctx, query.Statement{Kind: query.Status}, nil, func(seen []leadership.Observation) bool {
		return slices.ContainsFunc(seen, leads)
	})
	g.ObserveJoinedTerm(leadership.JoinedTerm(observed))
	if i := slices.IndexFunc(observed, leads); i >= 0 {
		return g.FindTarget(observed[i].ID)
	}
	return nil
}

// run promotes a replica once every lease on the old primary has expired. It returns the
// ID of the promoted target, or "" without an error if the promotion was withdrawn.
func (a *attempt) run(ctx context.Context, reason leadership.Reason) (string, error) {
	leasesEnd := boottime.Now() + primarylease.TTL + primarylease.Margin
	if reason == leadership.Requested {
		// While requests are open, the monitor of this daemon does not look for the leader.
		if t := askForPrimary(ctx, a.group); t != nil {
			a.old = t
		}
		if err := a.checkTerm(); err != nil {
			return "", err
		}
	}
	ctxtime.Sleep(ctx, leasesEnd-holdLeadTime-boottime.Now())
	primaryLeads := a.isPrimaryLeading(ctx)
	if err := a.checkLock(); err != nil {
		return "", err
	}
	if primaryLeads && !a.old.Info().Draining && reason == leadership.PrimaryUnreachable {
		a.Log.StateChange("promotion_withdrawn", "group", a.group.Name, "term", a.term)
		return "", a.PromotionLock.Withdraw(ctx, a.lock, a.group.Name)
	}
	if primaryLeads || reason == leadership.PrimaryLeaving {
		if err := a.handOver(ctx, primaryLeads, leasesEnd); err != nil {
			return "", err
		}
	} else {
		a.demote(ctx)
	}
	observed, err := a.holdReplicas(ctx)
	if err != nil {
		return "", err
	}
	a.group.ObserveJoinedTerm(leadership.JoinedTerm(observed))
	if err := a.checkTerm(); err != nil {
		return "", err
	}
	ctxtime.Sleep(ctx, leasesEnd-boottime.Now())
	return a.promoteBest(ctx, observed)
}

// checkTerm returns an error if a target has joined the term of the attempt or a later one: a
// promotion might lead to a term above the intent recorded in the store.
func (a *attempt) checkTerm() error {
	return checkNotJoined(a.group, a.term)
}

// checkNotJoined returns an error if a target of the group has joined the term or a later one.
func checkNotJoined(g *backend.Group, term position.Term) error {
	if joined := g.JoinedTerm(); joined >= term {
		return fmt.Errorf("term %d of group %s has already been joined", joined, g.Name)
	}
	return nil
}

// handOver demotes the old primary when the leases on it expire at leasesEnd, until when it
// serves, and waits until a replica has received the rest of its log. leads tells that it was
// found to lead the present term; if not, it is asked again.
func (a *attempt) handOver(ctx context.Context, leads bool, leasesEnd time.Duration) error {
	ctxtime.Sleep(ctx, leasesEnd-boottime.Now())
	leads = leads || a.isPrimaryLeading(ctx)
	if err := a.checkLock(); err != nil {
		return err
	}
	end, demoted := a.demote(ctx)
	if !demoted {
		return nil
	}
	if leads {
		a.retired.Store(a.group.Name, retiredPrimary{id: a.oldID(), term: a.term - 1, end: end})
	}
	a.awaitCatchUp(ctx, end)
	a.keepRetired()
	return nil
}

// keepRetired makes a primary that this daemon has demoted a candidate like the other
// replicas, if commits are acknowledged only after replicas received them: it may be the only
// one that has all of them.
func (a *attempt) keepRetired() {
	known, ok := a.retired.Load(a.group.Name)
	if !ok || a.group.Limits().SyncReplicas == 0 {
		return
	}
	if retired := known.(retiredPrimary); retired.term == a.term-1 && retired.id == a.oldID() {
		a.old = nil
	}
}

// checkSuccessor returns leadership.ErrNoSuccessor if the primary is to be replaced because it
// is draining, commits are acknowledged only after replicas received them, and no replica that
// stays keeps up with it. The primary serves on meanwhile; a demotion would stop the replicas
// from receiving the rest of its log.
func (a *attempt) checkSuccessor(ctx context.Context) error {
	if a.group.Limits().SyncReplicas == 0 || a.old == nil || !a.old.Info().Draining {
		return nil
	}
	observed := a.group.Observe(ctx, query.Statement{Kind: query.Status}, nil, nil)
	primary := slices.IndexFunc(observed, func(o leadership.Observation) bool {
		return o.ID == a.oldID() && o.Reached && o.Status.Primary && o.Status.Term == a.term-1
	})
	if primary < 0 || leadership.HighestTerm(observed) >= a.term {
		// A replica that an earlier attempt has left held can't catch up.
		return nil
	}
	end := observed[primary].Status.Received
	if awaitLog(ctx, a.group, catchUpTimeout, 1, func(o leadership.Observation) bool { return !o.Draining && a.covers(o, end) }) {
		return nil
	}
	metrics.GetOrCreateCounter(`laburnumrack_promotions_delayed_total{reason="no_replica_keeps_up"}`).Inc()
	return fmt.Errorf("%w: no replica of group %s keeps up with its draining primary", leadership.ErrNoSuccessor, a.group.Name)
}

// checkLock returns ErrOtherHolder if this daemon is known not to hold the promotion lock any
// more, for example because the store has lost its record. It is checked before the steps
// that keep the group from serving, which only a promotion ends. It makes no call.
func (a *attempt) checkLock() error {
	if !a.PromotionLock.IsHolder() {
		return fmt.Errorf("%w: lost before the promotion of group %s", ErrOtherHolder, a.group.Name)
	}
	return nil
}

// isPrimaryLeading reports whether the old primary is listed, answers and leads the current
// term.
func (a *attempt) isPrimaryLeading(ctx context.Context) bool {
	if a.old == nil || !a.group.HasTarget(a.old) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, demoteTimeout)
	defer cancel()
	status, err := a.old.Control(ctx, query.Statement{Kind: query.Status})
	return err == nil && status.Primary && status.Term == a.term-1
}

// demote makes the old primary a replica and returns the end of its log. It reports false
// if there is no old primary, the call failed, or the primary is failing; a failing
// primary is demoted in the background.
func (a *attempt) demote(ctx context.Context) (position.Position, bool) {
	if a.old == nil {
		return position.Position{}, false
	}
	if a.old.State(boottime.Now()).FailingFor > 0 {
		// The call may succeed even though the primary is failing, but isn't waited for.
		go a.callDemote(context.WithoutCancel(ctx))
		return position.Position{}, false
	}
	return a.callDemote(ctx)
}

// callDemote makes the demote call and returns the end of the old primary's log and
// whether the call succeeded.
func (a *attempt) callDemote(ctx context.Context) (position.Position, bool) {
	ctx, cancel := context.WithTimeout(ctx, demoteTimeout)
	defer cancel()
	status, err := a.old.Control(ctx, query.Statement{Kind: query.Demote, Term: a.term})
	a.Log.StateChange("primary_demoted", "group", a.group.Name, "target", a.old.Info().ID, "term", a.term, "ok", err == nil)
	return status.Received, err == nil
}

// awaitCatchUp waits, up to catchUpTimeout, until a replica that isn't draining has
// received everything up to end.
func (a *attempt) awaitCatchUp(ctx context.Context, end position.Position) {
	awaitLog(ctx, a.group, catchUpTimeout, 1, func(o leadership.Observation) bool { return !o.Draining && a.covers(o, end) })
}

// holdReplicas holds the replicas at the new term until leadership.HoldsSuffice reports
// that one can be promoted, and returns what was observed. It fails after holdTimeout.
func (a *attempt) holdReplicas(ctx context.Context) ([]leadership.Observation, error) {
	deadline := boottime.Now() + holdTimeout
	for {
		observed := a.group.Observe(ctx, query.Statement{Kind: query.Hold, Term: a.term}, a.old, a.holdsSuffice)
		if a.holdsSuffice(observed) {
			return observed, nil
		}
		if boottime.Now() > deadline || ctx.Err() != nil {
			return nil, fmt.Errorf("replicas of group %s could not be held at term %d", a.group.Name, a.term)
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
}

// holdsSuffice reports whether enough replicas are held to promote one. A replica with the
// whole log of the demoted primary has every acknowledged commit, whatever the others have.
func (a *attempt) holdsSuffice(seen []leadership.Observation) bool {
	syncReplicas := a.group.Limits().SyncReplicas
	if known, ok := a.retired.Load(a.group.Name); ok {
		retired := known.(retiredPrimary)
		complete := func(o leadership.Observation) bool { return a.covers(o, retired.end) }
		if retired.term == a.term-1 && slices.ContainsFunc(seen, complete) {
			syncReplicas = 0
		}
	}
	if syncReplicas > 0 {
		seen = a.withAbsentMembers(seen)
	}
	return leadership.HoldsSuffice(seen, a.oldID(), a.term, syncReplicas)
}

// covers reports whether a target other than the old primary was reached and has received
// everything up to end.
func (a *attempt) covers(o leadership.Observation, end position.Position) bool {
	return o.Reached && o.ID != a.oldID() && o.Status.Received.Covers(end)
}

// oldID returns the ID of the primary to replace, empty if it is unknown or a candidate itself.
func (a *attempt) oldID() string {
	if a.old == nil {
		return ""
	}
	return a.old.Info().ID
}

// presentPrimary returns the ID of the primary of the present term, listed or not; empty if it
// is not known.
func (a *attempt) presentPrimary() string {
	if l, ok := a.group.LastLeader(); ok && l.Term == a.term-1 {
		return l.ID
	}
	switch call := a.rule.call; {
	case call.Target == "":
		// Nothing has been promoted yet.
		return a.group.FormerPrimary()
	case call.Term == a.term-1:
		return call.Target
	default:
		return ""
	}
}

// markRefused changes the observation of a target: the platform has answered that no process
// runs there.
func markRefused(observed []leadership.Observation, id string) {
	for i := range observed {
		if observed[i].ID == id {
			observed[i].Reached, observed[i].Refused = false, true
		}
	}
}

// promoteBest makes the promote call for the best candidate, and for the next one if the
// target is not running. It returns the ID of the promoted target. If it fails without a call
// that may have had an effect, it records that.
func (a *attempt) promoteBest(ctx context.Context, observed []leadership.Observation) (string, error) {
	candidates := leadership.Candidates{Targets: observed, Except: a.rule.excluded(observed), SyncReplicas: a.group.Limits().SyncReplicas, Prefer: a.isNearer}
	if id := a.oldID(); id != "" {
		candidates.Except[id] = true
	}
	for {
		target, ok := candidates.Select()
		if !ok {
			return "", a.withoutEffect(ctx, fmt.Errorf("no replica of group %s can be promoted", a.group.Name))
		}
		if a.isUnlisted(target) {
			// It has the best log. If it does not return to the list, it is dropped soon.
			return "", a.withoutEffect(ctx, fmt.Errorf("target %s, which is to be promoted, has left the list", target))
		}
		answer, err := a.callPromote(ctx, target, logEnd(observed, target))
		switch answer {
		case PromoteRefused:
			candidates.Except[target] = true
			markRefused(observed, target)
			if !a.holdsSuffice(observed) {
				return "", a.withoutEffect(ctx, fmt.Errorf("target %s is not running, and too few others are held", target))
			}
		case PromoteAccepted, PromoteOutcomeUnknown:
			if term, ok := a.awaitEffect(ctx, target); ok {
				return target, a.PromotionLock.MarkPromoted(ctx, a.lock, a.group.Name, term)
			}
			return "", fmt.Errorf("promotion of target %s has not taken effect: %w", target, errors.Join(err, ctx.Err()))
		default:
			return "", a.withoutEffect(ctx, fmt.Errorf("promote call for target %s was not accepted: %w", target, errors.Join(err, ctx.Err())))
		}
	}
}

// withoutEffect records that no promote call of the attempt had an effect, and returns the
// cause of its failure. If the record can't be written, the next attempt intends a later term
// than needed, and leases are not granted in the term that it leads to.
func (a *attempt) withoutEffect(ctx context.Context, cause error) error {
	return errors.Join(cause, a.PromotionLock.MarkUnused(context.WithoutCancel(ctx), a.lock, a.group.Name))
}

// logEnd returns the end of the log of an observed target.
func logEnd(observed []leadership.Observation, id string) position.Position {
	i := slices.IndexFunc(observed, func(o leadership.Observation) bool { return o.ID == id })
	return observed[i].Status.Received
}

// callPromote verifies the promotion lock and makes the promote call for a target whose log
// ends at end. It returns PromoteBusy without a call if the lock is lost, the store has no
// intent for the term, or the term has been joined meanwhile.
func (a *attempt) callPromote(ctx context.Context, target string, end position.Position) (PromoteAnswer, error) {
	if err := a.PromotionLock.Verify(ctx, a.lock, a.group.Name, target, end); err != nil {
		return PromoteBusy, err
	}
	if err := a.checkTerm(); err != nil {
		return PromoteBusy, err
	}
	if intended := a.PromotionLock.IntendedTerm(a.group.Name); intended < a.term {
		return PromoteBusy, fmt.Errorf("the store has no intent for term %d of group %s, only for %d", a.term, a.group.Name, intended)
	}
	ctx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	answer, err := a.Client.Promote(ctx, a.group.Name, target, a.lock)
	a.Log.StateChange("promote_called", "group", a.group.Name, "target", target, "term", a.term, "token", a.lock.Token, "answer", answer, "failed", err != nil)
	return answer, err
}

// isUnlisted reports whether a target has left the list. It is not promoted: other daemons may
// have dropped it already, and ask only the targets that they know for a newer term.
func (a *attempt) isUnlisted(target string) bool {
	t := a.group.FindTarget(target)
	return t == nil || t.Unlisted()
}

// isNearer reports whether target x is nearer to this daemon than y. It orders candidates
// with equal logs.
func (a *attempt) isNearer(x, y string) bool {
	return a.distance(x) < a.distance(y)
}

// distance returns the distance of a target's failure domain from this daemon, 0 if the
// target is unknown.
func (a *attempt) distance(id string) int {
	if t := a.group.FindTarget(id); t != nil {
		return a.group.Locality.Distance(t.Info().FailureDomain)
	}
	return 0
}

// awaitEffect waits, up to effectTimeout, until the target leads the new term or a later one,
// and returns the term that it leads. It then starts resumeReplicas in the background. Another
// target that leads the term may have been promoted by an earlier call.
func (a *attempt) awaitEffect(ctx context.Context, target string) (position.Term, bool) {
	deadline := boottime.Now() + effectTimeout
	leads := func(o leadership.Observation) bool {
		return o.ID == target && o.Reached && o.Status.Primary && o.Status.Term >= a.term
	}
	for boottime.Now() < deadline && ctx.Err() == nil {
		observed := a.group.Observe(ctx, query.Statement{Kind: query.Status}, nil, func(seen []leadership.Observation) bool {
			return slices.ContainsFunc(seen, leads)
		})
		if i := slices.IndexFunc(observed, leads); i >= 0 {
			term := observed[i].Status.Term
			a.group.ObserveJoinedTerm(term)
			a.group.TriggerCheck()
			go a.resumeWhenLed(a.group, term)
			return term, true
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return 0, false
}

// resumeAfter is how long a held replica may take to join the new term by itself.
const resumeAfter = 300 * time.Millisecond

// resumeWhenLed resumes replication on the replicas of a group that are still held when a
// target leads the given term or a later one. While none does, they stay held: they would
// receive from a primary of an older term. Replicas that are held at a later term than the
// leader's are left to the promotion that holds them.
func (p *Promoter) resumeWhenLed(g *backend.Group, term position.Term) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonAfter)
	defer cancel()
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, resumeAfter)
		observed := g.Observe(ctx, query.Statement{Kind: query.Status}, nil, nil)
		if l, ok := leadership.FindLeader(observed, term); ok {
			p.resumeReplicas(ctx, g, l.Term, observed)
			return
		}
	}
}

// resumeReplicas resumes replication on the observed replicas that are held at the given term
// or an earlier one.
func (p *Promoter) resumeReplicas(ctx context.Context, g *backend.Group, term position.Term, observed []leadership.Observation) {
	for _, o := range observed {
		t := g.FindTarget(o.ID)
		if t == nil || !o.Reached || o.Status.Primary || o.Status.Held == 0 || o.Status.Held > term {
			continue
		}
		_, err := t.Control(ctx, query.Statement{Kind: query.Resume})
		p.Log.StateChange("replica_resumed", "group", g.Name, "target", o.ID, "held", o.Status.Held, "joined", o.Status.Term, "ok", err == nil)
	}
}
