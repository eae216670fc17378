package conncheck

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = l.Close() }()
	near, err = net.Dial("tcp4", l.Addr().String())
	So(err, ShouldBeNil)
	far, err = l.Accept()
	So(err, ShouldBeNil)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// endsSoon waits until the end is seen.
func endsSoon(c net.Conn) bool {
	for range 1000 {
		if Closed(c) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func TestEnded(t *testing.T) {
	Convey("An idle connection is open until its peer closes it", t, func() {
		near, far := pair(t)
		So(Closed(near), ShouldBeFalse)
		So(far.Close(), ShouldBeNil)
		So(endsSoon(near), ShouldBeTrue)
	})
	Convey("Bytes that nobody asked for end it too, and stay", t, func() {
		near, far := pair(t)
		_, err := far.Write([]byte("x"))
		So(err, ShouldBeNil)
		So(endsSoon(near), ShouldBeTrue)
		var one [1]byte
		_, err = near.Read(one[:])
		So(err, ShouldBeNil)
		So(one[0], ShouldEqual, 'x')
	})
	Convey("One that is closed here has ended, and one without a descriptor counts as open", t, func() {
		near, _ := pair(t)
		So(near.Close(), ShouldBeNil)
		So(Closed(near), ShouldBeTrue)
		pipe, _ := net.Pipe()
		So(Closed(pipe), ShouldBeFalse)
	})
}
