// Package primarylease tells whether an answer of a primary counts, from what the
// platform's store said a moment ago.
//
// A promotion to term T writes its intent to the store, and is not called for
// before TTL has passed since the store acknowledged that. So a read of the
// store that began at b and shows no intent above T proves that nobody but the
// primary of T leads before b plus TTL.
package primarylease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

const (
	// TTL is how long a read of the store counts. It bounds the gap of a failover
	// from below, and the calls to the store.
	TTL = time.Second
	// Margin is what a promoter waits beyond TTL, for the granularity of clocks.
	Margin = 50 * time.Millisecond
	// renewAfter is the age from which a lease that is in use is renewed, so that
	// requests don't wait for the store.
	renewAfter = 700 * time.Millisecond
	// passOnAge is the age up to which a relay passes its record on.
	passOnAge = 600 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 600 * time.Millisecond
	// failurePause is the time after a failed renewal in which no request waits for
	// the next.
	failurePause = 500 * time.Millisecond
	// failureRetry is the time after a failed renewal before the next: answers go on
	// to be asked about while the store is out.
	failureRetry = 200 * time.Millisecond
)

// Record is what a read of the store showed. It never changes.
type Record struct {
	// Intents maps groups to the highest terms that promotions may reach.
	Intents map[string]position.Term
	// ReadStart is when the read began, since boot.
	ReadStart time.Duration
	// Version is that of the object that was read.
	Version store.Revision
}

// Verdict is what a record says of an answer.
type Verdict uint8

// The verdicts.
const (
	// Allowed says that the primary led when it answered.
	Allowed Verdict = iota
	// Denied says that a higher term is intended.
	Denied
	// Expired says that the record is too old.
	Expired
)

// Evaluate tells whether an answer that the primary of a term gave before at counts.
func (r *Record) Evaluate(group string, term position.Term, at time.Duration) Verdict {
	switch {
	case r == nil || at >= r.ReadStart+TTL:
		return Expired
	case r.Intents[group] > term:
		return Denied
	default:
		return Allowed
	}
}

// Reader reads the intents. A read must show every change that was acknowledged
// before it began.
type Reader interface {
	ReadIntents(ctx context.Context) (Record, error)
}

// Checker keeps the newest record. It may be used by any goroutine.
type Checker struct {
	reader Reader
	record atomic.Pointer[Record]

	mu       sync.Mutex
	running  chan struct{} // guarded by mu; closed when the running renewal ends
	failedAt time.Duration // guarded by mu; since boot
}

// New returns a checker without a record.
func New(r Reader) *Checker {
	return &Checker{reader: r}
}

// Check judges an answer that a primary gave before now, and renews the record
// where that is needed. It waits for the store only if the record has expired and
// the store has answered lately.
func (p *Checker) Check(group string, term position.Term) Verdict {
	at := boottime.Now()
	r := p.record.Load()
	v := r.Evaluate(group, term, at)
	if v != Expired {
		if at > r.ReadStart+renewAfter {
			p.renew()
		}
		return v
	}
	for range 2 {
		// A renewal that was running already may have begun before the answer, and its
		// record have expired by then.
		done, ok := p.renew()
		if !ok {
			return Expired
		}
		<-done
		if v = p.record.Load().Evaluate(group, term, at); v != Expired {
			return v
		}
	}
	return Expired
}

// Fresh returns a record that is young enough to be passed on, and renews it where
// needed. It reports false if the store does not answer.
func (p *Checker) Fresh() (Record, bool) {
	for range 2 {
		if r := p.record.Load(); r != nil && boottime.Now()-r.ReadStart < passOnAge {
			return *r, true
		}
		done, ok := p.renew()
		if !ok {
			break
		}
		<-done
	}
	return Record{}, false
}

// renew starts a renewal unless one is running or has failed just now, and returns a
// channel that is closed when it ends. It reports false if nobody should wait for it.
func (p *Checker) renew() (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	failedFor := time.Duration(0)
	if p.failedAt != 0 {
		failedFor = boottime.Now() - p.failedAt
	}
	if p.running == nil {
		if p.failedAt != 0 && failedFor < failureRetry {
			return nil, false
		}
		p.running = make(chan struct{})
		go p.run(p.running)
	}
	return p.running, p.failedAt == 0 || failedFor > failurePause
}

func (p *Checker) run(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	r, err := p.reader.ReadIntents(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = nil
	p.failedAt = 0
	if err != nil {
		p.failedAt = boottime.Now()
	} else if old := p.record.Load(); old == nil || old.ReadStart < r.ReadStart {
		p.record.Store(&r)
	}
	close(done)
}
