package backend

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// groupHealth records since when a group needs another primary, and since when it has none
// and nothing has happened that leads to one. The two differ: a primary that is replaced as
// planned leads until it is demoted, and a promotion takes longer from the loss of the
// primary than from its first sign, a hold at the next term. Measured from the need, a
// promotion that is about to take effect would look stalled, and another one would be asked
// for. Times are since boot.
type groupHealth struct {
	// unhealthySince is when the need for a promotion or the loss of the leader was first
	// seen; 0 for neither.
	unhealthySince time.Duration
	// leaderlessSince is when the leader was last found not to lead any more, or when a
	// higher term was seen after that; 0 if there is a leader.
	leaderlessSince time.Duration
	// known is the highest term seen.
	known position.Term
}

// observe records whether a leader was found, whether it is draining, and the highest term
// that a target has joined or is held at.
func (h *groupHealth) observe(now time.Duration, known position.Term, found, draining bool) {
	switch {
	case found:
		h.leaderlessSince = 0
	case h.leaderlessSince == 0, known > h.known:
		h.leaderlessSince = now
	}
	h.known = max(h.known, known)
	if found && !draining {
		h.unhealthySince = 0
	} else if h.unhealthySince == 0 {
		h.unhealthySince = now
	}
}

// observeRequest records that another daemon has requested a promotion.
func (h *groupHealth) observeRequest(now time.Duration) {
	if h.unhealthySince == 0 {
		h.unhealthySince = now
	}
}

// healthy reports whether the group has a leader that stays.
func (h *groupHealth) healthy() bool {
	return h.unhealthySince == 0
}

// unhealthyFor returns how long a promotion has been needed, 0 if none is.
func (h *groupHealth) unhealthyFor(now time.Duration) time.Duration {
	return elapsedSince(h.unhealthySince, now)
}

// leaderlessFor returns how long the group has had no leader and no higher term was seen, 0
// if it has a leader.
func (h *groupHealth) leaderlessFor(now time.Duration) time.Duration {
	return elapsedSince(h.leaderlessSince, now)
}

// elapsedSince returns the time since start, 0 if start is not set.
func elapsedSince(start, now time.Duration) time.Duration {
	if start == 0 {
		return 0
	}
	return now - start
}
