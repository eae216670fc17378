package failover

import (
	"context"
	"maps"
	"slices"

	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// A promote call leads to the term after the newest one, whatever the caller knows of it:
// targets out of reach may have joined later terms than those that answer. Two rules keep each
// call at or below the recorded intent of its group. No call leads above the intent, and an
// unused intent is above every term to which an earlier call may have led, so that it covers
// one more call.

// raiseIntents returns the higher term of each group.
func raiseIntents(a, b map[string]position.Term) map[string]position.Term {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]position.Term{}
	}
	for group, term := range b {
		out[group] = max(out[group], term)
	}
	return out
}

// isUnused reports whether no promote call can have led to the intended term of the group.
func (r lockRecord) isUnused(group string) bool {
	return slices.Contains(r.UnusedIntents, group)
}

// reachedTerm returns the highest term to which a promote call for the group may have led, 0 if
// there was none.
func (r lockRecord) reachedTerm(group string) position.Term {
	if term := r.Intents[group]; term > 0 && r.isUnused(group) {
		return term - 1
	}
	return r.Intents[group]
}

// withUnused returns the record with the intent of the group marked as unused or used.
func (r lockRecord) withUnused(group string, unused bool) lockRecord {
	if unused == r.isUnused(group) {
		return r
	}
	r.UnusedIntents = slices.DeleteFunc(slices.Clone(r.UnusedIntents), func(g string) bool { return g == group })
	if unused {
		r.UnusedIntents = append(r.UnusedIntents, group)
		slices.Sort(r.UnusedIntents)
	}
	return r
}

// withCall returns the record before a promote call for a target of the group, whose log ends at
// end. The call uses the intent.
func (r lockRecord) withCall(group, target string, end position.Position) lockRecord {
	r.Called, r.CalledEnd = withEntry(r.Called, group, target), withEntry(r.CalledEnd, group, end)
	return r.withUnused(group, false)
}

// withEntry returns a copy of m with one more entry.
func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	out := maps.Clone(m)
	if out == nil {
		out = map[string]V{}
	}
	out[key] = value
	return out
}

// withIntent returns the record with an unused intent for one more promote call. term is the
// one to which the call leads as far as the targets in reach tell.
func (r lockRecord) withIntent(group string, term position.Term) lockRecord {
	if recorded, ok := r.Intents[group]; ok {
		if !r.isUnused(group) {
			recorded++
		}
		term = max(term, recorded)
	}
	r.Intents = raiseIntents(r.Intents, map[string]position.Term{group: term})
	return r.withUnused(group, true)
}

// withLeader returns the record after a promote call has led to a primary of the given term.
// If the intent is above that term, it also covered an earlier call that was not answered.
// That call takes no effect after a later one has, so the intent is unused again.
func (r lockRecord) withLeader(group string, term position.Term) lockRecord {
	r.Intents = raiseIntents(r.Intents, map[string]position.Term{group: term})
	r.Unsettled = slices.DeleteFunc(slices.Clone(r.Unsettled), func(g string) bool { return g == group })
	return r.withUnused(group, r.Intents[group] > term)
}

// lastCall returns what the record tells of the promote calls for the group.
func (r lockRecord) lastCall(group string) leadership.PromoteCall {
	return leadership.PromoteCall{Term: r.reachedTerm(group), Target: r.Called[group], End: r.CalledEnd[group]}
}

// LastCall returns what is recorded of the promote calls for the group. A daemon that does not
// hold the lock reads the record from the store, unless it has done so a moment ago.
func (m *LockManager) LastCall(ctx context.Context, group string) (leadership.PromoteCall, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holdsLock() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := m.refresh(ctx); err != nil {
			return leadership.PromoteCall{}, err
		}
	}
	return m.record.lastCall(group), nil
}

// MarkUnused records that every promote call since the last Acquire for the group is known to
// have had no effect. It does nothing if d is not the current lock.
func (m *LockManager) MarkUnused(ctx context.Context, d PromotionLock, group string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holdsLock() || m.currentLock() != d || m.record.isUnused(group) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.write(ctx, m.record.withUnused(group, true))
}

// MarkPromoted records that a promote call for the group under lock d led to a primary of the
// given term, which also settles what was not known of promotions in earlier eras. It makes
// no call to the store if that tells nothing new.
func (m *LockManager) MarkPromoted(ctx context.Context, d PromotionLock, group string, term position.Term) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holdsLock() || m.currentLock() != d || !slices.Contains(m.record.Unsettled, group) && m.record.Intents[group] == term {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.write(ctx, m.record.withLeader(group, term))
}
