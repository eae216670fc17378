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

// rollbackTimeout bounds the rollback of an abandoned transaction.
const rollbackTimeout = time.Second

// lease is a connection and a slot of a target that one unit holds. It is unrelated to
// the primary lease.
type lease struct {
	placement
	conn      *pooledConn
	startedAt time.Time
	// kind is the key of the request in the admission queue; see batchRun.queueKind.
	kind   string
	status wireunit.TxStatus
	// idRecorded is set once the transaction has inserted its request id.
	idRecorded bool
	holder     ledger.Holder
	// inTransaction is set while an open transaction waits for its next batch.
	inTransaction atomic.Bool

	mu       sync.Mutex
	canceled bool
	released bool
	// abortExchange aborts the running exchange; nil if none runs.
	abortExchange context.CancelFunc
}

// isDeposed reports whether the lease is on a primary whose term was replaced. Nothing
// that runs there can be confirmed.
func (l *lease) isDeposed(s *state) bool {
	return !l.replica && s.primary.Open && s.primary.Term > l.term
}

// markWorking records that a batch runs on the connection.
func (l *lease) markWorking() {
	l.inTransaction.Store(false)
	l.conn.account.set(ledger.Working, l.holder)
}

// markIdle records that an open transaction holds the connection between two batches.
func (l *lease) markIdle() {
	l.inTransaction.Store(true)
	l.conn.account.set(ledger.Idle, l.holder)
}

// markBroken records that the connection failed: it will be closed, and there is nothing
// to roll back.
func (l *lease) markBroken() {
	l.status = wireunit.TxIdle
	l.conn.DisableReuse()
}

// setAbort sets the function that aborts the running exchange; nil after the exchange.
func (l *lease) setAbort(abort context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortExchange = abort
}

// abort aborts the running exchange, whose answer is no longer needed.
func (l *lease) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.abortExchange != nil {
		l.abortExchange()
	}
}

// cancel asks the target to cancel the statement that runs on the connection, unless the
// lease was released. The request is sent in the background, after the connection was
// marked as doubtful, so that it cannot reach another unit.
func (l *lease) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.canceled || l.released {
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

// release returns the connection and the slot. An open transaction is rolled back first,
// in the background; the connection and the slot stay in use until then.
func (l *lease) release() {
	l.mu.Lock()
	l.released = true
	l.mu.Unlock()
	l.instance.setLeased(l, false)
	if l.status == wireunit.TxOpen || l.status == wireunit.TxFailed {
		go l.rollBack()
		return
	}
	l.instance.gate.release(l.kind, l.startedAt)
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
		klog.V(2).Infof("home: rollback on %s failed, closing the connection: %v", l.instance.declared.Name, err)
		l.conn.Close()
	}
	l.instance.gate.release(l.kind, l.startedAt)
	l.instance.pool.put(l.conn)
}
