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
	// NoOp means that the object already matches the statement.
	NoOp Op = iota
	// Put creates or replaces the object.
	Put
	// Delete removes the object.
	Delete
)

// Command is one statement of a batch with its id.
type Command struct {
	ID        ID
	Statement statement.Statement
	// AsOf, if not nil, is the store revision that the sender has seen. The command
	// fails with a LostRaceError if another batch changed the object after it.
	AsOf *store.Revision
}

// Change is the update of the store that a command requires.
type Change struct {
	Op Op
	ID ID
	// AlreadyApplied is set if the command was applied by an earlier run. Op is NoOp
	// then.
	AlreadyApplied bool
	// Object is the object to put, or the key and version to delete. Its version is
	// the one to replace.
	Object store.Object
}

// LostRaceError reports that another command changed the object first.
type LostRaceError struct {
	Key store.Key
	// Winner is the current version of the object. Its Version is zero if the object
	// does not exist.
	Winner store.Object
	// Replaced is set if the command may have been applied before the winner replaced
	// its version.
	Replaced bool
}

// Error returns a message with the key and the winning version.
func (e *LostRaceError) Error() string {
	reason := fmt.Sprintf("another command wrote version %d", e.Winner.Version)
	if e.Winner.Version == 0 {
		reason = "the object does not exist"
	}
	if e.Replaced {
		return fmt.Sprintf("%s: %s; this command was not applied, or its version was replaced", e.Key, reason)
	}
	return fmt.Sprintf("%s: %s; this command was not applied", e.Key, reason)
}

// PasswordHasher derives and checks the verifiers of callers' passwords.
// Implementations passed to an Executor must be safe for concurrent use.
type PasswordHasher interface {
	// Verifier returns a verifier for the password of a caller.
	Verifier(caller, password string) (string, error)
	// Matches reports whether verifier was derived from password.
	Matches(verifier, password string) bool
}

// Plan returns the change that a command requires on a snapshot of the configuration.
// The snapshot may be older than the store; the update is conditional on the object's
// version. The error is a configuration.FieldErrors, a *LostRaceError or the error of
// the hasher.
func Plan(s *configuration.Snapshot, c Command, hasher PasswordHasher) (Change, error) {
	p := planner{snapshot: s, command: c, hasher: hasher}
	st := c.Statement
	switch st.Verb {
	case statement.VerbDeclare:
		return p.planDeclare(st.Declare)
	case statement.VerbDrop:
		return p.planDelete(dropKey(*st.Object))
	case statement.VerbDrain, statement.VerbUndrain:
		if st.Object.Kind != statement.ObjectService {
			return p.planDrain(st)
		}
	}
	return p.planStateChange(st.Object.Name, st.Verb)
}

// planner plans one command on one snapshot.
type planner struct {
	snapshot *configuration.Snapshot
	command  Command
	hasher   PasswordHasher
}

// dropKey returns the key of the object that a DROP statement names.
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

func (p planner) planDeclare(d *statement.Declare) (Change, error) {
	document, err := p.complete(d)
	if err != nil {
		return Change{}, err
	}
	return p.planPut(document, p.snapshot.Check(document))
}

// complete returns the declared document with the fields that the statement does not
// set: the state of a service, and the verifier of a caller declared by password. An
// existing verifier that matches the password is kept, so that repeating the statement
// changes nothing.
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
		if old := p.snapshot.Callers[doc.Name].Value.Verifier; old != "" && p.hasher.Matches(old, d.Password) {
			doc.Verifier = old
			return doc, nil
		}
		verifier, err := p.hasher.Verifier(doc.Name, d.Password)
		doc.Verifier = verifier
		return doc, err
	default:
		return doc, nil
	}
}

func (p planner) planDrain(st statement.Statement) (Change, error) {
	d := configuration.Drain{Kind: configuration.DrainTarget, Name: st.Object.Name}
	if st.Object.Kind == statement.ObjectVM {
		d.Kind = configuration.DrainVM
	}
	if st.Verb == statement.VerbDrain {
		return p.planPut(d, p.snapshot.Check(d))
	}
	return p.planDelete(d.Key())
}

func (p planner) planStateChange(name string, verb statement.Verb) (Change, error) {
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
	if want := allowedStates(old.Value.State, verb); want != "" {
		return Change{}, configuration.FieldErrors{{Object: key, Field: "state", Value: string(old.Value.State), Want: want}}
	}
	// References are not checked, so that a service can always be stopped.
	return p.planPut(next, next.Validate())
}

// allowedStates returns "" if the verb is allowed in the state, otherwise the states
// in which it is allowed, as the Want of a FieldError.
func allowedStates(state configuration.ServiceState, verb statement.Verb) string {
	if state != configuration.ServiceStopped {
		return ""
	}
	switch verb {
	case statement.VerbDrain:
		return "active, because a stopped service accepts no work"
	case statement.VerbUndrain:
		return "draining; START SERVICE starts a stopped service"
	default:
		return ""
	}
}

// planPut plans to store a document. It fails with errs if there are any, unless the
// command was applied before.
func (p planner) planPut(d configuration.Document, errs configuration.FieldErrors) (Change, error) {
	key := d.Key()
	applied, err := p.checkPrecondition(key)
	if err != nil {
		return Change{}, err
	}
	old, ok := p.snapshot.Document(key)
	unchanged := ok && equalContent(old, d) && !p.isRejected(key)
	if applied && p.writtenByCommand(key) && !unchanged {
		return Change{}, p.batchNameReused(key)
	}
	if applied || (unchanged && len(errs) == 0) {
		return p.noOp(key, applied), nil
	}
	if len(errs) > 0 {
		return Change{}, errs
	}
	value, err := configuration.Encode(d.WithCommand(p.command.ID.String()))
	if err != nil {
		return Change{}, err
	}
	return Change{Op: Put, ID: p.command.ID, Object: store.Object{Key: key, Version: p.snapshot.Version(key), Value: value}}, nil
}

// planDelete plans to delete an object. It fails if other objects refer to it.
func (p planner) planDelete(key store.Key) (Change, error) {
	applied, err := p.checkPrecondition(key)
	if err != nil {
		return Change{}, err
	}
	if p.writtenByCommand(key) {
		return Change{}, p.batchNameReused(key)
	}
	version := p.snapshot.Version(key)
	if applied || version == 0 {
		return p.noOp(key, applied), nil
	}
	if errs := p.snapshot.CheckDrop(key); len(errs) > 0 {
		return Change{}, errs
	}
	return Change{Op: Delete, ID: p.command.ID, Object: store.Object{Key: key, Version: version}}, nil
}

// writtenByCommand reports whether the stored object carries the id of this command.
func (p planner) writtenByCommand(key store.Key) bool {
	return commandIDOf(p.snapshot.Stored(key).Value) == p.command.ID.String()
}

// batchNameReused returns the error for a batch name that was used before for other
// statements.
func (p planner) batchNameReused(key store.Key) configuration.FieldErrors {
	return configuration.FieldErrors{{Object: key, Field: "command_id", Value: p.command.ID.String(), Want: "the name of a batch that was not used for another command"}}
}

// noOp returns a change that leaves the object as it is.
func (p planner) noOp(key store.Key, applied bool) Change {
	return Change{Op: NoOp, ID: p.command.ID, AlreadyApplied: applied, Object: store.Object{Key: key, Version: p.snapshot.Version(key)}}
}

// isRejected reports whether the newest version of the object is not valid.
func (p planner) isRejected(key store.Key) bool {
	_, ok := p.snapshot.Rejected[key]
	return ok
}

// checkPrecondition reports whether the command was applied before. It fails with a
// *LostRaceError if the object does not have the version given by IF VERSION, or if
// another batch changed it after AsOf.
func (p planner) checkPrecondition(key store.Key) (bool, error) {
	current := p.snapshot.Stored(key)
	writtenBy := commandIDOf(current.Value)
	if p.command.ID.coveredBy(writtenBy) {
		return true, nil
	}
	lost := &LostRaceError{Key: key, Winner: current}
	if want := p.command.Statement.IfVersion; want != nil && *want != current.Version {
		return false, lost
	}
	asOf := p.command.AsOf
	if asOf != nil && current.Version > *asOf && !p.command.ID.sameBatch(writtenBy) {
		lost.Replaced = true
		return false, lost
	}
	return false, nil
}

// equalContent reports whether two documents are equal apart from the command id.
func equalContent(a, b configuration.Document) bool {
	x, errX := configuration.Encode(a.WithCommand(""))
	y, errY := configuration.Encode(b.WithCommand(""))
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
