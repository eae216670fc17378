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

// Batch is a sequence of statements that change the configuration. The statements
// are executed in order, each as one command.
type Batch struct {
	// Name identifies the batch. It must be unique, and stay the same on a retry.
	Name string
	// AsOf is the store revision that the sender has seen, or nil; see Command.AsOf.
	AsOf       *store.Revision
	Statements []statement.Statement
}

// command returns the i-th command of the batch.
func (b Batch) command(i int) Command {
	return Command{ID: ID{b.Name, i + 1}, Statement: b.Statements[i], AsOf: b.AsOf}
}

// StatementError is the error of one statement of a batch.
type StatementError struct {
	// Number is the 1-based index of the statement in the batch.
	Number   int
	Position statement.Position
	Err      error
}

// Error returns the error with the index and line of the statement.
func (e *StatementError) Error() string {
	return fmt.Sprintf("statement %d (line %d): %v", e.Number, e.Position.Line, e.Err)
}

// Unwrap returns the underlying error of the statement.
func (e *StatementError) Unwrap() error { return e.Err }

// BatchError lists the statements of a batch that cannot be executed. The run that
// returned it changed nothing.
type BatchError []*StatementError

// Error returns the errors of the statements, one per line.
func (e BatchError) Error() string {
	lines := make([]string, len(e))
	for i, s := range e {
		lines[i] = s.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of the statements for errors.Is and errors.As.
func (e BatchError) Unwrap() []error {
	errs := make([]error, len(e))
	for i, s := range e {
		errs[i] = s
	}
	return errs
}

// Check plans a batch against a snapshot without changing anything. Each statement
// is planned on the result of the ones before it. The error is a BatchError with an
// entry for each statement that fails.
func Check(s *configuration.Snapshot, b Batch, hasher PasswordHasher) error {
	var errs BatchError
	for i, st := range b.Statements {
		change, err := Plan(s, b.command(i), hasher)
		if err != nil {
			errs = append(errs, &StatementError{i + 1, st.Position, err})
			change = declaredChange(s, b.command(i))
		}
		s = applyChange(s, change, s.Revision+1)
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}

// declaredChange returns the change that an invalid DECLARE statement would make, if
// its document can be encoded. Later statements that refer to the object are then not
// reported as errors too.
func declaredChange(s *configuration.Snapshot, c Command) Change {
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

// applyChange returns the snapshot after c was written as version.
func applyChange(s *configuration.Snapshot, c Change, version store.Revision) *configuration.Snapshot {
	if c.Op == NoOp {
		return s
	}
	o := store.Object{Key: c.Object.Key, Version: version, Value: c.Object.Value, Deleted: c.Op == Delete}
	next, _, err := s.Apply(s.Revision, store.Page{Revision: max(version, s.Revision), Objects: []store.Object{o}})
	if err != nil {
		panic(fmt.Sprintf("apply a change on top of its own snapshot: %v", err))
	}
	return next
}

// Run executes a batch. It reads the configuration from the store, checks all
// statements, and then applies them in order until one fails. It returns the results
// of the statements that were applied. The error is a BatchError if the check failed
// and nothing was changed, a *StatementError if a statement failed, or otherwise
// reports an invalid batch name or a failed read of the store.
func (e *Executor) Run(ctx context.Context, b Batch, hasher PasswordHasher) ([]Result, error) {
	if !ValidBatch(b.Name) {
		return nil, fmt.Errorf("invalid batch name %q: want 1 to %d printable ASCII characters except '#' and space", b.Name, MaxBatchBytes)
	}
	page, err := e.store.List(ctx, configuration.Kinds()...)
	if err != nil {
		return nil, fmt.Errorf("read configuration from the store: %w", err)
	}
	s, _ := configuration.Empty().Replace(page)
	cache := newHashCache(hasher)
	if err := Check(s, b, cache); err != nil {
		return nil, err
	}
	var results []Result
	for i, st := range b.Statements {
		result, next, err := e.runOne(ctx, s, b.command(i), cache)
		if err != nil {
			return results, &StatementError{i + 1, st.Position, err}
		}
		results = append(results, result)
		s = next
	}
	return results, nil
}

// runOne plans and applies one command. It returns the result and the snapshot after
// the command.
func (e *Executor) runOne(ctx context.Context, s *configuration.Snapshot, c Command, hasher PasswordHasher) (Result, *configuration.Snapshot, error) {
	change, err := Plan(s, c, hasher)
	if err != nil {
		return Result{}, s, err
	}
	result, err := e.Perform(ctx, change)
	if err != nil {
		return result, s, err
	}
	return result, applyChange(s, change, max(result.Version, s.Revision+1)), nil
}

// Revision returns the current revision of the store, for use as Batch.AsOf.
func (e *Executor) Revision(ctx context.Context) (store.Revision, error) {
	page, err := e.store.List(ctx, store.KindOperator)
	return page.Revision, err
}

// hashCache is a PasswordHasher that caches the verifiers of one batch. Deriving a
// verifier is slow, and Run needs each one twice: in Check and in Plan. It is not safe
// for concurrent use.
type hashCache struct {
	PasswordHasher
	verifiers map[hashCacheKey]string
}

type hashCacheKey struct {
	caller, password string
}

func newHashCache(hasher PasswordHasher) *hashCache {
	return &hashCache{PasswordHasher: hasher, verifiers: map[hashCacheKey]string{}}
}

// Verifier returns the cached verifier for the caller and password, or a new one.
func (c *hashCache) Verifier(caller, password string) (string, error) {
	key := hashCacheKey{caller, password}
	if v, ok := c.verifiers[key]; ok {
		return v, nil
	}
	v, err := c.PasswordHasher.Verifier(caller, password)
	if err == nil {
		c.verifiers[key] = v
	}
	return v, err
}

// WinningStatements returns the statements that declare the winning version, or nil
// if the object was deleted or cannot be decoded.
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

// NotApplied reports whether err guarantees that the command changed nothing.
func NotApplied(err error) bool {
	var lost *LostRaceError
	if errors.As(err, &lost) {
		return !lost.Replaced
	}
	return !errors.Is(err, ErrOutcomeUnknown)
}

// Export returns the statements that recreate the configuration of a snapshot. They
// are ordered so that an object is declared before the objects that refer to it.
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
