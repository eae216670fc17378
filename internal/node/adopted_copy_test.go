package node

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// alternativeRelay is the RelaySelector of a relay that knows another one.
type alternativeRelay struct {
	fixedRelay
	alternative *peer.Client
}

func (r *alternativeRelay) AlternativeRelay() *peer.Client { return r.alternative }

// Guards against daemons that start while the store is silent and serve nobody until it is
// back: no copy of a peer is current then, and of 2,640 refusals in a rolling restart of 91
// daemons, 1,749 came from daemons without a list of targets.
func TestStartWithPeersCopy(t *testing.T) {
	newFeed := func(relays RelaySelector, known *[]store.Object) *feed {
		objects := &silentStore{}
		objects.silent.Store(true)
		return &feed{
			kind: "things", relays: relays, objects: objects, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(),
			onReplace: func(objects []store.Object) { *known = objects }, onChange: func(store.Object) {},
		}
	}
	outdated := func() *mirror {
		m := newMirror(time.Second)
		m.replace(boottime.Now()-time.Hour, store.Page{Era: testEra, Revision: 50, Objects: []store.Object{testObject("a", 50)}})
		return m
	}
	startsWithin := func(f *feed, limit time.Duration) (store.Point, bool) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		for ctx.Err() == nil {
			if next, err := f.poll(ctx, store.Point{}); err == nil {
				return next, true
			}
			time.Sleep(firstBackoff)
		}
		return store.Point{}, false
	}
	Convey("While the store is silent, a daemon begins with the outdated copy of a peer", t, func() {
		for _, relays := range []RelaySelector{&fixedRelay{startRelay(t, outdated())}, &alternativeRelay{alternative: startRelay(t, outdated())}} {
			var known []store.Object
			f := newFeed(relays, &known)
			next, ok := startsWithin(f, firstCopyWait+time.Second)
			So(ok, ShouldBeTrue)
			So(next, ShouldResemble, at(50))
			So(known, ShouldHaveLength, 1)
			// Others must not take it for a current one.
			So(f.mirror.isCurrent(), ShouldBeFalse)
		}
	})
	Convey("A peer without a copy gives none", t, func() {
		var known []store.Object
		f := newFeed(&alternativeRelay{alternative: startRelay(t, newMirror(time.Second))}, &known)
		_, ok := startsWithin(f, firstCopyWait+time.Second)
		So(ok, ShouldBeFalse)
		So(known, ShouldBeEmpty)
	})
	Convey("A daemon that has a copy does not go back to an outdated one", t, func() {
		var known []store.Object
		f := newFeed(&fixedRelay{startRelay(t, outdated())}, &known)
		f.emptySince = boottime.Now() - time.Hour
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		next, _ := f.poll(ctx, at(60))
		So(next, ShouldResemble, at(60))
		So(known, ShouldBeEmpty)
	})
	// Guards against a daemon that goes back to an earlier list of targets when the store has
	// dropped its history.
	Convey("Nor does one that has to list again", t, func() {
		var known []store.Object
		f := newFeed(&fixedRelay{startRelay(t, outdated())}, &known)
		f.emptySince = boottime.Now() - time.Hour
		f.mirror.replace(fromRelay, store.Page{Era: testEra, Revision: 60})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := f.poll(ctx, at(0))
		So(err, ShouldNotBeNil)
		So(known, ShouldBeEmpty)
	})
}
