package executor

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// acquireLeader waits for a leader and a connection to it. If none is available by the
// request's queueDeadline, it returns a nil connection and the refusal for the caller.
func (e *Executor) acquireLeader(r *request) (*backend.LeaderView, *backend.PooledConn, *query.Answer) {
	refuse := func(reason string) (*backend.LeaderView, *backend.PooledConn, *query.Answer) {
		a := e.refuseNotRun(r, query.Busy, reason)
		return nil, nil, &a
	}
	if r.denial.code != query.OK {
		a := e.refuseTenant(r)
		return nil, nil, &a
	}
	if !r.group.AllowLeaderRequest() {
		r.cutOff = r.group.Isolated()
		return refuse("not_confirmed")
	}
	var failed *backend.LeaderView
	for {
		l, known := r.group.ServingLeader()
		if l == nil || l == failed {
			reason := "no_primary"
			if l == nil && known != nil {
				failed, reason = known, "primary_drained"
			}
			if r.group.WaitLeader(failed, r.queueDeadline) == nil {
				if r.group.OutOfConnections() {
					reason, r.cutOff = "no_room", true
				}
				return refuse(reason)
			}
			continue
		}
		conn, verdict := e.acquire(r, l.Target)
		if r.denial.code != query.OK {
			a := e.refuseTenant(r)
			return nil, nil, &a
		}
		switch verdict {
		case backend.Acquired:
			return l, conn, nil
		case backend.TimedOut:
			r.group.TriggerCheck()
			r.cutOff = r.group.OutOfConnections()
			return refuse("no_connection")
		case backend.Overloaded:
			if r.overShare {
				return refuse("over_share")
			}
			return refuse("too_late")
		case backend.NoTransactionRoom:
			return refuse("transactions_full")
		default:
			failed = l
			r.group.TriggerCheck()
		}
	}
}

// acquire passes the gate of a target and takes a connection from its pool. It records
// the time that this took.
func (e *Executor) acquire(r *request, t *backend.Target) (*backend.PooledConn, backend.Verdict) {
	if r.denial.code != query.OK {
		return nil, backend.Overloaded
	}
	start := time.Now()
	conn, verdict := e.tryAcquire(r, t)
	observeQueue(r, verdict, time.Since(start))
	return conn, verdict
}

// tryAcquire is acquire without the metric. For the first statement of a transaction it
// reserves room among the target's transactions. If the verdict is not Acquired, the
// request holds neither a slot nor a connection nor a reservation.
func (e *Executor) tryAcquire(r *request, t *backend.Target) (*backend.PooledConn, backend.Verdict) {
	r.leaveGate()
	if r.unit.tx == nil {
		return e.enterGateAndAcquire(r, t)
	}
	if !t.Pool.ReserveTransaction(r.unit.header.Tenant, r.transactionDeadline) {
		return nil, backend.NoTransactionRoom
	}
	conn, verdict := e.enterGateAndAcquire(r, t)
	if verdict != backend.Acquired {
		t.Pool.CancelTransaction(r.unit.header.Tenant)
		return nil, verdict
	}
	t.Pool.Pin(conn)
	return conn, verdict
}

// enterGateAndAcquire waits for admission by the target's gate and then for a connection.
func (e *Executor) enterGateAndAcquire(r *request, t *backend.Target) (*backend.PooledConn, backend.Verdict) {
	refusal, ok := t.Gate.Enter(backend.Request{
		Tenant: r.unit.header.Tenant, TenantRate: e.tenantRate(r), Kind: r.gateKind(), Weight: max(1, lowestPriority-r.route.Priority), Statements: e.expectedStatements(r),
		Deadline: r.answerDeadline(), LatestStart: r.latestStart(),
	})
	r.overShare = refusal.Reason == outcome.OverShare
	if !ok {
		r.retryAfter = refusal.RetryAfter
		return nil, backend.Overloaded
	}
	r.gate = t.Gate
	conn, verdict := t.Pool.AcquireWithValues(r.unit.header.Tenant, r.unit.header.Session, r.environment.Values, r.route.Priority, r.queueDeadline)
	if verdict == backend.Acquired && !time.Now().Before(r.deadline) {
		// A statement that times out after it was sent costs its connection.
		t.Pool.Release(conn)
		conn, verdict = nil, backend.Overloaded
	}
	if verdict == backend.Acquired && !e.checkTenant(r) {
		// The key was revoked while the request waited.
		t.Pool.Release(conn)
		conn, verdict = nil, backend.Overloaded
	}
	if verdict != backend.Acquired {
		r.leaveGate()
	}
	return conn, verdict
}

// releaseOrDiscard returns a connection to its pool after the answer a. A connection that
// is still in a transaction is closed instead, which makes the target roll back.
func releaseOrDiscard(conn *backend.PooledConn, a query.Answer) {
	if a.State != query.Idle {
		conn.Target().Pool.Discard(conn)
		return
	}
	conn.Target().Pool.Release(conn)
}

// lowestPriority is the priority number from which on requests have the least weight.
const lowestPriority = 4

// leaveGate gives up an admission that was not used. It does nothing if there is none.
func (r *request) leaveGate() {
	if r.gate != nil {
		r.gate.Abandon(r.unit.header.Tenant)
		r.gate = nil
	}
}

// expectedStatements returns the number of statements that the request's unit is expected
// to run in all.
func (e *Executor) expectedStatements(r *request) float64 {
	if r.unit.tx == nil {
		return 1
	}
	return e.transactionLengths.expected(r.route.Database)
}

// gateKind returns the class of requests with which r shares a service time estimate.
func (r *request) gateKind() string {
	if r.writes {
		return r.route.Database + "/write"
	}
	return r.route.Database + "/read"
}

// answerDeadline returns the time by which the answer is useful: the end of the route's
// objective, or of firstStatementShare of it for the first statement of a transaction,
// and never later than the statement timeout.
func (r *request) answerDeadline() time.Time {
	if r.route.Objective <= 0 {
		return r.deadline
	}
	share := 1.0
	if r.unit.tx != nil {
		share = firstStatementShare
	}
	left := time.Duration(share*float64(r.route.Objective)) - (boottime.Now() - r.arrivedAt)
	if at := time.Now().Add(left); at.Before(r.deadline) {
		return at
	}
	return r.deadline
}

// latestStart returns the time by which the statement must get to a target while tenants
// compete. It is zero for routes without an objective.
func (r *request) latestStart() time.Time {
	if r.route.Objective <= 0 {
		return time.Time{}
	}
	left := time.Duration(competingQueueShare*float64(r.route.Objective)) - (boottime.Now() - r.arrivedAt)
	return time.Now().Add(left)
}

// exchange runs a statement on a connection and records the result in the target's
// state, gate and metrics. It returns the answer, whether the statement may have been
// sent, and the error if the connection failed.
func (e *Executor) exchange(r *request, conn *backend.PooledConn, st query.Statement) (query.Answer, bool, error) {
	t := conn.Target()
	leave := r.enterGate(t, st)
	r.attempts++
	start := time.Now()
	t.StatementSent()
	a, sent, err := conn.Exchange(r.environment, st, r.deadline)
	elapsed := time.Since(start)
	leave(elapsed)
	observeExchange(r, err != nil, elapsed)
	if err != nil {
		t.StatementFailed(err)
		return a, sent, err
	}
	if a.Code == query.Busy {
		t.Gate.ReportBusy()
	}
	t.StatementAnswered(elapsed, a)
	return a, true, nil
}

// enterGate occupies a slot of t's gate and returns the function that frees it. It uses
// the request's admission, or else forces an entry, because a statement of an open
// transaction does not queue. A Begin occupies no slot and leaves the admission to the
// statement that follows it.
func (r *request) enterGate(t *backend.Target, st query.Statement) func(elapsed time.Duration) {
	tenant := r.unit.header.Tenant
	switch {
	case st.Kind == query.Begin:
		return func(time.Duration) {}
	case r.gate == t.Gate:
		r.gate = nil
		return func(elapsed time.Duration) { t.Gate.Leave(tenant, r.gateKind(), elapsed) }
	default:
		t.Gate.EnterForced(tenant)
		return func(time.Duration) { t.Gate.LeaveForced(tenant) }
	}
}
