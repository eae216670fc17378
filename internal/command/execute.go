package command

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Retries of an update whose response from the store was lost. The backoff doubles
// from initialBackoff up to maxBackoff.
const (
	maxAttempts    = 10
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// ErrOutcomeUnknown means that the update may or may not have been applied. Sending
// the command again with the same id resolves it.
var ErrOutcomeUnknown = errors.New("outcome unknown; send the command again with the same id")

var (
	appliedCommands   = metrics.NewCounter(`laburnumrack_admin_commands_total{result="applied"}`)
	unchangedCommands = metrics.NewCounter(`laburnumrack_admin_commands_total{result="unchanged"}`)
	lostCommands      = metrics.NewCounter(`laburnumrack_admin_commands_total{result="lost_race"}`)
	unknownCommands   = metrics.NewCounter(`laburnumrack_admin_commands_total{result="unknown"}`)
	failedCommands    = metrics.NewCounter(`laburnumrack_admin_commands_total{result="failed"}`)
	settledUpdates    = metrics.NewCounter("laburnumrack_admin_settled_updates_total")
)

// Result is the outcome of a successful command.
type Result struct {
	Key store.Key
	// Version is the object's version after the command; zero if it does not exist.
	Version store.Revision
	// Changed is false if the object already matched the statement.
	Changed bool
	// Document is the object that this run of the command wrote; nil if it wrote none.
	Document configuration.Document
}

// Executor applies commands to the store. It is safe for concurrent use.
type Executor struct {
	store store.Store

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// NewExecutor returns an executor on a store. The seed determines the jitter of its
// retry backoff.
func NewExecutor(s store.Store, seed uint64) *Executor {
	return &Executor{store: s, random: rand.New(rand.NewPCG(seed, 0))}
}

// Perform applies a change. The error is a *LostRaceError or wraps ErrOutcomeUnknown;
// with any other error nothing was changed.
func (e *Executor) Perform(ctx context.Context, c Change) (Result, error) {
	result, err := e.perform(ctx, c)
	var lost *LostRaceError
	switch {
	case err == nil && result.Changed:
		appliedCommands.Inc()
		klog.Infof("admin: command %s wrote %s version %d", c.ID, result.Key, result.Version)
	case err == nil:
		unchangedCommands.Inc()
	case errors.As(err, &lost):
		lostCommands.Inc()
	case errors.Is(err, ErrOutcomeUnknown):
		unknownCommands.Inc()
		klog.Warningf("admin: command %s has an unknown outcome: %v", c.ID, err)
	default:
		failedCommands.Inc()
	}
	return result, err
}

func (e *Executor) perform(ctx context.Context, c Change) (Result, error) {
	if c.Op == NoOp {
		return Result{Key: c.Object.Key, Version: c.Object.Version, Changed: c.AlreadyApplied}, nil
	}
	u := &update{executor: e, change: c}
	for attempt := range maxAttempts {
		e.backoff(ctx, attempt)
		if u.tryOnce(ctx) {
			return u.result, u.err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Result{}, fmt.Errorf("command %s: %w: %w", c.ID, ErrOutcomeUnknown, u.lastErr)
}

// update is the state of applying one change. After a lost response it reads the
// object back before it sends the change again.
type update struct {
	executor *Executor
	change   Change
	// outcomeUnknown is set once a response was lost: the change may be applied.
	outcomeUnknown bool
	// lastErr is the last error returned by the store.
	lastErr error
	result  Result
	err     error
}

// tryOnce reads the object back if the outcome is unknown, and sends the change unless
// that settles the outcome. It reports whether the outcome is known.
func (u *update) tryOnce(ctx context.Context) bool {
	if u.outcomeUnknown {
		settled, err := u.readBack(ctx)
		if settled || err != nil {
			u.lastErr = err
			return settled
		}
	}
	return u.send(ctx)
}

// readBack reads the object and reports whether its version determines the outcome.
// It does not if the object still has the version that the change replaces.
func (u *update) readBack(ctx context.Context) (bool, error) {
	current, err := u.executor.store.Get(ctx, u.change.Object.Key)
	if errors.Is(err, store.ErrNotFound) {
		current, err = store.Object{Key: u.change.Object.Key}, nil
	}
	if err != nil {
		return false, err
	}
	if current.Version == u.change.Object.Version {
		return false, nil
	}
	settledUpdates.Inc()
	u.resolve(current)
	return true, nil
}

// send writes the change once and reports whether the outcome is known.
func (u *update) send(ctx context.Context) bool {
	written, err := u.write(ctx)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		u.recordApplied(written)
		return true
	case errors.As(err, &conflict):
		u.resolve(conflict.Current)
		return true
	case errors.Is(err, store.ErrNotFound):
		u.resolve(store.Object{Key: u.change.Object.Key})
		u.result.Changed = u.outcomeUnknown
		return true
	case errors.Is(err, store.ErrOutcomeUnknown):
		u.outcomeUnknown = true
		u.lastErr = err
		return false
	case u.outcomeUnknown:
		u.lastErr = err
		return false
	default:
		u.err = fmt.Errorf("command %s was not applied: %w", u.change.ID, err)
		return true
	}
}

func (u *update) write(ctx context.Context) (store.Object, error) {
	if u.change.Op == Delete {
		o := u.change.Object
		return store.Object{Key: o.Key}, u.executor.store.Delete(ctx, o.Key, o.Version)
	}
	return u.executor.store.Put(ctx, u.change.Object)
}

// resolve sets the outcome from current, a version other than the one that the change
// replaces: the change was applied, or it lost a race.
func (u *update) resolve(current store.Object) {
	deleted := current.Version == 0
	ownWrite := u.change.ID.coveredBy(commandIDOf(current.Value))
	if ownWrite || (deleted && u.change.Op == Delete) {
		u.recordApplied(current)
		return
	}
	u.err = &LostRaceError{Key: u.change.Object.Key, Winner: current, Replaced: u.outcomeUnknown}
}

// recordApplied sets the result of a change that was applied.
func (u *update) recordApplied(o store.Object) {
	u.result = Result{Key: u.change.Object.Key, Version: o.Version, Changed: true}
	if u.change.Op == Put {
		if d, err := configuration.Decode(store.Object{Key: o.Key, Value: u.change.Object.Value}); err == nil {
			u.result.Document = d
		}
	}
}

// backoff waits before every attempt but the first, or until ctx is done.
func (e *Executor) backoff(ctx context.Context, attempt int) {
	if attempt == 0 {
		return
	}
	longest := min(initialBackoff<<(attempt-1), maxBackoff)
	timer := time.NewTimer(e.jitter(longest))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random duration between d/2 and d.
func (e *Executor) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d/2 + time.Duration(e.random.Int64N(int64(d/2)+1))
}
