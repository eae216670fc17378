package backend

import (
	"slices"
	"sync"
	"time"
)

// transactionRoom limits how many transactions hold connections of a pool. A transaction
// holds its connection through the pauses of its caller, so without a limit the
// transactions of a busy home take all connections, and single statements, of which a
// connection serves many in the time of a transaction, find none. While transactions wait,
// those of the tenant with the fewest go first. It is safe for concurrent use.
type transactionRoom struct {
	mu       sync.Mutex
	limit    int            // guarded by mu
	held     int            // guarded by mu
	byTenant map[string]int // guarded by mu; parts of held, without tenants that have none
	waiters  []*roomWaiter  // guarded by mu; in the order of arrival
}

// roomWaiter is a transaction that waits until it may hold a connection.
type roomWaiter struct {
	tenant  string
	granted chan struct{} // closed when it may
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

// reserve waits until another transaction of a tenant may hold a connection, at most until
// the given time, and reports whether one may.
func (r *transactionRoom) reserve(tenant string, until time.Time) bool {
	r.mu.Lock()
	if r.held < r.limit {
		r.count(tenant, 1)
		r.mu.Unlock()
		return true
	}
	wait := time.Until(until)
	if wait <= 0 {
		r.mu.Unlock()
		return false
	}
	w := &roomWaiter{tenant: tenant, granted: make(chan struct{})}
	r.waiters = append(r.waiters, w)
	r.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.Index(r.waiters, w)
	if at < 0 {
		return true
	}
	r.waiters = slices.Delete(r.waiters, at, at+1)
	return false
}

// release gives the room of one transaction of a tenant back.
func (r *transactionRoom) release(tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(tenant, -1)
	r.grant()
}

// count adds to the numbers of transactions that hold connections. r.mu must be held.
func (r *transactionRoom) count(tenant string, n int) {
	if r.byTenant == nil {
		r.byTenant = make(map[string]int)
	}
	r.held += n
	r.byTenant[tenant] += n
	if r.byTenant[tenant] == 0 {
		delete(r.byTenant, tenant)
	}
}

// grant admits waiting transactions up to the limit. r.mu must be held.
func (r *transactionRoom) grant() {
	for len(r.waiters) > 0 && r.held < r.limit {
		next := 0
		for i, w := range r.waiters {
			if r.byTenant[w.tenant] < r.byTenant[r.waiters[next].tenant] {
				next = i
			}
		}
		r.count(r.waiters[next].tenant, 1)
		close(r.waiters[next].granted)
		r.waiters = slices.Delete(r.waiters, next, next+1)
	}
}
