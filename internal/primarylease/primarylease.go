// Package primarylease decides, from a recent read of the promotion intents in the
// platform's store, whether an answer of a primary may be returned to the caller.
//
// A promotion to term T writes its intent to the store and is requested from the
// platform only after TTL has passed since the store acknowledged the write. A read of
// the store that started at b and shows no intent above T therefore proves that only
// the primary of T leads before b + TTL.
//
// That holds within one era of the store. A store that returns from an older copy may have
// lost the intent of a promotion that is under way or done. A record proves something only
// if it was written in the era in which it is read: the daemon that wrote it waited until no
// promotion of an earlier era could act any more, and then asked all targets for the
// terms that those led to.
package primarylease

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

const (
	// TTL is how long a lease is valid, counted from the start of the read of the
	// store. It is a lower bound for the duration of a failover, and it limits the
	// rate of calls to the store.
	TTL = time.Second
	// Margin is added by a promoter to its wait of TTL, to cover clock granularity.
	Margin = 50 * time.Millisecond
	// renewAfter is the age from which a check renews the lease in the background,
	// so that requests don't wait for the store.
	renewAfter = 700 * time.Millisecond
	// maxRelayAge is the age up to which a relay serves its record to other daemons.
	maxRelayAge = 600 * time.Millisecond
	// renewTimeout is the timeout of one renewal.
	renewTimeout = 600 * time.Millisecond
	// noWaitAfterFailure is the time after a failed renewal during which requests
	// don't wait for the next one.
	noWaitAfterFailure = 500 * time.Millisecond
	// renewBackoff is the minimum time between a failed renewal and the next one:
	// checks continue to arrive while the store is unavailable.
	renewBackoff = 200 * time.Millisecond
)

// Record is the immutable result of one read of the store.
type Record struct {
	// Intents maps a group's name to the highest term that a promotion may reach.
	Intents map[string]position.Term
	// ReadStart is the time since boot at which the read started.
	ReadStart time.Duration
	// Read is the revision of the object that was read, in the era of the read.
	Read store.Point
	// WrittenIn is the era in which the object was written; zero if there is no object.
	WrittenIn store.Era
	// Unsettled names the groups that may have been promoted in an earlier era to a term
	// that is not in Intents.
	Unsettled []string
	// Unused names the groups to whose intended term no promote call can have led.
	Unused []string
	// Called maps a group to the target of its last promote call.
	Called map[string]string
	// RecordsCalls tells that Unused and Called are known. Earlier releases don't write or
	// send them.
	RecordsCalls bool
}

// LastCall returns what the record tells of the promote calls for a group. It reports false if
// the record tells nothing of calls.
func (r *Record) LastCall(group string) (leadership.PromoteCall, bool) {
	if r == nil || !r.RecordsCalls {
		return leadership.PromoteCall{}, false
	}
	term := r.Intents[group]
	if term > 0 && slices.Contains(r.Unused, group) {
		term--
	}
	return leadership.PromoteCall{Term: term, Target: r.Called[group]}, true
}

// Verdict is the result of checking an answer against a record.
type Verdict uint8

// Verdicts on an answer of a primary.
const (
	// Allowed means that the primary was the leader when it answered.
	Allowed Verdict = iota
	// Denied means that the store holds an intent to promote to a higher term.
	Denied
	// Expired means that there is no record or that it is older than TTL.
	Expired
	// Unproven means that the record may lack a promotion of an earlier era.
	Unproven
)

// Evaluate returns the verdict on an answer that the primary of the given term gave
// before at, a time since boot. A nil record is expired.
func (r *Record) Evaluate(group string, term position.Term, at time.Duration) Verdict {
	switch {
	case r == nil || at >= r.ReadStart+TTL:
		return Expired
	case r.WrittenIn != r.Read.Era || slices.Contains(r.Unsettled, group):
		return Unproven
	case r.Intents[group] > term:
		return Denied
	default:
		return Allowed
	}
}

// Reader reads the promotion intents from the store.
type Reader interface {
	// ReadIntents returns the intents. Reads must be linearizable: the record shows
	// every change that was acknowledged before the read started. With an error, the record
	// may be an older one that another daemon has read, if its Read is not zero.
	ReadIntents(ctx context.Context) (Record, error)
}

// Checker checks answers of primaries against the newest record and renews it. It is
// safe for concurrent use.
type Checker struct {
	reader Reader
	record atomic.Pointer[Record]

	mu       sync.Mutex
	renewal  chan struct{} // guarded by mu; nil if none is running, closed when it ends
	failedAt time.Duration // guarded by mu; time since boot, 0 if the last renewal succeeded
}

// New returns a checker that reads the intents from r. It has no record until the
// first renewal succeeds.
func New(r Reader) *Checker {
	return &Checker{reader: r}
}

// Check returns the verdict on an answer that the primary of a term gave before the
// call. It renews a record that is about to expire in the background, and waits for the
// store only if the record has expired and no renewal has failed recently.
func (c *Checker) Check(group string, term position.Term) Verdict {
	at := boottime.Now()
	r := c.record.Load()
	v := r.Evaluate(group, term, at)
	if v != Expired {
		if at > r.ReadStart+renewAfter {
			c.renew()
		}
		return v
	}
	for range 2 {
		// A renewal that was already running may have started so long before the
		// answer that its record doesn't cover it; the next renewal does.
		done, ok := c.renew()
		if !ok {
			return Expired
		}
		<-done
		if v = c.record.Load().Evaluate(group, term, at); v != Expired {
			return v
		}
	}
	return Expired
}

// Newest returns the newest record, however old it is, and nil before the first one. What it
// tells of calls that were made stays true after it has expired.
func (c *Checker) Newest() *Record {
	return c.record.Load()
}

// RecentRecord returns a record younger than maxRelayAge, for use by other daemons, and
// renews the record if needed. If the store does not answer, it returns the newest record, nil
// if there is none, and false.
func (c *Checker) RecentRecord() (*Record, bool) {
	for range 2 {
		if r := c.record.Load(); r != nil && boottime.Now()-r.ReadStart < maxRelayAge {
			return r, true
		}
		done, ok := c.renew()
		if !ok {
			break
		}
		<-done
	}
	return c.record.Load(), false
}

// renew starts a renewal unless one is running or one has failed within renewBackoff,
// and returns a channel that is closed when the renewal ends. It reports false if the
// caller should not wait on the channel.
func (c *Checker) renew() (<-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sinceFailure := time.Duration(0)
	if c.failedAt != 0 {
		sinceFailure = boottime.Now() - c.failedAt
	}
	if c.renewal == nil {
		if c.failedAt != 0 && sinceFailure < renewBackoff {
			return nil, false
		}
		c.renewal = make(chan struct{})
		go c.runRenewal(c.renewal)
	}
	return c.renewal, c.failedAt == 0 || sinceFailure > noWaitAfterFailure
}

// runRenewal reads the intents, stores the record if it is newer than the current one,
// and closes done.
func (c *Checker) runRenewal(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	r, err := c.reader.ReadIntents(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewal = nil
	c.failedAt = 0
	if err != nil {
		c.failedAt = boottime.Now()
	}
	known := err == nil || r.Read != store.Point{}
	if old := c.record.Load(); known && (old == nil || old.ReadStart < r.ReadStart) {
		c.record.Store(&r)
	}
	close(done)
}
