package backend

import (
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
)

// Times of a group whose leader's answers can't be confirmed.
const (
	// unprovableAfter is how long confirmations have to fail before requests are
	// refused without a try.
	unprovableAfter = 300 * time.Millisecond
	// trialInterval is the time between the requests that try again.
	trialInterval = 200 * time.Millisecond
)

// provable tells whether answers of the leader can be confirmed at all: a daemon
// that a partition leaves with the old primary reaches neither the store nor the
// replicas, and callers are better off with another daemon at once.
type provable struct {
	mu          sync.Mutex
	failedSince time.Duration // guarded by mu; first failure in a row, since boot
	lastTrial   time.Duration // guarded by mu
	alone       bool          // guarded by mu; the last failure reached no replica
}

func (p *provable) note(c Confirmation, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alone = c == Isolated
	if c == Confirmed {
		p.failedSince = 0
	} else if p.failedSince == 0 {
		p.failedSince = now
	}
}

// try reports whether a request may be tried on the leader.
func (p *provable) try(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedSince == 0 || now-p.failedSince < unprovableAfter {
		return true
	}
	if now-p.lastTrial < trialInterval {
		return false
	}
	p.lastTrial = now
	return true
}

// AllowLeaderRequest reports whether a request may be tried on the leader: its answers could
// be confirmed lately, or it is time for another trial.
func (g *Group) AllowLeaderRequest() bool {
	return g.provable.try(boottime.Now())
}

// Isolated reports whether the last confirmation reached neither the store nor any
// replica.
func (g *Group) Isolated() bool {
	g.provable.mu.Lock()
	defer g.provable.mu.Unlock()
	return g.provable.alone
}
