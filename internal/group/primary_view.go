package group

import (
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Primary is the valid primary of a group according to the observed statuses.
type Primary struct {
	// Name is empty if no valid primary is known.
	Name string
	Term position.Term
	// Open reports whether an entry of the term is confirmed. A primary whose term
	// is not open must not serve requests.
	Open bool
	// LastSeen is the start of the latest status call that reported the instance as
	// primary.
	LastSeen time.Time
}

// FollowAction is a request to make Target join Term as a replica of Primary.
type FollowAction struct {
	Target  string
	Term    position.Term
	Primary string
}

// PrimaryView determines the valid primary from statuses alone, so that it works
// while the store is unreachable. The result may be outdated; this is safe, because
// a batch sent to a deposed primary is never confirmed.
type PrimaryView struct {
	statuses statusTable
	rules    *rules
	// openingTally collects the members that hold an entry of the latest term of
	// which an entry was observed.
	openingTally tally
}

// NewPrimaryView returns a view of the group of electorate e without observations.
func NewPrimaryView(e Electorate) *PrimaryView {
	return &PrimaryView{statuses: newStatusTable(e), rules: &safeRules}
}

// Observe records a status. Statuses of instances outside the electorate are ignored.
func (v *PrimaryView) Observe(o Observation) {
	i, _ := v.statuses.observe(o)
	if i < 0 {
		return
	}
	s := o.Status
	if s.Last.Term > v.openingTally.position.Term {
		v.openingTally = tally{position: position.Position{Term: s.Last.Term}}
	}
	v.openingTally.add(v.rules, i, s)
}

// MajorityFence returns the highest term at or above which a majority is known to be
// fenced.
func (v *PrimaryView) MajorityFence() position.Term {
	fences := make([]position.Term, len(v.statuses.latest))
	for i := range v.statuses.latest {
		fences[i] = v.statuses.latest[i].Status.Fence
	}
	sort.Slice(fences, func(i, j int) bool { return fences[i] > fences[j] })
	return fences[v.statuses.electorate.Majority()-1]
}

// HighestTerm returns the highest term at which any instance is known to be fenced.
func (v *PrimaryView) HighestTerm() position.Term {
	var t position.Term
	for i := range v.statuses.latest {
		t = max(t, v.statuses.latest[i].Status.Fence)
	}
	return t
}

// Primary returns the valid primary, or a zero Primary if none is known. An instance
// that reports itself as primary is not valid if a majority is fenced above its term,
// or if an entry of a later term was observed on any instance: a primary was promoted
// in that term.
func (v *PrimaryView) Primary() Primary {
	minTerm := max(v.MajorityFence(), v.openingTally.position.Term)
	var best Primary
	for i := range v.statuses.latest {
		s := v.statuses.latest[i].Status
		if !s.Primary || s.Fence != s.Joined || s.Joined < minTerm || s.Joined <= best.Term {
			continue
		}
		best = Primary{Name: s.Target, Term: s.Joined, LastSeen: v.statuses.latest[i].CallStarted}
	}
	best.Open = best.Name != "" && v.isOpen(best.Term)
	return best
}

// isOpen reports whether a majority that was fenced at t is known to hold an entry of
// term t.
func (v *PrimaryView) isOpen(t position.Term) bool {
	if v.openingTally.position.Term != t {
		return false
	}
	return v.openingTally.verdict(len(v.statuses.electorate)) == Confirmed
}

// FollowActions returns an action for each instance that must be told to follow the
// valid primary: its fence is at an older term, or it was fenced for the primary's
// term and has not joined it. This includes instances that return after a promotion;
// their divergent log tail is truncated when they follow.
func (v *PrimaryView) FollowActions() []FollowAction {
	p := v.Primary()
	if p.Name == "" {
		return nil
	}
	var actions []FollowAction
	for i, name := range v.statuses.electorate {
		s := v.statuses.latest[i].Status
		if !v.statuses.observed.has(i) || name == p.Name || s.Fence > p.Term || s.Joined == p.Term {
			continue
		}
		actions = append(actions, FollowAction{Target: name, Term: p.Term, Primary: p.Name})
	}
	return actions
}

// HasLaterFence reports whether an instance is fenced at a later term than the valid
// primary, which happens if a promotion stops after fencing. That instance can't
// follow until a later term is opened, and without it the others may not form a
// majority. If the state persists, the caller should start a promotion although the
// primary answers; the promotion may choose the same primary again.
func (v *PrimaryView) HasLaterFence() bool {
	p := v.Primary()
	return p.Open && v.HighestTerm() > p.Term
}

// Latest returns the latest observation of an instance, and false if there is none.
func (v *PrimaryView) Latest(name string) (Observation, bool) {
	i := v.statuses.electorate.Index(name)
	if i < 0 || !v.statuses.observed.has(i) {
		return Observation{}, false
	}
	return v.statuses.latest[i], true
}
