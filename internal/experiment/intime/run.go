package intime

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Options are the parameters of one simulated run.
type Options struct {
	Policy PolicyName
	Slots  int
	// DelayedRetries is the maximum number of times that a refused caller retries after
	// the retry-after time of the refusal.
	DelayedRetries int
	// ImmediateRetries is the maximum number of times that a refused caller retries at
	// once, regardless of the retry-after time.
	ImmediateRetries int
	// RetryBudget limits the immediate retries with an admission.RetryBudget.
	RetryBudget bool
	// StartShare is the share of the time to its deadline within which a request must get
	// its slot while tenants compete; zero means no such limit.
	StartShare float64
	Seed       uint64
}

// Score is the result of one simulated run.
type Score struct {
	// InTime is the weight of the requests served by their deadline without a delayed
	// retry.
	InTime float64
	// Weight is the total weight of all requests.
	Weight float64
	// Late counts requests that were served after their deadline.
	Late int
	// Refused counts first attempts that were refused.
	Refused int
	// DelayedRetries counts the retries after the retry-after time, and
	// DelayedRetriesInTime those of them that were served by their deadline.
	DelayedRetries       int
	DelayedRetriesInTime int
	// ImmediateRetries counts the retries at once.
	ImmediateRetries int
	// Results holds the result of the last attempt of each job, in the order of the jobs.
	Results []Result
	// IdleWhileWaiting is the slot time that was not used while a request waited.
	IdleWhileWaiting time.Duration
}

// Result is how the last attempt of a job ended.
type Result struct {
	// Served reports whether the attempt got a slot. Wait is the time from its arrival to
	// that, or to its refusal.
	Served bool
	Wait   time.Duration
	// Latency is the time from the arrival to the end of the service.
	Latency time.Duration
	// Reason is the reason of the refusal.
	Reason outcome.Reason
}

// event is the arrival of an attempt or the end of its service.
type event struct {
	at      time.Time
	attempt *attempt
	isEnd   bool
}

// attempt is one attempt of a job, with the number of retries before it.
type attempt struct {
	id               admission.ID
	job              *Job
	result           *Result
	immediateRetries int
	delayedRetries   int
	arrived          time.Time
	deadline         time.Time
	started          time.Time
}

// simulation is the state of one run.
type simulation struct {
	options  Options
	policy   Policy
	budget   *admission.RetryBudget
	rng      *rand.Rand
	events   eventHeap
	attempts map[admission.ID]*attempt
	nextID   admission.ID
	score    Score
	// queue is the policy if it is an admission.Queue, and steppedAt the time of the last
	// step.
	queue     *admission.Queue
	steppedAt time.Time
}

// epoch is the start of virtual time. Any fixed time would do.
var epoch = time.Unix(1_000_000, 0)

// Run simulates the jobs under one policy and returns its score.
func Run(jobs []Job, o Options) Score {
	s := &simulation{
		options:  o,
		policy:   newPolicy(o.Policy, o.Slots),
		budget:   admission.NewRetryBudget(epoch),
		rng:      rand.New(rand.NewPCG(o.Seed, 2)),
		attempts: map[admission.ID]*attempt{},
	}
	s.queue, _ = s.policy.(*admission.Queue)
	s.score.Results = make([]Result, len(jobs))
	for i := range jobs {
		s.score.Weight += float64(jobs[i].Weight)
		s.scheduleArrival(epoch.Add(jobs[i].Arrival), &jobs[i], &s.score.Results[i], 0, 0)
	}
	for len(s.events) > 0 {
		s.step()
	}
	return s.score
}

// scheduleArrival schedules an attempt. An immediate retry keeps the deadline of the job;
// a delayed retry gets a new one.
func (s *simulation) scheduleArrival(at time.Time, job *Job, result *Result, immediateRetries, delayedRetries int) {
	s.nextID++
	t := &attempt{id: s.nextID, job: job, result: result, arrived: at, immediateRetries: immediateRetries, delayedRetries: delayedRetries, deadline: at.Add(job.Timeout)}
	if immediateRetries > 0 {
		t.deadline = epoch.Add(job.Deadline())
	}
	heap.Push(&s.events, event{at: at, attempt: t})
}

// step processes the next expiry of the policy or the next event, whichever is earlier.
func (s *simulation) step() {
	now := s.events[0].at
	if expiry, ok := s.policy.NextExpiry(); ok && expiry.Before(now) {
		s.countIdle(expiry)
		s.apply(expiry.Add(1), s.policy.Expire(expiry.Add(1)))
		return
	}
	s.countIdle(now)
	e := heap.Pop(&s.events).(event)
	if e.isEnd {
		s.finish(e.at, e.attempt)
		return
	}
	s.offer(e.at, e.attempt)
}

// countIdle counts the time since the last step if a slot was free while a request waited.
func (s *simulation) countIdle(now time.Time) {
	if s.queue != nil && s.queue.Waiting() > 0 && s.queue.Running() < s.queue.Slots() {
		s.score.IdleWhileWaiting += now.Sub(s.steppedAt)
	}
	s.steppedAt = now
}

// offer offers an attempt to the policy and applies the decision.
func (s *simulation) offer(now time.Time, t *attempt) {
	if t.immediateRetries == 0 {
		s.budget.RecordRequest(now)
	}
	s.attempts[t.id] = t
	ticket := admission.Ticket{ID: t.id, Tenant: t.job.Tenant, TenantRate: t.job.TenantRate, Weight: t.job.Weight, Kind: t.job.Statement, Deadline: t.deadline}
	if s.options.StartShare > 0 {
		ticket.LatestStart = now.Add(time.Duration(s.options.StartShare * float64(t.job.Timeout)))
	}
	d := s.policy.Offer(now, ticket)
	for _, r := range d.Evicted {
		s.refuse(now, s.attempts[r.ID], r.Outcome)
	}
	switch d.Verdict {
	case admission.Admitted:
		s.start(now, t)
	case admission.Refused:
		s.refuse(now, t, d.Outcome)
	}
}

// start begins the service of an admitted attempt.
func (s *simulation) start(now time.Time, t *attempt) {
	t.started = now
	t.result.Served, t.result.Wait = true, now.Sub(t.arrived)
	heap.Push(&s.events, event{at: now.Add(t.job.ServiceTime), attempt: t, isEnd: true})
}

// finish scores an attempt at the end of its service and releases its slot.
func (s *simulation) finish(now time.Time, t *attempt) {
	delete(s.attempts, t.id)
	t.result.Latency = now.Sub(t.arrived)
	inTime := !now.After(t.deadline)
	switch {
	case !inTime:
		s.score.Late++
	case t.delayedRetries > 0:
		s.score.DelayedRetriesInTime++
	default:
		s.score.InTime += float64(t.job.Weight)
	}
	s.apply(now, s.policy.Release(now, t.job.Tenant, t.job.Statement, now.Sub(t.started)))
}

// apply refuses and starts the attempts that a change of the policy names.
func (s *simulation) apply(now time.Time, c admission.Change) {
	for _, r := range c.Refused {
		s.refuse(now, s.attempts[r.ID], r.Outcome)
	}
	for _, id := range c.Admitted {
		s.start(now, s.attempts[id])
	}
}

// refuse removes a refused attempt and schedules its retry, if the options allow one.
// Immediate retries come before delayed ones, after a random delay below 5 ms.
func (s *simulation) refuse(now time.Time, t *attempt, o outcome.Outcome) {
	*t.result = Result{Wait: now.Sub(t.arrived), Reason: o.Reason}
	delete(s.attempts, t.id)
	if t.immediateRetries == 0 && t.delayedRetries == 0 {
		s.score.Refused++
	}
	if t.immediateRetries < s.options.ImmediateRetries && (!s.options.RetryBudget || s.budget.AllowRetry(now)) {
		s.score.ImmediateRetries++
		delay := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
		s.scheduleArrival(now.Add(delay), t.job, t.result, t.immediateRetries+1, t.delayedRetries)
		return
	}
	if t.delayedRetries < s.options.DelayedRetries && o.RetryAfter > 0 {
		s.score.DelayedRetries++
		s.scheduleArrival(now.Add(o.RetryAfter), t.job, t.result, 0, t.delayedRetries+1)
	}
}

// eventHeap orders events by time, and by attempt at the same time so that a run is
// deterministic.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].attempt.id < h[j].attempt.id
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
