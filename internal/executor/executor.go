package executor

import (
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Executor runs units. It may be used by any goroutine.
type Executor struct {
	Groups  *backend.Registry
	Log     *eventlog.Log
	lengths lengths
}

// New returns an executor on the targets of groups.
func New(groups *backend.Registry, log *eventlog.Log) *Executor {
	return &Executor{Groups: groups, Log: log, lengths: newLengths()}
}

// Times of a statement.
const (
	// defaultTimeout bounds a statement whose route names no time-out.
	defaultTimeout = 2 * time.Second
	// firstStatementShare is the share of the objective for the first statement of a
	// transaction.
	firstStatementShare = 0.75
	// queueShare is the share of the objective that a request may wait before it
	// is offered to a target.
	queueShare = 0.25
	// retryPause is the time before a target that was busy is tried again.
	retryPause = 10 * time.Millisecond
	// factsWait bounds the wait for a fact about the primary's position.
	factsWait = 300 * time.Millisecond
)

// work is one statement on its way.
type work struct {
	run         *run
	st          query.Statement
	environment query.Environment
	writes      bool
	route       catalog.Route
	group       *backend.Group
	// arrived is when the statement was read, since boot.
	arrived time.Duration
	// deadline ends all tries, queueUntil those that no target was offered.
	deadline, queueUntil time.Time
	// tries counts the targets that were asked.
	tries int
	// place is the gate of the target at which the statement holds a place.
	place *backend.Gate
	// cutOff says that the last confirmation reached neither store nor replica.
	cutOff bool
	// retryAfter is the time to come back that a gate told last.
	retryAfter time.Duration
}

func (e *Executor) dispatch(w *work, code query.Code) query.Answer {
	r := w.run
	if code != query.OK {
		return e.refuse(w, code, "no_group", "no target of this database is known")
	}
	switch {
	case r.over:
		return query.Failure(query.Bad, query.Idle, "the transaction is over")
	case r.tx != nil && w.st.Kind == query.Commit:
		return e.commit(w)
	case r.tx != nil:
		return e.runInTransaction(w)
	case w.writes:
		return e.write(w)
	default:
		return e.read(w)
	}
}

func (e *Executor) newWork(r *run, c stmtunit.Call) (*work, query.Code) {
	w := &work{
		run: r, st: c.Statement, environment: c.Environment, writes: c.Environment.Writes(c.Statement), route: r.header.Route,
		arrived: boottime.Now() - c.Age,
	}
	timeout := w.route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	queue := time.Duration(queueShare * float64(w.route.Objective))
	if queue <= 0 || queue > timeout {
		queue = timeout
	}
	now := time.Now().Add(-c.Age)
	w.deadline, w.queueUntil = now.Add(timeout), now.Add(queue)
	if w.group = e.Groups.WaitGroup(w.route.Group, w.queueUntil); w.group == nil {
		return w, query.Busy
	}
	w.group.MarkUsed()
	return w, query.OK
}

// confirm asks whether the answer that a leader gave before counts.
func (w *work) confirm(l *backend.LeaderView) backend.Confirmation {
	c := w.group.Confirm(l)
	w.cutOff = c == backend.Isolated
	return c
}

// tryAgain prepares another try after a target said that nothing ran, and reports
// whether there is time for one.
func (e *Executor) tryAgain(w *work, l *backend.LeaderView, code query.Code) bool {
	e.Log.Retry("retry", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "target", l.ID, "term", l.Term, "code", code.String(), "tries", w.tries)
	requestmetrics.Retried(code.String())
	if code == query.ReadOnly || code == query.WrongTarget {
		w.group.InvalidateLeader(l)
	} else {
		time.Sleep(retryPause)
	}
	return time.Now().Before(w.queueUntil)
}

// refuseWork refuses a statement of which nothing is kept.
func (e *Executor) refuseWork(w *work, code query.Code, reason string) query.Answer {
	message := "not run: " + reason
	if w.retryAfter > 0 {
		message = fmt.Sprintf("%s retry_after_ms=%d", message, w.retryAfter.Milliseconds())
	}
	return e.refuse(w, code, reason, message)
}

func (e *Executor) refuse(w *work, code query.Code, reason, message string) query.Answer {
	requestmetrics.Refused(reason)
	e.Log.Failure("refused", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "reason", reason, "code", code.String(),
		"config_version", w.run.header.Version, "tries", w.tries, "waited_ms", (boottime.Now() - w.arrived).Milliseconds())
	return query.Failure(code, w.run.state(), message)
}

// unknown answers a write that may have run.
func (e *Executor) unknown(w *work, reason string, l *backend.LeaderView, err error) query.Answer {
	requestmetrics.Unknown(reason)
	e.Log.Failure("unknown", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "reason", reason, "target", l.ID, "term", l.Term,
		"known_term", w.group.KnownTerm(), "error", fmt.Sprint(err), "waited_ms", (boottime.Now() - w.arrived).Milliseconds())
	return query.Failure(query.Unsure, w.run.state(), "may have run: "+reason)
}

// timedOut answers a read that no target answered in time.
func (e *Executor) timedOut(w *work, l *backend.LeaderView, err error) query.Answer {
	requestmetrics.Unknown("timeout")
	e.Log.Failure("timeout", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "target", l.ID, "term", l.Term, "error", fmt.Sprint(err), "tries", w.tries)
	return query.Failure(query.TimedOut, w.run.state(), "no target answered in time")
}
