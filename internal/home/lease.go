package home

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	"k8s.io/klog/v2"
)

// rollbackTimeout bounds the end of an abandoned transaction.
const rollbackTimeout = time.Second

// lease is a connection with a slot, held by one unit.
type lease struct {
	place
	conn    *pooled
	started time.Time
	// kind names the requests that are alike for the queue.
	kind   string
	status wireunit.TxStatus
	// recorded says that the transaction has inserted its request id.
	recorded bool
	holder   ledger.Holder
	// inTransaction says that a transaction waits for its next batch.
	inTransaction atomic.Bool

	mu       sync.Mutex
	canceled bool
	returned bool
	// cut ends the running exchange; nil if none runs.
	cut context.CancelFunc
}

// deposed reports whether the lease is on the primary of a term that was
// replaced: nothing that runs there can be confirmed any more.
func (l *lease) deposed(s *state) bool {
	return !l.replica && s.primary.Open && s.primary.Term > l.term
}

// working says that a batch runs on the connection.
func (l *lease) working() {
	l.inTransaction.Store(false)
	l.conn.account.set(ledger.Working, l.holder)
}

// waiting says that a transaction holds the connection idle.
func (l *lease) waiting() {
	l.inTransaction.Store(true)
	l.conn.account.set(ledger.Idle, l.holder)
}

// broken says that the connection failed: it is closed, and nothing is left to
// roll back on it.
func (l *lease) broken() {
	l.status = wireunit.TxIdle
	l.conn.DisableReuse()
}

// setCut notes how the exchange that begins can be ended, or that it has ended.
func (l *lease) setCut(cut context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// abandon ends the running exchange, because its answer is of no use.
func (l *lease) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut != nil {
		l.cut()
	}
}

// cancel asks the target to cancel what runs on the connection, unless the
// connection was given back. The request is sent by a goroutine of its own, after
// the connection was marked as in doubt, so that it can't reach another unit.
func (l *lease) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.canceled || l.returned {
		return
	}
	l.canceled = true
	l.conn.DisableReuse()
	ctx, done := context.WithTimeout(l.instance.ctx, cancelTimeout)
	go func() {
		defer done()
		if err := l.conn.Cancel(ctx); err != nil {
			klog.Warningf("home: cancel request to %s failed: %v", l.instance.declared.Name, err)
		}
	}()
}

// giveBack returns connection and slot. An open transaction is rolled back
// first, by a goroutine that keeps both until then.
func (l *lease) giveBack() {
	l.mu.Lock()
	l.returned = true
	l.mu.Unlock()
	l.instance.note(l, false)
	if l.status == wireunit.TxOpen || l.status == wireunit.TxFailed {
		go l.rollBack()
		return
	}
	l.instance.gate.release(l.kind, l.started)
	l.instance.pool.put(l.conn)
}

func (l *lease) rollBack() {
	ctx, cancel := context.WithTimeout(l.instance.ctx, rollbackTimeout)
	defer cancel()
	b, err := query("ROLLBACK")
	if err == nil {
		_, err = l.conn.Exchange(ctx, target.Exchange{Batch: b}, io.Discard)
	}
	if err != nil {
		klog.V(2).Infof("home: rollback on %s failed, its connection is closed: %v", l.instance.declared.Name, err)
		l.conn.Close()
	}
	l.instance.gate.release(l.kind, l.started)
	l.instance.pool.put(l.conn)
}
