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

// Locality is the location of a daemon.
type Locality struct {
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// Distance returns 0 for the failure domain of the daemon, 1 for another one of its
// region and farDistance, which is 2, otherwise.
func (l Locality) Distance(failureDomain string) int {
	switch {
	case failureDomain == l.FailureDomain:
		return 0
	case l.Regions[failureDomain] == l.Regions[l.FailureDomain]:
		return 1
	default:
		return farDistance
	}
}

// farDistance is the distance of a failure domain in another region.
const farDistance = 2

// domainCount returns the number of failure domains.
func (l Locality) domainCount() int {
	return len(l.Regions)
}

// LeaderView is the valid primary of a group together with its target.
type LeaderView struct {
	leadership.Leader
	Target *Target
}

// Promoter promotes targets of groups whose primary has to be replaced.
type Promoter interface {
	// HoldsLock reports whether this daemon holds the promotion lock, as far as it knows.
	HoldsLock() bool

	// Promote makes another target of g the primary, and returns when that is done or the
	// attempt has failed. since is the time for which the daemon has considered the
	// promotion necessary.
	Promote(ctx context.Context, g *Group, reason leadership.Reason, since time.Duration) error
}

// Group is the state of one database group as seen by one daemon. It is safe for
// concurrent use.
type Group struct {
	Dependencies

	Name            string
	PositionHistory freshness.History

	// listComplete reports whether the list of targets can be taken as complete. While it
	// is not, no conclusion is drawn that depends on seeing all targets.
	listComplete func() bool

	leader atomic.Pointer[LeaderView]
	// lastLeader is the last leader that was known.
	lastLeader atomic.Pointer[leadership.Leader]
	// former are the targets that have left the list and are kept only to learn whether they
	// still run.
	former  atomic.Pointer[[]*Target]
	targets atomic.Pointer[[]*Target]
	limits  atomic.Pointer[catalog.GroupLimits]
	// declared reports whether the configuration has the group. One that it does not have may
	// stand in an entry of another program.
	declared atomic.Bool
	// tenants reports whether the deployment has tenants.
	tenants atomic.Bool
	// lastUsed is the time since boot at which a unit was last opened.
	lastUsed atomic.Int64
	// requestedTerm is the highest term that another daemon asked this one to promote to.
	requestedTerm atomic.Uint64
	// knownTerm is the highest term seen, joinedTerm the highest that a target has
	// joined.
	knownTerm, joinedTerm atomic.Uint64
	// targetLostAt is the time since boot at which a target last left the list or was replaced
	// by a new process; 0 if none was.
	targetLostAt atomic.Int64

	confirmer      confirmer
	confirmTracker confirmTracker
	refresh        refresher

	checkNow chan struct{} // makes the monitor check the group immediately

	mu            sync.Mutex
	leaderChanged chan struct{} // guarded by mu; closed when the leader changes
}

// newGroup returns a group without targets or declared limits.
func newGroup(name string, r *Registry) *Group {
	g := &Group{
		Dependencies: r.Dependencies, Name: name, listComplete: r.listComplete,
		checkNow: make(chan struct{}, 1), leaderChanged: make(chan struct{}),
	}
	g.targets.Store(&[]*Target{})
	g.former.Store(&[]*Target{})
	g.limits.Store(&catalog.GroupLimits{Name: name})
	g.confirmer.group, g.refresh.group = g, g
	return g
}

// Leader returns the valid primary, nil if none is known.
func (g *Group) Leader() *LeaderView {
	return g.leader.Load()
}

// LastLeader returns the last leader that was known. It reports false if none was.
func (g *Group) LastLeader() (leadership.Leader, bool) {
	if l := g.lastLeader.Load(); l != nil {
		return *l, true
	}
	return leadership.Leader{}, false
}

// FormerPrimary returns the ID of the target that was listed as primary when it left the list,
// empty unless there is exactly one.
func (g *Group) FormerPrimary() string {
	var ids []string
	for _, t := range *g.former.Load() {
		if t.Info().Primary {
			ids = append(ids, t.Info().ID)
		}
	}
	if len(ids) != 1 {
		return ""
	}
	return ids[0]
}

// Targets returns the listed targets. The slice must not be modified.
func (g *Group) Targets() []*Target {
	return *g.targets.Load()
}

// FindTarget returns the listed target with the given ID, nil if there is none.
func (g *Group) FindTarget(id string) *Target {
	for _, t := range g.Targets() {
		if t.Info().ID == id {
			return t
		}
	}
	return nil
}

// ListComplete reports whether the list of targets can be taken as complete.
func (g *Group) ListComplete() bool {
	return g.listComplete()
}

// listedPrimaries returns the targets that are listed as primary and are not draining.
func (g *Group) listedPrimaries() []*Target {
	var out []*Target
	for _, t := range g.Targets() {
		if info := t.Info(); info.Primary && !info.Draining {
			out = append(out, t)
		}
	}
	return out
}

// Limits returns the declared limits of the group.
func (g *Group) Limits() catalog.GroupLimits {
	return *g.limits.Load()
}

// Declared reports whether the configuration has the group.
func (g *Group) Declared() bool {
	return g.declared.Load()
}

// KnownTerm returns the highest term that a target was seen to have joined or to be held
// at.
func (g *Group) KnownTerm() position.Term {
	return position.Term(g.knownTerm.Load())
}

// JoinedTerm returns the highest term that a target has joined.
func (g *Group) JoinedTerm() position.Term {
	return position.Term(g.joinedTerm.Load())
}

// ObserveJoinedTerm records that a target has joined term t.
func (g *Group) ObserveJoinedTerm(t position.Term) {
	raiseTo(&g.joinedTerm, uint64(t))
	g.ObserveTerm(t)
}

// ObserveTerm records that a target has joined or is held at term t.
func (g *Group) ObserveTerm(t position.Term) {
	raiseTo(&g.knownTerm, uint64(t))
}

// raiseTo sets v to a value unless v is higher already.
func raiseTo(v *atomic.Uint64, to uint64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
			return
		}
	}
}

// MarkUsed records that a unit needs the group now. The leader of an idle group is not
// checked, so if the group was idle and its leader may have been replaced meanwhile, the
// leader is searched for again.
func (g *Group) MarkUsed() {
	now := int64(boottime.Now())
	if old := g.lastUsed.Swap(now); now-old > int64(inUseWindow) {
		if l := g.Leader(); l != nil && g.leaderOutdated(l) {
			g.InvalidateLeader(l)
		}
		g.TriggerCheck()
	}
}

// leaderOutdated reports whether a leader is draining, unlisted or possibly replaced by
// the primary of a higher term.
func (g *Group) leaderOutdated(l *LeaderView) bool {
	return l.Term < g.KnownTerm() || !g.HasTarget(l.Target) || l.Target.Info().Draining
}

// ServingLeader returns the leader that accepts new work and the known leader. serving is
// nil if the known leader has been draining for too long.
func (g *Group) ServingLeader() (serving, known *LeaderView) {
	known = g.Leader()
	if known == nil || known.Target.DrainExpired(boottime.Now(), g.DrainTime) {
		return nil, known
	}
	return known, known
}

// RequestPromotion asks this daemon to promote the group to a term, on behalf of another
// daemon that cannot reach the primary.
func (g *Group) RequestPromotion(term position.Term) {
	if uint64(term) > g.joinedTerm.Load() {
		raiseTo(&g.requestedTerm, uint64(term))
		g.TriggerCheck()
	}
}

// RequestedTerm returns the highest term that this daemon was asked to promote to.
func (g *Group) RequestedTerm() position.Term {
	return position.Term(g.requestedTerm.Load())
}

// TriggerCheck makes the monitor check the group immediately.
func (g *Group) TriggerCheck() {
	select {
	case g.checkNow <- struct{}{}:
	default:
	}
}

// exhaustedCheckInterval is the interval at which WaitLeader checks whether the daemon is
// out of connections to the primary.
const exhaustedCheckInterval = 20 * time.Millisecond

// OutOfConnections reports whether the primary, or while no leader is known a target
// listed as primary, has no room for a connection of this daemon. A target still counts
// the connections of a daemon that lost power some seconds ago. Another daemon may have a
// connection to the target.
func (g *Group) OutOfConnections() bool {
	if l := g.Leader(); l != nil {
		return l.Target.Pool.Exhausted()
	}
	return slices.ContainsFunc(g.listedPrimaries(), func(t *Target) bool { return t.Pool.Exhausted() })
}

// WaitLeader waits until a leader other than previous is known and returns it. It returns
// nil at the given time, or earlier if the daemon is out of connections to the primary.
func (g *Group) WaitLeader(previous *LeaderView, until time.Time) *LeaderView {
	g.TriggerCheck()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	ticker := time.NewTicker(exhaustedCheckInterval)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		changed := g.leaderChanged
		g.mu.Unlock()
		if l := g.Leader(); l != nil && l != previous {
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

// setLeader sets the leader, nil for none, wakes the waiting requests and logs the
// change.
func (g *Group) setLeader(l *LeaderView) {
	old := g.leader.Load()
	if old == l || (old != nil && l != nil && *old == *l) {
		return
	}
	g.leader.Store(l)
	g.mu.Lock()
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
	g.mu.Unlock()
	g.applyLimits()
	if l == nil {
		g.Log.StateChange("leader_lost", "group", g.Name, "target", old.ID, "term", old.Term, "known_term", g.KnownTerm())
		return
	}
	g.lastLeader.Store(&l.Leader)
	g.Log.StateChange("leader_found", "group", g.Name, "target", l.ID, "term", l.Term)
}

// InvalidateLeader drops the leader l after an answer has shown that it no longer leads,
// and triggers a check.
func (g *Group) InvalidateLeader(l *LeaderView) {
	if g.leader.Load() == l {
		g.setLeader(nil)
	}
	g.TriggerCheck()
}

// applyLimits sets the limits of the pools and gates of the targets.
func (g *Group) applyLimits() {
	limits := g.Limits()
	leader := g.Leader()
	for _, t := range g.Targets() {
		info := t.Info()
		base, limit := connectionLimits(limits.MaxConnections, info.Slots, g.Locality.domainCount(), g.Locality.Distance(info.FailureDomain), leader != nil && leader.Target == t)
		// More connections are for more tenants, not for more statements at once.
		t.Gate.SetMaxLimit(min(limit, statementLimit(info.Slots, g.Locality.Distance(info.FailureDomain))))
		if g.tenants.Load() {
			base, limit = tenantConnectionLimits(limits.MaxConnections, g.Locality.domainCount())
		}
		t.Pool.SetKeepIdle(g.tenants.Load())
		t.Pool.SetLimits(base, limit)
	}
}

// HasTarget reports whether t is listed.
func (g *Group) HasTarget(t *Target) bool {
	return slices.Contains(g.Targets(), t)
}
