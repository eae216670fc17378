package leadership_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// This file is a model checker for the protocol of primary leases and holds. It explores
// every interleaving of the steps of a promoter, two replicas, and a daemon that returns
// an answer of the old primary. The old primary is partitioned from the other targets
// and keeps answering; any process may pause for any time.

// tick is the granularity of the model's clock, lastTick its last value.
const (
	tick     = primarylease.TTL / 2
	lastTick = 5
)

// variant selects rules of the protocol to leave out or to break.
type variant struct {
	queryOneReplica  bool // queries one replica instead of all
	noLeaseWait      bool // promotes without waiting for leases to expire
	leaseFromReadEnd bool // counts the lease from the end of the read instead of its start
	checkAtSend      bool // checks the lease at the time that the statement was sent
	noHold           bool // promotes without holding the replicas
}

// modelState is one state of the model. It is comparable, so that each state is visited
// only once.
type modelState struct {
	now int8
	// term and held are the terms of the two replicas; replica 0 is promoted.
	term, held [2]int8
	restarted  [2]bool
	// intent reports whether the store holds the intent, acked and ackedAt whether and
	// when the promoter received the store's acknowledgement. called reports whether
	// the promoter has requested the promotion.
	intent  bool
	acked   bool
	ackedAt int8
	called  bool
	// promoted reports whether the promotion has taken effect.
	promoted bool

	// State of the daemon's statement on the old primary. executedAfterPromotion
	// reports whether the old primary was deposed when it executed the statement.
	sent, executed, answered bool
	sentAt, answeredAt       int8
	executedAfterPromotion   bool
	// State of the daemon's read of the store, and the record that it returned.
	reading, linearized, haveRecord bool
	readStart, recordStart          int8
	readIntent, recordIntent        bool
	// The replicas that were queried after the answer, and the terms they reported.
	queried      [2]bool
	reportedTerm [2]int8

	// accepted reports whether the daemon returned the answer to the caller.
	accepted bool
}

// sinceBoot converts a tick to a time since boot, which is never 0.
func sinceBoot(t int8) time.Duration {
	return time.Duration(t+1) * tick
}

// record returns the daemon's record of the intents, nil if it has none.
func (s modelState) record() *primarylease.Record {
	if !s.haveRecord {
		return nil
	}
	r := &primarylease.Record{Intents: map[string]position.Term{"g": 1}, ReadStart: sinceBoot(s.recordStart)}
	if s.recordIntent {
		r.Intents["g"] = 2
	}
	return r
}

// next returns the states that are reachable by one step.
func (s modelState) next(v variant) []modelState {
	var out []modelState
	step := func(allowed bool, change func(*modelState)) {
		if allowed {
			n := s
			change(&n)
			out = append(out, n)
		}
	}
	step(s.now < lastTick, func(n *modelState) { n.now++ })

	// The store may apply the intent long before the promoter gets the acknowledgement.
	step(!s.intent, func(n *modelState) { n.intent = true })
	step(s.intent && !s.acked, func(n *modelState) { n.acked, n.ackedAt = true, n.now })
	for i := range 2 {
		step(s.acked && !s.called && s.held[i] == 0 && s.term[i] == 1, func(n *modelState) { n.held[i] = 2 })
		step(!s.restarted[i] && s.held[i] != 0, func(n *modelState) { n.restarted[i], n.held[i] = true, 0 })
	}
	waited := sinceBoot(s.now) >= sinceBoot(s.ackedAt)+primarylease.TTL+primarylease.Margin || v.noLeaseWait
	held := leadership.HoldsSuffice(s.observed(), "p", 2, 0) || v.noHold
	step(s.acked && !s.called && waited && (held || s.restarted != [2]bool{}), func(n *modelState) { n.called = true })
	step(s.called && !s.promoted, func(n *modelState) {
		// The promotion releases all holds; only the promoted replica joins at once.
		n.promoted, n.held, n.term[0] = true, [2]int8{}, 2
	})
	step(s.promoted && s.term[1] == 1, func(n *modelState) { n.term[1] = 2 })

	step(!s.sent, func(n *modelState) { n.sent, n.sentAt = true, n.now })
	step(s.sent && !s.executed, func(n *modelState) { n.executed, n.executedAfterPromotion = true, n.promoted })
	step(s.executed && !s.answered, func(n *modelState) { n.answered, n.answeredAt = true, n.now })

	step(!s.reading && !s.haveRecord, func(n *modelState) { n.reading, n.readStart = true, n.now })
	step(s.reading && !s.linearized, func(n *modelState) { n.linearized, n.readIntent = true, n.intent })
	step(s.reading && s.linearized, func(n *modelState) {
		n.reading, n.linearized, n.haveRecord = false, false, true
		n.recordStart, n.recordIntent = n.readStart, n.readIntent
		if v.leaseFromReadEnd {
			n.recordStart = n.now
		}
	})
	for i := range 2 {
		step(s.answered && !s.queried[i], func(n *modelState) { n.queried[i], n.reportedTerm[i] = true, max(n.term[i], n.held[i]) })
	}
	step(s.answered && !s.accepted && s.mayReturnAnswer(v), func(n *modelState) { n.accepted = true })
	return out
}

// observed returns what the promoter sees of the targets.
func (s modelState) observed() []leadership.Observation {
	seen := []leadership.Observation{{ID: "p"}}
	for i, id := range []string{"a", "b"} {
		seen = append(seen, leadership.Observation{
			ID: id, Reached: true,
			Status: query.TargetStatus{Term: position.Term(s.term[i]), Held: position.Term(s.held[i])},
		})
	}
	return seen
}

// mayReturnAnswer reports whether the daemon may return the answer to the caller.
func (s modelState) mayReturnAnswer(v variant) bool {
	checkedAt := s.answeredAt
	if v.checkAtSend {
		checkedAt = s.sentAt
	}
	if s.record().Evaluate("g", 1, sinceBoot(checkedAt)) == primarylease.Allowed {
		return true
	}
	if v.queryOneReplica {
		return s.queried[1] && s.reportedTerm[1] <= 1
	}
	return s.queried[0] && s.queried[1] && s.reportedTerm[0] <= 1 && s.reportedTerm[1] <= 1
}

// explore visits all reachable states. It reports whether a daemon ever returns an answer
// of a deposed primary, whether it returns any answer, and the number of states.
func explore(v variant) (violated, accepted bool, states int) {
	start := modelState{term: [2]int8{1, 1}}
	visited := map[modelState]struct{}{start: {}}
	queue := []modelState{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		accepted = accepted || s.accepted
		if s.accepted && s.executedAfterPromotion {
			return true, accepted, len(visited)
		}
		if s.accepted {
			continue
		}
		for _, n := range s.next(v) {
			if _, ok := visited[n]; !ok {
				visited[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return false, accepted, len(visited)
}

func TestProtocolModel(t *testing.T) {
	Convey("No interleaving returns an answer of a deposed primary", t, func() {
		violated, accepted, states := explore(variant{})
		So(violated, ShouldBeFalse)
		So(accepted, ShouldBeTrue)
		So(states, ShouldBeGreaterThan, 10000)
	})
	Convey("Without one of the rules, some interleaving returns such an answer", t, func() {
		for name, v := range map[string]variant{
			"one replica":                    {queryOneReplica: true},
			"no wait":                        {noLeaseWait: true},
			"lease from the end of the read": {leaseFromReadEnd: true},
			"lease checked at send":          {checkAtSend: true},
		} {
			Convey(name, func() {
				violated, _, _ := explore(v)
				So(violated, ShouldBeTrue)
			})
		}
	})
	Convey("Holds keep logs from growing; the safety of answers does not depend on them", t, func() {
		violated, _, _ := explore(variant{noHold: true})
		So(violated, ShouldBeFalse)
	})
}
