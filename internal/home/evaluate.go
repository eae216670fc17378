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

// minConfirmTimeout is the least time that a confirmation is given, even after the
// deadline of the request.
const minConfirmTimeout = 50 * time.Millisecond

// errDeposed is returned for an answer of an instance that lost its term.
var errDeposed = errors.New("the instance lost its term")

// evaluate turns the reply or the error of an exchange into the result of the batch and,
// if the batch is to be run again, the reason. inTransaction is set if an earlier batch
// had opened the transaction.
func (x *batchRun) evaluate(l *lease, reply target.Reply, err error, started time.Time, inTransaction bool) (wireunit.Result, retryReason) {
	ended := time.Now()
	switch {
	case errors.Is(err, target.ErrMalformed):
		x.unit.detach()
		return failedResult(outcome.Refuse(outcome.Malformed, 0, "%v", err)), ""
	case errors.Is(err, target.ErrNotSent):
		return x.notSentResult(err, inTransaction)
	case err != nil:
		return x.connectionLostResult(l, err, inTransaction)
	}
	l.status = reply.Status
	if reply.Status != wireunit.TxIdle {
		return x.openTransactionResult(l, reply)
	}
	x.unit.detach()
	if l.replica {
		return x.evaluateReplica(l, reply, started, ended)
	}
	return x.evaluatePrimary(l, reply, started, ended, inTransaction)
}

// notSentResult returns the result of a batch that was not sent to the target.
func (x *batchRun) notSentResult(err error, inTransaction bool) (wireunit.Result, retryReason) {
	x.unit.detach()
	if inTransaction {
		return failedResult(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the connection of the transaction was closed: %v", err)), ""
	}
	return failedResult(refuseUnsent(x.ctx, err)), retryNotSent
}

// connectionLostResult returns the result of a batch whose connection broke after it was
// sent.
func (x *batchRun) connectionLostResult(l *lease, err error, inTransaction bool) (wireunit.Result, retryReason) {
	x.unit.detach()
	l.instance.probe()
	switch {
	case inTransaction && !mayEndTransaction(x.batch):
		return failedResult(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the connection broke and the target rolled the transaction back: %v", err)), ""
	case x.isReadOnly():
		r := failedResult(outcome.UnknownOutcome(outcome.TargetLost, "the connection broke during a read: %v", err))
		if l.replica && !inTransaction && x.sink.Written == 0 {
			return r, retryReplicaLost
		}
		return r, ""
	case l.idRecorded:
		return x.settle(l, false), ""
	default:
		return failedResult(outcome.UnknownOutcome(outcome.TargetLost, "the connection broke while the request ran: %v", err)), ""
	}
}

// openTransactionResult passes on the answer of a batch that left a transaction open.
func (x *batchRun) openTransactionResult(l *lease, reply target.Reply) (wireunit.Result, retryReason) {
	if reply.SQLState == target.SQLStateFenced {
		return x.primaryChangedResult()
	}
	if err := x.flushHeld(); err != nil {
		return failedResult(outcome.Refuse(outcome.TransactionLost, 0, "the answer could not be passed on: %v", err)), ""
	}
	return wireunit.Result{Status: reply.Status, Origin: l.origin()}, ""
}

// flushHeld writes the answer that was held back to the caller.
func (x *batchRun) flushHeld() error {
	held := x.unit.heldReply
	x.unit.heldReply = held[:0]
	if len(held) == 0 {
		return nil
	}
	_, err := x.sink.Write(held)
	return err
}

// confirmedResult passes on the held answer and returns the result of a confirmed batch.
func (x *batchRun) confirmedResult(l *lease, p position.Position) wireunit.Result {
	if err := x.flushHeld(); err != nil {
		return failedResult(outcome.UnknownOutcome(outcome.TargetLost, "the answer could not be passed on: %v", err))
	}
	return wireunit.Result{Status: wireunit.TxIdle, Position: p, Origin: l.origin()}
}

// evaluateReplica returns the result of a batch that a replica has answered in full.
func (x *batchRun) evaluateReplica(l *lease, reply target.Reply, started, ended time.Time) (wireunit.Result, retryReason) {
	if reply.SQLState == target.SQLStateReadOnly && x.sink.Written == 0 {
		x.forcePrimary = true
		return failedResult(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the replica refused a write")), retryReplicaWrite
	}
	if reply.HasStatusAfter {
		x.unit.database.recordReplicaStatus(group.Observation{Status: reply.StatusAfter, CallStarted: started, CallEnded: ended})
	}
	verdict := group.Deposed
	if reply.HasStatusAfter && reply.StatusAfter.Applied.Covers(x.unit.header.Seen) {
		verdict = group.VerifyReplicaRead(l.term, reply.StatusAfter, x.unit.groupSize())
	}
	if verdict == group.Waiting {
		d, err := x.confirm(group.Batch{Term: l.term, Started: started, Ended: ended, StatusAfter: reply.StatusAfter})
		if err == nil {
			verdict = d.Verdict
		}
	}
	if verdict == group.Confirmed {
		return x.confirmedResult(l, reply.StatusAfter.Applied), ""
	}
	refused := failedResult(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the replica left its term during the read"))
	if x.sink.Written > 0 {
		return refused, ""
	}
	return refused, retryReplicaInvalid
}

// evaluatePrimary returns the result of a batch that a primary has answered in full.
func (x *batchRun) evaluatePrimary(l *lease, reply target.Reply, started, ended time.Time, inTransaction bool) (wireunit.Result, retryReason) {
	if x.isRejectedByNonPrimary(reply) {
		l.instance.probe()
		return x.primaryChangedResult()
	}
	if !reply.HasStatusAfter {
		return x.unconfirmedResult(l, reply, outcome.PrimaryDeposed), ""
	}
	d, err := x.confirm(group.Batch{Term: l.term, Started: started, Ended: ended, StatusAfter: reply.StatusAfter})
	switch {
	case err != nil:
		return x.unconfirmedResult(l, reply, outcome.ConfirmTimeout), ""
	case d.Verdict != group.Confirmed:
		x.unit.database.raiseAlarm()
		return x.unconfirmedResult(l, reply, outcome.PrimaryDeposed), ""
	default:
		return x.confirmedResult(l, d.Position), ""
	}
}

// primaryChangedResult returns the result of a batch that had no effect because the
// primary was replaced. The first batch of a unit is run again on the new primary, unless
// a part of its answer has reached the caller.
func (x *batchRun) primaryChangedResult() (wireunit.Result, retryReason) {
	x.unit.detach()
	x.unit.database.raiseAlarm()
	if !x.isFirst {
		return failedResult(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the primary was replaced during the transaction")), ""
	}
	r := failedResult(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the instance is no longer the primary"))
	if x.sink.Written > 0 {
		return r, ""
	}
	return r, retryPrimaryChanged
}

// hadNoEffect reports whether the target rolled back everything that the batch did. An
// error undoes the whole batch, unless a part of it may have been committed.
func (x *batchRun) hadNoEffect(reply target.Reply) bool {
	return reply.SQLState != "" && (!reply.Succeeded || !mayEndTransaction(x.batch))
}

// isRejectedByNonPrimary reports whether the target refused a batch because it is not the
// primary, and the batch had no effect.
func (x *batchRun) isRejectedByNonPrimary(reply target.Reply) bool {
	if !x.hadNoEffect(reply) {
		return false
	}
	if reply.SQLState == target.SQLStateFenced {
		return true
	}
	return reply.SQLState == target.SQLStateReadOnly && reply.HasStatusAfter && !reply.StatusAfter.Primary
}

// confirm waits for the decision of the group on a batch. A batch that ended at its
// deadline is still given minConfirmTimeout, because without a confirmation its outcome
// is unknown to the caller.
func (x *batchRun) confirm(b group.Batch) (group.Decision, error) {
	limit := x.unit.home.timings.ConfirmTimeout
	if at, ok := x.ctx.Deadline(); ok {
		limit = min(limit, max(time.Until(at), minConfirmTimeout))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), limit)
	defer cancel()
	began := time.Now()
	d, err := x.unit.database.confirm(ctx, b)
	x.unit.home.counters.confirmTime.UpdateDuration(began)
	return d, err
}

// unconfirmedResult returns the result of a batch that was answered in full but not
// confirmed.
func (x *batchRun) unconfirmedResult(l *lease, reply target.Reply, reason outcome.Reason) wireunit.Result {
	switch {
	case x.isReadOnly():
		return failedResult(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the read could not be confirmed as current: %s", reason))
	case x.hadNoEffect(reply) && x.ctx.Err() != nil:
		return failedResult(outcome.Refuse(outcome.DeadlinePassed, 0, "the request was canceled at its deadline"))
	case x.hadNoEffect(reply):
		return failedResult(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the target failed the request with SQLSTATE %s, and no majority confirmed the failure", reply.SQLState))
	case l.idRecorded:
		return x.settle(l, true)
	default:
		return failedResult(outcome.UnknownOutcome(reason, "no majority confirmed the request"))
	}
}

// origin returns the instance of the lease, as reported to the caller.
func (l *lease) origin() wireunit.Origin {
	return wireunit.Origin{
		Target:        l.instance.declared.Name,
		FailureDomain: l.instance.declared.FailureDomain,
		Region:        l.instance.region,
		Replica:       l.replica,
	}
}
