package routing

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Read describes a read for which an instance is selected.
type Read struct {
	// Seen is the latest position that the session has seen; zero if none.
	Seen position.Position
	// SeenAge is the time since Seen was confirmed, as far as this home knows; zero if it
	// is unknown.
	SeenAge time.Duration
	// NextConfirmationIn is the expected time until the next confirmed position of the
	// primary is known here.
	NextConfirmationIn time.Duration
	// SessionAge is the time since the session began.
	SessionAge time.Duration
	// MaxAge is the staleness that the session accepts; zero if it states none.
	MaxAge time.Duration
	// Policy is the caller's read policy.
	Policy configuration.ReadPolicy
	// FailureDomain and Region are those where the read arrived.
	FailureDomain string
	Region        string
	// Remaining is the time until the deadline; zero if there is none.
	Remaining time.Duration
	// AnswerBytes is the expected size of the answer in bytes.
	AnswerBytes int
}

// Candidate is the state of one instance that may serve a read.
type Candidate struct {
	Target        string
	FailureDomain string
	Region        string
	// Primary is set if the instance is the valid primary of an open term.
	Primary bool
	// Valid is set if the instance has joined the open term and holds an entry of it. It
	// is ignored for the primary.
	Valid bool
	// Drained is set if the instance accepts no new work.
	Drained bool
	// Reachable is set if the instance has answered recently.
	Reachable bool
	// Applied is the position that the instance has applied, and that reads on it see.
	Applied position.Position
	// Age is the age of the instance's data; group.UnknownAge if unknown. It is ignored
	// for the primary.
	Age time.Duration
	// Lag is the usual time from the confirmation of an entry until the instance is seen
	// to have applied it; zero if unknown.
	Lag time.Duration
	// RoundTrip is the network round trip to the instance.
	RoundTrip time.Duration
	// QueueWait is the expected wait for a slot.
	QueueWait time.Duration
	// ConfirmTime is the expected duration of the status round that a read on the instance
	// needs.
	ConfirmTime time.Duration
}

// Decision is the result of Choose.
type Decision struct {
	// Index is the index of the chosen candidate, or -1 if the read is refused.
	Index int
	// Wait is how long to wait for the candidate to apply what the read needs; zero if it
	// already has. After the wait, Choose must be called again.
	Wait time.Duration
	// CrossRegion is set if the answer is sent from another region.
	CrossRegion bool
	// Reason is the reason of the refusal. It is set if Index is -1.
	Reason outcome.Reason
}
