package target

import (
	"context"
	"sync/atomic"
)

// slots limits the number of statements that execute concurrently. A statement that
// finds no free slot waits and is counted as overuse.
type slots struct {
	occupied chan struct{}
	running  atomic.Int64
	peak     atomic.Int64
	waiting  atomic.Int64
	overuse  atomic.Uint64
}

func newSlots(n int) *slots {
	return &slots{occupied: make(chan struct{}, n)}
}

// acquire takes a slot. It returns the error of ctx if ctx is done first.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case s.occupied <- struct{}{}:
	default:
		s.overuse.Add(1)
		s.waiting.Add(1)
		defer s.waiting.Add(-1)
		select {
		case s.occupied <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.countRunning()
	return nil
}

// reacquire takes a slot after a wait for a row lock. Waiting here does not count as
// overuse.
func (s *slots) reacquire() {
	s.occupied <- struct{}{}
	s.countRunning()
}

// countRunning increments the number of running statements and updates its peak.
func (s *slots) countRunning() {
	running := s.running.Add(1)
	for peak := s.peak.Load(); running > peak && !s.peak.CompareAndSwap(peak, running); {
		peak = s.peak.Load()
	}
}

// release returns a slot.
func (s *slots) release() {
	s.running.Add(-1)
	<-s.occupied
}
