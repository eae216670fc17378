package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
)

// relayIntentReader reads the promotion intents from the relay, or from the store if this
// daemon is the relay or the relay has no answer.
type relayIntentReader struct {
	relays        RelaySelector
	direct        *primarylease.Checker
	promotionLock *failover.LockManager
	// failedAt is when the last read from the store failed, in nanoseconds since boot; 0
	// if it succeeded.
	failedAt atomic.Int64
}

// intentReadPause is the pause after a follower's failed read from the store while its
// relay has no current answer either; the relay reads the store more often.
const intentReadPause = time.Second

// errNoSource means that neither the relay nor the store answered.
var errNoSource = errors.New("neither the relay nor the store answers")

// ReadIntents implements primarylease.Reader.
func (r *relayIntentReader) ReadIntents(context.Context) (primarylease.Record, error) {
	record, err := r.read()
	if err == nil {
		r.promotionLock.ObserveRevision(record.Version)
	}
	return record, err
}

// read reads the intents from the relay or the store.
func (r *relayIntentReader) read() (primarylease.Record, error) {
	if relay := r.relays.Relay(); relay != nil {
		record, err := relay.Intents()
		if err == nil {
			return record, nil
		}
		if failed := r.failedAt.Load(); failed != 0 && errors.Is(err, peer.ErrNotCurrent) && boottime.Now()-time.Duration(failed) < intentReadPause {
			return primarylease.Record{}, errNoSource
		}
	}
	record, ok := r.direct.RecentRecord()
	if !ok {
		r.failedAt.Store(int64(boottime.Now()))
		return primarylease.Record{}, errNoSource
	}
	r.failedAt.Store(0)
	return record, nil
}
