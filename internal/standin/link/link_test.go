package link

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// echoTCP starts a server that echoes each stream and returns its address.
func echoTCP(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// echoUDP starts a server that echoes each datagram and returns its address.
func echoUDP(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(buf[:n], from)
		}
	}()
	return conn.LocalAddr().String()
}

func dial(network string, r *Relay) net.Conn {
	conn, err := net.Dial(network, r.Address().String())
	So(err, ShouldBeNil)
	return conn
}

// echoed sends a message and returns as many bytes of the answer.
func echoed(conn net.Conn, message string) string {
	_, err := conn.Write([]byte(message))
	So(err, ShouldBeNil)
	buf := make([]byte, len(message))
	_, err = io.ReadFull(conn, buf)
	So(err, ShouldBeNil)
	return string(buf)
}

// TestTCP covers the shape of a line on streams: byte counts, delay, rate limit, cut and
// reset.
func TestTCP(t *testing.T) {
	Convey("Given a relayed stream", t, func() {
		line := NewLine("l", Shape{})
		r, err := StartRelay("tcp", "127.0.0.1:0", echoTCP(t), FixedRoute(line))
		So(err, ShouldBeNil)
		defer r.Close()
		conn := dial("tcp", r)
		defer conn.Close()
		So(echoed(conn, "one"), ShouldEqual, "one")

		Convey("bytes are counted and delayed in both directions", func() {
			fromA, fromB := line.Bytes()
			So([]uint64{fromA, fromB}, ShouldResemble, []uint64{3, 3})
			line.SetShape(func(s *Shape) { s.Delay = 20 * time.Millisecond })
			begin := time.Now()
			echoed(conn, "two")
			So(time.Since(begin), ShouldBeGreaterThanOrEqualTo, 40*time.Millisecond)
		})

		Convey("a rate limit delays bytes", func() {
			line.SetShape(func(s *Shape) { s.BytesPerSecond = 1e6 })
			begin := time.Now()
			echoed(conn, strings.Repeat("x", 50_000))
			So(time.Since(begin), ShouldBeGreaterThanOrEqualTo, 50*time.Millisecond)
		})

		Convey("a cut holds the answer until the cut ends", func() {
			line.SetShape(func(s *Shape) { s.Cut = CutBToA })
			_, err := conn.Write([]byte("held"))
			So(err, ShouldBeNil)
			for _, fromB := line.Bytes(); fromB < 7; _, fromB = line.Bytes() {
				time.Sleep(time.Millisecond)
			}
			So(conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)), ShouldBeNil)
			_, err = conn.Read(make([]byte, 4))
			So(err, ShouldNotBeNil)
			So(conn.SetReadDeadline(time.Time{}), ShouldBeNil)
			line.SetShape(func(s *Shape) { s.Cut = CutNone })
			buf := make([]byte, 4)
			_, err = io.ReadFull(conn, buf)
			So(err, ShouldBeNil)
			So(string(buf), ShouldEqual, "held")
		})

		Convey("a reset closes the stream", func() {
			line.Reset()
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
		})
	})
}

// TestUDP guards the difference between a cut and a frozen line: only the frozen one
// delivers its datagrams later.
func TestUDP(t *testing.T) {
	Convey("A cut line drops datagrams, a frozen line holds them", t, func() {
		line := NewLine("l", Shape{})
		r, err := StartRelay("udp", "127.0.0.1:0", echoUDP(t), FixedRoute(line))
		So(err, ShouldBeNil)
		defer r.Close()
		conn := dial("udp", r)
		defer conn.Close()
		So(echoed(conn, "one"), ShouldEqual, "one")
		line.SetShape(func(s *Shape) { s.Cut = CutAToB })
		_, err = conn.Write([]byte("lost"))
		So(err, ShouldBeNil)
		for fromA, _ := line.Bytes(); fromA < 7; fromA, _ = line.Bytes() {
			time.Sleep(time.Millisecond)
		}
		line.SetShape(func(s *Shape) { s.Cut, s.Frozen = CutNone, true })
		_, err = conn.Write([]byte("held"))
		So(err, ShouldBeNil)
		line.SetShape(func(s *Shape) { s.Frozen = false })
		buf := make([]byte, 4)
		_, err = conn.Read(buf)
		So(err, ShouldBeNil)
		So(string(buf), ShouldEqual, "held")
	})
}

// TestFabric covers the choice of a line by source IP and the change of its shape by the
// control API.
func TestFabric(t *testing.T) {
	Convey("A fabric selects the line by the place of the source", t, func() {
		f, err := StartFabric(Config{
			Places: []PlaceConfig{{Name: "osijek", Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.11")}}},
			Lines:  []LineConfig{{Name: "inter", A: []string{"split"}, B: []string{"osijek"}}},
			Relays: []RelayConfig{{Network: "tcp", Listen: "127.0.0.1:0", To: echoTCP(t), Place: "split"}},
		})
		So(err, ShouldBeNil)
		defer f.Close()
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 11)}}
		conn, err := dialer.Dial("tcp", f.relays[0].Address().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		So(echoed(conn, "hello"), ShouldEqual, "hello")
		_, fromB := f.Line("inter").Bytes()
		So(fromB, ShouldEqual, uint64(5))

		control := httptest.NewServer(f.ControlHandler())
		defer control.Close()
		request, err := http.NewRequest(http.MethodPut, control.URL+"/lines/inter", strings.NewReader(`{"cut":"both","delay_ms":3}`))
		So(err, ShouldBeNil)
		response, err := http.DefaultClient.Do(request)
		So(err, ShouldBeNil)
		_ = response.Body.Close()
		So(f.Line("inter").Shape(), ShouldResemble, Shape{Cut: CutBoth, Delay: 3 * time.Millisecond})
	})
}
