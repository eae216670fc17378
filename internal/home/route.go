package home

import (
	"context"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/routing"
)

// Retry delays given to callers that are refused.
const (
	// noPrimaryRetryAfter is how long a failover usually takes.
	noPrimaryRetryAfter = 500 * time.Millisecond
	// rerunRetryAfter is the delay before a request that may be repeated at once.
	rerunRetryAfter = 10 * time.Millisecond
)

// primaryPollInterval is the pause between two checks of a primary that does not respond.
const primaryPollInterval = 20 * time.Millisecond

// maxAwaitingPrimary bounds the requests of a database that wait for a primary.
const maxAwaitingPrimary = 1024

// maxReplicaWaits bounds how often a read waits for a replica to catch up. After that, a
// replica that the read would have to wait for is excluded.
const maxReplicaWaits = 2

// inlineCandidates is the group size up to which routing allocates nothing.
const inlineCandidates = 8

// placement is the instance that runs a unit, and its role.
type placement struct {
	instance *instance
	// term is the term in which the instance was known, before anything was sent, to be
	// the primary or, for a replica, to have joined.
	term    position.Term
	replica bool
}

// awaitPrimary returns the primary of the open term. While there is no open primary, or
// it does not respond, or a hand-over blocks new writes, awaitPrimary waits for a change,
// for at most FailoverTimeout since the primary was lost.
func (u *unit) awaitPrimary(ctx context.Context) (placement, outcome.Outcome) {
	for first := true; ; first = false {
		s := u.database.state.Load()
		i := u.database.members.Load().byName[s.primary.Name]
		if i != nil && s.primary.Open && !s.writesStopped && i.isResponsive() {
			return placement{instance: i, term: s.primary.Term}, outcome.Outcome{}
		}
		if first {
			u.database.raiseAlarm()
			defer u.database.awaitingPrimary.Add(-1)
			if u.database.awaitingPrimary.Add(1) > maxAwaitingPrimary {
				return placement{}, outcome.Refuse(outcome.QueueFull, noPrimaryRetryAfter, "%d requests are already waiting for a primary of %s", maxAwaitingPrimary, u.database.key)
			}
		}
		if lost := u.timeWithoutPrimary(s, i); lost >= u.home.timings.FailoverTimeout {
			return placement{}, outcome.Refuse(outcome.NoPrimary, noPrimaryRetryAfter, "database %s has had no open primary for %s", u.database.key, lost.Round(time.Millisecond))
		}
		if o := u.waitForChange(ctx, s.changed, primaryPollInterval); !o.OK() {
			return placement{}, o
		}
	}
}

// timeWithoutPrimary returns how long the database has had no primary that responds.
func (u *unit) timeWithoutPrimary(s *state, primary *instance) time.Duration {
	now := time.Now()
	var lost time.Duration
	switch {
	case !s.ready:
		lost = now.Sub(u.database.createdAt)
	case !s.noPrimarySince.IsZero():
		lost = now.Sub(s.noPrimarySince)
	}
	if primary != nil {
		silence, _ := primary.silence(now)
		lost = max(lost, silence)
	}
	return lost
}

// waitForChange waits until changed is closed or d has passed.
func (u *unit) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) outcome.Outcome {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-u.canceled:
		return outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")
	case <-ctx.Done():
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the request timed out or was canceled before an instance was found")
	}
	return outcome.Outcome{}
}

// selectForRead returns the instance that runs a read. It skips the instances in exclude,
// which have failed the read before.
func (u *unit) selectForRead(ctx context.Context, exclude []string) (placement, outcome.Outcome) {
	if o := u.awaitFirstStatuses(ctx); !o.OK() {
		return placement{}, o
	}
	var buffer [inlineCandidates]routing.Candidate
	for waits := 0; ; waits++ {
		s, m := u.database.state.Load(), u.database.members.Load()
		// The age of the session is taken before those of the candidates: a pause between the
		// two must not make data look young enough that was confirmed before the session began.
		read := u.routingRead(m.byName[s.primary.Name])
		candidates := u.appendCandidates(buffer[:0], s, m, exclude)
		d := routing.Choose(&read, candidates)
		if d.Index < 0 {
			u.database.raiseAlarm()
			return placement{}, outcome.Refuse(d.Reason, noPrimaryRetryAfter, "no instance of %s can serve the read", u.database.key)
		}
		if d.Wait > 0 && !read.Seen.IsZero() {
			read.SeenAge = u.database.positionAge(read.Seen)
			d = routing.Choose(&read, candidates)
		}
		c := &candidates[d.Index]
		if d.Wait == 0 {
			i := m.byName[c.Target]
			if c.Primary {
				return placement{instance: i, term: s.primary.Term}, outcome.Outcome{}
			}
			return placement{instance: i, term: s.replicas[c.Target].Status.Joined, replica: true}, outcome.Outcome{}
		}
		m.byName[c.Target].probe()
		if primary := m.byName[s.primary.Name]; primary != nil {
			primary.probe()
		}
		if o := u.waitForChange(ctx, nil, d.Wait); !o.OK() {
			return placement{}, o
		}
		if waits >= maxReplicaWaits {
			exclude = append(slices.Clip(exclude), c.Target)
		}
	}
}

// awaitFirstStatuses waits until an open primary is known or every instance of the
// database has answered or failed a status call.
func (u *unit) awaitFirstStatuses(ctx context.Context) outcome.Outcome {
	for {
		s := u.database.state.Load()
		if s.ready {
			return outcome.Outcome{}
		}
		if time.Since(u.database.createdAt) >= u.home.timings.FailoverTimeout {
			return outcome.Refuse(outcome.NoPrimary, noPrimaryRetryAfter, "no instance of %s has answered a status call", u.database.key)
		}
		if o := u.waitForChange(ctx, s.changed, primaryPollInterval); !o.OK() {
			return o
		}
	}
}

// routingRead returns the description of the unit for routing. A read that has to wait
// probes the primary first, so the next confirmed position is expected after one and a
// half round trips.
func (u *unit) routingRead(primary *instance) routing.Read {
	r := routing.Read{
		Seen:               u.header.Seen,
		SessionAge:         u.header.SessionAge + time.Since(u.openedAt),
		MaxAge:             u.header.MaxAge,
		Policy:             u.policy,
		FailureDomain:      u.home.config.FailureDomain,
		Region:             u.region,
		NextConfirmationIn: u.home.timings.ActiveProbeInterval,
	}
	if primary != nil {
		r.NextConfirmationIn = primary.roundTrip() * 3 / 2
	}
	if !u.deadline.IsZero() {
		r.Remaining = max(time.Until(u.deadline), 1)
	}
	return r
}

// appendCandidates appends the instances as candidates for a read.
func (u *unit) appendCandidates(out []routing.Candidate, s *state, m *members, exclude []string) []routing.Candidate {
	sinceState := time.Since(s.takenAt)
	confirm := m.estimateConfirmTime()
	for _, name := range m.electorate {
		i := m.byName[name]
		r, known := s.replicas[name]
		primary := s.primary.Open && s.primary.Name == name
		slots, _, _ := i.gate.load()
		c := routing.Candidate{
			Target:        name,
			FailureDomain: i.declared.FailureDomain,
			Region:        i.region,
			Primary:       primary,
			Valid:         r.Valid && r.Status.Joined == s.primary.Term,
			Drained:       !primary && m.snapshot.Drained(configuration.DrainTarget, name),
			Reachable:     known && slots > 0 && i.isResponsive() && !slices.Contains(exclude, name),
			Applied:       r.Status.Applied,
			Age:           addAge(r.Age, sinceState),
			Lag:           r.Lag,
			RoundTrip:     i.roundTrip(),
			QueueWait:     i.gate.expectedWait(),
		}
		if primary {
			c.ConfirmTime = confirm
		}
		out = append(out, c)
	}
	return out
}

// addAge returns the sum of an age and a duration, or the age if the sum overflows.
func addAge(age, d time.Duration) time.Duration {
	if sum := age + d; sum >= age {
		return sum
	}
	return age
}

// estimateConfirmTime estimates a status round: the time until a majority has answered.
func (m *members) estimateConfirmTime() time.Duration {
	var buffer [inlineCandidates]time.Duration
	times := buffer[:0]
	for _, i := range m.byName {
		times = append(times, i.roundTrip())
	}
	slices.Sort(times)
	if len(times) < 2 {
		return 0
	}
	return times[len(times)/2]
}

// policyOf returns the read policy and the weight of a caller. A caller or a policy that
// is not declared has no bounds.
func policyOf(s *configuration.Snapshot, caller string) (configuration.ReadPolicy, int) {
	c, ok := s.Callers[caller]
	if !ok {
		return configuration.ReadPolicy{}, 1
	}
	return s.Policies[c.Value.Policy].Value, max(c.Value.Weight, 1)
}
