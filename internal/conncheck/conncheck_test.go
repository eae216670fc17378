package conncheck

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far net.Conn) {
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

// isEventuallyClosed reports whether Closed returns true for c within about 1 s.
func isEventuallyClosed(c net.Conn) bool {
	for range 1000 {
		if Closed(c) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Also guards against idle connections that are closed and opened again because the deadline
// of their last statement has passed.
func TestClosed(t *testing.T) {
	Convey("An idle connection is open until its peer closes it", t, func() {
		near, far := connPair(t)
		So(Closed(near), ShouldBeFalse)
		So(far.Close(), ShouldBeNil)
		So(isEventuallyClosed(near), ShouldBeTrue)
	})
	Convey("A connection with unread bytes counts as closed, and the bytes are not consumed", t, func() {
		near, far := connPair(t)
		_, err := far.Write([]byte("x"))
		So(err, ShouldBeNil)
		So(isEventuallyClosed(near), ShouldBeTrue)
		var one [1]byte
		_, err = near.Read(one[:])
		So(err, ShouldBeNil)
		So(one[0], ShouldEqual, 'x')
	})
	Convey("A connection is open after the deadline of its last read has passed", t, func() {
		near, _ := connPair(t)
		So(near.SetDeadline(time.Now().Add(-time.Second)), ShouldBeNil)
		So(Closed(near), ShouldBeFalse)
	})
	Convey("A locally closed connection counts as closed, and one without a descriptor as open", t, func() {
		near, _ := connPair(t)
		So(near.Close(), ShouldBeNil)
		So(Closed(near), ShouldBeTrue)
		pipe, _ := net.Pipe()
		So(Closed(pipe), ShouldBeFalse)
	})
}
