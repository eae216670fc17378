package home

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// gate is the admission queue in front of the slots of one target. Its methods are safe
// for concurrent use.
type gate struct {
	mu          sync.Mutex
	queue       *admission.Queue
	waiting     map[admission.ID]chan outcome.Outcome
	lastID      admission.ID
	expiryTimer *time.Timer
}

func newGate(slots int) *gate {
	return &gate{
		queue:   admission.NewQueue(admission.Config{Slots: slots}),
		waiting: make(map[admission.ID]chan outcome.Outcome),
	}
}

// admit waits for a slot. If the outcome is OK, the caller holds a slot and must return
// it with release or releaseUnused. Closing abort ends the wait.
func (g *gate) admit(ctx context.Context, abort <-chan struct{}, t admission.Ticket) outcome.Outcome {
	id, decided, o := g.offer(t)
	if decided == nil {
		return o
	}
	select {
	case o := <-decided:
		return o
	case <-abort:
		return g.withdraw(id, decided, outcome.Refuse(outcome.Canceled, 0, "the request was canceled in the queue"))
	case <-ctx.Done():
		return g.withdraw(id, decided, outcome.Refuse(outcome.DeadlinePassed, 0, "the request timed out or was canceled in the queue: %v", ctx.Err()))
	}
}

// offer adds a request to the queue. The channel is nil if the decision was made at once.
func (g *gate) offer(t admission.Ticket) (admission.ID, chan outcome.Outcome, outcome.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	id := g.lastID
	t.ID = id
	d := g.queue.Offer(time.Now(), t)
	g.notify(admission.Change{Refused: d.Evicted})
	if d.Verdict != admission.Queued {
		return id, nil, d.Outcome
	}
	decided := make(chan outcome.Outcome, 1)
	g.waiting[id] = decided
	g.schedule()
	return id, decided, outcome.Outcome{}
}

// withdraw removes a request from the queue. A slot that it was granted meanwhile is
// passed on.
func (g *gate) withdraw(id admission.ID, decided chan outcome.Outcome, o outcome.Outcome) outcome.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(id) {
		delete(g.waiting, id)
		g.schedule()
		return o
	}
	if granted := <-decided; granted.OK() {
		g.notify(g.queue.Abandon(time.Now(), ""))
		g.schedule()
	}
	return o
}

// release returns a slot that a request of the given kind has held since started.
func (g *gate) release(kind string, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.notify(g.queue.Release(now, "", kind, now.Sub(started)))
	g.schedule()
}

// releaseUnused returns a slot on which nothing ran.
func (g *gate) releaseUnused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.queue.Abandon(time.Now(), ""))
	g.schedule()
}

func (g *gate) resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Slots() != slots {
		g.notify(g.queue.Resize(time.Now(), slots))
		g.schedule()
	}
}

// drain refuses all waiting requests.
func (g *gate) drain(r outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(admission.Change{Refused: g.queue.Drain(time.Now(), r)})
	g.schedule()
}

// notify sends decisions to the waiting requests; g.mu is held.
func (g *gate) notify(c admission.Change) {
	for _, id := range c.Admitted {
		g.resolve(id, outcome.Outcome{})
	}
	for _, r := range c.Refused {
		g.resolve(r.ID, r.Outcome)
	}
}

func (g *gate) resolve(id admission.ID, o outcome.Outcome) {
	decided, ok := g.waiting[id]
	if !ok {
		panic("home: admission queue decided on a request that is not waiting")
	}
	delete(g.waiting, id)
	decided <- o
}

// schedule sets the timer for the next request whose deadline can no longer be met; g.mu
// is held.
func (g *gate) schedule() {
	at, ok := g.queue.NextExpiry()
	switch {
	case !ok && g.expiryTimer != nil:
		g.expiryTimer.Stop()
	case ok && g.expiryTimer == nil:
		g.expiryTimer = time.AfterFunc(untilExpired(at), g.expire)
	case ok:
		g.expiryTimer.Reset(untilExpired(at))
	}
}

func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.queue.Expire(time.Now()))
	g.schedule()
}

// load returns the number of slots, of running requests and of waiting requests.
func (g *gate) load() (slots, running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Slots(), g.queue.Running(), g.queue.Waiting()
}

// expectedWait predicts how long a new request would wait.
func (g *gate) expectedWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ExpectedWait()
}

// untilExpired returns the time until a request that expires at the given time has surely
// expired.
func untilExpired(at time.Time) time.Duration {
	return time.Until(at) + time.Millisecond
}
