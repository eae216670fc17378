// Package executor runs the statements of callers on targets: it chooses the
// target, waits for a connection, decides on another try, and gives each statement
// an answer that is true.
package executor

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// run is one open unit at its home. One goroutine uses it.
type run struct {
	executor *Executor
	header   stmtunit.Header
	// seenAt is the time of the session's last commit since boot.
	seenAt    time.Duration
	committed position.Position
	tx        *transaction
	over      bool
}

// transaction is the transaction of a unit.
type transaction struct {
	// link is nil until the first statement has found a connection.
	link   *backend.PooledConn
	leader *backend.LeaderView
	// answered says that the caller has had an answer of a target in it, so that it
	// can't be begun again elsewhere.
	answered  bool
	confirmed bool
	wrote     bool
	// statements counts those that targets answered.
	statements int
}

// Open opens a unit on this daemon.
func (e *Executor) Open(h stmtunit.Header) stmtunit.Unit {
	r := &run{executor: e, header: h, seenAt: boottime.Now() - h.SeenAge}
	if h.Begin != nil {
		r.tx = &transaction{}
	}
	return r
}

// Run runs one statement and returns its answer.
func (r *run) Run(c stmtunit.Call) stmtunit.Reply {
	w, code := r.executor.newWork(r, c)
	defer w.leavePlace()
	a := r.executor.dispatch(w, code)
	whole := boottime.Now() - w.arrived
	observe(w, a, whole)
	if a.OK() {
		r.executor.Log.Success("served", "request", w.st.ID, "database", w.route.Database, "group", w.route.Group, "position", a.Position.String(),
			"tries", w.tries, "took_ms", whole.Milliseconds(), "config_version", r.header.Version)
	}
	return stmtunit.Reply{Answer: a, CutOff: w.cutOff, Committed: r.committed}
}

// Close gives the unit up; an open transaction is rolled back.
func (r *run) Close() {
	if r.tx != nil && !r.over {
		r.executor.endLink(r.tx)
	}
	if r.tx != nil && r.tx.statements > 0 {
		r.executor.lengths.note(r.header.Route.Database, r.tx.statements)
		r.tx.statements = 0
	}
	r.over = true
}

// state is the transaction state for answers that no target gave.
func (r *run) state() query.TxState {
	switch {
	case r.tx == nil || r.over:
		return query.Idle
	default:
		return query.Open
	}
}
