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

// runInTransaction runs a statement on the connection of the transaction.
func (e *Executor) runInTransaction(w *work) query.Answer {
	tx := w.run.tx
	if tx.link == nil {
		if refusal := e.open(w, tx); refusal != nil {
			return *refusal
		}
	}
	at := boottime.Now()
	a, _, err := e.exchange(w, tx.link, w.st)
	if err != nil {
		return e.failTransaction(w, "answer_lost", err)
	}
	if !a.OK() {
		return e.failedInTransaction(w, a)
	}
	tx.statements++
	tx.wrote = tx.wrote || w.writes
	if tx.leader != nil && !tx.confirmed {
		if w.confirm(tx.leader) != backend.Confirmed {
			return e.failTransaction(w, "not_confirmed", nil)
		}
		tx.confirmed = true
		w.group.PositionHistory.Add(freshness.Sample{At: at, Position: a.Position})
	}
	tx.answered = true
	a.State = query.Open
	return a
}

// failedInTransaction handles an error of the target. The target has rolled back
// or will; a transaction whose first statement found the target busy is begun
// again, as the caller has seen nothing of it.
func (e *Executor) failedInTransaction(w *work, a query.Answer) query.Answer {
	tx := w.run.tx
	if a.Code == query.ReadOnly && tx.leader != nil {
		w.group.InvalidateLeader(tx.leader)
	}
	if a.Code.NotRun() && !tx.answered && time.Now().Before(w.queueUntil) {
		requestmetrics.Retried(a.Code.String())
		e.Log.Retry("retry", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "target", tx.link.Target().Info().ID, "code", a.Code.String(), "tries", w.tries)
		e.endLink(tx)
		time.Sleep(retryPause)
		return e.runInTransaction(w)
	}
	if a.Code == query.ReadOnly && tx.leader != nil {
		return e.failTransaction(w, "primary_changed", nil)
	}
	e.Log.Failure("transaction_error", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "target", tx.link.Target().Info().ID, "code", a.Code.String())
	w.run.Close()
	a.State = query.Failed
	return a
}

// open finds a connection for the transaction and begins it there.
func (e *Executor) open(w *work, tx *transaction) *query.Answer {
	begin := *w.run.header.Begin
	if !begin.Writes && w.route.Consistency != catalog.Current {
		if need, ok := e.need(w); ok {
			for _, t := range e.placed(w, need) {
				if e.openAt(w, tx, t, need) {
					return nil
				}
			}
		}
	}
	for {
		l, link, refusal := e.leaderLink(w)
		if link == nil {
			w.run.over = true
			refusal.State = query.Failed
			return refusal
		}
		a, _, err := e.exchange(w, link, begin)
		if err == nil && a.OK() {
			tx.link, tx.leader, tx.confirmed = link, l, false
			l.Target.Pool.Pin(link)
			return nil
		}
		code := "lost"
		if err == nil {
			code = a.Code.String()
		}
		l.Target.Pool.Discard(link)
		if a.Code == query.ReadOnly {
			w.group.InvalidateLeader(l)
		} else {
			w.group.TriggerCheck()
		}
		e.logReadRetry(w, l.Target, code, Requirement{})
		if !time.Now().Before(w.queueUntil) {
			answer := e.failTransaction(w, "begin_"+code, err)
			return &answer
		}
	}
}

// openAt begins a transaction that only reads on a target whose log covers the
// need.
func (e *Executor) openAt(w *work, tx *transaction, t *backend.Target, need Requirement) bool {
	link, verdict := e.acquire(w, t)
	if verdict != backend.Acquired {
		return false
	}
	begin := *w.run.header.Begin
	begin.After = need.Position
	a, _, err := e.exchange(w, link, begin)
	if err == nil && a.OK() {
		t.ObserveCaughtUp(need.Age)
		tx.link, tx.leader = link, nil
		t.Pool.Pin(link)
		return true
	}
	if err == nil && a.Code == query.Behind {
		t.ObserveLag(need.Age)
		giveBack(link, a)
	} else {
		t.Pool.Discard(link)
	}
	e.logReadRetry(w, t, "begin_"+a.Code.String(), need)
	return false
}

// commit ends the transaction. A transaction without statements is begun first, as
// a commit needs the proof of a target.
func (e *Executor) commit(w *work) query.Answer {
	tx := w.run.tx
	if tx.link == nil {
		if refusal := e.open(w, tx); refusal != nil {
			refusal.State = query.Idle
			return *refusal
		}
	}
	w.run.over = true
	return e.commitAt(w, tx)
}

func (e *Executor) commitAt(w *work, tx *transaction) query.Answer {
	a, sent, err := e.exchange(w, tx.link, w.st)
	if err != nil {
		tx.link.Target().Pool.Discard(tx.link)
		w.group.TriggerCheck()
		if !tx.wrote || !sent {
			return e.refuseWork(w, query.Aborted, "answer_lost")
		}
		return e.unknown(w, "answer_lost", tx.leader, err)
	}
	tx.statements++
	giveBack(tx.link, a)
	a.State = query.Idle
	switch {
	case a.Code.NotRun():
		if a.Code == query.ReadOnly && tx.leader != nil {
			w.group.InvalidateLeader(tx.leader)
		}
		return e.refuseWork(w, query.Aborted, "commit_"+a.Code.String())
	case !a.OK():
		return a
	case tx.wrote:
		return e.confirmWrite(w, tx.leader, a)
	default:
		return a
	}
}

// failTransaction gives up the transaction; nothing of it is kept.
func (e *Executor) failTransaction(w *work, reason string, err error) query.Answer {
	tx := w.run.tx
	if tx.link != nil {
		tx.link.Target().Pool.Discard(tx.link)
		tx.link = nil
		w.group.TriggerCheck()
	}
	if err != nil {
		e.Log.Failure("transaction_lost", "request", w.st.ID, "reason", reason, "error", err.Error())
	}
	w.run.over = true
	a := e.refuse(w, query.Aborted, reason, "rolled back: "+reason)
	a.State = query.Failed
	return a
}

// rollbackTimeout bounds the rollback on a target before its connection is closed,
// which rolls back as well.
const rollbackTimeout = time.Second

// endLink rolls back on the transaction's connection, in the background, and gives
// the connection back.
func (e *Executor) endLink(tx *transaction) {
	link := tx.link
	tx.link = nil
	if link == nil {
		return
	}
	go func() {
		a, err := rollbackOn(link)
		if err != nil {
			link.Target().Pool.Discard(link)
			return
		}
		giveBack(link, a)
	}()
}

func rollbackOn(link *backend.PooledConn) (query.Answer, error) {
	if err := link.SetDeadline(time.Now().Add(rollbackTimeout)); err != nil {
		return query.Answer{}, err
	}
	if err := link.Send(query.Statement{Kind: query.Rollback}); err != nil {
		return query.Answer{}, err
	}
	return link.Receive()
}
