// Package outcome defines how a request can end.
//
// A request is Done (the target answered, possibly with an error), Refused (it
// provably did not run) or Unknown (it may have run). An Outcome is a return value,
// never a panic.
package outcome

import (
	"fmt"
	"time"
)

// Kind is the kind of an Outcome.
type Kind uint8

// The kinds of outcome.
const (
	// Done means that the target's whole answer was sent to the caller.
	Done Kind = iota
	// Refused means that nothing ran.
	Refused
	// Unknown means that the request may have run.
	Unknown
)

// String returns the kind as written in the DETAIL field of an error.
func (k Kind) String() string {
	switch k {
	case Done:
		return "done"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Outcome describes how a request ended.
type Outcome struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// Reason is empty when Kind is Done.
	Reason Reason `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time that a refused caller should wait before it repeats
	// the request; zero means that repeating the same request is pointless.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Message is a short English sentence for people, without a fixed form.
	Message string `cbor:"4,keyasint,omitempty"`
}

// Refuse returns a Refused outcome: nothing of the request ran.
func Refuse(r Reason, retryAfter time.Duration, format string, args ...any) Outcome {
	return Outcome{Kind: Refused, Reason: r, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// UnknownOutcome returns an outcome of kind Unknown: the request may have run.
func UnknownOutcome(r Reason, format string, args ...any) Outcome {
	return Outcome{Kind: Unknown, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// OK reports whether the request is Done.
func (o Outcome) OK() bool {
	return o.Kind == Done
}

// SQLState returns the five-character SQLSTATE of a refused or unknown outcome.
func (o Outcome) SQLState() string {
	if o.Kind == Unknown {
		return "08007" // transaction_resolution_unknown
	}
	return o.Reason.sqlState()
}

// Detail returns the structured DETAIL field of the error sent to the caller.
func (o Outcome) Detail() string {
	if o.Kind == Unknown {
		return fmt.Sprintf("outcome=unknown reason=%s", o.Reason)
	}
	return fmt.Sprintf("outcome=%s not_run=true reason=%s retry_after_ms=%d",
		o.Kind, o.Reason, o.RetryAfter.Milliseconds())
}
