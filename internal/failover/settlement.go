package failover

import (
	"context"
	"slices"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Settlement is what the targets tell of promotions whose intents the store may have lost
// with an earlier era. No holder of an earlier era acts any more when they are asked.
type Settlement struct {
	// Terms maps each group of which every target answered to the highest term that one is
	// held at or is known to have joined.
	Terms map[string]position.Term
	// OnlyHeld names the groups of Terms of which no target has joined that term: nothing was
	// promoted to it.
	OnlyHeld []string
	// Unsettled names the groups of which a target did not answer: it may have been
	// promoted.
	Unsettled []string
}

// Settler asks the targets of the named groups for promotions of earlier eras, or those of
// all groups if groups is nil.
type Settler func(ctx context.Context, groups []string) Settlement

// SetSettler sets the settler. It must be called before any other method. Without one, the
// targets are not asked.
func (m *LockManager) SetSettler(s Settler) {
	m.settle = s
}

// settleEarlierEras raises the intents of next by what the targets of the named groups tell
// of earlier eras; nil stands for all groups. m.mu must be held.
func (m *LockManager) settleEarlierEras(ctx context.Context, next *lockRecord, groups []string) {
	if m.settle == nil {
		return
	}
	s := m.settle(ctx, groups)
	next.Intents = raiseIntents(next.Intents, s.Terms)
	for group, term := range s.Terms {
		*next = next.withUnused(group, next.Intents[group] == term && slices.Contains(s.OnlyHeld, group))
	}
	next.Unsettled = s.Unsettled
}

// Settle completes the intents of groups of which it was not known, when this daemon took
// the lock, whether they were promoted in an earlier era. It does nothing if there are none
// or another daemon holds the lock.
func (m *LockManager) Settle(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holdsLock() || len(m.record.Unsettled) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	next := m.record
	m.settleEarlierEras(ctx, &next, m.record.Unsettled)
	if len(next.Unsettled) == len(m.record.Unsettled) {
		return nil
	}
	return m.write(ctx, next)
}

// SettleGroups asks all targets of the groups for their terms. A group is settled if its
// list of targets is complete and all of them answered.
func SettleGroups(ctx context.Context, groups []*backend.Group) Settlement {
	type result struct {
		group             string
		term              position.Term
		onlyHeld, settled bool
	}
	results := make(chan result, len(groups))
	for _, g := range groups {
		go func() {
			observed := g.Observe(ctx, query.Statement{Kind: query.Status}, nil, nil)
			g.ObserveJoinedTerm(leadership.JoinedTerm(observed))
			// The primary of a term that this daemon has seen may have left the list.
			joined := g.JoinedTerm()
			highest := max(joined, leadership.HighestTerm(observed))
			silent := slices.ContainsFunc(observed, func(o leadership.Observation) bool { return !o.Reached })
			results <- result{group: g.Name, term: highest, onlyHeld: highest > joined, settled: !silent && g.ListComplete()}
		}()
	}
	s := Settlement{Terms: map[string]position.Term{}}
	for range groups {
		r := <-results
		if !r.settled {
			s.Unsettled = append(s.Unsettled, r.group)
			continue
		}
		s.Terms[r.group] = r.term
		if r.onlyHeld {
			s.OnlyHeld = append(s.OnlyHeld, r.group)
		}
	}
	slices.Sort(s.Unsettled)
	return s
}
