package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// mirror is a relay's copy of one kind of object, for the daemons that follow it.
type mirror struct {
	// fresh is how long after the last answer of the store the copy is passed on:
	// followers of a relay that has lost the store ask the store themselves.
	fresh time.Duration

	mu       sync.Mutex
	objects  map[string]store.Object // guarded by mu; removed ones are marked
	revision store.Revision          // guarded by mu
	// floor is the revision of the first listing: removals before it are not known.
	floor   store.Revision // guarded by mu
	contact time.Duration  // guarded by mu; start of the last answered call
	changed chan struct{}  // guarded by mu; closed at the next change
}

// newMirror returns an empty copy that is kept current by watches of the given wait.
func newMirror(wait time.Duration) *mirror {
	return &mirror{fresh: wait + watchSlack, objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// fromRelay stands for the start of a call that was not made to the store: the copy
// is complete, but only its origin can say that it is current.
const fromRelay time.Duration = 0

// replace takes in a listing. began is the start of the call, or fromRelay.
func (m *mirror) replace(began time.Duration, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(page.Objects))
	for _, o := range page.Objects {
		present[o.Name] = true
		m.objects[o.Name] = o
	}
	for name, o := range m.objects {
		if !present[name] && !o.Deleted {
			o.Deleted, o.Version = true, page.Revision
			m.objects[name] = o
		}
	}
	if m.floor == 0 {
		m.floor = page.Revision
	}
	m.advance(began, page.Revision)
}

// change takes in the changes of a watch. began is the start of the call, or
// fromRelay.
func (m *mirror) change(began time.Duration, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range page.Objects {
		if o.Deleted {
			o.Version = page.Revision
		}
		m.objects[o.Name] = o
	}
	m.advance(began, page.Revision)
}

// maxRemoved bounds the removed objects that a copy remembers.
const maxRemoved = 1000

// prune forgets removed objects when there are many. Followers that have not heard
// of them get all objects. The lock is held.
func (m *mirror) prune() {
	removed := 0
	for _, o := range m.objects {
		if o.Deleted {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	maps.DeleteFunc(m.objects, func(_ string, o store.Object) bool { return o.Deleted })
	m.floor = m.revision
}

// advance wakes those that wait for a change. The lock is held.
func (m *mirror) advance(began time.Duration, revision store.Revision) {
	if began != fromRelay {
		m.contact = began
	}
	if revision > m.revision {
		m.revision = revision
		m.prune()
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// watch answers a follower: with changes after from, or with all objects if the
// copy does not reach back that far. A follower that waits is answered when the copy
// is not current any more.
func (m *mirror) watch(ctx context.Context, from store.Revision) peer.WatchResponse {
	for {
		m.mu.Lock()
		left := m.contact + m.fresh - boottime.Now()
		known := m.contact != 0 && left > 0
		changed := m.changed
		if !known || from < m.revision || ctx.Err() != nil {
			r := m.since(from)
			r.Current = known
			m.mu.Unlock()
			return r
		}
		m.mu.Unlock()
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (m *mirror) since(from store.Revision) peer.WatchResponse {
	r := peer.WatchResponse{Complete: from < m.floor, Page: store.Page{Revision: max(m.revision, from)}}
	for _, o := range m.objects {
		if (r.Complete && !o.Deleted) || (!r.Complete && o.Version > from) {
			r.Page.Objects = append(r.Page.Objects, o)
		}
	}
	return r
}

// mirrors implements peer.ObjectWatcher over the mirrors of all kinds.
type mirrors map[store.Kind]*mirror

// Watch answers a follower.
func (m mirrors) Watch(ctx context.Context, r peer.WatchRequest) peer.WatchResponse {
	kind, ok := m[r.Kind]
	if !ok {
		return peer.WatchResponse{}
	}
	return kind.watch(ctx, r.From)
}
