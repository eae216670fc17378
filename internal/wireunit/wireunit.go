// Package wireunit defines the interface between a gateway and the home of a database
// for units of work that carry unparsed messages of the PostgreSQL wire protocol.
//
// A unit of work is one statement or one transaction. The gateway opens it with a
// Header, exchanges batches of protocol messages until the transaction ends, and
// closes it. The home may be in the same process or behind a peer connection; both
// implement Opener.
package wireunit

import (
	"context"
	"io"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Header describes a unit of work when it is opened. Times are durations, because the
// clocks of two VMs may differ.
type Header struct {
	Service  string `cbor:"1,keyasint"`
	Database string `cbor:"2,keyasint"`
	Caller   string `cbor:"3,keyasint"`
	// Class is the caller's class, for example fan-order; its weight is in the
	// caller's configuration.
	Class string `cbor:"4,keyasint,omitempty"`
	// ReadOnly reports whether the unit is known to write nothing.
	ReadOnly bool `cbor:"5,keyasint,omitempty"`
	// Seen is the position that a read must cover; zero when the session has
	// seen nothing of this database.
	Seen position.Position `cbor:"6,keyasint,omitempty"`
	// SessionAge is the time since the session began. A session that has seen no
	// position must read at or past a position confirmed within that time, unless
	// MaxAge is set.
	SessionAge time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxAge is the maximum staleness that the caller accepts; zero means that of
	// the caller's read policy.
	MaxAge time.Duration `cbor:"8,keyasint,omitempty"`
	// RequestID is the idempotency key; empty when the request has none.
	RequestID string `cbor:"9,keyasint,omitempty"`
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining time.Duration `cbor:"10,keyasint,omitempty"`
	// Attempt is 0 for the first attempt of the request.
	Attempt uint8 `cbor:"11,keyasint,omitempty"`
	// ConfigVersion is the configuration revision of the gateway. It tells a home
	// with an older revision that it must catch up.
	ConfigVersion uint64 `cbor:"12,keyasint,omitempty"`
	// Direct requires the home to run the unit itself, because the home in the
	// target's failure domain can't be reached.
	Direct bool `cbor:"13,keyasint,omitempty"`
}

// Statement is a prepared statement that a batch refers to. Its name is unique for the
// combination of SQL and parameter types, so that it can be prepared on any
// connection without a conflict.
type Statement struct {
	Name          string   `cbor:"1,keyasint"`
	SQL           string   `cbor:"2,keyasint"`
	ParameterOIDs []uint32 `cbor:"3,keyasint,omitempty"`
}

// Batch is a sequence of complete frontend messages that ends with Query or Sync.
type Batch struct {
	Messages   []byte      `cbor:"1,keyasint"`
	Statements []Statement `cbor:"2,keyasint,omitempty"`
	// ReadOnly reports whether the batch is known to write nothing and is not part
	// of a transaction that may write.
	ReadOnly bool `cbor:"3,keyasint,omitempty"`
	// Auxiliary reports whether the batch runs no statement of the caller: it only
	// prepares and describes, or controls the transaction.
	Auxiliary bool `cbor:"4,keyasint,omitempty"`
	// NoCommit reports whether the batch opens a transaction or runs within one,
	// and does not end it. Whatever its outcome, it takes effect only if a later
	// batch commits.
	NoCommit bool `cbor:"5,keyasint,omitempty"`
}

// TxStatus is the transaction status byte of ReadyForQuery.
type TxStatus byte

// The transaction states of the PostgreSQL protocol.
const (
	TxIdle   TxStatus = 'I'
	TxOpen   TxStatus = 'T'
	TxFailed TxStatus = 'E'
)

// Origin identifies the target that answered. With reason elsewhere, only
// FailureDomain is set: that of the home that must run the unit.
type Origin struct {
	Target        string `cbor:"1,keyasint,omitempty"`
	FailureDomain string `cbor:"2,keyasint,omitempty"`
	Region        string `cbor:"3,keyasint,omitempty"`
	Replica       bool   `cbor:"4,keyasint,omitempty"`
}

// Result is the result of the exchange of one batch.
type Result struct {
	Outcome outcome.Outcome `cbor:"1,keyasint"`
	// Status is the transaction status after the batch. TxIdle ends the unit.
	Status TxStatus `cbor:"2,keyasint,omitempty"`
	// Position is the confirmed position that the session has seen after the batch;
	// zero while a transaction is open.
	Position position.Position `cbor:"3,keyasint,omitempty"`
	Origin   Origin            `cbor:"4,keyasint,omitempty"`
	// Repeated reports whether a request with the same id had already run. Tag is
	// then the command tag of the first run, and nothing was written to the sink.
	Repeated bool   `cbor:"5,keyasint,omitempty"`
	Tag      string `cbor:"6,keyasint,omitempty"`
	// NoReplicaHere reports, with reason elsewhere, that the failure domain of the
	// home has no replica, so that the next reads can be sent to another failure
	// domain at once.
	NoReplicaHere bool `cbor:"7,keyasint,omitempty"`
}

// Opener opens units of work at the home of a database.
type Opener interface {
	// Open opens a unit. It sends nothing to a target: the home admits the unit
	// with its first batch. The outcome is OK if and only if the unit is not nil.
	Open(ctx context.Context, h Header) (Unit, outcome.Outcome)
}

// Unit is an open unit of work. Its methods must be called by one goroutine, except
// Cancel, which is safe for concurrent use.
type Unit interface {
	// Exchange runs one batch and writes the target's messages to sink, complete
	// and in order, without ReadyForQuery. If the batch ends the transaction, the
	// first CommandComplete (or other success message) and all messages after it
	// are written only once the batch is confirmed. If the outcome is not OK, the
	// caller of Exchange must end the answer with an error of its own; the unit has
	// then ended unless Status shows an open transaction. A sink that blocks stops
	// the reading from the target.
	Exchange(ctx context.Context, b Batch, sink io.Writer) Result
	// Cancel asks the target to cancel the running batch.
	Cancel()
	// Close ends the unit. An open transaction is rolled back.
	Close()
}
