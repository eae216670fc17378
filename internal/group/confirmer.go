package group

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// BatchID identifies a waiting batch. The runtime assigns it.
type BatchID uint64

// Batch is a batch that a target has answered and that awaits confirmation.
type Batch struct {
	ID BatchID
	// Term is the term in which the instance was primary (or, for a read on a
	// replica, which it had joined) according to a status received before the batch
	// was sent. If the instance has left that term, even to lead a later one, the
	// batch is not confirmed.
	Term position.Term
	// Started is when the batch was sent.
	Started time.Time
	// Ended is when StatusAfter was received.
	Ended time.Time
	// StatusAfter is the status read after the batch on the same connection.
	StatusAfter target.Status
}

// Decision is the verdict on one batch. Only Add returns a Decision with the verdict
// Waiting.
type Decision struct {
	ID      BatchID
	Verdict Verdict
	// Position is the confirmed position that the session has now observed. It is
	// zero if the verdict is not Confirmed.
	Position position.Position
}

// waitingBatch is an unconfirmed batch with its tally.
type waitingBatch struct {
	batch Batch
	tally tally
}

// statusCall is the state of the status calls to one member.
type statusCall struct {
	inFlight bool
	// lastStarted is when the latest call started.
	lastStarted time.Time
}

// DefaultPollInterval is the minimum time between two status calls to an instance
// that has not caught up with the waiting batches.
const DefaultPollInterval = 2 * time.Millisecond

// Confirmer confirms the batches of one group by majority acknowledgement. A status
// call serves all batches that had ended when it started.
//
// The runtime calls Add for each batch, makes the status calls that DueCalls returns,
// and reports each outcome to Observe or CallFailed. Statuses from heartbeats are also
// passed to Observe.
type Confirmer struct {
	electorate       Electorate
	rules            *rules
	pollInterval     time.Duration
	waiting          []waitingBatch
	statusCalls      []statusCall
	fineWatermarks   watermarks
	coarseWatermarks watermarks
	statuses         statusTable
	lags             []time.Duration
	decided          []Decision
}

// NewConfirmer returns a Confirmer for the electorate. A pollInterval of zero means
// DefaultPollInterval.
func NewConfirmer(e Electorate, pollInterval time.Duration) *Confirmer {
	if pollInterval == 0 {
		pollInterval = DefaultPollInterval
	}
	return &Confirmer{
		electorate:       e,
		rules:            &safeRules,
		pollInterval:     pollInterval,
		statusCalls:      make([]statusCall, len(e)),
		fineWatermarks:   watermarks{spacing: fineSpacing},
		coarseWatermarks: watermarks{spacing: coarseSpacing},
		statuses:         newStatusTable(e),
		lags:             make([]time.Duration, len(e)),
	}
}

// Add adds a batch and returns its decision. If the verdict is Waiting, the batch is
// stored and decided by a later Observe; otherwise the decision is final. The runtime
// also adds each heartbeat status of the primary as a batch, with the times of the
// call as Started and Ended: the ages of the replicas are derived from these.
func (c *Confirmer) Add(b Batch) Decision {
	member := c.electorate.Index(b.StatusAfter.Target)
	if member < 0 || b.StatusAfter.Joined != b.Term || b.StatusAfter.Last.Term != b.Term {
		return Decision{ID: b.ID, Verdict: Deposed}
	}
	w := waitingBatch{batch: b, tally: tally{position: b.StatusAfter.Last}}
	c.statuses.observe(Observation{Status: b.StatusAfter, CallStarted: b.Started, CallEnded: b.Ended})
	w.tally.add(c.rules, member, b.StatusAfter)
	if !w.tally.acknowledged.has(member) {
		return Decision{ID: b.ID, Verdict: Deposed}
	}
	if d := c.decide(&w); d.Verdict != Waiting {
		return d
	}
	c.waiting = append(c.waiting, w)
	return Decision{ID: b.ID, Verdict: Waiting}
}

// Remove drops a waiting batch whose decision is no longer needed.
func (c *Confirmer) Remove(id BatchID) {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if w.batch.ID != id {
			kept = append(kept, w)
		}
	}
	c.waiting = kept
}

// WaitingCount returns the number of waiting batches.
func (c *Confirmer) WaitingCount() int {
	return len(c.waiting)
}

// Observe records a status and returns the decisions on the batches that it decides.
// The slice is valid until the next call.
func (c *Confirmer) Observe(o Observation) []Decision {
	c.decided = c.decided[:0]
	member, _ := c.statuses.observe(o)
	if member < 0 {
		return nil
	}
	c.updateLag(member, o)
	if !c.statusCalls[member].lastStarted.After(o.CallStarted) {
		c.statusCalls[member].inFlight = false
	}
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if !o.CallStarted.Before(w.batch.Ended) {
			w.tally.add(c.rules, member, o.Status)
		}
		d := c.decide(&w)
		if d.Verdict == Waiting {
			kept = append(kept, w)
			continue
		}
		c.decided = append(c.decided, d)
	}
	c.waiting = kept
	return c.decided
}

// CallFailed records that a status call requested by DueCalls returned no status.
func (c *Confirmer) CallFailed(name string) {
	if i := c.electorate.Index(name); i >= 0 {
		c.statusCalls[i].inFlight = false
	}
}

// decide returns the decision on one batch. If the batch is confirmed on a primary,
// its position is recorded as a watermark.
func (c *Confirmer) decide(w *waitingBatch) Decision {
	d := Decision{ID: w.batch.ID, Verdict: w.tally.verdict(len(c.electorate))}
	if d.Verdict == Confirmed {
		d.Position = w.tally.position
		if w.batch.StatusAfter.Primary {
			mark := watermark{at: w.batch.Started, position: d.Position}
			c.fineWatermarks.add(mark)
			c.coarseWatermarks.add(mark)
		}
	}
	return d
}

// DueCalls returns the instances whose status must be read now, and the time of the
// next call to DueCalls if none of them answers before; zero if no later call is
// scheduled. Each returned name counts as in flight until Observe or CallFailed is
// called for it. CallStarted of its observation must not be before now.
func (c *Confirmer) DueCalls(now time.Time) ([]string, time.Time) {
	var names []string
	var next time.Time
	for i, name := range c.electorate {
		if c.statusCalls[i].inFlight || !c.needsStatus(i) {
			continue
		}
		at := c.statusCalls[i].lastStarted.Add(c.pollInterval)
		if c.hasNewBatch(i) || !at.After(now) {
			c.statusCalls[i] = statusCall{inFlight: true, lastStarted: now}
			names = append(names, name)
			continue
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return names, next
}

// needsStatus reports whether a status of the member could help to decide a waiting
// batch.
func (c *Confirmer) needsStatus(member int) bool {
	for i := range c.waiting {
		t := &c.waiting[i].tally
		if !t.acknowledged.has(member) && !t.fenced.has(member) {
			return true
		}
	}
	return false
}

// hasNewBatch reports whether a waiting batch ended after the latest call to the
// member started, so that an immediate call can acknowledge it.
func (c *Confirmer) hasNewBatch(member int) bool {
	for i := range c.waiting {
		w := &c.waiting[i]
		if !w.tally.acknowledged.has(member) && c.statusCalls[member].lastStarted.Before(w.batch.Ended) {
			return true
		}
	}
	return false
}
