package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	"k8s.io/klog/v2"
)

// settleRetryDelay is the pause between two attempts of one step of a settlement.
const settleRetryDelay = 50 * time.Millisecond

// requestRecord is the result of a confirmed read of the request record.
type requestRecord struct {
	group.RecordLookup
	tag      string
	position position.Position
}

// settle determines whether a request with an id took effect when its answer is not known
// or not confirmed. answered is set if the whole answer of the target was read, so that
// the request no longer runs on the connection.
func (x *batchRun) settle(l *lease, answered bool) wireunit.Result {
	ctx, cancel := context.WithTimeout(x.ctx, x.unit.home.timings.SettleTimeout)
	defer cancel()
	unresolved := group.UnresolvedRequest{HasID: true, Term: l.term, ConnectionTerm: l.conn.Fence(), ConnectionEnded: answered}
	var found requestRecord
	for ctx.Err() == nil {
		s := x.unit.database.state.Load()
		switch step := group.Settle(unresolved, s.primary, found.RecordLookup); step {
		case group.StepTerminate:
			unresolved.ConnectionEnded = x.terminate(ctx, l)
			if !unresolved.ConnectionEnded {
				waitForStateChange(ctx, s)
			}
		case group.StepReadRecord:
			next, err := x.readPrimaryRecord(ctx, s)
			if err != nil {
				klog.V(2).Infof("home: %s: reading the request record failed: %v", x.unit.database.key, err)
				waitForStateChange(ctx, s)
				continue
			}
			found = next
		case group.StepDone:
			return x.doneResult(l, found)
		case group.StepNotRun:
			x.unit.home.counters.settledNotRun.Inc()
			return failedResult(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the request was lost and did not run"))
		default:
			x.unit.database.raiseAlarm()
			waitForStateChange(ctx, s)
		}
	}
	return failedResult(outcome.UnknownOutcome(outcome.RequestUnsettled, "the settlement timed out before the request record was read"))
}

// doneResult returns the result of a request that took effect although its answer was
// lost.
func (x *batchRun) doneResult(l *lease, found requestRecord) wireunit.Result {
	x.unit.home.counters.settledDone.Inc()
	if x.sink.Written > 0 {
		return failedResult(outcome.UnknownOutcome(outcome.RequestUnsettled, "the request took effect, but only a part of its answer was delivered"))
	}
	x.unit.heldReply = x.unit.heldReply[:0]
	return wireunit.Result{Status: wireunit.TxIdle, Position: found.position, Origin: l.origin(), Repeated: true, Tag: found.tag}
}

// terminate closes the connection of a lease at the target. It reports whether the target
// has confirmed that the connection is closed.
func (x *batchRun) terminate(ctx context.Context, l *lease) bool {
	ctx, cancel := context.WithTimeout(ctx, x.unit.home.timings.StatusTimeout)
	defer cancel()
	err := l.instance.withControl(ctx, func(c target.Control) error { return c.Terminate(ctx, l.conn.PID()) })
	if err != nil {
		klog.V(2).Infof("home: terminating a connection to %s failed: %v", l.instance.declared.Name, err)
	}
	return err == nil
}

// waitForStateChange waits for settleRetryDelay, or until the state has changed.
func waitForStateChange(ctx context.Context, s *state) {
	timer := time.NewTimer(settleRetryDelay)
	defer timer.Stop()
	select {
	case <-s.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readPrimaryRecord reads the request record on the primary of a state.
func (x *batchRun) readPrimaryRecord(ctx context.Context, s *state) (requestRecord, error) {
	i := x.unit.database.members.Load().byName[s.primary.Name]
	if i == nil {
		return requestRecord{}, errors.New("no primary is known")
	}
	return x.readRecord(ctx, placement{instance: i, term: s.primary.Term})
}

// readRecord reads the request record on an instance and waits until the read is
// confirmed. It returns errDeposed if the instance lost its term.
func (x *batchRun) readRecord(ctx context.Context, p placement) (requestRecord, error) {
	header := x.unit.header
	b, err := query(selectRecord(header.RequestID, header.Caller))
	if err != nil {
		return requestRecord{}, err
	}
	read := &batchRun{unit: x.unit, ctx: ctx, batch: b}
	l, o := read.leaseConn(p)
	if !o.OK() {
		return requestRecord{}, fmt.Errorf("%s: %s", o.Reason, o.Message)
	}
	var rows firstValues
	started := time.Now()
	reply, err := l.conn.Exchange(ctx, target.Exchange{Batch: b, PipelineStatus: true}, &rows)
	ends := time.Now()
	l.release()
	switch {
	case err != nil:
		return requestRecord{}, err
	case reply.SQLState != "":
		return requestRecord{}, fmt.Errorf("reading the request record failed: SQLSTATE %s", reply.SQLState)
	case !reply.HasStatusAfter:
		return requestRecord{}, errDeposed
	}
	d, err := read.confirm(group.Batch{Term: p.term, Started: started, Ended: ends, StatusAfter: reply.StatusAfter})
	if err != nil {
		return requestRecord{}, err
	}
	if d.Verdict != group.Confirmed {
		return requestRecord{}, errDeposed
	}
	found := requestRecord{RecordLookup: group.RecordLookup{Term: p.term, Read: true, Found: len(rows.values) > 0}, position: d.Position}
	if found.Found {
		found.tag = rows.values[0]
	}
	return found, nil
}
