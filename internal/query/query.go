// Package query holds the statements of callers and the answers of targets,
// decoded once from the wire.
package query

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Kind says what a statement does.
type Kind uint8

// The kinds of statement. Those from Reset on are sent by laburnumrack only.
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
	Forget
	Reset
	Status
	Hold
	Resume
	Demote
)

// Statement is one statement. Which fields are set depends on its kind.
type Statement struct {
	// ID is the caller's name of the statement; empty for laburnumrack's own.
	ID   string
	Kind Kind
	// Text is the caller's text, passed on unchanged.
	Text string
	// Name is that of a session value or a prepared statement.
	Name string
	// Value is the value of a Set or the shape of a Prepare.
	Value string
	// Arguments is what follows the name in an Execute.
	Arguments string
	// Writes says that a Write, Prepare or Execute changes data, or that a Begin
	// opens a transaction that may.
	Writes bool
	// After is the position that the target's log must hold; zero for none.
	After position.Position
	// Term belongs to Hold and Demote.
	Term position.Term
}

// Prepared is a statement that a session prepared.
type Prepared struct {
	Shape  string
	Writes bool
}

// Environment is the state of a session that its statements depend on.
type Environment struct {
	Values   map[string]string
	Prepared map[string]Prepared
}

// Writes reports whether a statement changes data; one that executes does if the
// statement that it names was prepared to.
func (e Environment) Writes(s Statement) bool {
	if s.Kind == Execute {
		return e.Prepared[s.Name].Writes
	}
	return s.Writes
}

// TxState is the transaction state after an answer.
type TxState byte

// The transaction states.
const (
	Idle   TxState = 'I'
	Open   TxState = 'T'
	Failed TxState = 'E'
)

// Code says why a statement failed.
type Code uint8

// The codes of failure.
const (
	OK Code = iota
	Busy
	Aborted
	Behind
	ReadOnly
	WrongTarget
	TooManyConnections
	NoDatabase
	Unsure
	TimedOut
	ExecutionFailed
	NoStatement
	Bad
	// Other is a code that this version does not know.
	Other
)

var codeNames = map[Code]string{
	OK: "ok", Busy: "busy", Aborted: "aborted", Behind: "behind", ReadOnly: "read_only", WrongTarget: "wrong_target",
	TooManyConnections: "too_many_connections", NoDatabase: "no_database", Unsure: "unsure", TimedOut: "timed_out",
	ExecutionFailed: "failed", NoStatement: "no_statement", Bad: "bad", Other: "other",
}

// String returns the code as log lines and metrics name it.
func (c Code) String() string {
	return codeNames[c]
}

// NotRun reports whether a target that answered with c ran nothing.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Behind, ReadOnly, WrongTarget, TooManyConnections:
		return true
	default:
		return false
	}
}

// Answer ends one statement.
type Answer struct {
	Rows []string
	// Signature is the target's proof of the run; "-" for answers without one.
	Signature string
	Code      Code
	Message   string
	State     TxState
	// Position is the end of the target's log; zero if it named none.
	Position position.Position
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool {
	return a.Code == OK
}

// NoSignature is the signature of answers that no target gave.
const NoSignature = "-"

// Success is the answer of a statement that laburnumrack serves itself.
func Success(state TxState) Answer {
	return Answer{Signature: NoSignature, State: state}
}

// Failure is an answer with an error.
func Failure(c Code, state TxState, message string) Answer {
	return Answer{Code: c, State: state, Message: message}
}

// TargetStatus is what a target says of itself.
type TargetStatus struct {
	Primary     bool
	Term        position.Term
	Received    position.Position
	Held        position.Term
	Lag         time.Duration
	Busy        int
	Connections int
}
