package executor

import (
	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// write runs a single write on the leader. It is sent again only if it was not sent
// before, or the target has answered that it did not run.
func (e *Executor) write(r *request) query.Answer {
	for {
		l, conn, refusal := e.acquireLeader(r)
		if conn == nil {
			return *refusal
		}
		a, sent, err := e.exchange(r, conn, r.statement)
		switch {
		case err != nil && sent:
			l.Target.Pool.Discard(conn)
			r.group.TriggerCheck()
			return e.answerUnknown(r, "answer_lost", l, err)
		case err != nil:
			l.Target.Pool.Discard(conn)
			continue
		}
		releaseOrDiscard(conn, a)
		if a.OK() {
			return e.confirmWrite(r, l, a)
		}
		if !a.Code.NotRun() {
			return a
		}
		if !e.prepareRetry(r, l, a.Code) {
			return e.refuseNotRun(r, query.Busy, "target_"+a.Code.String())
		}
	}
}

// confirmWrite returns the successful answer a of a write if l was still the valid
// primary when it answered, and an unknown outcome otherwise.
func (e *Executor) confirmWrite(r *request, l *backend.LeaderView, a query.Answer) query.Answer {
	switch r.confirm(l) {
	case backend.Confirmed:
		r.unit.committedPosition = a.Position
		a.State = query.Idle
		return a
	case backend.Deposed:
		return e.answerUnknown(r, "primary_deposed", l, nil)
	default:
		return e.answerUnknown(r, "not_confirmed", l, nil)
	}
}
