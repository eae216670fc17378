package intime

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
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
	Seed        uint64
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
	immediateRetries int
	delayedRetries   int
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
	for i := range jobs {
		s.score.Weight += float64(jobs[i].Weight)
		s.scheduleArrival(epoch.Add(jobs[i].Arrival), &jobs[i], 0, 0)
	}
	for len(s.events) > 0 {
		s.step()
	}
	return s.score
}

// scheduleArrival schedules an attempt. An immediate retry keeps the deadline of the job;
// a delayed retry gets a new one.
func (s *simulation) scheduleArrival(at time.Time, job *Job, immediateRetries, delayedRetries int) {
	s.nextID++
	t := &attempt{id: s.nextID, job: job, immediateRetries: immediateRetries, delayedRetries: delayedRetries, deadline: at.Add(job.Timeout)}
	if immediateRetries > 0 {
		t.deadline = epoch.Add(job.Deadline())
	}
	heap.Push(&s.events, event{at: at, attempt: t})
}

// step processes the next expiry of the policy or the next event, whichever is earlier.
func (s *simulation) step() {
	now := s.events[0].at
	if expiry, ok := s.policy.NextExpiry(); ok && expiry.Before(now) {
		s.apply(expiry.Add(1), s.policy.Expire(expiry.Add(1)))
		return
	}
	e := heap.Pop(&s.events).(event)
	if e.isEnd {
		s.finish(e.at, e.attempt)
		return
	}
	s.offer(e.at, e.attempt)
}

// offer offers an attempt to the policy and applies the decision.
func (s *simulation) offer(now time.Time, t *attempt) {
	if t.immediateRetries == 0 {
		s.budget.RecordRequest(now)
	}
	s.attempts[t.id] = t
	d := s.policy.Offer(now, admission.Ticket{ID: t.id, Weight: t.job.Weight, Kind: t.job.Statement, Deadline: t.deadline})
	for _, r := range d.Evicted {
		s.refuse(now, s.attempts[r.ID], r.Outcome.RetryAfter)
	}
	switch d.Verdict {
	case admission.Admitted:
		s.start(now, t)
	case admission.Refused:
		s.refuse(now, t, d.Outcome.RetryAfter)
	}
}

// start begins the service of an admitted attempt.
func (s *simulation) start(now time.Time, t *attempt) {
	t.started = now
	heap.Push(&s.events, event{at: now.Add(t.job.ServiceTime), attempt: t, isEnd: true})
}

// finish scores an attempt at the end of its service and releases its slot.
func (s *simulation) finish(now time.Time, t *attempt) {
	delete(s.attempts, t.id)
	inTime := !now.After(t.deadline)
	switch {
	case !inTime:
		s.score.Late++
	case t.delayedRetries > 0:
		s.score.DelayedRetriesInTime++
	default:
		s.score.InTime += float64(t.job.Weight)
	}
	s.apply(now, s.policy.Release(now, t.job.Statement, now.Sub(t.started)))
}

// apply refuses and starts the attempts that a change of the policy names.
func (s *simulation) apply(now time.Time, c admission.Change) {
	for _, r := range c.Refused {
		s.refuse(now, s.attempts[r.ID], r.Outcome.RetryAfter)
	}
	for _, id := range c.Admitted {
		s.start(now, s.attempts[id])
	}
}

// refuse removes a refused attempt and schedules its retry, if the options allow one.
// Immediate retries come before delayed ones, after a random delay below 5 ms.
func (s *simulation) refuse(now time.Time, t *attempt, retryAfter time.Duration) {
	delete(s.attempts, t.id)
	if t.immediateRetries == 0 && t.delayedRetries == 0 {
		s.score.Refused++
	}
	if t.immediateRetries < s.options.ImmediateRetries && (!s.options.RetryBudget || s.budget.AllowRetry(now)) {
		s.score.ImmediateRetries++
		delay := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
		s.scheduleArrival(now.Add(delay), t.job, t.immediateRetries+1, t.delayedRetries)
		return
	}
	if t.delayedRetries < s.options.DelayedRetries && retryAfter > 0 {
		s.score.DelayedRetries++
		s.scheduleArrival(now.Add(retryAfter), t.job, 0, t.delayedRetries+1)
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
