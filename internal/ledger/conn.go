package ledger

import (
	"sync"
	"time"
)

// Conn accounts the time of one connection. It is safe for concurrent use. A time
// passed to a method that is before the previous one counts as the previous one.
type Conn struct {
	ledger *Ledger
	target string
	opened instant

	mu          sync.Mutex
	state       State
	holder      Holder
	bookedUntil instant // time is booked up to this instant
	booked      bucketTotals
	// recentBucket is the bucket of the bookings in recent, which are not in booked yet.
	recentBucket bucket
	recent       []booking
	closed       bool
}

// booking is the time of one state and holder in the bucket recentBucket.
type booking struct {
	state  State
	holder Holder
	ns     int64
}

// maxRecentBookings is the maximum length of Conn.recent, which is searched linearly.
const maxRecentBookings = 8

// Set changes the state and holder of the connection from now on. The holder is ignored
// if the state is Free. Set has no effect after Close.
func (c *Conn) Set(state State, holder Holder, now time.Time) {
	at := c.ledger.toInstant(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.book(at)
	if state == Free {
		holder = Holder{}
	}
	c.state = state
	c.holder = holder
}

// Close ends the accounting of the connection. It is idempotent.
func (c *Conn) Close(now time.Time) {
	at := c.ledger.toInstant(now)
	l := c.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.book(at)
	c.flushRecent()
	for b, totals := range c.booked {
		for a, ns := range totals {
			l.closed.add(b, a, ns)
		}
	}
	c.booked = nil
	l.addWall(c.target, max(c.opened, l.startOf(l.firstPending)), c.bookedUntil)
	delete(l.open, c)
}

// book attributes the time since the last booking to the current state and holder,
// bucket by bucket. The caller holds mu.
func (c *Conn) book(at instant) {
	for c.bookedUntil < at {
		b := c.ledger.bucketOf(c.bookedUntil)
		if b != c.recentBucket {
			c.flushRecent()
			c.recentBucket = b
		}
		stop := min(at, c.ledger.startOf(b+1))
		c.bookRecent(int64(stop - c.bookedUntil))
		c.bookedUntil = stop
	}
}

// bookRecent adds ns nanoseconds of the current state and holder to the recent bookings.
func (c *Conn) bookRecent(ns int64) {
	for i := range c.recent {
		r := &c.recent[i]
		if r.state == c.state && r.holder == c.holder {
			r.ns += ns
			return
		}
	}
	if len(c.recent) == maxRecentBookings {
		c.flushRecent()
	}
	c.recent = append(c.recent, booking{state: c.state, holder: c.holder, ns: ns})
}

// flushRecent moves the recent bookings to booked.
func (c *Conn) flushRecent() {
	for _, r := range c.recent {
		c.booked.add(c.recentBucket, Account{Target: c.target, State: r.state, Holder: r.holder}, r.ns)
	}
	c.recent = c.recent[:0]
}

// addTotals adds the times of the connection up to at to totals. It returns the time in
// nanoseconds for which the connection was open since the start of bucket firstPending.
func (c *Conn) addTotals(totals Totals, at instant, firstPending bucket) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book(at)
	c.flushRecent()
	for _, part := range c.booked {
		totals.addAll(part)
	}
	return int64(c.bookedUntil - max(c.opened, c.ledger.startOf(firstPending)))
}

// addBucket adds the times of bucket b to totals. It returns the time in nanoseconds for
// which the connection was open in the bucket. If remove is set, the times are removed
// from the connection.
func (c *Conn) addBucket(b bucket, totals Totals, remove bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushRecent()
	totals.addAll(c.booked[b])
	if remove {
		delete(c.booked, b)
	}
	l := c.ledger
	return int64(max(min(c.bookedUntil, l.startOf(b+1))-max(c.opened, l.startOf(b)), 0))
}

// bookUpTo books the time of the connection up to at, for a following addBucket.
func (c *Conn) bookUpTo(at instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book(at)
}
