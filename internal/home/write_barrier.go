package home

import (
	"context"
	"sync"
)

// writeBarrier counts the running writes of a database and blocks new ones during a
// hand-over. Its methods are safe for concurrent use.
type writeBarrier struct {
	mu      sync.Mutex
	running int
	stopped bool
	// drained is closed when the last running write ends. It is set while a caller waits
	// for that.
	drained chan struct{}
}

// begin counts a write and reports whether it may run; it returns false while writes are
// stopped.
func (w *writeBarrier) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.running++
	return true
}

// end removes a write from the count.
func (w *writeBarrier) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if w.running == 0 && w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
}

// stop blocks new writes.
func (w *writeBarrier) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

// wait waits until the running writes have ended. It returns the error of ctx if that
// ends first.
func (w *writeBarrier) wait(ctx context.Context) error {
	w.mu.Lock()
	if w.running == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.drained == nil {
		w.drained = make(chan struct{})
	}
	drained := w.drained
	w.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resume lets writes run again.
func (w *writeBarrier) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = false
}

func (w *writeBarrier) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}
