package intime

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
)

// Options of one simulated run.
type Options struct {
	Policy PolicyName
	Slots  int
	// Returns is how often a refused caller comes back after the time it was
	// told.
	DelayedRetries int
	// ImpatientRetries makes a refused caller repeat at once up to so often,
	// whatever it was told.
	ImmediateRetries int
	// Budget bounds the impatient retries by an admission.RetryBudget.
	RetryBudget bool
	Seed        uint64
}

// Score is the result of one run.
type Score struct {
	// InTime is the weight served by its deadline on the first try.
	InTime float64
	// Weight is the weight of all requests.
	Weight float64
	// Late counts requests that were served after their deadline.
	Late int
	// Refused counts first tries that were refused.
	Refused int
	// Returned counts callers that came back as told, and ReturnedServed those
	// of them that were then served in time.
	DelayedRetries       int
	DelayedRetriesInTime int
	// Retries counts impatient retries.
	ImmediateRetries int
}

// event is an arrival or the end of a service.
type event struct {
	at  time.Time
	try *try
	end bool
}

// try is one attempt of a job.
type try struct {
	id       admission.ID
	job      *Job
	attempt  int
	returned int
	deadline time.Time
	started  time.Time
}

type simulation struct {
	options Options
	policy  Policy
	budget  *admission.RetryBudget
	rng     *rand.Rand
	events  eventHeap
	tries   map[admission.ID]*try
	nextID  admission.ID
	score   Score
}

var epoch = time.Unix(1_000_000, 0)

// Run simulates the jobs under one policy.
func Run(jobs []Job, o Options) Score {
	s := &simulation{
		options: o,
		policy:  newPolicy(o.Policy, o.Slots),
		budget:  admission.NewRetryBudget(epoch),
		rng:     rand.New(rand.NewPCG(o.Seed, 2)),
		tries:   map[admission.ID]*try{},
	}
	for i := range jobs {
		s.score.Weight += float64(jobs[i].Weight)
		s.arrive(epoch.Add(jobs[i].Arrival), &jobs[i], 0, 0)
	}
	for len(s.events) > 0 {
		s.step()
	}
	return s.score
}

func (s *simulation) arrive(at time.Time, job *Job, attempt, returned int) {
	s.nextID++
	t := &try{id: s.nextID, job: job, attempt: attempt, returned: returned, deadline: at.Add(job.Timeout)}
	if attempt > 0 {
		t.deadline = epoch.Add(job.Deadline())
	}
	heap.Push(&s.events, event{at: at, try: t})
}

func (s *simulation) step() {
	now := s.events[0].at
	if expiry, ok := s.policy.NextExpiry(); ok && expiry.Before(now) {
		s.apply(expiry.Add(1), s.policy.Expire(expiry.Add(1)))
		return
	}
	e := heap.Pop(&s.events).(event)
	if e.end {
		s.finish(e.at, e.try)
		return
	}
	s.offer(e.at, e.try)
}

func (s *simulation) offer(now time.Time, t *try) {
	if t.attempt == 0 {
		s.budget.RecordRequest(now)
	}
	s.tries[t.id] = t
	d := s.policy.Offer(now, admission.Ticket{ID: t.id, Weight: t.job.Weight, Kind: t.job.Statement, Deadline: t.deadline})
	for _, r := range d.Evicted {
		s.refuse(now, s.tries[r.ID], r.Outcome.RetryAfter)
	}
	switch d.Verdict {
	case admission.Admitted:
		s.start(now, t)
	case admission.Refused:
		s.refuse(now, t, d.Outcome.RetryAfter)
	}
}

func (s *simulation) start(now time.Time, t *try) {
	t.started = now
	heap.Push(&s.events, event{at: now.Add(t.job.ServiceTime), try: t, end: true})
}

func (s *simulation) finish(now time.Time, t *try) {
	delete(s.tries, t.id)
	inTime := !now.After(t.deadline)
	switch {
	case !inTime:
		s.score.Late++
	case t.returned > 0:
		s.score.DelayedRetriesInTime++
	default:
		s.score.InTime += float64(t.job.Weight)
	}
	s.apply(now, s.policy.Release(now, t.job.Statement, now.Sub(t.started)))
}

func (s *simulation) apply(now time.Time, c admission.Change) {
	for _, r := range c.Refused {
		s.refuse(now, s.tries[r.ID], r.Outcome.RetryAfter)
	}
	for _, id := range c.Admitted {
		s.start(now, s.tries[id])
	}
}

func (s *simulation) refuse(now time.Time, t *try, retryAfter time.Duration) {
	delete(s.tries, t.id)
	if t.attempt == 0 && t.returned == 0 {
		s.score.Refused++
	}
	if t.attempt < s.options.ImmediateRetries && (!s.options.RetryBudget || s.budget.AllowRetry(now)) {
		s.score.ImmediateRetries++
		pause := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
		s.arrive(now.Add(pause), t.job, t.attempt+1, t.returned)
		return
	}
	if t.returned < s.options.DelayedRetries && retryAfter > 0 {
		s.score.DelayedRetries++
		s.arrive(now.Add(retryAfter), t.job, 0, t.returned+1)
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].try.id < h[j].try.id
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
