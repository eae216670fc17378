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

// runInTransaction runs a statement on the connection of the transaction, and begins the
// transaction first if it has no connection yet.
func (e *Executor) runInTransaction(r *request) query.Answer {
	tx := r.unit.tx
	if tx.conn == nil {
		if refusal := e.beginTransaction(r, tx); refusal != nil {
			return *refusal
		}
	}
	at := boottime.Now()
	a, _, err := e.exchange(r, tx.conn, r.statement)
	if err != nil {
		return e.abortTransaction(r, "answer_lost", err)
	}
	if !a.OK() {
		return e.handleTransactionError(r, a)
	}
	tx.statements++
	tx.wrote = tx.wrote || r.writes
	if tx.leader != nil && !tx.confirmed {
		if r.confirm(tx.leader) != backend.Confirmed {
			return e.abortTransaction(r, "not_confirmed", nil)
		}
		tx.confirmed = true
		r.group.PositionHistory.Add(freshness.Sample{At: at, Position: a.Position})
	}
	tx.answered = true
	a.State = query.Open
	return a
}

// refuseWriteInRead refuses a write in a transaction that was begun for reads only, and rolls
// the transaction back. A replica would refuse the write too, but the primary would run it,
// although units that only read may be run again at another home.
func (e *Executor) refuseWriteInRead(r *request) query.Answer {
	r.unit.Close()
	a := e.refuseNotRun(r, query.ReadOnly, "write_in_read_transaction")
	a.State = query.Failed
	return a
}

// handleTransactionError handles an error answer of the target, which has rolled the
// transaction back or will do so. The transaction is begun again if the statement did not
// run, for example because the target was busy, and the caller has had no answer in it.
func (e *Executor) handleTransactionError(r *request, a query.Answer) query.Answer {
	tx := r.unit.tx
	if a.Code == query.ReadOnly && tx.leader != nil {
		r.group.InvalidateLeader(tx.leader)
	}
	if a.Code.NotRun() && !tx.answered && time.Now().Before(r.queueDeadline) {
		requestmetrics.Retried(a.Code.String())
		e.Log.Retry("retry", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "target", tx.conn.Target().Info().ID, "code", a.Code.String(), "tries", r.attempts)
		e.rollbackInBackground(tx)
		time.Sleep(busyRetryDelay)
		return e.runInTransaction(r)
	}
	if a.Code == query.ReadOnly && tx.leader != nil {
		return e.abortTransaction(r, "primary_changed", nil)
	}
	e.Log.Failure("transaction_error", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "target", tx.conn.Target().Info().ID, "code", a.Code.String())
	r.unit.Close()
	a.State = query.Failed
	return a
}

// beginTransaction acquires a connection and begins the transaction on it. It returns the
// refusal for the caller if that fails, and nil otherwise.
func (e *Executor) beginTransaction(r *request, tx *transaction) *query.Answer {
	begin := *r.unit.header.Begin
	if !begin.Writes && r.route.Consistency != catalog.Current {
		if required, ok := e.requirement(r); ok {
			for _, t := range e.rankTargets(r, required) {
				if e.beginAtTarget(r, tx, t, required) {
					return nil
				}
			}
		}
	}
	r.transactionDeadline = r.queueDeadline
	for {
		l, conn, refusal := e.acquireLeader(r)
		if conn == nil {
			r.unit.ended = true
			refusal.State = query.Failed
			return refusal
		}
		a, _, err := e.exchange(r, conn, begin)
		if err == nil && a.OK() {
			tx.conn, tx.leader, tx.confirmed = conn, l, false
			return nil
		}
		code := "lost"
		if err == nil {
			code = a.Code.String()
		}
		l.Target.Pool.Discard(conn)
		if a.Code == query.ReadOnly {
			r.group.InvalidateLeader(l)
		} else {
			r.group.TriggerCheck()
		}
		e.recordRetry(r, l.Target, code, Requirement{})
		if !time.Now().Before(r.queueDeadline) {
			answer := e.abortTransaction(r, "begin_"+code, err)
			return &answer
		}
	}
}

// beginAtTarget begins a read-only transaction on t, provided that t has applied the
// required position, and reports whether it did.
func (e *Executor) beginAtTarget(r *request, tx *transaction, t *backend.Target, required Requirement) bool {
	conn, verdict := e.acquire(r, t)
	if verdict != backend.Acquired {
		return false
	}
	begin := *r.unit.header.Begin
	begin.After = required.Position
	a, _, err := e.exchange(r, conn, begin)
	if err == nil && a.OK() {
		t.ObserveCaughtUp(required.Age)
		tx.conn, tx.leader = conn, nil
		return true
	}
	if err == nil && a.Code == query.Behind {
		t.ObserveLag(required.Age)
		releaseOrDiscard(conn, a)
	} else {
		t.Pool.Discard(conn)
	}
	e.recordRetry(r, t, "begin_"+a.Code.String(), required)
	return false
}

// commit commits the transaction. A transaction without statements is begun first, so
// that a target confirms the commit.
func (e *Executor) commit(r *request) query.Answer {
	tx := r.unit.tx
	if tx.conn == nil {
		if refusal := e.beginTransaction(r, tx); refusal != nil {
			refusal.State = query.Idle
			return *refusal
		}
	}
	r.unit.ended = true
	return e.sendCommit(r, tx)
}

// sendCommit sends the commit on the connection of the transaction. The outcome is unknown
// if a transaction with writes loses its connection after the commit was sent.
func (e *Executor) sendCommit(r *request, tx *transaction) query.Answer {
	a, sent, err := e.exchange(r, tx.conn, r.statement)
	if err != nil {
		tx.conn.Target().Pool.Discard(tx.conn)
		r.group.TriggerCheck()
		if !tx.wrote || !sent {
			return e.refuseNotRun(r, query.Aborted, "answer_lost")
		}
		return e.answerUnknown(r, "answer_lost", tx.leader, err)
	}
	tx.statements++
	releaseOrDiscard(tx.conn, a)
	a.State = query.Idle
	switch {
	case a.Code.NotRun():
		if a.Code == query.ReadOnly && tx.leader != nil {
			r.group.InvalidateLeader(tx.leader)
		}
		return e.refuseNotRun(r, query.Aborted, "commit_"+a.Code.String())
	case !a.OK():
		return a
	case tx.wrote:
		return e.confirmWrite(r, tx.leader, a)
	default:
		return a
	}
}

// abortTransaction discards the connection of the transaction, which rolls it back, and
// returns the refusal for the caller.
func (e *Executor) abortTransaction(r *request, reason string, err error) query.Answer {
	tx := r.unit.tx
	if tx.conn != nil {
		tx.conn.Target().Pool.Discard(tx.conn)
		tx.conn = nil
		r.group.TriggerCheck()
	}
	if err != nil {
		e.Log.Failure("transaction_lost", "request", r.statement.ID, "reason", reason, "error", err.Error())
	}
	r.unit.ended = true
	a := e.refuse(r, query.Aborted, reason, "rolled back: "+reason)
	a.State = query.Failed
	return a
}

// rollbackTimeout bounds a rollback on a target. After it the connection is closed, which
// rolls back as well.
const rollbackTimeout = time.Second

// rollbackInBackground rolls the transaction back without waiting for the target, and
// then returns its connection to the pool.
func (e *Executor) rollbackInBackground(tx *transaction) {
	conn := tx.conn
	tx.conn = nil
	if conn == nil {
		return
	}
	go func() {
		a, err := rollback(conn)
		if err != nil {
			conn.Target().Pool.Discard(conn)
			return
		}
		releaseOrDiscard(conn, a)
	}()
}

func rollback(conn *backend.PooledConn) (query.Answer, error) {
	if err := conn.SetDeadline(time.Now().Add(rollbackTimeout)); err != nil {
		return query.Answer{}, err
	}
	if err := conn.Send(query.Statement{Kind: query.Rollback}); err != nil {
		return query.Answer{}, err
	}
	return conn.Receive()
}
