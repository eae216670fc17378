package home

import (
	"errors"
	"io"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// transactionTag is the command tag that is recorded for an interactive transaction.
const transactionTag = "COMMIT"

// executeRecorded runs the first batch of a unit that has a request id. The id is
// inserted into the request record in the transaction that does the work.
func (x *batchRun) executeRecorded(l *lease) (wireunit.Result, retryReason) {
	if opensTransaction(x.batch) {
		return x.beginRecorded(l)
	}
	started := time.Now()
	reply, sent, err := x.sendRecorded(l)
	switch {
	case err != nil && !sent:
		return x.recordFailedResult(l, reply, err, started)
	case err == nil && !l.idRecorded:
		l.status = reply.Status
		return x.recordFailedResult(l, reply, nil, started)
	}
	if err != nil || reply.SQLState != "" || reply.Status == wireunit.TxIdle {
		return x.batchFailedResult(l, reply, err, started)
	}
	l.status = reply.Status
	return x.commitRecorded(l, reply.Tag, started)
}

// sendRecorded opens the transaction, inserts the request id and sends the batch. All
// three are sent at once if an error of the insert is certain to keep the batch from
// running, as in the extended query protocol. sent reports whether the batch itself was
// sent.
func (x *batchRun) sendRecorded(l *lease) (reply target.Reply, sent bool, err error) {
	header := x.unit.header
	insert := insertRecord(header.RequestID, header.Caller, "")
	if !endsWithSync(x.batch) {
		reply, err := x.runInternal(l, "BEGIN; "+insert)
		if err != nil || reply.SQLState != "" {
			return reply, false, err
		}
		l.idRecorded = true
		reply, err = x.send(l, x.batch, x.sink, false)
		return reply, true, err
	}
	reply, err = x.sendWithPrelude(l, []string{"BEGIN", insert}, x.batch, x.sink, false)
	l.idRecorded = reply.PreludeState == ""
	return reply, true, err
}

// runInternal runs a statement of the home. It leaves the answer that is held back for
// the caller unchanged.
func (x *batchRun) runInternal(l *lease, sql string) (target.Reply, error) {
	b, err := query(sql)
	if err != nil {
		return target.Reply{}, err
	}
	held := x.unit.heldReply
	x.unit.heldReply = nil
	reply, err := x.send(l, b, io.Discard, mayEndTransaction(b))
	x.unit.heldReply = held
	if err == nil {
		l.status = reply.Status
	}
	return reply, err
}

// recordFailedResult returns the result of a request whose id could not be inserted. The
// batch of the request did not run.
func (x *batchRun) recordFailedResult(l *lease, reply target.Reply, err error, started time.Time) (wireunit.Result, retryReason) {
	switch {
	case err != nil:
		x.unit.detach()
		l.instance.probe()
		return failedResult(outcome.Refuse(outcome.TargetRejected, rerunRetryAfter, "the connection broke before the request was sent: %v", err)), retryNotSent
	case reply.SQLState == target.SQLStateUniqueViolation:
		return x.repeatedResult(l), ""
	case reply.SQLState == target.SQLStateFenced || reply.SQLState == target.SQLStateReadOnly:
		l.instance.probe()
		return x.primaryChangedResult()
	case reply.SQLState == target.SQLStateCanceled:
		x.unit.detach()
		return failedResult(outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")), ""
	default:
		x.unit.detach()
		return failedResult(outcome.Refuse(outcome.TargetRejected, 0, "the request id could not be recorded: SQLSTATE %s", reply.SQLState)), ""
	}
}

// batchFailedResult returns the result of a request whose own batch failed or ended the
// transaction.
func (x *batchRun) batchFailedResult(l *lease, reply target.Reply, err error, started time.Time) (wireunit.Result, retryReason) {
	switch {
	case errors.Is(err, target.ErrMalformed) || errors.Is(err, target.ErrNotSent):
		return x.evaluate(l, reply, err, started, false)
	case err != nil && !mayEndTransaction(x.batch):
		x.unit.detach()
		l.instance.probe()
		return failedResult(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the connection broke and the target rolled the request back: %v", err)), ""
	case err != nil || reply.Status == wireunit.TxIdle:
		return x.evaluate(l, reply, err, started, true)
	}
	l.status = reply.Status
	if reply.SQLState == target.SQLStateFenced {
		return x.primaryChangedResult()
	}
	end, err := x.runInternal(l, "ROLLBACK")
	if err != nil {
		x.unit.detach()
		return failedResult(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the request failed, and its connection broke during the rollback")), ""
	}
	end.Succeeded, end.SQLState = false, reply.SQLState
	return x.evaluate(l, end, nil, started, true)
}

// commitRecorded records the command tag and commits. If the target answers with any
// error, the transaction did not commit.
func (x *batchRun) commitRecorded(l *lease, tag string, started time.Time) (wireunit.Result, retryReason) {
	reply, err := x.runInternal(l, updateRecord(x.unit.header.RequestID, tag)+"; COMMIT")
	if err == nil && reply.SQLState == target.SQLStateCanceled {
		x.unit.detach()
		return failedResult(outcome.Refuse(outcome.Canceled, 0, "the request was canceled and rolled back")), ""
	}
	if err == nil && reply.SQLState == target.SQLStateFenced {
		return x.primaryChangedResult()
	}
	if err == nil && (reply.SQLState != "" || reply.Tag != transactionTag) {
		x.unit.detach()
		x.unit.database.raiseAlarm()
		return failedResult(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the request was not committed: SQLSTATE %s", reply.SQLState)), ""
	}
	if err != nil {
		x.unit.detach()
		l.instance.probe()
		return x.settle(l, false), ""
	}
	return x.evaluate(l, reply, nil, started, true)
}

// beginRecorded opens an interactive transaction and inserts the request id right after
// BEGIN.
func (x *batchRun) beginRecorded(l *lease) (wireunit.Result, retryReason) {
	if hasSeveralStatements(x.batch) {
		x.unit.detach()
		return failedResult(outcome.Refuse(outcome.Unsupported, 0, "in a transaction with a request id, BEGIN must be sent in a batch of its own")), ""
	}
	started := time.Now()
	reply, err := x.send(l, x.batch, x.sink, false)
	if err != nil || reply.Status != wireunit.TxOpen {
		return x.evaluate(l, reply, err, started, false)
	}
	l.status = reply.Status
	header := x.unit.header
	insert, err := x.runInternal(l, insertRecord(header.RequestID, header.Caller, transactionTag))
	if err != nil || insert.SQLState != "" {
		return x.recordFailedResult(l, insert, err, started)
	}
	l.idRecorded = true
	return x.openTransactionResult(l, reply)
}

// repeatedResult returns the recorded command tag of a request that was done before.
func (x *batchRun) repeatedResult(l *lease) wireunit.Result {
	x.unit.detach()
	record, err := x.readRecord(x.ctx, l.placement)
	switch {
	case err != nil:
		return failedResult(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the request id was used before, and reading its record failed: %v", err))
	case !record.Found:
		return failedResult(outcome.Refuse(outcome.ParameterInvalid, 0, "the request id was used by another caller"))
	}
	x.unit.home.counters.repeated.Inc()
	return wireunit.Result{Status: wireunit.TxIdle, Position: record.position, Origin: l.origin(), Repeated: true, Tag: record.tag}
}
