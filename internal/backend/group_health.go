package backend

import "time"

// groupHealth records since when a group needs another primary and since when it has none.
// The two differ in a planned replacement, in which the primary leads until it is demoted:
// measured from the start of its drain, a promotion that has just taken effect would look
// stalled, and another one would be asked for. Times are since boot.
type groupHealth struct {
	// unhealthySince is when the need for a promotion or the loss of the leader was first
	// seen, leaderlessSince when the leader was last found not to lead any more; 0 for
	// neither.
	unhealthySince, leaderlessSince time.Duration
}

// observe records whether a leader was found, and whether it is draining.
func (h *groupHealth) observe(now time.Duration, found, draining bool) {
	switch {
	case !found && h.leaderlessSince == 0:
		h.leaderlessSince = now
	case found:
		h.leaderlessSince = 0
	}
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

// leaderlessFor returns how long the group has had no leader, 0 if it has one.
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
