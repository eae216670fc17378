package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/request"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

const logPrefix = "entry: "

// unit is a unit of work that is placed at a home with its first batch.
type unit struct {
	gateway *Gateway
	header  wireunit.Header
	arrived time.Time
	// begun says that a batch was done, so that nothing is tried again.
	begun bool

	mu struct {
		sync.Mutex
		inner    wireunit.Unit // nil until placed
		canceled bool
	}
}

// Exchange runs one batch; the first one is tried again where that is safe.
func (u *unit) Exchange(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	var result wireunit.Result
	if u.begun {
		result = settled(b, u.inner().Exchange(ctx, b, sink))
	} else {
		result = u.first(ctx, b, sink)
	}
	u.begun = u.begun || result.Outcome.OK() || staysOpen(result)
	u.gateway.meters.ended(u.gateway, b, result)
	return result
}

// first runs the first batch until it is done or given up.
func (u *unit) first(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	key := u.key()
	u.gateway.firstTry(key)
	counted := &wireunit.CountingSink{Sink: sink}
	route := u.initialRoute(b)
	homes := u.homes(&route)
	for number := 0; ; number++ {
		result := u.try(ctx, homes, number, b, counted, route.direct)
		for !u.isCanceled() && u.reroute(&route, b, result) {
			homes = u.homes(&route)
			result = u.try(ctx, homes, number, b, counted, route.direct)
		}
		u.learn(result)
		if result.Outcome.OK() || staysOpen(result) || u.isCanceled() {
			return result
		}
		attempt := u.attempt(result, number, b, counted.Written > 0, len(homes)-1)
		decision := u.gateway.decide(attempt)
		if !decision.Retry {
			return result
		}
		if decision.NeedsBudget && !u.gateway.mayRetry(key) {
			return u.gateway.budgetSpent(result)
		}
		u.gateway.meters.retry(result.Outcome.Reason)
		if err := u.gateway.config.Sleep(ctx, decision.After); err != nil {
			return result
		}
		homes = u.nextHomes(&route, homes, decision.NextHome)
	}
}

// settled returns the result of a batch, where an unknown outcome of a batch that
// commits nothing is known after all: its transaction was lost uncommitted.
func settled(b wireunit.Batch, r wireunit.Result) wireunit.Result {
	if r.Outcome.Kind != outcome.Unknown || !b.NoCommit || staysOpen(r) {
		return r
	}
	r.Outcome = outcome.Refuse(outcome.TransactionLost, retryTransaction, "the transaction was rolled back: %s", r.Outcome.Message)
	return r
}

// retryTransaction is how long a caller waits before it repeats a transaction.
const retryTransaction = 100 * time.Millisecond

// staysOpen reports whether the unit goes on after a batch that was not done.
func staysOpen(r wireunit.Result) bool {
	return r.Status == wireunit.TxOpen || r.Status == wireunit.TxFailed
}

// attempt describes what is known after a try.
func (u *unit) attempt(r wireunit.Result, number int, b wireunit.Batch, answered bool, otherHomes int) request.Attempt {
	elapsed := u.gateway.config.Now().Sub(u.arrived)
	return request.Attempt{
		Outcome:      r.Outcome,
		Number:       number,
		Elapsed:      elapsed,
		Remaining:    u.header.Remaining - elapsed,
		NoDeadline:   u.header.Remaining == 0,
		Read:         b.ReadOnly,
		RequestID:    u.header.RequestID != "",
		Begun:        answered,
		UntriedHomes: max(otherHomes, 0),
	}
}

// nextHomes drops the first home if another is to be tried, and otherwise asks
// anew, because the role may have moved meanwhile.
func (u *unit) nextHomes(r *route, homes []fleet.VM, next bool) []fleet.VM {
	if next && len(homes) > 1 {
		return homes[1:]
	}
	return u.homes(r)
}

// try runs the batch once, at the first of homes.
func (u *unit) try(ctx context.Context, homes []fleet.VM, number int, b wireunit.Batch, sink io.Writer, direct bool) wireunit.Result {
	if len(homes) == 0 {
		return wireunit.Result{Outcome: outcome.Refuse(outcome.HomeUnreachable, retryHome, "no home of %s.%s is known", u.header.Service, u.header.Database)}
	}
	header, o := u.headerNow(number)
	if !o.OK() {
		return wireunit.Result{Outcome: o}
	}
	header.Direct = direct
	inner, o := u.gateway.config.OpenerFor(homes[0]).Open(ctx, header)
	if !o.OK() {
		return wireunit.Result{Outcome: o}
	}
	if !u.place(inner) {
		inner.Close()
		return wireunit.Result{Outcome: outcome.Refuse(outcome.Canceled, 0, "canceled before it was sent")}
	}
	result := settled(b, inner.Exchange(ctx, b, sink))
	if !result.Outcome.OK() && !staysOpen(result) {
		u.displace()
		klog.V(2).Infof(logPrefix+"try %d of %s.%s at %s: %s: %s", number, header.Service, header.Database, homes[0].Name, result.Outcome.Reason, result.Outcome.Message)
	}
	return result
}

// retryHome is how long a caller waits for a home to be found.
const retryHome = time.Second

// headerNow returns the header with the time that has passed since the request
// arrived.
func (u *unit) headerNow(number int) (wireunit.Header, outcome.Outcome) {
	h := u.header
	h.Attempt = uint8(number)
	elapsed := u.gateway.config.Now().Sub(u.arrived)
	h.SessionAge += elapsed
	if h.Remaining == 0 {
		return h, outcome.Outcome{}
	}
	h.Remaining -= elapsed
	if h.Remaining <= 0 {
		return h, outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline has passed")
	}
	return h, outcome.Outcome{}
}

// place takes a unit at a home; false if the request was canceled meanwhile.
func (u *unit) place(inner wireunit.Unit) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mu.canceled {
		return false
	}
	u.mu.inner = inner
	return true
}

// displace closes the unit at the home that failed.
func (u *unit) displace() {
	u.mu.Lock()
	inner := u.mu.inner
	u.mu.inner = nil
	u.mu.Unlock()
	if inner != nil {
		inner.Close()
	}
}

func (u *unit) inner() wireunit.Unit {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mu.inner
}

func (u *unit) isCanceled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mu.canceled
}

// Cancel asks for the running batch to be canceled; a request that is not
// placed at a home is not sent any more.
func (u *unit) Cancel() {
	u.mu.Lock()
	inner := u.mu.inner
	if inner == nil {
		u.mu.canceled = true
	}
	u.mu.Unlock()
	if inner != nil {
		inner.Cancel()
	}
}

// Close gives the unit up.
func (u *unit) Close() {
	u.displace()
}

// decide draws the jitter from the seeded source.
func (e *Gateway) decide(a request.Attempt) request.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return request.Decide(a, e.rng)
}

// budgetSpent returns the outcome of a request that might have been tried again
// if the retry budget had allowed it. The reason of a first refusal stays; what
// is unknown stays unknown.
func (e *Gateway) budgetSpent(r wireunit.Result) wireunit.Result {
	e.meters.budgetSpent.Inc()
	return r
}
