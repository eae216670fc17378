package group

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// Observation is a status of one instance with the times of the call that gave
// it. The status was true at some moment between the two.
type Observation struct {
	Status target.Status
	// CallStarted is when the call started.
	CallStarted time.Time
	// CallEnded is when the call returned.
	CallEnded time.Time
}

// statuses keeps the latest observation of each member.
type statuses struct {
	electorate Electorate
	latest     []Observation
	known      memberSet
}

func newStatuses(e Electorate) statuses {
	if len(e) > maxMembers {
		panic("group: electorate is too large")
	}
	return statuses{electorate: e, latest: make([]Observation, len(e))}
}

// observe keeps o if it is newer than what is known of its instance. An instance
// never lowers its fence, so an observation with a lower one is older whatever
// its times say. It returns the place of the member, or -1 for a stranger.
func (s *statuses) observe(o Observation) (int, bool) {
	i := s.electorate.Index(o.Status.Target)
	if i < 0 {
		return i, false
	}
	if s.known.has(i) && older(o, s.latest[i]) {
		return i, false
	}
	s.latest[i] = o
	s.known = s.known.with(i)
	return i, true
}

func older(o, than Observation) bool {
	if o.Status.Fence != than.Status.Fence {
		return o.Status.Fence < than.Status.Fence
	}
	return o.CallStarted.Before(than.CallStarted)
}
