// Package query defines the decoded form of callers' statements and targets' answers.
// They are decoded once, when they are read from the wire.
package query

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements. Those from Reset on are sent by laburnumrack only.
const (
	Unknown Kind = iota
	Begin
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	// Forget drops a prepared statement.
	Forget
	// Reset clears the session values and prepared statements of a connection.
	Reset
	// Status asks a target for its TargetStatus.
	Status
	// Hold stops a replica from receiving log entries until it joins a term not below
	// Statement.Term or gets a Resume.
	Hold
	// Resume ends a Hold.
	Resume
	// Demote makes a primary of a term below Statement.Term a replica.
	Demote
)

// UsesTarget reports whether a caller's statement of this kind runs on a target or begins
// a transaction there.
func (k Kind) UsesTarget() bool {
	switch k {
	case Begin, Commit, Read, Write, Execute:
		return true
	default:
		return false
	}
}

// EndsTransaction reports whether a caller's statement of this kind ends a transaction.
func (k Kind) EndsTransaction() bool {
	return k == Commit || k == Rollback
}

// Statement is a decoded statement. Its kind determines which fields are set.
type Statement struct {
	// ID is the id that the caller gave the request; empty for laburnumrack's own
	// statements.
	ID   string
	Kind Kind
	// Text is the caller's text, sent to the target unchanged.
	Text string
	// Name is the name of a session value or prepared statement.
	Name string
	// Value is the value of a Set or the query shape of a Prepare.
	Value string
	// Arguments is the text after the name in an Execute.
	Arguments string
	// Writes reports whether a Write or the statement of a Prepare changes data, or a
	// Begin opens a transaction that may write. For an Execute, see
	// Environment.Writes.
	Writes bool
	// After is the position that the target's log must hold for the statement to run;
	// zero for none.
	After position.Position
	// Term is the new term of a Hold or Demote.
	Term position.Term
}

// Prepared is a prepared statement of a session.
type Prepared struct {
	Shape  string
	Writes bool
}

// Environment is the session state on which statements depend.
type Environment struct {
	Values   map[string]string
	Prepared map[string]Prepared
}

// Writes reports whether s changes data. An Execute does if the prepared statement that
// it names does.
func (e Environment) Writes(s Statement) bool {
	if s.Kind == Execute {
		return e.Prepared[s.Name].Writes
	}
	return s.Writes
}

// TxState is the transaction state of the session after an answer.
type TxState byte

// The transaction states.
const (
	Idle   TxState = 'I'
	Open   TxState = 'T'
	Failed TxState = 'E'
)

// Code is the result code of a statement.
type Code uint8

// The result codes. OK is success.
const (
	OK Code = iota
	// Busy means that the statement took no effect and can be repeated.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that the target's log has not reached Statement.After.
	Behind
	ReadOnly
	WrongTarget
	TooManyConnections
	NoDatabase
	// Unsure means that the statement may have run.
	Unsure
	TimedOut
	ExecutionFailed
	// NoStatement means that the prepared statement does not exist.
	NoStatement
	// Bad means that the statement is unknown or not allowed in the session's state.
	Bad
	// Other replaces any code that this version does not know.
	Other
	// Unauthorized means that the caller's key is unknown or was revoked. Daemons send each
	// other codes as numbers, so new codes are added at the end.
	Unauthorized
)

var codeNames = map[Code]string{
	OK: "ok", Busy: "busy", Aborted: "aborted", Behind: "behind", ReadOnly: "read_only", WrongTarget: "wrong_target",
	TooManyConnections: "too_many_connections", NoDatabase: "no_database", Unauthorized: "unauthorized", Unsure: "unsure", TimedOut: "timed_out",
	ExecutionFailed: "failed", NoStatement: "no_statement", Bad: "bad", Other: "other",
}

// String returns the name of the code in log lines and metrics.
func (c Code) String() string {
	return codeNames[c]
}

// NotRun reports whether c guarantees that the target did not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Behind, ReadOnly, WrongTarget, TooManyConnections:
		return true
	default:
		return false
	}
}

// Answer is the answer to one statement.
type Answer struct {
	Rows []string
	// Signature is the target's proof that it ran the statement; NoSignature if
	// there is none.
	Signature string
	Code      Code
	Message   string
	State     TxState
	// Position is the end of the target's log; zero if the target reported none.
	Position position.Position
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool {
	return a.Code == OK
}

// NoSignature is the signature of an answer that no target signed.
const NoSignature = "-"

// Success returns the answer to a statement that laburnumrack ran without a target.
func Success(state TxState) Answer {
	return Answer{Signature: NoSignature, State: state}
}

// Failure returns an answer that reports an error.
func Failure(c Code, state TxState, message string) Answer {
	return Answer{Code: c, State: state, Message: message}
}

// TargetStatus is the status of a target as the target reports it.
type TargetStatus struct {
	Primary bool
	Term    position.Term
	// Received is the end of the target's log.
	Received position.Position
	// Held is the term of the Hold in force; zero for none.
	Held        position.Term
	Lag         time.Duration
	Busy        int
	Connections int
}
