package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/standin/link"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// fakeHome echoes batches. A batch "wait" blocks until canceled or given up, a
// batch "open" leaves the transaction open.
type fakeHome struct {
	mu       sync.Mutex
	headers  []wireunit.Header
	canceled []string
	closed   int
	started  chan struct{}
	ended    chan struct{}
}

func newFakeHome() *fakeHome {
	return &fakeHome{started: make(chan struct{}, 16), ended: make(chan struct{}, 16)}
}

func (f *fakeHome) Open(_ context.Context, h wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.headers = append(f.headers, h)
	if h.Database == "refused" {
		return nil, outcome.Refuse(outcome.QueueFull, time.Second, "full")
	}
	return &fakeUnit{home: f, name: h.Database, cancel: make(chan struct{}, 1)}, outcome.Outcome{}
}

func (f *fakeHome) canceledUnits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.canceled...)
}

type fakeUnit struct {
	home   *fakeHome
	name   string
	cancel chan struct{}
}

func (u *fakeUnit) Exchange(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	switch string(b.Messages) {
	case "wait":
		u.home.started <- struct{}{}
		select {
		case <-u.cancel:
			return wireunit.Result{Outcome: outcome.Refuse(outcome.Canceled, 0, "canceled"), Status: wireunit.TxIdle}
		case <-ctx.Done():
			u.home.ended <- struct{}{}
			return wireunit.Result{Outcome: outcome.Unclear(outcome.TargetLost, "given up"), Status: wireunit.TxIdle}
		}
	case "open":
		return wireunit.Result{Status: wireunit.TxOpen}
	default:
		if _, err := sink.Write(b.Messages); err != nil {
			return wireunit.Result{Outcome: outcome.Unclear(outcome.TargetLost, "%v", err), Status: wireunit.TxIdle}
		}
		return wireunit.Result{Status: wireunit.TxIdle, Position: position.Position{Term: 2, Index: 7}}
	}
}

func (u *fakeUnit) Cancel() {
	u.home.mu.Lock()
	u.home.canceled = append(u.home.canceled, u.name)
	u.home.mu.Unlock()
	u.cancel <- struct{}{}
}

func (u *fakeUnit) Close() {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	u.home.closed++
}

// fakeObserver records which VMs were found silent.
type fakeObserver struct {
	silent chan string
}

func (o *fakeObserver) Heard(fleet.VM)     {}
func (o *fakeObserver) Silent(vm fleet.VM) { o.silent <- vm.Name }

type pair struct {
	home   *fakeHome
	server *Server
	client *Client
	vm     fleet.VM
	silent chan string
	// line carries all that the client sends and gets.
	line *link.Line
}

func (c *connection) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

func udp(t *testing.T) net.PacketConn {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// listen opens a UDP socket and a TCP listener at one address.
func listen(t testing.TB) (net.PacketConn, net.Listener) {
	t.Helper()
	for {
		streams, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		socket, err := net.ListenPacket("udp", streams.Addr().String())
		if err != nil {
			// The UDP port of that number is taken.
			_ = streams.Close()
			continue
		}
		t.Cleanup(func() { _ = socket.Close() })
		return socket, streams
	}
}

func keys(t *testing.T, secret string) *Keys {
	t.Helper()
	k, err := KeysFromSecret(secret)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func newPair(t *testing.T, clientSecret string) *pair {
	t.Helper()
	p := &pair{home: newFakeHome(), silent: make(chan string, 16)}
	socket, streams := listen(t)
	handlers := map[string]Handler{
		"echo": func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
		"fail": func(context.Context, []byte) ([]byte, error) { return nil, errors.New("no luck") },
	}
	server, err := Listen(socket, streams, keys(t, "secret"), p.home, handlers, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	p.server = server
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background()) }()
	p.client = NewClient(udp(t), keys(t, clientSecret), &fakeObserver{silent: p.silent}, metrics.NewSet())
	p.vm = fleet.VM{Name: "vm", Peer: p.relay(t, streams.Addr().String())}
	t.Cleanup(func() {
		_ = p.client.Close()
		_ = server.Close()
		<-served
	})
	return p
}

// relay puts a line in front of the server, at another address of the same port.
func (p *pair) relay(t *testing.T, to string) netip.AddrPort {
	t.Helper()
	p.line = link.NewLine("peer", link.Shape{})
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), netip.MustParseAddrPort(to).Port())
	for _, network := range []string{"tcp", "udp"} {
		relay, err := link.StartRelay(network, at.String(), to, link.FixedRoute(p.line))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(relay.Close)
	}
	return at
}

// connection returns the client's connection to the server.
func (p *pair) connection() *connection {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	return p.client.peers[p.vm.Peer]
}

func (p *pair) open(database string) wireunit.Unit {
	u, o := p.client.Opener(p.vm).Open(context.Background(), wireunit.Header{Service: "svc", Database: database})
	So(o.OK(), ShouldBeTrue)
	return u
}

func run(u wireunit.Unit, text string, sink io.Writer) wireunit.Result {
	return u.Exchange(context.Background(), wireunit.Batch{Messages: []byte(text)}, sink)
}

func TestUnits(t *testing.T) {
	Convey("Given two daemons", t, func() {
		p := newPair(t, "secret")

		Convey("a unit is carried there and its answer back", func() {
			var sink bytes.Buffer
			r := run(p.open("db"), "hello", &sink)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(r.Position, ShouldResemble, position.Position{Term: 2, Index: 7})
			So(sink.String(), ShouldEqual, "hello")
		})

		Convey("units reuse one stream", func() {
			for range 5 {
				So(run(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			}
			So(p.connection().idle, ShouldHaveLength, 1)
			So(p.connection().idle[0].number, ShouldEqual, 5)
		})

		Convey("a refusal comes back whole", func() {
			r := run(p.open("refused"), "x", io.Discard)
			So(r.Outcome, ShouldResemble, outcome.Refuse(outcome.QueueFull, time.Second, "full"))
		})

		Convey("a large answer arrives whole", func() {
			large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
			var sink bytes.Buffer
			So(run(p.open("db"), string(large), &sink).Outcome.OK(), ShouldBeTrue)
			So(bytes.Equal(sink.Bytes(), large), ShouldBeTrue)
		})

		Convey("a cancel reaches its own unit only", func() {
			u := p.open("first")
			done := make(chan wireunit.Result, 1)
			go func() { done <- run(u, "wait", io.Discard) }()
			<-p.home.started
			u.Cancel()
			So((<-done).Outcome.Reason, ShouldEqual, outcome.Canceled)
			u.Cancel()
			So(run(p.open("second"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			So(p.home.canceledUnits(), ShouldResemble, []string{"first"})
		})

		Convey("an entry that gives up ends the work at the home", func() {
			ctx, cancel := context.WithCancel(context.Background())
			u := p.open("db")
			done := make(chan wireunit.Result, 1)
			go func() { done <- u.Exchange(ctx, wireunit.Batch{Messages: []byte("wait")}, io.Discard) }()
			<-p.home.started
			cancel()
			So((<-done).Outcome.Kind, ShouldEqual, outcome.Unknown)
			<-p.home.ended
		})

		Convey("a home that goes down while it works leaves the outcome unknown", func() {
			u := p.open("db")
			done := make(chan wireunit.Result, 1)
			go func() { done <- run(u, "wait", io.Discard) }()
			<-p.home.started
			So(p.server.Close(), ShouldBeNil)
			r := <-done
			So(r.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(r.Outcome.Reason, ShouldEqual, outcome.HomeLost)
			So(<-p.silent, ShouldEqual, "vm")
		})

		Convey("a transaction of a home that went down says so", func() {
			u := p.open("db")
			So(run(u, "open", io.Discard).Status, ShouldEqual, wireunit.TxOpen)
			u.Close()
			So(run(u, "x", io.Discard).Outcome.Reason, ShouldEqual, outcome.TransactionLost)
		})

		Convey("a connection that was idle is checked before use, and replaced if the peer is gone", func() {
			So(run(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			first := p.connection()
			idle := func() { first.lastUse = time.Now().Add(-2 * staleAfter) }
			idle()
			So(run(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			So(p.connection() == first, ShouldBeTrue)

			idle()
			p.line.SetShape(func(s *link.Shape) { s.Frozen = true })
			_, o := p.client.Opener(p.vm).Open(context.Background(), wireunit.Header{})
			So(o.Kind, ShouldEqual, outcome.Refused)
			So(o.Reason, ShouldEqual, outcome.HomeUnreachable)
			So(p.connection() == first, ShouldBeFalse)
		})

		Convey("a server that leaves ends its connections after their last unit", func() {
			u := p.open("db")
			So(run(u, "open", io.Discard).Status, ShouldEqual, wireunit.TxOpen)
			first := p.connection()
			left := make(chan struct{})
			go func() {
				p.server.Shutdown(context.Background())
				close(left)
			}()
			for !first.isRetired() {
				time.Sleep(time.Millisecond)
			}
			var sink bytes.Buffer
			So(run(u, "last", &sink).Outcome.OK(), ShouldBeTrue)
			So(sink.String(), ShouldEqual, "last")
			<-left
		})

		Convey("a home that falls silent while it works leaves the outcome unknown", func() {
			u := p.open("db")
			done := make(chan wireunit.Result, 1)
			go func() { done <- run(u, "wait", io.Discard) }()
			<-p.home.started
			p.line.SetShape(func(s *link.Shape) { s.Frozen = true })
			So((<-done).Outcome.Reason, ShouldEqual, outcome.HomeLost)
			So(<-p.silent, ShouldEqual, "vm")
		})

		Convey("control calls answer or say why not", func() {
			answer, err := p.client.Call(context.Background(), p.vm, "echo", []byte("ping"))
			So(err, ShouldBeNil)
			So(string(answer), ShouldEqual, "ping")
			_, err = p.client.Call(context.Background(), p.vm, "fail", nil)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "no luck")
			_, err = p.client.Call(context.Background(), p.vm, "nothing", nil)
			So(err.Error(), ShouldContainSubstring, "unknown method")
		})

		Convey("a malformed stream is reset and the others go on", func() {
			conn, err := p.client.connect(context.Background(), p.vm)
			So(err, ShouldBeNil)
			for _, garbage := range []string{"\xff\xff\xff\xff\x01", "\x00\x00\x00\x01\x63x", "\x00\x00\x00\x02\x01xx"} {
				stream, err := conn.quic.OpenStreamSync(context.Background())
				So(err, ShouldBeNil)
				_, err = stream.Write([]byte(garbage))
				So(err, ShouldBeNil)
				_, err = stream.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
			}
			So(run(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
		})
	})

	Convey("A peer with another authority is not let in", t, func() {
		p := newPair(t, "other")
		_, o := p.client.Opener(p.vm).Open(context.Background(), wireunit.Header{})
		So(o.Reason, ShouldEqual, outcome.HomeUnreachable)
		So(o.Kind, ShouldEqual, outcome.Refused)
	})
}

func FuzzFrame(f *testing.F) {
	var buffer bytes.Buffer
	w := newWriter(&buffer)
	_ = w.message(kindOpen, openMessage{Unit: 1, Header: wireunit.Header{Service: "s"}})
	_ = w.message(kindBatch, wireunit.Batch{Messages: []byte("x")})
	_ = w.flush()
	f.Add(buffer.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newReader(bytes.NewReader(data))
		for {
			_, body, err := r.next()
			if err != nil {
				return
			}
			var open openMessage
			var batch wireunit.Batch
			var result wireunit.Result
			_ = decode(body, &open)
			_ = decode(body, &batch)
			_ = decode(body, &result)
		}
	})
}

func BenchmarkUnit(b *testing.B) {
	home := newFakeHome()
	socket, streams := listen(b)
	k, err := KeysFromSecret("secret")
	if err != nil {
		b.Fatal(err)
	}
	server, err := Listen(socket, streams, k, home, nil, metrics.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(context.Background()) }()
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := NewClient(other, k, &fakeObserver{silent: make(chan string, 1)}, metrics.NewSet())
	vm := fleet.VM{Name: "vm", Peer: netip.MustParseAddrPort(socket.LocalAddr().String())}
	batch := wireunit.Batch{Messages: bytes.Repeat([]byte("x"), 200)}
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			u, o := client.Opener(vm).Open(context.Background(), wireunit.Header{Service: "s", Database: "d"})
			if !o.OK() {
				b.Error(o)
				return
			}
			if r := u.Exchange(context.Background(), batch, io.Discard); !r.Outcome.OK() {
				b.Error(r.Outcome)
				return
			}
		}
	})
	b.StopTimer()
	_ = client.Close()
	_ = server.Close()
}
