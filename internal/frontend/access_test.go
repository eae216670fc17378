package frontend

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// tenantConfiguration returns a configuration with the routes db and open, of which only db
// requires a key, and with the keys of each tenant.
func tenantConfiguration(version uint64, tenants map[string][]string) *catalog.Configuration {
	c := &catalog.Configuration{
		Version: version,
		Routes:  map[string]catalog.Route{"db": {Database: "db", Group: "g"}, "open": {Database: "open", Group: "g", Public: true}},
		Tenants: map[string]catalog.Tenant{}, Keys: map[catalog.KeyDigest]string{},
	}
	for name, keys := range tenants {
		c.Tenants[name] = catalog.Tenant{Name: name, Rate: catalog.Unlimited}
		for _, k := range keys {
			c.Keys[catalog.DigestKey(k)] = name
		}
	}
	return c
}

// fakeConn is the connection of a caller that sends what the test passes to statements.
type fakeConn struct {
	database, key string
	statements    chan query.Statement
	answers       chan query.Answer
	started       chan query.Code
	closed        chan struct{}
	closeOnce     sync.Once
	// partial is set if a part of a statement has arrived.
	partial bool

	mu       sync.Mutex
	deadline *time.Timer   // guarded by mu
	expired  chan struct{} // guarded by mu; closed at the read deadline
	moved    chan struct{} // guarded by mu; closed when the deadline is set
}

func newFakeConn(database, key string) *fakeConn {
	return &fakeConn{
		database: database, key: key, statements: make(chan query.Statement), answers: make(chan query.Answer, 100),
		started: make(chan query.Code, 1), closed: make(chan struct{}), moved: make(chan struct{}),
	}
}

type timeoutError struct{ error }

func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

func (c *fakeConn) ReadStart() (string, string, error) { return c.database, c.key, nil }

func (c *fakeConn) ReadStatement() (query.Statement, error) {
	for {
		c.mu.Lock()
		expired, moved := c.expired, c.moved
		c.mu.Unlock()
		select {
		case st := <-c.statements:
			return st, nil
		case <-expired:
			return query.Statement{}, timeoutError{fmt.Errorf("read timeout")}
		case <-c.closed:
			return query.Statement{}, net.ErrClosed
		case <-moved:
		}
	}
}

func (c *fakeConn) Buffered() bool { return c.partial }

func (c *fakeConn) WriteReady() error {
	c.started <- query.OK
	return nil
}

func (c *fakeConn) WriteRefusal(code query.Code, _ string) error {
	c.started <- code
	return nil
}

func (c *fakeConn) WriteAnswer(a query.Answer) error {
	c.answers <- a
	return nil
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline != nil {
		c.deadline.Stop()
	}
	close(c.moved)
	c.moved, c.expired, c.deadline = make(chan struct{}), make(chan struct{}), nil
	if !t.IsZero() {
		expired := c.expired
		c.deadline = time.AfterFunc(time.Until(t), func() { close(expired) })
	}
	return nil
}

func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

func (c *fakeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// query sends a statement and returns its answer.
func (c *fakeConn) query(t *testing.T, k query.Kind, text string) query.Answer {
	t.Helper()
	select {
	case c.statements <- query.Statement{ID: "1", Kind: k, Text: text, Writes: k == query.Write || k == query.Begin}:
	case <-time.After(5 * time.Second):
		t.Fatal("the session read no statement")
	}
	select {
	case a := <-c.answers:
		return a
	case <-time.After(5 * time.Second):
		t.Fatal("the session gave no answer")
		return query.Answer{}
	}
}

func (c *fakeConn) isClosedWithin(d time.Duration) bool {
	select {
	case <-c.closed:
		return true
	case <-time.After(d):
		return false
	}
}

// accessTest is a server whose callers are fakeConns and that has one home.
type accessTest struct {
	server *Server
	home   *fakeHome
	log    *eventlog.Log
}

func newAccessTest(c *catalog.Configuration) *accessTest {
	h := &fakeHome{}
	log := eventlog.New()
	s := &Server{Homes: fakeHomeFinder{own: []*fakeHome{h}}, Configuration: &catalog.Holder{}, Log: log, sessions: map[*sessionConn]struct{}{}}
	if c != nil {
		s.Configuration.Apply(c)
	}
	return &accessTest{server: s, home: h, log: log}
}

// connect starts a session and returns its connection and the code of its start.
func (a *accessTest) connect(database, key string) (*fakeConn, query.Code) {
	c := newFakeConn(database, key)
	go a.server.serve(c)
	return c, <-c.started
}

// apply puts a configuration in force, as the feed does.
func (a *accessTest) apply(c *catalog.Configuration) {
	So(a.server.Configuration.Apply(c), ShouldBeTrue)
	a.server.ConfigurationChanged()
}

// written returns all lines of the log.
func (a *accessTest) written() string {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var b bytes.Buffer
	So(a.log.Run(ctx, &b), ShouldBeNil)
	return b.String()
}

func TestAuthentication(t *testing.T) {
	c := tenantConfiguration(1, map[string][]string{"a": {"key-a"}, "b": {"key-b"}})
	// Guards against sessions that are served without a valid key.
	Convey("A key that no tenant owns is refused at the start and the connection is closed", t, func() {
		for _, key := range []string{"key-x", ""} {
			conn, code := newAccessTest(c).connect("db", key)
			So(code, ShouldEqual, query.Unauthorized)
			So(conn.isClosedWithin(time.Second), ShouldBeTrue)
		}
	})
	// Guards against deployments without keys that stop being served.
	Convey("A public route and a deployment without tenants need no key and no tenant", t, func() {
		for _, conf := range []*catalog.Configuration{c, {Version: 1, Routes: map[string]catalog.Route{"open": {Database: "open", Group: "g"}}}} {
			for _, key := range []string{"", "key-x", "key-a"} {
				a := newAccessTest(conf)
				conn, code := a.connect("open", key)
				So(code, ShouldEqual, query.OK)
				So(conn.query(t, query.Write, "w").OK(), ShouldBeTrue)
				So(a.home.headers[0].Tenant, ShouldBeEmpty)
				So(a.home.headers[0].Key, ShouldResemble, catalog.KeyDigest{})
			}
		}
	})
	// Guards against units that run under another tenant than that of the caller's key.
	Convey("A unit carries the tenant and the digest of the key", t, func() {
		a := newAccessTest(c)
		conn, code := a.connect("db", "key-b")
		So(code, ShouldEqual, query.OK)
		conn.query(t, query.Write, "w")
		conn.query(t, query.Begin, "")
		conn.query(t, query.Read, "r")
		So(len(a.home.headers), ShouldEqual, 2)
		for _, h := range a.home.headers {
			So(h.Tenant, ShouldEqual, "b")
			So(h.Key, ShouldResemble, catalog.DigestKey("key-b"))
		}
	})
	// Guards against keys that leak through the log, also those that are refused.
	Convey("The log contains no key", t, func() {
		a := newAccessTest(c)
		for _, key := range []string{"key-a", "key-x"} {
			for _, database := range []string{"db", "open", "missing"} {
				conn, code := a.connect(database, key)
				if code == query.OK {
					conn.query(t, query.Write, "w")
				}
				_ = conn.Close()
			}
		}
		conn, _ := a.connect("db", "key-a")
		conn.query(t, query.Begin, "")
		conn.query(t, query.Write, "w")
		a.apply(tenantConfiguration(2, map[string][]string{"b": {"key-b"}}))
		So(conn.isClosedWithin(time.Second), ShouldBeTrue)
		time.Sleep(50 * time.Millisecond)
		log := a.written()
		So(log, ShouldContainSubstring, "session_refused")
		So(log, ShouldNotContainSubstring, "key-a")
		So(log, ShouldNotContainSubstring, "key-x")
	})
}

// Guards against a key that leaks through the log because its caller sent it in place of the
// name of the database.
func TestKeyInPlaceOfDatabase(t *testing.T) {
	cases := map[string]struct {
		configuration *catalog.Configuration
		logged        bool
	}{
		"with tenants":                   {tenantConfiguration(1, map[string][]string{"a": {"key-a"}}), false},
		"without tenants":                {&catalog.Configuration{Version: 1}, true},
		"before the first configuration": {nil, false},
	}
	for name, c := range cases {
		Convey("The log of a deployment "+name, t, func() {
			a := newAccessTest(c.configuration)
			conn, code := a.connect("key-a", "")
			So(code, ShouldNotEqual, query.OK)
			So(conn.isClosedWithin(time.Second), ShouldBeTrue)
			log := a.written()
			So(log, ShouldContainSubstring, "session_refused")
			So(strings.Contains(log, "key-a"), ShouldEqual, c.logged)
		})
	}
}

func TestMovedKey(t *testing.T) {
	one := tenantConfiguration(1, map[string][]string{"a": {"key"}, "b": nil})
	// Guards against a tenant that is looked up only at the start of a session, and against
	// headers that combine the tenant of one version with another version.
	Convey("A key that moves to another tenant takes effect with the next unit", t, func() {
		a := newAccessTest(one)
		conn, _ := a.connect("db", "key")
		conn.query(t, query.Write, "w")
		a.apply(tenantConfiguration(2, map[string][]string{"a": nil, "b": {"key"}}))
		So(conn.query(t, query.Write, "w").OK(), ShouldBeTrue)
		So(a.home.headers[0].Tenant+a.home.headers[1].Tenant, ShouldEqual, "ab")
		So(a.home.headers[0].Version+10*a.home.headers[1].Version, ShouldEqual, 21)
	})
	// Guards against statements that run for the tenant that has lost the key, and against a
	// unit that is opened for the tenant of an earlier version.
	Convey("An open transaction is rolled back when its key moves, and one without a unit gets the new tenant", t, func() {
		a := newAccessTest(one)
		first, _ := a.connect("db", "key")
		first.query(t, query.Begin, "")
		So(first.query(t, query.Write, "1").OK(), ShouldBeTrue)
		second, _ := a.connect("db", "key")
		second.query(t, query.Begin, "")
		a.apply(tenantConfiguration(2, map[string][]string{"b": {"key"}, "a": {"other"}}))
		So(first.query(t, query.Write, "2").Code, ShouldEqual, query.Aborted)
		end := first.query(t, query.Commit, "COMMIT")
		So(end.Code, ShouldEqual, query.Aborted)
		So(end.State, ShouldEqual, query.Idle)
		So(second.query(t, query.Write, "3").OK(), ShouldBeTrue)
		So(first.query(t, query.Write, "4").OK(), ShouldBeTrue)
		var tenants string
		for _, h := range a.home.headers {
			tenants += h.Tenant
		}
		So(tenants, ShouldEqual, "abb")
	})
	// Guards against a first statement under a tenant of an older configuration.
	Convey("When the deployment gives up tenants after a begin, the transaction runs without one", t, func() {
		a := newAccessTest(one)
		conn, _ := a.connect("db", "key")
		conn.query(t, query.Begin, "")
		a.apply(&catalog.Configuration{Version: 2, Routes: one.Routes})
		So(conn.query(t, query.Write, "1").OK(), ShouldBeTrue)
		So(a.home.headers[0].Tenant, ShouldBeEmpty)
		So(a.home.headers[0].Key, ShouldResemble, catalog.KeyDigest{})
	})
	// Guards against a transaction that goes on under a tenant that is no longer declared.
	Convey("When a tenant is renamed, its open transaction is rolled back and its session goes on under the new name", t, func() {
		a := newAccessTest(one)
		conn, _ := a.connect("db", "key")
		conn.query(t, query.Begin, "")
		conn.query(t, query.Write, "1")
		a.apply(tenantConfiguration(2, map[string][]string{"c": {"key"}}))
		eventually(func() bool { return a.home.units() == 0 })
		So(conn.query(t, query.Write, "2").Code, ShouldEqual, query.Aborted)
		So(conn.query(t, query.Rollback, "ROLLBACK").State, ShouldEqual, query.Idle)
		So(conn.query(t, query.Write, "3").OK(), ShouldBeTrue)
		So(a.home.headers[1].Tenant, ShouldEqual, "c")
	})
}

func TestRevocation(t *testing.T) {
	with := tenantConfiguration(1, map[string][]string{"a": {"key", "key-2"}})
	removals := map[string]*catalog.Configuration{
		"one key":    tenantConfiguration(2, map[string][]string{"a": {"key-2"}}),
		"all keys":   tenantConfiguration(2, map[string][]string{"a": nil}),
		"the tenant": tenantConfiguration(2, nil),
	}
	for name, without := range removals {
		// Guards against sessions of a revoked key that stay open, and against messages that
		// a caller gets without having asked, which it takes for the next answer.
		Convey("When "+name+" is removed, an idle session is closed without a message", t, func() {
			a := newAccessTest(with)
			conn, _ := a.connect("db", "key")
			public, _ := a.connect("open", "key")
			a.apply(without)
			So(conn.isClosedWithin(time.Second), ShouldBeTrue)
			So(conn.answers, ShouldBeEmpty)
			So(public.query(t, query.Write, "w").OK(), ShouldBeTrue)
		})
		// Guards against transactions of a revoked key that keep their locks or commit.
		Convey("When "+name+" is removed, an open transaction is rolled back and its session closed", t, func() {
			a := newAccessTest(with)
			conn, _ := a.connect("db", "key")
			conn.query(t, query.Begin, "")
			conn.query(t, query.Write, "w")
			So(a.home.units(), ShouldEqual, 1)
			a.apply(without)
			So(conn.isClosedWithin(time.Second), ShouldBeTrue)
			eventually(func() bool { return a.home.units() == 0 })
			So(a.home.calls, ShouldResemble, []string{"w"})
		})
	}
	// Guards against a statement that runs because it arrived before the session was closed.
	Convey("A statement that arrives between the configuration and the close is answered as unauthorized", t, func() {
		for _, inTransaction := range []bool{false, true} {
			for _, kind := range []query.Kind{query.Write, query.Begin, query.Set, query.Commit} {
				a := newAccessTest(with)
				conn, _ := a.connect("db", "key")
				want := 0
				if inTransaction {
					conn.query(t, query.Begin, "")
					conn.query(t, query.Write, "1")
					want = 1
				}
				// Without the call of ConfigurationChanged the session is not woken.
				a.server.Configuration.Apply(removals["one key"])
				answer := conn.query(t, kind, "2")
				So(answer.Code, ShouldEqual, query.Unauthorized)
				So(answer.State, ShouldEqual, query.Idle)
				So(conn.isClosedWithin(time.Second), ShouldBeTrue)
				So(len(a.home.calls), ShouldEqual, want)
				eventually(func() bool { return a.home.units() == 0 })
			}
		}
	})
	// Guards against a caller that keeps its session and transaction by sending only a part
	// of a statement.
	Convey("A session that has received a part of a statement is rolled back and closed as well", t, func() {
		a := newAccessTest(with)
		conn, _ := a.connect("db", "key")
		conn.query(t, query.Begin, "")
		conn.query(t, query.Write, "w")
		conn.partial = true
		a.apply(removals["one key"])
		So(conn.isClosedWithin(time.Second), ShouldBeTrue)
		eventually(func() bool { return a.home.units() == 0 })
		So(a.written(), ShouldContainSubstring, `"reason":"key_revoked"`)
	})
	// Guards against a session that misses the change because it was running a statement.
	Convey("A session that runs a statement while its key is revoked is closed after the answer", t, func() {
		a := newAccessTest(with)
		a.home.entered, a.home.proceed = make(chan struct{}), make(chan struct{})
		conn, _ := a.connect("db", "key")
		conn.statements <- query.Statement{ID: "1", Kind: query.Read, Text: "r"}
		<-a.home.entered
		a.apply(removals["all keys"])
		close(a.home.proceed)
		So((<-conn.answers).OK(), ShouldBeTrue)
		So(conn.isClosedWithin(time.Second), ShouldBeTrue)
		So(conn.answers, ShouldBeEmpty)
	})
	// Guards against sessions that are ended although their key is valid.
	Convey("Sessions of other keys and of added tenants go on", t, func() {
		a := newAccessTest(with)
		conn, _ := a.connect("db", "key-2")
		a.apply(tenantConfiguration(2, map[string][]string{"a": {"key-2"}, "b": {"key-b"}}))
		added, code := a.connect("db", "key-b")
		So(code, ShouldEqual, query.OK)
		So(conn.isClosedWithin(3*leaveReadTimeout), ShouldBeFalse)
		So(conn.query(t, query.Write, "w").OK(), ShouldBeTrue)
		So(added.query(t, query.Write, "w").OK(), ShouldBeTrue)
	})
	// Guards against a route that begins to require a key and keeps its sessions without one.
	Convey("When a route ceases to be public, its sessions without a valid key are closed", t, func() {
		a := newAccessTest(with)
		without, _ := a.connect("open", "")
		valid, _ := a.connect("open", "key-2")
		c := tenantConfiguration(2, map[string][]string{"a": {"key-2"}})
		c.Routes["open"] = catalog.Route{Database: "open", Group: "g"}
		a.apply(c)
		So(without.isClosedWithin(time.Second), ShouldBeTrue)
		So(valid.query(t, query.Write, "w").OK(), ShouldBeTrue)
		So(a.home.headers[0].Tenant, ShouldEqual, "a")
	})
	// Guards against a hook that delays the feed on daemons with many sessions.
	Convey("A new configuration costs little with 10,000 sessions", t, func() {
		a := newAccessTest(with)
		for i := range 10_000 {
			key := catalog.DigestKey("key-2")
			ses := &sessionConn{conn: newFakeConn("db", ""), state: a.server.newSession("db", key), waitingForCaller: true}
			if i%100 == 0 {
				ses.state.key = catalog.DigestKey("key")
			}
			a.server.sessions[ses] = struct{}{}
		}
		start := time.Now()
		a.apply(removals["one key"])
		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
		woken := 0
		for ses := range a.server.sessions {
			if ses.conn.(*fakeConn).deadline != nil {
				woken++
			}
		}
		So(woken, ShouldEqual, 100)
	})
}

// Guards against an idle transaction that is kept because each new configuration wakes its
// session and restarts the time for which it may be idle.
func TestTransactionIdleDuringChanges(t *testing.T) {
	Convey("A transaction on a public route expires although the configuration changes", t, func() {
		configuration := func(version uint64) *catalog.Configuration {
			c := tenantConfiguration(version, map[string][]string{"a": {"key"}})
			c.TransactionIdle = 150 * time.Millisecond
			return c
		}
		a := newAccessTest(configuration(1))
		conn, _ := a.connect("open", "")
		conn.query(t, query.Begin, "")
		conn.query(t, query.Write, "w")
		So(a.home.units(), ShouldEqual, 1)
		for version := uint64(2); version < 12; version++ {
			time.Sleep(50 * time.Millisecond)
			a.apply(configuration(version))
		}
		So(a.home.units(), ShouldEqual, 0)
	})
}

// eventually fails the test if condition does not hold within two seconds.
func eventually(condition func() bool) {
	deadline := time.Now().Add(2 * time.Second)
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	So(condition(), ShouldBeTrue)
}
