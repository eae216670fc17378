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

// logPrefix begins every log line of this package.
const logPrefix = "entry: "

// unit is a unit of work that is opened at a home when its first batch is exchanged.
type unit struct {
	gateway *Gateway
	header  wireunit.Header
	// arrivedAt is the time at which the gateway received the request.
	arrivedAt time.Time
	// begun is set once a batch succeeded or left a transaction open; later batches
	// are not retried.
	begun bool

	mu struct {
		sync.Mutex
		inner    wireunit.Unit // the unit at the home; nil if there is none
		canceled bool
	}
}

// Exchange runs one batch and writes the answer to sink. It retries the first batch
// where that is safe.
func (u *unit) Exchange(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	var result wireunit.Result
	if u.begun {
		result = resolveUnknown(b, u.inner().Exchange(ctx, b, sink))
	} else {
		result = u.exchangeFirst(ctx, b, sink)
	}
	u.begun = u.begun || result.Outcome.OK() || staysOpen(result)
	u.gateway.counters.recordResult(u.gateway, b, result)
	return result
}

// exchangeFirst runs the first batch until it succeeds, leaves a transaction open, is
// canceled or may not be retried.
func (u *unit) exchangeFirst(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	key := u.key()
	u.gateway.recordRequest(key)
	countingSink := &wireunit.CountingSink{Sink: sink}
	route := u.initialRoute(b)
	homes := u.homes(&route)
	for number := 0; ; number++ {
		result := u.tryHome(ctx, homes, number, b, countingSink, route.direct)
		for !u.isCanceled() && u.reroute(&route, b, result) {
			homes = u.homes(&route)
			result = u.tryHome(ctx, homes, number, b, countingSink, route.direct)
		}
		u.rememberPrimary(result)
		if result.Outcome.OK() || staysOpen(result) || u.isCanceled() {
			return result
		}
		attempt := u.newAttempt(result, number, b, countingSink.Written > 0, len(homes)-1)
		decision := u.gateway.decide(attempt)
		if !decision.Retry {
			return result
		}
		if decision.NeedsBudget && !u.gateway.allowRetry(key) {
			return u.gateway.recordBudgetSpent(result)
		}
		u.gateway.counters.recordRetry(result.Outcome.Reason)
		if err := u.gateway.config.Sleep(ctx, decision.After); err != nil {
			return result
		}
		homes = u.nextHomes(&route, homes, decision.NextHome)
	}
}

// resolveUnknown turns the unknown outcome of a batch that commits nothing into the
// refusal TransactionLost: without a COMMIT, the transaction was rolled back. Other
// results are returned as they are.
func resolveUnknown(b wireunit.Batch, r wireunit.Result) wireunit.Result {
	if r.Outcome.Kind != outcome.Unknown || !b.NoCommit || staysOpen(r) {
		return r
	}
	r.Outcome = outcome.Refuse(outcome.TransactionLost, transactionRetryAfter, "the transaction was rolled back: %s", r.Outcome.Message)
	return r
}

// transactionRetryAfter is the time after which a caller should repeat a lost
// transaction.
const transactionRetryAfter = 100 * time.Millisecond

// staysOpen reports whether a transaction is open, possibly in a failed state, after
// a batch, so that the unit continues.
func staysOpen(r wireunit.Result) bool {
	return r.Status == wireunit.TxOpen || r.Status == wireunit.TxFailed
}

// newAttempt describes a failed attempt for the retry decision. otherHomes is the
// number of homes that have not been tried.
func (u *unit) newAttempt(r wireunit.Result, number int, b wireunit.Batch, answered bool, otherHomes int) request.Attempt {
	elapsed := u.gateway.config.Now().Sub(u.arrivedAt)
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

// nextHomes returns the homes for the next attempt. If skipFirst is set it drops the
// first home. Otherwise it looks the homes up again, because the home of the database
// may have changed meanwhile.
func (u *unit) nextHomes(r *route, homes []fleet.VM, skipFirst bool) []fleet.VM {
	if skipFirst && len(homes) > 1 {
		return homes[1:]
	}
	return u.homes(r)
}

// tryHome runs the batch once, at the first of homes. number counts the attempts from
// zero.
func (u *unit) tryHome(ctx context.Context, homes []fleet.VM, number int, b wireunit.Batch, sink io.Writer, direct bool) wireunit.Result {
	if len(homes) == 0 {
		return wireunit.Result{Outcome: outcome.Refuse(outcome.HomeUnreachable, homeRetryAfter, "no home is known for database %s.%s", u.header.Service, u.header.Database)}
	}
	header, o := u.currentHeader(number)
	if !o.OK() {
		return wireunit.Result{Outcome: o}
	}
	header.Direct = direct
	inner, o := u.gateway.config.OpenerFor(homes[0]).Open(ctx, header)
	if !o.OK() {
		return wireunit.Result{Outcome: o}
	}
	if !u.attach(inner) {
		inner.Close()
		return wireunit.Result{Outcome: outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")}
	}
	result := resolveUnknown(b, inner.Exchange(ctx, b, sink))
	if !result.Outcome.OK() && !staysOpen(result) {
		u.detach()
		klog.V(2).Infof(logPrefix+"attempt %d for database %s.%s at home %s failed: %s: %s", number, header.Service, header.Database, homes[0].Name, result.Outcome.Reason, result.Outcome.Message)
	}
	return result
}

// homeRetryAfter is the time after which a caller should repeat a request for whose
// database no home was known.
const homeRetryAfter = time.Second

// currentHeader returns the header for an attempt, with the session age and the
// remaining time adjusted by the time since the request arrived. It refuses the
// request with DeadlinePassed if no time remains.
func (u *unit) currentHeader(number int) (wireunit.Header, outcome.Outcome) {
	h := u.header
	h.Attempt = uint8(number)
	elapsed := u.gateway.config.Now().Sub(u.arrivedAt)
	h.SessionAge += elapsed
	if h.Remaining == 0 {
		return h, outcome.Outcome{}
	}
	h.Remaining -= elapsed
	if h.Remaining <= 0 {
		return h, outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline of the request has passed")
	}
	return h, outcome.Outcome{}
}

// attach sets the unit at the home. It returns false if the request was canceled
// meanwhile; then the caller closes inner.
func (u *unit) attach(inner wireunit.Unit) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mu.canceled {
		return false
	}
	u.mu.inner = inner
	return true
}

// detach closes the unit at the home, if there is one.
func (u *unit) detach() {
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

// Cancel cancels the running batch. If no unit is open at a home, the request is not
// sent to one any more.
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

// Close closes the unit at the home.
func (u *unit) Close() {
	u.detach()
}

// decide returns the retry decision for an attempt, with jitter from the seeded
// source.
func (g *Gateway) decide(a request.Attempt) request.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return request.Decide(a, g.rng)
}

// recordBudgetSpent counts a request that was not retried because the retry budget of
// its database is used up, and returns its result unchanged: a refusal keeps the
// reason of the failed attempt, and an unknown outcome stays unknown.
func (g *Gateway) recordBudgetSpent(r wireunit.Result) wireunit.Result {
	g.counters.budgetSpent.Inc()
	return r
}
