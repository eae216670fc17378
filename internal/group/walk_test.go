package group

import (
	"flag"
	"fmt"
	"hash/maphash"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// The walk visits every order of claims, fences, promotions, log transfers,
// writes, status calls, replica reads and settlements of a small group, and lets
// this package's own decisions judge. Run the full size with
// go test -run TestWalk -walk.terms=4 ./internal/group
var (
	walkTerms  = flag.Int("walk.terms", 3, "terms of the walk, up to 4")
	walkWrites = flag.Int("walk.writes", 2, "writes of the walk, up to 2")
)

const walkMembers = 3

var walkGroup = Electorate{"a", "b", "c"}

// walkEntry is one log entry: its term and the write that made it, 0 for the
// opening entry.
type walkEntry struct{ term, write uint8 }

type walkLog struct {
	n       uint8
	entries [6]walkEntry
}

func (l *walkLog) add(e walkEntry) { l.entries[l.n] = e; l.n++ }

func (l *walkLog) cut(n uint8) {
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

// walkPromoter is the promotion of one term; tails are the logs it was told.
type walkPromoter struct {
	claimed, done bool
	fenced        uint8
	tails         [walkMembers]struct{ term, n uint8 }
}

// walkWrite is a write or opening entry with what was seen and said of it.
type walkWrite struct {
	term, n, seen uint8
	acked         bool
	notRun        uint8 // the term whose primary was judged to lack it
	shown         uint8 // the term of the replica or the settlement that showed it
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
	rules *rules
	terms uint8
	write uint8
	reads bool // replica reads in place of acknowledgements
	seed  maphash.Seed
	seen  map[uint64]struct{}
	todo  []walkState
}

func (s *walkState) status(j int) target.Status {
	f := s.fence[j]
	st := target.Status{Target: walkGroup[j], Primary: s.primary[j] != 0, Fence: position.Term(f), Last: s.logs[j].last()}
	if f == 1 || s.promoters[f].done {
		st.Joined = st.Fence // as early as can be
	}
	return st
}

// observe enters a status call in the tally of an entry.
func (w *walker) observe(s *walkState, x *walkWrite, j int) {
	t := tally{position: position.Position{Term: position.Term(x.term), Index: uint64(x.n)}, seen: memberSet(x.seen)}
	t.add(w.rules, j, s.status(j))
	x.seen = uint8(t.seen)
	if t.verdict(walkMembers) == Confirmed {
		x.acked, x.seen = true, 0
	}
}

// swapped returns s with members b and c exchanged: the group is the same.
func (s walkState) swapped() walkState {
	s.fence[1], s.fence[2] = s.fence[2], s.fence[1]
	s.primary[1], s.primary[2] = s.primary[2], s.primary[1]
	s.logs[1], s.logs[2] = s.logs[2], s.logs[1]
	swap := func(set *uint8) { *set = *set&1 | *set&2<<1 | *set&4>>1 }
	for t := range s.promoters {
		p := &s.promoters[t]
		swap(&p.fenced)
		p.tails[1], p.tails[2] = p.tails[2], p.tails[1]
		swap(&s.opening[t].seen)
	}
	for k := range s.writes {
		swap(&s.writes[k].seen)
	}
	return s
}

func (w *walker) visit(s walkState) {
	h := min(maphash.Comparable(w.seed, s), maphash.Comparable(w.seed, s.swapped()))
	if _, ok := w.seen[h]; !ok {
		w.seen[h] = struct{}{}
		w.todo = append(w.todo, s)
	}
}

func (w *walker) expand(s *walkState) {
	for i := range walkMembers {
		if s.primary[i] != 0 {
			w.lead(s, i)
		}
		for k := uint8(1); k <= s.issued; k++ {
			w.look(s, k, i)
		}
		for t := uint8(2); t <= w.terms; t++ {
			w.promote(s, t, i)
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

// lead lets a primary write, or send one piece of its log to a follower.
func (w *walker) lead(s *walkState, i int) {
	if s.issued < w.write {
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
			to.cut(k)
		} else {
			to.add(from.entries[k])
		}
		w.visit(n)
	}
}

// promote carries out one step of the promotion of term t at member j.
func (w *walker) promote(s *walkState, t uint8, j int) {
	p := &s.promoters[t]
	if p.claimed && s.fence[j] < t {
		n := *s
		n.fence[j], n.primary[j] = t, 0
		if !p.done {
			n.promoters[t].fenced |= 1 << j
			last := s.logs[j].last()
			n.promoters[t].tails[j] = struct{ term, n uint8 }{uint8(last.Term), uint8(last.Index)}
		}
		w.visit(n)
	}
	if p.done || memberSet(p.fenced).size() < walkGroup.Majority() || s.fence[j] != t {
		return
	}
	if !w.chosen(p, j) {
		return
	}
	n := *s
	n.promoters[t] = walkPromoter{claimed: true, done: true}
	n.primary[j] = t
	n.logs[j].add(walkEntry{term: t})
	n.opening[t] = walkWrite{term: t, n: n.logs[j].n}
	w.visit(n)
}

// chosen reports whether the promoter chooses member j, whatever it is told to
// avoid.
func (w *walker) chosen(p *walkPromoter, j int) bool {
	var tails [walkMembers]target.Status
	for k, tail := range p.tails {
		tails[k].Last = position.Position{Term: position.Term(tail.term), Index: uint64(tail.n)}
	}
	for set := range 1 << walkMembers {
		var avoid []string
		for k, name := range walkGroup {
			if set>>k&1 == 1 {
				avoid = append(avoid, name)
			}
		}
		if choose(w.rules, walkGroup, memberSet(p.fenced), tails[:], avoid) == j {
			return true
		}
	}
	return false
}

// look lets member i be asked about write k: for its status, for a read on a
// replica, or for the request record.
func (w *walker) look(s *walkState, k uint8, i int) {
	x := &s.writes[k]
	entry := walkEntry{x.term, k}
	switch {
	case w.reads && x.shown == 0 && s.logs[i].has(entry):
		st := s.status(i)
		if replicaRead(w.rules, st.Joined, st, walkMembers) == Confirmed {
			n := *s
			n.writes[k].shown = s.fence[i]
			w.visit(n)
		}
	case !w.reads && !x.acked:
		n := *s
		w.observe(&n, &n.writes[k], i)
		w.visit(n)
	}
	if s.primary[i] <= x.term || x.notRun != 0 {
		return
	}
	t := s.primary[i]
	p := Primary{Name: walkGroup[i], Term: position.Term(t), Open: s.opening[t].acked}
	r := RecordLookup{Term: p.Term, Read: true, Found: s.logs[i].has(entry)}
	n := *s
	switch settle(w.rules, UnclearRequest{HasID: true, Term: position.Term(x.term), ConnectionTerm: position.Term(x.term)}, p, r) {
	case StepNotRun:
		n.writes[k].notRun = t
		w.visit(n)
	case StepDone:
		if x.shown == 0 {
			n.writes[k].shown = t
			w.visit(n)
		}
	}
}

// broken returns the promise that a state breaks.
func (s *walkState) broken() string {
	for k := uint8(1); k <= s.issued; k++ {
		x := s.writes[k]
		if x.notRun != 0 && (x.acked || x.shown != 0) {
			return fmt.Sprintf("write %d of term %d was called not run, and was acknowledged or shown", k, x.term)
		}
		for i, t := range s.primary {
			has := s.logs[i].has(walkEntry{x.term, k})
			switch {
			case x.acked && t > x.term && !has:
				return fmt.Sprintf("write %d of term %d was acknowledged and is missing in term %d", k, x.term, t)
			case x.shown != 0 && t > x.shown && !has:
				return fmt.Sprintf("write %d was shown in term %d and is missing in term %d", k, x.shown, t)
			case x.notRun != 0 && t > x.notRun && has:
				return fmt.Sprintf("write %d was called not run in term %d and is found in term %d", k, x.notRun, t)
			}
		}
	}
	return ""
}

// walk returns the number of states and the first broken promise.
func walk(r *rules, terms, writes int, reads bool) (int, string) {
	w := walker{rules: r, terms: uint8(terms), write: uint8(writes), reads: reads,
		seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	w.visit(walkState{fence: [walkMembers]uint8{1, 1, 1}, primary: [walkMembers]uint8{1}})
	for len(w.todo) > 0 {
		level := w.todo
		w.todo = nil
		for i := range level {
			if b := level[i].broken(); b != "" {
				return len(w.seen), b
			}
			w.expand(&level[i])
		}
	}
	return len(w.seen), ""
}

func TestWalk(t *testing.T) {
	for _, reads := range []bool{false, true} {
		states, broken := walk(&safeRules, *walkTerms, *walkWrites, reads)
		t.Logf("terms %d writes %d reads %v: %d states, broken: %q", *walkTerms, *walkWrites, reads, states, broken)
		if broken != "" {
			t.Error(broken)
		}
	}
}

// TestWalkNeedsEachRule takes out one condition at a time and expects a history
// that breaks a promise.
func TestWalkNeedsEachRule(t *testing.T) {
	indexOnly := func(a, b position.Position) int {
		return position.Position{Index: a.Index}.Compare(position.Position{Index: b.Index})
	}
	cases := []struct {
		name  string
		reads bool
		take  func(r *rules)
	}{
		{"the fence term in the status round", false, func(r *rules) {
			r.counts = func(s target.Status, p position.Position) bool { return s.Last.Covers(p) && s.Last.Term == p.Term }
		}},
		{"the term of the last entry, so that a leftover tail counts", false, func(r *rules) {
			r.counts = func(s target.Status, p position.Position) bool {
				return s.Fence == p.Term && s.Joined == p.Term && s.Last.Index >= p.Index
			}
		}},
		{"all but the index in the acknowledgement", false, func(r *rules) {
			r.counts = func(s target.Status, p position.Position) bool { return s.Last.Index >= p.Index }
		}},
		{"the term in the choice of a primary", false, func(r *rules) { r.compare = indexOnly }},
		{"the opening entry before a judgement", false, func(r *rules) {
			r.mayJudge = func(bool) bool { return true }
		}},
		{"the own entry of a replica's term before a read", true, func(r *rules) {
			r.shows = func(s target.Status) bool { return !s.Primary && s.Fence == s.Joined }
		}},
		{"that a replica does not call itself primary", true, func(r *rules) {
			r.shows = func(s target.Status) bool { return s.Fence == s.Joined && s.Last.Term == s.Joined }
		}},
	}
	for _, c := range cases {
		r := safeRules
		c.take(&r)
		states, broken := walk(&r, 3, 2, c.reads)
		t.Logf("without %s: after %d states: %s", c.name, states, broken)
		if broken == "" {
			t.Errorf("without %s: nothing broke", c.name)
		}
	}
}
