package failover

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// at returns a revision of the first era of the tests.
func at(r store.Revision) store.Point {
	return store.Point{Era: store.AnnouncedEra(1), Revision: r}
}

func TestRevisions(t *testing.T) {
	Convey("An object is unchanged since the store was first seen at its revision or a later one", t, func() {
		var r revisionHistory
		_, ok := r.firstSeen(at(1))
		So(ok, ShouldBeFalse)
		r.add(at(10), 10*time.Second)
		r.add(at(20), 20*time.Second)
		r.add(at(20), 25*time.Second)
		r.add(at(15), 26*time.Second) // an older revision is ignored
		cases := map[store.Revision]time.Duration{3: 10 * time.Second, 10: 10 * time.Second, 11: 20 * time.Second, 20: 20 * time.Second}
		for revision, first := range cases {
			since, ok := r.firstSeen(at(revision))
			So(ok, ShouldBeTrue)
			So(since, ShouldEqual, first)
		}
		_, ok = r.firstSeen(at(21))
		So(ok, ShouldBeFalse)
	})
	Convey("The history is bounded, and a dropped revision counts from the oldest entry that remains", t, func() {
		var r revisionHistory
		for i := range 10 * maxRevisionEntries {
			r.add(at(store.Revision(i+1)), time.Duration(i)*time.Millisecond)
		}
		So(len(r.entries), ShouldBeLessThanOrEqualTo, maxRevisionEntries)
		since, ok := r.firstSeen(at(1))
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, r.entries[0].at)
	})
	// Guards against a takeover that is too early: the store was seen at revision 60 in
	// second 1 and at 100 in second 2, returned at 60, and another holder wrote revision 61
	// in second 10.
	Convey("A new era makes the history void", t, func() {
		var r revisionHistory
		r.add(at(60), time.Second)
		r.add(at(100), 2*time.Second)
		later := store.Point{Era: store.AnnouncedEra(2), Revision: 61}
		r.add(later, 10*time.Second)
		since, ok := r.firstSeen(later)
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, 10*time.Second)
		_, ok = r.firstSeen(at(61))
		So(ok, ShouldBeFalse)
		r.add(at(101), 11*time.Second) // an answer of the ended era is ignored
		_, ok = r.firstSeen(store.Point{Era: store.AnnouncedEra(2), Revision: 101})
		So(ok, ShouldBeFalse)
	})
}
