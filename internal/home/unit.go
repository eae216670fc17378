package home

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	"k8s.io/klog/v2"
)

// cancelTimeout bounds one cancel request.
const cancelTimeout = 2 * time.Second

// phase is the state of the current batch of a unit.
type phase uint8

const (
	// phaseIdle means that no batch is being exchanged.
	phaseIdle phase = iota
	// phaseWaiting means that the batch has not been sent yet.
	phaseWaiting
	// phaseRunning means that the batch has been sent.
	phaseRunning
)

// unit is a unit of work on one database. It implements wireunit.Unit.
type unit struct {
	home     *Home
	database *database
	header   wireunit.Header
	policy   configuration.ReadPolicy
	weight   int
	region   string
	openedAt time.Time
	// deadline is zero if there is none.
	deadline time.Time
	// canceled is closed by a cancel that arrives before the batch was sent.
	canceled  chan struct{}
	heldReply []byte
	// deferredBegin is a BEGIN that waits for the first statement of its transaction.
	deferredBegin string
	// countedAsWrite is set while the unit is counted as a running write.
	countedAsWrite bool

	mu              sync.Mutex
	phase           phase
	cancelRequested bool
	closed          bool
	lease           *lease
	// idleTimer ends a transaction that waits too long for its next batch.
	idleTimer *time.Timer
	// idleExpired is set once idleTimer has ended the transaction.
	idleExpired bool
}

func newUnit(h *Home, d *database, header wireunit.Header) *unit {
	now := time.Now()
	snapshot := d.members.Load().snapshot
	u := &unit{home: h, database: d, header: header, openedAt: now, canceled: make(chan struct{})}
	u.policy, u.weight = policyOf(snapshot, header.Caller)
	u.region = snapshot.RegionOf(h.config.FailureDomain)
	if header.Remaining > 0 {
		u.deadline = now.Add(header.Remaining)
	}
	return u
}

// Exchange runs one batch; see wireunit.Unit.
func (u *unit) Exchange(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	r := u.exchange(ctx, b, &wireunit.CountingSink{Sink: sink})
	// The gateway counts a unit that runs in another failure domain, because it sends it
	// there.
	if !r.Outcome.OK() && r.Outcome.Reason != outcome.Elsewhere {
		u.home.counters.count(r.Outcome)
		klog.V(2).Infof("home: %s: %s: %s", u.database.key, r.Outcome.Reason, r.Outcome.Message)
	}
	return r
}

func (u *unit) exchange(ctx context.Context, b wireunit.Batch, sink *wireunit.CountingSink) wireunit.Result {
	if o := u.beginBatch(); !o.OK() {
		return failedResult(o)
	}
	if !u.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, u.deadline)
		defer cancel()
	}
	x := &batchRun{unit: u, ctx: ctx, batch: b, sink: sink}
	var r wireunit.Result
	if u.lease == nil {
		r = x.runFirst()
	} else {
		r = x.runNext()
	}
	u.endBatch(r)
	return r
}

// failedResult returns the result of a batch that ended its unit without an answer.
func failedResult(o outcome.Outcome) wireunit.Result {
	return wireunit.Result{Outcome: o, Status: wireunit.TxIdle}
}

// beginBatch starts a batch. It refuses the batch if the unit has ended or was canceled.
func (u *unit) beginBatch() outcome.Outcome {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.idleExpired:
		return outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the transaction was idle for too long and was rolled back")
	case u.closed:
		return outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the unit of work has ended")
	case u.cancelRequested:
		return outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")
	}
	if u.idleTimer != nil {
		u.idleTimer.Stop()
	}
	u.phase = phaseWaiting
	if u.lease != nil {
		u.phase = phaseRunning
	}
	return outcome.Outcome{}
}

// endBatch ends a batch. A transaction that stays open keeps its connection.
func (u *unit) endBatch(r wireunit.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase = phaseIdle
	if r.Status == wireunit.TxOpen || r.Status == wireunit.TxFailed {
		u.idleTimer = time.AfterFunc(u.home.timings.IdleTransactionTimeout, u.expireIdle)
		return
	}
	u.finish()
}

// finish ends the unit and releases what it holds; u.mu is held.
func (u *unit) finish() {
	if u.closed {
		return
	}
	u.closed = true
	if u.lease != nil {
		u.lease.release()
		u.lease = nil
	}
	if u.countedAsWrite {
		u.database.writes.end()
	}
	u.database.removeUnit()
	u.home.removeUnit()
}

// expireIdle rolls back a transaction whose next batch did not arrive in time.
func (u *unit) expireIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.phase != phaseIdle || u.closed {
		return
	}
	u.idleExpired = true
	u.finish()
}

// Close ends the unit; see wireunit.Unit.
func (u *unit) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idleTimer != nil {
		u.idleTimer.Stop()
	}
	u.finish()
}

// Cancel cancels the current batch; see wireunit.Unit.
func (u *unit) Cancel() {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch u.phase {
	case phaseWaiting:
		if !u.cancelRequested {
			u.cancelRequested = true
			close(u.canceled)
		}
	case phaseRunning:
		u.lease.cancel()
	}
}

// markWaiting records that the batch has not been sent yet.
func (u *unit) markWaiting() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase = phaseWaiting
}

// attach gives the unit a connection. It returns false if the unit was canceled
// meanwhile. A later cancel is sent to the target.
func (u *unit) attach(l *lease) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lease = l
	if u.cancelRequested {
		return false
	}
	u.phase = phaseRunning
	return true
}

// detach releases the connection before the unit ends. A later cancel has no effect.
func (u *unit) detach() {
	u.mu.Lock()
	l := u.lease
	u.lease = nil
	u.phase = phaseIdle
	u.mu.Unlock()
	if l != nil {
		l.release()
	}
}
