package command

import (
	"bytes"
	"fmt"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Op is what a command does to its object.
type Op uint8

// The operations.
const (
	// NoOp leaves the object as it is, because it is already as the statement
	// says.
	NoOp Op = iota
	Put
	Delete
)

// Command is a statement with its id.
type Command struct {
	ID        ID
	Statement statement.Statement
	// AsOf, if not nil, is the revision that the sender saw: an object that
	// another command changed later is left as it is.
	AsOf *store.Revision
}

// Change is the update that a command makes.
type Change struct {
	Op Op
	ID ID
	// AlreadyApplied says that the command was applied before; Op is Nothing then.
	AlreadyApplied bool
	// Object is what to put, or the key and version to delete. Its version is the
	// one to replace.
	Object store.Object
}

// LostRaceError says that another command changed the object first.
type LostRaceError struct {
	Key store.Key
	// Winner is the version that won; its Version is zero if the object was
	// removed.
	Winner store.Object
	// Replaced says that the command may have been applied before the winner
	// replaced it.
	Replaced bool
}

// Error names the winning version.
func (e *LostRaceError) Error() string {
	won := fmt.Sprintf("another command wrote version %d", e.Winner.Version)
	if e.Winner.Version == 0 {
		won = "no such object is there"
	}
	if e.Replaced {
		return fmt.Sprintf("%s: %s; this command was not applied, or replaced", e.Key, won)
	}
	return fmt.Sprintf("%s: %s; this command was not applied", e.Key, won)
}

// PasswordHasher makes the verifier of a caller's password. It may be called from any
// goroutine.
type PasswordHasher interface {
	// Verifier returns a verifier of a caller's password.
	Verifier(caller, password string) (string, error)
	// Matches reports whether verifier is one of password.
	Matches(verifier, password string) bool
}

// Plan decides on the change of a command, from the state that the store had a
// moment ago. The error is a configuration.Faults or a *LostRaceError.
func Plan(s *configuration.Snapshot, c Command, secrets PasswordHasher) (Change, error) {
	p := planner{snapshot: s, command: c, secrets: secrets}
	st := c.Statement
	switch st.Verb {
	case statement.VerbDeclare:
		return p.declare(st.Declare)
	case statement.VerbDrop:
		return p.drop(dropKey(*st.Object))
	case statement.VerbDrain, statement.VerbUndrain:
		if st.Object.Kind != statement.ObjectService {
			return p.drain(st)
		}
	}
	return p.setState(st.Object.Name, st.Verb)
}

type planner struct {
	snapshot *configuration.Snapshot
	command  Command
	secrets  PasswordHasher
}

func dropKey(o statement.Object) store.Key {
	switch o.Kind {
	case statement.ObjectService:
		return configuration.Service{Name: o.Name}.Key()
	case statement.ObjectCaller:
		return configuration.Caller{Name: o.Name}.Key()
	case statement.ObjectPolicy:
		return configuration.ReadPolicy{Name: o.Name}.Key()
	case statement.ObjectOperator:
		return configuration.Operator{Name: o.Name}.Key()
	default:
		return configuration.Region{Name: o.Name}.Key()
	}
}

func (p planner) declare(d *statement.Declare) (Change, error) {
	document, err := p.complete(d)
	if err != nil {
		return Change{}, err
	}
	return p.put(document, p.snapshot.Check(document))
}

// complete fills in what the statement leaves to the present object.
func (p planner) complete(d *statement.Declare) (configuration.Document, error) {
	switch doc := d.Document.(type) {
	case configuration.Service:
		doc.State = configuration.ServiceActive
		if old, ok := p.snapshot.Services[doc.Name]; ok {
			doc.State = old.Value.State
		}
		return doc, nil
	case configuration.Caller:
		if d.Password == "" {
			return doc, nil
		}
		if old := p.snapshot.Callers[doc.Name].Value.Verifier; old != "" && p.secrets.Matches(old, d.Password) {
			doc.Verifier = old
			return doc, nil
		}
		verifier, err := p.secrets.Verifier(doc.Name, d.Password)
		doc.Verifier = verifier
		return doc, err
	default:
		return doc, nil
	}
}

func (p planner) drain(st statement.Statement) (Change, error) {
	d := configuration.Drain{Kind: configuration.DrainTarget, Name: st.Object.Name}
	if st.Object.Kind == statement.ObjectVM {
		d.Kind = configuration.DrainVM
	}
	if st.Verb == statement.VerbDrain {
		return p.put(d, p.snapshot.Check(d))
	}
	return p.drop(d.Key())
}

func (p planner) setState(name string, verb statement.Verb) (Change, error) {
	key := configuration.Service{Name: name}.Key()
	old, ok := p.snapshot.Services[name]
	if !ok {
		return Change{}, configuration.FieldErrors{{Object: key, Field: "name", Value: name, Want: "a declared service"}}
	}
	next := old.Value
	switch verb {
	case statement.VerbDrain:
		next.State = configuration.ServiceDraining
	case statement.VerbStop:
		next.State = configuration.ServiceStopped
	default:
		next.State = configuration.ServiceActive
	}
	if refused := refuseState(old.Value.State, verb); refused != "" {
		return Change{}, configuration.FieldErrors{{Object: key, Field: "state", Value: string(old.Value.State), Want: refused}}
	}
	// References are not looked at: a service can always be stopped.
	return p.put(next, next.Validate())
}

// refuseState returns what would be accepted if the verb does not fit the state.
func refuseState(state configuration.ServiceState, verb statement.Verb) string {
	if state != configuration.ServiceStopped {
		return ""
	}
	switch verb {
	case statement.VerbDrain:
		return "active, because a stopped service takes no work"
	case statement.VerbUndrain:
		return "draining; START SERVICE starts a stopped one"
	default:
		return ""
	}
}

// put plans to store a document, unless it has faults.
func (p planner) put(d configuration.Document, faults configuration.FieldErrors) (Change, error) {
	key := d.Key()
	done, err := p.precondition(key)
	if err != nil {
		return Change{}, err
	}
	old, ok := p.snapshot.Document(key)
	as := ok && same(old, d) && !p.rejected(key)
	if done && p.writtenByThis(key) && !as {
		return Change{}, p.reused(key)
	}
	if done || (as && len(faults) == 0) {
		return p.nothing(key, done), nil
	}
	if len(faults) > 0 {
		return Change{}, faults
	}
	value, err := configuration.Encode(d.WithCommand(p.command.ID.String()))
	if err != nil {
		return Change{}, err
	}
	return Change{Op: Put, ID: p.command.ID, Object: store.Object{Key: key, Version: p.snapshot.Version(key), Value: value}}, nil
}

func (p planner) drop(key store.Key) (Change, error) {
	done, err := p.precondition(key)
	if err != nil {
		return Change{}, err
	}
	if p.writtenByThis(key) {
		return Change{}, p.reused(key)
	}
	version := p.snapshot.Version(key)
	if done || version == 0 {
		return p.nothing(key, done), nil
	}
	if faults := p.snapshot.CheckDrop(key); len(faults) > 0 {
		return Change{}, faults
	}
	return Change{Op: Delete, ID: p.command.ID, Object: store.Object{Key: key, Version: version}}, nil
}

// writtenByThis reports whether the object carries exactly this command's id.
func (p planner) writtenByThis(key store.Key) bool {
	return writer(p.snapshot.Stored(key).Value) == p.command.ID.String()
}

// reused is the fault of a batch name that stood for something else before.
func (p planner) reused(key store.Key) configuration.FieldErrors {
	return configuration.FieldErrors{{Object: key, Field: "command_id", Value: p.command.ID.String(), Want: "the name of a batch that was not used for another command"}}
}

func (p planner) nothing(key store.Key, done bool) Change {
	return Change{Op: NoOp, ID: p.command.ID, AlreadyApplied: done, Object: store.Object{Key: key, Version: p.snapshot.Version(key)}}
}

func (p planner) rejected(key store.Key) bool {
	_, ok := p.snapshot.Rejected[key]
	return ok
}

// precondition reports whether the command was applied before, and fails with a
// *LostRaceError if another command came first.
func (p planner) precondition(key store.Key) (bool, error) {
	current := p.snapshot.Stored(key)
	by := writer(current.Value)
	if p.command.ID.wrote(by) {
		return true, nil
	}
	lost := &LostRaceError{Key: key, Winner: current}
	if want := p.command.Statement.IfVersion; want != nil && *want != current.Version {
		return false, lost
	}
	asOf := p.command.AsOf
	if asOf != nil && current.Version > *asOf && !p.command.ID.sameBatch(by) {
		lost.Replaced = true
		return false, lost
	}
	return false, nil
}

// same reports whether two documents hold the same, but for the command id.
func same(a, b configuration.Document) bool {
	x, errX := configuration.Encode(a.WithCommand(""))
	y, errY := configuration.Encode(b.WithCommand(""))
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
