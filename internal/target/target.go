// Package target defines the interface to one instance of a database group.
//
// The interface does not depend on a wire protocol: each kind of target is an
// implementation of Dialer. It also reads and sets the instance's term and reads its
// log position.
package target

import (
	"context"
	"errors"
	"net/netip"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// Status is the status of an instance at one moment, as the instance reports it.
type Status struct {
	Target string
	// Primary reports whether the instance accepts writes in its term.
	Primary bool
	// Fence is the highest term that the instance was fenced to or has joined. It
	// accepts nothing of an older term.
	Fence position.Term
	// Joined is the term whose primary the instance is or follows. It is lower than
	// Fence while the instance is fenced but follows no primary yet.
	Joined position.Term
	// Last is the position of the last entry of the log.
	Last position.Position
	// Applied is the position up to which reads on the instance see the log.
	Applied position.Position
}

// Errors of a target.
var (
	// ErrFenced reports that the instance is fenced at a higher term.
	ErrFenced = errors.New("target is fenced at a higher term")
	// ErrNotSent reports that nothing reached the target.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrLost reports that the connection broke after a part of the request was sent.
	ErrLost = errors.New("connection to the target was lost")
)

// Control reads and sets the term and role of one instance over a separate connection,
// which takes none of the target's slots. It is safe for concurrent use; calls run one
// at a time.
type Control interface {
	// Status returns the current status of the instance.
	Status(ctx context.Context) (Status, error)
	// Fence raises the instance's fence to t. It is idempotent. Once it has
	// returned, the instance accepts nothing of a term below t, and connections that
	// were opened before run no more writes. A statement in flight therefore never
	// runs in a later term.
	Fence(ctx context.Context, t position.Term) (Status, error)
	// Promote makes an instance that is fenced at t the primary of t and writes the
	// first log entry of t.
	Promote(ctx context.Context, t position.Term) (Status, error)
	// Follow makes the instance join term t as a replica of primary. Log entries
	// that the primary's log does not hold are truncated.
	Follow(ctx context.Context, t position.Term, primary netip.AddrPort) (Status, error)
	// Terminate ends the connection that the backend process pid serves, and returns
	// once it is known to have ended.
	Terminate(ctx context.Context, pid uint32) error
	Close() error
}

// RecordTable is the table in the caller's database that records the ids of completed
// requests. Its primary key ensures that a request runs at most once.
const RecordTable = "laburnumrack_requests"

// The SQL functions of a target, each called as SELECT * FROM name(arguments).
// Status, fence, promote and follow return one row of text columns: target,
// role (primary or replica), fence, joined, last_term, last_index, applied_term,
// applied_index. A call with a term below the instance's fence fails with
// SQLStateFenced.
const (
	FuncStatus    = "laburnumrack_status"    // ()
	FuncFence     = "laburnumrack_fence"     // (term)
	FuncPromote   = "laburnumrack_promote"   // (term)
	FuncFollow    = "laburnumrack_follow"    // (term, 'ip:port')
	FuncTerminate = "laburnumrack_terminate" // (pid), returns one row: terminated
)

// SQLSTATEs of a target that the proxy evaluates.
const (
	// SQLStateFenced is specific to laburnumrack targets. It reports that the
	// instance is fenced at a higher term, or was fenced while the transaction ran:
	// the transaction did not commit.
	SQLStateFenced = "LR001"
	// SQLStateReadOnly is the standard read_only_sql_transaction.
	SQLStateReadOnly = "25006"
	// SQLStateTooManyConnections is the standard too_many_connections.
	SQLStateTooManyConnections = "53300"
	// SQLStateUniqueViolation is the standard unique_violation.
	SQLStateUniqueViolation = "23505"
	// SQLStateCanceled is the standard query_canceled.
	SQLStateCanceled = "57014"
	// SQLStateUnnamed is the standard internal_error. It is used for an error
	// without a SQLSTATE.
	SQLStateUnnamed = "XX000"
)

// Reply is the result of an Exchange.
type Reply struct {
	// Status is the transaction status after the batch.
	Status wireunit.TxStatus
	// Tag is the last command tag.
	Tag string
	// SQLState is the SQLSTATE of the target's error, or empty.
	SQLState string
	// PreludeState is the SQLSTATE of the prelude's error, or empty.
	PreludeState string
	// StatusAfter is the instance's status, read on the same connection after the batch.
	// It is set only if the batch ended the transaction.
	StatusAfter Status
	// HasStatusAfter reports whether StatusAfter was read.
	HasStatusAfter bool
	// Succeeded reports whether the target reported success of a statement of the
	// batch. After an error without it, nothing of the batch has taken effect.
	Succeeded bool
	// Held is Exchange.Held with the held back messages appended.
	Held []byte
}

// Dialer opens connections to targets.
type Dialer interface {
	// DialControl opens a separate connection for Control.
	DialControl(ctx context.Context, address netip.AddrPort, database string) (Control, error)
	// Dial opens a connection that runs callers' batches.
	Dial(ctx context.Context, address netip.AddrPort, database string) (Conn, error)
}
