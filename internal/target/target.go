// Package target is the interface to one instance of a database group.
//
// It is kept apart from any wire protocol: another flavour of target is another
// implementation of Dialer. Term and log position are read and set through it.
package target

import (
	"context"
	"errors"
	"net/netip"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// Status is what an instance says of itself at one moment.
type Status struct {
	Target string
	// Primary reports whether the instance accepts writes in its term.
	Primary bool
	// Fence is the highest term the instance was fenced to or has joined. It
	// accepts nothing of an older term.
	Fence position.Term
	// Joined is the term whose primary the instance is or follows; an instance
	// that is fenced but follows nobody yet has a Joined lower than Fence.
	Joined position.Term
	// Last is the position of the last entry of the log.
	Last position.Position
	// Applied is the position that reads on the instance see.
	Applied position.Position
}

// Errors of a target.
var (
	// ErrFenced says that the instance stands at a higher term.
	ErrFenced = errors.New("target is fenced at a higher term")
	// ErrNotSent says that nothing reached the target.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrLost says that the connection broke after something was sent.
	ErrLost = errors.New("connection to the target was lost")
)

// Control reads and sets the term and the role of one instance over a
// connection of its own, outside the slots. It may be called by any goroutine;
// calls are made one at a time.
type Control interface {
	Status(ctx context.Context) (Status, error)
	// Fence raises the instance's term to t. It is idempotent. From its return
	// on, the instance accepts nothing of a term below t, and a connection that
	// carried a session before the fence runs no more writes: a statement that
	// is on its way never runs in a later term.
	Fence(ctx context.Context, t position.Term) (Status, error)
	// Promote makes an instance fenced at t the primary of t and writes the
	// opening entry of t.
	Promote(ctx context.Context, t position.Term) (Status, error)
	// Follow makes the instance join term t as a replica of primary. A tail that
	// the primary's log does not hold is cut.
	Follow(ctx context.Context, t position.Term, primary netip.AddrPort) (Status, error)
	// Terminate ends a connection of the target by its backend process id and
	// returns when it is known to be gone.
	Terminate(ctx context.Context, pid uint32) error
	Close() error
}

// RecordTable is the table of the caller's database that holds the request ids
// that were done. Its primary key is what makes a request run at most once.
const RecordTable = "laburnumrack_requests"

// The SQL functions of a target, each called as SELECT * FROM name(arguments).
// Status, fence, promote and follow return one row of text columns: target,
// role (primary or replica), fence, joined, last_term, last_index, applied_term,
// applied_index. A call below the instance's fence fails with SQLStateFenced.
const (
	FuncStatus    = "laburnumrack_status"    // ()
	FuncFence     = "laburnumrack_fence"     // (term)
	FuncPromote   = "laburnumrack_promote"   // (term)
	FuncFollow    = "laburnumrack_follow"    // (term, 'ip:port')
	FuncTerminate = "laburnumrack_terminate" // (pid), returns one row: terminated
)

// SQLStates of a target beside the standard ones.
const (
	// SQLStateFenced says that the instance stands at a higher term, or was
	// fenced while the transaction ran: the transaction did not commit.
	SQLStateFenced = "LR001"
	// SQLStateReadOnly is the standard read_only_sql_transaction.
	SQLStateReadOnly = "25006"
	// SQLStateTooManyConnections is the standard too_many_connections.
	SQLStateTooManyConnections = "53300"
	// SQLStateUniqueViolation is the standard unique_violation.
	SQLStateUniqueViolation = "23505"
	// SQLStateCanceled is the standard query_canceled.
	SQLStateCanceled = "57014"
	// SQLStateUnnamed is the standard internal_error; it stands for an error
	// that names no state.
	SQLStateUnnamed = "XX000"
)

// Reply is what one exchange on a connection brought.
type Reply struct {
	// Status is the transaction status after the batch.
	Status wireunit.TxStatus
	// Tag is the last command tag.
	Tag string
	// SQLState is that of the target's error, or empty.
	SQLState string
	// PreludeState is the SQLSTATE of the prelude's error, or empty.
	PreludeState string
	// After is the instance's status read on the same connection after the
	// batch. It is only set when the batch ended the transaction.
	After Status
	// AfterKnown reports whether After was read.
	AfterKnown bool
	// Succeeded reports whether the target told success of a statement of the
	// batch. An error without it means that nothing of the batch took effect.
	Succeeded bool
	// Held is Exchange.Held with the messages that were held back.
	Held []byte
}

// Dialer opens connections to targets.
type Dialer interface {
	DialControl(ctx context.Context, address netip.AddrPort, database string) (Control, error)
	// Dial opens a connection for the work of callers.
	Dial(ctx context.Context, address netip.AddrPort, database string) (Conn, error)
}
