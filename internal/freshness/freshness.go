// Package freshness records the primary's log position over time, and derives from it
// the position that a read with bounded staleness must cover.
package freshness

import (
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Sample is a position that the log of the valid primary reached at a given time or
// later.
type Sample struct {
	// At is a time since boot. Commits acknowledged before it are covered by Position.
	At       time.Duration
	Position position.Position
}

// Limits of a history.
const (
	// maxSamples limits the memory of one group.
	maxSamples = 256
	// minSpacing is the minimum time between two samples; a sample that follows the
	// previous one more closely is dropped.
	minSpacing = 20 * time.Millisecond
	// retention is how long samples are kept. No route has a staleness bound that
	// needs older ones.
	retention = 30 * time.Second
)

// History holds the samples of one group, oldest first. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	samples []Sample // guarded by mu
}

// Add records a sample, unless it is older than the newest one or within minSpacing
// of it.
func (h *History) Add(s Sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.samples); n > 0 && s.At < h.samples[n-1].At+minSpacing {
		return
	}
	first := 0
	for first < len(h.samples) && (h.samples[first].At < s.At-retention || len(h.samples)-first >= maxSamples) {
		first++
	}
	h.samples = append(h.samples[first:], s)
}

// OldestSince returns the oldest sample taken at the given time since boot or later. A
// read from a log that covers its position sees every commit that was acknowledged
// before that time. It reports false if there is no such sample.
func (h *History) OldestSince(at time.Duration) (Sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.samples {
		if s.At >= at {
			return s, true
		}
	}
	return Sample{}, false
}

// Newest returns the newest sample. It reports false if the history is empty.
func (h *History) Newest() (Sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return Sample{}, false
	}
	return h.samples[len(h.samples)-1], true
}
