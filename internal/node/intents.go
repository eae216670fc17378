package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
)

// relayIntentReader reads the promotion intents from the relay or, if this daemon is the relay,
// from the head relay of the region; from the store if there is none or it has no answer, or
// else from a relay of another failure domain.
type relayIntentReader struct {
	relays        RelaySelector
	direct        *primarylease.Checker
	promotionLock *failover.LockManager
	// failedAt is when the last read from the store failed, in nanoseconds since boot; 0
	// if it succeeded.
	failedAt atomic.Int64
	// otherFailedAt is when the last read from a relay of another failure domain failed, in
	// nanoseconds since boot; 0 if none has.
	otherFailedAt atomic.Int64
}

// relayIntents answers requests for the promotion intents. A relay that follows another one
// passes on what it reads there; any other daemon reads the store. It implements
// peer.IntentSource.
type relayIntents struct {
	relays           RelaySelector
	followed, direct *primarylease.Checker
}

// RecentRecord implements peer.IntentSource.
func (i relayIntents) RecentRecord() (*primarylease.Record, bool) {
	if i.relays.HeadRelay() != nil {
		return i.followed.RecentRecord()
	}
	return i.direct.RecentRecord()
}

// intentReadPause is the pause after a follower's failed read from the store while its
// relay has no current answer either; the relay reads the store more often.
const intentReadPause = time.Second

// storeHeadStart is how long the head relay may take to answer before the store is asked too,
// and the store before a relay of another failure domain is.
const storeHeadStart = 150 * time.Millisecond

// errNoSource means that neither a relay nor the store answered.
var errNoSource = errors.New("neither a relay nor the store answers")

// ReadIntents implements primarylease.Reader.
func (r *relayIntentReader) ReadIntents(context.Context) (primarylease.Record, error) {
	record, err := r.read()
	if err == nil {
		r.promotionLock.ObservePoint(record.Read)
	}
	return record, err
}

// read reads the intents from the relay or the store. If none of them answers, it returns the
// newest outdated record of a relay, if there is any, and errNoSource.
func (r *relayIntentReader) read() (primarylease.Record, error) {
	var outdated primarylease.Record
	if relay := r.relays.Relay(); relay != nil {
		record, err := relay.Intents()
		if err == nil {
			return record, nil
		}
		outdated = record
		if errors.Is(err, peer.ErrNotCurrent) {
			r.relays.RelayOutdated(relay.Name())
		}
		if failed := r.failedAt.Load(); failed != 0 && errors.Is(err, peer.ErrNotCurrent) && boottime.Now()-time.Duration(failed) < intentReadPause {
			return outdated, errNoSource
		}
	}
	if record, ok := r.readHead(); ok {
		return record, nil
	}
	direct := make(chan *primarylease.Record, 1)
	go func() {
		defer close(direct)
		if record, ok := r.direct.RecentRecord(); ok {
			r.failedAt.Store(0)
			direct <- record
			return
		}
		r.failedAt.Store(int64(boottime.Now()))
	}()
	timer := time.NewTimer(storeHeadStart)
	defer timer.Stop()
	select {
	case record := <-direct:
		if record != nil {
			return *record, nil
		}
	case <-timer.C:
	}
	record, err := r.readOtherDomain()
	if err == nil {
		return record, nil
	}
	if record.ReadStart > outdated.ReadStart {
		outdated = record
	}
	if record := <-direct; record != nil {
		return *record, nil
	}
	return outdated, errNoSource
}

// readHead reads the intents from the head relay, if this daemon follows one, and reports
// whether it answered within storeHeadStart. A head relay that has fallen silent must not
// delay the leases of the whole region until its connection counts as lost.
func (r *relayIntentReader) readHead() (primarylease.Record, bool) {
	head := r.relays.HeadRelay()
	if head == nil {
		return primarylease.Record{}, false
	}
	answer := make(chan *primarylease.Record, 1)
	go func() {
		defer close(answer)
		record, err := head.StoreIntents()
		if err != nil {
			// A head relay whose store is silent does not answer in time. The feeds of this
			// daemon leave it too.
			r.relays.RelayOutdated(head.Name())
			return
		}
		answer <- &record
	}()
	timer := time.NewTimer(storeHeadStart)
	defer timer.Stop()
	select {
	case record := <-answer:
		if record != nil {
			return *record, true
		}
	case <-timer.C:
	}
	return primarylease.Record{}, false
}

// readOtherDomain reads the intents from a relay of another failure domain, which the store
// may serve although it refuses this VM. The age that the relay reports counts, as for any
// relay. After a failure it returns errNoSource for intentReadPause, the first time with the
// outdated record of the relay.
func (r *relayIntentReader) readOtherDomain() (primarylease.Record, error) {
	relay := r.relays.NearestOtherRelay()
	if failed := r.otherFailedAt.Load(); relay == nil || failed != 0 && boottime.Now()-time.Duration(failed) < intentReadPause {
		return primarylease.Record{}, errNoSource
	}
	record, err := relay.Intents()
	if err != nil {
		r.otherFailedAt.Store(int64(boottime.Now()))
		return record, fmt.Errorf("%w: %w", errNoSource, err)
	}
	return record, nil
}
