package bench

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Ending is how a request ended for its caller.
type Outcome string

// The endings.
const (
	// Done means that the whole answer came.
	Done Outcome = "done"
	// Refused means that the caller was told that nothing ran.
	Refused Outcome = "refused"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Failed means an error of the target's own; nothing ran.
	Failed Outcome = "failed"
)

// Result is what became of one request.
type Result struct {
	Arrival  *Arrival
	Outcome  Outcome
	SQLState string
	Reason   string
	// RetryAfter is what the last refusal asked for.
	RetryAfter time.Duration
	// Latency counts from the intended start to the final answer.
	Latency time.Duration
	// Finished is when the final answer came, from the start of the run.
	Finished time.Duration
	// Returned counts how often the caller came back after a refusal.
	Retries int
	// Overheld says that the answer came after the deadline that the proxy was
	// told, with overheldGrace for the way.
	PastDeadline bool
	// MissedOwnWrite says that the session did not see what it had written.
	MissedOwnWrite bool
	// MayHaveRun says that the write was acknowledged or left unknown although
	// the request as a whole ended otherwise.
	MayHaveRun bool
}

// InTime reports whether the answer came by the deadline.
func (r *Result) InTime() bool {
	return r.Outcome == Done && r.Latency <= r.Arrival.Class.Deadline
}

// Parts of the DETAIL field of refusals and unknown outcomes.
const (
	detailOutcome    = "outcome="
	detailNotRun     = "not_run=true"
	detailReason     = "reason="
	detailRetryAfter = "retry_after_ms="
	stateUnknown     = "08007"
)

// classify says how an error ends a request.
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
	if pg.Code == stateUnknown {
		r.Outcome = Unknown
	}
	return r
}

// classifyLost says how a request ended that got no answer.
func classifyLost(err error) Result {
	if pgconn.SafeToRetry(err) {
		return Result{Outcome: Failed, Reason: "not_sent"}
	}
	return Result{Outcome: Unknown, Reason: "connection_lost"}
}
