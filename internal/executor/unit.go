// Package executor runs the statements of callers on the targets of a database group.
//
// For each statement it selects a target, waits for admission and a connection, and
// retries if the statement certainly did not run. A write is answered with success only
// if the target was the confirmed primary when it answered. A write that may have run is
// answered as unknown and is not repeated.
package executor

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// unit is a single statement or a transaction that is open at its home. It implements
// stmtunit.Unit and is not safe for concurrent use.
type unit struct {
	executor *Executor
	header   stmtunit.Header
	// lastCommitAt is when the session last committed, as time since boot.
	lastCommitAt      time.Duration
	committedPosition position.Position
	tx                *transaction
	ended             bool
}

// transaction is the state of a unit's transaction on its target.
type transaction struct {
	// conn is nil until the transaction has begun on a target.
	conn   *backend.PooledConn
	leader *backend.LeaderView
	// answered is set once the caller has received an answer of the target. The
	// transaction can't be begun again elsewhere after that.
	answered  bool
	confirmed bool
	wrote     bool
	// statements counts the statements that the target answered, its commit included.
	statements int
}

// Open opens a unit that is run by this daemon. It implements stmtunit.Opener.
func (e *Executor) Open(h stmtunit.Header) stmtunit.Unit {
	u := &unit{executor: e, header: h, lastCommitAt: boottime.Now() - h.SeenAge}
	if h.Begin != nil {
		u.tx = &transaction{}
	}
	return u
}

// Run runs one statement and returns its answer. Failures are reported in the answer.
func (u *unit) Run(c stmtunit.Call) stmtunit.Reply {
	r, code := u.executor.newRequest(u, c)
	defer r.leaveGate()
	a := u.executor.dispatch(r, code)
	total := boottime.Now() - r.arrivedAt
	observeStatement(r, a, total)
	if a.OK() {
		u.executor.Log.Success("served", "request", r.statement.ID, "database", r.route.Database, "group", r.route.Group, "position", a.Position.String(),
			"tries", r.attempts, "took_ms", total.Milliseconds(), "config_version", u.header.Version)
	}
	return stmtunit.Reply{Answer: a, Reason: r.refusal, CutOff: r.cutOff, Committed: u.committedPosition}
}

// Close ends the unit and rolls an open transaction back. Calling it again has no effect.
func (u *unit) Close() {
	if u.tx != nil && !u.ended {
		u.executor.rollbackInBackground(u.tx)
	}
	if u.tx != nil && u.tx.statements > 0 {
		u.executor.transactionLengths.record(u.header.Route.Database, u.tx.statements)
		u.tx.statements = 0
	}
	u.ended = true
}

// txState returns the transaction state for answers that come from no target.
func (u *unit) txState() query.TxState {
	switch {
	case u.tx == nil || u.ended:
		return query.Idle
	default:
		return query.Open
	}
}
