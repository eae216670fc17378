package catalog

import (
	"sync/atomic"
	"time"
)

// Confirmation records when the active configuration was last confirmed as current. Times
// are since boot. It is safe for concurrent use.
type Confirmation struct {
	limit time.Duration
	at    atomic.Int64
}

// NewConfirmation returns a confirmation that becomes stale when it is older than limit.
// It is stale at first.
func NewConfirmation(limit time.Duration) *Confirmation {
	return &Confirmation{limit: limit}
}

// Confirm records that the configuration was current at a time. Earlier times than the last
// one are ignored, because confirmations by different sources may arrive in any order.
func (c *Confirmation) Confirm(at time.Duration) {
	for {
		last := c.at.Load()
		if int64(at) <= last || c.at.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// IsStale reports whether the last confirmation is older than the limit at now.
func (c *Confirmation) IsStale(now time.Duration) bool {
	at := time.Duration(c.at.Load())
	return at == 0 || now-at > c.limit
}
