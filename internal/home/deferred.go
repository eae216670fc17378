package home

import (
	"io"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// deferBegin reports whether a BEGIN may wait for the first statement of its transaction,
// and stores it if so. This saves a round trip, and the unit needs no connection and no
// slot until then.
func (x *batchRun) deferBegin() bool {
	u := x.unit
	if !x.batch.Auxiliary || u.deferredBegin != "" || u.header.RequestID != "" {
		return false
	}
	if endsWithSync(x.batch) || hasSeveralStatements(x.batch) || !opensTransaction(x.batch) {
		return false
	}
	eachSQL(x.batch, func(sql string) { u.deferredBegin = sql })
	return true
}

// executeDeferred runs the first batch of a transaction whose BEGIN was deferred.
func (x *batchRun) executeDeferred(l *lease) (wireunit.Result, retryReason) {
	started := time.Now()
	if endsWithSync(x.batch) {
		reply, err := x.sendWithPrelude(l, []string{x.unit.deferredBegin}, x.batch, x.sink, mayEndTransaction(x.batch))
		if err != nil || reply.PreludeState == "" || reply.PreludeState == target.SQLStateFenced {
			return x.evaluate(l, reply, err, started, true)
		}
	}
	// The caller gets the answer to a BEGIN that fails.
	reply, err := x.sendDeferredBegin(l)
	if err != nil || reply.Status != wireunit.TxOpen {
		return x.evaluate(l, reply, err, started, false)
	}
	l.status = reply.Status
	reply, err = x.send(l, x.batch, x.sink, mayEndTransaction(x.batch))
	return x.evaluate(l, reply, err, started, true)
}

// sendDeferredBegin sends the deferred BEGIN by itself. Only its error is held for the
// caller.
func (x *batchRun) sendDeferredBegin(l *lease) (target.Reply, error) {
	b, err := query(x.unit.deferredBegin)
	if err != nil {
		return target.Reply{}, err
	}
	return x.send(l, b, io.Discard, false)
}
