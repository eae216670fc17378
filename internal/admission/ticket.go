package admission

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// ID names one request in a queue. The owner of the queue keeps it unique.
type ID uint64

// Ticket is a request for one slot.
type Ticket struct {
	ID ID
	// Weight is what serving the request in time counts; values below 1 count
	// as 1.
	Weight int
	// Kind names requests that are alike, such as those of one statement; their
	// service time is estimated together. Empty means any.
	Kind string
	// Cost is the time of a slot that serving the request takes in all, which its
	// service time overstates if the slots lie behind another queue, and understates
	// if more follows it. Zero means the service time.
	Cost time.Duration
	// Deadline is the latest useful end; the zero time leaves it to
	// Config.Timeout.
	Deadline time.Time
}

// Verdict is what happens to an offered ticket.
type Verdict uint8

// The verdicts on a ticket.
const (
	// Admitted means that the ticket holds a slot now.
	Admitted Verdict = iota
	// Queued means that the ticket is queued.
	Queued
	// Refused means that the ticket is out; Outcome says why.
	Refused
)

// Refusal is a ticket that was put out of the queue.
type Refusal struct {
	ID      ID
	Outcome outcome.Outcome
}

// Decision is the answer to Offer.
type Decision struct {
	Verdict Verdict
	// Outcome is set when Verdict is Refused.
	Outcome outcome.Outcome
	// Evicted lists waiting tickets that gave way to the offered one.
	Evicted []Refusal
}

// Change is what a released slot or the passing of time brings.
type Change struct {
	// Admitted lists tickets that hold a slot now.
	Admitted []ID
	// Refused lists waiting tickets that can no longer be served in time.
	Refused []Refusal
}
