package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// echo is a home whose units answer with their statement's text.
type echo struct {
	hold   chan struct{} // calls wait for it if not nil
	closed atomic.Int64
	opened atomic.Int64
}

func (e *echo) Open(h stmtunit.Header) stmtunit.Unit {
	e.opened.Add(1)
	return &echoUnit{e, h}
}

type echoUnit struct {
	home   *echo
	header stmtunit.Header
}

func (u *echoUnit) Run(c stmtunit.Call) stmtunit.Reply {
	if u.home.hold != nil {
		<-u.home.hold
	}
	state := query.Idle
	if u.header.Begin != nil {
		state = query.Open
	}
	return stmtunit.Reply{Answer: query.Answer{Rows: []string{c.Statement.Text, c.Environment.Values["k"]}, State: state}, Committed: position.Position{Term: 1, Index: 2}}
}

func (u *echoUnit) Close() { u.home.closed.Add(1) }

// watcher notes what a client tells of its peer.
type watcher struct {
	mu            sync.Mutex
	lost, leaving int
}

func (w *watcher) Heard(string) {}
func (w *watcher) Lost(string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost++
}
func (w *watcher) Leaving(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving++
}
func (w *watcher) counts() (lost, leaving int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost, w.leaving
}

// serveTo starts a server and returns a client of it.
func serveTo(t *testing.T, s *Server, name string) (*Client, *watcher) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	w := &watcher{}
	c := NewClient("entry", name, l.Addr().String(), w)
	t.Cleanup(c.Close)
	return c, w
}

func call(text string) stmtunit.Call {
	return stmtunit.Call{Statement: query.Statement{ID: "1", Kind: query.Read, Text: text}, Environment: query.Environment{Values: map[string]string{"k": "v"}}}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestUnits(t *testing.T) {
	Convey("Units of many sessions share a connection, and each gets its own answer", t, func() {
		home := &echo{}
		c, _ := serveTo(t, &Server{Name: "home", Opener: home}, "home")
		var wg sync.WaitGroup
		var wrong atomic.Int64
		for i := range 200 {
			wg.Go(func() {
				text := time.Duration(i).String()
				u := c.Open(stmtunit.Header{})
				r := u.Run(call(text))
				u.Close()
				if r.Fate != stmtunit.Answered || r.Answer.Rows[0] != text || r.Answer.Rows[1] != "v" {
					wrong.Add(1)
				}
			})
		}
		wg.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		eventually(t, "all units are closed", func() bool { return home.closed.Load() == 200 })
	})
	Convey("A transaction stays open over its calls and is closed when its entry ends it, or is lost", t, func() {
		home := &echo{}
		s := &Server{Name: "home", Opener: home}
		c, _ := serveTo(t, s, "home")
		u := c.Open(stmtunit.Header{Begin: &query.Statement{Kind: query.Begin}})
		So(u.Run(call("a")).Answer.State, ShouldEqual, query.Open)
		So(u.Run(call("b")).Fate, ShouldEqual, stmtunit.Answered)
		So(home.opened.Load(), ShouldEqual, 1)
		u.Close()
		eventually(t, "the unit is closed", func() bool { return home.closed.Load() == 1 })
		u = c.Open(stmtunit.Header{Begin: &query.Statement{Kind: query.Begin}})
		u.Run(call("a"))
		c.Close()
		eventually(t, "the unit is closed with its connection", func() bool { return home.closed.Load() == 2 && s.Open() == 0 })
		So(u.Run(call("b")).Fate, ShouldEqual, stmtunit.Lost)
	})
}

// slowWatcher takes its time to take in a loss.
type slowWatcher struct{ watcher }

func (w *slowWatcher) Lost(name string, err error) {
	time.Sleep(50 * time.Millisecond)
	w.watcher.Lost(name, err)
}

func TestLostPeers(t *testing.T) {
	Convey("A call to nobody is not run", t, func() {
		w := &watcher{}
		c := NewClient("entry", "home", "127.0.0.1:1", w)
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.NotRun)
		lost, _ := w.counts()
		So(lost, ShouldEqual, 1)
	})
	Convey("Another daemon at the address is not taken for the home", t, func() {
		home := &echo{}
		c, _ := serveTo(t, &Server{Name: "stranger", Opener: home}, "home")
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.NotRun)
		So(home.opened.Load(), ShouldEqual, 0)
	})
	Convey("A home that goes silent is lost long before the call's time is up", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w := newWire(conn)
			var h hello
			if w.read(&h) == nil {
				_ = w.write(hello{Version: Version, Name: "home"})
			}
			// It reads nothing more, as a suspended process does.
		}()
		w := &watcher{}
		c := NewClient("entry", "home", l.Addr().String(), w)
		defer c.Close()
		began := time.Now()
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.Lost)
		So(time.Since(began), ShouldBeLessThan, lostAfter+500*time.Millisecond)
		lost, _ := w.counts()
		So(lost, ShouldEqual, 1)
	})
	Convey("The loss is told before those that wait for answers learn of it", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w := newWire(conn)
			var h hello
			if w.read(&h) == nil && w.write(hello{Version: Version, Name: "home"}) == nil {
				var r request
				_ = w.read(&r)
			}
			_ = conn.Close()
		}()
		defer func() { _ = l.Close() }()
		w := &slowWatcher{}
		c := NewClient("entry", "home", l.Addr().String(), w)
		defer c.Close()
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.Lost)
		lost, _ := w.counts()
		So(lost, ShouldEqual, 1)
	})
	// Seen on the users' bench: dozens of requests each waited for a dial of their own
	// to a dark home, and a relay's follower with them for 11 s.
	Convey("Many calls to a home that can't be reached wait for one dial, not each for its own", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		c := NewClient("entry", "home", l.Addr().String(), &watcher{})
		began := time.Now()
		var wg sync.WaitGroup
		var run atomic.Int64
		for range 30 {
			wg.Go(func() {
				if c.Open(stmtunit.Header{}).Run(call("a")).Fate != stmtunit.NotRun {
					run.Add(1)
				}
			})
		}
		wg.Wait()
		So(run.Load(), ShouldEqual, 0)
		So(time.Since(began), ShouldBeLessThan, 3*dialTimeout)
	})
	Convey("A home at work that answers pings is not lost", t, func() {
		home := &echo{hold: make(chan struct{})}
		c, w := serveTo(t, &Server{Name: "home", Opener: home}, "home")
		time.AfterFunc(2*lostAfter, func() { close(home.hold) })
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.Answered)
		lost, _ := w.counts()
		So(lost, ShouldEqual, 0)
	})
	Convey("A leaving home ends its transactions and takes no new units", t, func() {
		home := &echo{}
		s := &Server{Name: "home", Opener: home}
		c, w := serveTo(t, s, "home")
		u := c.Open(stmtunit.Header{Begin: &query.Statement{Kind: query.Begin}})
		u.Run(call("a"))
		s.Leave()
		So(c.Open(stmtunit.Header{}).Run(call("b")).Fate, ShouldEqual, stmtunit.NotRun)
		So(u.Run(call("c")).Fate, ShouldEqual, stmtunit.Answered)
		eventually(t, "the entry is told", func() bool { _, leaving := w.counts(); return leaving == 1 })
	})
	Convey("Garbage ends a connection and harms no other", t, func() {
		s := &Server{Name: "home", Opener: &echo{}}
		c, _ := serveTo(t, s, "home")
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.Answered)
		for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"} {
			conn, err := net.Dial("tcp4", c.address)
			So(err, ShouldBeNil)
			_, err = conn.Write([]byte(bytes))
			So(err, ShouldBeNil)
			_ = conn.Close()
		}
		So(c.Open(stmtunit.Header{}).Run(call("a")).Fate, ShouldEqual, stmtunit.Answered)
	})
}

// relay answers watches and questions for intents.
type relay struct{ begun time.Duration }

func (relay) Watch(ctx context.Context, r WatchRequest) WatchResponse {
	if r.From == 0 {
		return WatchResponse{Current: true, Complete: true, Page: store.Page{Revision: 7, Objects: []store.Object{{Key: store.Key{Kind: r.Kind, Name: "a"}, Version: 5, Value: []byte(`{"n":1}`)}}}}
	}
	<-ctx.Done()
	return WatchResponse{Current: true, Page: store.Page{Revision: r.From}}
}

func (r relay) Fresh() (primarylease.Record, bool) {
	return primarylease.Record{Intents: map[string]position.Term{"g": 3}, ReadStart: r.begun}, true
}

func TestRelay(t *testing.T) {
	Convey("A relay answers for objects and intents", t, func() {
		source := relay{begun: boottime.Now() - 200*time.Millisecond}
		c, _ := serveTo(t, &Server{Name: "relay", Opener: &echo{}, Objects: source, Intents: source}, "relay")
		all, err := c.Watch(WatchRequest{Kind: "things", Wait: time.Second})
		So(err, ShouldBeNil)
		So(all.Complete, ShouldBeTrue)
		So(string(all.Page.Objects[0].Value), ShouldEqual, `{"n":1}`)
		quiet, err := c.Watch(WatchRequest{Kind: "things", From: 7, Wait: 30 * time.Millisecond})
		So(err, ShouldBeNil)
		So(quiet.Page.Objects, ShouldBeEmpty)
		r, err := c.Intents()
		So(err, ShouldBeNil)
		So(r.Intents["g"], ShouldEqual, position.Term(3))
		// The record never counts as younger than the relay's own read of the store.
		So(r.ReadStart, ShouldBeLessThanOrEqualTo, source.begun)
		So(r.ReadStart, ShouldBeGreaterThan, source.begun-time.Second)
	})
	Convey("A daemon that is no relay has nothing current", t, func() {
		c, _ := serveTo(t, &Server{Name: "home", Opener: &echo{}}, "home")
		_, err := c.Watch(WatchRequest{Kind: "things", Wait: time.Second})
		So(err, ShouldNotBeNil)
		_, err = c.Intents()
		So(err, ShouldNotBeNil)
	})
}
