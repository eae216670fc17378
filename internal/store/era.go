package store

import "fmt"

// Era numbers the histories of the store. The store begins a new era when it returns from
// an older copy: what it acknowledged after the copy was made is gone, and it assigns the
// revisions that followed again. The eras of a store are ordered; a later one is higher.
//
// The zero Era is that of no answer at all.
type Era uint64

// UnannouncedEra is the era of a store that has never announced one. It is lower than every
// announced era.
const UnannouncedEra Era = 1

// firstAnnouncedEra is the era that is announced as 0.
const firstAnnouncedEra = UnannouncedEra + 1

// AnnouncedEra returns the era that the store announces as n.
func AnnouncedEra(n uint64) Era {
	return firstAnnouncedEra + Era(n)
}

// String formats e as the store announces it.
func (e Era) String() string {
	switch {
	case e == 0:
		return "none"
	case e == UnannouncedEra:
		return "unannounced"
	default:
		return fmt.Sprint(uint64(e - firstAnnouncedEra))
	}
}

// Point is a point in the history of the store: a revision of one era. Revisions of two
// eras are not comparable, so Point has no order; see Reaches.
type Point struct {
	Era      Era
	Revision Revision
}

// Reaches reports whether a store that has been at p has also been at q. It reports false
// for points of two eras, which are not comparable.
func (p Point) Reaches(q Point) bool {
	return p.Era == q.Era && p.Revision >= q.Revision
}

// String formats p as era/revision.
func (p Point) String() string {
	return fmt.Sprintf("%s/%d", p.Era, p.Revision)
}
