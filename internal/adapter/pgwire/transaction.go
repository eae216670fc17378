package pgwire

import (
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// transaction is the transaction of a connection as the caller sees it.
type transaction struct {
	active bool
	failed bool
	// implicit says that the transaction was opened here, and not by the caller;
	// it ends with the request.
	implicit bool
	readOnly bool
	// begin is the statement that opens the transaction at the target. It is
	// sent with the first real statement; until then unit is nil.
	begin string
	// requestID is the id of the whole transaction.
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

// fail marks an open transaction as failed; its work is rolled back.
func (t *transaction) fail() {
	if !t.active {
		return
	}
	t.closeUnit()
	t.failed = true
}

// lost reports whether the transaction failed and holds no unit any more.
func (t *transaction) lost() bool {
	return t.failed && t.unit == nil
}

// discard ends the transaction without a word to the caller.
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

// remote is a run of messages for the target.
type remote struct {
	messages   []byte
	statements []wireunit.Statement
	// readOnly says that it plainly writes nothing.
	readOnly bool
	// executes says that it does more than prepare and describe.
	executes bool
	// ends says that it ends the transaction.
	ends bool
	// control says that it only controls the transaction.
	control bool
}

// run passes messages to the target, the answer to sink, and follows the
// transaction. The outcome is not OK if an error is still to be sent.
func (c *conn) run(r remote, sink io.Writer) wireunit.Result {
	remaining, o := c.remaining(r)
	if o.OK() {
		o = c.openUnit(r, remaining)
	}
	if !o.OK() {
		c.afterFailure(r, 0)
		return wireunit.Result{Outcome: o}
	}
	stop := c.cancelAfter(remaining)
	batch := wireunit.Batch{
		Messages:   r.messages,
		Statements: r.statements,
		ReadOnly:   r.readOnly && !c.tx.active || c.tx.readOnly,
		Auxiliary:  r.control || !r.executes,
		NoCommit:   c.tx.active && !r.ends,
	}
	result := c.exchange(batch, sink)
	stop()
	c.settle(r, result)
	return result
}

// remaining returns the time until the deadline of this request, zero for none,
// and forgets the deadline: it applies to one request.
func (c *conn) remaining(r remote) (time.Duration, outcome.Outcome) {
	if !r.executes || c.parameters.deadline == 0 {
		return 0, outcome.Outcome{}
	}
	deadline := c.parameters.deadline
	c.parameters.deadline = 0
	left := deadline - c.server.config.Now().Sub(c.arrived)
	if left <= 0 {
		return 0, c.count(outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline of %v has passed", deadline))
	}
	return left, outcome.Outcome{}
}

// cancelAfter asks for the running batch to be canceled when its deadline
// passes. The function it returns must be called when the batch has ended.
func (c *conn) cancelAfter(remaining time.Duration) func() bool {
	if remaining == 0 {
		return func() bool { return false }
	}
	unit := c.tx.unit
	return time.AfterFunc(remaining, func() { c.cancelUnit(unit) }).Stop
}

// openUnit opens a unit of work unless one is open, and sends the BEGIN of an
// explicit transaction.
func (c *conn) openUnit(r remote, remaining time.Duration) outcome.Outcome {
	if c.tx.unit != nil {
		return outcome.Outcome{}
	}
	if o := c.usable(); !o.OK() {
		return c.count(o)
	}
	snapshot := c.server.config.Configuration.Current()
	if o := permitted(snapshot, c.caller, c.database); !o.OK() {
		return c.count(o)
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

// takeRequestID returns the request id of a new unit and forgets it. A plain
// read needs none and leaves it to the next request.
func (c *conn) takeRequestID(r remote) string {
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

// sendBegin opens the transaction at the target, if one is due.
func (c *conn) sendBegin() outcome.Outcome {
	if c.tx.begin == "" {
		return outcome.Outcome{}
	}
	result := c.exchange(wireunit.Batch{Messages: queryMessage(c.tx.begin), ReadOnly: c.tx.readOnly, Auxiliary: true, NoCommit: true}, io.Discard)
	switch {
	case result.Outcome.OK() && result.Repeated:
		c.tx.closeUnit()
		return c.count(outcome.Refuse(outcome.DoneBefore, 0, "the transaction of this request id was done before: %s", result.Tag))
	case !result.Outcome.OK():
		c.tx.closeUnit()
		return result.Outcome
	case result.Status != wireunit.TxOpen:
		c.tx.closeUnit()
		return c.count(outcome.Refuse(outcome.TargetRejected, 0, "the target did not open a transaction"))
	}
	c.tx.begin = ""
	return outcome.Outcome{}
}

// exchange runs one batch that a cancel request can reach.
func (c *conn) exchange(b wireunit.Batch, sink io.Writer) wireunit.Result {
	c.server.meters.requests.Inc()
	c.setRunning(c.tx.unit)
	result := c.tx.unit.Exchange(c.server.ctx, b, sink)
	c.setRunning(nil)
	return result
}

// settle follows the transaction after a batch.
func (c *conn) settle(r remote, result wireunit.Result) {
	if !result.Outcome.OK() {
		c.afterFailure(r, result.Status)
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
	c.advance(result)
}

// afterFailure follows the transaction after a batch that was refused or whose
// outcome is unknown. Status is zero if the unit is over.
func (c *conn) afterFailure(r remote, status wireunit.TxStatus) {
	switch {
	case status == wireunit.TxOpen || status == wireunit.TxFailed:
		c.tx.active = true
		c.tx.failed = status == wireunit.TxFailed
	case c.tx.active && !r.ends:
		c.tx.fail()
	default:
		c.tx.discard()
	}
}

// advance notes what the session has seen.
func (c *conn) advance(result wireunit.Result) {
	if c.session.Advance(result.Position) {
		c.sentToken = false
	}
}

// endImplicit ends a transaction that was opened here.
func (c *conn) endImplicit() {
	if !c.tx.implicit {
		return
	}
	if c.tx.unit == nil || c.tx.failed {
		c.tx.discard()
		return
	}
	result := c.run(remote{messages: queryMessage("COMMIT"), ends: true, control: true}, io.Discard)
	if !result.Outcome.OK() {
		c.sendOutcome(result.Outcome)
	}
	c.tx.discard()
}

// beginImplicit makes the next batches part of one transaction that the caller
// did not open by BEGIN.
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

// queryMessage returns a Query message.
func queryMessage(sql string) []byte {
	m, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic("pgwire: encode Query: " + err.Error()) // all our queries can be encoded
	}
	return m
}

// declaredReadOnly reports whether the caller has said that it only reads.
func (c *conn) declaredReadOnly() bool {
	if c.parameters.readOnly {
		return true
	}
	return c.server.config.Configuration.Current().Callers[c.caller].Value.ReadOnly
}

// count counts a refusal of this package.
func (c *conn) count(o outcome.Outcome) outcome.Outcome {
	c.server.meters.refused[o.Reason].Inc()
	return o
}
