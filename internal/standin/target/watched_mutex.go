package target

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lockLimit is the time after which a goroutine that waits for a mutex takes it for lost.
	lockLimit = 30 * time.Second
	// holderFrames is the number of frames kept of the goroutine that took the mutex last.
	holderFrames = 12
)

// watchedMutex is a mutex that knows who took it last. A goroutine that has waited for it for
// lockLimit ends the process with that stack, because a test that hangs on a lost lock tells
// nothing of who lost it.
type watchedMutex struct {
	mu     sync.Mutex
	holder atomic.Pointer[[holderFrames]uintptr]
}

// Lock implements sync.Locker.
func (m *watchedMutex) Lock() {
	if !m.mu.TryLock() {
		watch := time.AfterFunc(lockLimit, func() {
			panic(fmt.Sprintf("an instance's lock is held for %s; it was taken last by\n%s", lockLimit, m.lastHolder()))
		})
		m.mu.Lock()
		watch.Stop()
	}
	var frames [holderFrames]uintptr
	runtime.Callers(2, frames[:])
	m.holder.Store(&frames)
}

// Unlock implements sync.Locker.
func (m *watchedMutex) Unlock() {
	m.mu.Unlock()
}

// lastHolder returns the stack of the goroutine that took the mutex last, a frame a line.
func (m *watchedMutex) lastHolder() string {
	counters := m.holder.Load()
	if counters == nil {
		return "nobody"
	}
	var lines []string
	frames := runtime.CallersFrames(counters[:])
	for {
		f, more := frames.Next()
		if f.Function != "" {
			lines = append(lines, fmt.Sprintf("%s %s:%d", f.Function, f.File, f.Line))
		}
		if !more {
			return strings.Join(lines, "\n")
		}
	}
}
