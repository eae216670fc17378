package home

import (
	"io"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// deferBegin reports whether a BEGIN may wait for the first statement of its
// transaction, and keeps it if so. Until then the unit needs no connection and no
// slot, and it saves a round trip.
func (x *run) deferBegin() bool {
	u := x.unit
	if !x.batch.Auxiliary || u.deferred != "" || u.header.RequestID != "" {
		return false
	}
	if endsWithSync(x.batch) || severalStatements(x.batch) || !opensTransaction(x.batch) {
		return false
	}
	eachSQL(x.batch, func(sql string) { u.deferred = sql })
	return true
}

// performDeferred runs the first batch of a transaction whose BEGIN was deferred.
func (x *run) performDeferred(l *lease) (wireunit.Result, retryReason) {
	started := time.Now()
	if endsWithSync(x.batch) {
		reply, err := x.sendBehind(l, []string{x.unit.deferred}, x.batch, x.sink, mayEnd(x.batch))
		if err != nil || reply.PreludeState == "" || reply.PreludeState == target.SQLStateFenced {
			return x.judge(l, reply, err, started, true)
		}
	}
	// The answer to a BEGIN that fails goes to the caller.
	reply, err := x.begin(l)
	if err != nil || reply.Status != wireunit.TxOpen {
		return x.judge(l, reply, err, started, false)
	}
	l.status = reply.Status
	reply, err = x.send(l, x.batch, x.sink, mayEnd(x.batch))
	return x.judge(l, reply, err, started, true)
}

// begin sends the deferred BEGIN by itself. Only its error is held for the caller.
func (x *run) begin(l *lease) (target.Reply, error) {
	b, err := query(x.unit.deferred)
	if err != nil {
		return target.Reply{}, err
	}
	return x.send(l, b, io.Discard, false)
}
