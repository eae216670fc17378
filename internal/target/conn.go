package target

import (
	"context"
	"errors"
	"io"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// HeldLimit is how many bytes of an answer a connection holds back before it
// asks for a confirmation, in bytes.
const HeldLimit = 64 << 10

// ErrMalformed says that a batch is not a run of whole frontend messages that
// ends with its only Query or Sync. Nothing was sent.
var ErrMalformed = errors.New("batch is malformed")

// ErrSink says that the sink refused an answer. The connection is closed.
var ErrSink = errors.New("answer could not be passed on")

// Exchange is one batch to run on a connection.
type Exchange struct {
	Batch wireunit.Batch
	// Prelude holds statements without results that run right in front of Batch,
	// which must then end with Sync. Their answers are left out. If one fails,
	// Batch does not run, and Reply.PreludeState says why.
	Prelude []string
	// PipelineStatus sends the status query together with the batch. It saves a
	// round trip when the batch ends the transaction; if it is not set, the
	// status is asked for once the transaction has ended.
	PipelineStatus bool
	// Held is an empty buffer for the messages that are held back.
	Held []byte
	// Overflow is called when more than HeldLimit bytes are held back. If it
	// returns nil, they are written to the sink and the exchange goes on;
	// otherwise the exchange fails and the connection is closed.
	Overflow func(ctx context.Context) error
}

// Conn is a connection of a pool. It carries one exchange at a time and is used
// by one goroutine, but for Cancel, which any goroutine may call.
type Conn interface {
	// Exchange runs a batch and writes whole backend messages to sink, up to the
	// first message that tells success or failure. Those from there on are
	// appended to Reply.Held. ReadyForQuery is left out.
	//
	// The error is one of ErrMalformed and ErrNotSent (nothing reached the
	// target), ErrLost and ErrSink (the batch may have run), possibly wrapped.
	// After ErrLost and ErrSink the connection is closed.
	Exchange(ctx context.Context, x Exchange, sink io.Writer) (Reply, error)
	// Cancel asks the target to cancel what runs on the connection. Because the
	// request may arrive late, the connection is not Reusable from then on.
	Cancel(ctx context.Context) error
	// DisableReuse makes the connection no longer Reusable. Any goroutine may call it.
	DisableReuse()
	// Reusable reports whether another caller may get the connection: no
	// transaction is open, nothing is unread, no cancel request was sent and the
	// peer has not hung up.
	Reusable() bool
	// Dirty reports whether a caller may have left session state behind.
	Dirty() bool
	// Reset clears the state that a caller left behind, if there is any.
	Reset(ctx context.Context) error
	// Fence is the instance's fence as it was read on the connection when that
	// was opened. The connection runs no writes once the instance's fence is
	// higher.
	Fence() position.Term
	// PID is the backend process id at the target.
	PID() uint32
	Close() error
}
