package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
)

// Bounds of a gate.
const (
	// maxGateWaiting bounds the requests that wait before one target.
	maxGateWaiting = 512
	// shrinkPause is the time between two reductions after busy answers.
	shrinkPause = 100 * time.Millisecond
	// growInterval is the time without a busy answer after which one more statement
	// may run.
	growInterval = 500 * time.Millisecond
	// leastGain is the inverse of the share by which a slower statement raises the
	// least time of its kind, so that it follows a target that has become slower.
	leastGain = 256
	// maxGateKinds bounds the kinds of requests that are told apart.
	maxGateKinds = 256
	// firstServiceTime is the first guess of the time of a statement.
	firstServiceTime = 25 * time.Millisecond
)

// Gate bounds the statements that one daemon has at a target at once. The queue
// before it serves by deadline and refuses at once what can't be served in time.
// The bound adapts: it shrinks when the target answers that it is busy, as its own
// queue is full then. Its methods may be called by any goroutine.
type Gate struct {
	mu      sync.Mutex
	queue   *admission.Queue                        // guarded by mu
	waiting map[admission.ID]chan admission.Verdict // guarded by mu
	retry   time.Duration                           // guarded by mu; told with the last refusal
	slots   int                                     // guarded by mu; floor of the bound
	least   map[string]time.Duration                // guarded by mu; least time of a statement by kind
	limit   int                                     // guarded by mu
	most    int                                     // guarded by mu; ceiling of the bound
	forced  int                                     // guarded by mu; running without a ticket
	links   int                                     // guarded by mu; connections that are not kept by transactions
	changed time.Time                               // guarded by mu; last change of limit
}

var ticketNumber atomic.Uint64

func newGate(slots int) *Gate {
	slots = max(slots, 1)
	return &Gate{
		queue:   admission.NewQueue(admission.Config{Slots: slots, MaxWaiting: maxGateWaiting, ServiceTime: firstServiceTime}),
		waiting: make(map[admission.ID]chan admission.Verdict), least: make(map[string]time.Duration), slots: slots, limit: slots, most: slots, links: math.MaxInt,
	}
}

// Request asks a gate for a place.
type Request struct {
	// Kind names requests that take about as long.
	Kind string
	// Weight is what serving the request counts.
	Weight int
	// Statements is how many turns of a slot the request takes in all; below 1
	// counts as 1.
	Statements float64
	// Deadline is the latest useful end.
	Deadline time.Time
}

// Enter waits for a place. It returns the time to come back if there is none in
// time.
func (g *Gate) Enter(r Request) (retryAfter time.Duration, ok bool) {
	now := time.Now()
	g.mu.Lock()
	g.grow(now)
	id := admission.ID(ticketNumber.Add(1))
	d := g.queue.Offer(now, admission.Ticket{ID: id, Weight: r.Weight, Kind: r.Kind, Cost: g.cost(r), Deadline: r.Deadline})
	g.refuse(d.Evicted)
	switch d.Verdict {
	case admission.Admitted:
		g.mu.Unlock()
		return 0, true
	case admission.Refused:
		g.mu.Unlock()
		return d.Outcome.RetryAfter, false
	}
	answer := make(chan admission.Verdict, 1)
	g.waiting[id] = answer
	g.mu.Unlock()
	return g.await(id, answer, r.Deadline)
}

func (g *Gate) await(id admission.ID, answer chan admission.Verdict, deadline time.Time) (time.Duration, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var v admission.Verdict
	select {
	case v = <-answer:
	case <-timer.C:
		g.mu.Lock()
		if g.queue.Cancel(id) {
			delete(g.waiting, id)
			retryAfter := g.retry
			g.mu.Unlock()
			return retryAfter, false
		}
		g.mu.Unlock()
		v = <-answer
	}
	if v == admission.Admitted {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retry, false
}

// Leave gives a place back after a statement that took the given time.
func (g *Gate) Leave(kind string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLeast(kind, took)
	g.apply(g.queue.Release(time.Now(), kind, took))
}

// noteLeast follows the least time of a kind: the time without the queue in the
// target, which grows for all kinds when the target is crowded. The lock is held.
func (g *Gate) noteLeast(kind string, took time.Duration) {
	least, ok := g.least[kind]
	switch {
	case ok && took > least:
		g.least[kind] = least + (took-least)/leastGain
	case ok || len(g.least) < maxGateKinds:
		g.least[kind] = took
	}
}

// cost is the time of a slot that a request takes in all. The lock is held.
func (g *Gate) cost(r Request) time.Duration {
	least, ok := g.least[r.Kind]
	if !ok {
		least = firstServiceTime
	}
	return time.Duration(float64(least) * max(r.Statements, 1))
}

// Abandon gives a place back in which nothing ran.
func (g *Gate) Abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.queue.Abandon(time.Now()))
}

// EnterForced takes a place for a statement of an open transaction, which goes
// before all that wait.
func (g *Gate) EnterForced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forced++
	g.resize(time.Now())
}

// LeaveForced gives such a place back.
func (g *Gate) LeaveForced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forced--
	g.resize(time.Now())
}

// ReportBusy notes that the target answered that it is busy.
func (g *Gate) ReportBusy() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > g.slots && now.Sub(g.changed) > shrinkPause {
		g.limit--
		g.changed = now
		g.resize(now)
	}
}

// SetMaxLimit sets the ceiling of the bound.
func (g *Gate) SetMaxLimit(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most = max(most, g.slots); most == g.most {
		return
	}
	g.most, g.limit = most, most
	g.resize(time.Now())
}

// SetConnections sets how many connections new work can have: a place without one would
// only be withheld from the statements of open transactions.
func (g *Gate) SetConnections(links int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links != links {
		g.links = links
		g.resize(time.Now())
	}
}

// ExpectedWait returns how long a request would wait now.
func (g *Gate) ExpectedWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ExpectedWait()
}

// grow lets one more statement run when the target has not been busy for a while.
func (g *Gate) grow(now time.Time) {
	if g.limit < g.most && now.Sub(g.changed) > growInterval {
		g.limit++
		g.changed = now
		g.resize(now)
	}
}

func (g *Gate) resize(now time.Time) {
	g.apply(g.queue.Resize(now, min(max(g.limit-g.forced, 1), max(g.links, 0))))
}

// apply tells those that wait what became of them.
func (g *Gate) apply(c admission.Change) {
	for _, id := range c.Admitted {
		g.waiting[id] <- admission.Admitted
		delete(g.waiting, id)
	}
	g.refuse(c.Refused)
}

func (g *Gate) refuse(refused []admission.Refusal) {
	for _, r := range refused {
		g.retry = r.Outcome.RetryAfter
		g.waiting[r.ID] <- admission.Refused
		delete(g.waiting, r.ID)
	}
}
