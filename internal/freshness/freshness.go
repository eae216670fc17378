// Package freshness keeps what is known of the primary's position over time and
// tells which position a read must cover.
package freshness

import (
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Sample says that the rightful primary's log ended at Position or later when
// At began. At is a time since boot.
type Sample struct {
	At       time.Duration
	Position position.Position
}

// Bounds of the record.
const (
	// maxFacts bounds the memory of one group.
	maxFacts = 256
	// minSpacing keeps a fact off the record when one nearly as old is there.
	minSpacing = 20 * time.Millisecond
	// keepFor is how long facts are kept; no route accepts older data for long
	// enough to use them.
	keepFor = 30 * time.Second
)

// History holds the facts of one group, oldest first. Its methods may be called by
// any goroutine.
type History struct {
	mu    sync.Mutex
	facts []Sample // guarded by mu
}

// Add records a fact.
func (r *History) Add(f Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.facts); n > 0 && f.At < r.facts[n-1].At+minSpacing {
		return
	}
	first := 0
	for first < len(r.facts) && (r.facts[first].At < f.At-keepFor || len(r.facts)-first >= maxFacts) {
		first++
	}
	r.facts = append(r.facts[first:], f)
}

// OldestSince returns the oldest fact that is not older than at. A read whose log covers
// its position holds every commit that was acknowledged before at.
func (r *History) OldestSince(at time.Duration) (Sample, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.facts {
		if f.At >= at {
			return f, true
		}
	}
	return Sample{}, false
}

// NewestTime returns the time of the newest fact.
func (r *History) NewestTime() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.facts) == 0 {
		return 0, false
	}
	return r.facts[len(r.facts)-1].At, true
}
