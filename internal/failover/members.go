package failover

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// The members of a group with synchronous replicas are the targets that may have received
// commits which were acknowledged because they had. A member that has left the list may still
// be the only one in reach with such a commit, so it counts as a missing replica in a
// promotion. The holder of the promotion lock records the members in the store, where they
// outlast daemons.

const (
	// catchUpOfOthers bounds the wait until enough other members have received what the
	// primary had when a member that has left was found not to answer.
	catchUpOfOthers = time.Second
	// abandonAfter is how long a promotion waits for members that have left the list. Those
	// that have not returned by then are given up with the commits that only they have.
	abandonAfter = time.Minute
)

// Members returns the recorded members of a group, according to the record that was last read
// or written. The slice must not be modified.
func (m *LockManager) Members(group string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record.Members[group]
}

// RecordMembers records the members of the given groups; none for a group that needs no record.
// It does nothing if another daemon holds the lock or nothing changes.
func (m *LockManager) RecordMembers(ctx context.Context, members map[string][]string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.record
	next.Members = maps.Clone(m.record.Members)
	if next.Members == nil {
		next.Members = map[string][]string{}
	}
	for group, ids := range members {
		next.Members[group] = ids
		if len(ids) == 0 {
			delete(next.Members, group)
		}
	}
	if !m.holdsLock() || maps.EqualFunc(next.Members, m.record.Members, slices.Equal) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.write(ctx, next); err != nil {
		return fmt.Errorf("record the members of groups: %w", err)
	}
	m.log.StateChange("members_recorded", "members", members)
	return nil
}

// TrackMembers brings the recorded members of the groups up to date. Only the holder of the
// promotion lock calls it.
func (p *Promoter) TrackMembers(ctx context.Context, groups []*backend.Group) error {
	var mu sync.Mutex
	changed := map[string][]string{}
	var wg sync.WaitGroup
	for _, g := range groups {
		recorded := p.PromotionLock.Members(g.Name)
		if !g.Declared() || g.Limits().SyncReplicas == 0 && len(recorded) == 0 {
			// Before its first configuration a daemon knows nothing of synchronous replicas.
			continue
		}
		// The targets of a group may have to be asked, which takes up to a second.
		wg.Go(func() {
			if present := presentMembers(ctx, g, recorded); !slices.Equal(present, recorded) {
				mu.Lock()
				defer mu.Unlock()
				changed[g.Name] = present
			}
		})
	}
	wg.Wait()
	if len(changed) == 0 {
		return nil
	}
	return p.PromotionLock.RecordMembers(ctx, changed)
}

// presentMembers returns the IDs of the listed targets and of those recorded members that can't
// be given up yet, sorted; none if commits don't wait for replicas.
func presentMembers(ctx context.Context, g *backend.Group, recorded []string) []string {
	syncReplicas := g.Limits().SyncReplicas
	if syncReplicas == 0 {
		return nil
	}
	present := slices.Clone(recorded)
	for _, t := range g.Targets() {
		present = append(present, t.Info().ID)
	}
	slices.Sort(present)
	present = slices.Compact(present)
	left := slices.DeleteFunc(slices.Clone(present), func(id string) bool { return g.FindTarget(id) != nil })
	if len(left) == 0 || !g.ListComplete() || g.AnyFormerAnswers(ctx, left) || !othersHaveLog(ctx, g, syncReplicas) {
		return present
	}
	return slices.DeleteFunc(present, func(id string) bool { return slices.Contains(left, id) })
}

// othersHaveLog reports whether the group has a primary, and at least syncReplicas other listed
// targets have received all that the primary had when it was asked.
func othersHaveLog(ctx context.Context, g *backend.Group, syncReplicas int) bool {
	observed := g.Observe(ctx, query.Statement{Kind: query.Status}, nil, nil)
	leader, ok := leadership.FindLeader(observed, g.KnownTerm())
	if !ok {
		return false
	}
	primary := observed[slices.IndexFunc(observed, func(o leadership.Observation) bool { return o.ID == leader.ID })]
	return awaitLog(ctx, g, catchUpOfOthers, syncReplicas, func(o leadership.Observation) bool {
		return o.ID != leader.ID && o.Reached && o.Status.Received.Covers(primary.Status.Received)
	})
}

// awaitLog queries the listed targets until count of them satisfy has, and reports false if
// they do not within limit.
func awaitLog(ctx context.Context, g *backend.Group, limit time.Duration, count int, has func(leadership.Observation) bool) bool {
	enough := func(seen []leadership.Observation) bool {
		n := 0
		for _, o := range seen {
			if has(o) {
				n++
			}
		}
		return n >= count
	}
	for deadline := boottime.Now() + limit; boottime.Now() < deadline && ctx.Err() == nil; ctxtime.Sleep(ctx, pollInterval) {
		if enough(g.Observe(ctx, query.Statement{Kind: query.Status}, nil, enough)) {
			return true
		}
	}
	return false
}

// withAbsentMembers adds the members that have left the list to the observed targets, as
// targets that run no process, unless they are given up. The primary to replace is left out: a
// commit has been received by replicas besides it.
func (a *attempt) withAbsentMembers(observed []leadership.Observation) []leadership.Observation {
	if a.needed >= abandonAfter {
		return observed
	}
	out, primary := slices.Clone(observed), a.presentPrimary()
	for _, id := range a.PromotionLock.Members(a.group.Name) {
		if id != primary && !slices.ContainsFunc(observed, func(o leadership.Observation) bool { return o.ID == id }) {
			out = append(out, leadership.Observation{ID: id, Refused: true})
		}
	}
	return out
}

// noteAbandoned logs and counts an attempt that no longer waits for absent members.
func (a *attempt) noteAbandoned() {
	if a.needed < abandonAfter || a.group.Limits().SyncReplicas == 0 {
		return
	}
	metrics.GetOrCreateCounter(`laburnumrack_promotions_without_members_total`).Inc()
	a.Log.StateChange("members_abandoned", "group", a.group.Name, "term", a.term, "members", a.PromotionLock.Members(a.group.Name))
}
