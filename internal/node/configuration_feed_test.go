package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/platform"
)

// twoRelays is a RelaySelector with a relay of the own failure domain, which may be nil, and
// one of another.
type twoRelays struct {
	fixedRelay
	other *peer.Client
}

func (r *twoRelays) NearestOtherRelay() *peer.Client { return r.other }

// startRelay starts a relay that serves a mirror and returns a client of it.
func startRelay(t *testing.T, m *mirror) *peer.Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go (&peer.Server{Name: "relay", Objects: mirrors{"things": m}}).Serve(l)
	c := peer.NewClient(peer.Identity{Name: "follower"}, "relay", l.Addr().String(), nopObserver{})
	t.Cleanup(c.Close)
	return c
}

func TestConfirmedTime(t *testing.T) {
	page := store.Page{Era: testEra, Revision: 10}
	newFeed := func(relays RelaySelector, objects Objects) (*feed, *time.Duration) {
		var confirmed time.Duration
		f := &feed{
			kind: "things", objects: objects, relays: relays, mirror: newMirror(time.Second), wait: 50 * time.Millisecond, log: eventlog.New(),
			onReplace: func([]store.Object) {}, onChange: func(store.Object) {}, onConfirmed: func(at time.Duration) { confirmed = at },
		}
		return f, &confirmed
	}
	// Guards against a follower under strict revocation that counts the answer of a relay as
	// confirmation although the relay itself heard from the store long before.
	Convey("A confirmation by a relay is as old as the relay's last answer of the store", t, func() {
		m := newMirror(time.Second)
		at := boottime.Now() - 700*time.Millisecond
		m.replace(at, page)
		f, confirmed := newFeed(&fixedRelay{startRelay(t, m)}, &failingStore{})
		_, err := f.poll(context.Background(), store.Point{Era: testEra, Revision: 10})
		So(err, ShouldBeNil)
		So(*confirmed, ShouldBeLessThanOrEqualTo, at)
		So(*confirmed, ShouldBeGreaterThan, at-500*time.Millisecond)
	})
	// Guards against a confirmation that counts from the start of a long watch.
	Convey("A confirmation during the wait of a watch counts from when it came", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now()-700*time.Millisecond, page)
		f, confirmed := newFeed(&fixedRelay{startRelay(t, m)}, &failingStore{})
		f.wait = 400 * time.Millisecond
		start := boottime.Now()
		time.AfterFunc(200*time.Millisecond, func() { m.change(boottime.Now(), page) })
		_, err := f.poll(context.Background(), store.Point{Era: testEra, Revision: 10})
		So(err, ShouldBeNil)
		So(*confirmed, ShouldBeGreaterThan, start+100*time.Millisecond)
	})
	// Guards against failed calls, and copies that are not current, that count as
	// confirmation.
	Convey("Neither a failed call nor a copy that is not current confirms", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now()-10*time.Second, page)
		f, confirmed := newFeed(&fixedRelay{startRelay(t, m)}, &failingStore{})
		_, err := f.poll(context.Background(), store.Point{Era: testEra, Revision: 10})
		So(err, ShouldNotBeNil)
		So(*confirmed, ShouldBeZeroValue)
	})
}

func TestOtherDomain(t *testing.T) {
	// Guards against daemons that keep a revoked key because the store refuses them and
	// every relay of their failure domain.
	Convey("A feed whose domain the store refuses learns of changes from a relay of another domain", t, func() {
		for _, hasRelay := range []bool{false, true} {
			ownMirror, otherMirror := newMirror(time.Second), newMirror(time.Minute)
			otherMirror.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10, Objects: []store.Object{testObject("a", 10)}})
			relays := &twoRelays{other: startRelay(t, otherMirror)}
			if hasRelay {
				relays.client = startRelay(t, ownMirror)
			}
			s := &failingStore{}
			delivered := make(chan store.Object, 10)
			f := &feed{
				kind: "things", objects: s, relays: relays, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(), acrossDomains: true,
				onReplace: func(objects []store.Object) { delivered <- objects[0] }, onChange: func(o store.Object) { delivered <- o },
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { f.run(ctx) })
			So((<-delivered).Version, ShouldEqual, store.Revision(10))
			start := time.Now()
			const changes = 3
			for i := range store.Revision(changes) {
				time.Sleep(600 * time.Millisecond)
				otherMirror.change(boottime.Now(), store.Page{Era: testEra, Revision: 11 + i, Objects: []store.Object{testObject("a", 11+i)}})
				changed := time.Now()
				So((<-delivered).Version, ShouldEqual, 11+i)
				So(time.Since(changed), ShouldBeLessThan, 2*time.Second)
			}
			elapsed := time.Since(start)
			cancel()
			wg.Wait()
			// The store is not called more often than before, see TestFollowersInAnOutage.
			So(s.calls.Load(), ShouldBeLessThan, int64(elapsed/(200*time.Millisecond))+4)
		}
	})
}

// joiningRelays is twoRelays while the founder of the failure domain is followed.
type joiningRelays struct{ twoRelays }

func (*joiningRelays) JoiningFor() time.Duration { return 50 * time.Millisecond }

// Guards against a watch with a negative wait, which ends before its answer can come: a feed
// that had no failed call to the store asked a relay of another failure domain with one.
func TestOtherDomainWithoutFallbackPause(t *testing.T) {
	Convey("A feed that may not call the store gets its changes from another domain, also without a pause between its calls to the store", t, func() {
		otherMirror := newMirror(time.Minute)
		otherMirror.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10, Objects: []store.Object{testObject("a", 10)}})
		relays := &joiningRelays{twoRelays{other: startRelay(t, otherMirror)}}
		relays.client = startRelay(t, newMirror(time.Second))
		f := &feed{
			kind: "things", objects: &failingStore{}, relays: relays, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(), acrossDomains: true,
			otherAnswered: true, onReplace: func([]store.Object) {}, onChange: func(store.Object) {},
		}
		next, err := f.poll(context.Background(), store.Point{Era: testEra, Revision: 5})
		So(err, ShouldBeNil)
		So(next.Revision, ShouldEqual, store.Revision(10))
	})
}

// keyedStore lists a configuration object and then has no changes.
type keyedStore struct{ object store.Object }

func (s *keyedStore) List(context.Context, store.Kind) (store.Page, error) {
	return store.Page{Era: testEra, Revision: 10, Objects: []store.Object{s.object}}, nil
}

func (s *keyedStore) Watch(context.Context, store.Kind, store.Point, time.Duration) (store.Page, error) {
	return store.Page{Era: testEra, Revision: 11, Objects: []store.Object{s.object}}, nil
}

// Guards against API keys in messages between daemons: relays send the configuration object
// to their followers.
func TestConfigurationWithoutKeys(t *testing.T) {
	Convey("The copy of the configuration that a relay sends has no keys, whatever its source", t, func() {
		const key = "sk-secret-1"
		configuration := map[string]any{"version": 1, "routes": []any{}}
		site.AddTenants(configuration, map[string][]string{"a": {key}})
		value, err := json.Marshal(configuration)
		So(err, ShouldBeNil)
		So(string(value), ShouldContainSubstring, key)
		o := store.Object{Key: store.Key{Kind: "things", Name: platform.ConfigurationName}, Version: 10, Value: value}
		newFeed := func(objects Objects, relays RelaySelector) (*feed, *[]store.Object) {
			var delivered []store.Object
			return &feed{
				kind: "things", objects: objects, relays: relays, mirror: newMirror(time.Second), wait: 50 * time.Millisecond, log: eventlog.New(),
				redact: platform.RedactConfiguration, onReplace: func(o []store.Object) { delivered = append(delivered, o...) },
				onChange: func(o store.Object) { delivered = append(delivered, o) },
			}, &delivered
		}
		check := func(f *feed, delivered *[]store.Object) {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			for _, o := range append(*delivered, f.mirror.watch(ended, store.Point{}, false).Page.Objects...) {
				So(string(o.Value), ShouldNotContainSubstring, key)
				c, err := platform.DecodeConfiguration(o)
				So(err, ShouldBeNil)
				So(c.Keys[catalog.DigestKey(key)], ShouldEqual, "a")
			}
		}
		f, delivered := newFeed(&keyedStore{o}, nil)
		for _, from := range []store.Point{{}, at(10)} {
			_, err := f.poll(context.Background(), from)
			So(err, ShouldBeNil)
		}
		So(*delivered, ShouldHaveLength, 2)
		check(f, delivered)

		// A relay of an earlier version sends the object as it is.
		m := newMirror(time.Minute)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10, Objects: []store.Object{o}})
		f, delivered = newFeed(&failingStore{}, &fixedRelay{startRelay(t, m)})
		_, err = f.poll(context.Background(), store.Point{})
		So(err, ShouldBeNil)
		So(*delivered, ShouldHaveLength, 1)
		check(f, delivered)
	})
}

// isClosed reports whether a session was closed without a message.
func isClosed(c *caller) bool {
	return c.ReadLine() == site.Closed
}

// startRefusableStore starts a proxy of the cluster's store that answers 503 while refuses is
// set, and returns its address.
func (tc *testCluster) startRefusableStore(refuses *atomic.Bool) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: tc.store.Address})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	tc.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// Guards against keys that daemons go on to accept after they were revoked, also a daemon
// that the store refuses and that is the only one of its failure domain.
func TestRevokedKey(t *testing.T) {
	Convey("After a key is revoked every daemon closes its sessions and refuses it", t, func() {
		tc := newTestCluster(t, "north", "south")
		var refuses atomic.Bool
		tc.refusingStore = tc.startRefusableStore(&refuses)
		refused := tc.start("vm-refused", "west")
		tc.eventually(4*time.Second, "the daemon of the west is ready", refused.Ready)
		nodes := append(tc.nodes, refused)

		tc.tenants = map[string][]string{"a": {"key-1", "key-2"}}
		tc.configure(dbCurrent)
		for _, n := range nodes {
			tc.eventually(4*time.Second, "the tenants are known", func() bool { return n.configuration.Version() == uint64(tc.version) })
			So(tc.connectWithKey(n, dbCurrent, "unknown").Refused, ShouldStartWith, "ERR NOAUTH")
		}
		var idle, open, kept []*caller
		for _, n := range nodes {
			idle, open, kept = append(idle, tc.connectWithKey(n, dbCurrent, "key-1")), append(open, tc.connectWithKey(n, dbCurrent, "key-1")), append(kept, tc.connectWithKey(n, dbCurrent, "key-2"))
		}
		for _, c := range open {
			So(c.Query("BEGIN").State, ShouldEqual, "T")
		}
		So(open[0].Query("WRITE k revoked").OK(), ShouldBeTrue)
		refuses.Store(true)
		for _, c := range kept {
			tc.eventually(3*time.Second, "a valid key is served", func() bool { return c.Query("READ x").OK() })
		}

		tc.tenants = map[string][]string{"a": {"key-2"}}
		tc.configure(dbCurrent)
		start := time.Now()
		for i, n := range nodes {
			So(isClosed(idle[i]), ShouldBeTrue)
			So(isClosed(open[i]), ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, 5*time.Second)
			So(tc.connectWithKey(n, dbCurrent, "key-1").Refused, ShouldStartWith, "ERR NOAUTH")
			So(kept[i].Query("WRITE k kept").OK(), ShouldBeTrue)
		}
	})
}

// Guards against strict revocation that refuses callers while the store answers, or that
// serves them when no source has confirmed the configuration.
func TestStrictRevocation(t *testing.T) {
	Convey("Under strict revocation keys are refused while the store is down, and served when it is back", t, func() {
		tc := newTestCluster(t)
		tc.strictRevocation = 2 * time.Second
		tc.tenants = map[string][]string{"a": {"key"}}
		tc.configure(dbCurrent)
		n, follower := tc.start("vm-0", "north"), tc.start("vm-1", "north")
		tc.eventually(5*time.Second, "the daemons are ready", func() bool { return n.Ready() && follower.Ready() })
		time.Sleep(listSettleTime)
		sessions := []*caller{tc.connectWithKey(n, dbCurrent, "key"), tc.connectWithKey(follower, dbCurrent, "key")}
		for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
			for _, c := range sessions {
				So(c.Query("READ k").Completion, ShouldNotContainSubstring, "configuration_stale")
			}
		}
		tc.store.SetFault(site.Unavailable)
		// A watch that waits at this moment is still answered.
		time.Sleep(tc.strictRevocation + configurationWait(n.settings) + 200*time.Millisecond)
		for _, c := range sessions {
			So(c.Query("READ k").Completion, ShouldStartWith, "ERR BUSY not run: configuration_stale")
		}
		So(tc.connectWithKey(n, dbCurrent, "key").Refused, ShouldStartWith, "ERR BUSY")
		tc.store.SetFault(site.Healthy)
		for _, c := range sessions {
			tc.eventually(3*time.Second, "callers are served again", func() bool { return c.Query("READ k").OK() })
		}
	})
}
