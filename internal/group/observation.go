package group

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// Observation is a status of one instance with the start and end of the call that
// returned it. The status was current at some time between the two.
type Observation struct {
	Status target.Status
	// CallStarted is when the status call was sent.
	CallStarted time.Time
	// CallEnded is when its answer was received.
	CallEnded time.Time
}

// statusTable holds the latest observation of each member of an electorate.
type statusTable struct {
	electorate Electorate
	latest     []Observation
	observed   memberSet
}

func newStatusTable(e Electorate) statusTable {
	if len(e) > maxMembers {
		panic("group: electorate is too large")
	}
	return statusTable{electorate: e, latest: make([]Observation, len(e))}
}

// observe stores o if it is not older than the stored observation of the same
// instance, and reports whether it did. It returns the index of the member, or -1 if
// the instance is not in the electorate.
func (s *statusTable) observe(o Observation) (int, bool) {
	i := s.electorate.Index(o.Status.Target)
	if i < 0 {
		return i, false
	}
	if s.observed.has(i) && isOlder(o, s.latest[i]) {
		return i, false
	}
	s.latest[i] = o
	s.observed = s.observed.with(i)
	return i, true
}

// isOlder reports whether o was taken before than. An instance never lowers its
// fence, so the observation with the lower fence is older regardless of its times.
func isOlder(o, than Observation) bool {
	if o.Status.Fence != than.Status.Fence {
		return o.Status.Fence < than.Status.Fence
	}
	return o.CallStarted.Before(than.CallStarted)
}
