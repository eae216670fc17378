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

// Times told to callers that are refused.
const (
	// noPrimaryRetryAfter is how long a failover usually takes.
	noPrimaryRetryAfter = 500 * time.Millisecond
	// rerunRetryAfter goes with what may be repeated at once.
	rerunRetryAfter = 10 * time.Millisecond
)

// awaitStep is the pause between two looks at a primary that is silent.
const awaitStep = 20 * time.Millisecond

// maxAwaiting bounds how many requests of a database wait for a primary.
const maxAwaiting = 1024

// maxRouteWaits bounds how often a read waits for a replica before it is decided
// without waiting.
const maxRouteWaits = 2

// usualCandidates is the group size up to which routing allocates nothing.
const usualCandidates = 8

// place is where a unit runs.
type place struct {
	instance *instance
	// term is the term in which the instance was known to be primary, or to have
	// joined, before anything was sent.
	term    position.Term
	replica bool
}

// awaitPrimary returns the primary of the open term. While there is none, or it
// is silent, or a hand-over holds writes back, it waits for a change, but not for
// longer than a failover takes.
func (u *unit) awaitPrimary(ctx context.Context) (place, outcome.Outcome) {
	for first := true; ; first = false {
		s := u.database.state.Load()
		i := u.database.members.Load().byName[s.primary.Name]
		if i != nil && s.primary.Open && !s.held && i.answers() {
			return place{instance: i, term: s.primary.Term}, outcome.Outcome{}
		}
		if first {
			u.database.alarm()
			defer u.database.awaiting.Add(-1)
			if u.database.awaiting.Add(1) > maxAwaiting {
				return place{}, outcome.Refuse(outcome.QueueFull, noPrimaryRetryAfter, "%d requests wait for a primary of %s", maxAwaiting, u.database.key)
			}
		}
		if lost := u.lostFor(s, i); lost >= u.home.intervals.Failover {
			return place{}, outcome.Refuse(outcome.NoPrimary, noPrimaryRetryAfter, "%s has had no open primary for %s", u.database.key, lost.Round(time.Millisecond))
		}
		if o := u.pause(ctx, s.changed, awaitStep); !o.OK() {
			return place{}, o
		}
	}
}

// lostFor returns how long the database has had no primary that serves.
func (u *unit) lostFor(s *state, primary *instance) time.Duration {
	now := time.Now()
	var lost time.Duration
	switch {
	case !s.known:
		lost = now.Sub(u.database.born)
	case !s.lostAt.IsZero():
		lost = now.Sub(s.lostAt)
	}
	if primary != nil {
		silence, _ := primary.silence(now)
		lost = max(lost, silence)
	}
	return lost
}

// pause waits until changed is closed or d has passed.
func (u *unit) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) outcome.Outcome {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-u.abort:
		return outcome.Refuse(outcome.Canceled, 0, "the request was canceled before it was sent")
	case <-ctx.Done():
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the request ended before an instance was found")
	}
	return outcome.Outcome{}
}

// choose returns where a read runs. Instances in exclude have failed it.
func (u *unit) choose(ctx context.Context, exclude []string) (place, outcome.Outcome) {
	if o := u.awaitKnown(ctx); !o.OK() {
		return place{}, o
	}
	var buffer [usualCandidates]routing.Candidate
	for waits := 0; ; waits++ {
		s, m := u.database.state.Load(), u.database.members.Load()
		candidates := u.candidates(buffer[:0], s, m, exclude)
		read := u.read(m.byName[s.primary.Name])
		d := routing.Choose(&read, candidates)
		if d.Index < 0 {
			u.database.alarm()
			return place{}, outcome.Refuse(d.Reason, noPrimaryRetryAfter, "no instance of %s may serve the read", u.database.key)
		}
		if d.Wait > 0 && !read.Seen.IsZero() {
			read.SeenAge = u.database.ageOf(read.Seen)
			d = routing.Choose(&read, candidates)
		}
		c := &candidates[d.Index]
		if d.Wait == 0 {
			i := m.byName[c.Target]
			if c.Primary {
				return place{instance: i, term: s.primary.Term}, outcome.Outcome{}
			}
			return place{instance: i, term: s.replicas[c.Target].Status.Joined, replica: true}, outcome.Outcome{}
		}
		m.byName[c.Target].probe()
		if primary := m.byName[s.primary.Name]; primary != nil {
			primary.probe()
		}
		if o := u.pause(ctx, nil, d.Wait); !o.OK() {
			return place{}, o
		}
		if waits >= maxRouteWaits {
			exclude = append(slices.Clip(exclude), c.Target)
		}
	}
}

// awaitKnown waits for the first statuses of the database.
func (u *unit) awaitKnown(ctx context.Context) outcome.Outcome {
	for {
		s := u.database.state.Load()
		if s.known {
			return outcome.Outcome{}
		}
		if time.Since(u.database.born) >= u.home.intervals.Failover {
			return outcome.Refuse(outcome.NoPrimary, noPrimaryRetryAfter, "no instance of %s has answered", u.database.key)
		}
		if o := u.pause(ctx, s.changed, awaitStep); !o.OK() {
			return o
		}
	}
}

// read describes the unit to routing. A wait begins with a look at the primary,
// so that the next confirmed position is known a little over a round trip later.
func (u *unit) read(primary *instance) routing.Read {
	r := routing.Read{
		Seen:               u.header.Seen,
		SessionAge:         u.header.SessionAge + time.Since(u.opened),
		MaxAge:             u.header.MaxAge,
		Policy:             u.policy,
		FailureDomain:      u.home.config.FailureDomain,
		Region:             u.region,
		NextConfirmationIn: u.home.intervals.Active,
	}
	if primary != nil {
		r.NextConfirmationIn = primary.roundTrip() * 3 / 2
	}
	if !u.deadline.IsZero() {
		r.Remaining = max(time.Until(u.deadline), 1)
	}
	return r
}

// candidates appends the instances as places to read.
func (u *unit) candidates(out []routing.Candidate, s *state, m *members, exclude []string) []routing.Candidate {
	sinceState := time.Since(s.at)
	confirm := m.confirmTime()
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
			Reachable:     known && slots > 0 && i.answers() && !slices.Contains(exclude, name),
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

// addAge adds to an age without overflow.
func addAge(age, d time.Duration) time.Duration {
	if sum := age + d; sum >= age {
		return sum
	}
	return age
}

// confirmTime estimates a status round: the time until a majority has answered.
func (m *members) confirmTime() time.Duration {
	var buffer [usualCandidates]time.Duration
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

// policyOf returns the read policy of a caller. A caller or policy that is not
// declared has no bounds.
func policyOf(s *configuration.Snapshot, caller string) (configuration.ReadPolicy, int) {
	c, ok := s.Callers[caller]
	if !ok {
		return configuration.ReadPolicy{}, 1
	}
	return s.Policies[c.Value.Policy].Value, max(c.Value.Weight, 1)
}
