// Package link relays TCP and UDP traffic between loopback addresses and simulates the
// network between them: it delays traffic, limits its rate, cuts it or freezes it. Tests
// and benchmarks use it.
//
// A Line joins two sides and serves any number of relays. A cut line drops datagrams and
// holds the bytes of streams, as a network partition does; a frozen line holds both.
// Held traffic continues when the line is open again.
package link

import (
	"sync"
	"time"
)

// Direction is one direction of a line.
type Direction int

// The directions of a line.
const (
	AToB Direction = iota
	BToA
)

// Cut selects the directions of a line that are cut.
type Cut string

// The cuts.
const (
	CutNone Cut = ""
	CutAToB Cut = "a_to_b"
	CutBToA Cut = "b_to_a"
	CutBoth Cut = "both"
)

// covers reports whether the cut includes a direction.
func (c Cut) covers(d Direction) bool {
	return c == CutBoth || (c == CutAToB && d == AToB) || (c == CutBToA && d == BToA)
}

// Shape is how a line treats its traffic: delay, rate limit and faults.
type Shape struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// BytesPerSecond limits each direction, summed over all relays; zero is unlimited.
	BytesPerSecond float64
	// Cut drops datagrams and holds streams in its directions.
	Cut Cut
	// Frozen holds datagrams and streams in both directions.
	Frozen bool
}

// Line is a simulated network line between two sides. All methods may be called from any
// goroutine.
type Line struct {
	name string

	mu    sync.Mutex
	shape Shape
	// idleAt is, by direction, when a rate-limited line has sent all bytes accepted so
	// far.
	idleAt [2]time.Time
	// byteCounts is, by direction, the number of bytes that entered the line.
	byteCounts [2]uint64
	// changed is closed and replaced when the shape changes.
	changed chan struct{}
	streams map[*stream]struct{}
}

// NewLine returns a line of the given shape.
func NewLine(name string, shape Shape) *Line {
	return &Line{name: name, shape: shape, changed: make(chan struct{}), streams: map[*stream]struct{}{}}
}

// Name returns the line's name.
func (l *Line) Name() string {
	return l.name
}

// Shape returns the current shape.
func (l *Line) Shape() Shape {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shape
}

// SetShape changes the shape with a function, which runs with the line locked.
func (l *Line) SetShape(change func(*Shape)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.shape)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Bytes returns the number of bytes that entered the line from side A and from side B,
// those that were dropped included.
func (l *Line) Bytes() (fromA, fromB uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byteCounts[AToB], l.byteCounts[BToA]
}

// Reset closes every stream on the line.
func (l *Line) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.streams {
		s.close()
	}
}

// carries reports whether a direction is not cut at the moment.
func (l *Line) carries(d Direction) bool {
	return !l.Shape().Cut.covers(d)
}

// schedule counts n bytes that enter the line and returns when they leave it.
func (l *Line) schedule(d Direction, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byteCounts[d] += uint64(n)
	sent := time.Now()
	if l.shape.BytesPerSecond > 0 {
		if l.idleAt[d].After(sent) {
			sent = l.idleAt[d]
		}
		sent = sent.Add(time.Duration(float64(n) / l.shape.BytesPerSecond * float64(time.Second)))
		l.idleAt[d] = sent
	}
	return sent.Add(l.shape.Delay)
}

// state returns the shape and a channel that closes when the shape changes.
func (l *Line) state() (Shape, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shape, l.changed
}

// waitOpen waits until the line is not frozen and the direction not cut, and returns
// true. It returns false when done closes and, for a datagram, as soon as the direction
// is cut.
func (l *Line) waitOpen(d Direction, datagram bool, done <-chan struct{}) (ok bool) {
	for {
		shape, changed := l.state()
		cut := shape.Cut.covers(d)
		switch {
		case cut && datagram:
			return false
		case !cut && !shape.Frozen:
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// waitUntil waits for the due time and returns true. It returns false when done closes
// first.
func waitUntil(due time.Time, done <-chan struct{}) bool {
	left := time.Until(due)
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
