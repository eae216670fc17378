// Package ledger accounts the time of each connection of each target to its holders,
// in nanoseconds.
//
// At any instant a connection works for one holder, is held idle by one holder, or is
// free. The times of all accounts of a target therefore add up to the total time for
// which its connections were open; Check verifies this. Times are divided into buckets
// of wall time, and each bucket is flushed as one Document of the home.
//
// The package uses no sockets, goroutines or clock: the time is passed as an argument.
package ledger

import (
	"fmt"
	"sync"
	"time"
)

// State is the state of a connection with regard to its holder.
type State uint8

// The states of a connection.
const (
	// Free means that the connection has no holder.
	Free State = iota
	// Idle means that the holder reserves the connection without using it.
	Idle
	// Working means that the connection runs a statement of the holder.
	Working
)

// String returns the name of the state that is stored in documents.
func (s State) String() string {
	switch s {
	case Free:
		return "free"
	case Idle:
		return "idle"
	case Working:
		return "working"
	default:
		return fmt.Sprintf("state(%d)", uint8(s))
	}
}

// Holder identifies the user that a connection's time is attributed to. A free
// connection has the zero Holder.
type Holder struct {
	Service string `json:"service,omitempty"`
	Caller  string `json:"caller,omitempty"`
	Class   string `json:"class,omitempty"`
}

// Account is the combination of target, state and holder by which time is summed.
type Account struct {
	Target string
	State  State
	Holder Holder
}

// Totals holds nanoseconds by account.
type Totals map[Account]int64

// Sum returns the total time of all accounts, in nanoseconds.
func (t Totals) Sum() int64 {
	var sum int64
	for _, ns := range t {
		sum += ns
	}
	return sum
}

// instant is a time in nanoseconds since the Unix epoch. It advances with the monotonic
// clock from the start of the ledger, so a step of the wall clock does not distort
// accounted times.
type instant int64

// bucket is the number of an interval of wall time. All intervals of a ledger have the
// same width; bucket 0 starts at the Unix epoch.
type bucket int64

// Ledger holds the accounts of one home. It is safe for concurrent use. The methods of
// a Conn other than Close contend only with each other and with flushes and totals.
type Ledger struct {
	home  string
	width time.Duration // of a bucket
	epoch time.Time     // start of the ledger, with the monotonic clock reading
	start instant       // epoch as an instant

	mu               sync.Mutex
	open             map[*Conn]struct{}
	closed           bucketTotals
	closedWall       map[bucket]map[string]int64 // open time of closed connections, by target
	acknowledged     Totals                      // totals of acknowledged buckets
	acknowledgedWall int64                       // open time in acknowledged buckets, in nanoseconds
	sequence         uint64
	firstPending     bucket // all buckets before it were acknowledged
	// earliestOpen is the earliest instant at which a connection can open, because
	// earlier buckets were already flushed as complete.
	earliestOpen instant
}

// bucketTotals holds nanoseconds by bucket and account.
type bucketTotals map[bucket]Totals

func (b bucketTotals) add(at bucket, a Account, ns int64) {
	totals := b[at]
	if totals == nil {
		totals = make(Totals)
		b[at] = totals
	}
	totals[a] += ns
}

// New returns the ledger of a home that starts at now. The name of the home must be
// different each time a daemon starts. Width is the width of a bucket and must be
// positive.
func New(home string, width time.Duration, now time.Time) *Ledger {
	if width <= 0 {
		panic("ledger: bucket width must be positive")
	}
	l := &Ledger{
		home:         home,
		width:        width,
		epoch:        now,
		start:        instant(now.UnixNano()),
		open:         make(map[*Conn]struct{}),
		closed:       make(bucketTotals),
		closedWall:   make(map[bucket]map[string]int64),
		acknowledged: make(Totals),
	}
	l.firstPending = l.bucketOf(l.start)
	return l
}

// toInstant converts a time to an instant. A time before the start of the ledger counts
// as the start.
func (l *Ledger) toInstant(now time.Time) instant {
	return l.start + instant(max(now.Sub(l.epoch), 0))
}

// bucketOf returns the bucket that contains an instant.
func (l *Ledger) bucketOf(at instant) bucket {
	return bucket(int64(at) / int64(l.width))
}

// startOf returns the first instant of a bucket.
func (l *Ledger) startOf(b bucket) instant {
	return instant(int64(b) * int64(l.width))
}

// Open starts the accounting of a connection to a target. The connection is free.
func (l *Ledger) Open(target string, now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := max(l.toInstant(now), l.earliestOpen)
	c := &Conn{ledger: l, target: target, opened: at, bookedUntil: at, booked: make(bucketTotals)}
	l.open[c] = struct{}{}
	return c
}

// Totals returns the time of every account from the start of the ledger up to now.
func (l *Ledger) Totals(now time.Time) Totals {
	totals, _ := l.totals(now)
	return totals
}

// Check verifies that the times of all accounts add up exactly to the time for which
// connections were open. An error means that the ledger has a bug.
func (l *Ledger) Check(now time.Time) error {
	totals, wall := l.totals(now)
	if sum := totals.Sum(); sum != wall {
		return fmt.Errorf("ledger: accounts hold %d ns, connections were open for %d ns", sum, wall)
	}
	return nil
}

// totals returns all accounts and the time in nanoseconds for which connections were
// open, which is computed independently of the accounts.
func (l *Ledger) totals(now time.Time) (Totals, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.toInstant(now)
	totals := make(Totals, len(l.acknowledged))
	totals.addAll(l.acknowledged)
	wall := l.acknowledgedWall
	for _, part := range l.closed {
		totals.addAll(part)
	}
	for _, targets := range l.closedWall {
		for _, ns := range targets {
			wall += ns
		}
	}
	for c := range l.open {
		wall += c.addTotals(totals, at, l.firstPending)
	}
	return totals, wall
}

func (t Totals) addAll(other Totals) {
	for a, ns := range other {
		t[a] += ns
	}
}

// addWall adds the open time from start to end of a closed connection to the buckets
// that it spans. The caller holds mu.
func (l *Ledger) addWall(target string, start, end instant) {
	for b := l.bucketOf(start); start < end; b++ {
		stop := min(end, l.startOf(b+1))
		if l.closedWall[b] == nil {
			l.closedWall[b] = make(map[string]int64)
		}
		l.closedWall[b][target] += int64(stop - start)
		start = stop
	}
}
