package target

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWatchedMutex(t *testing.T) {
	Convey("A mutex knows who took it last, also after it was given back", t, func() {
		var m watchedMutex
		So(m.lastHolder(), ShouldEqual, "nobody")
		m.Lock()
		So(m.lastHolder(), ShouldContainSubstring, "TestWatchedMutex")
		m.Unlock()
		So(m.lastHolder(), ShouldContainSubstring, "TestWatchedMutex")
	})
	Convey("It excludes", t, func() {
		var m watchedMutex
		n, done := 0, make(chan struct{})
		for range 4 {
			go func() {
				for range 1000 {
					m.Lock()
					n++
					m.Unlock()
				}
				done <- struct{}{}
			}()
		}
		for range 4 {
			<-done
		}
		So(n, ShouldEqual, 4000)
	})
}
