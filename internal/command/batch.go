package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Batch is a run of statements that change something. They are carried out in
// order, each as one command.
type Batch struct {
	// Name is unique for the batch; a batch that is sent again keeps it.
	Name string
	// AsOf is the revision that the sender saw, or nil; see Command.
	AsOf       *store.Revision
	Statements []statement.Statement
}

// command returns the i-th command of the batch.
func (b Batch) command(i int) Command {
	return Command{ID: ID{b.Name, i + 1}, Statement: b.Statements[i], AsOf: b.AsOf}
}

// StatementError is the error of one statement of a batch.
type StatementError struct {
	// Number is the place of the statement in the batch, from 1.
	Number   int
	Position statement.Position
	Err      error
}

// Error names the statement by its line.
func (e *StatementError) Error() string {
	return fmt.Sprintf("statement %d (line %d): %v", e.Number, e.Position.Line, e.Err)
}

// Unwrap returns the error of the statement.
func (e *StatementError) Unwrap() error { return e.Err }

// BatchError says which statements of a batch cannot be carried out. This run of
// the batch changed nothing.
type BatchError []*StatementError

// Error joins the errors, one a line.
func (e BatchError) Error() string {
	lines := make([]string, len(e))
	for i, s := range e {
		lines[i] = s.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of the statements.
func (e BatchError) Unwrap() []error {
	errs := make([]error, len(e))
	for i, s := range e {
		errs[i] = s
	}
	return errs
}

// Check plans a batch on a snapshot without changing anything, each statement on
// what those before it leave. The error is a BatchError that names every fault.
func Check(s *configuration.Snapshot, b Batch, secrets PasswordHasher) error {
	var faults BatchError
	for i, st := range b.Statements {
		change, err := Plan(s, b.command(i), secrets)
		if err != nil {
			faults = append(faults, &StatementError{i + 1, st.Position, err})
			change = wished(s, b.command(i))
		}
		s = after(s, change, s.Revision+1)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// wished is the change of a faulty declaration, as far as it can be made, so that
// later statements are not blamed for what it lacks.
func wished(s *configuration.Snapshot, c Command) Change {
	if c.Statement.Verb != statement.VerbDeclare {
		return Change{}
	}
	document := c.Statement.Declare.Document
	if svc, ok := document.(configuration.Service); ok {
		svc.State = configuration.ServiceActive
		document = svc
	}
	value, err := configuration.Encode(document)
	if err != nil {
		return Change{}
	}
	return Change{Op: Put, ID: c.ID, Object: store.Object{Key: document.Key(), Version: s.Version(document.Key()), Value: value}}
}

// after returns the snapshot with a change made as version.
func after(s *configuration.Snapshot, c Change, version store.Revision) *configuration.Snapshot {
	if c.Op == NoOp {
		return s
	}
	o := store.Object{Key: c.Object.Key, Version: version, Value: c.Object.Value, Deleted: c.Op == Delete}
	next, _, err := s.Apply(s.Revision, store.Page{Revision: max(version, s.Revision), Objects: []store.Object{o}})
	if err != nil {
		panic(fmt.Sprintf("a change at the snapshot's own revision has a gap: %v", err))
	}
	return next
}

// Run carries out a batch. It reads the configuration from the store, checks every
// statement, and then makes the changes in order up to the first that fails. The
// results are those of the statements that were carried out. The error is a
// BatchError if nothing was changed for faults, otherwise a *StatementError or the
// error of reading the store.
func (e *Executor) Run(ctx context.Context, b Batch, secrets PasswordHasher) ([]Result, error) {
	if !ValidBatch(b.Name) {
		return nil, fmt.Errorf("batch name %q: want 1 to %d printable characters without '#' and blanks", b.Name, MaxBatchBytes)
	}
	page, err := e.store.List(ctx, configuration.Kinds()...)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	s, _ := configuration.Empty().Replace(page)
	known := newKnownSecrets(secrets)
	if err := Check(s, b, known); err != nil {
		return nil, err
	}
	var results []Result
	for i, st := range b.Statements {
		result, next, err := e.runOne(ctx, s, b.command(i), known)
		if err != nil {
			return results, &StatementError{i + 1, st.Position, err}
		}
		results = append(results, result)
		s = next
	}
	return results, nil
}

func (e *Executor) runOne(ctx context.Context, s *configuration.Snapshot, c Command, secrets PasswordHasher) (Result, *configuration.Snapshot, error) {
	change, err := Plan(s, c, secrets)
	if err != nil {
		return Result{}, s, err
	}
	result, err := e.Perform(ctx, change)
	if err != nil {
		return result, s, err
	}
	return result, after(s, change, max(result.Version, s.Revision+1)), nil
}

// Revision returns the store's revision now, for Batch.AsOf.
func (e *Executor) Revision(ctx context.Context) (store.Revision, error) {
	page, err := e.store.List(ctx, store.KindOperator)
	return page.Revision, err
}

// knownSecrets keeps the verifiers made for one batch, because making one is
// slow and Check has made them already. It is used by one goroutine.
type knownSecrets struct {
	PasswordHasher
	made map[knownSecret]string
}

type knownSecret struct {
	caller, password string
}

func newKnownSecrets(s PasswordHasher) *knownSecrets {
	return &knownSecrets{PasswordHasher: s, made: map[knownSecret]string{}}
}

// Verifier returns the verifier made before for the caller, or a new one.
func (k *knownSecrets) Verifier(caller, password string) (string, error) {
	id := knownSecret{caller, password}
	if v, ok := k.made[id]; ok {
		return v, nil
	}
	v, err := k.PasswordHasher.Verifier(caller, password)
	if err == nil {
		k.made[id] = v
	}
	return v, err
}

// WinningStatements returns the statements that make the version that won a race, or nil if
// the object was removed or does not decode.
func (e *LostRaceError) WinningStatements() []statement.Statement {
	if e.Winner.Version == 0 {
		return nil
	}
	d, err := configuration.Decode(e.Winner)
	if err != nil {
		return nil
	}
	return statement.FromDocument(d)
}

// NotApplied reports whether err says that the command changed nothing for sure.
func NotApplied(err error) bool {
	var lost *LostRaceError
	if errors.As(err, &lost) {
		return !lost.Replaced
	}
	return !errors.Is(err, ErrOutcomeUnknown)
}

// Export returns the statements that declare everything in a snapshot, in the
// order in which they can be carried out.
func Export(s *configuration.Snapshot) []statement.Statement {
	order := []store.Kind{store.KindRegion, store.KindReadPolicy, store.KindService, store.KindCaller, store.KindOperator, store.KindDrain}
	var all []statement.Statement
	for _, d := range s.Documents() {
		all = append(all, statement.FromDocument(d)...)
	}
	rank := func(st statement.Statement) int {
		if st.Verb != statement.VerbDeclare {
			return len(order)
		}
		return slices.Index(order, st.Declare.Document.Key().Kind)
	}
	slices.SortStableFunc(all, func(a, b statement.Statement) int { return rank(a) - rank(b) })
	return all
}
