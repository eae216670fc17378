package failover

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

func TestRevisions(t *testing.T) {
	Convey("An object is unchanged since the store was first seen at its revision or a later one", t, func() {
		var r revisionHistory
		_, ok := r.firstSeen(1)
		So(ok, ShouldBeFalse)
		r.add(10, 10*time.Second)
		r.add(20, 20*time.Second)
		r.add(20, 25*time.Second)
		r.add(15, 26*time.Second) // an older revision is ignored
		cases := map[store.Revision]time.Duration{3: 10 * time.Second, 10: 10 * time.Second, 11: 20 * time.Second, 20: 20 * time.Second}
		for revision, at := range cases {
			since, ok := r.firstSeen(revision)
			So(ok, ShouldBeTrue)
			So(since, ShouldEqual, at)
		}
		_, ok = r.firstSeen(21)
		So(ok, ShouldBeFalse)
	})
	Convey("The history is bounded, and a dropped revision counts from the oldest entry that remains", t, func() {
		var r revisionHistory
		for i := range 10 * maxRevisionEntries {
			r.add(store.Revision(i+1), time.Duration(i)*time.Millisecond)
		}
		So(len(r.entries), ShouldBeLessThanOrEqualTo, maxRevisionEntries)
		since, ok := r.firstSeen(1)
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, r.entries[0].at)
	})
}
