package node

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// regionRelay is a RelaySelector of a relay that follows a head relay.
type regionRelay struct {
	fixedRelay
	head     *peer.Client
	outdated atomic.Bool
}

func (r *regionRelay) HeadRelay() *peer.Client {
	if r.outdated.Load() {
		return nil
	}
	return r.head
}

func (r *regionRelay) RelayOutdated(string) { r.outdated.Store(true) }

// startHead starts the peer server of a head relay and returns a selector that follows it.
func startHead(t *testing.T, s *peer.Server) *regionRelay {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.Name = "head"
	go s.Serve(l)
	r := &regionRelay{head: peer.NewClient(peer.Identity{Name: "relay"}, "head", l.Addr().String(), nopObserver{})}
	t.Cleanup(r.head.Close)
	return r
}

// Guards against a relay that follows the head relay of its region with a copy that its own
// followers can't use, and against one that waits on a head relay that has lost the store.
func TestRelayFollowsHead(t *testing.T) {
	Convey("A relay that follows the head relay of its region", t, func() {
		const age = 10 * time.Second
		headCopy := newMirror(age)
		headCopy.replace(boottime.Now(), store.Page{Era: testEra, Revision: 50})
		relays := startHead(t, &peer.Server{Objects: mirrors{"things": headCopy}})
		recorder := &waitRecorder{waits: make(chan time.Duration, 1)}
		var changed atomic.Int64
		f := &feed{
			kind: "things", relays: relays, objects: recorder, mirror: newMirror(age), wait: time.Second, log: eventlog.New(), followsHead: true,
			onReplace: func([]store.Object) {}, onChange: func(store.Object) { changed.Add(1) },
		}
		f.mirror.replace(fromRelay, store.Page{Era: testEra, Revision: 50})
		So(f.mirror.isCurrent(), ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.runFrom(ctx, at(50))
		}()
		defer func() {
			cancel()
			<-done
		}()
		// The watch of the relay may begin before or after the confirmation.
		becomesCurrent := func() bool {
			headCopy.change(boottime.Now(), store.Page{Era: testEra, Revision: 50})
			return f.mirror.isCurrent()
		}
		eventually(t, becomesCurrent)
		So(len(recorder.waits), ShouldEqual, 0)
		Convey("gets its changes without a call to the store", func() {
			headCopy.change(boottime.Now(), store.Page{Era: testEra, Revision: 51, Objects: []store.Object{testObject("a", 51)}})
			eventually(t, func() bool { return changed.Load() == 1 })
			So(len(recorder.waits), ShouldEqual, 0)
		})
		Convey("calls the store at once, without a wait, when a call of the head relay has failed", func() {
			started := time.Now()
			headCopy.setFailing()
			So(<-recorder.waits, ShouldEqual, 0)
			So(time.Since(started), ShouldBeLessThan, headWait)
		})
		Convey("calls the store when the copy of the head relay has run out", func() {
			headCopy.mu.Lock()
			headCopy.maxAge = 0
			headCopy.mu.Unlock()
			So(<-recorder.waits, ShouldEqual, 0)
		})
		Convey("calls the store when the head relay ends", func() {
			relays.head.Close()
			So(<-recorder.waits, ShouldEqual, 0)
		})
	})
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 5 s")
		}
	}
}

// countingStore answers reads of the promotion intents and counts them. silent makes it wait.
type countingStore struct {
	reads  atomic.Int64
	silent atomic.Bool
}

// ReadIntents implements primarylease.Reader.
func (s *countingStore) ReadIntents(ctx context.Context) (primarylease.Record, error) {
	s.reads.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return primarylease.Record{}, ctx.Err()
	}
	return primarylease.Record{ReadStart: boottime.Now(), Read: at(1), WrittenIn: testEra}, nil
}

// Guards against relays that each read the promotion intents from the store, six of them 303
// times on a quiet day of 48 s, and against a head relay that holds up the leases of its
// region when it has lost the store.
func TestIntentsFromHead(t *testing.T) {
	Convey("A relay that follows the head relay of its region reads the intents there", t, func() {
		headStore, ownStore := &countingStore{}, &countingStore{}
		relays := startHead(t, &peer.Server{StoreIntents: primarylease.New(headStore)})
		direct := primarylease.New(ownStore)
		reader := &relayIntentReader{relays: relays, direct: direct}
		served := relayIntents{relays: relays, followed: primarylease.New(intentsOnly{reader}), direct: direct}
		before := boottime.Now()
		r, ok := served.RecentRecord()
		So(ok, ShouldBeTrue)
		So(r.ReadStart, ShouldBeGreaterThanOrEqualTo, before)
		So(r.ReadStart, ShouldBeLessThanOrEqualTo, boottime.Now())
		So(headStore.reads.Load(), ShouldEqual, 1)
		So(ownStore.reads.Load(), ShouldEqual, 0)
		Convey("and from the store while the head relay has lost it", func() {
			headStore.silent.Store(true)
			started := time.Now()
			eventually(t, func() bool {
				_, ok := served.RecentRecord()
				return ok && ownStore.reads.Load() > 0
			})
			So(time.Since(started), ShouldBeLessThan, 2*time.Second)
			eventually(t, relays.outdated.Load)
		})
	})
}

// intentsOnly reads without noting the point of the store's history.
type intentsOnly struct{ reader *relayIntentReader }

// ReadIntents implements primarylease.Reader.
func (i intentsOnly) ReadIntents(context.Context) (primarylease.Record, error) {
	return i.reader.read()
}
