package admission

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// ID identifies a request in a queue. The owner of the queue must keep it unique.
type ID uint64

// Ticket is a request for one slot.
type Ticket struct {
	ID ID
	// Tenant is the tenant whose slot time the request uses; empty for none, which counts
	// as a tenant of its own.
	Tenant string
	// TenantRate is the rate that the tenant declares, which its share of the slot time is
	// in proportion to. Zero and infinity mean none: the tenant's share is that of the
	// mean declared rate.
	TenantRate float64
	// Weight is the value of serving the request in time. Values below 1 count as 1.
	Weight int
	// Kind names the class of requests that share a service time estimate, such as those
	// of one statement. If it is empty, the estimate of all requests is used.
	Kind string
	// Cost is the total slot time that serving the request takes. It differs from the
	// service time, which is too long if the slots are behind another queue and too short
	// if more requests follow this one. Zero means the service time.
	Cost time.Duration
	// Deadline is the latest useful end of the service. If it is zero, Config.Timeout
	// applies.
	Deadline time.Time
	// LatestStart is the latest time at which the request may get its slot. It applies
	// only while several tenants compete; zero means no limit.
	LatestStart time.Time
}

// Verdict is the decision on an offered ticket.
type Verdict uint8

// The possible verdicts.
const (
	// Admitted means that the ticket holds a slot now.
	Admitted Verdict = iota
	// Queued means that the ticket waits for a slot.
	Queued
	// Refused means that the ticket was rejected; Decision.Outcome has the reason.
	Refused
)

// Refusal is a waiting ticket that was removed and refused.
type Refusal struct {
	ID      ID
	Outcome outcome.Outcome
}

// Decision is the result of Queue.Offer.
type Decision struct {
	Verdict Verdict
	// Outcome is set when Verdict is Refused.
	Outcome outcome.Outcome
	// Evicted lists waiting tickets that were refused in favor of the offered one.
	Evicted []Refusal
}

// Change lists the waiting tickets that a freed slot or the passing of time affects.
type Change struct {
	// Admitted lists the tickets that hold a slot now.
	Admitted []ID
	// Refused lists the tickets that can no longer meet their deadline.
	Refused []Refusal
}
