package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// echoHome is a home whose units answer with the text of the statement and the session
// value "k", with the database of the unit as the reason.
type echoHome struct {
	// header is the header of the last unit that was opened.
	header  atomic.Pointer[stmtunit.Header]
	release chan struct{} // calls wait for it if not nil
	closed  atomic.Int64
	opened  atomic.Int64
}

func (e *echoHome) Open(h stmtunit.Header) stmtunit.Unit {
	e.opened.Add(1)
	e.header.Store(&h)
	return &echoUnit{e, h}
}

type echoUnit struct {
	home   *echoHome
	header stmtunit.Header
}

func (u *echoUnit) Run(c stmtunit.Call) stmtunit.Reply {
	if u.home.release != nil {
		<-u.home.release
	}
	state := query.Idle
	if u.header.Begin != nil {
		state = query.Open
	}
	return stmtunit.Reply{Answer: query.Answer{Rows: []string{c.Statement.Text, c.Environment.Values["k"]}, State: state}, Reason: u.header.Route.Database, Committed: position.Position{Term: 1, Index: 2}}
}

func (u *echoUnit) Close() { u.home.closed.Add(1) }

// recordingObserver counts the notifications of a client.
type recordingObserver struct {
	mu            sync.Mutex
	lost, leaving int
}

func (o *recordingObserver) PeerResponded(string) {}
func (o *recordingObserver) PeerUnreachable(string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost++
}
func (o *recordingObserver) PeerLeaving(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving++
}
func (o *recordingObserver) counts() (lost, leaving int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost, o.leaving
}

// startServer starts a server and returns a client of it, for a daemon of the given name.
func startServer(t *testing.T, s *Server, name string) (*Client, *recordingObserver) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	observer := &recordingObserver{}
	c := NewClient(Identity{Name: "entry"}, name, l.Addr().String(), observer)
	t.Cleanup(c.Close)
	return c, observer
}

func newCall(text string) stmtunit.Call {
	return stmtunit.Call{Statement: query.Statement{ID: "1", Kind: query.Read, Text: text}, Environment: query.Environment{Values: map[string]string{"k": "v"}}}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

func TestHeader(t *testing.T) {
	// Guards against homes that check another tenant or key than the gateway's.
	Convey("The tenant and the digest of the key reach the home", t, func() {
		home := &echoHome{}
		c, _ := startServer(t, &Server{Name: "home", Opener: home}, "home")
		want := stmtunit.Header{Session: 5, Tenant: "a", Key: catalog.DigestKey("key"), Version: 3}
		So(c.Open(want).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.Answered)
		So(*home.header.Load(), ShouldResemble, want)
	})
	// Guards against a gateway that cannot tell why a home refused, and against a reason in
	// the replies to calls that were not refused.
	Convey("The reason of a refusal reaches the gateway", t, func() {
		home := &echoHome{}
		c, _ := startServer(t, &Server{Name: "home", Opener: home}, "home")
		So(c.Open(stmtunit.Header{Route: catalog.Route{Database: "over_share"}}).Run(newCall("a")).Reason, ShouldEqual, "over_share")
		data, err := encoding.Marshal(stmtunit.Reply{})
		So(err, ShouldBeNil)
		So(string(data), ShouldNotContainSubstring, "Reason")
	})
	// Guards against larger messages, and messages that earlier versions do not know, in
	// deployments without tenants.
	Convey("A header without a tenant is encoded without the fields of tenants", t, func() {
		data, err := encoding.Marshal(stmtunit.Header{Session: 5})
		So(err, ShouldBeNil)
		So(string(data), ShouldNotContainSubstring, "Tenant")
		So(string(data), ShouldNotContainSubstring, "Key")
	})
	// Guards against a code that a daemon of another version reads as a different one, for
	// example an unknown outcome as a refusal.
	Convey("The codes that earlier versions send keep their numbers", t, func() {
		for i, c := range []query.Code{
			query.OK, query.Busy, query.Aborted, query.Behind, query.ReadOnly, query.WrongTarget, query.TooManyConnections, query.NoDatabase,
			query.Unsure, query.TimedOut, query.ExecutionFailed, query.NoStatement, query.Bad, query.Other,
		} {
			So(int(c), ShouldEqual, i)
		}
	})
}

func TestUnits(t *testing.T) {
	Convey("Concurrent units share a connection and each gets its own answer", t, func() {
		home := &echoHome{}
		c, _ := startServer(t, &Server{Name: "home", Opener: home}, "home")
		var wg sync.WaitGroup
		var wrong atomic.Int64
		for i := range 200 {
			wg.Go(func() {
				text := time.Duration(i).String()
				u := c.Open(stmtunit.Header{})
				r := u.Run(newCall(text))
				u.Close()
				if r.Outcome != stmtunit.Answered || r.Answer.Rows[0] != text || r.Answer.Rows[1] != "v" {
					wrong.Add(1)
				}
			})
		}
		wg.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		waitFor(t, "all units are closed", func() bool { return home.closed.Load() == 200 })
	})
	Convey("A transaction stays open between calls and is closed by its gateway or with the connection", t, func() {
		home := &echoHome{}
		s := &Server{Name: "home", Opener: home}
		c, _ := startServer(t, s, "home")
		u := c.Open(stmtunit.Header{Begin: &query.Statement{Kind: query.Begin}})
		So(u.Run(newCall("a")).Answer.State, ShouldEqual, query.Open)
		So(u.Run(newCall("b")).Outcome, ShouldEqual, stmtunit.Answered)
		So(home.opened.Load(), ShouldEqual, 1)
		u.Close()
		waitFor(t, "the unit is closed", func() bool { return home.closed.Load() == 1 })
		u = c.Open(stmtunit.Header{Begin: &query.Statement{Kind: query.Begin}})
		u.Run(newCall("a"))
		c.Close()
		waitFor(t, "the unit is closed with its connection", func() bool { return home.closed.Load() == 2 && s.OpenUnits() == 0 })
		So(u.Run(newCall("b")).Outcome, ShouldEqual, stmtunit.Lost)
	})
}

// slowObserver handles a loss slowly.
type slowObserver struct{ recordingObserver }

func (o *slowObserver) PeerUnreachable(name string, err error) {
	time.Sleep(50 * time.Millisecond)
	o.recordingObserver.PeerUnreachable(name, err)
}

func TestLostPeers(t *testing.T) {
	Convey("A call to an address without a listener is not run", t, func() {
		observer := &recordingObserver{}
		c := NewClient(Identity{Name: "entry"}, "home", "127.0.0.1:1", observer)
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.NotRun)
		lost, _ := observer.counts()
		So(lost, ShouldEqual, 1)
	})
	Convey("A daemon of another name at the address is refused", t, func() {
		home := &echoHome{}
		c, _ := startServer(t, &Server{Name: "stranger", Opener: home}, "home")
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.NotRun)
		So(home.opened.Load(), ShouldEqual, 0)
	})
	Convey("A silent home is lost before the call times out", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w := newFrameConn(conn)
			var h hello
			if w.read(&h) == nil {
				_ = w.write(hello{Version: Version, Name: "home"})
			}
			// Stop reading, like a suspended process.
		}()
		observer := &recordingObserver{}
		c := NewClient(Identity{Name: "entry"}, "home", l.Addr().String(), observer)
		defer c.Close()
		began := time.Now()
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.Lost)
		So(time.Since(began), ShouldBeLessThan, lostAfter+500*time.Millisecond)
		lost, _ := observer.counts()
		So(lost, ShouldEqual, 1)
	})
	Convey("The observer learns of a loss before the pending calls fail", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w := newFrameConn(conn)
			var h hello
			if w.read(&h) == nil && w.write(hello{Version: Version, Name: "home"}) == nil {
				var r request
				_ = w.read(&r)
			}
			_ = conn.Close()
		}()
		defer func() { _ = l.Close() }()
		observer := &slowObserver{}
		c := NewClient(Identity{Name: "entry"}, "home", l.Addr().String(), observer)
		defer c.Close()
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.Lost)
		lost, _ := observer.counts()
		So(lost, ShouldEqual, 1)
	})
	// Guards against dials that queue up: dozens of requests to an unreachable home each
	// waited for a dial of their own, and a client that followed a relay waited behind them
	// for 11 s.
	Convey("Concurrent calls to an unreachable home share one dial", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		c := NewClient(Identity{Name: "entry"}, "home", l.Addr().String(), &recordingObserver{})
		began := time.Now()
		var wg sync.WaitGroup
		var run atomic.Int64
		for range 30 {
			wg.Go(func() {
				if c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome != stmtunit.NotRun {
					run.Add(1)
				}
			})
		}
		wg.Wait()
		So(run.Load(), ShouldEqual, 0)
		So(time.Since(began), ShouldBeLessThan, 3*dialTimeout)
	})
	Convey("A home that answers pings during a long call is not lost", t, func() {
		home := &echoHome{release: make(chan struct{})}
		c, observer := startServer(t, &Server{Name: "home", Opener: home}, "home")
		time.AfterFunc(2*lostAfter, func() { close(home.release) })
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.Answered)
		lost, _ := observer.counts()
		So(lost, ShouldEqual, 0)
	})
	Convey("A leaving home finishes its transactions and refuses new units", t, func() {
		home := &echoHome{}
		s := &Server{Name: "home", Opener: home}
		c, observer := startServer(t, s, "home")
		u := c.Open(stmtunit.Header{Begin: &query.Statement{Kind: query.Begin}})
		u.Run(newCall("a"))
		s.Leave()
		So(c.Open(stmtunit.Header{}).Run(newCall("b")).Outcome, ShouldEqual, stmtunit.NotRun)
		So(u.Run(newCall("c")).Outcome, ShouldEqual, stmtunit.Answered)
		waitFor(t, "the client is notified", func() bool { _, leaving := observer.counts(); return leaving == 1 })
	})
	Convey("Invalid bytes on one connection don't affect others", t, func() {
		s := &Server{Name: "home", Opener: &echoHome{}}
		c, _ := startServer(t, s, "home")
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.Answered)
		for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"} {
			conn, err := net.Dial("tcp4", c.address)
			So(err, ShouldBeNil)
			_, err = conn.Write([]byte(bytes))
			So(err, ShouldBeNil)
			_ = conn.Close()
		}
		So(c.Open(stmtunit.Header{}).Run(newCall("a")).Outcome, ShouldEqual, stmtunit.Answered)
	})
}

// fakeRelay answers watches and requests for intents.
type fakeRelay struct {
	readStart time.Duration
	// outdated tells that the record was not read a moment ago.
	outdated bool
}

func (fakeRelay) Watch(ctx context.Context, r WatchRequest) WatchResponse {
	if r.From == 0 {
		return WatchResponse{Current: true, Complete: true, Page: store.Page{Revision: 7, Objects: []store.Object{{Key: store.Key{Kind: r.Kind, Name: "a"}, Version: 5, Value: []byte(`{"n":1}`)}}}}
	}
	<-ctx.Done()
	return WatchResponse{Current: true, Page: store.Page{Revision: r.From}}
}

func (r fakeRelay) RecentRecord() (*primarylease.Record, bool) {
	return &primarylease.Record{
		Intents: map[string]position.Term{"g": 3}, ReadStart: r.readStart,
		Read: store.Point{Era: 4, Revision: 11}, WrittenIn: 3, Unsettled: []string{"h"},
		Unused: []string{"i"}, Called: map[string]string{"g": "t"}, RecordsCalls: true,
	}, !r.outdated
}

// fakePositions has samples of groups.
type fakePositions map[string]freshness.Sample

func (p fakePositions) NewestPosition(group string) (freshness.Sample, bool) {
	s, ok := p[group]
	return s, ok
}

func TestRelay(t *testing.T) {
	Convey("A relay answers requests for objects and intents", t, func() {
		source := fakeRelay{readStart: boottime.Now() - 200*time.Millisecond}
		c, _ := startServer(t, &Server{Name: "relay", Opener: &echoHome{}, Objects: source, Intents: source}, "relay")
		all, err := c.Watch(WatchRequest{Kind: "things", Wait: time.Second})
		So(err, ShouldBeNil)
		So(all.Complete, ShouldBeTrue)
		So(string(all.Page.Objects[0].Value), ShouldEqual, `{"n":1}`)
		unchanged, err := c.Watch(WatchRequest{Kind: "things", From: 7, Wait: 30 * time.Millisecond})
		So(err, ShouldBeNil)
		So(unchanged.Page.Objects, ShouldBeEmpty)
		r, err := c.Intents()
		So(err, ShouldBeNil)
		So(r.Intents["g"], ShouldEqual, position.Term(3))
		// The record must never count as younger than the relay's read of the store.
		So(r.ReadStart, ShouldBeLessThanOrEqualTo, source.readStart)
		So(r.ReadStart, ShouldBeGreaterThan, source.readStart-time.Second)
		So(r.Read, ShouldResemble, store.Point{Era: 4, Revision: 11})
		So(r.WrittenIn, ShouldEqual, store.Era(3))
		So(r.Unsettled, ShouldResemble, []string{"h"})
		call, known := r.LastCall("g")
		So(known, ShouldBeTrue)
		So(call, ShouldResemble, leadership.PromoteCall{Term: 3, Target: "t"})
		So(r.Unused, ShouldResemble, []string{"i"})
	})
	Convey("A relay that has lost the store tells what it knows of earlier promote calls", t, func() {
		source := fakeRelay{readStart: boottime.Now() - time.Minute, outdated: true}
		c, _ := startServer(t, &Server{Name: "relay", Opener: &echoHome{}, Intents: source}, "relay")
		r, err := c.Intents()
		So(errors.Is(err, ErrNotCurrent), ShouldBeTrue)
		So(r.ReadStart, ShouldBeLessThanOrEqualTo, source.readStart)
		So(r.Called, ShouldResemble, map[string]string{"g": "t"})
	})
	Convey("A home answers requests for the position of a primary", t, func() {
		source := fakePositions{"g": {At: boottime.Now() - 300*time.Millisecond, Position: position.Position{Term: 2, Index: 9}}}
		c, _ := startServer(t, &Server{Name: "home", Opener: &echoHome{}, Positions: source}, "home")
		sample, err := c.Position("g")
		So(err, ShouldBeNil)
		So(sample.Position, ShouldResemble, source["g"].Position)
		// The sample must never count as younger than it is.
		So(sample.At, ShouldBeLessThanOrEqualTo, source["g"].At)
		So(sample.At, ShouldBeGreaterThan, source["g"].At-time.Second)
		_, err = c.Position("unknown")
		So(errors.Is(err, ErrNoPosition), ShouldBeTrue)
	})
	Convey("Requests to a daemon that is no relay fail", t, func() {
		c, _ := startServer(t, &Server{Name: "home", Opener: &echoHome{}}, "home")
		_, err := c.Watch(WatchRequest{Kind: "things", Wait: time.Second})
		So(err, ShouldNotBeNil)
		_, err = c.Intents()
		So(err, ShouldNotBeNil)
	})
}
