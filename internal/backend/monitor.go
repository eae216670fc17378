package backend

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Intervals and timeouts of the monitor.
const (
	// idleInterval is the interval between checks of a group that no unit needs.
	idleInterval = time.Second
	// checkInterval is the interval between checks of a group in use. Targets are queried
	// only if the check finds the leader doubtful.
	checkInterval = 50 * time.Millisecond
	// leaderSearchInterval is the interval between checks of a group whose leader is
	// unknown or doubtful.
	leaderSearchInterval = 50 * time.Millisecond
	// leaderSilenceTimeout is how long a leader may leave statements unanswered before it
	// is queried for its status.
	leaderSilenceTimeout = 200 * time.Millisecond
	// inUseWindow is how long a group counts as in use after its last unit.
	inUseWindow = 5 * time.Second
	// promoteTimeout is the timeout of one attempt to promote.
	promoteTimeout = 6 * time.Second
)

// monitor tracks the leader of a group and has another target promoted when that is due.
type monitor struct {
	group *Group
	// lastFound is the leader that was found last.
	lastFound leadership.Leader
	health    groupHealth
	// observations is the result of the last round of status queries.
	observations []leadership.Observation
}

// run checks the group at intervals and on TriggerCheck, until ctx ends.
func (m *monitor) run(ctx context.Context) {
	interval := leaderSearchInterval
	for {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-m.group.checkNow:
			timer.Stop()
		case <-timer.C:
		}
		interval = idleInterval
		switch {
		case m.needsCheck():
			interval = leaderSearchInterval
			m.checkLeader(ctx)
		case m.group.inUse():
			interval = checkInterval
		}
	}
}

// needsCheck reports whether the leader has to be checked by querying targets.
func (m *monitor) needsCheck() bool {
	g := m.group
	switch {
	case len(g.Targets()) == 0:
		return false
	case g.RequestedTerm() > g.JoinedTerm():
		return true
	case g.inUse():
		return m.leaderDoubtful()
	default:
		return g.Declared() && g.Promoter.HoldsLock() && g.noListedPrimary()
	}
}

// inUse reports whether a unit has needed the group within inUseWindow.
func (g *Group) inUse() bool {
	used := g.lastUsed.Load()
	return used > 0 && boottime.Now()-time.Duration(used) < inUseWindow
}

// leaderDoubtful reports whether no leader is known or the known one is outdated, failing
// or silent.
func (m *monitor) leaderDoubtful() bool {
	g := m.group
	l := g.Leader()
	if l == nil || g.leaderOutdated(l) {
		return true
	}
	s := l.Target.State(boottime.Now())
	return s.FailingFor > 0 || s.SilentFor > leaderSilenceTimeout
}

// noListedPrimary reports whether no target is listed as primary that is not draining.
func (g *Group) noListedPrimary() bool {
	return len(g.listedPrimaries()) == 0
}

// checkLeader queries the targets for the leader, updates the leader of the group, and
// starts a promotion if one is due.
func (m *monitor) checkLeader(ctx context.Context) {
	g := m.group
	now := boottime.Now()
	if g.RequestedTerm() > g.JoinedTerm() {
		m.health.observeRequest(now)
		if err := m.promote(ctx, leadership.Requested); !errors.Is(err, leadership.ErrNoSuccessor) {
			return
		}
		// The present primary may be in reach of this daemon.
	}
	if m.lastFound.ID == "" && m.checkListedPrimary(ctx) {
		return
	}
	m.observations = g.Observe(ctx, query.Statement{Kind: query.Status}, nil, func(seen []leadership.Observation) bool {
		_, found := leadership.FindLeader(seen, g.KnownTerm())
		return found
	})
	g.ObserveTerm(leadership.HighestTerm(m.observations))
	g.ObserveJoinedTerm(leadership.JoinedTerm(m.observations))
	leader, found := leadership.FindLeader(m.observations, g.KnownTerm())
	switch {
	case found:
		m.lastFound = leader
		g.setLeader(g.leaderView(leader))
	case g.Leader() != nil && !m.leaderUsable():
		g.setLeader(nil)
	}
	m.health.observe(now, groupTerms{joined: g.JoinedTerm(), known: g.KnownTerm()}, found, found && m.leaderDraining(leader))
	if m.health.healthy() {
		return
	}
	reason := leadership.PromotionDue(m.observations, m.lastLeader(), g.KnownTerm(), m.health.leaderlessFor(now), leadership.DefaultPolicy)
	if reason != leadership.NotNeeded {
		// The next check tries again after an error.
		_ = m.promote(ctx, reason)
	}
}

// lastLeader returns the leader that was found last, or else the target that is listed as
// primary.
func (m *monitor) lastLeader() leadership.Leader {
	if m.lastFound.ID != "" {
		return m.lastFound
	}
	if listed := m.group.listedPrimaries(); len(listed) > 0 {
		return leadership.Leader{ID: listed[0].Info().ID, Term: m.group.KnownTerm()}
	}
	return m.lastFound
}

// promote has another target promoted, unless the list of targets may be incomplete: an
// unlisted target may be the leader or have commits that the listed ones lack. It logs an
// error and returns it.
func (m *monitor) promote(ctx context.Context, reason leadership.Reason) error {
	g := m.group
	if !g.listComplete() {
		return nil
	}
	since := m.health.unhealthyFor(boottime.Now())
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := g.Promoter.Promote(ctx, g, reason, since)
	if err != nil {
		g.Log.StateChange("promotion_failed", "group", g.Name, "reason", string(reason), "since_ms", since.Milliseconds(), "error", err.Error())
	}
	return err
}

// checkListedPrimary queries the targets that are listed as primary and are not failing,
// and reports whether one of them leads. Every answer of a leader is confirmed, so a
// stale list only costs time.
func (m *monitor) checkListedPrimary(ctx context.Context) bool {
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
		m.lastFound = leadership.Leader{ID: t.Info().ID, Term: status.Term}
		g.setLeader(&LeaderView{Leader: m.lastFound, Target: t})
		return true
	}
	return false
}

// leaderUsable reports whether requests may still be sent to a leader that was not found
// in the last round: it was only not reached for a short time, and no higher term is
// known.
func (m *monitor) leaderUsable() bool {
	l := m.group.Leader()
	if l.Term < m.group.KnownTerm() {
		return false
	}
	for _, o := range m.observations {
		if o.ID == l.ID {
			return !o.Reached && !o.Refused && o.FailingFor < leaderSilenceTimeout
		}
	}
	return false
}

// leaderDraining reports whether a leader is draining or was not observed.
func (m *monitor) leaderDraining(l leadership.Leader) bool {
	for _, o := range m.observations {
		if o.ID == l.ID {
			return o.Draining
		}
	}
	return true
}

// leaderView returns a leader with its target, nil if the target is not listed.
func (g *Group) leaderView(l leadership.Leader) *LeaderView {
	if t := g.FindTarget(l.ID); t != nil {
		return &LeaderView{Leader: l, Target: t}
	}
	return nil
}
