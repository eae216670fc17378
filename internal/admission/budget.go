package admission

import "time"

// RetryBudget bounds the retries of one database to a share of its requests, with a
// small reserve so that a quiet database may retry too. It is not safe for
// concurrent use.
type RetryBudget struct {
	// Ratio is how many retries each first try pays for.
	Ratio float64
	// Reserve is how many retries a second are allowed regardless of traffic.
	Reserve float64
	// Cap is the largest number of saved retries.
	Cap float64

	saved float64
	last  time.Time
}

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 5.0
	DefaultRetryCap     = 100.0
)

// NewRetryBudget returns a full budget with the default limits.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{
		Ratio:   DefaultRetryRatio,
		Reserve: DefaultRetryReserve,
		Cap:     DefaultRetryCap,
		saved:   DefaultRetryReserve,
		last:    now,
	}
}

// RecordRequest records a request that is not a retry.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.saved = min(b.saved+b.Ratio, b.Cap)
}

// AllowRetry takes one retry and reports whether it was allowed.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.refill(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if now.After(b.last) {
		b.saved = min(b.saved+b.Reserve*now.Sub(b.last).Seconds(), b.Cap)
		b.last = now
	}
}
