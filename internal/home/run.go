package home

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// maxAttempts bounds how often a home sends a batch.
const maxAttempts = 4

// maxPrimaryChanges bounds how often a batch that has not been sent is routed again after
// a change of the primary.
const maxPrimaryChanges = 8

// batchRun is the execution of one batch of a unit.
type batchRun struct {
	unit  *unit
	ctx   context.Context
	batch wireunit.Batch
	sink  *wireunit.CountingSink
	// forcePrimary sends a read to the primary after a replica refused it.
	forcePrimary bool
	// isFirst is set for the first batch of a unit. It may be run again as long as none
	// of it took effect.
	isFirst bool
	// ownerDomain is the failure domain whose home is to run the unit; empty if this home
	// runs it.
	ownerDomain string
}

// runFirst runs the first batch of a unit. A batch that failed without an effect is
// retried, up to maxAttempts.
func (x *batchRun) runFirst() wireunit.Result {
	x.isFirst = true
	if x.deferBegin() {
		if o := x.placeDeferredBegin(); !o.OK() {
			return x.refusedResult(o)
		}
		return wireunit.Result{Status: wireunit.TxOpen}
	}
	var exclude []string
	for n := 1; ; n++ {
		l, o := x.acquireLease(exclude)
		if !o.OK() {
			return x.refusedResult(o)
		}
		r, why := x.execute(l)
		if why == "" || n == maxAttempts || x.ctx.Err() != nil {
			return r
		}
		x.unit.home.counters.retry(why)
		if why == retryPrimaryChanged {
			if o := x.awaitPrimaryChange(); !o.OK() {
				return r
			}
		}
		if l.replica {
			exclude = append(exclude, l.instance.declared.Name)
		}
	}
}

// awaitPrimaryChange waits for the next state of the group, after an instance refused a
// batch because it is no longer the primary.
func (x *batchRun) awaitPrimaryChange() outcome.Outcome {
	u := x.unit
	u.markWaiting()
	return u.waitForChange(x.ctx, u.database.state.Load().changed, u.home.timings.ActiveProbeInterval)
}

// runNext runs a later batch of a transaction.
func (x *batchRun) runNext() wireunit.Result {
	l := x.unit.lease
	if l.isDeposed(x.unit.database.state.Load()) {
		l.conn.Close()
		return failedResult(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the primary of the transaction was replaced"))
	}
	started := time.Now()
	reply, err := x.send(l, x.batch, x.sink, mayEndTransaction(x.batch))
	r, _ := x.evaluate(l, reply, err, started, true)
	return r
}

// isReadOnly reports whether the unit is known to write nothing. A read-only batch does
// not make its transaction read-only: a later batch may write.
func (x *batchRun) isReadOnly() bool {
	if x.unit.header.ReadOnly {
		return true
	}
	return x.batch.ReadOnly && x.unit.deferredBegin == "" && x.isFirst
}

// acquireLease selects an instance, waits for a slot and takes a connection. It starts
// again if the primary is replaced meanwhile.
func (x *batchRun) acquireLease(exclude []string) (*lease, outcome.Outcome) {
	u := x.unit
	u.markWaiting()
	for n := 1; ; n++ {
		p, o := x.selectPlacement(exclude)
		if o.OK() {
			o = x.checkDelegation(p)
		}
		if !o.OK() {
			return nil, o
		}
		if o := x.checkDelegation(p); !o.OK() {
			return nil, o
		}
		l, o := x.leaseConn(p)
		switch {
		case o.Reason == outcome.PrimaryChanged && n == maxPrimaryChanges:
			return nil, o
		case o.Reason == outcome.PrimaryChanged:
			u.home.counters.retry(retryPrimaryChanged)
			if o := x.awaitPrimaryChange(); !o.OK() {
				return nil, o
			}
			continue
		case !o.OK():
			return nil, o
		case l.isDeposed(u.database.state.Load()):
			l.release()
			u.home.counters.retry(retryPrimaryChanged)
			continue
		case !u.attach(l):
			u.detach()
			return nil, outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")
		}
		return l, outcome.Outcome{}
	}
}

// selectPlacement returns the instance that runs the unit. A unit that may write is
// counted as a running write from here on.
func (x *batchRun) selectPlacement(exclude []string) (placement, outcome.Outcome) {
	u := x.unit
	if x.isReadOnly() && !x.forcePrimary {
		return u.selectForRead(x.ctx, exclude)
	}
	for {
		p, o := u.awaitPrimary(x.ctx)
		if !o.OK() || x.isReadOnly() || u.countedAsWrite {
			return p, o
		}
		if u.database.writes.begin() {
			u.countedAsWrite = true
			return p, o
		}
	}
}

// leaseConn waits for a slot of the instance and takes a connection.
func (x *batchRun) leaseConn(p placement) (*lease, outcome.Outcome) {
	u := x.unit
	if slots, _, _ := p.instance.gate.load(); slots == 0 {
		return nil, outcome.Refuse(outcome.QueueFull, noPrimaryRetryAfter, "this home has no share of the slots of target %s", p.instance.declared.Name)
	}
	ticket := admission.Ticket{Weight: u.weight, Kind: x.queueKind(), Deadline: u.deadline}
	if o := p.instance.gate.admit(x.ctx, u.canceled, ticket); !o.OK() {
		return nil, o
	}
	started := time.Now()
	c, err := p.instance.pool.getFenced(x.ctx, p)
	if errors.Is(err, target.ErrFenced) {
		p.instance.gate.releaseUnused()
		p.instance.probe()
		return nil, outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the instance has a fence of a later term")
	}
	if err != nil {
		p.instance.gate.releaseUnused()
		p.instance.probe()
		return nil, refuseUnsent(x.ctx, err)
	}
	l := &lease{placement: p, conn: c, startedAt: started, kind: ticket.Kind, status: wireunit.TxIdle}
	l.holder = ledger.Holder{Service: u.header.Service, Caller: u.header.Caller, Class: u.header.Class}
	p.instance.setLeased(l, true)
	return l, outcome.Outcome{}
}

// refuseUnsent returns the outcome of a batch of which no byte was sent to the target.
func refuseUnsent(ctx context.Context, err error) outcome.Outcome {
	var refused *pgconn.PgError
	switch {
	case ctx.Err() != nil:
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the request timed out or was canceled before it was sent")
	case errors.As(err, &refused) && refused.Code == target.SQLStateTooManyConnections:
		return outcome.Refuse(outcome.ConnectionLimit, noPrimaryRetryAfter, "the target refused a connection: too many connections")
	default:
		return outcome.Refuse(outcome.TargetRejected, rerunRetryAfter, "the request could not be sent to the target: %v", err)
	}
}

// execute runs the first batch of a unit on a connection.
func (x *batchRun) execute(l *lease) (wireunit.Result, retryReason) {
	if x.unit.deferredBegin != "" {
		return x.executeDeferred(l)
	}
	if x.unit.header.RequestID != "" && !x.isReadOnly() {
		return x.executeRecorded(l)
	}
	started := time.Now()
	reply, err := x.send(l, x.batch, x.sink, !opensTransaction(x.batch))
	return x.evaluate(l, reply, err, started, false)
}

// send exchanges a batch with the target. When the context of the run ends, it asks the
// target to cancel the batch; if the batch does not end within CancelGrace, it closes the
// connection.
func (x *batchRun) send(l *lease, b wireunit.Batch, sink io.Writer, statusBehind bool) (target.Reply, error) {
	return x.sendWithPrelude(l, nil, b, sink, statusBehind)
}

// sendWithPrelude exchanges a batch with statements of the home in front of it.
func (x *batchRun) sendWithPrelude(l *lease, prelude []string, b wireunit.Batch, sink io.Writer, statusBehind bool) (target.Reply, error) {
	exchangeCtx, abort := context.WithCancel(context.WithoutCancel(x.ctx))
	defer abort()
	l.setAbort(abort)
	defer l.setAbort(nil)
	stop := context.AfterFunc(x.ctx, func() {
		l.cancel()
		time.AfterFunc(x.unit.home.timings.CancelGrace, abort)
	})
	defer stop()
	l.markWorking()
	e := target.Exchange{Prelude: prelude, Batch: b, PipelineStatus: statusBehind, Held: x.unit.heldReply[:0]}
	e.Overflow = func(ctx context.Context) error { return x.confirmCurrent(ctx, l) }
	reply, err := l.conn.Exchange(exchangeCtx, e, sink)
	x.unit.heldReply = reply.Held
	if reply.SQLState == target.SQLStateFenced {
		// The connection was opened before the fence, so it runs no more writes.
		l.conn.DisableReuse()
	}
	switch {
	case err == nil && reply.Status != wireunit.TxIdle:
		l.markIdle()
	case err != nil && !errors.Is(err, target.ErrMalformed):
		l.markBroken()
	}
	if !b.Auxiliary {
		l.instance.countBatch(l.replica)
	}
	return reply, err
}

// confirmCurrent confirms everything that the instance holds by now. It is used for an
// answer that is too large to be held back until its batch is confirmed.
func (x *batchRun) confirmCurrent(ctx context.Context, l *lease) error {
	ctx, cancel := context.WithTimeout(ctx, x.unit.home.timings.ConfirmTimeout)
	defer cancel()
	asked := time.Now()
	var status target.Status
	err := l.instance.withControl(ctx, func(c target.Control) (err error) {
		status, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if l.replica && group.VerifyReplicaRead(l.term, status, x.unit.groupSize()) == group.Confirmed {
		return nil
	}
	b := group.Batch{Term: l.term, Started: asked, Ended: time.Now(), StatusAfter: status}
	decision, err := x.unit.database.confirm(ctx, b)
	if err != nil {
		return err
	}
	if decision.Verdict != group.Confirmed {
		return errDeposed
	}
	return nil
}

func (u *unit) groupSize() int {
	return len(u.database.members.Load().electorate)
}

// queueKind returns the key under which the admission queue averages run times: the name
// of the first prepared statement of the batch, or else the class of the caller.
func (x *batchRun) queueKind() string {
	if len(x.batch.Statements) > 0 {
		return x.batch.Statements[0].Name
	}
	return x.unit.header.Class
}
