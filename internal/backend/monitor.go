package backend

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Times of the monitor.
const (
	// idleInterval is the time between checks of a group that no unit needs.
	idleInterval = time.Second
	// checkInterval is the time between checks of a group in use. A check that finds
	// nothing doubtful asks no target.
	checkInterval = 50 * time.Millisecond
	// alertInterval is the time between looks at a group without a leader.
	alertInterval = 50 * time.Millisecond
	// quietLeader is the silence of a leader with statements out after which it is
	// asked for its status.
	quietLeader = 200 * time.Millisecond
	// inUseFor is how long after its last unit a group is looked after.
	inUseFor = 5 * time.Second
	// promoteTimeout bounds one attempt to promote.
	promoteTimeout = 6 * time.Second
)

// monitor keeps the leader known and has it replaced where that is due.
type monitor struct {
	group *Group
	last  leadership.Leader
	// since is when the need for a promotion or the loss of the leader was seen.
	since time.Duration
	// observed is the last look.
	observed []leadership.Observation
}

// run looks at the group until ctx ends.
func (m *monitor) run(ctx context.Context) {
	interval := alertInterval
	for {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-m.group.kick:
			timer.Stop()
		case <-timer.C:
		}
		interval = idleInterval
		switch {
		case m.needsLook():
			interval = alertInterval
			m.look(ctx)
		case m.group.inUse():
			interval = checkInterval
		}
	}
}

// needsLook reports whether the leader has to be asked for.
func (m *monitor) needsLook() bool {
	g := m.group
	switch {
	case len(g.Targets()) == 0:
		return false
	case g.RequestedTerm() > g.JoinedTerm():
		return true
	case g.inUse():
		return m.leaderDoubtful()
	default:
		return g.Promoter.Holder() && g.listedPrimaryLeaves()
	}
}

// inUse reports whether a unit has needed the group lately.
func (g *Group) inUse() bool {
	used := g.used.Load()
	return used > 0 && boottime.Now()-time.Duration(used) < inUseFor
}

// leaderDoubtful reports whether no leader is known, or it leaves, fails or is
// silent.
func (m *monitor) leaderDoubtful() bool {
	g := m.group
	l := g.Leader()
	if l == nil || g.leaderOutdated(l) {
		return true
	}
	s := l.Target.State(boottime.Now())
	return s.FailingFor > 0 || s.SilentFor > quietLeader
}

// listedPrimaryLeaves reports whether no target that stays calls itself primary.
func (g *Group) listedPrimaryLeaves() bool {
	return len(g.listedPrimaries()) == 0
}

func (m *monitor) look(ctx context.Context) {
	g := m.group
	now := boottime.Now()
	if g.RequestedTerm() > g.JoinedTerm() {
		if m.since == 0 {
			m.since = now
		}
		m.promote(ctx, leadership.Requested)
		return
	}
	if m.last.ID == "" && m.lookAtListed(ctx) {
		return
	}
	m.observed = g.Observe(ctx, query.Statement{Kind: query.Status}, nil, func(seen []leadership.Observation) bool {
		_, found := leadership.FindLeader(seen, g.KnownTerm())
		return found
	})
	g.ObserveTerm(leadership.HighestTerm(m.observed))
	g.ObserveJoinedTerm(leadership.JoinedTerm(m.observed))
	leader, found := leadership.FindLeader(m.observed, g.KnownTerm())
	switch {
	case found:
		m.last = leader
		g.setLeader(g.view(leader))
	case g.Leader() != nil && !m.leaderMayLead():
		g.setLeader(nil)
	}
	if found && !m.leaderLeaves(leader) {
		m.since = 0
		return
	}
	if m.since == 0 {
		m.since = now
	}
	reason := leadership.PromotionDue(m.observed, m.lastLeader(), g.KnownTerm(), now-m.since, leadership.DefaultPolicy)
	if reason != leadership.NotNeeded {
		m.promote(ctx, reason)
	}
}

// lastLeader returns the leader that was known last, or else the target that calls
// itself primary in the list.
func (m *monitor) lastLeader() leadership.Leader {
	if m.last.ID != "" {
		return m.last
	}
	if listed := m.group.listedPrimaries(); len(listed) > 0 {
		return leadership.Leader{ID: listed[0].Info().ID, Term: m.group.KnownTerm()}
	}
	return m.last
}

// promote has another target promoted, unless there may be targets that are not
// known: one of them may lead, or hold what the others lack.
func (m *monitor) promote(ctx context.Context, reason leadership.Reason) {
	g := m.group
	if !g.settled() {
		return
	}
	since := boottime.Now() - m.since
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	if err := g.Promoter.Promote(ctx, g, reason, since); err != nil {
		g.Log.StateChange("promotion_failed", "group", g.Name, "reason", string(reason), "since_ms", since.Milliseconds(), "error", err.Error())
	}
}

// lookAtListed asks the target that calls itself primary in the list, unless it has
// just failed, and reports whether it leads. Every answer of a leader is confirmed, so
// a stale list costs time only.
func (m *monitor) lookAtListed(ctx context.Context) bool {
	g := m.group
	for _, t := range g.listedPrimaries() {
		if t.State(boottime.Now()).FailingFor > 0 {
			continue
		}
		status, err := t.Control(ctx, query.Statement{Kind: query.Status})
		if err != nil || !status.Primary || status.Term < g.KnownTerm() {
			continue
		}
		g.ObserveJoinedTerm(status.Term)
		m.last = leadership.Leader{ID: t.Info().ID, Term: status.Term}
		g.setLeader(&LeaderView{Leader: m.last, Target: t})
		return true
	}
	return false
}

// leaderMayLead reports whether the leader was just not reached and no higher term
// is known: requests may still be tried on it.
func (m *monitor) leaderMayLead() bool {
	l := m.group.Leader()
	if l.Term < m.group.KnownTerm() {
		return false
	}
	for _, o := range m.observed {
		if o.ID == l.ID {
			return !o.Reached && !o.Refused && o.FailingFor < quietLeader
		}
	}
	return false
}

func (m *monitor) leaderLeaves(l leadership.Leader) bool {
	for _, o := range m.observed {
		if o.ID == l.ID {
			return o.Draining
		}
	}
	return true
}

func (g *Group) view(l leadership.Leader) *LeaderView {
	if t := g.FindTarget(l.ID); t != nil {
		return &LeaderView{Leader: l, Target: t}
	}
	return nil
}
