package failover

import (
	"slices"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// maxRevisionEntries bounds the revisions that are remembered; at 20 store changes per
// second they cover the longest interval that the promotion lock measures.
const maxRevisionEntries = 256

// revisionHistory records when the store was first seen at each revision. An object whose
// version is at or below a recorded revision has not changed since that time.
type revisionHistory struct {
	mu      sync.Mutex
	entries []revisionEntry // guarded by mu; ascending in time and in revision
}

// revisionEntry is a revision of the store and the time since boot at which it was first
// seen.
type revisionEntry struct {
	revision store.Revision
	at       time.Duration
}

// add records that the store has reached a revision; a revision that is not above the
// latest entry is ignored. When the history is full its older half is dropped.
func (r *revisionHistory) add(revision store.Revision, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.entries); n > 0 && revision <= r.entries[n-1].revision {
		return
	}
	if len(r.entries) == maxRevisionEntries {
		r.entries = slices.Delete(r.entries, 0, maxRevisionEntries/2)
	}
	r.entries = append(r.entries, revisionEntry{revision, now})
}

// firstSeen returns the time since boot at which the store was first seen at the revision
// or a later one, and false if it has not been seen there.
func (r *revisionHistory) firstSeen(revision store.Revision) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, _ := slices.BinarySearchFunc(r.entries, revision, func(s revisionEntry, wanted store.Revision) int {
		switch {
		case s.revision < wanted:
			return -1
		case s.revision > wanted:
			return 1
		default:
			return 0
		}
	})
	if i == len(r.entries) {
		return 0, false
	}
	return r.entries[i].at, true
}
