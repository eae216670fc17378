// Package statement is the language of operators: SHOW, DECLARE, DRAIN, UNDRAIN,
// STOP, START and DROP.
//
// A file of statements is also the configuration format. Statements end with a
// semicolon, comments start with two hyphens, keywords are taken in any case, and
// a name that is a keyword stands in double quotes.
package statement

import (
	"fmt"
	"strings"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Verb says what a statement does.
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

// Position is a place in a text; both numbers start at 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Statement is one parsed statement. Exactly one of Show, Declare and Object is
// set, as the verb says.
type Statement struct {
	Position Position
	Verb     Verb
	// Show is set for SHOW.
	Show *Show
	// Declare is set for DECLARE.
	Declare *Declare
	// Object is what DRAIN, UNDRAIN, STOP, START and DROP work on.
	Object *Object
	// IfVersion is the version that the object must have; nil if any will do. Zero
	// stands for an object that does not exist.
	IfVersion *store.Revision
}

// Mutates reports whether the statement may change an object.
func (s Statement) Mutates() bool {
	return s.Verb != VerbShow
}

// Object names what a statement works on.
type Object struct {
	Kind ObjectKind
	Name string
}

// ObjectKind is a kind of thing that a statement names.
type ObjectKind string

// The kinds of things.
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
	// Document is the declared object. The state of a service is empty: a new
	// service is active, and an old one keeps its state.
	Document configuration.Document
	// Password is that of a declared caller; empty if its verifier was given.
	Password string
}

// TableName says which table a SHOW gives.
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
	// Of limits the rows to those of one thing; nil for all.
	Of *Object
	// By names the columns over which the rows are summed up.
	By []string
	// Since limits the rows to the time from so long ago until now; zero for all.
	Since time.Duration
	// Where lists conditions that all rows meet.
	Where []Condition
}

// Comparison compares a column with a value.
type Comparison string

// The comparisons.
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

// LiteralKind tells literals apart.
type LiteralKind uint8

// The kinds of literals.
const (
	TextLiteral LiteralKind = iota
	NumberLiteral
	DurationLiteral
)

// Error is one fault of a text.
type Error struct {
	Position
	Message string `json:"message"`
}

// Error gives line, column and message.
func (e Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Errors are all faults of a text.
type Errors []Error

// Error joins the faults, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns e as an error, or nil if there is no fault.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// FromDocument returns the statements that make a stored object.
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
