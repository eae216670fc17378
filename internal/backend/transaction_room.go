package backend

import (
	"slices"
	"sync"
	"time"
)

// transactionRoom limits how many transactions hold connections of a pool. A transaction
// holds its connection through the pauses of its caller, so without a limit the
// transactions of a busy home take all connections, and single statements, of which a
// connection serves many in the time of a transaction, find none. It is safe for
// concurrent use.
type transactionRoom struct {
	mu      sync.Mutex
	limit   int             // guarded by mu
	held    int             // guarded by mu
	waiters []chan struct{} // guarded by mu; in the order of arrival
}

// transactionLimit returns how many transactions may hold a connection, given the number
// of connections that are open and the number that may be opened: all but one of those
// that may be opened or, while the target has no room for more, of those that are open.
func transactionLimit(open, limit int, full bool) int {
	if full {
		limit = open
	}
	return max(limit-1, 1)
}

// setLimit changes the limit. Transactions that hold connections keep them.
func (r *transactionRoom) setLimit(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
	r.grant()
}

// reserve waits until another transaction may hold a connection, at most until the given
// time, and reports whether one may.
func (r *transactionRoom) reserve(until time.Time) bool {
	r.mu.Lock()
	if r.held < r.limit {
		r.held++
		r.mu.Unlock()
		return true
	}
	wait := time.Until(until)
	if wait <= 0 {
		r.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	r.waiters = append(r.waiters, granted)
	r.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.Index(r.waiters, granted)
	if at < 0 {
		return true
	}
	r.waiters = slices.Delete(r.waiters, at, at+1)
	return false
}

// release gives the room of one transaction back.
func (r *transactionRoom) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
	r.grant()
}

// grant admits waiting transactions up to the limit. r.mu must be held.
func (r *transactionRoom) grant() {
	for len(r.waiters) > 0 && r.held < r.limit {
		r.held++
		close(r.waiters[0])
		r.waiters = slices.Delete(r.waiters, 0, 1)
	}
}
