package executor

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
)

// read runs a single read on the best target that the consistency of its route allows,
// and on the leader if no such target serves it.
func (e *Executor) read(r *request) query.Answer {
	if r.route.Consistency == catalog.Current {
		return e.readAtLeader(r)
	}
	required, ok := e.requirement(r)
	if !ok {
		return e.readAtLeader(r)
	}
	for _, t := range e.rankTargets(r, required) {
		if !time.Now().Before(r.queueDeadline) && r.attempts == 0 {
			break
		}
		a, done := e.readAtTarget(r, t, required)
		if done {
			return a
		}
	}
	return e.readAtLeader(r)
}

// readAtTarget runs a read on t and reports whether the answer is final. If it is not, the
// read may be sent to another target.
func (e *Executor) readAtTarget(r *request, t *backend.Target, required Requirement) (query.Answer, bool) {
	conn, verdict := e.acquire(r, t)
	if verdict != backend.Acquired {
		return query.Answer{}, false
	}
	st := r.statement
	st.After = required.Position
	a, _, err := e.exchange(r, conn, st)
	if err != nil {
		t.Pool.Discard(conn)
		r.group.TriggerCheck()
		e.recordRetry(r, t, "lost", required)
		return query.Answer{}, false
	}
	releaseOrDiscard(conn, a)
	if a.Code == query.Behind {
		t.ObserveLag(required.Age)
	}
	if a.Code.NotRun() {
		e.recordRetry(r, t, a.Code.String(), required)
		return query.Answer{}, false
	}
	t.ObserveCaughtUp(required.Age)
	a.State = query.Idle
	return a, true
}

// recordRetry counts and logs an attempt on t that is repeated elsewhere.
func (e *Executor) recordRetry(r *request, t *backend.Target, reason string, required Requirement) {
	requestmetrics.Retried(reason)
	e.Log.Retry("retry", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "target", t.Info().ID, "code", reason,
		"need", required.Position.String(), "need_age_ms", required.Age.Milliseconds(), "tries", r.attempts)
}

// readAtLeader runs a read on the leader. A leader that is confirmed after its answer had
// every acknowledged commit when it answered.
func (e *Executor) readAtLeader(r *request) query.Answer {
	for {
		l, conn, refusal := e.acquireLeader(r)
		if conn == nil {
			return *refusal
		}
		at := boottime.Now()
		a, _, err := e.exchange(r, conn, r.statement)
		if err != nil {
			l.Target.Pool.Discard(conn)
			r.group.TriggerCheck()
			if !time.Now().Before(r.deadline) {
				return e.answerTimeout(r, l, err)
			}
			e.recordRetry(r, l.Target, "lost", Requirement{})
			continue
		}
		releaseOrDiscard(conn, a)
		if a.Code.NotRun() {
			if !e.prepareRetry(r, l, a.Code) {
				return e.refuseNotRun(r, query.Busy, "target_"+a.Code.String())
			}
			continue
		}
		if !a.OK() {
			return a
		}
		if c := r.confirm(l); c == backend.Confirmed {
			r.group.PositionHistory.Add(freshness.Sample{At: at, Position: a.Position})
			a.State = query.Idle
			return a
		}
		e.recordRetry(r, l.Target, "not_confirmed", Requirement{})
		if !time.Now().Before(r.deadline) {
			return e.refuseNotRun(r, query.Busy, "not_confirmed")
		}
	}
}

// requirement returns the position that a read with bounded staleness or session
// consistency must cover. It returns false if no position of the primary is known that is
// recent enough; the read then needs the leader.
func (e *Executor) requirement(r *request) (Requirement, bool) {
	now := boottime.Now()
	floor := r.arrivedAt - r.route.MaxStaleness
	if newest, ok := r.group.PositionHistory.Newest(); !ok || newest.At < now-r.route.MaxStaleness/2 {
		done := r.group.RefreshPosition()
		if _, ok := r.group.PositionHistory.OldestSince(floor); !ok {
			timer := time.NewTimer(maxPositionWait)
			defer timer.Stop()
			select {
			case <-done:
			case <-timer.C:
			}
		}
	}
	sample, ok := r.group.PositionHistory.OldestSince(floor)
	if !ok {
		return Requirement{}, false
	}
	required := Requirement{Position: sample.Position, Age: now - sample.At}
	if seen := r.unit.header.Seen; r.route.Consistency == catalog.Session && seen.Compare(required.Position) > 0 {
		required = Requirement{Position: seen, Age: now - r.unit.lastCommitAt}
	}
	return required, true
}

// rankTargets returns the targets that may serve a read, the best first.
func (e *Executor) rankTargets(r *request, required Requirement) []*backend.Target {
	targets := r.group.Targets()
	leader := r.group.Leader()
	now := boottime.Now()
	candidates := make([]Candidate, len(targets))
	for i, t := range targets {
		info, state := t.Info(), t.State(now)
		candidates[i] = Candidate{
			Index: i, Leader: leader != nil && leader.Target == t, Draining: info.Draining,
			Distance: r.group.Locality.Distance(info.FailureDomain), Slots: info.Slots, Running: state.Running, ExpectedWait: t.Gate.ExpectedWait(),
			Latency: state.Latency, Opening: t.Pool.OpeningCost(r.unit.header.Tenant), Cold: info.RemainingWarmUp > 0, FailingFor: state.FailingFor, SilentFor: state.SilentFor,
			Applied: state.Applied, Lag: state.Lag, Behind: (leader == nil || leader.Target != t) && t.LacksPosition(required.Age, now),
		}
	}
	equalizeLeaderOpening(candidates)
	var out []*backend.Target
	for _, i := range RankCandidates(candidates, required) {
		out = append(out, targets[i])
	}
	return out
}

// equalizeLeaderOpening gives the leader the highest cost of opening of all candidates, so
// that a connection that a tenant has at the leader for its writes does not draw its reads
// there.
func equalizeLeaderOpening(candidates []Candidate) {
	highest := time.Duration(0)
	for _, c := range candidates {
		highest = max(highest, c.Opening)
	}
	for i := range candidates {
		if candidates[i].Leader {
			candidates[i].Opening = highest
		}
	}
}
