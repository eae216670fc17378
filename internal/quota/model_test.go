package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// This file is a model checker for the movement of tokens. It explores every order of the
// steps of the accounts of two failure domains, the second with two daemons that may both
// act as owner: grants to gateways, transfers that are lost, duplicated or delayed, crashes,
// successors and a change of the limit. Balances are whole tokens and the clock has ticks;
// the rules are those of Account, which TestModelAgrees compares with the model.

// Parameters of the model. One tick refills one token per account, so that the rate is
// modelDomains tokens a tick.
const (
	modelDomains  = 2
	modelCapacity = 2 // of one account
	modelTicks    = 2 // the window
	// modelBefore is the number of ticks before the window.
	modelBefore = 2
	// modelLife is the number of ticks after which an answer is dropped.
	modelLife = 1
	// modelDispute is the number of ticks for which two owners may act in a domain.
	modelDispute = 1
)

// modelVariant selects a rule to leave out or to break.
type modelVariant struct {
	lateDeduction  bool // the sender deducts only when it hears of the receipt
	acceptTwice    bool // the receiver accepts an answer again
	unlimitedLife  bool // late answers are accepted
	fullSuccessor  bool // a new account starts full
	keepExcess     bool // the excess of a transfer is not dropped
	endlessDispute bool // two owners act in a domain without limit
	lowerLater     bool // a lower limit does not reduce the balance
}

// modelAccount is an account. The account of a daemon that does not act is zero.
type modelAccount struct {
	acts    bool
	balance int8
}

// modelState is one state of the model. It is comparable, so that each state is visited only
// once.
type modelState struct {
	// now is the tick, of the time before the window or, if counting, of the window.
	now      int8
	counting bool
	// accounts are those of the daemon of the first domain and of the two of the second.
	accounts [3]modelAccount
	// dispute counts the ticks during which both daemons of the second domain acted.
	dispute int8
	// pending is whether the first account has a transfer request in flight, and for how
	// many ticks.
	pending bool
	age     int8
	// answer is the number of tokens in the answer; copies how many of it are in flight.
	answer, copies int8
	// granted is whether the request has been granted. asked is the daemon that was asked.
	granted bool
	asked   int8
	rounds  int8
	crashes int8
	// created counts the tokens of new accounts.
	created int8
	// lowered is whether the limit has been lowered in the window, at loweredAt, to a capacity
	// of one token.
	lowered   bool
	loweredAt int8
	// allowed is the number of operations let through in the window, and sinceLowered since
	// the limit was lowered.
	allowed, sinceLowered int8
}

func (s modelState) capacity() int8 {
	if s.lowered {
		return 1
	}
	return modelCapacity
}

// startModel is a state with full accounts, the worst start of a window.
func startModel() modelState {
	return modelState{accounts: [3]modelAccount{{true, modelCapacity}, {true, modelCapacity}, {}}}
}

// next returns the states that are reachable by one step.
func (s modelState) next(v modelVariant) []modelState {
	var out []modelState
	step := func(allowed bool, change func(*modelState)) {
		if allowed {
			n := s
			change(&n)
			out = append(out, n)
		}
	}
	both := s.accounts[1].acts && s.accounts[2].acts
	mayTick := (s.now < modelTicks || !s.counting && s.now < modelBefore) && (!both || s.dispute < modelDispute || v.endlessDispute) && (s.age < modelLife || !s.pending || v.unlimitedLife)
	step(mayTick, func(n *modelState) {
		n.now++
		if both {
			n.dispute++
		}
		if n.pending {
			n.age++
		}
		for i, a := range n.accounts {
			if a.acts {
				n.accounts[i].balance = max(a.balance, min(n.capacity(), a.balance+1))
			}
		}
	})
	step(!s.counting, func(n *modelState) { n.counting, n.now = true, 0 })
	for i, a := range s.accounts {
		step(a.acts && a.balance > 0, func(n *modelState) {
			n.accounts[i].balance--
			if n.counting {
				n.allowed++
			}
			if n.lowered {
				n.sinceLowered++
			}
		})
	}
	// The first account asks one of the daemons of the other domain.
	for i := int8(1); i <= 2; i++ {
		step(!s.pending && s.copies == 0 && s.rounds < 2 && s.accounts[0].acts, func(n *modelState) {
			n.pending, n.age, n.granted, n.asked, n.rounds = true, 0, false, i, n.rounds+1
		})
	}
	sender := s.accounts[s.asked]
	for tokens := int8(1); tokens <= 2; tokens++ {
		step(s.pending && !s.granted && s.asked > 0 && sender.acts && sender.balance >= tokens, func(n *modelState) {
			n.granted, n.answer, n.copies = true, tokens, 1
			if !v.lateDeduction {
				n.accounts[n.asked].balance -= tokens
			}
		})
	}
	step(s.copies == 1, func(n *modelState) { n.copies++ })    // duplicated
	step(s.copies > 0, func(n *modelState) { n.copies-- })     // lost, or dropped because it is late
	step(s.pending, func(n *modelState) { n.pending = false }) // time-out
	step(s.copies > 0 && (s.pending || v.acceptTwice) && s.accounts[0].acts, func(n *modelState) {
		n.copies--
		n.pending = false
		a := &n.accounts[0]
		a.balance += n.answer
		if !v.keepExcess {
			a.balance = min(a.balance, n.capacity())
		}
		if v.lateDeduction {
			n.accounts[n.asked].balance = max(0, n.accounts[n.asked].balance-n.answer)
		}
	})
	// A crash ends an account; pending requests of its process end with it.
	for i, a := range s.accounts {
		step(a.acts && s.crashes < 1, func(n *modelState) {
			n.accounts[i] = modelAccount{}
			n.crashes++
			if i == 0 {
				n.pending = false
			}
		})
		// A daemon begins to act. It may be the successor of one that still acts.
		step(!a.acts && s.created < 2, func(n *modelState) {
			n.accounts[i] = modelAccount{acts: true, balance: 1}
			if v.fullSuccessor {
				n.accounts[i].balance = n.capacity()
			}
			n.created++
		})
	}
	step(!s.lowered && s.counting, func(n *modelState) {
		n.lowered, n.loweredAt = true, n.now
		for i := range n.accounts {
			if !v.lowerLater {
				n.accounts[i].balance = min(n.accounts[i].balance, 1)
			}
		}
	})
	return out
}

// violates reports whether more operations were let through than the bound: the capacities
// of all accounts, the refill of the window, what a domain in dispute issues beyond its
// share, the refill behind tokens in flight, and the tokens of new accounts.
func (s modelState) violates() bool {
	extra := min(s.dispute, modelDispute) + modelLife + s.created
	limit := modelDomains*modelCapacity + modelDomains*s.now + extra
	lowered := modelDomains*1 + modelDomains*(s.now-s.loweredAt) + extra
	return s.allowed > limit || s.sinceLowered > lowered
}

// exploreTokens visits all reachable states. It reports whether one of them violates the
// bound, the highest number of operations let through, and the number of states.
func exploreTokens(v modelVariant) (violated bool, most int8, states int) {
	start := startModel()
	visited := map[modelState]struct{}{start: {}}
	queue := []modelState{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		most = max(most, s.allowed)
		if s.violates() {
			return true, most, len(visited)
		}
		for _, n := range s.next(v) {
			if _, ok := visited[n]; !ok {
				visited[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return false, most, len(visited)
}

func TestTokenModel(t *testing.T) {
	Convey("No order of steps lets more through than the bound", t, func() {
		violated, most, states := exploreTokens(modelVariant{})
		t.Logf("%d states, at most %d operations in a window", states, most)
		So(violated, ShouldBeFalse)
		So(most, ShouldBeGreaterThan, modelDomains*modelCapacity+modelDomains*modelTicks)
		So(states, ShouldBeGreaterThan, 10000)
	})
	Convey("Without one of the rules, some order of steps does", t, func() {
		for name, v := range map[string]modelVariant{
			"deducted after the receipt": {lateDeduction: true},
			"an answer accepted twice":   {acceptTwice: true},
			"a successor that is full":   {fullSuccessor: true},
			"dispute without an end":     {endlessDispute: true},
			"answers accepted late":      {unlimitedLife: true},
			"excess kept":                {keepExcess: true},
			"lower limit applied later":  {lowerLater: true},
		} {
			Convey(name, func() {
				violated, _, _ := exploreTokens(v)
				So(violated, ShouldBeTrue)
			})
		}
	})
}

func TestModelAgrees(t *testing.T) {
	Convey("The steps of the model have the same effect on an Account (guards against a model of something else)", t, func() {
		const tick = time.Second
		limit := Limit{Rate: modelDomains, Burst: 2 * modelCapacity, Version: 1}
		share := Share{Domains: modelDomains}
		a := NewAccount(0, share, limit, other, 0)
		So(a.State(0).Balance, ShouldEqual, 1)
		So(a.State(tick).Balance, ShouldEqual, 2)
		So(a.State(2*tick).Balance, ShouldEqual, modelCapacity)
		So(take(a, 2*tick, 1).Granted, ShouldEqual, 1)
		granted, _ := a.Grant(2*tick, "x", 1, 1, 0)
		So(granted, ShouldBeLessThanOrEqualTo, 1)
		So(a.State(2*tick).Balance, ShouldEqual, 1-granted)

		b := NewAccount(0, share, limit, other, 0)
		b.SetLimit(5*tick, Limit{Rate: modelDomains, Burst: 2, Version: 2})
		So(b.State(5*tick).Balance, ShouldEqual, 1)
	})
}
