package request

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// Bounds of retries.
const (
	// MaxAttempts is how often a request is tried in all.
	MaxAttempts = 12
	// BaseDelay is the first delay before the same home is tried again; it
	// doubles with each attempt.
	BaseDelay = 10 * time.Millisecond
	// MaxDelay bounds one delay.
	MaxDelay = 500 * time.Millisecond
	// MaxTotal bounds the time a request without a deadline is tried again.
	MaxTotal = 5 * time.Second
)

// Attempt is what is known of a request when one try of it has ended.
type Attempt struct {
	Outcome outcome.Outcome
	// Number is 0 for the first try.
	Number int
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Remaining is the time until the deadline; zero or less means that it has
	// passed, unless NoDeadline is set.
	Remaining  time.Duration
	NoDeadline bool
	// Read says that the request is known to write nothing.
	Read bool
	// RequestID says that the request has an idempotency key.
	RequestID bool
	// Begun says that an earlier batch of the same transaction was done, or that
	// a part of the answer has reached the caller.
	Begun bool
	// UntriedHomes is how many homes have not been tried yet.
	UntriedHomes int
}

// Decision is what follows from an Attempt.
type Decision struct {
	Retry bool
	// After is the time to wait first.
	After time.Duration
	// NextHome says that another home is to be tried.
	NextHome bool
	// NeedsBudget says that the retry is to be paid from the retry budget.
	NeedsBudget bool
}

// Decide returns whether a request is tried again. It is tried again only if it
// provably did not run, if it is a read, or if its id keeps it from running
// twice; never once a part of the answer was passed on, and never past the
// deadline. The jitter is drawn from rng.
func Decide(a Attempt, rng *rand.Rand) Decision {
	if a.Outcome.OK() || a.Begun || a.Number+1 >= MaxAttempts || !repeatable(a) {
		return Decision{}
	}
	after := delay(a, rng)
	if !inTime(a, after) {
		return Decision{}
	}
	return Decision{Retry: true, After: after, NextHome: a.UntriedHomes > 0 && elsewhere(a.Outcome.Reason), NeedsBudget: true}
}

// repeatable reports whether another try is safe and may help.
func repeatable(a Attempt) bool {
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

// elsewhere reports whether another home may do better at once.
func elsewhere(r outcome.Reason) bool {
	switch r {
	case outcome.HomeUnreachable, outcome.ShuttingDown, outcome.VersionMismatch, outcome.NoConfiguration, outcome.HomeLost:
		return true
	default:
		return false
	}
}

// delay returns how long to wait before the next try.
func delay(a Attempt, rng *rand.Rand) time.Duration {
	if a.UntriedHomes > 0 && elsewhere(a.Outcome.Reason) {
		return 0
	}
	full := min(BaseDelay<<min(a.Number, 16), MaxDelay)
	jittered := full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
	return max(jittered, a.Outcome.RetryAfter)
}

func inTime(a Attempt, after time.Duration) bool {
	if a.NoDeadline {
		return a.Elapsed+after <= MaxTotal
	}
	return a.Remaining > after
}
