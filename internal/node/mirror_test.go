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

// testEra is the era of the store in the tests of mirrors and feeds.
const testEra = store.UnannouncedEra + 1

// at returns a point of testEra.
func at(r store.Revision) store.Point {
	return store.Point{Era: testEra, Revision: r}
}

func TestMirror(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	Convey("A follower gets what changed after its revision", t, func() {
		m := newMirror(time.Second)
		So(m.watch(ended, at(0), false).Current, ShouldBeFalse)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10, Objects: []store.Object{testObject("a", 3), testObject("b", 9)}})
		r := m.watch(ended, at(0), false)
		So(r.Current && r.Complete, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 2)
		So(m.watch(ended, at(10), false).Page.Objects, ShouldBeEmpty)
		removed := testObject("a", 3)
		removed.Deleted = true
		m.change(boottime.Now(), store.Page{Era: testEra, Revision: 12, Objects: []store.Object{testObject("b", 12), removed}})
		r = m.watch(ended, at(10), false)
		So(r.Complete, ShouldBeFalse)
		So(r.Page.Objects, ShouldHaveLength, 2)
		So(r.Page.Revision, ShouldEqual, store.Revision(12))
	})
	Convey("A follower whose revision is before the first listing gets all objects, without removed ones", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10, Objects: []store.Object{testObject("a", 3), testObject("b", 9)}})
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 20, Objects: []store.Object{testObject("b", 9)}})
		r := m.watch(ended, at(5), false)
		So(r.Complete, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 1)
		r = m.watch(ended, at(10), false)
		So(r.Page.Objects, ShouldHaveLength, 1)
		So(r.Page.Objects[0].Deleted, ShouldBeTrue)
	})
	Convey("Tombstones are dropped when there are many, and older followers get all objects", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 1, Objects: []store.Object{testObject("kept", 1)}})
		for i := range 2 * maxTombstones {
			removed := testObject(fmt.Sprint(i), 0)
			removed.Deleted = true
			m.change(boottime.Now(), store.Page{Era: testEra, Revision: store.Revision(i + 2), Objects: []store.Object{removed}})
		}
		So(len(m.objects), ShouldBeLessThanOrEqualTo, maxTombstones+1)
		r := m.watch(ended, at(5), false)
		So(r.Complete, ShouldBeTrue)
		So(r.Page.Objects, ShouldHaveLength, 1)
	})
	Convey("A copy that is older than maxAge is not served as current", t, func() {
		m := newMirror(0)
		m.maxAge = 10 * time.Millisecond
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10})
		time.Sleep(15 * time.Millisecond)
		So(m.watch(ended, at(0), false).Current, ShouldBeFalse)
	})
	// Guards against a follower that keeps waiting on a relay whose copy is no longer
	// current: one that had started to wait just before that had a configuration in force
	// only after 4.03 s.
	Convey("A waiting follower is answered as soon as the copy is no longer current", t, func() {
		m := newMirror(0)
		m.maxAge = 100 * time.Millisecond
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		started := time.Now()
		So(m.watch(ctx, at(10), false).Current, ShouldBeFalse)
		So(time.Since(started), ShouldBeBetween, 50*time.Millisecond, time.Second)
	})
	Convey("A follower waits for a change and is woken by it", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 10})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		time.AfterFunc(20*time.Millisecond, func() {
			m.change(boottime.Now(), store.Page{Era: testEra, Revision: 11, Objects: []store.Object{testObject("a", 11)}})
		})
		So(m.watch(ctx, at(10), false).Page.Objects, ShouldHaveLength, 1)
	})
}

// scriptedStore is a store whose watches return the given pages in order.
type scriptedStore struct{ pages []store.Page }

func (s *scriptedStore) List(context.Context, store.Kind) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

func (s *scriptedStore) Watch(context.Context, store.Kind, store.Point, time.Duration) (store.Page, error) {
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

func (s *failingStore) Watch(context.Context, store.Kind, store.Point, time.Duration) (store.Page, error) {
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
			f.runFrom(ctx, at(50))
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

func (f *fixedRelay) HeadRelay() *peer.Client { return nil }
func (f *fixedRelay) Relay() *peer.Client     { return f.client }

func (f *fixedRelay) RelayOutdated(string) {}

func (f *fixedRelay) JoiningFor() time.Duration      { return 0 }
func (f *fixedRelay) DomainSize() (int, bool)        { return 1, true }
func (f *fixedRelay) AlternativeRelay() *peer.Client { return nil }

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
		first.replace(boottime.Now(), store.Page{Era: testEra, Revision: 50, Objects: []store.Object{testObject("a", 50)}})
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go (&peer.Server{Name: "first", Objects: mirrors{"things": first}}).Serve(l)

		relays := &fixedRelay{peer.NewClient(peer.Identity{Name: "second"}, "first", l.Addr().String(), nopObserver{})}
		second := newMirror(time.Second)
		f := &feed{
			kind: "things", relays: relays, mirror: second, wait: time.Second, log: eventlog.New(),
			objects:   &scriptedStore{pages: []store.Page{{Era: testEra, Revision: 60, Objects: []store.Object{testObject("b", 60)}}}},
			onReplace: func([]store.Object) {}, onChange: func(store.Object) {},
		}
		f.fallbackPause, f.nextFallback = maxFallbackPause, boottime.Now()+maxFallbackPause
		from, err := f.poll(context.Background(), store.Point{})
		So(err, ShouldBeNil)
		// An answer of the relay ends the pause after an outage.
		So(f.fallbackPause+f.nextFallback, ShouldEqual, 0)
		So(from, ShouldResemble, at(50))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		So(second.watch(ended, at(0), false).Current, ShouldBeFalse)

		relays.client.Close()
		relays.client = nil
		_, err = f.poll(context.Background(), from)
		So(err, ShouldBeNil)
		r := second.watch(ended, at(40), false)
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

func (w *waitRecorder) Watch(ctx context.Context, _ store.Kind, from store.Point, wait time.Duration) (store.Page, error) {
	select {
	case w.waits <- wait:
	case <-ctx.Done():
	}
	return store.Page{Era: from.Era, Revision: from.Revision}, nil
}

// Guards against a new relay that serves its followers only after its first watch has
// waited for a change; they called the store themselves meanwhile.
func TestFirstWatchOfRelay(t *testing.T) {
	Convey("A new relay has a current copy after one call that does not wait", t, func() {
		recorder := &waitRecorder{waits: make(chan time.Duration)}
		f := &feed{kind: "things", objects: recorder, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(), onChange: func(store.Object) {}}
		f.mirror.replace(fromRelay, store.Page{Era: testEra, Revision: 5})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.runFrom(ctx, at(5))
		So(<-recorder.waits, ShouldEqual, 0)
		So(<-recorder.waits, ShouldEqual, time.Second)
		So(f.mirror.isCurrent(), ShouldBeTrue)
	})
}

// later returns a point of the era after testEra.
func later(r store.Revision) store.Point {
	return store.Point{Era: testEra + 1, Revision: r}
}

func TestMirrorInNewEra(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// Guards against followers that stay deaf until the revisions have passed the old ones
	// again: a listing at revision 100, then one at 60 and a change at 61.
	Convey("Followers of an earlier era get all objects, whatever their revision", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 100, Objects: []store.Object{testObject("a", 90), testObject("gone", 95)}})
		m.replace(boottime.Now(), store.Page{Era: testEra + 1, Revision: 60, Objects: []store.Object{testObject("a", 50)}})
		for _, from := range []store.Point{at(100), at(60), at(10)} {
			r := m.watch(ended, from, false)
			So(r.Current && r.Complete, ShouldBeTrue)
			So(r.Page.Point(), ShouldResemble, later(60))
			So(r.Page.Objects, ShouldResemble, []store.Object{testObject("a", 50)})
		}
		m.change(boottime.Now(), store.Page{Era: testEra + 1, Revision: 61, Objects: []store.Object{testObject("b", 61)}})
		r := m.watch(ended, later(60), false)
		So(r.Complete, ShouldBeFalse)
		So(r.Page.Objects, ShouldResemble, []store.Object{testObject("b", 61)})
	})
	Convey("A waiting follower is woken by a listing of a new era with a lower revision", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 100})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		time.AfterFunc(20*time.Millisecond, func() { m.replace(boottime.Now(), store.Page{Era: testEra + 1, Revision: 60}) })
		started := time.Now()
		So(m.watch(ctx, at(100), false).Page.Point(), ShouldResemble, later(60))
		So(time.Since(started), ShouldBeLessThan, time.Second)
	})
	Convey("Pages of an earlier era change nothing, and changes without a listing of their era neither", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra + 1, Revision: 60})
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 100, Objects: []store.Object{testObject("a", 90)}})
		m.change(boottime.Now(), store.Page{Era: testEra, Revision: 101, Objects: []store.Object{testObject("a", 101)}})
		m.change(boottime.Now(), store.Page{Era: testEra + 2, Revision: 5, Objects: []store.Object{testObject("a", 5)}})
		r := m.watch(ended, later(1), false)
		So(r.Page.Point(), ShouldResemble, later(60))
		So(r.Page.Objects, ShouldBeEmpty)
	})
	Convey("A relay of an earlier era is not current for a follower that knows the later one", t, func() {
		m := newMirror(time.Second)
		m.replace(boottime.Now(), store.Page{Era: testEra, Revision: 100})
		So(m.watch(ended, later(60), false).Current, ShouldBeFalse)
	})
}

// eraStore is a store that has begun the era after testEra.
type eraStore struct{ lists atomic.Int64 }

func (s *eraStore) List(context.Context, store.Kind) (store.Page, error) {
	s.lists.Add(1)
	return store.Page{Era: testEra + 1, Revision: 60, Objects: []store.Object{testObject("a", 50)}}, nil
}

func (s *eraStore) Watch(ctx context.Context, _ store.Kind, from store.Point, _ time.Duration) (store.Page, error) {
	if from.Era != testEra+1 {
		return store.Page{}, store.ErrEraChanged
	}
	<-ctx.Done()
	return store.Page{}, store.ErrUnavailable
}

func TestFeedInNewEra(t *testing.T) {
	Convey("A feed lists again in a new era, and says so before it delivers", t, func() {
		s := &eraStore{}
		delivered := make(chan []store.Object, 1)
		var eras, points []any
		f := &feed{
			kind: "things", objects: s, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(),
			onEra:     func(e store.Era, _ time.Duration) { eras = append(eras, e) },
			onPoint:   func(p store.Point) { points = append(points, p) },
			onReplace: func(objects []store.Object) { delivered <- objects }, onChange: func(store.Object) {},
		}
		f.mirror.replace(boottime.Now(), store.Page{Era: testEra, Revision: 100})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.runFrom(ctx, at(100))
		}()
		objects := <-delivered
		time.Sleep(20 * time.Millisecond)
		cancel()
		<-ended
		So(objects[0].Point(), ShouldResemble, later(50))
		So(eras, ShouldResemble, []any{testEra + 1})
		So(points[0], ShouldResemble, later(60))
		So(s.lists.Load(), ShouldEqual, 1)
	})
	Convey("A follower does not follow a relay that is in an earlier era, and takes the copy of one in a later era", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		relayMirror := newMirror(time.Minute)
		relayMirror.replace(boottime.Now(), store.Page{Era: testEra, Revision: 100})
		go (&peer.Server{Name: "relay", Objects: mirrors{"things": relayMirror}}).Serve(l)
		relays := &fixedRelay{peer.NewClient(peer.Identity{Name: "follower"}, "relay", l.Addr().String(), nopObserver{})}
		defer relays.client.Close()
		var got []store.Object
		f := &feed{kind: "things", relays: relays, mirror: newMirror(time.Second), wait: 50 * time.Millisecond, log: eventlog.New(), objects: &failingStore{},
			onReplace: func(objects []store.Object) { got = objects }, onChange: func(store.Object) {}}
		_, err = f.poll(context.Background(), later(60))
		So(err, ShouldNotBeNil)
		relayMirror.replace(boottime.Now(), store.Page{Era: testEra + 2, Revision: 3, Objects: []store.Object{testObject("b", 2)}})
		next, err := f.poll(context.Background(), later(60))
		So(err, ShouldBeNil)
		So(next, ShouldResemble, store.Point{Era: testEra + 2, Revision: 3})
		So(got, ShouldHaveLength, 1)
	})
}
