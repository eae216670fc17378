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

// revisionHistory records when the store was first seen at each revision of its present
// era. An object whose version is at or below a recorded revision has not changed since
// that time.
type revisionHistory struct {
	mu      sync.Mutex
	era     store.Era       // guarded by mu; the highest era seen
	entries []revisionEntry // guarded by mu; of era, ascending in time and in revision
}

// revisionEntry is a revision of the store and the time since boot at which it was first
// seen.
type revisionEntry struct {
	revision store.Revision
	at       time.Duration
}

// add records that the store has reached a point. A new era makes the history void: it
// assigns its revisions to other changes. A point of an earlier era, or one that is not
// above the latest entry, is ignored. When the history is full its older half is dropped.
func (r *revisionHistory) add(at store.Point, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era > r.era {
		r.era, r.entries = at.Era, nil
	}
	if n := len(r.entries); at.Era < r.era || n > 0 && at.Revision <= r.entries[n-1].revision {
		return
	}
	if len(r.entries) == maxRevisionEntries {
		r.entries = slices.Delete(r.entries, 0, maxRevisionEntries/2)
	}
	r.entries = append(r.entries, revisionEntry{at.Revision, now})
}

// firstSeen returns the time since boot at which the store was first seen at the point or
// a later one of the same era. It reports false if it has not been seen there, or the era
// is not the present one.
func (r *revisionHistory) firstSeen(at store.Point) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era != r.era {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(r.entries, at.Revision, func(s revisionEntry, wanted store.Revision) int {
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
