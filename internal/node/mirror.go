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

// mirror is a copy of the objects of one kind that a relay serves to its followers.
type mirror struct {
	// maxAge is how long after currentAsOf the copy counts as current. Followers of a
	// relay without a current copy call the store themselves.
	maxAge time.Duration

	mu       sync.Mutex
	objects  map[string]store.Object // guarded by mu; removed ones have Deleted set
	era      store.Era               // guarded by mu; of revision and of all objects
	revision store.Revision          // guarded by mu
	// baseRevision is the revision from which on all removals are known: that of the
	// first listing, or that at which tombstones were last dropped.
	baseRevision store.Revision // guarded by mu
	currentAsOf  time.Duration  // guarded by mu; since boot, 0 before the first answer of the store
	changed      chan struct{}  // guarded by mu; closed at the next change
	// failing is whether the last call to the store failed.
	failing bool // guarded by mu
	// loading is whether the first listing is being read from the store.
	loading bool // guarded by mu
}

// newMirror returns an empty mirror that watches with the given wait keep current.
func newMirror(wait time.Duration) *mirror {
	return &mirror{maxAge: wait + watchSlack, objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// fromRelay is passed as time for a page that a relay sent: the copy is complete,
// but only an answer of the store shows that it is current.
const fromRelay time.Duration = 0

// replace applies a listing; known objects that it lacks become tombstones. A listing of a
// later era replaces the copy without tombstones: followers of the earlier era get all
// objects. One of an earlier era is ignored. asOf is the time since boot at which the
// listing was current, or fromRelay.
func (m *mirror) replace(asOf time.Duration, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case page.Era < m.era:
		return
	case page.Era > m.era:
		clear(m.objects)
		m.era, m.revision, m.baseRevision, m.currentAsOf = page.Era, 0, 0, 0
	}
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
	if m.baseRevision == 0 {
		m.baseRevision = page.Revision
	}
	m.advance(asOf, page.Revision)
}

// change applies the changes of a watch. Changes of another era than the copy's are ignored:
// a later era begins with a listing. asOf is the time since boot at which they were current,
// or fromRelay.
func (m *mirror) change(asOf time.Duration, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Era != m.era {
		return
	}
	for _, o := range page.Objects {
		if o.Deleted {
			o.Version = page.Revision
		}
		m.objects[o.Name] = o
	}
	m.advance(asOf, page.Revision)
}

// maxTombstones is the number of removed objects above which a mirror drops them.
const maxTombstones = 1000

// pruneTombstones drops the removed objects if there are more than maxTombstones.
// Followers that have not seen these removals get all objects. m.mu must be held.
func (m *mirror) pruneTombstones() {
	removed := 0
	for _, o := range m.objects {
		if o.Deleted {
			removed++
		}
	}
	if removed <= maxTombstones {
		return
	}
	maps.DeleteFunc(m.objects, func(_ string, o store.Object) bool { return o.Deleted })
	m.baseRevision = m.revision
}

// advance records the time and revision of a page, and wakes the waiting followers if
// the revision has grown or the store has confirmed the copy anew. m.mu must be held.
func (m *mirror) advance(asOf time.Duration, revision store.Revision) {
	confirmed := asOf > m.currentAsOf
	if confirmed {
		m.currentAsOf, m.failing = asOf, false
	}
	if revision > m.revision {
		m.revision = revision
		m.pruneTombstones()
	} else if !confirmed {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// grace returns how long a follower waits for a copy that is not current.
func (m *mirror) grace() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era == 0 {
		return startGrace
	}
	return takeoverGrace
}

// setLoading records whether the first listing is being read, and wakes the followers that
// wait for it once it is not.
func (m *mirror) setLoading(loading bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loading == loading {
		return
	}
	m.loading = loading
	if !loading {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// setFailing records that a call to the store failed, and wakes the followers that then call
// it themselves.
func (m *mirror) setFailing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return
	}
	m.failing = true
	close(m.changed)
	m.changed = make(chan struct{})
}

// currentFor returns how much longer the copy counts as current; it is not positive if it
// does not. m.mu must be held.
func (m *mirror) currentFor() time.Duration {
	if m.currentAsOf == 0 {
		return 0
	}
	return m.currentAsOf + m.maxAge - boottime.Now()
}

// isEmpty reports whether the mirror has never had a copy.
func (m *mirror) isEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision == 0
}

// isCurrent reports whether the copy counts as current.
func (m *mirror) isCurrent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentFor() > 0
}

// takeoverGrace is how long a follower waits at a relay that has just become one, for the
// answer to the relay's first call to the store.
const takeoverGrace = 150 * time.Millisecond

// startGrace is the same for a relay that has no copy at all, because it has just started:
// in a fleet that restarts at once, followers may know of their relay before it does.
const startGrace = 500 * time.Millisecond

// loadingCheckInterval bounds the wait of a follower between two checks whether the first
// listing is still being read.
const loadingCheckInterval = time.Second

// watch answers a follower with the changes after from, or with all objects if the mirror
// does not know all removals since then. It waits for a change until ctx ends or the copy is no
// longer current; Current in the response reports whether the copy is current. A copy that is
// not current at first may become so within takeoverGrace, or once the first listing has been
// read. With confirmations, which relays of other failure domains ask for, it also waits for
// the next confirmation by the store only, and the copy is not current after a failed call.
func (m *mirror) watch(ctx context.Context, from store.Point, confirmations bool) peer.WatchResponse {
	received := boottime.Now()
	graceEnd := received + m.grace()
	for {
		m.mu.Lock()
		remaining := m.currentFor()
		current := remaining > 0 && from.Era <= m.era && !(confirmations && m.failing)
		switch {
		case !current && m.loading:
			remaining = loadingCheckInterval
		case !current:
			remaining = graceEnd - boottime.Now()
		default:
			graceEnd = 0
		}
		changed := m.changed
		confirmed := confirmations && m.currentAsOf > received
		if remaining <= 0 || current && (confirmed || m.isPast(from)) || ctx.Err() != nil {
			r := m.changesSince(from)
			r.Current, r.ConfirmedAfter = current, m.currentAsOf-received
			m.mu.Unlock()
			return r
		}
		m.mu.Unlock()
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// isPast reports whether the copy has changes that a follower at from lacks. Any copy of a
// later era has. m.mu must be held.
func (m *mirror) isPast(from store.Point) bool {
	return from.Era != m.era || from.Revision < m.revision
}

// changesSince returns the objects that changed after from, or all objects. m.mu must be
// held.
func (m *mirror) changesSince(from store.Point) peer.WatchResponse {
	r := peer.WatchResponse{Complete: from.Era != m.era || from.Revision < m.baseRevision, Page: store.Page{Era: m.era, Revision: m.revision}}
	if !r.Complete {
		r.Page.Revision = max(m.revision, from.Revision)
	}
	for _, o := range m.objects {
		if (r.Complete && !o.Deleted) || (!r.Complete && o.Version > from.Revision) {
			r.Page.Objects = append(r.Page.Objects, o)
		}
	}
	return r
}

// mirrors implements peer.ObjectWatcher with a mirror per kind of object.
type mirrors map[store.Kind]*mirror

// Watch answers a follower; the response for an unknown kind is empty.
func (m mirrors) Watch(ctx context.Context, r peer.WatchRequest) peer.WatchResponse {
	kindMirror, ok := m[r.Kind]
	if !ok {
		return peer.WatchResponse{}
	}
	return kindMirror.watch(ctx, r.Point(), r.Confirmations)
}
