package bench

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Outcome is the outcome of a request as its caller sees it.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the complete answer was received.
	Done Outcome = "done"
	// Refused means that the proxy reported that nothing ran.
	Refused Outcome = "refused"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Failed means that nothing ran: the target reported an error, or the request
	// could not be sent.
	Failed Outcome = "failed"
)

// Result is the result of one request.
type Result struct {
	Arrival  *Arrival
	Outcome  Outcome
	SQLState string
	Reason   string
	// RetryAfter is the retry-after time of the last refusal.
	RetryAfter time.Duration
	// Latency is the time from the intended start to the final answer.
	Latency time.Duration
	// Finished is the time from the start of the run to the final answer.
	Finished time.Duration
	// Retries is the number of retries after a refusal.
	Retries int
	// PastDeadline is set if the answer arrived more than deadlineGrace after the
	// deadline sent to the proxy.
	PastDeadline bool
	// MissedOwnWrite is set if the session's read did not return its own write.
	MissedOwnWrite bool
	// MayHaveRun is set if the write was acknowledged or has an unknown outcome in any
	// attempt, even if the request as a whole has another outcome.
	MayHaveRun bool
}

// InTime reports whether the request was done within the deadline of its class.
func (r *Result) InTime() bool {
	return r.Outcome == Done && r.Latency <= r.Arrival.Class.Deadline
}

// Parts of the DETAIL field of refusals and unknown outcomes, and the SQLSTATE of an
// unknown transaction outcome.
const (
	detailOutcome    = "outcome="
	detailNotRun     = "not_run=true"
	detailReason     = "reason="
	detailRetryAfter = "retry_after_ms="
	sqlStateUnknown  = "08007"
)

// classify returns the result of a request that ended with err, which may be nil.
func classify(err error) Result {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return Result{Outcome: Done}
	case !errors.As(err, &pg):
		return classifyLost(err)
	}
	r := Result{Outcome: Failed, SQLState: pg.Code}
	for _, field := range strings.Fields(pg.Detail) {
		switch {
		case field == detailNotRun:
			r.Outcome = Refused
		case strings.HasPrefix(field, detailOutcome) && strings.HasSuffix(field, "unknown"):
			r.Outcome = Unknown
		case strings.HasPrefix(field, detailReason):
			r.Reason = strings.TrimPrefix(field, detailReason)
		case strings.HasPrefix(field, detailRetryAfter):
			ms, _ := strconv.Atoi(strings.TrimPrefix(field, detailRetryAfter))
			r.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	if pg.Code == sqlStateUnknown {
		r.Outcome = Unknown
	}
	return r
}

// classifyLost returns the result of a request that ended without an answer from the
// server. It is Failed only if the driver knows that nothing was sent.
func classifyLost(err error) Result {
	if pgconn.SafeToRetry(err) {
		return Result{Outcome: Failed, Reason: "not_sent"}
	}
	return Result{Outcome: Unknown, Reason: "connection_lost"}
}
