package group

import (
	"flag"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

var historySearchMax = flag.Int("history.search", 0, "highest seed tried when searching for a history that needs a mechanism; 0 uses the known seeds")

// mutation is a simulation with one safety mechanism disabled.
type mutation struct {
	name    string
	options simOptions
	// violatingSeed is the seed of a history that violates a guarantee without the
	// mechanism.
	violatingSeed int
}

func mutateRules(seed int, name string, mutate func(r *rules)) mutation {
	r := safeRules
	mutate(&r)
	return mutation{name, simOptions{rules: &r}, seed}
}

// mutations returns the mechanisms whose necessity random histories demonstrate. Some
// rules are covered only by TestWalkNeedsEachRule: the term of the last entry in
// acknowledgements and in the choice of a primary, and the opening entry before a
// request is resolved. The last one is redundant here, because the lookup of the request
// record is itself confirmed, which also requires an entry of the term on a majority.
func mutations() []mutation {
	return []mutation{
		mutateRules(9, "the fence term in acknowledgements", func(r *rules) {
			r.acknowledges = func(s target.Status, p position.Position) bool { return s.Last.Covers(p) }
		}),
		mutateRules(21, "an entry of the replica's term before a read", func(r *rules) {
			r.isValidReplica = func(s target.Status) bool { return !s.Primary && s.Fence == s.Joined }
		}),
		mutateRules(51, "the rule that a replica does not report itself as primary", func(r *rules) {
			r.isValidReplica = func(s target.Status) bool { return s.Fence == s.Joined && s.Last.Term == s.Joined }
		}),
		{"the termination of connections by a fence", simOptions{connectionsSurviveFence: true}, 132},
		{"the record of request IDs", simOptions{noRecord: true}, 0},
	}
}
