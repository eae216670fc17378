package routing

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Read is a read that looks for an instance.
type Read struct {
	// Seen is the position that the session has seen; zero if none.
	Seen position.Position
	// SeenAge is the time since Seen was confirmed, as far as this home knows;
	// zero if it does not.
	SeenAge time.Duration
	// NextConfirmationIn is the expected time until the next confirmed position of the
	// primary is known here.
	NextConfirmationIn time.Duration
	// SessionAge is the time since the session began.
	SessionAge time.Duration
	// MaxAge is the staleness that the session states; zero if it states none.
	MaxAge time.Duration
	// Policy is the caller's read policy.
	Policy configuration.ReadPolicy
	// FailureDomain and Region are where the read came in.
	FailureDomain string
	Region        string
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining time.Duration
	// AnswerBytes is the expected size of the answer.
	AnswerBytes int
}

// Candidate is one instance as a place to read.
type Candidate struct {
	Target        string
	FailureDomain string
	Region        string
	// Primary says that the instance is the rightful primary of an open term.
	Primary bool
	// Valid says that the instance has joined the open term and holds an entry
	// of it. It is not looked at for the primary.
	Valid bool
	// Drained says that the instance takes no new work.
	Drained bool
	// Reachable says that the instance answered lately.
	Reachable bool
	// Applied is the position that reads on the instance see.
	Applied position.Position
	// Age is the age of the instance's data; group.UnknownAge if not known. It
	// is not looked at for the primary.
	Age time.Duration
	// Lag is the usual time from the confirmation of an entry until the instance
	// is seen to have applied it; zero if not known.
	Lag time.Duration
	// RoundTrip is the time to the instance and back.
	RoundTrip time.Duration
	// QueueWait is the expected wait for a slot.
	QueueWait time.Duration
	// ConfirmTime is the expected time of the status round that a read there needs.
	ConfirmTime time.Duration
}

// Decision says where a read goes.
type Decision struct {
	// Index is the place of the candidate, or -1 if the read is refused.
	Index int
	// Wait is how long to wait for the candidate to apply what the read needs;
	// zero if it already has. After that the read is decided again.
	Wait time.Duration
	// CrossRegion says that the answer crosses between regions.
	CrossRegion bool
	// Reason is set if Index is -1.
	Reason outcome.Reason
}
