package platform

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// object is an object, or the event of its change, as sent to clients.
type object struct {
	Kind    store.Kind      `json:"kind"`
	Name    string          `json:"name"`
	Version store.Revision  `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// page is the body of the answer to a list or watch call.
type page struct {
	Revision store.Revision `json:"revision"`
	Objects  []object       `json:"objects"`
}

// objects holds the current objects and the last maxEvents events. All methods may be
// called from any goroutine.
type objects struct {
	maxEvents int

	mu       sync.Mutex
	revision store.Revision
	byKey    map[store.Key]object
	// events are the last events, one for each revision, the oldest first.
	events []object
	// changed is closed and replaced at each event.
	changed chan struct{}
}

func newObjects(maxEvents int) *objects {
	return &objects{maxEvents: maxEvents, byKey: map[store.Key]object{}, changed: make(chan struct{})}
}

// current returns the revision of the last change.
func (o *objects) current() store.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision
}

// get returns the object of a key and whether it exists.
func (o *objects) get(k store.Key) (object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.byKey[k]
	return found, ok
}

// list returns the objects of the given kinds, sorted by kind and name.
func (o *objects) list(kinds []store.Kind) page {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := page{Revision: o.revision, Objects: []object{}}
	for _, found := range o.byKey {
		if matchesKind(kinds, found.Kind) {
			out.Objects = append(out.Objects, found)
		}
	}
	slices.SortFunc(out.Objects, func(a, b object) int {
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

// matchesKind reports whether kinds contains k. No kinds match every kind.
func matchesKind(kinds []store.Kind, k store.Kind) bool {
	return len(kinds) == 0 || slices.Contains(kinds, k)
}

// put writes an object if version is its current version, zero meaning that it does not
// exist. Otherwise it returns the current object and false.
func (o *objects) put(k store.Key, version store.Revision, value json.RawMessage) (object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, exists := o.byKey[k]
	if found.Version != version {
		return conflictResult(k, found, exists), false
	}
	written := object{Kind: k.Kind, Name: k.Name, Version: o.revision + 1, Value: value}
	o.byKey[k] = written
	o.record(written)
	return written, true
}

// remove deletes an object if version is its current version, and otherwise returns the
// current object with done unset. missing is set if there is no object of the key.
func (o *objects) remove(k store.Key, version store.Revision) (result object, done, missing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, exists := o.byKey[k]
	switch {
	case !exists:
		return object{}, false, true
	case found.Version != version:
		return found, false, false
	}
	delete(o.byKey, k)
	removed := object{Kind: k.Kind, Name: k.Name, Version: o.revision + 1, Deleted: true}
	o.record(removed)
	return removed, true, false
}

// conflictResult returns the current object, or one with version zero if it does not
// exist.
func conflictResult(k store.Key, found object, exists bool) object {
	if exists {
		return found
	}
	return object{Kind: k.Kind, Name: k.Name}
}

// record appends an event, discards those over maxEvents and wakes the watches. The
// caller holds mu.
func (o *objects) record(event object) {
	o.revision = event.Version
	o.events = append(o.events, event)
	if surplus := len(o.events) - o.maxEvents; surplus > 0 {
		o.events = slices.Clone(o.events[surplus:])
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// eventsAfter returns the events of the given kinds after a revision, and a channel that
// closes at the next event. It reports false if those events are no longer kept or the
// revision is in the future.
func (o *objects) eventsAfter(from store.Revision, kinds []store.Kind) (page, chan struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	oldest := o.revision - store.Revision(len(o.events))
	if from < oldest || from > o.revision {
		return page{}, nil, false
	}
	out := page{Revision: o.revision, Objects: []object{}}
	for _, event := range o.events[from-oldest:] {
		if matchesKind(kinds, event.Kind) {
			out.Objects = append(out.Objects, event)
		}
	}
	return out, o.changed, true
}

// watch waits until there are events of the given kinds after a revision, or ctx ends.
// It reports false as eventsAfter does.
func (o *objects) watch(ctx context.Context, from store.Revision, kinds []store.Kind) (page, bool) {
	for {
		found, changed, ok := o.eventsAfter(from, kinds)
		if !ok || len(found.Objects) > 0 {
			return found, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found, true
		}
	}
}
