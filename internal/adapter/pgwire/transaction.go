package pgwire

import (
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// transaction is the transaction state of a connection.
type transaction struct {
	active bool
	failed bool
	// implicit reports whether the proxy, not the caller, opened the transaction; it ends
	// with the request.
	implicit bool
	readOnly bool
	// begin is the statement that opens the transaction at the target; empty once sent.
	// It is sent with the first statement for the target; until then unit is nil.
	begin string
	// requestID is the idempotency key of the whole transaction; empty if it has none.
	requestID string
	unit      wireunit.Unit
}

func (t *transaction) open() bool {
	return t.active && !t.implicit
}

func (t *transaction) status() wireunit.TxStatus {
	switch {
	case !t.open():
		return wireunit.TxIdle
	case t.failed:
		return wireunit.TxFailed
	default:
		return wireunit.TxOpen
	}
}

func (t *transaction) state() state {
	switch t.status() {
	case wireunit.TxOpen:
		return stateInTransaction
	case wireunit.TxFailed:
		return stateFailed
	default:
		return stateIdle
	}
}

// fail marks an active transaction as failed and closes its unit, which rolls it back.
func (t *transaction) fail() {
	if !t.active {
		return
	}
	t.closeUnit()
	t.failed = true
}

// lost reports whether the transaction has failed and its unit is closed.
func (t *transaction) lost() bool {
	return t.failed && t.unit == nil
}

// discard ends the transaction without a message to the caller and closes its unit.
func (t *transaction) discard() {
	t.closeUnit()
	*t = transaction{}
}

func (t *transaction) closeUnit() {
	if t.unit == nil {
		return
	}
	t.unit.Close()
	t.unit = nil
}

// targetRequest is a sequence of messages for the target.
type targetRequest struct {
	messages   []byte
	statements []wireunit.Statement
	// readOnly reports whether the messages are known to write nothing.
	readOnly bool
	// executes reports whether the messages execute a statement, not only prepare and
	// describe.
	executes bool
	// endsTransaction reports whether the last statement is COMMIT or ROLLBACK.
	endsTransaction bool
	// controlOnly reports whether all statements only control the transaction.
	controlOnly bool
}

// run sends messages to the target, writes the answer to sink and updates the transaction
// state. If the outcome isn't OK, the caller of run must send its error.
func (c *conn) run(r targetRequest, sink io.Writer) wireunit.Result {
	remaining, o := c.takeDeadline(r)
	if o.OK() {
		o = c.openUnit(r, remaining)
	}
	if !o.OK() {
		c.updateAfterFailure(r, 0)
		return wireunit.Result{Outcome: o}
	}
	stop := c.cancelAfter(remaining)
	batch := wireunit.Batch{
		Messages:   r.messages,
		Statements: r.statements,
		ReadOnly:   r.readOnly && !c.tx.active || c.tx.readOnly,
		Auxiliary:  r.controlOnly || !r.executes,
		NoCommit:   c.tx.active && !r.endsTransaction,
	}
	result := c.exchange(batch, sink)
	stop()
	c.updateTransaction(r, result)
	return result
}

// takeDeadline returns the time until the deadline of this request, zero if it has none,
// and clears the parameter, because it applies to one request only. It refuses with
// DeadlinePassed if no time is left.
func (c *conn) takeDeadline(r targetRequest) (time.Duration, outcome.Outcome) {
	if !r.executes || c.parameters.deadline == 0 {
		return 0, outcome.Outcome{}
	}
	deadline := c.parameters.deadline
	c.parameters.deadline = 0
	left := deadline - c.server.config.Now().Sub(c.requestReceived)
	if left <= 0 {
		return 0, c.countRefusal(outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline of %v has passed", deadline))
	}
	return left, outcome.Outcome{}
}

// cancelAfter requests cancellation of the running batch after remaining; zero means
// never. The returned function stops the timer and must be called when the batch has
// ended.
func (c *conn) cancelAfter(remaining time.Duration) func() bool {
	if remaining == 0 {
		return func() bool { return false }
	}
	unit := c.tx.unit
	return time.AfterFunc(remaining, func() { c.cancelUnit(unit) }).Stop
}

// openUnit opens a unit of work if none is open, and sends the pending BEGIN of its
// transaction.
func (c *conn) openUnit(r targetRequest, remaining time.Duration) outcome.Outcome {
	if c.tx.unit != nil {
		return outcome.Outcome{}
	}
	if o := c.checkNotAborted(); !o.OK() {
		return c.countRefusal(o)
	}
	snapshot := c.server.config.Configuration.Current()
	if o := checkAccess(snapshot, c.caller, c.database); !o.OK() {
		return c.countRefusal(o)
	}
	header := wireunit.Header{
		Service:       c.database.Service,
		Database:      c.database.Name,
		Caller:        c.caller,
		Class:         snapshot.Callers[c.caller].Value.Class,
		ReadOnly:      r.readOnly && !c.tx.active || c.tx.readOnly,
		Seen:          c.session.Seen(),
		SessionAge:    c.session.Age(c.server.config.Now()),
		MaxAge:        c.maxAge(),
		Remaining:     remaining,
		ConfigVersion: uint64(snapshot.Revision),
	}
	header.RequestID = c.takeRequestID(r)
	unit, o := c.server.config.Opener.Open(c.server.ctx, header)
	if !o.OK() {
		return o
	}
	c.tx.unit = unit
	return c.sendBegin()
}

// takeRequestID returns the request id for a new unit and clears the parameter. A read
// needs no request id and leaves it for the next request.
func (c *conn) takeRequestID(r targetRequest) string {
	if c.tx.open() {
		return c.tx.requestID
	}
	if !r.executes || r.readOnly || c.tx.readOnly {
		return ""
	}
	id := c.parameters.requestID
	c.parameters.requestID = ""
	return id
}

// sendBegin sends the pending BEGIN, if any, to the target. It closes the unit if that
// fails, and refuses with DoneBefore if the request id of the transaction has already
// run.
func (c *conn) sendBegin() outcome.Outcome {
	if c.tx.begin == "" {
		return outcome.Outcome{}
	}
	result := c.exchange(wireunit.Batch{Messages: queryMessage(c.tx.begin), ReadOnly: c.tx.readOnly, Auxiliary: true, NoCommit: true}, io.Discard)
	switch {
	case result.Outcome.OK() && result.Repeated:
		c.tx.closeUnit()
		return c.countRefusal(outcome.Refuse(outcome.DoneBefore, 0, "a transaction with this request id has already run: %s", result.Tag))
	case !result.Outcome.OK():
		c.tx.closeUnit()
		return result.Outcome
	case result.Status != wireunit.TxOpen:
		c.tx.closeUnit()
		return c.countRefusal(outcome.Refuse(outcome.TargetRejected, 0, "the target did not open a transaction"))
	}
	c.tx.begin = ""
	return outcome.Outcome{}
}

// exchange runs one batch, which cancel requests can cancel.
func (c *conn) exchange(b wireunit.Batch, sink io.Writer) wireunit.Result {
	c.server.metrics.batches.Inc()
	c.setRunning(c.tx.unit)
	result := c.tx.unit.Exchange(c.server.ctx, b, sink)
	c.setRunning(nil)
	return result
}

// updateTransaction updates the transaction and session state after a batch.
func (c *conn) updateTransaction(r targetRequest, result wireunit.Result) {
	if !result.Outcome.OK() {
		c.updateAfterFailure(r, result.Status)
		return
	}
	switch result.Status {
	case wireunit.TxOpen, wireunit.TxFailed:
		c.tx.active = true
		c.tx.failed = result.Status == wireunit.TxFailed
	default:
		c.tx.discard()
		c.portals = nil
	}
	c.advanceSession(result)
}

// updateAfterFailure updates the transaction state after a batch that was refused or
// whose outcome is unknown. A zero status means that the unit has ended.
func (c *conn) updateAfterFailure(r targetRequest, status wireunit.TxStatus) {
	switch {
	case status == wireunit.TxOpen || status == wireunit.TxFailed:
		c.tx.active = true
		c.tx.failed = status == wireunit.TxFailed
	case c.tx.active && !r.endsTransaction:
		c.tx.fail()
	default:
		c.tx.discard()
	}
}

// advanceSession raises the position that the session has seen. If it changed, the
// session token is sent again.
func (c *conn) advanceSession(result wireunit.Result) {
	if c.session.Advance(result.Position) {
		c.tokenSent = false
	}
}

// endImplicit ends an implicit transaction: it commits it, or discards it if it has
// failed or never reached the target.
func (c *conn) endImplicit() {
	if !c.tx.implicit {
		return
	}
	if c.tx.unit == nil || c.tx.failed {
		c.tx.discard()
		return
	}
	result := c.run(targetRequest{messages: queryMessage("COMMIT"), endsTransaction: true, controlOnly: true}, io.Discard)
	if !result.Outcome.OK() {
		c.sendOutcome(result.Outcome)
	}
	c.tx.discard()
}

// beginImplicit opens an implicit transaction for the next batches, unless a transaction
// is active.
func (c *conn) beginImplicit(readOnly bool) {
	if c.tx.active {
		return
	}
	c.tx = transaction{active: true, implicit: true, readOnly: readOnly, begin: beginText(readOnly)}
}

func beginText(readOnly bool) string {
	if readOnly {
		return "BEGIN READ ONLY"
	}
	return "BEGIN"
}

// queryMessage returns an encoded Query message.
func queryMessage(sql string) []byte {
	m, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic("pgwire: encode Query: " + err.Error()) // unreachable: all queries sent here can be encoded
	}
	return m
}

// declaredReadOnly reports whether the session or the configuration of the caller
// declares that it only reads.
func (c *conn) declaredReadOnly() bool {
	if c.parameters.readOnly {
		return true
	}
	return c.server.config.Configuration.Current().Callers[c.caller].Value.ReadOnly
}

// countRefusal counts a refusal that is decided by this package and returns it.
func (c *conn) countRefusal(o outcome.Outcome) outcome.Outcome {
	c.server.metrics.refused[o.Reason].Inc()
	return o
}
