package backend

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Confirmation is the result of checking that a primary was the leader when it answered.
type Confirmation uint8

// Results of a confirmation.
const (
	// Confirmed means that the primary was the leader when it answered.
	Confirmed Confirmation = iota
	// Deposed means that a term higher than that of the primary was found.
	Deposed
	// Unconfirmed means that the store did not answer in time, and neither did all of the
	// replicas.
	Unconfirmed
	// Isolated means that neither the store nor any replica answered in time.
	Isolated
)

// statusRoundTimeout bounds one round of status queries: two round trips between regions
// and the wait for the slots of slow targets.
const statusRoundTimeout = 800 * time.Millisecond

// confirmer queries the replicas for a term higher than that of the primary. One round of
// queries serves every answer that was received before the round started.
type confirmer struct {
	group *Group

	mu      sync.Mutex
	running bool   // guarded by mu
	next    *round // guarded by mu; starts when the running round ends
}

// round is one round of status queries about one primary. Its results may be read once
// done is closed.
type round struct {
	primary *Target
	done    chan struct{}
	// observed has one observation for each replica that was queried.
	observed []leadership.Observation
	// answered is the number of replicas that answered.
	answered int
}

// Confirm checks whether the answer that the primary l gave before the call is valid: by
// the primary lease, or else by querying the replicas, for which it waits.
func (g *Group) Confirm(l *LeaderView) Confirmation {
	if g.KnownTerm() > l.Term {
		g.InvalidateLeader(l)
		return Deposed
	}
	c := g.confirm(l)
	g.confirmTracker.record(c, boottime.Now())
	return c
}

// confirm does the check of Confirm without comparing the known term first and without
// recording the result.
func (g *Group) confirm(l *LeaderView) Confirmation {
	if g.PrimaryLease.Check(g.Name, l.Term) == primarylease.Allowed {
		return Confirmed
	}
	if !g.listComplete() {
		countConfirmation("nobody")
		return Unconfirmed
	}
	countConfirmation("replicas")
	r := g.confirmer.joinRound(l.Target)
	<-r.done
	g.ObserveTerm(leadership.HighestTerm(r.observed))
	recorded := g.observeLastCall(l, r.observed)
	switch {
	case g.KnownTerm() > l.Term:
		g.InvalidateLeader(l)
		return Deposed
	case len(r.observed) > 0 && r.answered == 0:
		return Isolated
	case len(r.observed) == 0 || r.answered < len(r.observed) || !recorded:
		return Unconfirmed
	default:
		return Confirmed
	}
}

// observeLastCall takes into account that a target may have been promoted that is not listed
// any more, of which the replicas in observed may know nothing: it records the term to which
// the last promote call may have led, unless the called target is listed. It reports false if
// the record of the calls was read before a target left the list, or never: then the target
// may have been called since.
func (g *Group) observeLastCall(l *LeaderView, observed []leadership.Observation) bool {
	record := g.PrimaryLease.Newest()
	if record == nil || record.ReadStart < time.Duration(g.targetLostAt.Load()) {
		return false
	}
	call, known := record.LastCall(g.Name)
	if !known || call.Term <= l.Term {
		return true
	}
	answered := leadership.Observation{ID: l.ID, Reached: true, Status: query.TargetStatus{Term: l.Term}}
	present := call.PresentTerm(append(slices.Clone(observed), answered))
	if present < call.Term || g.FindTarget(call.Target) == nil {
		g.ObserveTerm(present)
	}
	return true
}

// countConfirmation counts an answer that the primary lease did not confirm, by what is
// asked instead: "replicas", or "nobody" if the list of targets may be incomplete.
func countConfirmation(by string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_confirmations_total{by=%q}`, by)).Inc()
}

// joinRound returns the next round about a primary, and starts the rounds if none is
// running.
func (c *confirmer) joinRound(primary *Target) *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil || c.next.primary != primary {
		// Concurrent rounds about two primaries are rare; the second one runs on its own.
		r := &round{primary: primary, done: make(chan struct{})}
		if c.next != nil {
			go c.queryReplicas(r)
			return r
		}
		c.next = r
	}
	r := c.next
	if !c.running {
		c.running = true
		go c.run()
	}
	return r
}

// run runs queued rounds one after the other until none is left.
func (c *confirmer) run() {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		if r == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.queryReplicas(r)
	}
}

// queryReplicas queries every target except the primary and closes r.done. A target is
// held before it is promoted and reports the hold or its new term from then on, so a
// target that does not answer may be the promoted one.
func (c *confirmer) queryReplicas(r *round) {
	ctx, cancel := context.WithTimeout(context.Background(), statusRoundTimeout)
	defer cancel()
	var replicas []*Target
	for _, t := range c.group.Targets() {
		if t != r.primary {
			replicas = append(replicas, t)
		}
	}
	r.observed = make([]leadership.Observation, len(replicas))
	var wg sync.WaitGroup
	for i, t := range replicas {
		wg.Go(func() { r.observed[i] = observeTarget(ctx, t, query.Statement{Kind: query.Status}) })
	}
	wg.Wait()
	for _, o := range r.observed {
		if o.Reached {
			r.answered++
		}
	}
	close(r.done)
}
