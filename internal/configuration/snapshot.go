package configuration

import (
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Snapshot is one immutable state of the configuration. Its maps must not be modified.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot holds all changes.
	Revision store.Revision
	// LastChange is the revision of the last change of the configuration, or a later
	// one up to Revision. A daemon whose Revision is not lower than the LastChange of
	// another daemon holds all changes that the other one holds.
	LastChange store.Revision

	Services  map[string]Versioned[Service]
	Callers   map[string]Versioned[Caller]
	Policies  map[string]Versioned[ReadPolicy]
	Operators map[string]Versioned[Operator]
	Regions   map[string]Versioned[Region]
	Drains    map[string]Versioned[Drain]

	// Rejected holds the objects whose newest version is not valid. The maps above
	// keep their last valid version, if there is one.
	Rejected map[store.Key]Rejection

	// regionOf maps a failure domain to its region.
	regionOf map[string]string
	// raw holds the newest version of every object as stored, valid or not. Transfers
	// send it, so that peers also receive the fields that only newer daemons know.
	raw map[store.Key]store.Object
	// removed holds the revision of each removal after removalFloor.
	removed map[store.Key]store.Revision
	// hash covers the key and version of every object of raw.
	hash uint64
	// removalFloor is the revision after which removed holds every removal.
	removalFloor store.Revision
}

// Rejection is the version of an object that is not valid, with the reason.
type Rejection struct {
	Version store.Revision
	Err     error
}

// Empty returns a snapshot without objects at revision 0.
func Empty() *Snapshot {
	s := &Snapshot{
		Services:  map[string]Versioned[Service]{},
		Callers:   map[string]Versioned[Caller]{},
		Policies:  map[string]Versioned[ReadPolicy]{},
		Operators: map[string]Versioned[Operator]{},
		Regions:   map[string]Versioned[Region]{},
		Drains:    map[string]Versioned[Drain]{},
		Rejected:  map[store.Key]Rejection{},
		regionOf:  map[string]string{},
		raw:       map[store.Key]store.Object{},
		removed:   map[store.Key]store.Revision{},
	}
	s.hash = s.computeHash()
	return s
}

// RegionOf returns the region of a failure domain, or "" if no region declares it.
func (s *Snapshot) RegionOf(failureDomain string) string {
	return s.regionOf[failureDomain]
}

// Database returns a database of a service and whether it exists.
func (s *Snapshot) Database(service, database string) (Database, bool) {
	svc, ok := s.Services[service]
	if !ok {
		return Database{}, false
	}
	for _, db := range svc.Value.Databases {
		if db.Name == database {
			return db, true
		}
	}
	return Database{}, false
}

// Drained reports whether a target or VM is drained and so gets no new work.
func (s *Snapshot) Drained(kind DrainKind, name string) bool {
	_, ok := s.Drains[string(kind)+":"+name]
	return ok
}

// Source provides the current snapshot. Current is called for every request and must
// not block.
type Source interface {
	Current() *Snapshot
}

// Static is a Source that always returns the same snapshot.
type Static struct {
	Snapshot *Snapshot
}

// Current returns the snapshot.
func (s Static) Current() *Snapshot {
	return s.Snapshot
}
