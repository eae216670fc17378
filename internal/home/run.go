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

// maxRuns bounds how often a batch is sent within the home.
const maxRuns = 4

// maxMoves bounds how often a batch that was not sent follows the primary.
const maxMoves = 8

// run is the exchange of one batch of a unit.
type run struct {
	unit  *unit
	ctx   context.Context
	batch wireunit.Batch
	sink  *wireunit.CountingSink
	// toPrimary sends a read to the primary after a replica refused it.
	toPrimary bool
	// opening says that this is the first batch of its unit, so that it may be
	// run again as long as nothing of it took effect.
	opening bool
	// elsewhere is the failure domain whose home is to run the unit.
	elsewhere string
}

// first runs the first batch of a unit.
func (x *run) first() wireunit.Result {
	x.opening = true
	if x.deferBegin() {
		if o := x.placeBegin(); !o.OK() {
			return x.refused(o)
		}
		return wireunit.Result{Status: wireunit.TxOpen}
	}
	var exclude []string
	for n := 1; ; n++ {
		l, o := x.acquire(exclude)
		if !o.OK() {
			return x.refused(o)
		}
		r, why := x.perform(l)
		if why == "" || n == maxRuns || x.ctx.Err() != nil {
			return r
		}
		x.unit.home.counters.retry(why)
		if why == retryMoved {
			if o := x.awaitMove(); !o.OK() {
				return r
			}
		}
		if l.replica {
			exclude = append(exclude, l.instance.declared.Name)
		}
	}
}

// awaitMove waits for the next look at the group, after the primary refused a
// batch because it is none any more.
func (x *run) awaitMove() outcome.Outcome {
	u := x.unit
	u.await()
	return u.pause(x.ctx, u.database.state.Load().changed, u.home.timings.ActiveProbeInterval)
}

// next runs a later batch of a transaction.
func (x *run) next() wireunit.Result {
	l := x.unit.lease
	if l.deposed(x.unit.database.state.Load()) {
		l.conn.Close()
		return ended(outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the primary of the transaction was replaced"))
	}
	started := time.Now()
	reply, err := x.send(l, x.batch, x.sink, mayEnd(x.batch))
	r, _ := x.judge(l, reply, err, started, true)
	return r
}

// readOnly reports whether the unit is known to write nothing. What a batch is
// known for says nothing about the rest of its transaction.
func (x *run) readOnly() bool {
	if x.unit.header.ReadOnly {
		return true
	}
	return x.batch.ReadOnly && x.unit.deferred == "" && x.opening
}

// acquire finds an instance, waits for a slot and takes a connection. If the
// primary is replaced meanwhile, it starts again.
func (x *run) acquire(exclude []string) (*lease, outcome.Outcome) {
	u := x.unit
	u.await()
	for n := 1; ; n++ {
		p, o := x.locate(exclude)
		if o.OK() {
			o = x.delegate(p)
		}
		if !o.OK() {
			return nil, o
		}
		if o := x.delegate(p); !o.OK() {
			return nil, o
		}
		l, o := x.admit(p)
		switch {
		case o.Reason == outcome.PrimaryChanged && n == maxMoves:
			return nil, o
		case o.Reason == outcome.PrimaryChanged:
			u.home.counters.retry(retryMoved)
			if o := x.awaitMove(); !o.OK() {
				return nil, o
			}
			continue
		case !o.OK():
			return nil, o
		case l.deposed(u.database.state.Load()):
			l.giveBack()
			u.home.counters.retry(retryMoved)
			continue
		case !u.attach(l):
			u.detach()
			return nil, outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")
		}
		return l, outcome.Outcome{}
	}
}

// locate returns where the unit runs. A write is counted as running from here.
func (x *run) locate(exclude []string) (place, outcome.Outcome) {
	u := x.unit
	if x.readOnly() && !x.toPrimary {
		return u.choose(x.ctx, exclude)
	}
	for {
		p, o := u.awaitPrimary(x.ctx)
		if !o.OK() || x.readOnly() || u.writing {
			return p, o
		}
		if u.database.writes.enter() {
			u.writing = true
			return p, o
		}
	}
}

// admit waits for a slot of the instance and takes a connection.
func (x *run) admit(p place) (*lease, outcome.Outcome) {
	u := x.unit
	if slots, _, _ := p.instance.gate.load(); slots == 0 {
		return nil, outcome.Refuse(outcome.QueueFull, noPrimaryRetryAfter, "this home has no share of %s", p.instance.declared.Name)
	}
	ticket := admission.Ticket{Weight: u.weight, Kind: x.kind(), Deadline: u.deadline}
	if o := p.instance.gate.admit(x.ctx, u.abort, ticket); !o.OK() {
		return nil, o
	}
	started := time.Now()
	c, err := p.instance.pool.getFenced(x.ctx, p)
	if errors.Is(err, target.ErrFenced) {
		p.instance.gate.abandon()
		p.instance.probe()
		return nil, outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the instance stands at a later term")
	}
	if err != nil {
		p.instance.gate.abandon()
		p.instance.probe()
		return nil, refuseUnsent(x.ctx, err)
	}
	l := &lease{place: p, conn: c, started: started, kind: ticket.Kind, status: wireunit.TxIdle}
	l.holder = ledger.Holder{Service: u.header.Service, Caller: u.header.Caller, Class: u.header.Class}
	p.instance.note(l, true)
	return l, outcome.Outcome{}
}

// refuseUnsent returns the outcome of a batch of which nothing was sent.
func refuseUnsent(ctx context.Context, err error) outcome.Outcome {
	var refused *pgconn.PgError
	switch {
	case ctx.Err() != nil:
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the request ended before it was sent")
	case errors.As(err, &refused) && refused.Code == target.SQLStateTooManyConnections:
		return outcome.Refuse(outcome.ConnectionLimit, noPrimaryRetryAfter, "the target takes no more connections")
	default:
		return outcome.Refuse(outcome.TargetRejected, rerunRetryAfter, "the target did not take the request: %v", err)
	}
}

// perform runs the first batch on a connection.
func (x *run) perform(l *lease) (wireunit.Result, retryReason) {
	if x.unit.deferred != "" {
		return x.performDeferred(l)
	}
	if x.unit.header.RequestID != "" && !x.readOnly() {
		return x.performRecorded(l)
	}
	started := time.Now()
	reply, err := x.send(l, x.batch, x.sink, !opensTransaction(x.batch))
	return x.judge(l, reply, err, started, false)
}

// send exchanges a batch. When the context of the run ends, the target is asked
// to cancel; if that does not end the batch either, the connection is closed.
func (x *run) send(l *lease, b wireunit.Batch, sink io.Writer, statusBehind bool) (target.Reply, error) {
	return x.sendBehind(l, nil, b, sink, statusBehind)
}

// sendBehind sends statements of the home's own right in front of a batch.
func (x *run) sendBehind(l *lease, prelude []string, b wireunit.Batch, sink io.Writer, statusBehind bool) (target.Reply, error) {
	hard, cut := context.WithCancel(context.WithoutCancel(x.ctx))
	defer cut()
	l.setCut(cut)
	defer l.setCut(nil)
	stop := context.AfterFunc(x.ctx, func() {
		l.cancel()
		time.AfterFunc(x.unit.home.timings.CancelGrace, cut)
	})
	defer stop()
	l.working()
	e := target.Exchange{Prelude: prelude, Batch: b, PipelineStatus: statusBehind, Held: x.unit.held[:0]}
	e.Overflow = func(ctx context.Context) error { return x.confirmNow(ctx, l) }
	reply, err := l.conn.Exchange(hard, e, sink)
	x.unit.held = reply.Held
	if reply.SQLState == target.SQLStateFenced {
		// The connection was opened before the fence and runs no more writes.
		l.conn.DisableReuse()
	}
	switch {
	case err == nil && reply.Status != wireunit.TxIdle:
		l.waiting()
	case err != nil && !errors.Is(err, target.ErrMalformed):
		l.broken()
	}
	if !b.Auxiliary {
		l.instance.countBatch(l.replica)
	}
	return reply, err
}

// confirmNow confirms everything that the instance holds by now, for an answer
// that is too large to be held back.
func (x *run) confirmNow(ctx context.Context, l *lease) error {
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

// kind names what the queue takes as alike: the first prepared statement of the
// batch, or else the caller's class.
func (x *run) kind() string {
	if len(x.batch.Statements) > 0 {
		return x.batch.Statements[0].Name
	}
	return x.unit.header.Class
}
