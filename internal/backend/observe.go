package backend

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Observe runs a control statement on all targets, except that the target except is only
// queried for its status, and returns the observations. It returns early once enough
// reports true for them; targets that have not answered by then are observed as not
// reached.
func (g *Group) Observe(ctx context.Context, s query.Statement, except *Target, enough func([]leadership.Observation) bool) []leadership.Observation {
	targets := g.Targets()
	seen := make([]leadership.Observation, len(targets))
	type answer struct {
		index int
		leadership.Observation
	}
	answers := make(chan answer, len(targets))
	now := boottime.Now()
	for i, t := range targets {
		seen[i] = localObservation(t, now)
		st := s
		if t == except {
			st = query.Statement{Kind: query.Status}
		}
		go func() { answers <- answer{i, observeTarget(ctx, t, st)} }()
	}
	for range targets {
		a := <-answers
		seen[a.index] = a.Observation
		if enough != nil && enough(seen) {
			break
		}
	}
	return seen
}

// localObservation returns what is known of a target that has not answered.
func localObservation(t *Target, now time.Duration) leadership.Observation {
	info, state := t.Info(), t.State(now)
	return leadership.Observation{
		ID: info.ID, Draining: info.Draining, Refused: state.Refused, FailingFor: max(state.FailingFor, state.SilentFor),
	}
}

// observeTarget runs a control statement on a target and returns the observation.
func observeTarget(ctx context.Context, t *Target, s query.Statement) leadership.Observation {
	status, err := t.Control(ctx, s)
	o := localObservation(t, boottime.Now())
	if err == nil {
		o.Reached, o.Status = true, status
	}
	var refused *RefusedError
	o.Refused = o.Refused && !o.Reached && !errors.As(err, &refused)
	return o
}

// AnyFormerAnswers reports whether one of the targets with the given IDs, which have left the
// list, still answers: it may only be cut off from the store.
func (g *Group) AnyFormerAnswers(ctx context.Context, ids []string) bool {
	var asked []*Target
	for _, t := range *g.former.Load() {
		if slices.Contains(ids, t.Info().ID) {
			asked = append(asked, t)
		}
	}
	answers := make(chan bool, len(asked))
	for _, t := range asked {
		go func() {
			_, err := t.Control(ctx, query.Statement{Kind: query.Status})
			answers <- err == nil
		}()
	}
	answered := false
	for range asked {
		answered = <-answers || answered
	}
	return answered
}
