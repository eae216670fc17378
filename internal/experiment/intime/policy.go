package intime

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/admission"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Policy is a queue before slots. admission.Queue is one.
type Policy interface {
	Offer(now time.Time, t admission.Ticket) admission.Decision
	Release(now time.Time, kind string, held time.Duration) admission.Change
	Expire(now time.Time) admission.Change
	NextExpiry() (time.Time, bool)
}

// PolicyName names a policy that can be compared.
type PolicyName string

// The policies that are compared.
const (
	// FIFO serves in order of arrival and refuses when a long queue is full.
	FIFO PolicyName = "fifo"
	// Adaptive serves in order of arrival with a queue limit that grows slowly
	// while requests end in time and halves when one does not.
	AdaptiveLimit PolicyName = "adaptive-limit"
	// Deadline is admission.Queue with all weights equal.
	UnweightedDeadline PolicyName = "deadline"
	// Unnamed is admission.Queue that is not told the statements.
	StatementUnknown PolicyName = "statement-unknown"
	// WeightedDeadline is admission.Queue.
	WeightedDeadline PolicyName = "weighted-deadline"
)

// Policies lists the policies that are compared.
func Policies() []PolicyName {
	return []PolicyName{FIFO, AdaptiveLimit, UnweightedDeadline, StatementUnknown, WeightedDeadline}
}

// longQueue is the bound of the FIFO queue.
const longQueue = 256

func newPolicy(name PolicyName, slots int) Policy {
	config := admission.Config{Slots: slots}
	switch name {
	case FIFO:
		return &fifo{slots: slots, limit: longQueue}
	case AdaptiveLimit:
		return &fifo{slots: slots, limit: float64(slots), adaptive: true}
	case UnweightedDeadline:
		return unweighted{admission.NewQueue(config)}
	case StatementUnknown:
		return unnamed{admission.NewQueue(config)}
	default:
		return admission.NewQueue(config)
	}
}

// unweighted hides the weights from a queue.
type unweighted struct {
	*admission.Queue
}

func (u unweighted) Offer(now time.Time, t admission.Ticket) admission.Decision {
	t.Weight = 1
	return u.Queue.Offer(now, t)
}

// unnamed hides the statements from a queue.
type unnamed struct {
	*admission.Queue
}

func (u unnamed) Offer(now time.Time, t admission.Ticket) admission.Decision {
	t.Kind = ""
	return u.Queue.Offer(now, t)
}

func (u unnamed) Release(now time.Time, _ string, held time.Duration) admission.Change {
	return u.Queue.Release(now, "", held)
}

// fifo serves in order of arrival.
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

// Release lets the next ticket run. The order of release does not matter to the
// limit, so the oldest running ticket stands for the released one.
func (f *fifo) Release(now time.Time, _ string, _ time.Duration) admission.Change {
	f.adapt(now, f.running[0])
	f.running = f.running[1:]
	if len(f.queue) == 0 {
		return admission.Change{}
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	f.running = append(f.running, next)
	return admission.Change{Admitted: []admission.ID{next.ID}}
}

func (f *fifo) adapt(now time.Time, t admission.Ticket) {
	if !f.adaptive {
		return
	}
	if now.After(t.Deadline) {
		f.limit = max(f.limit/2, 1)
		return
	}
	f.limit = min(f.limit+0.1, longQueue)
}

func (f *fifo) Expire(time.Time) admission.Change {
	return admission.Change{}
}

func (f *fifo) NextExpiry() (time.Time, bool) {
	return time.Time{}, false
}
