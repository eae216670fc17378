package target

import (
	"context"
	"errors"
	"io"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// HeldLimit is the maximum size of the part of an answer that a connection holds back
// before Exchange.Overflow is called, in bytes.
const HeldLimit = 64 << 10

// ErrMalformed reports that a batch is not a sequence of complete frontend messages
// that ends with its only Query or Sync. Nothing was sent.
var ErrMalformed = errors.New("batch is malformed")

// ErrSink reports that a write to the sink failed. The connection is closed.
var ErrSink = errors.New("write answer to sink failed")

// Exchange describes a batch to run on a connection.
type Exchange struct {
	Batch wireunit.Batch
	// Prelude holds statements without result rows that run immediately before
	// Batch, which must then end with Sync. Their answers aren't written to the
	// sink. If one fails, Batch does not run, and Reply.PreludeState is its SQLSTATE.
	Prelude []string
	// PipelineStatus sends the status query together with the batch, which saves a
	// round trip if the batch ends the transaction. Otherwise the status query is
	// sent after the batch has ended the transaction.
	PipelineStatus bool
	// Held is an empty buffer for the held back messages.
	Held []byte
	// Overflow is called when more than HeldLimit bytes would be held back. If it
	// returns nil, the held back messages are written to the sink and the exchange
	// continues; otherwise the exchange fails and the connection is closed.
	Overflow func(ctx context.Context) error
}

// Conn is a pooled connection. It runs one exchange at a time. Its methods must be
// called by one goroutine, except Cancel and DisableReuse, which are safe for
// concurrent use.
type Conn interface {
	// Exchange runs a batch and writes complete backend messages to sink, up to but
	// without the first message that reports success or failure. That message and
	// those after it are appended to Reply.Held. ReadyForQuery is omitted.
	//
	// The error wraps ErrMalformed or ErrNotSent if nothing reached the target, and
	// ErrLost or ErrSink if the batch may have run. After ErrLost and ErrSink the
	// connection is closed.
	Exchange(ctx context.Context, x Exchange, sink io.Writer) (Reply, error)
	// Cancel asks the target to cancel the batch that runs on the connection. The
	// request may arrive late and cancel a later batch, so the connection is no
	// longer Reusable.
	Cancel(ctx context.Context) error
	// DisableReuse makes Reusable return false from now on.
	DisableReuse()
	// Reusable reports whether another caller may use the connection: no transaction
	// is open, no input is unread, no cancel request was sent, reuse was not
	// disabled and the peer has not closed the connection.
	Reusable() bool
	// Dirty reports whether a caller may have left session state on the connection.
	Dirty() bool
	// Reset clears the session state that a caller left on the connection, if any.
	Reset(ctx context.Context) error
	// Fence returns the instance's fence as it was when the connection was opened.
	// The connection runs no writes once the instance's fence is higher.
	Fence() position.Term
	// PID returns the id of the target's backend process that serves the connection.
	PID() uint32
	Close() error
}
