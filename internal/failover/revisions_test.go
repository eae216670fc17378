package failover

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

func TestRevisions(t *testing.T) {
	Convey("An object has not changed since the store was first seen at its revision or above", t, func() {
		var r revisions
		_, ok := r.since(1)
		So(ok, ShouldBeFalse)
		r.saw(10, 10*time.Second)
		r.saw(20, 20*time.Second)
		r.saw(20, 25*time.Second)
		r.saw(15, 26*time.Second) // an older copy says nothing new
		cases := map[store.Revision]time.Duration{3: 10 * time.Second, 10: 10 * time.Second, 11: 20 * time.Second, 20: 20 * time.Second}
		for revision, at := range cases {
			since, ok := r.since(revision)
			So(ok, ShouldBeTrue)
			So(since, ShouldEqual, at)
		}
		_, ok = r.since(21)
		So(ok, ShouldBeFalse)
	})
	Convey("What is remembered is bounded, and what was forgotten counts from later", t, func() {
		var r revisions
		for i := range 10 * maxSightings {
			r.saw(store.Revision(i+1), time.Duration(i)*time.Millisecond)
		}
		So(len(r.sightings), ShouldBeLessThanOrEqualTo, maxSightings)
		since, ok := r.since(1)
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, r.sightings[0].at)
	})
}
