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

// phase is what a unit is doing.
type phase uint8

const (
	// phaseIdle: no batch is being exchanged.
	phaseIdle phase = iota
	// phaseWaiting: a batch has not been sent yet.
	phaseWaiting
	// phaseRunning: a batch was sent.
	phaseRunning
)

// unit implements wireunit.Unit.
type unit struct {
	home     *Home
	database *database
	header   wireunit.Header
	policy   configuration.ReadPolicy
	weight   int
	region   string
	opened   time.Time
	// deadline is zero if there is none.
	deadline time.Time
	// abort is closed by a cancel that comes before the batch was sent.
	abort chan struct{}
	held  []byte
	// deferred is a BEGIN that waits for the first statement behind it.
	deferred string
	// writing says that the unit is counted as a running write.
	writing bool

	mu      sync.Mutex
	phase   phase
	aborted bool
	over    bool
	lease   *lease
	// expiry ends a transaction that waits too long for its next batch.
	expiry *time.Timer
	// expired says that expiry ended the transaction.
	expired bool
}

func newUnit(h *Home, d *database, header wireunit.Header) *unit {
	now := time.Now()
	snapshot := d.members.Load().snapshot
	u := &unit{home: h, database: d, header: header, opened: now, abort: make(chan struct{})}
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
	// A unit that goes elsewhere is counted by the gateway, which sends it there.
	if !r.Outcome.OK() && r.Outcome.Reason != outcome.Elsewhere {
		u.home.counters.count(r.Outcome)
		klog.V(2).Infof("home: %s: %s: %s", u.database.key, r.Outcome.Reason, r.Outcome.Message)
	}
	return r
}

func (u *unit) exchange(ctx context.Context, b wireunit.Batch, sink *wireunit.CountingSink) wireunit.Result {
	if o := u.begin(); !o.OK() {
		return ended(o)
	}
	if !u.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, u.deadline)
		defer cancel()
	}
	x := &run{unit: u, ctx: ctx, batch: b, sink: sink}
	var r wireunit.Result
	if u.lease == nil {
		r = x.first()
	} else {
		r = x.next()
	}
	u.end(r)
	return r
}

// ended returns the result of a batch that ended its unit without an answer.
func ended(o outcome.Outcome) wireunit.Result {
	return wireunit.Result{Outcome: o, Status: wireunit.TxIdle}
}

// begin starts a batch.
func (u *unit) begin() outcome.Outcome {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.expired:
		return outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the transaction waited too long and was rolled back")
	case u.over:
		return outcome.Refuse(outcome.TransactionLost, rerunRetryAfter, "the unit of work is over")
	case u.aborted:
		return outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")
	}
	if u.expiry != nil {
		u.expiry.Stop()
	}
	u.phase = phaseWaiting
	if u.lease != nil {
		u.phase = phaseRunning
	}
	return outcome.Outcome{}
}

// end finishes a batch. A transaction that stays open keeps its connection.
func (u *unit) end(r wireunit.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase = phaseIdle
	if r.Status == wireunit.TxOpen || r.Status == wireunit.TxFailed {
		u.expiry = time.AfterFunc(u.home.timings.IdleTransactionTimeout, u.expire)
		return
	}
	u.finish()
}

// finish counts the unit out; u.mu is held.
func (u *unit) finish() {
	if u.over {
		return
	}
	u.over = true
	if u.lease != nil {
		u.lease.giveBack()
		u.lease = nil
	}
	if u.writing {
		u.database.writes.leave()
	}
	u.database.leave()
	u.home.leave()
}

// expire rolls back a transaction whose next batch did not come.
func (u *unit) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.phase != phaseIdle || u.over {
		return
	}
	u.expired = true
	u.finish()
}

// Close gives the unit up; see wireunit.Unit.
func (u *unit) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.expiry != nil {
		u.expiry.Stop()
	}
	u.finish()
}

// Cancel cancels the running batch; see wireunit.Unit.
func (u *unit) Cancel() {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch u.phase {
	case phaseWaiting:
		if !u.aborted {
			u.aborted = true
			close(u.abort)
		}
	case phaseRunning:
		u.lease.cancel()
	}
}

// await says that a batch has not been sent yet.
func (u *unit) await() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase = phaseWaiting
}

// attach gives the unit a connection, unless it was canceled meanwhile. From
// here on a cancel goes to the target.
func (u *unit) attach(l *lease) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lease = l
	if u.aborted {
		return false
	}
	u.phase = phaseRunning
	return true
}

// detach gives the connection back, before the unit is over. A cancel that comes
// afterwards has no effect.
func (u *unit) detach() {
	u.mu.Lock()
	l := u.lease
	u.lease = nil
	u.phase = phaseIdle
	u.mu.Unlock()
	if l != nil {
		l.giveBack()
	}
}
