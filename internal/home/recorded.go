package home

import (
	"errors"
	"io"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// transactionTag is the tag that is recorded for an interactive transaction.
const transactionTag = "COMMIT"

// performRecorded runs the first batch of a unit that has a request id. The id is
// inserted in the transaction that does the work.
func (x *run) performRecorded(l *lease) (wireunit.Result, retryReason) {
	if opensTransaction(x.batch) {
		return x.openRecorded(l)
	}
	started := time.Now()
	reply, sent, err := x.sendRecorded(l)
	switch {
	case err != nil && !sent:
		return x.recordFailed(l, reply, err, started)
	case err == nil && !l.recorded:
		l.status = reply.Status
		return x.recordFailed(l, reply, nil, started)
	}
	if err != nil || reply.SQLState != "" || reply.Status == wireunit.TxIdle {
		return x.workFailed(l, reply, err, started)
	}
	l.status = reply.Status
	return x.commitRecorded(l, reply.Tag, started)
}

// sendRecorded opens the transaction, inserts the request id and sends the batch.
// All of it leaves at once if an error is certain to keep the batch from running,
// as it is in the extended query protocol. sent reports whether the batch itself
// was sent.
func (x *run) sendRecorded(l *lease) (reply target.Reply, sent bool, err error) {
	header := x.unit.header
	insert := insertRecord(header.RequestID, header.Caller, "")
	if !endsWithSync(x.batch) {
		reply, err := x.internal(l, "BEGIN; "+insert)
		if err != nil || reply.SQLState != "" {
			return reply, false, err
		}
		l.recorded = true
		reply, err = x.send(l, x.batch, x.sink, false)
		return reply, true, err
	}
	reply, err = x.sendBehind(l, []string{"BEGIN", insert}, x.batch, x.sink, false)
	l.recorded = reply.PreludeState == ""
	return reply, true, err
}

// internal runs a statement of the home's own. What is held back for the caller
// is left alone.
func (x *run) internal(l *lease, sql string) (target.Reply, error) {
	b, err := query(sql)
	if err != nil {
		return target.Reply{}, err
	}
	held := x.unit.held
	x.unit.held = nil
	reply, err := x.send(l, b, io.Discard, mayEnd(b))
	x.unit.held = held
	if err == nil {
		l.status = reply.Status
	}
	return reply, err
}

// recordFailed ends a request whose id could not be inserted: nothing of it was
// sent.
func (x *run) recordFailed(l *lease, reply target.Reply, err error, started time.Time) (wireunit.Result, retryReason) {
	switch {
	case err != nil:
		x.unit.detach()
		l.instance.probe()
		return ended(outcome.Refuse(outcome.TargetRejected, rerunRetryAfter, "the connection broke before the request was sent: %v", err)), retryNotSent
	case reply.SQLState == target.SQLStateUniqueViolation:
		return x.repeated(l), ""
	case reply.SQLState == target.SQLStateFenced || reply.SQLState == target.SQLStateReadOnly:
		l.instance.probe()
		return x.moved()
	case reply.SQLState == target.SQLStateCanceled:
		x.unit.detach()
		return ended(outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")), ""
	default:
		x.unit.detach()
		return ended(outcome.Refuse(outcome.TargetRejected, 0, "the request id could not be recorded: SQLSTATE %s", reply.SQLState)), ""
	}
}

// workFailed ends a request whose own batch failed or ended the transaction.
func (x *run) workFailed(l *lease, reply target.Reply, err error, started time.Time) (wireunit.Result, retryReason) {
	switch {
	case errors.Is(err, target.ErrMalformed) || errors.Is(err, target.ErrNotSent):
		return x.judge(l, reply, err, started, false)
	case err != nil && !mayEnd(x.batch):
		x.unit.detach()
		l.instance.probe()
		return ended(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the request was rolled back with its connection: %v", err)), ""
	case err != nil || reply.Status == wireunit.TxIdle:
		return x.judge(l, reply, err, started, true)
	}
	l.status = reply.Status
	if reply.SQLState == target.SQLStateFenced {
		return x.moved()
	}
	end, err := x.internal(l, "ROLLBACK")
	if err != nil {
		x.unit.detach()
		return ended(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the request failed and was rolled back with its connection")), ""
	}
	end.Succeeded, end.SQLState = false, reply.SQLState
	return x.judge(l, end, nil, started, true)
}

// commitRecorded records the tag and commits. Whatever error the target answers,
// the transaction did not commit.
func (x *run) commitRecorded(l *lease, tag string, started time.Time) (wireunit.Result, retryReason) {
	reply, err := x.internal(l, updateRecord(x.unit.header.RequestID, tag)+"; COMMIT")
	if err == nil && reply.SQLState == target.SQLStateCanceled {
		x.unit.detach()
		return ended(outcome.Refuse(outcome.Canceled, 0, "the request was canceled and rolled back")), ""
	}
	if err == nil && reply.SQLState == target.SQLStateFenced {
		return x.moved()
	}
	if err == nil && (reply.SQLState != "" || reply.Tag != transactionTag) {
		x.unit.detach()
		x.unit.database.alarm()
		return ended(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the request was not committed: SQLSTATE %s", reply.SQLState)), ""
	}
	if err != nil {
		x.unit.detach()
		l.instance.probe()
		return x.settle(l, false), ""
	}
	return x.judge(l, reply, nil, started, true)
}

// openRecorded opens an interactive transaction and inserts the request id right
// behind its BEGIN.
func (x *run) openRecorded(l *lease) (wireunit.Result, retryReason) {
	if severalStatements(x.batch) {
		x.unit.detach()
		return ended(outcome.Refuse(outcome.Unsupported, 0, "a request id needs BEGIN in a batch of its own")), ""
	}
	started := time.Now()
	reply, err := x.send(l, x.batch, x.sink, false)
	if err != nil || reply.Status != wireunit.TxOpen {
		return x.judge(l, reply, err, started, false)
	}
	l.status = reply.Status
	header := x.unit.header
	insert, err := x.internal(l, insertRecord(header.RequestID, header.Caller, transactionTag))
	if err != nil || insert.SQLState != "" {
		return x.recordFailed(l, insert, err, started)
	}
	l.recorded = true
	return x.inTransaction(l, reply)
}

// repeated answers a request that was done before with its recorded tag.
func (x *run) repeated(l *lease) wireunit.Result {
	x.unit.detach()
	record, err := x.readRecord(x.ctx, l.place)
	switch {
	case err != nil:
		return ended(outcome.Refuse(outcome.NotConfirmed, rerunRetryAfter, "the request id was used before, and its record could not be read: %v", err))
	case !record.Found:
		return ended(outcome.Refuse(outcome.ParameterInvalid, 0, "the request id was used by another caller"))
	}
	x.unit.home.counters.repeated.Inc()
	return wireunit.Result{Status: wireunit.TxIdle, Position: record.position, Origin: l.origin(), Repeated: true, Tag: record.tag}
}
