package group

import (
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Primary is the rightful primary of a group as far as the statuses tell.
type Primary struct {
	// Name is empty if no rightful primary is known.
	Name string
	Term position.Term
	// Open reports whether an entry of the term is confirmed. Nothing is served
	// by a primary whose term is not open.
	Open bool
	// LastSeen is when the latest call that showed the instance as primary started.
	LastSeen time.Time
}

// FollowAction tells an instance to join a term as a replica.
type FollowAction struct {
	Target  string
	Term    position.Term
	Primary string
}

// PrimaryView finds the rightful primary from statuses alone, so that it works
// while the store is out of reach. It is a belief only: a wrong one costs a
// batch that is never confirmed.
type PrimaryView struct {
	statuses statuses
	rules    *rules
	// opening counts the members that were seen to hold an entry of its term.
	opening tally
}

// NewPrimaryView returns the view of a group of which nothing is known.
func NewPrimaryView(e Electorate) *PrimaryView {
	return &PrimaryView{statuses: newStatuses(e), rules: &safeRules}
}

// Observe enters a status.
func (v *PrimaryView) Observe(o Observation) {
	i, _ := v.statuses.observe(o)
	if i < 0 {
		return
	}
	s := o.Status
	if s.Last.Term > v.opening.position.Term {
		v.opening = tally{position: position.Position{Term: s.Last.Term}}
	}
	v.opening.add(v.rules, i, s)
}

// MajorityFence returns the highest term that a majority is known to be fenced
// at or above.
func (v *PrimaryView) MajorityFence() position.Term {
	fences := make([]position.Term, len(v.statuses.latest))
	for i := range v.statuses.latest {
		fences[i] = v.statuses.latest[i].Status.Fence
	}
	sort.Slice(fences, func(i, j int) bool { return fences[i] > fences[j] })
	return fences[v.statuses.electorate.Majority()-1]
}

// HighestTerm returns the highest term that any instance is known to be fenced
// at.
func (v *PrimaryView) HighestTerm() position.Term {
	var t position.Term
	for i := range v.statuses.latest {
		t = max(t, v.statuses.latest[i].Status.Fence)
	}
	return t
}

// Primary returns the rightful primary. An instance that calls itself primary is
// none if a majority is fenced above its term, or if an entry of a later term
// was seen anywhere: that term had been promoted.
func (v *PrimaryView) Primary() Primary {
	floor := max(v.MajorityFence(), v.opening.position.Term)
	var best Primary
	for i := range v.statuses.latest {
		s := v.statuses.latest[i].Status
		if !s.Primary || s.Fence != s.Joined || s.Joined < floor || s.Joined <= best.Term {
			continue
		}
		best = Primary{Name: s.Target, Term: s.Joined, LastSeen: v.statuses.latest[i].CallStarted}
	}
	best.Open = best.Name != "" && v.open(best.Term)
	return best
}

// open reports whether an entry of term t was seen on a majority that stood at t.
func (v *PrimaryView) open(t position.Term) bool {
	if v.opening.position.Term != t {
		return false
	}
	return v.opening.verdict(len(v.statuses.electorate)) == Confirmed
}

// FollowActions returns the instances that must be told to follow the rightful
// primary: they stand at an older term, or were fenced for its term and follow
// nobody. An instance that comes back after a promotion is found here; its
// leftover tail is cut when it follows.
func (v *PrimaryView) FollowActions() []FollowAction {
	p := v.Primary()
	if p.Name == "" {
		return nil
	}
	var actions []FollowAction
	for i, name := range v.statuses.electorate {
		s := v.statuses.latest[i].Status
		if !v.statuses.known.has(i) || name == p.Name || s.Fence > p.Term || s.Joined == p.Term {
			continue
		}
		actions = append(actions, FollowAction{Target: name, Term: p.Term, Primary: p.Name})
	}
	return actions
}

// HasLaterFence reports whether an instance stands at a later term than the rightful
// primary, left there by a promotion that did not go on. It can't follow before a
// later term is opened, and without it the others may be no majority. If it lasts,
// a promotion is due, although the primary answers; the same instance may win it.
func (v *PrimaryView) HasLaterFence() bool {
	p := v.Primary()
	return p.Open && v.HighestTerm() > p.Term
}

// Latest returns the latest observation of an instance.
func (v *PrimaryView) Latest(name string) (Observation, bool) {
	i := v.statuses.electorate.Index(name)
	if i < 0 || !v.statuses.known.has(i) {
		return Observation{}, false
	}
	return v.statuses.latest[i], true
}
