package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Limits of a gate.
const (
	// maxGateWaiting is the maximum number of requests that wait for one target.
	maxGateWaiting = 512
	// shrinkInterval is the minimum time between two reductions of the limit after busy
	// answers.
	shrinkInterval = 100 * time.Millisecond
	// growInterval is the time without a change of the limit after which the limit grows
	// by one statement.
	growInterval = 500 * time.Millisecond
	// minServiceTimeGain is the inverse of the share of the difference by which a slower
	// statement raises the minimum service time of its kind, so that the minimum follows
	// a target that has become slower.
	minServiceTimeGain = 256
	// maxGateKinds is the maximum number of kinds whose service times are tracked.
	maxGateKinds = 256
	// initialServiceTime is the assumed service time of a statement until one has been
	// measured.
	initialServiceTime = 25 * time.Millisecond
	// pinnedConnectionUse is the use, in slots, of a connection that a transaction holds.
	// A daemon has about two connections per slot, 11 for 4 to 6 slots, so a tenant that
	// holds all of them uses the whole target.
	pinnedConnectionUse = 0.5
)

// Gate limits the number of statements that one daemon runs on a target at once. Its
// queue serves requests by deadline and refuses at once those that cannot be served in
// time. The limit adapts: it shrinks when the target answers that it is busy, which means
// that the queue of the target is full. A gate is safe for concurrent use.
type Gate struct {
	mu             sync.Mutex
	queue          *admission.Queue                      // guarded by mu
	waiting        map[admission.ID]chan outcome.Outcome // guarded by mu
	lastRetryAfter time.Duration                         // guarded by mu; returned with the last refusal
	slots          int                                   // guarded by mu; minimum of limit
	minServiceTime map[string]time.Duration              // guarded by mu; by kind of request
	limit          int                                   // guarded by mu; statements that may run at once
	maxLimit       int                                   // guarded by mu; maximum of limit
	forced         int                                   // guarded by mu; running statements of open transactions, which have no ticket
	connections    int                                   // guarded by mu; connections that are not pinned by transactions
	limitChangedAt time.Time                             // guarded by mu
}

// lastTicketID is the ID of the last ticket of any gate.
var lastTicketID atomic.Uint64

// newGate returns a gate for a target with the given number of slots, without a limit on
// connections.
func newGate(slots int) *Gate {
	slots = max(slots, 1)
	return &Gate{
		queue:   admission.NewQueue(admission.Config{Slots: slots, MaxWaiting: maxGateWaiting, ServiceTime: initialServiceTime}),
		waiting: make(map[admission.ID]chan outcome.Outcome), minServiceTime: make(map[string]time.Duration), slots: slots, limit: slots, maxLimit: slots, connections: math.MaxInt,
	}
}

// Request describes a statement that asks a gate for a place.
type Request struct {
	// Tenant is the tenant whose slot time the statement uses; empty for none.
	Tenant string
	// TenantRate is the rate that the tenant declares; zero and infinity mean none.
	TenantRate float64
	// Kind groups requests that have similar service times.
	Kind string
	// Weight is the value of serving the request.
	Weight int
	// Statements is the number of statements that the request is expected to run in
	// total; values below 1 count as 1.
	Statements float64
	// Deadline is the latest time at which the answer is of use.
	Deadline time.Time
	// LatestStart is the latest time at which the statement may start while several
	// tenants compete for the target; zero means no limit.
	LatestStart time.Time
}

// Enter waits for a place. If the request cannot be served in time, Enter reports false
// and the refusal, with its reason and the time after which to retry.
func (g *Gate) Enter(r Request) (refusal outcome.Outcome, ok bool) {
	now := time.Now()
	g.mu.Lock()
	g.grow(now)
	id := admission.ID(lastTicketID.Add(1))
	d := g.queue.Offer(now, admission.Ticket{
		ID: id, Tenant: r.Tenant, TenantRate: r.TenantRate, Weight: r.Weight, Kind: r.Kind, Cost: g.cost(r), Deadline: r.Deadline, LatestStart: r.LatestStart,
	})
	g.notifyRefused(d.Evicted)
	switch d.Verdict {
	case admission.Admitted:
		g.mu.Unlock()
		return outcome.Outcome{}, true
	case admission.Refused:
		g.mu.Unlock()
		return d.Outcome, false
	}
	decided := make(chan outcome.Outcome, 1)
	g.waiting[id] = decided
	g.mu.Unlock()
	o := g.awaitDecision(id, decided, r.Deadline)
	return o, o.OK()
}

// awaitDecision waits for the decision on a queued request, until its deadline. It returns
// the refusal, or a zero outcome if the request was admitted.
func (g *Gate) awaitDecision(id admission.ID, decided chan outcome.Outcome, deadline time.Time) outcome.Outcome {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-decided:
		return o
	case <-timer.C:
		g.mu.Lock()
		if g.queue.Cancel(id) {
			delete(g.waiting, id)
			retryAfter := g.lastRetryAfter
			g.mu.Unlock()
			return outcome.Refuse(outcome.TooLate, retryAfter, "the deadline passed in the queue")
		}
		g.mu.Unlock()
		return <-decided
	}
}

// Leave releases a place after a statement of a tenant and kind that took the given time.
func (g *Gate) Leave(tenant, kind string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateMinServiceTime(kind, took)
	g.applyChange(g.queue.Release(time.Now(), tenant, kind, took))
}

// updateMinServiceTime updates the minimum service time of a kind. The minimum
// approximates the time without the queue in the target, which lengthens statements of
// all kinds when the target is overloaded. g.mu must be held.
func (g *Gate) updateMinServiceTime(kind string, took time.Duration) {
	minTime, ok := g.minServiceTime[kind]
	switch {
	case ok && took > minTime:
		g.minServiceTime[kind] = minTime + (took-minTime)/minServiceTimeGain
	case ok || len(g.minServiceTime) < maxGateKinds:
		g.minServiceTime[kind] = took
	}
}

// cost returns the total slot time that a request is expected to take. g.mu must be held.
func (g *Gate) cost(r Request) time.Duration {
	minTime, ok := g.minServiceTime[r.Kind]
	if !ok {
		minTime = initialServiceTime
	}
	return time.Duration(float64(minTime) * max(r.Statements, 1))
}

// Abandon releases a place of a tenant in which no statement ran.
func (g *Gate) Abandon(tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyChange(g.queue.Abandon(time.Now(), tenant))
}

// EnterForced takes a place for a statement of an open transaction of a tenant, ahead of
// all waiting requests. It counts as use of the tenant.
func (g *Gate) EnterForced(tenant string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forced++
	g.queue.ReportUse(now, tenant, 1)
	g.resizeQueue(now)
}

// LeaveForced releases a place taken by EnterForced.
func (g *Gate) LeaveForced(tenant string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forced--
	g.queue.ReportUse(now, tenant, -1)
	g.resizeQueue(now)
}

// connectionPinned counts a connection that a transaction of a tenant holds as use of the
// tenant.
func (g *Gate) connectionPinned(tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.ReportUse(time.Now(), tenant, pinnedConnectionUse)
}

// connectionUnpinned ends the use that connectionPinned reported.
func (g *Gate) connectionUnpinned(tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.ReportUse(time.Now(), tenant, -pinnedConnectionUse)
}

// ReportBusy lowers the limit, not below the slots, after the target answered that it is
// busy.
func (g *Gate) ReportBusy() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > g.slots && now.Sub(g.limitChangedAt) > shrinkInterval {
		g.limit--
		g.limitChangedAt = now
		g.resizeQueue(now)
	}
}

// SetMaxLimit sets the maximum of the limit, but at least to the number of slots. If that
// changes the maximum, the limit is set to it.
func (g *Gate) SetMaxLimit(maxLimit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if maxLimit = max(maxLimit, g.slots); maxLimit == g.maxLimit {
		return
	}
	g.maxLimit, g.limit = maxLimit, maxLimit
	g.resizeQueue(time.Now())
}

// SetConnections sets how many connections new work can use. A request that got a place
// without a connection could not run, and the place would be missing for the statements of
// open transactions.
func (g *Gate) SetConnections(connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connections != connections {
		g.connections = connections
		g.resizeQueue(time.Now())
	}
}

// ExpectedWait returns how long a request that arrives now would wait.
func (g *Gate) ExpectedWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ExpectedWait()
}

// grow raises the limit by one statement if it has not changed for growInterval. g.mu
// must be held.
func (g *Gate) grow(now time.Time) {
	if g.limit < g.maxLimit && now.Sub(g.limitChangedAt) > growInterval {
		g.limit++
		g.limitChangedAt = now
		g.resizeQueue(now)
	}
}

// resizeQueue sets the size of the queue from the limit, the forced statements and the
// connections. g.mu must be held.
func (g *Gate) resizeQueue(now time.Time) {
	g.applyChange(g.queue.Resize(now, min(max(g.limit-g.forced, 1), max(g.connections, 0))))
}

// applyChange sends waiting requests the verdicts of a change of the queue. g.mu must be
// held.
func (g *Gate) applyChange(c admission.Change) {
	for _, id := range c.Admitted {
		g.waiting[id] <- outcome.Outcome{}
		delete(g.waiting, id)
	}
	g.notifyRefused(c.Refused)
}

// notifyRefused sends refused requests their verdict and records when to retry. g.mu must
// be held.
func (g *Gate) notifyRefused(refused []admission.Refusal) {
	for _, r := range refused {
		g.lastRetryAfter = r.Outcome.RetryAfter
		g.waiting[r.ID] <- r.Outcome
		delete(g.waiting, r.ID)
	}
}
