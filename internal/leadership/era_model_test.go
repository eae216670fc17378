package leadership_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// This file adds to the model of model_test.go that the store may return to any earlier state
// of its history, in the next era, at any point and twice. It explores every interleaving of
// the steps of a promoter of the first era, a daemon that takes the promotion lock in a later
// one, and a daemon that may return answers of the old primary by a primary lease. Messages
// that are under way arrive at any time, also in a later era. The read of the store by which
// a lease is granted is one step: one that starts earlier gives a shorter lease.

// Clock of this model, in the ticks of model_test.go.
const (
	eraLastTick = 13
	// eraQuiet is the time for which the lock is not taken after an era was first seen.
	eraQuiet = 5
	// actDelay bounds the time from the last write of the record to the promote call, and
	// effectDelay that from the call to its effect.
	actDelay, effectDelay = 1, 3
	// leaseTicks is the TTL of a primary lease, and holderGap the least time between acts of
	// two holders.
	leaseTicks, holderGap = int8(primarylease.TTL / tick), 6
	maxEra                = 2
)

// eraVariant selects rules to leave out.
type eraVariant struct {
	ignoresEra    bool // takes a record of an earlier era for a present one
	noQuiet       bool // takes the lock as soon as an era is seen
	noSettlement  bool // takes the lock without asking the targets
	foreignWrites bool // takes a write for successful whatever the era of its answer
}

// storeState is the part of the store that the protocol depends on: whether the record has
// the intent of the promotion, and the era in which it was written.
type storeState struct {
	intent    bool
	writtenIn int8
}

// bit returns the bit of the state in a set of states.
func (s storeState) bit() uint8 {
	b := uint8(1) << (2 * s.writtenIn)
	if s.intent {
		b <<= 1
	}
	return b
}

// allStoreStates are the states of the store.
func allStoreStates() []storeState {
	var out []storeState
	for e := int8(0); e <= maxEra; e++ {
		out = append(out, storeState{writtenIn: e}, storeState{writtenIn: e, intent: true})
	}
	return out
}

// eraState is one state of the model.
type eraState struct {
	now, era, eraBegan int8
	store              storeState
	// history is the set of states that the store has been in.
	history uint8

	// The promoter of era 0: when its intent was acknowledged, when it last verified the
	// lock, and when it called; -1 for not yet. held and promoted are seen by the targets.
	ackedAt, verifiedAt, calledAt int8
	held, promoted                bool

	// The daemon that takes the lock in a later era: the record that it is about to write,
	// and when it got the lock and when it called.
	claiming             bool
	claim                storeState
	claimedIn, claimedAt int8
	laterCalledAt        int8

	// The newest read of the store: when it was made, -1 for none, its era, and what it
	// showed.
	readAt, readEra int8
	read            storeState
}

// normalized returns the state without times that make no difference any more.
func (s eraState) normalized() eraState {
	s.history |= s.store.bit()
	if s.readAt >= 0 && s.now-s.readAt >= leaseTicks {
		s.readAt, s.readEra, s.read = -1, 0, storeState{}
	}
	if s.verifiedAt >= 0 && s.now-s.verifiedAt > actDelay {
		s.verifiedAt = -1
	}
	if s.calledAt >= 0 {
		s.verifiedAt = -1
	}
	if s.claimedIn > 0 {
		s.claimedAt = max(s.claimedAt, s.now-leaseTicks-1)
	}
	if s.ackedAt >= 0 {
		s.ackedAt = max(s.ackedAt, s.now-leaseTicks-1)
	}
	s.eraBegan = max(s.eraBegan, s.now-eraQuiet)
	return s
}

// lease returns the verdict of the primary lease on an answer that the old primary gives now.
func (s eraState) lease(v eraVariant) primarylease.Verdict {
	if s.readAt < 0 {
		return primarylease.Expired
	}
	r := &primarylease.Record{
		Intents: map[string]position.Term{"g": 1}, ReadStart: sinceBoot(s.readAt),
		Read: store.Point{Era: store.AnnouncedEra(uint64(s.readEra))}, WrittenIn: store.AnnouncedEra(uint64(s.read.writtenIn)),
	}
	if s.read.intent {
		r.Intents["g"] = 2
	}
	if v.ignoresEra {
		r.WrittenIn = r.Read.Era
	}
	return r.Evaluate("g", 1, sinceBoot(s.now))
}

// violated reports whether an answer of the deposed primary may be returned, or two holders
// act too soon after each other.
func (s eraState) violated(v eraVariant) bool {
	if s.promoted && s.lease(v) == primarylease.Allowed {
		return true
	}
	return s.calledAt >= 0 && s.laterCalledAt >= 0 && s.laterCalledAt-s.calledAt < holderGap
}

// next returns the states that are reachable by one step.
func (s eraState) next(v eraVariant) []eraState {
	var out []eraState
	step := func(allowed bool, change func(*eraState)) {
		if allowed {
			n := s
			change(&n)
			out = append(out, n.normalized())
		}
	}
	callDue := s.calledAt >= 0 && !s.promoted && s.now-s.calledAt >= effectDelay
	step(s.now < eraLastTick && !callDue, func(n *eraState) { n.now++ })
	for _, earlier := range allStoreStates() {
		step(s.era < maxEra && s.history&earlier.bit() != 0, func(n *eraState) {
			n.store, n.era, n.eraBegan = earlier, s.era+1, s.now
		})
	}
	s.promoterSteps(v, step)
	s.claimSteps(v, step)
	step(s.readAt < s.now, func(n *eraState) { n.readAt, n.readEra, n.read = s.now, s.era, s.store })
	return out
}

// promoterSteps are those of the promoter of era 0.
func (s eraState) promoterSteps(v eraVariant, step func(bool, func(*eraState))) {
	step(s.ackedAt < 0 && s.era == 0, func(n *eraState) { n.store.intent, n.ackedAt = true, s.now })
	step(s.ackedAt >= 0 && !s.held && s.calledAt < 0, func(n *eraState) { n.held = true })
	waited := s.ackedAt >= 0 && sinceBoot(s.now) >= sinceBoot(s.ackedAt)+primarylease.TTL+primarylease.Margin
	step(waited && s.held && s.calledAt < 0 && s.verifiedAt < s.now && (s.era == 0 || v.foreignWrites), func(n *eraState) { n.verifiedAt = s.now })
	step(s.verifiedAt >= 0 && s.calledAt < 0 && s.now-s.verifiedAt <= actDelay, func(n *eraState) { n.calledAt = s.now })
	step(s.calledAt >= 0 && !s.promoted, func(n *eraState) { n.promoted, n.held = true, false })
}

// claimSteps are those of the daemon that takes the lock in a later era: it asks the targets,
// and its write may arrive at any time after that, also in a later era.
func (s eraState) claimSteps(v eraVariant, step func(bool, func(*eraState))) {
	quiet := s.now-s.eraBegan >= eraQuiet || v.noQuiet
	step(s.era > 0 && s.store.writtenIn != s.era && !s.claiming && quiet, func(n *eraState) {
		n.claiming, n.claim = true, storeState{writtenIn: s.era, intent: s.store.intent}
		if !v.noSettlement {
			n.claim.intent = n.claim.intent || s.held || s.promoted
		}
	})
	step(s.claiming, func(n *eraState) {
		n.claiming, n.store = false, s.claim
		if s.claim.writtenIn == s.era {
			n.claimedIn, n.claimedAt = s.era, s.now
		}
	})
	holds := s.claimedIn > 0 && s.claimedIn == s.era && s.now-s.claimedAt > leaseTicks
	step(holds && s.laterCalledAt < 0, func(n *eraState) { n.laterCalledAt = s.now })
}

// exploreEras visits all reachable states. It reports whether a state is a violation, whether
// a lease is ever granted in a later era, and the number of states.
func exploreEras(v eraVariant) (violated, granted bool, states int) {
	start := eraState{ackedAt: -1, verifiedAt: -1, calledAt: -1, laterCalledAt: -1, readAt: -1}
	start = start.normalized()
	visited := map[eraState]struct{}{start: {}}
	queue := []eraState{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if s.violated(v) {
			return true, granted, len(visited)
		}
		granted = granted || s.readEra > 0 && s.lease(v) == primarylease.Allowed
		for _, n := range s.next(v) {
			if _, ok := visited[n]; !ok {
				visited[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return false, granted, len(visited)
}

func TestProtocolModelWithEras(t *testing.T) {
	Convey("No interleaving with a store that returns from an older copy returns an answer of a deposed primary", t, func() {
		started := time.Now()
		violated, granted, states := exploreEras(eraVariant{})
		So(violated, ShouldBeFalse)
		So(granted, ShouldBeTrue)
		So(states, ShouldBeGreaterThan, 10000)
		t.Logf("%d states in %s", states, time.Since(started))
	})
	Convey("Without one of the rules, some interleaving does, or two holders act too soon after each other", t, func() {
		for name, v := range map[string]eraVariant{
			"era of the record":       {ignoresEra: true},
			"quiet time of an era":    {noQuiet: true},
			"terms of the targets":    {noSettlement: true},
			"era of a write's answer": {foreignWrites: true},
			"the rules without eras":  {ignoresEra: true, noQuiet: true, noSettlement: true},
		} {
			Convey(name, func() {
				violated, _, _ := exploreEras(v)
				So(violated, ShouldBeTrue)
			})
		}
	})
}
