package node

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// loops runs the background loops of a daemon and knows which of them still run. It is safe
// for concurrent use.
type loops struct {
	mu      sync.Mutex
	running map[string]int // guarded by mu; number of loops by name
	// ended receives a value when the last loop ends; nil unless wait is waiting.
	ended chan struct{} // guarded by mu
}

// start runs loop in a goroutine under a name, which need not be unique.
func (l *loops) start(name string, loop func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[string]int)
	}
	l.running[name]++
	go func() {
		defer l.end(name)
		loop()
	}()
}

func (l *loops) end(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[name]--; l.running[name] == 0 {
		delete(l.running, name)
	}
	if len(l.running) == 0 && l.ended != nil {
		close(l.ended)
		l.ended = nil
	}
}

// wait waits until all loops have ended, for timeout at most, and returns the names of those
// that still run.
func (l *loops) wait(timeout time.Duration) []string {
	l.mu.Lock()
	if len(l.running) == 0 {
		l.mu.Unlock()
		return nil
	}
	ended := make(chan struct{})
	l.ended = ended
	l.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.running))
}
