package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Candidate is what placement knows of one target.
type Candidate struct {
	// Index is the caller's name of the target.
	Index    int
	Leader   bool
	Draining bool
	// Distance is 0 in the own failure domain, 1 in the own region, 2 beyond.
	Distance int
	Slots    int
	// Running is the number of this daemon's statements at the target, Wait the
	// expected wait before it.
	Running      int
	ExpectedWait time.Duration
	Latency      time.Duration
	Cold         bool
	FailingFor   time.Duration
	SilentFor    time.Duration
	Applied      position.Position
	Lag          time.Duration
	// Behind says that the target has just lacked a position as old as the need's.
	Behind bool
}

// Requirement is what a read needs of a log.
type Requirement struct {
	Position position.Position
	// Age is the time since the primary's log ended at Position.
	Age time.Duration
}

// Costs of placement.
const (
	// regionCost is the round trip between regions and the price of its bytes.
	regionCost = 90 * time.Millisecond
	// domainCost is the round trip between failure domains and its bytes.
	domainCost = 8 * time.Millisecond
	// leaderCost keeps the leader's slots for writes and current reads.
	leaderCost = 10 * time.Millisecond
	// firstLatency stands for the latency of a target that has answered nothing.
	firstLatency = 25 * time.Millisecond
	// coldFactor is how much longer a target that has just started takes.
	coldFactor = 2
	// behindCost is that of an answer that the target is behind, and another try.
	behindCost = 60 * time.Millisecond
	// failingCost puts targets last that failed and have not answered since.
	failingCost = 10 * time.Second
	// silentAfter is the silence from which a target counts as failing.
	silentAfter = 250 * time.Millisecond
)

// RankCandidates orders the targets for a read, the cheapest first, and leaves out those
// that take no new work or have just been found too far behind.
func RankCandidates(candidates []Candidate, need Requirement) []int {
	type scored struct {
		index int
		cost  time.Duration
	}
	var order []scored
	for _, c := range candidates {
		if !c.Draining && !c.Behind {
			order = append(order, scored{c.Index, costOf(c, need)})
		}
	}
	slices.SortStableFunc(order, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]int, len(order))
	for i, s := range order {
		out[i] = s.index
	}
	return out
}

// costOf is the expected time of an answer, with prices as time.
func costOf(c Candidate, need Requirement) time.Duration {
	latency := max(c.Latency, firstLatency)
	if c.Cold {
		latency *= coldFactor
	}
	cost := latency + c.ExpectedWait + latency*time.Duration(c.Running)/time.Duration(max(c.Slots, 1))
	switch c.Distance {
	case 1:
		cost += domainCost
	case 2:
		cost += regionCost
	}
	if c.Leader {
		cost += leaderCost
	} else if !c.Applied.Covers(need.Position) && need.Age <= c.Lag {
		cost += behindCost
	}
	if c.FailingFor > 0 || c.SilentFor > silentAfter {
		cost += failingCost
	}
	return cost
}
