package admission

import (
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Config holds the limits of one queue.
type Config struct {
	// Slots is how many requests may run at once.
	Slots int
	// MaxWaiting is how many requests may wait.
	MaxWaiting int
	// Timeout is how long a request without a deadline may take in all.
	Timeout time.Duration
	// ServiceTime is the first guess of the time a request holds its slot.
	ServiceTime time.Duration
	// MaxRetryAfter bounds the time a refused caller is told to wait.
	MaxRetryAfter time.Duration
}

// Defaults of Config.
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

// waiting is a queued ticket with its effective deadline.
type waiting struct {
	id       ID
	weight   int
	kind     string
	cost     time.Duration
	deadline time.Time
}

// Queue is the bounded queue before the slots of one target. It is not safe for
// concurrent use.
type Queue struct {
	config  Config
	running int
	// queue is sorted by deadline; equal deadlines keep their order of arrival.
	queue   []waiting
	service estimates
	// promised is the time up to which the capacity after the queue has been
	// promised to refused callers.
	promised time.Time
}

// NewQueue returns an empty queue. Zero fields of c take their defaults; Slots
// may be zero, then everything waits until Resize.
func NewQueue(c Config) *Queue {
	c = c.withDefaults()
	return &Queue{
		config:  c,
		service: newEstimates(c.ServiceTime),
	}
}

// Running returns how many tickets hold a slot.
func (q *Queue) Running() int {
	return q.running
}

// Waiting returns how many tickets wait.
func (q *Queue) Waiting() int {
	return len(q.queue)
}

// Slots returns the number of slots.
func (q *Queue) Slots() int {
	return q.config.Slots
}

// ExpectedWait returns how long a ticket offered now without a deadline would
// wait for its slot.
func (q *Queue) ExpectedWait() time.Duration {
	if q.running < q.config.Slots {
		return 0
	}
	return q.backlog() / time.Duration(q.divisor())
}

// Offer decides on a new ticket. A ticket with verdict Run must be given back
// with Release, one with Wait ends by a Change or by Cancel. A free slot is given
// whatever the prediction says, so that one slow request can't raise the estimate
// to where nothing runs any more and nothing corrects it.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	w := waiting{id: t.ID, weight: max(t.Weight, 1), kind: t.Kind, cost: t.Cost, deadline: t.Deadline}
	if w.deadline.IsZero() {
		w.deadline = now.Add(q.config.Timeout)
	}
	if !w.deadline.After(now) {
		return Decision{
			Verdict: Refused,
			Outcome: outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline passed before the request was admitted"),
		}
	}
	if q.running < q.config.Slots && len(q.queue) == 0 {
		q.running++
		return Decision{Verdict: Admitted}
	}
	q.insert(w)
	out := q.fit(now)
	return q.answer(now, w.id, out)
}

// Release gives a slot back after a request of a kind held it for held, and lets
// the next tickets run.
func (q *Queue) Release(now time.Time, kind string, held time.Duration) Change {
	q.service.observe(kind, held)
	return q.Abandon(now)
}

// Abandon gives a slot back on which nothing ran.
func (q *Queue) Abandon(now time.Time) Change {
	if q.running == 0 {
		panic("admission: release without a running ticket")
	}
	q.running--
	return q.advance(now)
}

// Cancel takes a waiting ticket out. It reports whether the ticket was waiting.
func (q *Queue) Cancel(id ID) bool {
	for i := range q.queue {
		if q.queue[i].id == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Resize changes the number of slots. Running tickets beyond it go on; no new
// one starts until they are released.
func (q *Queue) Resize(now time.Time, slots int) Change {
	q.config.Slots = slots
	return q.advance(now)
}

// Expire refuses the waiting tickets that can no longer be served in time.
func (q *Queue) Expire(now time.Time) Change {
	return q.advance(now)
}

// NextExpiry returns when the first waiting ticket becomes too late, and false
// if none waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.queue) == 0 {
		return time.Time{}, false
	}
	return q.queue[0].deadline.Add(-q.service.expected(q.queue[0].kind)), true
}

// Drain refuses every waiting ticket with reason r.
func (q *Queue) Drain(now time.Time, r outcome.Reason) []Refusal {
	var refused []Refusal
	for _, w := range q.queue {
		refused = append(refused, Refusal{ID: w.id, Outcome: q.refuseNow(now, r)})
	}
	q.queue = q.queue[:0]
	return refused
}

// advance drops what is too late and fills the free slots.
func (q *Queue) advance(now time.Time) Change {
	var c Change
	for len(q.queue) > 0 && q.hopeless(now, q.queue[0]) {
		c.Refused = append(c.Refused, Refusal{ID: q.queue[0].id, Outcome: q.refuseNow(now, outcome.TooLate)})
		q.removeAt(0)
	}
	for q.running < q.config.Slots && len(q.queue) > 0 {
		w := q.queue[0]
		q.removeAt(0)
		if q.hopeless(now, w) {
			c.Refused = append(c.Refused, Refusal{ID: w.id, Outcome: q.refuseNow(now, outcome.TooLate)})
			continue
		}
		q.running++
		c.Admitted = append(c.Admitted, w.id)
	}
	return c
}

// hopeless reports whether w would end after its deadline even if it ran now.
func (q *Queue) hopeless(now time.Time, w waiting) bool {
	return now.Add(q.service.expected(w.kind)).After(w.deadline)
}

// fit takes tickets out until the rest is within the bound and predicted to be
// served in time. In a run of tickets that is too long for its last deadline, the
// one with the least weight for its cost gives way.
func (q *Queue) fit(now time.Time) []removal {
	var out []removal
	ahead := q.service.expected("")
	for i := 0; i < len(q.queue); i++ {
		w := q.queue[i]
		expected := q.service.expected(w.kind)
		delay := ahead / time.Duration(q.divisor())
		ahead += q.taken(w)
		if !now.Add(delay + expected + q.service.deviation(w.kind)).After(w.deadline) {
			continue
		}
		victim := q.lightest(i)
		ahead -= q.taken(q.queue[victim])
		out = append(out, removal{ticket: q.queue[victim], reason: outcome.TooLate})
		q.removeAt(victim)
		i--
	}
	for len(q.queue) > q.config.MaxWaiting {
		victim := q.lightest(len(q.queue) - 1)
		out = append(out, removal{ticket: q.queue[victim], reason: outcome.QueueFull})
		q.removeAt(victim)
	}
	return out
}

// removal is a ticket that fit took out, and why.
type removal struct {
	ticket waiting
	reason outcome.Reason
}

// lightest returns the index of the ticket in queue[0..last] with the least
// weight for its cost; among equals the last one.
func (q *Queue) lightest(last int) int {
	victim := 0
	least := q.density(0)
	for i := 1; i <= last; i++ {
		if d := q.density(i); d <= least {
			victim, least = i, d
		}
	}
	return victim
}

// density is the weight of the ticket at index i for each unit of its cost.
func (q *Queue) density(i int) float64 {
	w := q.queue[i]
	cost := w.cost
	if cost <= 0 {
		cost = q.service.expected(w.kind)
	}
	return float64(w.weight) / float64(cost)
}

// answer turns the removals into the decision on ticket id.
func (q *Queue) answer(now time.Time, id ID, out []removal) Decision {
	d := Decision{Verdict: Queued}
	for _, r := range out {
		o := q.refuseNow(now, r.reason)
		if r.ticket.id == id {
			d.Verdict = Refused
			d.Outcome = o
			continue
		}
		d.Evicted = append(d.Evicted, Refusal{ID: r.ticket.id, Outcome: o})
	}
	return d
}

// backlog is the service time of all waiting tickets and of the next slot to end.
func (q *Queue) backlog() time.Duration {
	sum := q.service.expected("")
	for _, w := range q.queue {
		sum += q.taken(w)
	}
	return sum
}

// taken is the time of a slot that w takes from those behind it.
func (q *Queue) taken(w waiting) time.Duration {
	return max(w.cost, q.service.expected(w.kind))
}

// divisor is how many requests are served at once.
func (q *Queue) divisor() int {
	return max(q.config.Slots, 1)
}

// refuseNow makes the outcome of a refused ticket. The time to come back is when
// the queue and the callers told so before will have been served.
func (q *Queue) refuseNow(now time.Time, r outcome.Reason) outcome.Outcome {
	slots := time.Duration(q.divisor())
	drained := now.Add(q.backlog() / slots)
	if q.promised.Before(drained) {
		q.promised = drained
	}
	limit := now.Add(q.config.MaxRetryAfter)
	if q.promised.Before(limit) {
		q.promised = q.promised.Add(q.service.expected("") / slots)
	}
	wait := min(q.promised.Sub(now), q.config.MaxRetryAfter)
	return outcome.Refuse(r, max(wait, minRetryAfter), "%d requests wait for %d slots", len(q.queue), q.config.Slots)
}

func (q *Queue) insert(w waiting) {
	i := sort.Search(len(q.queue), func(i int) bool {
		return q.queue[i].deadline.After(w.deadline)
	})
	q.queue = append(q.queue, waiting{})
	copy(q.queue[i+1:], q.queue[i:])
	q.queue[i] = w
}

func (q *Queue) removeAt(i int) {
	q.queue = append(q.queue[:i], q.queue[i+1:]...)
}
