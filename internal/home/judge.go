package home

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// confirmGrace is the least time for a confirmation.
const confirmGrace = 50 * time.Millisecond

// errDeposed says that the instance lost its term.
var errDeposed = errors.New("primary was deposed")

// judge turns what an exchange brought into the result of the batch. inside says
// that the batch ran in a transaction that an earlier batch had opened.
func (x *run) judge(l *lease, reply target.Reply, err error, started time.Time, inside bool) (wireunit.Result, retryReason) {
	ends := time.Now()
	switch {
	case errors.Is(err, target.ErrMalformed):
		x.unit.detach()
		return ended(outcome.Refuse(outcome.Malformed, 0, "%v", err)), ""
	case errors.Is(err, target.ErrNotSent):
		return x.notSent(err, inside)
	case err != nil:
		return x.lost(l, err, inside)
	}
	l.status = reply.Status
	if reply.Status != wireunit.TxIdle {
		return x.inTransaction(l, reply)
	}
	x.unit.detach()
	if l.replica {
		return x.judgeReplica(l, reply, started, ends)
	}
	return x.judgePrimary(l, reply, started, ends, inside)
}

// notSent ends a batch that did not reach the target.
func (x *run) notSent(err error, inside bool) (wireunit.Result, retryReason) {
	x.unit.detach()
	if inside {
		return ended(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the connection of the transaction is gone: %v", err)), ""
	}
	return ended(refuseUnsent(x.ctx, err)), retryNotSent
}

// lost ends a batch whose connection broke after it was sent.
func (x *run) lost(l *lease, err error, inside bool) (wireunit.Result, retryReason) {
	x.unit.detach()
	l.instance.probe()
	switch {
	case inside && !mayEnd(x.batch):
		return ended(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the transaction was rolled back with its connection: %v", err)), ""
	case x.readOnly():
		r := ended(outcome.Unclear(outcome.TargetLost, "the connection broke during a read: %v", err))
		if l.replica && !inside && x.sink.Written == 0 {
			return r, retryReplicaLost
		}
		return r, ""
	case l.recorded:
		return x.settle(l, false), ""
	default:
		return ended(outcome.Unclear(outcome.TargetLost, "the connection broke while the request ran: %v", err)), ""
	}
}

// inTransaction passes on the answer of a batch that left a transaction open.
func (x *run) inTransaction(l *lease, reply target.Reply) (wireunit.Result, retryReason) {
	if reply.SQLState == target.SQLStateFenced {
		return x.moved()
	}
	if err := x.release(); err != nil {
		return ended(outcome.Refuse(outcome.TransactionLost, 0, "the answer could not be passed on: %v", err)), ""
	}
	return wireunit.Result{Status: reply.Status, Origin: l.origin()}, ""
}

// release passes on what was held back.
func (x *run) release() error {
	held := x.unit.held
	x.unit.held = held[:0]
	if len(held) == 0 {
		return nil
	}
	_, err := x.sink.Write(held)
	return err
}

// done passes on what was held back and returns the result of a confirmed batch.
func (x *run) done(l *lease, p position.Position) wireunit.Result {
	if err := x.release(); err != nil {
		return ended(outcome.Unclear(outcome.TargetLost, "the answer could not be passed on: %v", err))
	}
	return wireunit.Result{Status: wireunit.TxIdle, Position: p, Origin: l.origin()}
}

// judgeReplica decides on the whole answer of a replica.
func (x *run) judgeReplica(l *lease, reply target.Reply, started, ends time.Time) (wireunit.Result, retryReason) {
	if reply.SQLState == target.SQLStateReadOnly && x.sink.Written == 0 {
		x.toPrimary = true
		return ended(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the replica refused a write")), retryReplicaWrite
	}
	if reply.AfterKnown {
		x.unit.database.noteReply(group.Observation{Status: reply.After, CallStarted: started, CallEnded: ends})
	}
	verdict := group.Deposed
	if reply.AfterKnown && reply.After.Applied.Covers(x.unit.header.Seen) {
		verdict = group.VerifyReplicaRead(l.term, reply.After, x.unit.groupSize())
	}
	if verdict == group.Waiting {
		d, err := x.confirm(group.Batch{Term: l.term, Started: started, Ended: ends, StatusAfter: reply.After})
		if err == nil {
			verdict = d.Verdict
		}
	}
	if verdict == group.Confirmed {
		return x.done(l, reply.After.Applied), ""
	}
	refused := ended(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the replica left its term during the read"))
	if x.sink.Written > 0 {
		return refused, ""
	}
	return refused, retryReplicaInvalid
}

// judgePrimary decides on the whole answer of a primary.
func (x *run) judgePrimary(l *lease, reply target.Reply, started, ends time.Time, inside bool) (wireunit.Result, retryReason) {
	if x.rejected(reply) {
		l.instance.probe()
		return x.moved()
	}
	if !reply.AfterKnown {
		return x.unconfirmed(l, reply, outcome.PrimaryDeposed), ""
	}
	d, err := x.confirm(group.Batch{Term: l.term, Started: started, Ended: ends, StatusAfter: reply.After})
	switch {
	case err != nil:
		return x.unconfirmed(l, reply, outcome.ConfirmTimeout), ""
	case d.Verdict != group.Confirmed:
		x.unit.database.alarm()
		return x.unconfirmed(l, reply, outcome.PrimaryDeposed), ""
	default:
		return x.done(l, d.Position), ""
	}
}

// moved ends a batch of which nothing took effect because the primary was
// replaced. The first batch of a unit is run again at the next one, unless a part
// of its answer was passed on.
func (x *run) moved() (wireunit.Result, retryReason) {
	x.unit.detach()
	x.unit.database.alarm()
	if !x.opening {
		return ended(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the primary was replaced during the transaction")), ""
	}
	r := ended(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the instance is no longer primary"))
	if x.sink.Written > 0 {
		return r, ""
	}
	return r, retryMoved
}

// noEffect reports whether the target rolled back all that the batch did. An
// error undoes the whole batch, unless a part of it may have been committed.
func (x *run) noEffect(reply target.Reply) bool {
	return reply.SQLState != "" && (!reply.Succeeded || !mayEnd(x.batch))
}

// rejected reports whether the target refused a batch because it is no primary,
// and nothing of the batch took effect.
func (x *run) rejected(reply target.Reply) bool {
	if !x.noEffect(reply) {
		return false
	}
	if reply.SQLState == target.SQLStateFenced {
		return true
	}
	return reply.SQLState == target.SQLStateReadOnly && reply.AfterKnown && !reply.After.Primary
}

// confirm waits for the group's decision on a batch. A batch that ended at its
// deadline is given a little more time, because an unknown outcome helps nobody.
func (x *run) confirm(b group.Batch) (group.Decision, error) {
	limit := x.unit.home.timings.ConfirmTimeout
	if at, ok := x.ctx.Deadline(); ok {
		limit = min(limit, max(time.Until(at), confirmGrace))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), limit)
	defer cancel()
	began := time.Now()
	d, err := x.unit.database.confirm(ctx, b)
	x.unit.home.counters.confirmTime.UpdateDuration(began)
	return d, err
}

// unconfirmed ends a batch whose whole answer is known but not confirmed.
func (x *run) unconfirmed(l *lease, reply target.Reply, reason outcome.Reason) wireunit.Result {
	switch {
	case x.readOnly():
		return ended(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the read could not be confirmed as current: %s", reason))
	case x.noEffect(reply) && x.ctx.Err() != nil:
		return ended(outcome.Refuse(outcome.DeadlinePassed, 0, "the request was canceled at its deadline"))
	case x.noEffect(reply):
		return ended(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the target failed the request, and that is not confirmed: %s", reply.SQLState))
	case l.recorded:
		return x.settle(l, true)
	default:
		return ended(outcome.Unclear(reason, "no majority confirmed the request"))
	}
}

// origin names the instance of a lease.
func (l *lease) origin() wireunit.Origin {
	return wireunit.Origin{
		Target:        l.instance.declared.Name,
		FailureDomain: l.instance.declared.FailureDomain,
		Region:        l.instance.region,
		Replica:       l.replica,
	}
}
