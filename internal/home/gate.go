package home

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// gate is the queue in front of the slots of one target. Its methods may be
// called by any goroutine.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[admission.ID]chan outcome.Outcome
	last    admission.ID
	expiry  *time.Timer
}

func newGate(slots int) *gate {
	return &gate{
		queue:   admission.NewQueue(admission.Config{Slots: slots}),
		waiting: make(map[admission.ID]chan outcome.Outcome),
	}
}

// admit waits for a slot. The outcome is OK if the slot was given; it must then
// be given back with release. A closed abort channel ends the wait.
func (g *gate) admit(ctx context.Context, abort <-chan struct{}, t admission.Ticket) outcome.Outcome {
	id, admitted, o := g.offer(t)
	if admitted == nil {
		return o
	}
	select {
	case o := <-admitted:
		return o
	case <-abort:
		return g.giveUp(id, admitted, outcome.Refuse(outcome.Canceled, 0, "the request was canceled in the queue"))
	case <-ctx.Done():
		return g.giveUp(id, admitted, outcome.Refuse(outcome.DeadlinePassed, 0, "the request ended in the queue: %v", ctx.Err()))
	}
}

// offer enters a request. The channel is nil if the decision was made at once.
func (g *gate) offer(t admission.Ticket) (admission.ID, chan outcome.Outcome, outcome.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	id := g.last
	t.ID = id
	d := g.queue.Offer(time.Now(), t)
	g.tell(admission.Change{Refused: d.Evicted})
	if d.Verdict != admission.Queued {
		return id, nil, d.Outcome
	}
	admitted := make(chan outcome.Outcome, 1)
	g.waiting[id] = admitted
	g.schedule()
	return id, admitted, outcome.Outcome{}
}

// giveUp takes a request out of the queue. A slot that it was given meanwhile is
// passed on.
func (g *gate) giveUp(id admission.ID, admitted chan outcome.Outcome, o outcome.Outcome) outcome.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(id) {
		delete(g.waiting, id)
		g.schedule()
		return o
	}
	if given := <-admitted; given.OK() {
		g.tell(g.queue.Abandon(time.Now()))
		g.schedule()
	}
	return o
}

// release gives back a slot that a request of a kind held since started.
func (g *gate) release(kind string, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.tell(g.queue.Release(now, kind, now.Sub(started)))
	g.schedule()
}

// abandon gives back a slot on which nothing ran.
func (g *gate) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.queue.Abandon(time.Now()))
	g.schedule()
}

func (g *gate) resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Slots() != slots {
		g.tell(g.queue.Resize(time.Now(), slots))
		g.schedule()
	}
}

// drain refuses everything that waits.
func (g *gate) drain(r outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(admission.Change{Refused: g.queue.Drain(time.Now(), r)})
	g.schedule()
}

// tell passes decisions on to those who wait; g.mu is held.
func (g *gate) tell(c admission.Change) {
	for _, id := range c.Admitted {
		g.answer(id, outcome.Outcome{})
	}
	for _, r := range c.Refused {
		g.answer(r.ID, r.Outcome)
	}
}

func (g *gate) answer(id admission.ID, o outcome.Outcome) {
	admitted, ok := g.waiting[id]
	if !ok {
		panic("home: queue decided on a request that does not wait")
	}
	delete(g.waiting, id)
	admitted <- o
}

// schedule sets the timer for the next request that becomes too late; g.mu is
// held.
func (g *gate) schedule() {
	at, ok := g.queue.NextExpiry()
	switch {
	case !ok && g.expiry != nil:
		g.expiry.Stop()
	case ok && g.expiry == nil:
		g.expiry = time.AfterFunc(untilExpired(at), g.expire)
	case ok:
		g.expiry.Reset(untilExpired(at))
	}
}

func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.queue.Expire(time.Now()))
	g.schedule()
}

// load returns how many slots there are, are used and are waited for.
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

// untilExpired returns the time until a request that expires at has expired.
func untilExpired(at time.Time) time.Duration {
	return time.Until(at) + time.Millisecond
}
