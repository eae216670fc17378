package admission

import (
	"slices"
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
	id          ID
	account     *account
	weight      int
	kind        string
	cost        time.Duration
	deadline    time.Time
	latestStart time.Time
}

// Queue admits requests to the slots of one target and holds a bounded number of waiting
// ones. It is not safe for concurrent use.
type Queue struct {
	config  Config
	running int
	// tickets holds the waiting tickets by deadline; those with equal deadlines are in the
	// order of their arrival.
	tickets      []*queuedTicket
	serviceTimes serviceTimes
	shares       shares
	order        []*queuedTicket // buffer of serviceOrder
	floor        valueFloor
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
		shares:       newShares(),
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
	account := q.shares.account(now, t.Tenant)
	q.shares.declare(account, t.TenantRate)
	w := &queuedTicket{
		id: t.ID, account: account, weight: max(t.Weight, 1), kind: t.Kind, cost: t.Cost,
		deadline: t.Deadline, latestStart: t.LatestStart,
	}
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
		q.start(now, w)
		return Decision{Verdict: Admitted}
	}
	q.insert(w)
	out := q.evict(now, w)
	return q.decide(now, w.id, out)
}

// Release frees a slot that a request of the given tenant and kind held for the given
// time, and admits the next tickets. It panics if no ticket is running.
func (q *Queue) Release(now time.Time, tenant, kind string, held time.Duration) Change {
	q.serviceTimes.observe(kind, held)
	return q.Abandon(now, tenant)
}

// Abandon frees a slot that the given tenant did not use, without recording a service
// time, and admits the next tickets. It panics if no ticket is running.
func (q *Queue) Abandon(now time.Time, tenant string) Change {
	if q.running == 0 {
		panic("admission: release without a running ticket")
	}
	q.running--
	q.shares.hold(now, tenant, -1)
	return q.schedule(now)
}

// ReportUse changes by the given number the slots that a tenant holds outside the queue,
// such as those of statements that do not queue. They count as its use.
func (q *Queue) ReportUse(now time.Time, tenant string, slots float64) {
	q.shares.hold(now, tenant, slots)
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (q *Queue) Cancel(id ID) bool {
	for _, w := range q.tickets {
		if w.id == id {
			q.remove(w)
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
	first := q.expiry(q.tickets[0])
	if q.shares.competing() {
		for _, w := range q.tickets {
			if at := q.expiry(w); at.Before(first) {
				first = at
			}
		}
	}
	return first, true
}

// expiry returns the latest time at which w can be admitted.
func (q *Queue) expiry(w *queuedTicket) time.Time {
	at := w.deadline.Add(-q.serviceTimes.expected(w.kind))
	if q.limitsStart(w) && w.latestStart.Before(at) {
		return w.latestStart
	}
	return at
}

// limitsStart reports whether the latest start of w applies.
func (q *Queue) limitsStart(w *queuedTicket) bool {
	return q.shares.competing() && !w.latestStart.IsZero()
}

// Drain refuses all waiting tickets with reason r.
func (q *Queue) Drain(now time.Time, r outcome.Reason) []Refusal {
	var refused []Refusal
	for _, w := range q.tickets {
		refused = append(refused, Refusal{ID: w.id, Outcome: q.refuse(now, r)})
		w.account.waiting--
	}
	clear(q.tickets)
	q.tickets = q.tickets[:0]
	return refused
}

// schedule refuses tickets that would miss their deadline and admits tickets to the free
// slots.
func (q *Queue) schedule(now time.Time) Change {
	var c Change
	if len(q.tickets) == 0 {
		return c
	}
	order := q.serviceOrder(now)
	if q.shares.competing() {
		for _, w := range order {
			if q.missesDeadline(now, w) {
				c.Refused = append(c.Refused, q.refuseLate(now, w))
				q.remove(w)
			}
		}
		order = q.serviceOrder(now)
	}
	for len(order) > 0 && q.missesDeadline(now, order[0]) {
		c.Refused = append(c.Refused, q.refuseLate(now, order[0]))
		q.remove(order[0])
		order = order[1:]
	}
	for q.running < q.config.Slots && len(order) > 0 {
		w := order[0]
		order = order[1:]
		q.remove(w)
		if q.missesDeadline(now, w) {
			c.Refused = append(c.Refused, q.refuseLate(now, w))
			continue
		}
		q.start(now, w)
		c.Admitted = append(c.Admitted, w.id)
	}
	return c
}

// start gives w a slot.
func (q *Queue) start(now time.Time, w *queuedTicket) {
	q.running++
	w.account.advance(now)
	w.account.held++
}

// refuseLate returns the refusal of w, which would miss its deadline.
func (q *Queue) refuseLate(now time.Time, w *queuedTicket) Refusal {
	q.raiseFloor(now, w)
	return Refusal{ID: w.id, Outcome: q.refuse(now, q.reason(w, outcome.TooLate))}
}

// raiseFloor excludes requests of lower value than w, which is refused, if its tenant is
// above its share. Tenants within their share don't give way to those above it.
func (q *Queue) raiseFloor(now time.Time, w *queuedTicket) {
	if q.shares.competing() && w.account.overShare {
		q.floor.raise(now, q.weightPerCost(w))
	}
}

// reason returns the reason for the refusal of w: OverShare if its tenant is above its
// share, and otherwise the given one.
func (q *Queue) reason(w *queuedTicket, otherwise outcome.Reason) outcome.Reason {
	if q.shares.competing() && w.account.overShare {
		return outcome.OverShare
	}
	return otherwise
}

// serviceOrder returns the waiting tickets in the order in which they are to be served. It
// is that of the deadlines, except that the tenants that are most above their share are
// served after the others. The result is valid until the next call.
func (q *Queue) serviceOrder(now time.Time) []*queuedTicket {
	q.order = q.order[:0]
	if !q.shares.competing() {
		q.order = append(q.order, q.tickets...)
		return q.order
	}
	q.shares.assess(now, q.tickets, q.serviceTimes.expected(""), q.slotTime)
	for _, w := range q.tickets {
		if !w.account.servedLast {
			q.order = append(q.order, w)
		}
	}
	for _, w := range q.tickets {
		if w.account.servedLast {
			q.order = append(q.order, w)
		}
	}
	return q.order
}

// missesDeadline reports whether w would end after its deadline even if it were admitted
// now.
func (q *Queue) missesDeadline(now time.Time, w *queuedTicket) bool {
	return now.After(q.expiry(w))
}

// predictedLate reports whether w is predicted to miss its deadline if it waits for delay.
func (q *Queue) predictedLate(now time.Time, w *queuedTicket, delay time.Duration) bool {
	if q.limitsStart(w) && now.Add(delay).After(w.latestStart) {
		return true
	}
	return now.Add(delay + q.serviceTimes.expected(w.kind) + q.serviceTimes.deviation(w.kind)).After(w.deadline)
}

// evict removes tickets until the rest is within MaxWaiting and predicted to meet its
// deadlines, after the offered ticket was added. If a ticket is predicted to miss its
// deadline, a victim among it and those before it in the order of service is removed.
func (q *Queue) evict(now time.Time, offered *queuedTicket) []eviction {
	var out []eviction
	order := q.serviceOrder(now)
	remove := func(i int, reason outcome.Reason) {
		w := order[i]
		out = append(out, eviction{ticket: w, reason: q.reason(w, reason)})
		order = slices.Delete(order, i, i+1)
		w.account.evicted(q.slotTime(w), q.serviceTimes.expected(""))
		q.remove(w)
	}
	if q.shares.competing() && q.floor.excludes(now, q.weightPerCost(offered)) && q.givesWay(offered, order) {
		remove(slices.Index(order, offered), outcome.TooLate)
	}
	ahead := q.serviceTimes.expected("")
	for i := 0; i < len(order); i++ {
		w := order[i]
		delay := ahead / time.Duration(q.parallelism())
		ahead += q.slotTime(w)
		if !q.predictedLate(now, w, delay) {
			continue
		}
		victim := q.victim(order[:i+1])
		ahead -= q.slotTime(order[victim])
		q.raiseFloor(now, order[victim])
		remove(victim, outcome.TooLate)
		i--
	}
	for len(order) > q.config.MaxWaiting {
		remove(q.victim(order), outcome.QueueFull)
	}
	return out
}

// eviction is a ticket that evict removed, with the reason.
type eviction struct {
	ticket *queuedTicket
	reason outcome.Reason
}

// victim returns the index of the ticket to remove: the one with the least weight for its
// cost, and the one with the latest deadline among equals. If any ticket is of a tenant above its share, only
// those of the tenants that are most above it count.
func (q *Queue) victim(tickets []*queuedTicket) int {
	minDemand := q.minDemand(tickets)
	victim, least := -1, 0.0
	for i, w := range tickets {
		if !w.account.demandsAtLeast(minDemand) {
			continue
		}
		d := q.weightPerCost(w)
		if victim < 0 || d < least || d == least && !w.deadline.Before(tickets[victim].deadline) {
			victim, least = i, d
		}
	}
	return victim
}

// givesWay reports whether w is of one of the tenants that are most above their share.
func (q *Queue) givesWay(w *queuedTicket, tickets []*queuedTicket) bool {
	return w.account.overShare && w.account.demandsAtLeast(q.minDemand(tickets))
}

// minDemand returns the least demand of the tenants that are most above their share. It is 0
// if no ticket is of a tenant above its share.
func (q *Queue) minDemand(tickets []*queuedTicket) float64 {
	largest := 0.0
	if q.shares.competing() {
		for _, w := range tickets {
			if w.account.overShare {
				largest = max(largest, w.account.demand)
			}
		}
	}
	return largest * (1 - demandTolerance)
}

// weightPerCost returns the weight of w per nanosecond of its cost.
func (q *Queue) weightPerCost(w *queuedTicket) float64 {
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
func (q *Queue) slotTime(w *queuedTicket) time.Duration {
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
func (q *Queue) insert(w *queuedTicket) {
	i := sort.Search(len(q.tickets), func(i int) bool {
		return q.tickets[i].deadline.After(w.deadline)
	})
	q.tickets = slices.Insert(q.tickets, i, w)
	w.account.waiting++
}

// remove removes the waiting ticket w.
func (q *Queue) remove(w *queuedTicket) {
	i := slices.Index(q.tickets, w)
	q.tickets = slices.Delete(q.tickets, i, i+1)
	w.account.waiting--
}
