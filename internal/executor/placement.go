package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Candidate is the state of one target that may run a read.
type Candidate struct {
	// Index identifies the target; RankCandidates returns it.
	Index    int
	Leader   bool
	Draining bool
	// Distance is 0 for a target in the daemon's own failure domain, 1 in its own region
	// and 2 in another region.
	Distance int
	Slots    int
	// Running is the number of statements that this daemon has at the target.
	// ExpectedWait is the predicted wait in the gate of the target.
	Running      int
	ExpectedWait time.Duration
	Latency      time.Duration
	// Opening is the time that it costs to open a connection for the tenant of the read, 0
	// if one is open.
	Opening    time.Duration
	Cold       bool
	FailingFor time.Duration
	SilentFor  time.Duration
	Applied    position.Position
	Lag        time.Duration
	// Behind reports whether the target has just answered that it lacks a position as old
	// as the required one.
	Behind bool
}

// Requirement is the log position that a target must have applied to serve a read.
type Requirement struct {
	Position position.Position
	// Age is the time since the primary's log ended at Position.
	Age time.Duration
}

// Placement costs, and the limits that they are computed with.
const (
	// crossRegionCost is the round trip between regions and the price of the traffic.
	crossRegionCost = 90 * time.Millisecond
	// crossDomainCost is the round trip between failure domains and the price of the
	// traffic.
	crossDomainCost = 8 * time.Millisecond
	// leaderCost reserves the leader's slots for writes and reads of current data.
	leaderCost = 10 * time.Millisecond
	// minLatency is the least latency assumed, also of a target without answers so far.
	minLatency = 25 * time.Millisecond
	// coldLatencyFactor multiplies the latency of a target that has just started.
	coldLatencyFactor = 2
	// behindRetryCost is the cost of an answer that the target is behind, and of the retry.
	behindRetryCost = 60 * time.Millisecond
	// failingCost ranks targets last that failed and have not answered since.
	failingCost = 10 * time.Second
	// silenceTimeout is the time without an answer after which a target counts as
	// failing.
	silenceTimeout = 250 * time.Millisecond
)

// RankCandidates returns the indices of the candidates for a read, the cheapest first. It
// omits targets that are draining or have just been found too far behind.
func RankCandidates(candidates []Candidate, required Requirement) []int {
	type scored struct {
		index int
		cost  time.Duration
	}
	var order []scored
	for _, c := range candidates {
		if !c.Draining && !c.Behind {
			order = append(order, scored{c.Index, placementCost(c, required)})
		}
	}
	slices.SortStableFunc(order, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]int, len(order))
	for i, s := range order {
		out[i] = s.index
	}
	return out
}

// placementCost returns the expected time until a candidate answers. Other costs are
// added as time.
func placementCost(c Candidate, required Requirement) time.Duration {
	latency := max(c.Latency, minLatency)
	if c.Cold {
		latency *= coldLatencyFactor
	}
	cost := latency + c.ExpectedWait + c.Opening + latency*time.Duration(c.Running)/time.Duration(max(c.Slots, 1))
	switch c.Distance {
	case 1:
		cost += crossDomainCost
	case 2:
		cost += crossRegionCost
	}
	if c.Leader {
		cost += leaderCost
	} else if !c.Applied.Covers(required.Position) && required.Age <= c.Lag {
		cost += behindRetryCost
	}
	if c.FailingFor > 0 || c.SilentFor > silenceTimeout {
		cost += failingCost
	}
	return cost
}
