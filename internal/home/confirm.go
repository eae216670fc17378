package home

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// abortDeposed aborts the exchanges that still wait for a primary that was replaced.
func (d *database) abortDeposed() {
	s := d.state.Load()
	for _, i := range d.members.Load().byName {
		i.abortLeases(func(l *lease) bool { return l.isDeposed(s) })
	}
}

// redirectWaiting refuses the requests that wait for a slot of the old primary, so that
// they are routed to the new one; d.mu is held.
func (d *database) redirectWaiting(old, next group.Primary) {
	i := d.members.Load().byName[old.Name]
	if i != nil && old.Name != next.Name {
		i.gate.drain(outcome.PrimaryChanged)
	}
}

// confirm waits until the group has decided on a batch. It returns an error if ctx ends
// first.
func (d *database) confirm(ctx context.Context, b group.Batch) (group.Decision, error) {
	decision, wait := d.addBatch(&b)
	if wait == nil {
		return decision, nil
	}
	select {
	case decision := <-wait:
		return decision, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case decision := <-wait:
		return decision, nil
	default:
	}
	delete(d.waiters, b.ID)
	d.confirmer.Remove(b.ID)
	return group.Decision{}, fmt.Errorf("batch in term %d was not confirmed: %w", b.Term, ctx.Err())
}

// positionAge returns the time since a position was confirmed; zero if that is not known.
func (d *database) positionAge(p position.Position) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmer.ConfirmationAge(p, time.Now())
}

// recordReplicaStatus applies the status that was read after a batch on a replica.
func (d *database) recordReplicaStatus(o group.Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired {
		return
	}
	d.view.Observe(o)
	d.deliverDecisions(d.confirmer.Observe(o))
	if o.CallEnded.Sub(d.state.Load().takenAt) >= minPublishInterval {
		d.publishState()
	}
}

// addBatch adds a batch to the confirmer. The channel is nil if the decision was made at
// once.
func (d *database) addBatch(b *group.Batch) (group.Decision, chan group.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.ID = d.nextBatch()
	decision := d.confirmer.Add(*b)
	d.view.Observe(group.Observation{Status: b.StatusAfter, CallStarted: b.Started, CallEnded: b.Ended})
	if decision.Verdict != group.Waiting {
		return decision, nil
	}
	wait := make(chan group.Decision, 1)
	d.waiters[b.ID] = wait
	d.probeDue()
	return decision, wait
}
