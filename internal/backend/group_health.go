package backend

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// groupHealth records since when a group needs another primary, and since when it has none
// and nothing has happened that leads to one. The two differ: a primary that is replaced as
// planned leads until it is demoted, and a promotion takes longer from the loss of the
// primary than from its signs, a hold at the next term and a target that has joined it.
// Measured from the need, a promotion that is about to take effect, or whose leader this
// daemon does not reach yet, would look stalled, and another one would be asked for. Times
// are since boot.
type groupHealth struct {
	// unhealthySince is when the need for a promotion or the loss of the leader was first
	// seen; 0 for neither.
	unhealthySince time.Duration
	// leaderlessSince is when the leader was last found not to lead any more, or when the
	// terms last showed progress after that; 0 if there is a leader.
	leaderlessSince time.Duration
	// last are the highest terms seen.
	last groupTerms
}

// groupTerms are the highest terms that a target of a group has joined, and that one has
// joined or is held at.
type groupTerms struct {
	joined, known position.Term
}

// observe records the terms of a group, whether a leader was found, and whether it is
// draining.
func (h *groupHealth) observe(now time.Duration, terms groupTerms, found, draining bool) {
	progress := terms.joined > h.last.joined || terms.known > h.last.known
	switch {
	case found:
		h.leaderlessSince = 0
	case h.leaderlessSince == 0, progress:
		h.leaderlessSince = now
	}
	h.last = groupTerms{joined: max(h.last.joined, terms.joined), known: max(h.last.known, terms.known)}
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

// leaderlessFor returns how long the group has had no leader and no progress of its terms, 0
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
