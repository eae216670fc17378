package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against pages that take up the whole link of a relay, and against pages that are
// delayed on a link that is free or not declared.
func TestPagePacer(t *testing.T) {
	Convey("Pages follow each other at three quarters of the link", t, func() {
		var p pagePacer
		const page, linkMbps = 93_750, 10
		So(p.reserve(time.Second, page, linkMbps), ShouldEqual, 0)
		So(p.reserve(time.Second, page, linkMbps), ShouldEqual, 100*time.Millisecond)
		So(p.reserve(time.Second+50*time.Millisecond, page, linkMbps), ShouldEqual, 150*time.Millisecond)
		So(p.reserve(2*time.Second, page, linkMbps), ShouldEqual, 0)
	})
	Convey("Pages are not delayed without a declared link", t, func() {
		var p pagePacer
		for range 3 {
			So(p.reserve(time.Second, 1<<20, 0), ShouldEqual, 0)
		}
	})
}
