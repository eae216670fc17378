package node

import (
	"context"
	"fmt"
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

// testObject returns an object without a value.
func testObject(name string, version store.Revision) store.Object {
	return store.Object{Key: store.Key{Kind: "things", Name: name}, Version: version}
}

func TestMirror(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	Convey("A follower gets what changed after its revision", t, func() {
		m := newMirror(time.Second)
		So(m.watch(ended, 0).Current, ShouldBeFalse)
		m.replace(boottime.Now(), store.Page{Revision: 10, Objects: []store.Object{testObject("a", 3), testObject("b", 9)}})
		r := m.watch(ended, 0)
		So(r.Current && r.Complete, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 2)
		So(m.watch(ended, 10).Page.Objects, ShouldBeEmpty)
		removed := testObject("a", 3)
		removed.Deleted = true
		m.change(boottime.Now(), store.Page{Revision: 12, Objects: []store.Object{testObject("b", 12), removed}})
		r = m.watch(ended, 10)
		So(r.Complete, ShouldBeFalse)
		So(r.Page.Objects, ShouldHaveLength, 2)
		So(r.Page.Revision, ShouldEqual, store.Revision(12))
	})
	Convey("A follower whose revision is before the first listing gets all objects, without removed ones", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Revision: 10, Objects: []store.Object{testObject("a", 3), testObject("b", 9)}})
		m.replace(boottime.Now(), store.Page{Revision: 20, Objects: []store.Object{testObject("b", 9)}})
		r := m.watch(ended, 5)
		So(r.Complete, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 1)
		r = m.watch(ended, 10)
		So(r.Page.Objects, ShouldHaveLength, 1)
		So(r.Page.Objects[0].Deleted, ShouldBeTrue)
	})
	Convey("Tombstones are dropped when there are many, and older followers get all objects", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Revision: 1, Objects: []store.Object{testObject("kept", 1)}})
		for i := range 2 * maxTombstones {
			removed := testObject(fmt.Sprint(i), 0)
			removed.Deleted = true
			m.change(boottime.Now(), store.Page{Revision: store.Revision(i + 2), Objects: []store.Object{removed}})
		}
		So(len(m.objects), ShouldBeLessThanOrEqualTo, maxTombstones+1)
		r := m.watch(ended, 5)
		So(r.Complete, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 1)
	})
	Convey("A copy that is older than maxAge is not served as current", t, func() {
		m := newMirror(0)
		m.maxAge = 10 * time.Millisecond
		m.replace(boottime.Now(), store.Page{Revision: 10})
		time.Sleep(15 * time.Millisecond)
		So(m.watch(ended, 0).Current, ShouldBeFalse)
	})
	// Guards against a follower that keeps waiting on a relay whose copy is no longer
	// current: one that had started to wait just before that had a configuration in force
	// only after 4.03 s.
	Convey("A waiting follower is answered as soon as the copy is no longer current", t, func() {
		m := newMirror(0)
		m.maxAge = 100 * time.Millisecond
		m.replace(boottime.Now(), store.Page{Revision: 10})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		started := time.Now()
		So(m.watch(ctx, 10).Current, ShouldBeFalse)
		So(time.Since(started), ShouldBeBetween, 50*time.Millisecond, time.Second)
	})
	Convey("A follower waits for a change and is woken by it", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Revision: 10})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		time.AfterFunc(20*time.Millisecond, func() {
			m.change(boottime.Now(), store.Page{Revision: 11, Objects: []store.Object{testObject("a", 11)}})
		})
		So(m.watch(ctx, 10).Page.Objects, ShouldHaveLength, 1)
	})
}

// scriptedStore is a store whose watches return the given pages in order.
type scriptedStore struct{ pages []store.Page }

func (s *scriptedStore) List(context.Context, store.Kind) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

func (s *scriptedStore) Watch(context.Context, store.Kind, store.Revision, time.Duration) (store.Page, error) {
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

// failingStore is a store that fails every call immediately and counts the calls.
type failingStore struct{ calls atomic.Int64 }

func (s *failingStore) List(context.Context, store.Kind) (store.Page, error) {
	s.calls.Add(1)
	return store.Page{}, store.ErrUnavailable
}

func (s *failingStore) Watch(context.Context, store.Kind, store.Revision, time.Duration) (store.Page, error) {
	s.calls.Add(1)
	return store.Page{}, store.ErrUnavailable
}

// Guards against load on a store in an outage: each of 89 daemons called it more than
// twice a second per kind, although its relay already did.
func TestFollowersInAnOutage(t *testing.T) {
	Convey("Followers whose relay has lost the store call the store rarely, and the relay calls it often", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		relayMirror := newMirror(time.Second)
		go (&peer.Server{Name: "relay", Objects: mirrors{"things": relayMirror}}).Serve(l)
		relays := &fixedRelay{peer.NewClient(peer.Identity{Name: "follower"}, "relay", l.Addr().String(), nopObserver{})}
		defer relays.client.Close()
		calls := func(r RelaySelector) int64 {
			s := &failingStore{}
			f := &feed{kind: "things", relays: r, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(), objects: s,
				onReplace: func([]store.Object) {}, onChange: func(store.Object) {}}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			f.runFrom(ctx, 50)
			return s.calls.Load()
		}
		So(calls(relays), ShouldBeLessThanOrEqualTo, 4)
		So(calls(&fixedRelay{}), ShouldBeGreaterThan, 6)
	})
}

// ReadIntents implements primarylease.Reader; it fails as the other calls do.
func (s *failingStore) ReadIntents(context.Context) (primarylease.Record, error) {
	s.calls.Add(1)
	return primarylease.Record{}, store.ErrUnavailable
}

func TestIntentsInAnOutage(t *testing.T) {
	Convey("A follower whose relay has no intents reads them from the store once a second", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go (&peer.Server{Name: "relay"}).Serve(l)
		relays := &fixedRelay{peer.NewClient(peer.Identity{Name: "follower"}, "relay", l.Addr().String(), nopObserver{})}
		defer relays.client.Close()
		s := &failingStore{}
		intents := &relayIntentReader{relays: relays, direct: primarylease.New(s)}
		const outage = 2500 * time.Millisecond
		for started := time.Now(); time.Since(started) < outage; time.Sleep(10 * time.Millisecond) {
			_, err := intents.ReadIntents(context.Background())
			So(err, ShouldNotBeNil)
		}
		So(s.calls.Load(), ShouldBeLessThanOrEqualTo, int64(outage/intentReadPause)+1)
	})
}

// fixedRelay is a RelaySelector that returns a fixed client.
type fixedRelay struct{ client *peer.Client }

func (f *fixedRelay) Relay() *peer.Client { return f.client }

func (f *fixedRelay) RelayOutdated(string) {}

func (f *fixedRelay) JoiningFor() time.Duration { return 0 }

func (f *fixedRelay) NearestOtherRelay() *peer.Client { return nil }

// nopObserver is a peer.Observer that does nothing.
type nopObserver struct{}

func (nopObserver) PeerResponded(string)          {}
func (nopObserver) PeerUnreachable(string, error) {}
func (nopObserver) PeerLeaving(string)            {}

// Guards against a new relay that serves only the objects that it read from the store,
// without those that it got as a follower: for 11 s, targets stayed unknown to a
// restarted home.
func TestFollowerBecomesRelay(t *testing.T) {
	Convey("A relay serves the objects that it got from its own relay before", t, func() {
		first := newMirror(time.Second)
		first.replace(boottime.Now(), store.Page{Revision: 50, Objects: []store.Object{testObject("a", 50)}})
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go (&peer.Server{Name: "first", Objects: mirrors{"things": first}}).Serve(l)

		relays := &fixedRelay{peer.NewClient(peer.Identity{Name: "second"}, "first", l.Addr().String(), nopObserver{})}
		second := newMirror(time.Second)
		f := &feed{
			kind: "things", relays: relays, mirror: second, wait: time.Second, log: eventlog.New(),
			objects:   &scriptedStore{pages: []store.Page{{Revision: 60, Objects: []store.Object{testObject("b", 60)}}}},
			onReplace: func([]store.Object) {}, onChange: func(store.Object) {},
		}
		f.fallbackPause, f.nextFallback = maxFallbackPause, boottime.Now()+maxFallbackPause
		from, err := f.poll(context.Background(), 0)
		So(err, ShouldBeNil)
		// An answer of the relay ends the pause after an outage.
		So(f.fallbackPause+f.nextFallback, ShouldEqual, 0)
		So(from, ShouldEqual, store.Revision(50))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		So(second.watch(ended, 0).Current, ShouldBeFalse)

		relays.client.Close()
		relays.client = nil
		_, err = f.poll(context.Background(), from)
		So(err, ShouldBeNil)
		r := second.watch(ended, 40)
		So(r.Current, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 2)
	})
}

// waitRecorder is a store whose watches return at once and record how long they were to
// wait.
type waitRecorder struct{ waits chan time.Duration }

func (w *waitRecorder) List(context.Context, store.Kind) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

func (w *waitRecorder) Watch(ctx context.Context, _ store.Kind, from store.Revision, wait time.Duration) (store.Page, error) {
	select {
	case w.waits <- wait:
	case <-ctx.Done():
	}
	return store.Page{Revision: from}, nil
}

// Guards against a new relay that serves its followers only after its first watch has
// waited for a change; they called the store themselves meanwhile.
func TestFirstWatchOfRelay(t *testing.T) {
	Convey("A new relay has a current copy after one call that does not wait", t, func() {
		recorder := &waitRecorder{waits: make(chan time.Duration)}
		f := &feed{kind: "things", objects: recorder, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(), onChange: func(store.Object) {}}
		f.mirror.replace(fromRelay, store.Page{Revision: 5})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.runFrom(ctx, 5)
		So(<-recorder.waits, ShouldEqual, 0)
		So(<-recorder.waits, ShouldEqual, time.Second)
		So(f.mirror.isCurrent(), ShouldBeTrue)
	})
}
