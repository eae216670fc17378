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

// The walk visits every order of the steps of a promoter, two replicas, and a
// daemon that passes an answer of the old primary on. The primary is cut off from
// the other targets and goes on answering; any process may rest for any time.

// tick is the granularity of the walk's clock.
const (
	tick     = primarylease.TTL / 2
	lastTick = 5
)

// rules are the parts of the protocol that a variant leaves out.
type rules struct {
	oneReplica  bool // asks one replica in place of all
	noWait      bool // promotes without waiting for leases to run out
	begunAtEnd  bool // a record counts from the end of its read
	judgeAtSend bool // a lease is held against the time the statement was sent
	noHold      bool // promotes without holding the replicas
}

// world is one state of the walk. It is comparable, so that states are visited once.
type world struct {
	now int8
	// term and held are those of the two replicas; replica 0 is promoted.
	term, held [2]int8
	restarted  [2]bool
	// intent is what the store holds, ackedAt when the promoter knew it.
	intent  bool
	acked   bool
	ackedAt int8
	called  bool
	// effect says that the promotion has taken effect.
	effect bool

	// The daemon's statement: sent, ran (with the old primary deposed or not),
	// answered.
	sent, ran, answered bool
	sentAt, answeredAt  int8
	ranDeposed          bool
	// The daemon's read of the store and the record it brought.
	reading, linearized, haveRecord bool
	readBegun, recordBegun          int8
	readIntent, recordIntent        bool
	// The answers of replicas that were asked after the answer.
	asked [2]bool
	shown [2]int8

	accepted bool
}

// at converts a tick to a time since boot.
func at(t int8) time.Duration {
	return time.Duration(t+1) * tick
}

func (w world) record() *primarylease.Record {
	if !w.haveRecord {
		return nil
	}
	r := &primarylease.Record{Intents: map[string]position.Term{"g": 1}, ReadStart: at(w.recordBegun)}
	if w.recordIntent {
		r.Intents["g"] = 2
	}
	return r
}

// next returns the states that one step leads to.
func (w world) next(v rules) []world {
	var out []world
	step := func(allowed bool, change func(*world)) {
		if allowed {
			n := w
			change(&n)
			out = append(out, n)
		}
	}
	step(w.now < lastTick, func(n *world) { n.now++ })

	// The store may apply the intent long before the promoter hears of it.
	step(!w.intent, func(n *world) { n.intent = true })
	step(w.intent && !w.acked, func(n *world) { n.acked, n.ackedAt = true, n.now })
	for i := range 2 {
		step(w.acked && !w.called && w.held[i] == 0 && w.term[i] == 1, func(n *world) { n.held[i] = 2 })
		step(!w.restarted[i] && w.held[i] != 0, func(n *world) { n.restarted[i], n.held[i] = true, 0 })
	}
	waited := at(w.now) >= at(w.ackedAt)+primarylease.TTL+primarylease.Margin || v.noWait
	held := leadership.HoldsSuffice(w.observed(), "p", 2, 0) || v.noHold
	step(w.acked && !w.called && waited && (held || w.restarted != [2]bool{}), func(n *world) { n.called = true })
	step(w.called && !w.effect, func(n *world) {
		// The promotion releases the holds of all; only the promoted joins at once.
		n.effect, n.held, n.term[0] = true, [2]int8{}, 2
	})
	step(w.effect && w.term[1] == 1, func(n *world) { n.term[1] = 2 })

	step(!w.sent, func(n *world) { n.sent, n.sentAt = true, n.now })
	step(w.sent && !w.ran, func(n *world) { n.ran, n.ranDeposed = true, n.effect })
	step(w.ran && !w.answered, func(n *world) { n.answered, n.answeredAt = true, n.now })

	step(!w.reading && !w.haveRecord, func(n *world) { n.reading, n.readBegun = true, n.now })
	step(w.reading && !w.linearized, func(n *world) { n.linearized, n.readIntent = true, n.intent })
	step(w.reading && w.linearized, func(n *world) {
		n.reading, n.linearized, n.haveRecord = false, false, true
		n.recordBegun, n.recordIntent = n.readBegun, n.readIntent
		if v.begunAtEnd {
			n.recordBegun = n.now
		}
	})
	for i := range 2 {
		step(w.answered && !w.asked[i], func(n *world) { n.asked[i], n.shown[i] = true, max(n.term[i], n.held[i]) })
	}
	step(w.answered && !w.accepted && w.counts(v), func(n *world) { n.accepted = true })
	return out
}

func (w world) observed() []leadership.Observation {
	seen := []leadership.Observation{{ID: "p"}}
	for i, id := range []string{"a", "b"} {
		seen = append(seen, leadership.Observation{
			ID: id, Reached: true,
			Status: query.TargetStatus{Term: position.Term(w.term[i]), Held: position.Term(w.held[i])},
		})
	}
	return seen
}

// counts reports whether the daemon may pass the answer on.
func (w world) counts(v rules) bool {
	judged := w.answeredAt
	if v.judgeAtSend {
		judged = w.sentAt
	}
	if w.record().Evaluate("g", 1, at(judged)) == primarylease.Allowed {
		return true
	}
	if v.oneReplica {
		return w.asked[1] && w.shown[1] <= 1
	}
	return w.asked[0] && w.asked[1] && w.shown[0] <= 1 && w.shown[1] <= 1
}

// walk visits all states and reports whether an answer that a deposed primary gave
// is ever passed on, and whether any answer is.
func walk(v rules) (broken, accepted bool, states int) {
	start := world{term: [2]int8{1, 1}}
	visited := map[world]struct{}{start: {}}
	queue := []world{start}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		accepted = accepted || w.accepted
		if w.accepted && w.ranDeposed {
			return true, accepted, len(visited)
		}
		if w.accepted {
			continue
		}
		for _, n := range w.next(v) {
			if _, ok := visited[n]; !ok {
				visited[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return false, accepted, len(visited)
}

func TestWalk(t *testing.T) {
	Convey("No order of steps passes an answer of a deposed primary on", t, func() {
		broken, accepted, states := walk(rules{})
		So(broken, ShouldBeFalse)
		So(accepted, ShouldBeTrue)
		So(states, ShouldBeGreaterThan, 10000)
	})
	Convey("Each variant that leaves a rule out is broken by some order", t, func() {
		for name, v := range map[string]rules{
			"one replica":      {oneReplica: true},
			"no wait":          {noWait: true},
			"begun at the end": {begunAtEnd: true},
			"judged at send":   {judgeAtSend: true},
		} {
			Convey(name, func() {
				broken, _, _ := walk(v)
				So(broken, ShouldBeTrue)
			})
		}
	})
	Convey("Holds keep logs from moving; the proof does not hang on them", t, func() {
		broken, _, _ := walk(rules{noHold: true})
		So(broken, ShouldBeFalse)
	})
}
