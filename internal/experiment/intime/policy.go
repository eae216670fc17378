package intime

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Policy decides which requests get a slot. admission.Queue implements it.
type Policy interface {
	Offer(now time.Time, t admission.Ticket) admission.Decision
	Release(now time.Time, tenant, kind string, held time.Duration) admission.Change
	Expire(now time.Time) admission.Change
	NextExpiry() (time.Time, bool)
}

// PolicyName identifies a policy in options and tables.
type PolicyName string

// Compared policies.
const (
	// FIFO serves requests in order of arrival and refuses those that find
	// maxQueueLength requests in the queue.
	FIFO PolicyName = "fifo"
	// AdaptiveLimit serves requests in order of arrival. Its queue limit grows slowly
	// while requests end in time and is halved when one does not.
	AdaptiveLimit PolicyName = "adaptive-limit"
	// UnweightedDeadline is admission.Queue with the same weight for all requests.
	UnweightedDeadline PolicyName = "deadline"
	// StatementUnknown is admission.Queue without knowledge of the statements, so that
	// it cannot estimate their service times separately.
	StatementUnknown PolicyName = "statement-unknown"
	// WeightedDeadline is admission.Queue as the proxy uses it.
	WeightedDeadline PolicyName = "weighted-deadline"
)

// Policies returns the compared policies in the order of the table columns.
func Policies() []PolicyName {
	return []PolicyName{FIFO, AdaptiveLimit, UnweightedDeadline, StatementUnknown, WeightedDeadline}
}

// maxQueueLength is the maximum length, in requests, of the queues in order of arrival.
const maxQueueLength = 256

// newPolicy returns a policy with the given number of slots.
func newPolicy(name PolicyName, slots int) Policy {
	config := admission.Config{Slots: slots}
	switch name {
	case FIFO:
		return &fifo{slots: slots, limit: maxQueueLength}
	case AdaptiveLimit:
		return &fifo{slots: slots, limit: float64(slots), adaptive: true}
	case UnweightedDeadline:
		return withoutWeight{admission.NewQueue(config)}
	case StatementUnknown:
		return withoutStatement{admission.NewQueue(config)}
	default:
		return admission.NewQueue(config)
	}
}

// withoutWeight wraps a queue and offers every request with weight 1.
type withoutWeight struct {
	*admission.Queue
}

func (u withoutWeight) Offer(now time.Time, t admission.Ticket) admission.Decision {
	t.Weight = 1
	return u.Queue.Offer(now, t)
}

// withoutStatement wraps a queue and offers every request without its statement.
type withoutStatement struct {
	*admission.Queue
}

func (u withoutStatement) Offer(now time.Time, t admission.Ticket) admission.Decision {
	t.Kind = ""
	return u.Queue.Offer(now, t)
}

func (u withoutStatement) Release(now time.Time, tenant, _ string, held time.Duration) admission.Change {
	return u.Queue.Release(now, tenant, "", held)
}

// fifo serves requests in order of arrival. If adaptive is set, limit follows the
// deadlines that are met and missed.
type fifo struct {
	slots    int
	running  []admission.Ticket
	queue    []admission.Ticket
	limit    float64
	adaptive bool
}

func (f *fifo) Offer(_ time.Time, t admission.Ticket) admission.Decision {
	if len(f.running) < f.slots {
		f.running = append(f.running, t)
		return admission.Decision{Verdict: admission.Admitted}
	}
	if float64(len(f.queue)) >= f.limit {
		return admission.Decision{
			Verdict: admission.Refused,
			Outcome: outcome.Refuse(outcome.QueueFull, 100*time.Millisecond, "the queue is full"),
		}
	}
	f.queue = append(f.queue, t)
	return admission.Decision{Verdict: admission.Queued}
}

// Release admits the next queued ticket. The order of release does not matter for the
// limit, so the oldest running ticket is released in place of the one that ended.
func (f *fifo) Release(now time.Time, _, _ string, _ time.Duration) admission.Change {
	f.adjustLimit(now, f.running[0])
	f.running = f.running[1:]
	if len(f.queue) == 0 {
		return admission.Change{}
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	f.running = append(f.running, next)
	return admission.Change{Admitted: []admission.ID{next.ID}}
}

// adjustLimit updates the queue limit when a ticket ends, by additive increase and
// multiplicative decrease.
func (f *fifo) adjustLimit(now time.Time, t admission.Ticket) {
	if !f.adaptive {
		return
	}
	if now.After(t.Deadline) {
		f.limit = max(f.limit/2, 1)
		return
	}
	f.limit = min(f.limit+0.1, maxQueueLength)
}

func (f *fifo) Expire(time.Time) admission.Change {
	return admission.Change{}
}

func (f *fifo) NextExpiry() (time.Time, bool) {
	return time.Time{}, false
}
