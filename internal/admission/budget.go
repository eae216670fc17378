package admission

import "time"

// RetryBudget bounds the retries of one database to a share of its requests. A small
// reserve allows retries of a database with few requests. It is not safe for concurrent
// use.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds; retries don't count.
	Ratio float64
	// Reserve is the number of retries per second that are added regardless of traffic.
	Reserve float64
	// Cap is the largest number of unused retries that the budget keeps.
	Cap float64

	tokens     float64
	refilledAt time.Time
}

// Default limits of a RetryBudget.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 5.0
	DefaultRetryCap     = 100.0
)

// NewRetryBudget returns a budget with the default limits, which allows
// DefaultRetryReserve retries at once.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{
		Ratio:      DefaultRetryRatio,
		Reserve:    DefaultRetryReserve,
		Cap:        DefaultRetryCap,
		tokens:     DefaultRetryReserve,
		refilledAt: now,
	}
}

// RecordRequest adds Ratio to the budget for a request that is not a retry.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Ratio, b.Cap)
}

// AllowRetry reports whether the budget allows a retry, and takes it from the budget if
// so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the reserve for the time since the last refill.
func (b *RetryBudget) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.Reserve*now.Sub(b.refilledAt).Seconds(), b.Cap)
		b.refilledAt = now
	}
}
