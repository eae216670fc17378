package backend

import (
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
)

// Times for a group whose leader's answers cannot be confirmed.
const (
	// unconfirmableAfter is how long confirmations must have failed before requests are
	// refused without being sent to the leader.
	unconfirmableAfter = 300 * time.Millisecond
	// trialInterval is the interval between the requests that are sent nevertheless, to
	// find out whether confirmations succeed again.
	trialInterval = 200 * time.Millisecond
)

// confirmTracker tracks whether answers of the leader can be confirmed. A daemon that a
// partition leaves connected to the old primary reaches neither the store nor the
// replicas; its callers are better served by another daemon at once.
type confirmTracker struct {
	mu          sync.Mutex
	failedSince time.Duration // guarded by mu; time since boot of the first failure in a row, 0 if none
	lastTrial   time.Duration // guarded by mu; time since boot
	isolated    bool          // guarded by mu; reports whether the last failure reached no replica
}

// record records the result of a confirmation at a time since boot.
func (t *confirmTracker) record(c Confirmation, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolated = c == Isolated
	if c == Confirmed {
		t.failedSince = 0
	} else if t.failedSince == 0 {
		t.failedSince = now
	}
}

// allowRequest reports whether a request may be sent to the leader at a time since boot.
func (t *confirmTracker) allowRequest(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failedSince == 0 || now-t.failedSince < unconfirmableAfter {
		return true
	}
	if now-t.lastTrial < trialInterval {
		return false
	}
	t.lastTrial = now
	return true
}

// AllowLeaderRequest reports whether a request may be sent to the leader: confirmations
// have not failed for unconfirmableAfter, or another trial is due.
func (g *Group) AllowLeaderRequest() bool {
	return g.confirmTracker.allowRequest(boottime.Now())
}

// Isolated reports whether the last confirmation reached neither the store nor any
// replica.
func (g *Group) Isolated() bool {
	g.confirmTracker.mu.Lock()
	defer g.confirmTracker.mu.Unlock()
	return g.confirmTracker.isolated
}
