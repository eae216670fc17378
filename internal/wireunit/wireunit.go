// Package wireunit is the contract between a gateway and the home of a database.
// Its units carry unparsed messages of the PostgreSQL wire protocol.
//
// A unit of work is one statement or one transaction. The gateway opens it with a
// Header, exchanges batches of protocol messages until the transaction is over,
// and closes it. The home may be in the same process or behind a peer
// connection; both implement Opener.
package wireunit

import (
	"context"
	"io"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Header opens a unit of work. Times are durations, because the clocks of two
// VMs may differ.
type Header struct {
	Service  string `cbor:"1,keyasint"`
	Database string `cbor:"2,keyasint"`
	Caller   string `cbor:"3,keyasint"`
	// Class is the caller's class, for example fan-order; its weight is in the
	// caller's configuration.
	Class string `cbor:"4,keyasint,omitempty"`
	// ReadOnly says that the unit is known to write nothing.
	ReadOnly bool `cbor:"5,keyasint,omitempty"`
	// Seen is the position that a read must cover; zero when the session has
	// seen nothing of this database.
	Seen position.Position `cbor:"6,keyasint,omitempty"`
	// SessionAge is the time since the session began. A session that has seen
	// nothing must read at or past a position confirmed within that time,
	// unless MaxAge is set.
	SessionAge time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxAge is the staleness that the caller accepts; zero leaves it to the
	// caller's read policy.
	MaxAge time.Duration `cbor:"8,keyasint,omitempty"`
	// RequestID is the idempotency key; empty when the request has none.
	RequestID string `cbor:"9,keyasint,omitempty"`
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining time.Duration `cbor:"10,keyasint,omitempty"`
	// Attempt is 0 for the first try of the request.
	Attempt uint8 `cbor:"11,keyasint,omitempty"`
	// ConfigVersion is the configuration revision of the gateway, so that a home
	// that is behind knows it must catch up.
	ConfigVersion uint64 `cbor:"12,keyasint,omitempty"`
	// Direct says that the home must run the unit itself, because the home in the
	// target's failure domain can't be reached.
	Direct bool `cbor:"13,keyasint,omitempty"`
}

// Statement is a prepared statement that a batch refers to. Name is unique for
// the pair of SQL and parameter types, so that any connection may hold it.
type Statement struct {
	Name          string   `cbor:"1,keyasint"`
	SQL           string   `cbor:"2,keyasint"`
	ParameterOIDs []uint32 `cbor:"3,keyasint,omitempty"`
}

// Batch is a run of whole frontend messages that ends with Query or Sync.
type Batch struct {
	Messages   []byte      `cbor:"1,keyasint"`
	Statements []Statement `cbor:"2,keyasint,omitempty"`
	// ReadOnly says that this batch is known to write nothing and is not part of
	// a transaction that may write.
	ReadOnly bool `cbor:"3,keyasint,omitempty"`
	// Auxiliary says that this batch runs no statement of the caller: it only
	// prepares and describes, or controls the transaction.
	Auxiliary bool `cbor:"4,keyasint,omitempty"`
	// NoCommit says that this batch opens a transaction or runs within one, and
	// does not end it. Whatever becomes of it, nothing of it is kept unless a
	// later batch commits.
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

// Origin says which target answered. With reason elsewhere, only FailureDomain is
// set: that of the home to ask.
type Origin struct {
	Target        string `cbor:"1,keyasint,omitempty"`
	FailureDomain string `cbor:"2,keyasint,omitempty"`
	Region        string `cbor:"3,keyasint,omitempty"`
	Replica       bool   `cbor:"4,keyasint,omitempty"`
}

// Result ends the exchange of one batch.
type Result struct {
	Outcome outcome.Outcome `cbor:"1,keyasint"`
	// Status is the transaction status after the batch. TxIdle ends the unit.
	Status TxStatus `cbor:"2,keyasint,omitempty"`
	// Position is the confirmed position that the session has now seen; zero
	// while a transaction is open.
	Position position.Position `cbor:"3,keyasint,omitempty"`
	Origin   Origin            `cbor:"4,keyasint,omitempty"`
	// Repeated says that the request id had been done before; Tag is then the
	// command tag of the first run and nothing was written to the sink.
	Repeated bool   `cbor:"5,keyasint,omitempty"`
	Tag      string `cbor:"6,keyasint,omitempty"`
	// NoReplicaHere says, with reason elsewhere, that no replica stands in the
	// failure domain of the home, so that the next reads may go elsewhere at once.
	NoReplicaHere bool `cbor:"7,keyasint,omitempty"`
}

// Opener opens units of work at the home of a database.
type Opener interface {
	// Open starts a unit. It sends nothing to a target: the home admits the unit
	// with its first batch. The outcome is OK exactly when the unit is not nil.
	Open(ctx context.Context, h Header) (Unit, outcome.Outcome)
}

// Unit is an open unit of work. Its methods are called by one goroutine, but for
// Cancel, which any goroutine may call.
type Unit interface {
	// Exchange runs one batch and writes the target's messages to sink, whole
	// messages in order, without ReadyForQuery. Nothing from the first
	// CommandComplete (or other success message) on is written before the batch
	// is confirmed, as long as the batch ends the transaction. If the outcome is
	// not OK, the caller of Exchange must end the answer with an error of its
	// own; the unit is then over unless Status says otherwise. A full sink
	// stops the reading from the target.
	Exchange(ctx context.Context, b Batch, sink io.Writer) Result
	// Cancel asks the target to cancel the running batch.
	Cancel()
	// Close gives the unit up. An open transaction is rolled back.
	Close()
}
