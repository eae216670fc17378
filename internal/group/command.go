package group

import (
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// TermObject is the value of the store object that holds the current term of a
// group.
type TermObject struct {
	Term position.Term `json:"term"`
	// Primary is empty until the term has been opened and its primary recorded.
	Primary    string     `json:"primary,omitempty"`
	Electorate Electorate `json:"electorate"`
	// Claimant is the nonce of the promotion that claimed the term.
	Claimant string `json:"claimant"`
}

// CommandKind is the type of action that a Command requests.
type CommandKind uint8

// The commands of a promotion.
const (
	// CommandReadTerm reads the term object from the store.
	CommandReadTerm CommandKind = iota
	// CommandPutTerm replaces the term object with Object if the stored version is
	// still Version.
	CommandPutTerm
	// CommandStatus reads the status of Target.
	CommandStatus
	// CommandFence fences Target at Term.
	CommandFence
	// CommandPromote promotes Target in Term.
	CommandPromote
	// CommandFollow makes Target follow Primary in Term.
	CommandFollow
	// CommandStopWrites blocks new writes at this home and completes when the
	// running writes have ended.
	CommandStopWrites
	// CommandResumeWrites reverts CommandStopWrites. Its result is ignored.
	CommandResumeWrites
)

// String returns the name of the command for logs.
func (k CommandKind) String() string {
	return [...]string{"read_term", "put_term", "status", "fence", "promote", "follow",
		"stop_writes", "resume_writes"}[k]
}

// Command is one action for the runtime to execute. Each command except
// CommandResumeWrites must be answered by a Result. A command without a timely
// result is issued again, so a command may run twice and out of order.
type Command struct {
	Kind    CommandKind
	Target  string
	Term    position.Term
	Primary string
	Object  TermObject
	Version store.Revision
}

// Result is the outcome of a Command.
type Result struct {
	Command Command
	// Err is nil, an error of package store, or an error of package target.
	Err error
	// Observation is the status returned by a call to a target.
	Observation Observation
	// Object and Version are what CommandReadTerm read or CommandPutTerm wrote. If
	// a put fails with a *store.ConflictError, the runtime decodes the conflicting
	// value of the error into Object and Version.
	Object  TermObject
	Version store.Revision
}
