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

// Settlement of an update whose answer was lost.
const (
	settleAttempts = 10
	firstPause     = 50 * time.Millisecond
	lastPause      = time.Second
)

// ErrOutcomeUnknown says that the update may have been made. Sending the command
// again with the same id settles it.
var ErrOutcomeUnknown = errors.New("the outcome is not known; send the command again with the same id")

var (
	appliedCommands   = metrics.NewCounter(`laburnumrack_admin_commands_total{result="applied"}`)
	unchangedCommands = metrics.NewCounter(`laburnumrack_admin_commands_total{result="unchanged"}`)
	lostCommands      = metrics.NewCounter(`laburnumrack_admin_commands_total{result="lost_race"}`)
	unknownCommands   = metrics.NewCounter(`laburnumrack_admin_commands_total{result="unknown"}`)
	failedCommands    = metrics.NewCounter(`laburnumrack_admin_commands_total{result="failed"}`)
	settledUpdates    = metrics.NewCounter("laburnumrack_admin_settled_updates_total")
)

// Result is what became of a command that did not fail.
type Result struct {
	Key store.Key
	// Version is the object's version after the command; zero if it is not there.
	Version store.Revision
	// Changed is false if the object was already as the statement says.
	Changed bool
	// Document is the object after the command; nil if it is not there.
	Document configuration.Document
}

// Executor makes the changes of commands in the store. Its methods may be called
// from any goroutine.
type Executor struct {
	store store.Store

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// NewExecutor returns an executor. The seed sets the jitter of its pauses.
func NewExecutor(s store.Store, seed uint64) *Executor {
	return &Executor{store: s, random: rand.New(rand.NewPCG(seed, 0))}
}

// Perform makes a change. The error is a *LostRaceError, or wraps
// ErrOutcomeUnknown, or says that nothing was changed.
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
		klog.Warningf("admin: command %s has no known outcome: %v", c.ID, err)
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
	for attempt := range settleAttempts {
		e.pause(ctx, attempt)
		if u.step(ctx) {
			return u.result, u.err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Result{}, fmt.Errorf("command %s: %w: %w", c.ID, ErrOutcomeUnknown, u.cause)
}

// update is one change on its way. It sends and, once an answer was lost, reads
// back before it sends again.
type update struct {
	executor *Executor
	change   Change
	// unclear says that an answer was lost, so that the change may be made.
	unclear bool
	// cause is the last error of the store.
	cause  error
	result Result
	err    error
}

// step makes one call to the store, or two, and reports whether the change is
// settled.
func (u *update) step(ctx context.Context) bool {
	if u.unclear {
		settled, err := u.readBack(ctx)
		if settled || err != nil {
			u.cause = err
			return settled
		}
	}
	return u.send(ctx)
}

// readBack reports whether the object shows how the change ended.
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
	u.conclude(current)
	return true, nil
}

func (u *update) send(ctx context.Context) bool {
	written, err := u.write(ctx)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		u.applied(written)
		return true
	case errors.As(err, &conflict):
		u.conclude(conflict.Current)
		return true
	case errors.Is(err, store.ErrNotFound):
		u.conclude(store.Object{Key: u.change.Object.Key})
		u.result.Changed = u.unclear
		return true
	case errors.Is(err, store.ErrUnclear):
		u.unclear = true
		u.cause = err
		return false
	case u.unclear:
		u.cause = err
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

// conclude ends the change by a version other than the one it replaces.
func (u *update) conclude(current store.Object) {
	gone := current.Version == 0
	mine := u.change.ID.wrote(writer(current.Value))
	if mine || (gone && u.change.Op == Delete) {
		u.applied(current)
		return
	}
	u.err = &LostRaceError{Key: u.change.Object.Key, Winner: current, Replaced: u.unclear}
}

func (u *update) applied(o store.Object) {
	u.result = Result{Key: u.change.Object.Key, Version: o.Version, Changed: true}
	if u.change.Op == Put {
		if d, err := configuration.Decode(store.Object{Key: o.Key, Value: u.change.Object.Value}); err == nil {
			u.result.Document = d
		}
	}
}

// pause waits before an attempt after the first.
func (e *Executor) pause(ctx context.Context, attempt int) {
	if attempt == 0 {
		return
	}
	longest := min(firstPause<<(attempt-1), lastPause)
	timer := time.NewTimer(e.jitter(longest))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a pause from half of d to d.
func (e *Executor) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d/2 + time.Duration(e.random.Int64N(int64(d/2)+1))
}
