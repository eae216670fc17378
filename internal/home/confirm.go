package home

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// abandonDeposed ends the exchanges that wait for a primary that was replaced
// and does not answer.
func (d *database) abandonDeposed() {
	s := d.state.Load()
	for _, i := range d.members.Load().byName {
		i.abandon(func(l *lease) bool { return l.deposed(s) })
	}
}

// moveWaiting sends the requests that wait for a slot of the old primary to the
// new one; d.mu is held.
func (d *database) moveWaiting(old, next group.Primary) {
	i := d.members.Load().byName[old.Name]
	if i != nil && old.Name != next.Name {
		i.gate.drain(outcome.PrimaryChanged)
	}
}

// confirm waits until the group has decided on a batch. An error means that the
// context ended first.
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

// ageOf returns the time since a position was confirmed, as far as is known.
func (d *database) ageOf(p position.Position) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmer.ConfirmationAge(p, time.Now())
}

// noteReply enters the status read behind a batch on a replica.
func (d *database) noteReply(o group.Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired {
		return
	}
	d.view.Observe(o)
	d.deliver(d.confirmer.Observe(o))
	if o.CallEnded.Sub(d.state.Load().at) >= publishPause {
		d.publish()
	}
}

// addBatch enters a batch. The channel is nil if the decision was made at once.
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
	d.settleDue()
	return decision, wait
}
