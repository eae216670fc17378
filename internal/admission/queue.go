package admission

import (
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Config holds the settings of a Queue.
type Config struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// MaxWaiting is the number of requests that may wait.
	MaxWaiting int
	// Timeout sets the deadline of requests that have none. It covers the wait and the
	// service.
	Timeout time.Duration
	// ServiceTime is the initial estimate of how long a request holds its slot.
	ServiceTime time.Duration
	// MaxRetryAfter bounds the retry delay in a refusal.
	MaxRetryAfter time.Duration
}

// Defaults of Config, and the lower bounds of estimates and retry delays.
const (
	DefaultMaxWaiting    = 256
	DefaultTimeout       = 5 * time.Second
	DefaultServiceTime   = 5 * time.Millisecond
	DefaultMaxRetryAfter = 5 * time.Second
	minRetryAfter        = time.Millisecond
	minServiceTime       = time.Microsecond
)

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.ServiceTime <= 0 {
		c.ServiceTime = DefaultServiceTime
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return c
}

// queuedTicket is a waiting ticket with its defaults applied.
type queuedTicket struct {
	id       ID
	weight   int
	kind     string
	cost     time.Duration
	deadline time.Time
}

// Queue admits requests to the slots of one target and holds a bounded number of waiting
// ones. It is not safe for concurrent use.
type Queue struct {
	config  Config
	running int
	// tickets holds the waiting tickets by deadline; those with equal deadlines are in the
	// order of their arrival.
	tickets      []queuedTicket
	serviceTimes serviceTimes
	// promisedUntil is the time by which all refused requests will have been served if
	// they return after their retry delay. Each refusal moves it on, so that the callers
	// don't return all at once.
	promisedUntil time.Time
}

// NewQueue returns an empty queue. Zero fields of c take their defaults, except Slots:
// a queue without slots admits nothing until Resize.
func NewQueue(c Config) *Queue {
	c = c.withDefaults()
	return &Queue{
		config:       c,
		serviceTimes: newServiceTimes(c.ServiceTime),
	}
}

// Running returns the number of tickets that hold a slot.
func (q *Queue) Running() int {
	return q.running
}

// Waiting returns the number of tickets that wait for a slot.
func (q *Queue) Waiting() int {
	return len(q.tickets)
}

// Slots returns the number of slots.
func (q *Queue) Slots() int {
	return q.config.Slots
}

// ExpectedWait returns the predicted wait for a slot of a ticket that is offered now
// without a deadline.
func (q *Queue) ExpectedWait() time.Duration {
	if q.running < q.config.Slots {
		return 0
	}
	return q.backlog() / time.Duration(q.parallelism())
}

// Offer decides on a new ticket. The slot of an Admitted ticket must be freed with
// Release or Abandon. A Queued ticket waits until a Change or an eviction lists it, or
// until Cancel. If a slot is free and no ticket waits, the ticket is admitted whatever its
// predicted service time: otherwise one slow request could raise the estimate so far that
// no request runs any more to correct it.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	w := queuedTicket{id: t.ID, weight: max(t.Weight, 1), kind: t.Kind, cost: t.Cost, deadline: t.Deadline}
	if w.deadline.IsZero() {
		w.deadline = now.Add(q.config.Timeout)
	}
	if !w.deadline.After(now) {
		return Decision{
			Verdict: Refused,
			Outcome: outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline passed before the request was admitted"),
		}
	}
	if q.running < q.config.Slots && len(q.tickets) == 0 {
		q.running++
		return Decision{Verdict: Admitted}
	}
	q.insert(w)
	out := q.evict(now)
	return q.decide(now, w.id, out)
}

// Release frees a slot that a request of the given kind held for the given time, and
// admits the next tickets. It panics if no ticket is running.
func (q *Queue) Release(now time.Time, kind string, held time.Duration) Change {
	q.serviceTimes.observe(kind, held)
	return q.Abandon(now)
}

// Abandon frees a slot that was not used, without recording a service time, and admits the
// next tickets. It panics if no ticket is running.
func (q *Queue) Abandon(now time.Time) Change {
	if q.running == 0 {
		panic("admission: release without a running ticket")
	}
	q.running--
	return q.schedule(now)
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (q *Queue) Cancel(id ID) bool {
	for i := range q.tickets {
		if q.tickets[i].id == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Resize changes the number of slots. If more tickets are running than that, they keep
// their slots, and none is admitted until enough slots are freed.
func (q *Queue) Resize(now time.Time, slots int) Change {
	q.config.Slots = slots
	return q.schedule(now)
}

// Expire refuses the waiting tickets that can no longer meet their deadline.
func (q *Queue) Expire(now time.Time) Change {
	return q.schedule(now)
}

// NextExpiry returns the time after which the first waiting ticket can no longer meet its
// deadline, and false if none waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.tickets) == 0 {
		return time.Time{}, false
	}
	return q.tickets[0].deadline.Add(-q.serviceTimes.expected(q.tickets[0].kind)), true
}

// Drain refuses all waiting tickets with reason r.
func (q *Queue) Drain(now time.Time, r outcome.Reason) []Refusal {
	var refused []Refusal
	for _, w := range q.tickets {
		refused = append(refused, Refusal{ID: w.id, Outcome: q.refuse(now, r)})
	}
	q.tickets = q.tickets[:0]
	return refused
}

// schedule refuses tickets that would miss their deadline and admits tickets to the free
// slots.
func (q *Queue) schedule(now time.Time) Change {
	var c Change
	for len(q.tickets) > 0 && q.missesDeadline(now, q.tickets[0]) {
		c.Refused = append(c.Refused, Refusal{ID: q.tickets[0].id, Outcome: q.refuse(now, outcome.TooLate)})
		q.removeAt(0)
	}
	for q.running < q.config.Slots && len(q.tickets) > 0 {
		w := q.tickets[0]
		q.removeAt(0)
		if q.missesDeadline(now, w) {
			c.Refused = append(c.Refused, Refusal{ID: w.id, Outcome: q.refuse(now, outcome.TooLate)})
			continue
		}
		q.running++
		c.Admitted = append(c.Admitted, w.id)
	}
	return c
}

// missesDeadline reports whether w would end after its deadline even if it were admitted
// now.
func (q *Queue) missesDeadline(now time.Time, w queuedTicket) bool {
	return now.Add(q.serviceTimes.expected(w.kind)).After(w.deadline)
}

// evict removes tickets until the rest is within MaxWaiting and predicted to meet its
// deadlines. If a ticket is predicted to miss its deadline, the one with the least weight
// for its cost among it and those before it is removed.
func (q *Queue) evict(now time.Time) []eviction {
	var out []eviction
	ahead := q.serviceTimes.expected("")
	for i := 0; i < len(q.tickets); i++ {
		w := q.tickets[i]
		expected := q.serviceTimes.expected(w.kind)
		delay := ahead / time.Duration(q.parallelism())
		ahead += q.slotTime(w)
		if !now.Add(delay + expected + q.serviceTimes.deviation(w.kind)).After(w.deadline) {
			continue
		}
		victim := q.leastValuable(i)
		ahead -= q.slotTime(q.tickets[victim])
		out = append(out, eviction{ticket: q.tickets[victim], reason: outcome.TooLate})
		q.removeAt(victim)
		i--
	}
	for len(q.tickets) > q.config.MaxWaiting {
		victim := q.leastValuable(len(q.tickets) - 1)
		out = append(out, eviction{ticket: q.tickets[victim], reason: outcome.QueueFull})
		q.removeAt(victim)
	}
	return out
}

// eviction is a ticket that evict removed, with the reason.
type eviction struct {
	ticket queuedTicket
	reason outcome.Reason
}

// leastValuable returns the index of the ticket in tickets[0..last] with the least weight
// for its cost, and the last one among equals.
func (q *Queue) leastValuable(last int) int {
	victim := 0
	least := q.weightPerCost(0)
	for i := 1; i <= last; i++ {
		if d := q.weightPerCost(i); d <= least {
			victim, least = i, d
		}
	}
	return victim
}

// weightPerCost returns the weight of the ticket at index i per nanosecond of its cost.
func (q *Queue) weightPerCost(i int) float64 {
	w := q.tickets[i]
	cost := w.cost
	if cost <= 0 {
		cost = q.serviceTimes.expected(w.kind)
	}
	return float64(w.weight) / float64(cost)
}

// decide returns the decision on the offered ticket id, given the evictions that its offer
// caused.
func (q *Queue) decide(now time.Time, id ID, out []eviction) Decision {
	d := Decision{Verdict: Queued}
	for _, r := range out {
		o := q.refuse(now, r.reason)
		if r.ticket.id == id {
			d.Verdict = Refused
			d.Outcome = o
			continue
		}
		d.Evicted = append(d.Evicted, Refusal{ID: r.ticket.id, Outcome: o})
	}
	return d
}

// backlog returns the slot time of all waiting tickets, plus one service time until a slot
// is freed.
func (q *Queue) backlog() time.Duration {
	sum := q.serviceTimes.expected("")
	for _, w := range q.tickets {
		sum += q.slotTime(w)
	}
	return sum
}

// slotTime returns how long w is expected to delay the tickets behind it on a slot.
func (q *Queue) slotTime(w queuedTicket) time.Duration {
	return max(w.cost, q.serviceTimes.expected(w.kind))
}

// parallelism returns the number of requests that run at once, at least 1.
func (q *Queue) parallelism() int {
	return max(q.config.Slots, 1)
}

// refuse returns the outcome of a refused ticket. Its retry delay lasts until the queue
// and the requests that were refused before will have been served, at most MaxRetryAfter.
func (q *Queue) refuse(now time.Time, r outcome.Reason) outcome.Outcome {
	slots := time.Duration(q.parallelism())
	drained := now.Add(q.backlog() / slots)
	if q.promisedUntil.Before(drained) {
		q.promisedUntil = drained
	}
	limit := now.Add(q.config.MaxRetryAfter)
	if q.promisedUntil.Before(limit) {
		q.promisedUntil = q.promisedUntil.Add(q.serviceTimes.expected("") / slots)
	}
	wait := min(q.promisedUntil.Sub(now), q.config.MaxRetryAfter)
	return outcome.Refuse(r, max(wait, minRetryAfter), "%d requests wait for %d slots", len(q.tickets), q.config.Slots)
}

// insert adds w behind the tickets whose deadline is not later.
func (q *Queue) insert(w queuedTicket) {
	i := sort.Search(len(q.tickets), func(i int) bool {
		return q.tickets[i].deadline.After(w.deadline)
	})
	q.tickets = append(q.tickets, queuedTicket{})
	copy(q.tickets[i+1:], q.tickets[i:])
	q.tickets[i] = w
}

func (q *Queue) removeAt(i int) {
	q.tickets = append(q.tickets[:i], q.tickets[i+1:]...)
}
