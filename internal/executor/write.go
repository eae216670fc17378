package executor

import (
	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// write runs a single write on the leader. It is sent again only if the target has
// said that it did not run.
func (e *Executor) write(w *work) query.Answer {
	for {
		l, link, refusal := e.leaderLink(w)
		if link == nil {
			return *refusal
		}
		a, sent, err := e.exchange(w, link, w.st)
		switch {
		case err != nil && sent:
			l.Target.Pool.Discard(link)
			w.group.TriggerCheck()
			return e.unknown(w, "answer_lost", l, err)
		case err != nil:
			l.Target.Pool.Discard(link)
			continue
		}
		giveBack(link, a)
		if a.OK() {
			return e.confirmWrite(w, l, a)
		}
		if !a.Code.NotRun() {
			return a
		}
		if !e.tryAgain(w, l, a.Code) {
			return e.refuseWork(w, query.Busy, "target_"+a.Code.String())
		}
	}
}

// confirmWrite passes the success of a write on if the primary led when it
// answered.
func (e *Executor) confirmWrite(w *work, l *backend.LeaderView, a query.Answer) query.Answer {
	switch w.confirm(l) {
	case backend.Confirmed:
		w.run.committed = a.Position
		a.State = query.Idle
		return a
	case backend.Deposed:
		return e.unknown(w, "primary_deposed", l, nil)
	default:
		return e.unknown(w, "not_confirmed", l, nil)
	}
}
