package group

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// BatchID names a waiting batch. The runtime chooses it.
type BatchID uint64

// Batch is a batch that a target answered and that waits to be confirmed.
type Batch struct {
	ID BatchID
	// Term is the term in which the instance was known to be primary (or to have
	// joined, for a read on a replica) by a status received before the batch was
	// sent. If the instance left that term, even to lead a later one, the batch
	// is not confirmed.
	Term position.Term
	// Started is when the batch was sent.
	Started time.Time
	// Ended is when the status behind the batch arrived.
	Ended time.Time
	// StatusAfter is the status read behind the batch on the same connection.
	StatusAfter target.Status
}

// Decision is the verdict on one batch. Verdict is Confirmed or Deposed.
type Decision struct {
	ID      BatchID
	Verdict Verdict
	// Position is the confirmed position that the session has now seen.
	Position position.Position
}

// waiting is a batch with its tally.
type waiting struct {
	batch Batch
	tally tally
}

// ask is what the confirmer knows of its status calls to one member.
type ask struct {
	inFlight bool
	// last is when the latest call started.
	last time.Time
}

// DefaultPollInterval is the pause between two status calls to an instance that has
// not caught up with the batches that wait.
const DefaultPollInterval = 2 * time.Millisecond

// Confirmer applies the acknowledgement rule to the batches of one group. One
// status call serves all batches that had ended when it started.
//
// The runtime calls Add for each batch, carries out the calls that Due returns,
// and enters each answer by Observe or Failed. Heartbeat statuses are entered by
// Observe as well.
type Confirmer struct {
	electorate Electorate
	rules      *rules
	pause      time.Duration
	waiting    []waiting
	asks       []ask
	fine       marks
	coarse     marks
	replicas   statuses
	lags       []time.Duration
	decided    []Decision
}

// NewConfirmer returns a confirmer for the electorate. A pause of zero means
// DefaultAskPause.
func NewConfirmer(e Electorate, pause time.Duration) *Confirmer {
	if pause == 0 {
		pause = DefaultPollInterval
	}
	return &Confirmer{
		electorate: e,
		rules:      &safeRules,
		pause:      pause,
		asks:       make([]ask, len(e)),
		fine:       marks{spacing: fineSpacing},
		coarse:     marks{spacing: coarseSpacing},
		replicas:   newStatuses(e),
		lags:       make([]time.Duration, len(e)),
	}
}

// Add enters a batch. The decision is final if its verdict is not Waiting, and
// the batch is then not kept. The heartbeat status of the primary is entered as
// a batch too, with its own call as Started and Ended: the ages of the replicas
// are derived from it.
func (c *Confirmer) Add(b Batch) Decision {
	member := c.electorate.Index(b.StatusAfter.Target)
	if member < 0 || b.StatusAfter.Joined != b.Term || b.StatusAfter.Last.Term != b.Term {
		return Decision{ID: b.ID, Verdict: Deposed}
	}
	w := waiting{batch: b, tally: tally{position: b.StatusAfter.Last}}
	c.replicas.observe(Observation{Status: b.StatusAfter, CallStarted: b.Started, CallEnded: b.Ended})
	w.tally.add(c.rules, member, b.StatusAfter)
	if !w.tally.seen.has(member) {
		return Decision{ID: b.ID, Verdict: Deposed}
	}
	if d := c.decide(&w); d.Verdict != Waiting {
		return d
	}
	c.waiting = append(c.waiting, w)
	return Decision{ID: b.ID, Verdict: Waiting}
}

// Remove drops a batch that nobody waits for any more.
func (c *Confirmer) Remove(id BatchID) {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if w.batch.ID != id {
			kept = append(kept, w)
		}
	}
	c.waiting = kept
}

// WaitingCount returns how many batches wait.
func (c *Confirmer) WaitingCount() int {
	return len(c.waiting)
}

// Observe enters a status and returns the batches that it decides. The slice is
// valid until the next call.
func (c *Confirmer) Observe(o Observation) []Decision {
	c.decided = c.decided[:0]
	member, _ := c.replicas.observe(o)
	if member < 0 {
		return nil
	}
	c.learnLag(member, o)
	if !c.asks[member].last.After(o.CallStarted) {
		c.asks[member].inFlight = false
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

// CallFailed says that a call which Due had returned gave no status.
func (c *Confirmer) CallFailed(name string) {
	if i := c.electorate.Index(name); i >= 0 {
		c.asks[i].inFlight = false
	}
}

// decide judges one batch, and keeps its position if it is confirmed.
func (c *Confirmer) decide(w *waiting) Decision {
	d := Decision{ID: w.batch.ID, Verdict: w.tally.verdict(len(c.electorate))}
	if d.Verdict == Confirmed {
		d.Position = w.tally.position
		if w.batch.StatusAfter.Primary {
			m := mark{at: w.batch.Started, position: d.Position}
			c.fine.add(m)
			c.coarse.add(m)
		}
	}
	return d
}

// DueCalls returns the instances to ask for their status now, and when to call DueCalls
// again if none of them answers before; that time is zero if nothing waits. Each
// name is counted as being asked until Observe or Failed is called for it, and
// Asked of its observation must not be before now.
func (c *Confirmer) DueCalls(now time.Time) ([]string, time.Time) {
	var names []string
	var next time.Time
	for i, name := range c.electorate {
		if c.asks[i].inFlight || !c.needs(i) {
			continue
		}
		at := c.asks[i].last.Add(c.pause)
		if c.fresh(i) || !at.After(now) {
			c.asks[i] = ask{inFlight: true, last: now}
			names = append(names, name)
			continue
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return names, next
}

// needs reports whether a status of the member could decide a waiting batch.
func (c *Confirmer) needs(member int) bool {
	for i := range c.waiting {
		t := &c.waiting[i].tally
		if !t.seen.has(member) && !t.fenced.has(member) {
			return true
		}
	}
	return false
}

// fresh reports whether a batch waits that ended after the latest call to the
// member had started, so that asking again at once is of use.
func (c *Confirmer) fresh(member int) bool {
	for i := range c.waiting {
		w := &c.waiting[i]
		if !w.tally.seen.has(member) && c.asks[member].last.Before(w.batch.Ended) {
			return true
		}
	}
	return false
}
