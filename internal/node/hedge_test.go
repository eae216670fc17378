package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// silentStore gives no answer to calls that start while it is silent, also after it has
// come back. It counts the calls.
type silentStore struct {
	silent atomic.Bool
	calls  atomic.Int64
}

func (s *silentStore) List(ctx context.Context, _ store.Kind) (store.Page, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return store.Page{}, store.ErrUnavailable
	}
	return store.Page{Era: testEra, Revision: 7}, nil
}

func (s *silentStore) Watch(ctx context.Context, _ store.Kind, from store.Point, _ time.Duration) (store.Page, error) {
	<-ctx.Done()
	return store.Page{Era: from.Era, Revision: from.Revision}, nil
}

// neverAnswering is the progress of a call that receives no part of an answer.
func neverAnswering() bool { return false }

// Guards against a start that waits for the time-out of its first call: after all VMs
// had lost power while the store was silent, 85 daemons served nobody for up to two
// seconds after the store was back.
func TestStartWhileStoreIsSilent(t *testing.T) {
	Convey("A daemon that starts while the store is silent has its first list soon after the store is back", t, func() {
		s := &silentStore{}
		s.silent.Store(true)
		listed := make(chan struct{})
		f := &feed{
			kind: "things", objects: s, mirror: newMirror(time.Second), wait: time.Second, log: eventlog.New(),
			onReplace: func([]store.Object) { close(listed) }, onChange: func(store.Object) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.run(ctx)
		time.Sleep(hedgeInterval / 4)
		s.silent.Store(false)
		returned := time.Now()
		<-listed
		So(time.Since(returned), ShouldBeLessThan, listTimeout/2)
	})
	Convey("A store that stays silent is called once per interval", t, func() {
		s := &silentStore{}
		s.silent.Store(true)
		const interval, length = 20 * time.Millisecond, 200 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		_, err := hedge(ctx, interval, neverAnswering, func(ctx context.Context) (store.Page, error) { return s.List(ctx, "things") })
		So(err, ShouldNotBeNil)
		So(s.calls.Load(), ShouldBeBetween, 1, int64(length/interval)+2)
	})
	Convey("An error is returned at once if no other attempt is under way", t, func() {
		calls := 0
		_, err := hedge(context.Background(), time.Hour, neverAnswering, func(context.Context) (int, error) {
			calls++
			return 0, store.ErrUnavailable
		})
		So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
		So(calls, ShouldEqual, 1)
	})
}
