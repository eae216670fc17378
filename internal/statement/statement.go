// Package statement parses and prints the language that operators use to show and
// change the configuration: SHOW, DECLARE, DRAIN, UNDRAIN, STOP, START and DROP.
//
// A configuration file is a sequence of statements. Statements end with a semicolon,
// comments start with two hyphens, keywords are case-insensitive, and a name that is
// a keyword is written in double quotes.
package statement

import (
	"fmt"
	"strings"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Verb is the first keyword of a statement.
type Verb string

// The verbs.
const (
	VerbShow    Verb = "SHOW"
	VerbDeclare Verb = "DECLARE"
	VerbDrain   Verb = "DRAIN"
	VerbUndrain Verb = "UNDRAIN"
	VerbStop    Verb = "STOP"
	VerbStart   Verb = "START"
	VerbDrop    Verb = "DROP"
)

// Position is a position in a text. Line and Column start at 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Statement is one parsed statement. Exactly one of Show, Declare and Object is set,
// depending on the verb.
type Statement struct {
	Position Position
	Verb     Verb
	// Show is set for SHOW.
	Show *Show
	// Declare is set for DECLARE.
	Declare *Declare
	// Object is set for DRAIN, UNDRAIN, STOP, START and DROP.
	Object *Object
	// IfVersion is the version that the object must have, zero if it must not exist,
	// or nil for any version.
	IfVersion *store.Revision
}

// Mutates reports whether the statement is one that can change an object.
func (s Statement) Mutates() bool {
	return s.Verb != VerbShow
}

// Object identifies the object that a statement refers to.
type Object struct {
	Kind ObjectKind
	Name string
}

// ObjectKind is the kind of an Object, as written in a statement.
type ObjectKind string

// The kinds of objects.
const (
	ObjectService  ObjectKind = "SERVICE"
	ObjectDatabase ObjectKind = "DATABASE"
	ObjectTarget   ObjectKind = "TARGET"
	ObjectCaller   ObjectKind = "CALLER"
	ObjectPolicy   ObjectKind = "READ POLICY"
	ObjectOperator ObjectKind = "OPERATOR"
	ObjectRegion   ObjectKind = "REGION"
	ObjectVM       ObjectKind = "VM"
)

// Declare is the content of a DECLARE statement.
type Declare struct {
	// Document is the declared object. The state of a service is empty: a new service
	// becomes active, and an existing one keeps its state.
	Document configuration.Document
	// Password is the password of a declared caller; empty if a verifier is given.
	Password string
}

// TableName is the name of a table that SHOW returns.
type TableName string

// The tables.
const (
	ShowHolders    TableName = "HOLDERS"
	ShowReplicas   TableName = "REPLICAS"
	ShowTime       TableName = "TIME"
	ShowServices   TableName = "SERVICES"
	ShowCallers    TableName = "CALLERS"
	ShowPolicies   TableName = "POLICIES"
	ShowVMs        TableName = "VMS"
	ShowPromotions TableName = "PROMOTIONS"
	ShowConfig     TableName = "CONFIG"
)

// Show is the content of a SHOW statement.
type Show struct {
	Table TableName
	// Of limits the rows to those of one object; nil means all.
	Of *Object
	// By lists the columns that the rows are grouped by.
	By []string
	// Since limits the rows to this period up to now; zero means no limit.
	Since time.Duration
	// Where lists conditions; a row must meet all of them.
	Where []Condition
}

// Comparison is a comparison operator.
type Comparison string

// The comparison operators.
const (
	Equal          Comparison = "="
	NotEqual       Comparison = "!="
	Less           Comparison = "<"
	LessOrEqual    Comparison = "<="
	Greater        Comparison = ">"
	GreaterOrEqual Comparison = ">="
)

// Condition compares one column with a literal.
type Condition struct {
	Column     string
	Comparison Comparison
	Value      Literal
}

// Literal is a value in a condition: text, a number or a duration.
type Literal struct {
	Kind     LiteralKind
	Text     string
	Number   int64
	Duration time.Duration
}

// LiteralKind is the type of a literal.
type LiteralKind uint8

// The kinds of literals.
const (
	TextLiteral LiteralKind = iota
	NumberLiteral
	DurationLiteral
)

// Error is an error at a position of a text.
type Error struct {
	Position
	Message string `json:"message"`
}

// Error returns the message with its line and column.
func (e Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Errors holds all errors of a text.
type Errors []Error

// Error returns the messages of all errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns e as an error, or nil if e is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// FromDocument returns the statements that recreate a stored object.
func FromDocument(d configuration.Document) []Statement {
	switch doc := d.(type) {
	case configuration.Service:
		return fromService(doc)
	case configuration.Drain:
		kind := ObjectTarget
		if doc.Kind == configuration.DrainVM {
			kind = ObjectVM
		}
		return []Statement{{Verb: VerbDrain, Object: &Object{kind, doc.Name}}}
	default:
		return []Statement{{Verb: VerbDeclare, Declare: &Declare{Document: d.WithCommand("")}}}
	}
}

// fromService returns a DECLARE statement, and a DRAIN or STOP statement if the service
// is not active.
func fromService(s configuration.Service) []Statement {
	state := s.State
	s.State = ""
	all := []Statement{{Verb: VerbDeclare, Declare: &Declare{Document: s.WithCommand("")}}}
	switch state {
	case configuration.ServiceDraining:
		all = append(all, Statement{Verb: VerbDrain, Object: &Object{ObjectService, s.Name}})
	case configuration.ServiceStopped:
		all = append(all, Statement{Verb: VerbStop, Object: &Object{ObjectService, s.Name}})
	}
	return all
}
