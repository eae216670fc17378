package backend

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Locality is where a daemon stands.
type Locality struct {
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// Distance returns 0 for the own failure domain, 1 for the own region and 2 else.
func (p Locality) Distance(failureDomain string) int {
	switch {
	case failureDomain == p.FailureDomain:
		return 0
	case p.Regions[failureDomain] == p.Regions[p.FailureDomain]:
		return 1
	default:
		return farDistance
	}
}

// farDistance is the distance of another region.
const farDistance = 2

// domains returns the number of failure domains.
func (p Locality) domains() int {
	return len(p.Regions)
}

// LeaderView is the rightful primary with its connections.
type LeaderView struct {
	leadership.Leader
	Target *Target
}

// Promoter replaces the primary of a group where that is due.
type Promoter interface {
	// Holder reports whether this daemon holds the promotion lock, as far as known.
	Holder() bool

	// Promote makes another target of g the primary and returns when it is, or when
	// the attempt has failed. since is how long the daemon has seen the need.
	Promote(ctx context.Context, g *Group, reason leadership.Reason, since time.Duration) error
}

// Group is one database group as a daemon sees it.
type Group struct {
	Dependencies

	Name            string
	PositionHistory freshness.History

	// settled reports whether the list of targets counts as whole. While it does not,
	// nothing is concluded from all targets that are known.
	settled func() bool

	leader  atomic.Pointer[LeaderView]
	targets atomic.Pointer[[]*Target]
	limits  atomic.Pointer[catalog.GroupLimits]
	// used is when a unit was opened last, since boot; demanded is the term that
	// another daemon asks this one to promote to.
	used     atomic.Int64
	demanded atomic.Uint64
	// known is the highest term seen, joined the highest that a target has joined.
	known, joined atomic.Uint64

	confirmer confirmer
	provable  provable
	refresh   refresher

	kick chan struct{}

	mu      sync.Mutex
	changed chan struct{} // guarded by mu; closed when the leader changes
}

func newGroup(name string, r *Registry) *Group {
	g := &Group{
		Dependencies: r.Dependencies, Name: name, settled: r.settled,
		kick: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	g.targets.Store(&[]*Target{})
	g.limits.Store(&catalog.GroupLimits{Name: name})
	g.confirmer.group, g.refresh.group = g, g
	return g
}

// Leader returns the rightful primary as far as known, nil if none is.
func (g *Group) Leader() *LeaderView {
	return g.leader.Load()
}

// Targets returns the listed targets. The slice must not be changed.
func (g *Group) Targets() []*Target {
	return *g.targets.Load()
}

// FindTarget returns the listed target of an id, nil if none has it.
func (g *Group) FindTarget(id string) *Target {
	for _, t := range g.Targets() {
		if t.Info().ID == id {
			return t
		}
	}
	return nil
}

// listedPrimaries returns the targets that call themselves primary in the list and
// stay.
func (g *Group) listedPrimaries() []*Target {
	var out []*Target
	for _, t := range g.Targets() {
		if info := t.Info(); info.Primary && !info.Draining {
			out = append(out, t)
		}
	}
	return out
}

// Limits returns the declared limits.
func (g *Group) Limits() catalog.GroupLimits {
	return *g.limits.Load()
}

// KnownTerm returns the highest term that was seen.
func (g *Group) KnownTerm() position.Term {
	return position.Term(g.known.Load())
}

// JoinedTerm returns the highest term that a target has joined.
func (g *Group) JoinedTerm() position.Term {
	return position.Term(g.joined.Load())
}

// ObserveJoinedTerm notes a term that a target has joined.
func (g *Group) ObserveJoinedTerm(t position.Term) {
	raise(&g.joined, uint64(t))
	g.ObserveTerm(t)
}

// ObserveTerm notes a term that a target showed, joined or held.
func (g *Group) ObserveTerm(t position.Term) {
	raise(&g.known, uint64(t))
}

func raise(v *atomic.Uint64, to uint64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
			return
		}
	}
}

// MarkUsed notes that a unit needs the group now. Groups that no unit has needed lately
// are not asked for their leader: one that may have been replaced meanwhile is looked
// for again.
func (g *Group) MarkUsed() {
	now := int64(boottime.Now())
	if old := g.used.Swap(now); now-old > int64(inUseFor) {
		if l := g.Leader(); l != nil && g.leaderOutdated(l) {
			g.InvalidateLeader(l)
		}
		g.TriggerCheck()
	}
}

// leaderOutdated reports whether a leader leaves, is gone, or may have been replaced.
func (g *Group) leaderOutdated(l *LeaderView) bool {
	return l.Term < g.KnownTerm() || !g.HasTarget(l.Target) || l.Target.Info().Draining
}

// ServingLeader returns the leader that takes new work, and the one that is known. They
// differ when the known one has drained for too long.
func (g *Group) ServingLeader() (serving, known *LeaderView) {
	known = g.Leader()
	if known == nil || known.Target.DrainExpired(boottime.Now(), g.DrainTime) {
		return nil, known
	}
	return known, known
}

// RequestPromotion asks this daemon to promote the group to a term, as another can't reach
// the primary.
func (g *Group) RequestPromotion(term position.Term) {
	if uint64(term) > g.joined.Load() {
		raise(&g.demanded, uint64(term))
		g.TriggerCheck()
	}
}

// RequestedTerm returns the highest term that this daemon was asked to promote to.
func (g *Group) RequestedTerm() position.Term {
	return position.Term(g.demanded.Load())
}

// TriggerCheck makes the monitor look at the group at once.
func (g *Group) TriggerCheck() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// shutOutCheck is the time between looks whether the primary has no room for this
// daemon.
const shutOutCheck = 20 * time.Millisecond

// OutOfConnections reports whether the primary, or the target that calls itself so while no
// leader is known, has no room for a connection of this daemon. Those of daemons that
// lost power count for seconds; another daemon may have one.
func (g *Group) OutOfConnections() bool {
	if l := g.Leader(); l != nil {
		return l.Target.Pool.Exhausted()
	}
	return slices.ContainsFunc(g.listedPrimaries(), func(t *Target) bool { return t.Pool.Exhausted() })
}

// WaitLeader waits until a leader other than not is known, at most until the given
// time or until the daemon is shut out, and returns nil if none came.
func (g *Group) WaitLeader(not *LeaderView, until time.Time) *LeaderView {
	g.TriggerCheck()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	ticker := time.NewTicker(shutOutCheck)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if l := g.Leader(); l != nil && l != not {
			return l
		}
		select {
		case <-changed:
		case <-ticker.C:
			if g.OutOfConnections() {
				return nil
			}
		case <-timer.C:
			return nil
		}
	}
}

func (g *Group) setLeader(l *LeaderView) {
	old := g.leader.Load()
	if old == l || (old != nil && l != nil && *old == *l) {
		return
	}
	g.leader.Store(l)
	g.mu.Lock()
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
	g.applyLimits()
	if l == nil {
		g.Log.StateChange("leader_lost", "group", g.Name, "target", old.ID, "term", old.Term, "known_term", g.KnownTerm())
		return
	}
	g.Log.StateChange("leader_found", "group", g.Name, "target", l.ID, "term", l.Term)
}

// InvalidateLeader forgets the leader l, which an answer showed to lead no more.
func (g *Group) InvalidateLeader(l *LeaderView) {
	if g.leader.Load() == l {
		g.setLeader(nil)
	}
	g.TriggerCheck()
}

// applyLimits sets the connection limits of the targets' pools.
func (g *Group) applyLimits() {
	limits := g.Limits()
	leader := g.Leader()
	for _, t := range g.Targets() {
		info := t.Info()
		base, limit := connectionLimits(limits.MaxConnections, info.Slots, g.Locality.domains(), g.Locality.Distance(info.FailureDomain), leader != nil && leader.Target == t)
		t.Pool.SetLimits(base, limit)
		t.Gate.SetMaxLimit(min(limit, statementLimit(info.Slots, g.Locality.Distance(info.FailureDomain))))
	}
}

// HasTarget reports whether t is listed.
func (g *Group) HasTarget(t *Target) bool {
	return slices.Contains(g.Targets(), t)
}
