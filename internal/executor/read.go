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

// read runs a single read where its route allows.
func (e *Executor) read(w *work) query.Answer {
	if w.route.Consistency == catalog.Current {
		return e.readAtLeader(w)
	}
	need, ok := e.need(w)
	if !ok {
		return e.readAtLeader(w)
	}
	for _, t := range e.placed(w, need) {
		if !time.Now().Before(w.queueUntil) && w.tries == 0 {
			break
		}
		a, done := e.readAt(w, t, need)
		if done {
			return a
		}
	}
	return e.readAtLeader(w)
}

// readAt runs a read on one target, and reports whether its answer counts.
func (e *Executor) readAt(w *work, t *backend.Target, need Requirement) (query.Answer, bool) {
	link, verdict := e.acquire(w, t)
	if verdict != backend.Acquired {
		return query.Answer{}, false
	}
	st := w.st
	st.After = need.Position
	a, _, err := e.exchange(w, link, st)
	if err != nil {
		t.Pool.Discard(link)
		w.group.TriggerCheck()
		e.logReadRetry(w, t, "lost", need)
		return query.Answer{}, false
	}
	giveBack(link, a)
	if a.Code == query.Behind {
		t.ObserveLag(need.Age)
	}
	if a.Code.NotRun() {
		e.logReadRetry(w, t, a.Code.String(), need)
		return query.Answer{}, false
	}
	t.ObserveCaughtUp(need.Age)
	a.State = query.Idle
	return a, true
}

func (e *Executor) logReadRetry(w *work, t *backend.Target, reason string, need Requirement) {
	requestmetrics.Retried(reason)
	e.Log.Retry("retry", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "target", t.Info().ID, "code", reason,
		"need", need.Position.String(), "need_age_ms", need.Age.Milliseconds(), "tries", w.tries)
}

// readAtLeader runs a read on the leader, which holds every acknowledged commit if
// it still leads after the answer.
func (e *Executor) readAtLeader(w *work) query.Answer {
	for {
		l, link, refusal := e.leaderLink(w)
		if link == nil {
			return *refusal
		}
		at := boottime.Now()
		a, _, err := e.exchange(w, link, w.st)
		if err != nil {
			l.Target.Pool.Discard(link)
			w.group.TriggerCheck()
			if !time.Now().Before(w.deadline) {
				return e.timedOut(w, l, err)
			}
			e.logReadRetry(w, l.Target, "lost", Requirement{})
			continue
		}
		giveBack(link, a)
		if a.Code.NotRun() {
			if !e.tryAgain(w, l, a.Code) {
				return e.refuseWork(w, query.Busy, "target_"+a.Code.String())
			}
			continue
		}
		if !a.OK() {
			return a
		}
		if c := w.confirm(l); c == backend.Confirmed {
			w.group.PositionHistory.Add(freshness.Sample{At: at, Position: a.Position})
			a.State = query.Idle
			return a
		}
		e.logReadRetry(w, l.Target, "not_confirmed", Requirement{})
		if !time.Now().Before(w.deadline) {
			return e.refuseWork(w, query.Busy, "not_confirmed")
		}
	}
}

// need returns the position that a bounded or session read must cover.
func (e *Executor) need(w *work) (Requirement, bool) {
	now := boottime.Now()
	floor := w.arrived - w.route.MaxStaleness
	if newest, ok := w.group.PositionHistory.NewestTime(); !ok || newest < now-w.route.MaxStaleness/2 {
		done := w.group.RefreshPosition()
		if _, ok := w.group.PositionHistory.OldestSince(floor); !ok {
			timer := time.NewTimer(factsWait)
			defer timer.Stop()
			select {
			case <-done:
			case <-timer.C:
			}
		}
	}
	f, ok := w.group.PositionHistory.OldestSince(floor)
	if !ok {
		return Requirement{}, false
	}
	need := Requirement{Position: f.Position, Age: now - f.At}
	if seen := w.run.header.Seen; w.route.Consistency == catalog.Session && seen.Compare(need.Position) > 0 {
		need = Requirement{Position: seen, Age: now - w.run.seenAt}
	}
	return need, true
}

// placed returns the targets for a read, the best first.
func (e *Executor) placed(w *work, need Requirement) []*backend.Target {
	targets := w.group.Targets()
	leader := w.group.Leader()
	now := boottime.Now()
	candidates := make([]Candidate, len(targets))
	for i, t := range targets {
		info, state := t.Info(), t.State(now)
		candidates[i] = Candidate{
			Index: i, Leader: leader != nil && leader.Target == t, Draining: info.Draining,
			Distance: w.group.Locality.Distance(info.FailureDomain), Slots: info.Slots, Running: state.Running, ExpectedWait: t.Gate.ExpectedWait(),
			Latency: state.Latency, Cold: info.ColdLeft > 0, FailingFor: state.FailingFor, SilentFor: state.SilentFor,
			Applied: state.Applied, Lag: state.Lag, Behind: (leader == nil || leader.Target != t) && t.LacksPosition(need.Age, now),
		}
	}
	var out []*backend.Target
	for _, i := range RankCandidates(candidates, need) {
		out = append(out, targets[i])
	}
	return out
}
