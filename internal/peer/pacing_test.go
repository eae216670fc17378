package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against pages that take up the whole link of a relay, answers without a page that wait
// behind pages, and pages that are sent after their followers have given them up.
func TestPagePacer(t *testing.T) {
	Convey("Pages follow each other at three quarters of the link", t, func() {
		var p pagePacer
		const page, linkMbps = 93_750, 10
		at := func(now time.Duration) time.Duration {
			delay, ok := p.reserve(now, page, linkMbps)
			So(ok, ShouldBeTrue)
			return delay
		}
		So(at(time.Second), ShouldEqual, 0)
		So(at(time.Second), ShouldEqual, 100*time.Millisecond)
		So(at(time.Second+50*time.Millisecond), ShouldEqual, 150*time.Millisecond)
		So(at(2*time.Second), ShouldEqual, 0)
	})
	Convey("An answer without a page is not delayed", t, func() {
		var p pagePacer
		for _, size := range []int{1 << 20, 0} {
			delay, ok := p.reserve(time.Second, size, 10)
			So(delay, ShouldEqual, 0)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("A page that would wait longer than its follower does is refused and takes no time of the link", t, func() {
		var p pagePacer
		sent, refused := 0, 0
		for range 100 {
			if _, ok := p.reserve(time.Second, 93_750, 10); ok {
				sent++
			} else {
				refused++
			}
		}
		So(sent, ShouldEqual, 31) // one every 100 ms, until maxPageDelay
		So(refused, ShouldEqual, 69)
		delay, ok := p.reserve(time.Second+200*time.Millisecond, 93_750, 10)
		So(ok, ShouldBeTrue)
		So(delay, ShouldEqual, 2900*time.Millisecond)
	})
	Convey("Pages are not delayed without a declared link", t, func() {
		var p pagePacer
		for range 3 {
			delay, ok := p.reserve(time.Second, 1<<20, 0)
			So(delay, ShouldEqual, 0)
			So(ok, ShouldBeTrue)
		}
	})
}
