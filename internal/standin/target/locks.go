package target

import (
	"context"
	"sync"
)

// lockKey identifies a row.
type lockKey struct {
	table string
	key   string
}

// heldLock is a row lock held by a transaction; released is closed on release.
type heldLock struct {
	owner    *transaction
	released chan struct{}
}

// lockTable holds the row locks of an instance. A transaction holds its locks until it
// ends. All methods are safe for concurrent use.
type lockTable struct {
	mu   sync.Mutex
	held map[lockKey]*heldLock
}

func newLockTable() *lockTable {
	return &lockTable{held: map[lockKey]*heldLock{}}
}

// tryAcquire acquires the lock of key for tx and returns nil, also if tx already holds it.
// If another transaction holds the lock, it returns that lock, or a deadlock error if
// waiting for the holder would form a cycle.
func (l *lockTable) tryAcquire(tx *transaction, key lockKey) (*heldLock, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tx.waitsFor = nil
	lock := l.held[key]
	if lock == nil {
		l.held[key] = &heldLock{owner: tx, released: make(chan struct{})}
		tx.lockedKeys = append(tx.lockedKeys, key)
		return nil, nil
	}
	if lock.owner == tx {
		return nil, nil
	}
	for other := lock.owner; other != nil; other = other.waitsFor {
		if other == tx {
			return nil, sqlErrorf(codeDeadlock, "deadlock detected")
		}
	}
	tx.waitsFor = lock.owner
	return lock, nil
}

// acquire blocks until tx holds the lock of key. It calls onWait before its first wait.
func (l *lockTable) acquire(ctx context.Context, tx *transaction, key lockKey, onWait func()) error {
	waited := false
	for {
		lock, err := l.tryAcquire(tx, key)
		if err != nil || lock == nil {
			return err
		}
		if !waited {
			onWait()
			waited = true
		}
		select {
		case <-lock.released:
		case <-ctx.Done():
			l.stopWaiting(tx)
			return ctx.Err()
		}
	}
}

func (l *lockTable) stopWaiting(tx *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tx.waitsFor = nil
}

// release releases all locks of tx.
func (l *lockTable) release(tx *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range tx.lockedKeys {
		close(l.held[key].released)
		delete(l.held, key)
	}
	tx.lockedKeys = nil
}
