package failover

import (
	"slices"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// maxSightings bounds the revisions that are remembered; a store that changes 20 times
// a second is remembered for as long as the promotion lock's times need.
const maxSightings = 256

// revisions remembers when the store was first seen at each revision. An object of an
// older revision has not changed since.
type revisions struct {
	mu        sync.Mutex
	sightings []sighting // guarded by mu; in the order of time, and of revisions
}

// sighting says that the store had reached a revision at a time since boot.
type sighting struct {
	revision store.Revision
	at       time.Duration
}

// saw notes that the store has reached a revision.
func (r *revisions) saw(revision store.Revision, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.sightings); n > 0 && revision <= r.sightings[n-1].revision {
		return
	}
	if len(r.sightings) == maxSightings {
		r.sightings = slices.Delete(r.sightings, 0, maxSightings/2)
	}
	r.sightings = append(r.sightings, sighting{revision, now})
}

// since returns from when on the store is known to have reached a revision, and false
// if it is not known to.
func (r *revisions) since(revision store.Revision) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, _ := slices.BinarySearchFunc(r.sightings, revision, func(s sighting, wanted store.Revision) int {
		switch {
		case s.revision < wanted:
			return -1
		case s.revision > wanted:
			return 1
		default:
			return 0
		}
	})
	if i == len(r.sightings) {
		return 0, false
	}
	return r.sightings[i].at, true
}
