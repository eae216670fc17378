package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Instance is an instance of a group and the failure domain it stands in.
type Instance struct {
	Target        string
	FailureDomain string
	// Reachable says that the instance answered lately.
	Reachable bool
	Last      position.Position
}

// ElectionStep is the delay between two ranks.
const ElectionStep = 150 * time.Millisecond

// electionJitter is the largest random addition to a delay.
const electionJitter = 20 * time.Millisecond

// ElectionRank returns the rank of a failure domain among those of the group;
// rank 0 promotes first. Domains with a reachable instance whose log is as far as
// the furthest, or nearly, come first, then the others. Within each the order of
// places decides, which must be the same everywhere: the operators' order of the
// targets, so that domains close to the store and to each other come first. A
// domain without an instance comes last.
func ElectionRank(domain string, places []Instance) int {
	var furthest position.Position
	for _, p := range places {
		if p.Reachable {
			furthest = position.Max(furthest, p.Last)
		}
	}
	var first, rest []string
	for _, p := range places {
		if p.Reachable && almost(p.Last, furthest) {
			first = append(first, p.FailureDomain)
			continue
		}
		rest = append(rest, p.FailureDomain)
	}
	rank := 0
	order := append(first, rest...)
	for i, d := range order {
		if d == domain {
			return rank
		}
		if !slices.Contains(order[:i], d) {
			rank++
		}
	}
	return rank
}

// almost reports whether a log ends so close before another that the difference
// may be entries on their way.
func almost(last, furthest position.Position) bool {
	return last.Term == furthest.Term && last.Index+nearEntries >= furthest.Index
}

// ElectionDelay returns how long the home of a rank waits between its suspicion
// and its promotion. Two homes of one rank differ by their seeds.
func ElectionDelay(rank int, seed uint64) time.Duration {
	r := rand.New(rand.NewPCG(seed, uint64(rank)))
	return time.Duration(rank)*ElectionStep + time.Duration(r.Int64N(int64(electionJitter)))
}
