package configuration

import (
	"sync"
	"sync/atomic"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Holder holds the current snapshot of a daemon, whose revision never decreases. It is
// safe for concurrent use; Current does not block.
type Holder struct {
	current atomic.Pointer[Snapshot]

	// mu serializes updates.
	mu sync.Mutex
	// changed is closed and replaced when an object changes; guarded by mu.
	changed chan struct{}
}

// NewHolder returns a Holder with the empty snapshot.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(Empty())
	return h
}

// Current returns the current snapshot.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// Changed returns a channel that is closed at the next change of an object. To miss no
// change, call Changed before Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply applies the changes after revision from to the current snapshot; see
// Snapshot.Apply.
func (h *Holder) Apply(from store.Revision, page store.Page) (Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, report, err := h.Current().Apply(from, page)
	if err != nil {
		return report, err
	}
	h.publish(next)
	return report, nil
}

// Replace replaces the objects of the current snapshot by a complete list; see
// Snapshot.Replace.
func (h *Holder) Replace(page store.Page) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, report := h.Current().Replace(page)
	h.publish(next)
	return report
}

// publish makes next the current snapshot unless its revision is lower. It closes
// changed only if an object changed, not if just the revision advanced. The caller
// holds mu.
func (h *Holder) publish(next *Snapshot) {
	old := h.Current()
	if next == old || next.Revision < old.Revision {
		return
	}
	h.current.Store(next)
	if next.LastChange == old.LastChange {
		return
	}
	close(h.changed)
	h.changed = make(chan struct{})
}
