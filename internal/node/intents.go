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

// relayedIntents reads the intents of promotions from the relay, or from the store
// where this daemon is the relay or that can't answer.
type relayedIntents struct {
	relays        RelaySelector
	direct        *primarylease.Checker
	promotionLock *failover.LockManager
	// failedAt is when a follower's own read failed last, since boot; zero after one
	// that did not.
	failedAt atomic.Int64
}

// ownIntentsPause is the time after a failed read of a follower before its next: its
// relay, which has no answer either, asks the store more often.
const ownIntentsPause = time.Second

// errStoreSilent says that neither relay nor store answered.
var errStoreSilent = errors.New("the store does not answer")

// ReadIntents implements primarylease.Reader.
func (r *relayedIntents) ReadIntents(context.Context) (primarylease.Record, error) {
	record, err := r.read()
	if err == nil {
		r.promotionLock.ObserveRevision(record.Version)
	}
	return record, err
}

func (r *relayedIntents) read() (primarylease.Record, error) {
	if relay := r.relays.Relay(); relay != nil {
		record, err := relay.Intents()
		if err == nil {
			return record, nil
		}
		if failed := r.failedAt.Load(); failed != 0 && errors.Is(err, peer.ErrNotCurrent) && boottime.Now()-time.Duration(failed) < ownIntentsPause {
			return primarylease.Record{}, errStoreSilent
		}
	}
	record, ok := r.direct.Fresh()
	if !ok {
		r.failedAt.Store(int64(boottime.Now()))
		return primarylease.Record{}, errStoreSilent
	}
	r.failedAt.Store(0)
	return record, nil
}
