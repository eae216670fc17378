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

// Executor runs units of statements on the targets of its groups. It is safe for
// concurrent use.
type Executor struct {
	Groups *backend.Registry
	Log    *eventlog.Log
	// Configuration is that by which tenants of units are checked; nil disables the check.
	// It must be set before the first unit is opened.
	Configuration      *catalog.Holder
	transactionLengths transactionLengths
}

// New returns an executor that runs statements on the targets of groups.
func New(groups *backend.Registry, log *eventlog.Log) *Executor {
	return &Executor{Groups: groups, Log: log, transactionLengths: newTransactionLengths()}
}

// Time limits of a statement.
const (
	// defaultStatementTimeout applies to routes without a statement timeout.
	defaultStatementTimeout = 2 * time.Second
	// firstStatementShare is the share of the route's objective within which the first
	// statement of a transaction must be answered; the rest is left for the statements
	// that follow.
	firstStatementShare = 0.75
	// queueShare is the share of the route's objective that a statement may wait before
	// it is sent to a target.
	queueShare = 0.25
	// competingQueueShare is the share of the route's objective within which a statement
	// must be sent to a target while tenants compete for it. It leaves time for the other
	// statements and for a retry, and refuses early what would otherwise wait in vain.
	competingQueueShare = 0.5
	// busyRetryDelay is the delay before a retry after a target did not run a statement.
	busyRetryDelay = 10 * time.Millisecond
	// maxPositionWait bounds the wait for a refresh of the primary's position.
	maxPositionWait = 300 * time.Millisecond
)

// request is one statement while it is executed, with its limits and its retry state.
type request struct {
	unit        *unit
	statement   query.Statement
	environment query.Environment
	writes      bool
	route       catalog.Route
	group       *backend.Group
	// arrivedAt is when the statement was read from the caller, as time since boot.
	arrivedAt time.Duration
	// deadline ends all attempts; queueDeadline ends the wait for a target that takes the
	// statement.
	deadline, queueDeadline time.Time
	// transactionDeadline ends the wait for room among the transactions of a target. It is
	// zero, for no wait, as long as another target may have room.
	transactionDeadline time.Time
	// attempts counts the exchanges with targets.
	attempts int
	// gate is the target's gate that has admitted the statement; nil if none has, or the
	// admission is used up.
	gate *backend.Gate
	// denial is why the configuration does not allow the unit's tenant; its code is query.OK
	// if it does.
	denial denial
	// cutOff is set if this daemon can't serve the group but another may: the last
	// confirmation reached neither the store nor a replica, or the primary has no
	// connection left for this daemon.
	cutOff bool
	// retryAfter is the delay before a retry that a gate returned with its last refusal.
	retryAfter time.Duration
	// refusal is the reason for which the statement was refused, empty if it was not.
	refusal string
	// overShare is set if the last gate refused the statement because its tenant was above
	// its share of the target.
	overShare bool
}

// dispatch runs a request in the way that fits its kind and the state of its unit. A
// code other than OK is the reason why newRequest found no group.
func (e *Executor) dispatch(r *request, code query.Code) query.Answer {
	u := r.unit
	if code != query.OK {
		return e.refuse(r, code, "no_group", "no target is known for this database")
	}
	if u.ended {
		return query.Failure(query.Bad, query.Idle, "the transaction has ended")
	}
	if !e.checkTenant(r) {
		return e.refuseTenant(r)
	}
	switch {
	case u.tx != nil && r.statement.Kind == query.Commit:
		return e.commit(r)
	case u.tx != nil && r.writes && !u.header.Begin.Writes:
		return e.refuseWriteInRead(r)
	case u.tx != nil:
		return e.runInTransaction(r)
	case r.writes:
		return e.write(r)
	default:
		return e.read(r)
	}
}

// newRequest computes the time limits of a call and finds its group. It waits for a
// group that is not known yet, and returns Busy if it is still unknown at queueDeadline.
func (e *Executor) newRequest(u *unit, c stmtunit.Call) (*request, query.Code) {
	r := &request{
		unit: u, statement: c.Statement, environment: c.Environment, writes: c.Environment.Writes(c.Statement), route: u.header.Route,
		arrivedAt: boottime.Now() - c.Age,
	}
	timeout := r.route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	queue := time.Duration(queueShare * float64(r.route.Objective))
	if queue <= 0 || queue > timeout {
		queue = timeout
	}
	now := time.Now().Add(-c.Age)
	r.deadline, r.queueDeadline = now.Add(timeout), now.Add(queue)
	if r.group = e.Groups.WaitGroup(r.route.Group, r.queueDeadline); r.group == nil {
		return r, query.Busy
	}
	r.group.MarkUsed()
	return r, query.OK
}

// confirm checks that l was still the valid primary when it answered.
func (r *request) confirm(l *backend.LeaderView) backend.Confirmation {
	c := r.group.Confirm(l)
	r.cutOff = c == backend.Isolated
	return c
}

// prepareRetry invalidates the leader l or delays the next attempt, after l answered that
// it did not run the statement. It reports whether queueDeadline allows another attempt.
func (e *Executor) prepareRetry(r *request, l *backend.LeaderView, code query.Code) bool {
	e.Log.Retry("retry", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "target", l.ID, "term", l.Term, "code", code.String(), "tries", r.attempts)
	requestmetrics.Retried(code.String())
	if code == query.ReadOnly || code == query.WrongTarget {
		r.group.InvalidateLeader(l)
	} else {
		time.Sleep(busyRetryDelay)
	}
	return time.Now().Before(r.queueDeadline)
}

// refuseNotRun refuses a statement that had no effect on any target.
func (e *Executor) refuseNotRun(r *request, code query.Code, reason string) query.Answer {
	message := "not run: " + reason
	if r.retryAfter > 0 {
		message = fmt.Sprintf("%s retry_after_ms=%d", message, r.retryAfter.Milliseconds())
	}
	return e.refuse(r, code, reason, message)
}

// refuse counts and logs a refusal and returns the answer for the caller.
func (e *Executor) refuse(r *request, code query.Code, reason, message string) query.Answer {
	requestmetrics.Refused(reason)
	r.refusal = reason
	attrs := []any{
		"request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "reason", reason, "code", code.String(),
		"config_version", r.unit.header.Version, "tries", r.attempts, "waited_ms", (boottime.Now() - r.arrivedAt).Milliseconds(),
	}
	if tenant := r.unit.header.Tenant; tenant != "" {
		attrs = append(attrs, "tenant", tenant)
	}
	e.Log.Failure("refused", attrs...)
	return query.Failure(code, r.unit.txState(), message)
}

// answerUnknown returns the answer for a write that may have run on l.
func (e *Executor) answerUnknown(r *request, reason string, l *backend.LeaderView, err error) query.Answer {
	requestmetrics.Unknown(reason)
	e.Log.Failure("unknown", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "reason", reason, "target", l.ID, "term", l.Term,
		"known_term", r.group.KnownTerm(), "error", fmt.Sprint(err), "waited_ms", (boottime.Now() - r.arrivedAt).Milliseconds())
	return query.Failure(query.Unsure, r.unit.txState(), "may have run: "+reason)
}

// answerTimeout returns the answer for a read that no target answered before its deadline.
func (e *Executor) answerTimeout(r *request, l *backend.LeaderView, err error) query.Answer {
	requestmetrics.Unknown("timeout")
	e.Log.Failure("timeout", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "target", l.ID, "term", l.Term, "error", fmt.Sprint(err), "tries", r.attempts)
	return query.Failure(query.TimedOut, r.unit.txState(), "no target answered in time")
}
