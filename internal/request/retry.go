package request

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Bounds of retries.
const (
	// MaxAttempts is the maximum number of attempts of a request, the first included.
	MaxAttempts = 12
	// BaseDelay is the delay before the first retry at the same home; it doubles
	// with each attempt.
	BaseDelay = 10 * time.Millisecond
	// MaxDelay limits the delay before one retry, unless the refusal asks for a
	// longer one.
	MaxDelay = 500 * time.Millisecond
	// MaxTotal limits the time in which a request without a deadline is retried.
	MaxTotal = 5 * time.Second
)

// Attempt describes a request after one attempt has ended.
type Attempt struct {
	Outcome outcome.Outcome
	// Number is 0 for the first attempt.
	Number int
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Remaining is the time until the deadline; zero or less if it has passed. It
	// is ignored if NoDeadline is set.
	Remaining  time.Duration
	NoDeadline bool
	// Read reports whether the request is known to write nothing.
	Read bool
	// RequestID reports whether the request has an idempotency key.
	RequestID bool
	// Begun reports whether an earlier batch of the same transaction was done, or a
	// part of the answer has been sent to the caller.
	Begun bool
	// UntriedHomes is the number of homes that have not been tried yet.
	UntriedHomes int
}

// Decision is the result of Decide.
type Decision struct {
	Retry bool
	// After is the delay before the retry.
	After time.Duration
	// NextHome reports whether the retry goes to another home.
	NextHome bool
	// NeedsBudget reports whether the retry is charged to the retry budget.
	NeedsBudget bool
}

// Decide decides whether a request is retried after a. It is retried only if it
// provably did not run, if it is a read, or if its request id prevents a second
// execution. It is never retried once a part of the answer was sent to the caller,
// nor past the deadline. The jitter of the delay is drawn from rng.
func Decide(a Attempt, rng *rand.Rand) Decision {
	if a.Outcome.OK() || a.Begun || a.Number+1 >= MaxAttempts || !isRetryable(a) {
		return Decision{}
	}
	after := retryDelay(a, rng)
	if !isWithinTimeLimit(a, after) {
		return Decision{}
	}
	return Decision{Retry: true, After: after, NextHome: a.UntriedHomes > 0 && prefersOtherHome(a.Outcome.Reason), NeedsBudget: true}
}

// isRetryable reports whether a retry is safe and may succeed.
func isRetryable(a Attempt) bool {
	if a.Outcome.Kind == outcome.Unknown {
		return a.Read || a.RequestID
	}
	switch a.Outcome.Reason {
	case outcome.HomeUnreachable, outcome.ShuttingDown, outcome.VersionMismatch, outcome.NoConfiguration:
		return a.UntriedHomes > 0
	case outcome.NoPrimary, outcome.TargetRejected, outcome.PrimaryChanged, outcome.TransactionLost:
		return true
	case outcome.NotConfirmed, outcome.NoReplica:
		return a.Read
	default:
		return false
	}
}

// prefersOtherHome reports whether the home itself caused the failure, so that
// another home may succeed at once.
func prefersOtherHome(r outcome.Reason) bool {
	switch r {
	case outcome.HomeUnreachable, outcome.ShuttingDown, outcome.VersionMismatch, outcome.NoConfiguration, outcome.HomeLost:
		return true
	default:
		return false
	}
}

// retryDelay returns the delay before the next attempt.
func retryDelay(a Attempt, rng *rand.Rand) time.Duration {
	if a.UntriedHomes > 0 && prefersOtherHome(a.Outcome.Reason) {
		return 0
	}
	full := min(BaseDelay<<min(a.Number, 16), MaxDelay)
	jittered := full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
	return max(jittered, a.Outcome.RetryAfter)
}

func isWithinTimeLimit(a Attempt, after time.Duration) bool {
	if a.NoDeadline {
		return a.Elapsed+after <= MaxTotal
	}
	return a.Remaining > after
}
