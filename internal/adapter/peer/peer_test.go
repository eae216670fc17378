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

// fakeHome opens units that echo batches. The batch "wait" blocks until it is canceled or
// its context ends, and the batch "open" leaves the transaction open. Units of the
// database "refused" are refused.
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
			return wireunit.Result{Outcome: outcome.UnknownOutcome(outcome.TargetLost, "context ended"), Status: wireunit.TxIdle}
		}
	case "open":
		return wireunit.Result{Status: wireunit.TxOpen}
	default:
		if _, err := sink.Write(b.Messages); err != nil {
			return wireunit.Result{Outcome: outcome.UnknownOutcome(outcome.TargetLost, "%v", err), Status: wireunit.TxIdle}
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

// fakeObserver sends the names of the VMs that are reported silent to a channel.
type fakeObserver struct {
	silent chan string
}

func (o *fakeObserver) PeerResponded(fleet.VM)      {}
func (o *fakeObserver) PeerUnreachable(vm fleet.VM) { o.silent <- vm.Name }

// testPeers is a server and a client that is connected to it through a simulated link.
type testPeers struct {
	home   *fakeHome
	server *Server
	client *Client
	vm     fleet.VM
	silent chan string
	// line shapes all traffic between client and server.
	line *link.Line
}

func (c *connection) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// listenUDP opens a UDP socket that is closed at the end of the test.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// listenPeer opens a UDP socket and a TCP listener at the same address.
func listenPeer(t testing.TB) (net.PacketConn, net.Listener) {
	t.Helper()
	for {
		unitListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		socket, err := net.ListenPacket("udp", unitListener.Addr().String())
		if err != nil {
			// The UDP port of the same number is in use.
			_ = unitListener.Close()
			continue
		}
		t.Cleanup(func() { _ = socket.Close() })
		return socket, unitListener
	}
}

func keysFromSecret(t *testing.T, secret string) *Keys {
	t.Helper()
	k, err := KeysFromSecret(secret)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// newTestPeers starts a server with the secret "secret" and a client with clientSecret.
func newTestPeers(t *testing.T, clientSecret string) *testPeers {
	t.Helper()
	p := &testPeers{home: newFakeHome(), silent: make(chan string, 16)}
	socket, unitListener := listenPeer(t)
	handlers := map[string]Handler{
		"echo": func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
		"fail": func(context.Context, []byte) ([]byte, error) { return nil, errors.New("handler failed") },
	}
	server, err := Listen(socket, unitListener, keysFromSecret(t, "secret"), p.home, handlers, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	p.server = server
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background()) }()
	p.client = NewClient(listenUDP(t), keysFromSecret(t, clientSecret), &fakeObserver{silent: p.silent}, metrics.NewSet())
	p.vm = fleet.VM{Name: "vm", Peer: p.relay(t, unitListener.Addr().String())}
	t.Cleanup(func() {
		_ = p.client.Close()
		_ = server.Close()
		<-served
	})
	return p
}

// relay starts relays to the server on another IP address with the same port and returns
// their address.
func (p *testPeers) relay(t *testing.T, to string) netip.AddrPort {
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
func (p *testPeers) connection() *connection {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	return p.client.peers[p.vm.Peer]
}

// open opens a unit at the server.
func (p *testPeers) open(database string) wireunit.Unit {
	u, o := p.client.Opener(p.vm).Open(context.Background(), wireunit.Header{Service: "svc", Database: database})
	So(o.OK(), ShouldBeTrue)
	return u
}

// exchangeText runs a batch with text as its messages.
func exchangeText(u wireunit.Unit, text string, sink io.Writer) wireunit.Result {
	return u.Exchange(context.Background(), wireunit.Batch{Messages: []byte(text)}, sink)
}

func TestUnits(t *testing.T) {
	Convey("Given a server and a client", t, func() {
		p := newTestPeers(t, "secret")

		Convey("a unit is sent to the home and its answer is returned", func() {
			var sink bytes.Buffer
			r := exchangeText(p.open("db"), "hello", &sink)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(r.Position, ShouldResemble, position.Position{Term: 2, Index: 7})
			So(sink.String(), ShouldEqual, "hello")
		})

		Convey("consecutive units reuse one stream", func() {
			for range 5 {
				So(exchangeText(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			}
			So(p.connection().idleStreams, ShouldHaveLength, 1)
			So(p.connection().idleStreams[0].number, ShouldEqual, 5)
		})

		Convey("a refusal is returned with its reason, delay and message", func() {
			r := exchangeText(p.open("refused"), "x", io.Discard)
			So(r.Outcome, ShouldResemble, outcome.Refuse(outcome.QueueFull, time.Second, "full"))
		})

		Convey("an answer larger than a data frame is returned complete", func() {
			text := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
			var sink bytes.Buffer
			So(exchangeText(p.open("db"), string(text), &sink).Outcome.OK(), ShouldBeTrue)
			So(bytes.Equal(sink.Bytes(), text), ShouldBeTrue)
		})

		Convey("a cancel request affects its own unit only", func() {
			u := p.open("first")
			done := make(chan wireunit.Result, 1)
			go func() { done <- exchangeText(u, "wait", io.Discard) }()
			<-p.home.started
			u.Cancel()
			So((<-done).Outcome.Reason, ShouldEqual, outcome.Canceled)
			u.Cancel()
			So(exchangeText(p.open("second"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			So(p.home.canceledUnits(), ShouldResemble, []string{"first"})
		})

		Convey("a gateway whose context ends cancels the batch at the home", func() {
			ctx, cancel := context.WithCancel(context.Background())
			u := p.open("db")
			done := make(chan wireunit.Result, 1)
			go func() { done <- u.Exchange(ctx, wireunit.Batch{Messages: []byte("wait")}, io.Discard) }()
			<-p.home.started
			cancel()
			So((<-done).Outcome.Kind, ShouldEqual, outcome.Unknown)
			<-p.home.ended
		})

		Convey("the outcome is unknown if the home shuts down while a batch runs", func() {
			u := p.open("db")
			done := make(chan wireunit.Result, 1)
			go func() { done <- exchangeText(u, "wait", io.Discard) }()
			<-p.home.started
			So(p.server.Close(), ShouldBeNil)
			r := <-done
			So(r.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(r.Outcome.Reason, ShouldEqual, outcome.HomeLost)
			So(<-p.silent, ShouldEqual, "vm")
		})

		Convey("a batch on a closed unit is refused as transaction lost", func() {
			u := p.open("db")
			So(exchangeText(u, "open", io.Discard).Status, ShouldEqual, wireunit.TxOpen)
			u.Close()
			So(exchangeText(u, "x", io.Discard).Outcome.Reason, ShouldEqual, outcome.TransactionLost)
		})

		Convey("an idle connection is checked before use and dropped if the peer does not answer", func() {
			So(exchangeText(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			first := p.connection()
			idle := func() { first.lastUse = time.Now().Add(-2 * staleAfter) }
			idle()
			So(exchangeText(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
			So(p.connection() == first, ShouldBeTrue)

			idle()
			p.line.SetShape(func(s *link.Shape) { s.Frozen = true })
			_, o := p.client.Opener(p.vm).Open(context.Background(), wireunit.Header{})
			So(o.Kind, ShouldEqual, outcome.Refused)
			So(o.Reason, ShouldEqual, outcome.HomeUnreachable)
			So(p.connection() == first, ShouldBeFalse)
		})

		Convey("a server that shuts down closes its connections after their last unit", func() {
			u := p.open("db")
			So(exchangeText(u, "open", io.Discard).Status, ShouldEqual, wireunit.TxOpen)
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
			So(exchangeText(u, "last", &sink).Outcome.OK(), ShouldBeTrue)
			So(sink.String(), ShouldEqual, "last")
			<-left
		})

		Convey("the outcome is unknown if the home stops answering while a batch runs", func() {
			u := p.open("db")
			done := make(chan wireunit.Result, 1)
			go func() { done <- exchangeText(u, "wait", io.Discard) }()
			<-p.home.started
			p.line.SetShape(func(s *link.Shape) { s.Frozen = true })
			So((<-done).Outcome.Reason, ShouldEqual, outcome.HomeLost)
			So(<-p.silent, ShouldEqual, "vm")
		})

		Convey("control calls return the body or the error of the handler", func() {
			answer, err := p.client.Call(context.Background(), p.vm, "echo", []byte("ping"))
			So(err, ShouldBeNil)
			So(string(answer), ShouldEqual, "ping")
			_, err = p.client.Call(context.Background(), p.vm, "fail", nil)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "handler failed")
			_, err = p.client.Call(context.Background(), p.vm, "nothing", nil)
			So(err.Error(), ShouldContainSubstring, "unknown method")
		})

		Convey("a malformed stream is reset and other streams are unaffected", func() {
			conn, err := p.client.connect(context.Background(), p.vm)
			So(err, ShouldBeNil)
			for _, garbage := range []string{"\xff\xff\xff\xff\x01", "\x00\x00\x00\x01\x63x", "\x00\x00\x00\x02\x01xx"} {
				stream, err := conn.quicConn.OpenStreamSync(context.Background())
				So(err, ShouldBeNil)
				_, err = stream.Write([]byte(garbage))
				So(err, ShouldBeNil)
				_, err = stream.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
			}
			So(exchangeText(p.open("db"), "x", io.Discard).Outcome.OK(), ShouldBeTrue)
		})
	})

	Convey("A peer with another certificate authority is refused", t, func() {
		p := newTestPeers(t, "other")
		_, o := p.client.Opener(p.vm).Open(context.Background(), wireunit.Header{})
		So(o.Reason, ShouldEqual, outcome.HomeUnreachable)
		So(o.Kind, ShouldEqual, outcome.Refused)
	})
}

// FuzzFrame checks that reading and decoding arbitrary bytes does not panic.
func FuzzFrame(f *testing.F) {
	var buffer bytes.Buffer
	w := newFrameWriter(&buffer)
	_ = w.writeMessage(kindOpen, openMessage{Unit: 1, Header: wireunit.Header{Service: "s"}})
	_ = w.writeMessage(kindBatch, wireunit.Batch{Messages: []byte("x")})
	_ = w.flush()
	f.Add(buffer.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data))
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

// BenchmarkUnit measures units of one batch on parallel streams.
func BenchmarkUnit(b *testing.B) {
	home := newFakeHome()
	socket, unitListener := listenPeer(b)
	k, err := KeysFromSecret("secret")
	if err != nil {
		b.Fatal(err)
	}
	server, err := Listen(socket, unitListener, k, home, nil, metrics.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(context.Background()) }()
	clientSocket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := NewClient(clientSocket, k, &fakeObserver{silent: make(chan string, 1)}, metrics.NewSet())
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
