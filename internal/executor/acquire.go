package executor

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// leaderLink returns a connection to the leader, or the refusal.
func (e *Executor) leaderLink(w *work) (*backend.LeaderView, *backend.PooledConn, *query.Answer) {
	if !w.group.AllowLeaderRequest() {
		w.cutOff = w.group.Isolated()
		a := e.refuseWork(w, query.Busy, "not_confirmed")
		return nil, nil, &a
	}
	var failed *backend.LeaderView
	for {
		l, known := w.group.ServingLeader()
		if l == nil || l == failed {
			reason := "no_primary"
			if l == nil && known != nil {
				failed, reason = known, "primary_drained"
			}
			if w.group.WaitLeader(failed, w.queueUntil) == nil {
				if w.group.OutOfConnections() {
					reason, w.cutOff = "no_room", true
				}
				a := e.refuseWork(w, query.Busy, reason)
				return nil, nil, &a
			}
			continue
		}
		link, verdict := e.acquire(w, l.Target)
		switch verdict {
		case backend.Acquired:
			return l, link, nil
		case backend.TimedOut:
			w.group.TriggerCheck()
			w.cutOff = w.group.OutOfConnections()
			a := e.refuseWork(w, query.Busy, "no_connection")
			return nil, nil, &a
		case backend.Overloaded:
			a := e.refuseWork(w, query.Busy, "too_late")
			return nil, nil, &a
		default:
			failed = l
			w.group.TriggerCheck()
		}
	}
}

// acquire takes a place at a target and a connection to it.
func (e *Executor) acquire(w *work, t *backend.Target) (*backend.PooledConn, backend.Verdict) {
	began := time.Now()
	link, verdict := e.tryAcquire(w, t)
	observeQueue(w, verdict, time.Since(began))
	return link, verdict
}

func (e *Executor) tryAcquire(w *work, t *backend.Target) (*backend.PooledConn, backend.Verdict) {
	w.leavePlace()
	retryAfter, ok := t.Gate.Enter(backend.Request{
		Kind: w.kind(), Weight: max(1, lowestPriority-w.route.Priority), Statements: e.statements(w), Deadline: w.useful(),
	})
	if !ok {
		w.retryAfter = retryAfter
		return nil, backend.Overloaded
	}
	w.place = t.Gate
	link, verdict := t.Pool.Acquire(w.run.header.Session, w.route.Priority, w.queueUntil)
	if verdict == backend.Acquired && !time.Now().Before(w.deadline) {
		// A statement that is sent too late would cost the connection.
		t.Pool.Release(link)
		link, verdict = nil, backend.Overloaded
	}
	if verdict != backend.Acquired {
		w.leavePlace()
	}
	return link, verdict
}

// giveBack returns a connection to its pool after an answer. One that is left in a
// transaction is closed, which rolls back.
func giveBack(link *backend.PooledConn, a query.Answer) {
	if a.State != query.Idle {
		link.Target().Pool.Discard(link)
		return
	}
	link.Target().Pool.Release(link)
}

// lowestPriority is the priority number from which requests weigh least.
const lowestPriority = 4

// leavePlace gives up a place in which nothing ran.
func (w *work) leavePlace() {
	if w.place != nil {
		w.place.Abandon()
		w.place = nil
	}
}

// statements returns how many statements the work is expected to have in all.
func (e *Executor) statements(w *work) float64 {
	if w.run.tx == nil {
		return 1
	}
	return e.lengths.expected(w.route.Database)
}

// kind names requests that take about as long.
func (w *work) kind() string {
	if w.writes {
		return w.route.Database + "/write"
	}
	return w.route.Database + "/read"
}

// useful returns when the answer should be there: the objective, or a share of it
// for the first statement of a transaction, which others follow, but no later than the
// statement's own time-out.
func (w *work) useful() time.Time {
	if w.route.Objective <= 0 {
		return w.deadline
	}
	share := 1.0
	if w.run.tx != nil {
		share = firstStatementShare
	}
	left := time.Duration(share*float64(w.route.Objective)) - (boottime.Now() - w.arrived)
	if at := time.Now().Add(left); at.Before(w.deadline) {
		return at
	}
	return w.deadline
}

// exchange runs a statement on a connection and notes what that tells of the
// target.
func (e *Executor) exchange(w *work, link *backend.PooledConn, st query.Statement) (query.Answer, bool, error) {
	t := link.Target()
	leave := w.occupy(t, st)
	w.tries++
	began := time.Now()
	t.StatementSent()
	a, sent, err := link.Exchange(w.environment, st, w.deadline)
	took := time.Since(began)
	leave(took)
	observeTarget(w, err != nil, took)
	if err != nil {
		t.StatementFailed(err)
		return a, sent, err
	}
	if a.Code == query.Busy {
		t.Gate.ReportBusy()
	}
	t.StatementAnswered(took, a)
	return a, true, nil
}

// occupy uses the place that the work holds at t, or one for a statement of an open
// transaction. It returns how to leave it. A Begin occupies none.
func (w *work) occupy(t *backend.Target, st query.Statement) func(took time.Duration) {
	switch {
	case st.Kind == query.Begin:
		return func(time.Duration) {}
	case w.place == t.Gate:
		w.place = nil
		return func(took time.Duration) { t.Gate.Leave(w.kind(), took) }
	default:
		t.Gate.EnterForced()
		return func(time.Duration) { t.Gate.LeaveForced() }
	}
}
