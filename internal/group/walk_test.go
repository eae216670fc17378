package group

import (
	"flag"
	"fmt"
	"hash/maphash"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// The walk explores every order of claims, fences, promotions, log transfers, writes,
// status calls, replica reads and resolutions in a small group. The decisions are made
// by the code of this package. The full size is run with
//
//	go test -run TestWalk -walk.terms=4 ./internal/group
var (
	walkTerms  = flag.Int("walk.terms", 3, "number of terms in the walk, at most 4")
	walkWrites = flag.Int("walk.writes", 2, "number of writes in the walk, at most 2")
)

const walkMembers = 3

var walkGroup = Electorate{"a", "b", "c"}

// walkEntry is one log entry: its term and the number of its write, or 0 for an opening
// entry.
type walkEntry struct{ term, write uint8 }

type walkLog struct {
	n       uint8
	entries [6]walkEntry
}

func (l *walkLog) add(e walkEntry) { l.entries[l.n] = e; l.n++ }

func (l *walkLog) truncate(n uint8) {
	for ; l.n > n; l.n-- {
		l.entries[l.n-1] = walkEntry{}
	}
}

func (l *walkLog) has(e walkEntry) bool {
	for _, x := range l.entries[:l.n] {
		if x == e {
			return true
		}
	}
	return false
}

func (l *walkLog) last() position.Position {
	if l.n == 0 {
		return position.Position{}
	}
	return position.Position{Term: position.Term(l.entries[l.n-1].term), Index: uint64(l.n)}
}

// walkPromoter is the promotion of one term. lastEntries holds the last entry reported by
// each fenced member.
type walkPromoter struct {
	claimed, done bool
	fenced        uint8
	lastEntries   [walkMembers]struct{ term, n uint8 }
}

// walkWrite is a write or an opening entry with its acknowledgements and reported
// outcomes.
type walkWrite struct {
	term, n, observers uint8
	acked              bool
	notRunTerm         uint8 // the term whose primary reported it as not run
	returnedTerm       uint8 // the term in which a replica read or a resolution returned it
}

type walkState struct {
	fence, primary [walkMembers]uint8
	logs           [walkMembers]walkLog
	promoters      [5]walkPromoter
	opening        [5]walkWrite
	writes         [3]walkWrite
	issued         uint8
}

type walker struct {
	rules    *rules
	terms    uint8
	writes   uint8
	reads    bool // explore replica reads instead of acknowledgements
	seed     maphash.Seed
	visited  map[uint64]struct{}
	frontier []walkState
}

func (s *walkState) status(j int) target.Status {
	f := s.fence[j]
	st := target.Status{Target: walkGroup[j], Primary: s.primary[j] != 0, Fence: position.Term(f), Last: s.logs[j].last()}
	if f == 1 || s.promoters[f].done {
		st.Joined = st.Fence // join as early as possible
	}
	return st
}

// observe adds the status of member j to the tally of x.
func (w *walker) observe(s *walkState, x *walkWrite, j int) {
	t := tally{position: position.Position{Term: position.Term(x.term), Index: uint64(x.n)}, acknowledged: memberSet(x.observers)}
	t.add(w.rules, j, s.status(j))
	x.observers = uint8(t.acknowledged)
	if t.verdict(walkMembers) == Confirmed {
		x.acked, x.observers = true, 0
	}
}

// withFollowersSwapped returns s with members b and c exchanged. The states are equivalent
// by symmetry.
func (s walkState) withFollowersSwapped() walkState {
	s.fence[1], s.fence[2] = s.fence[2], s.fence[1]
	s.primary[1], s.primary[2] = s.primary[2], s.primary[1]
	s.logs[1], s.logs[2] = s.logs[2], s.logs[1]
	swap := func(set *uint8) { *set = *set&1 | *set&2<<1 | *set&4>>1 }
	for t := range s.promoters {
		p := &s.promoters[t]
		swap(&p.fenced)
		p.lastEntries[1], p.lastEntries[2] = p.lastEntries[2], p.lastEntries[1]
		swap(&s.opening[t].observers)
	}
	for k := range s.writes {
		swap(&s.writes[k].observers)
	}
	return s
}

// visit adds s to the frontier unless it or its mirror image was visited before.
func (w *walker) visit(s walkState) {
	h := min(maphash.Comparable(w.seed, s), maphash.Comparable(w.seed, s.withFollowersSwapped()))
	if _, ok := w.visited[h]; !ok {
		w.visited[h] = struct{}{}
		w.frontier = append(w.frontier, s)
	}
}

// expand visits all successors of s.
func (w *walker) expand(s *walkState) {
	for i := range walkMembers {
		if s.primary[i] != 0 {
			w.stepPrimary(s, i)
		}
		for k := uint8(1); k <= s.issued; k++ {
			w.observeWrite(s, k, i)
		}
		for t := uint8(2); t <= w.terms; t++ {
			w.stepPromotion(s, t, i)
			if o := &s.opening[t]; o.n > 0 && !o.acked {
				n := *s
				w.observe(&n, &n.opening[t], i)
				w.visit(n)
			}
		}
	}
	for t := uint8(2); t <= w.terms; t++ {
		if !s.promoters[t].claimed {
			n := *s
			n.promoters[t].claimed = true
			w.visit(n)
			break
		}
	}
}

// stepPrimary lets primary i append a write or send one log entry to a follower.
func (w *walker) stepPrimary(s *walkState, i int) {
	if s.issued < w.writes {
		n := *s
		n.issued++
		n.logs[i].add(walkEntry{s.primary[i], n.issued})
		n.writes[n.issued] = walkWrite{term: s.primary[i], n: n.logs[i].n}
		w.visit(n)
	}
	for j := range walkMembers {
		if j == i || s.fence[j] != s.primary[i] || s.logs[j] == s.logs[i] {
			continue
		}
		n := *s
		from, to := &s.logs[i], &n.logs[j]
		k := uint8(0)
		for k < min(from.n, to.n) && from.entries[k] == to.entries[k] {
			k++
		}
		if k < to.n {
			to.truncate(k)
		} else {
			to.add(from.entries[k])
		}
		w.visit(n)
	}
}

// stepPromotion performs one step of the promotion of term t at member j.
func (w *walker) stepPromotion(s *walkState, t uint8, j int) {
	p := &s.promoters[t]
	if p.claimed && s.fence[j] < t {
		n := *s
		n.fence[j], n.primary[j] = t, 0
		if !p.done {
			n.promoters[t].fenced |= 1 << j
			last := s.logs[j].last()
			n.promoters[t].lastEntries[j] = struct{ term, n uint8 }{uint8(last.Term), uint8(last.Index)}
		}
		w.visit(n)
	}
	if p.done || memberSet(p.fenced).size() < walkGroup.Majority() || s.fence[j] != t {
		return
	}
	if !w.canChoose(p, j) {
		return
	}
	n := *s
	n.promoters[t] = walkPromoter{claimed: true, done: true}
	n.primary[j] = t
	n.logs[j].add(walkEntry{term: t})
	n.opening[t] = walkWrite{term: t, n: n.logs[j].n}
	w.visit(n)
}

// canChoose reports whether the promoter chooses member j for some set of members to
// avoid.
func (w *walker) canChoose(p *walkPromoter, j int) bool {
	var statuses [walkMembers]target.Status
	for k, tail := range p.lastEntries {
		statuses[k].Last = position.Position{Term: position.Term(tail.term), Index: uint64(tail.n)}
	}
	for set := range 1 << walkMembers {
		var avoid []string
		for k, name := range walkGroup {
			if set>>k&1 == 1 {
				avoid = append(avoid, name)
			}
		}
		if choosePrimary(w.rules, walkGroup, memberSet(p.fenced), statuses[:], avoid) == j {
			return true
		}
	}
	return false
}

// observeWrite queries member i about write k: by a status call, a read on a replica, or
// a lookup of the request record.
func (w *walker) observeWrite(s *walkState, k uint8, i int) {
	x := &s.writes[k]
	entry := walkEntry{x.term, k}
	switch {
	case w.reads && x.returnedTerm == 0 && s.logs[i].has(entry):
		st := s.status(i)
		if verifyReplicaRead(w.rules, st.Joined, st, walkMembers) == Confirmed {
			n := *s
			n.writes[k].returnedTerm = s.fence[i]
			w.visit(n)
		}
	case !w.reads && !x.acked:
		n := *s
		w.observe(&n, &n.writes[k], i)
		w.visit(n)
	}
	if s.primary[i] <= x.term || x.notRunTerm != 0 {
		return
	}
	t := s.primary[i]
	p := Primary{Name: walkGroup[i], Term: position.Term(t), Open: s.opening[t].acked}
	r := RecordLookup{Term: p.Term, Read: true, Found: s.logs[i].has(entry)}
	n := *s
	switch settle(w.rules, UnresolvedRequest{HasID: true, Term: position.Term(x.term), ConnectionTerm: position.Term(x.term)}, p, r) {
	case StepNotRun:
		n.writes[k].notRunTerm = t
		w.visit(n)
	case StepDone:
		if x.returnedTerm == 0 {
			n.writes[k].returnedTerm = t
			w.visit(n)
		}
	}
}

// violation describes the guarantee that s violates, or returns "".
func (s *walkState) violation() string {
	for k := uint8(1); k <= s.issued; k++ {
		x := s.writes[k]
		if x.notRunTerm != 0 && (x.acked || x.returnedTerm != 0) {
			return fmt.Sprintf("write %d of term %d was reported as not run, and was acknowledged or returned by a read", k, x.term)
		}
		for i, t := range s.primary {
			held := s.logs[i].has(walkEntry{x.term, k})
			switch {
			case x.acked && t > x.term && !held:
				return fmt.Sprintf("write %d of term %d was acknowledged but is missing in term %d", k, x.term, t)
			case x.returnedTerm != 0 && t > x.returnedTerm && !held:
				return fmt.Sprintf("write %d was returned in term %d but is missing in term %d", k, x.returnedTerm, t)
			case x.notRunTerm != 0 && t > x.notRunTerm && held:
				return fmt.Sprintf("write %d was reported as not run in term %d but is present in term %d", k, x.notRunTerm, t)
			}
		}
	}
	return ""
}

// exploreStates explores all states reachable with the given rules and returns the number
// of states and the first violation.
func exploreStates(r *rules, terms, writes int, reads bool) (int, string) {
	w := walker{rules: r, terms: uint8(terms), writes: uint8(writes), reads: reads,
		seed: maphash.MakeSeed(), visited: map[uint64]struct{}{}}
	w.visit(walkState{fence: [walkMembers]uint8{1, 1, 1}, primary: [walkMembers]uint8{1}})
	for len(w.frontier) > 0 {
		level := w.frontier
		w.frontier = nil
		for i := range level {
			if violation := level[i].violation(); violation != "" {
				return len(w.visited), violation
			}
			w.expand(&level[i])
		}
	}
	return len(w.visited), ""
}

// TestWalk guards against interleavings in which the rules lose an acknowledged write, or
// report an outcome that a later term contradicts.
func TestWalk(t *testing.T) {
	for _, reads := range []bool{false, true} {
		states, violation := exploreStates(&safeRules, *walkTerms, *walkWrites, reads)
		t.Logf("terms %d writes %d reads %v: %d states, violation: %q", *walkTerms, *walkWrites, reads, states, violation)
		if violation != "" {
			t.Error(violation)
		}
	}
}

// TestWalkNeedsEachRule guards against a walk that can't detect a missing rule: it relaxes
// one rule at a time and expects a violation.
func TestWalkNeedsEachRule(t *testing.T) {
	indexOnly := func(a, b position.Position) int {
		return position.Position{Index: a.Index}.Compare(position.Position{Index: b.Index})
	}
	cases := []struct {
		name   string
		reads  bool
		mutate func(r *rules)
	}{
		{"the fence term in acknowledgements", false, func(r *rules) {
			r.acknowledges = func(s target.Status, p position.Position) bool { return s.Last.Covers(p) && s.Last.Term == p.Term }
		}},
		{"the term of the last entry, so that a divergent tail counts", false, func(r *rules) {
			r.acknowledges = func(s target.Status, p position.Position) bool {
				return s.Fence == p.Term && s.Joined == p.Term && s.Last.Index >= p.Index
			}
		}},
		{"all conditions of an acknowledgement but the index", false, func(r *rules) {
			r.acknowledges = func(s target.Status, p position.Position) bool { return s.Last.Index >= p.Index }
		}},
		{"the term in the choice of a primary", false, func(r *rules) { r.compareLogs = indexOnly }},
		{"the opening entry before a request is resolved", false, func(r *rules) {
			r.mayResolve = func(bool) bool { return true }
		}},
		{"an entry of the replica's term before a read", true, func(r *rules) {
			r.isValidReplica = func(s target.Status) bool { return !s.Primary && s.Fence == s.Joined }
		}},
		{"the rule that a replica does not report itself as primary", true, func(r *rules) {
			r.isValidReplica = func(s target.Status) bool { return s.Fence == s.Joined && s.Last.Term == s.Joined }
		}},
	}
	for _, c := range cases {
		r := safeRules
		c.mutate(&r)
		states, violation := exploreStates(&r, 3, 2, c.reads)
		t.Logf("without %s: after %d states: %s", c.name, states, violation)
		if violation == "" {
			t.Errorf("without %s: no guarantee was violated", c.name)
		}
	}
}
