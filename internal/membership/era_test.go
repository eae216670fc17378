package membership

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

func TestRegistrationsInNewEra(t *testing.T) {
	own := registrationObject("a", "10.0.0.1:7440", "north")
	other := registrationObject("b", "10.0.0.2:7440", "north")
	known := func(m *Members, name string) bool {
		_, ok := m.view.Load().Find(name)
		return ok
	}
	Convey("VMs that the store has lost are kept until they have had the time to register again", t, func() {
		m := newMembers("a")
		m.Replace([]store.Object{own, other, registrationObject("c", "10.0.0.3:7440", "north")})
		m.BeginEra(store.AnnouncedEra(2))
		m.Replace([]store.Object{own})
		So(known(m, "b") && known(m, "c"), ShouldBeTrue)
		m.Change(other)
		m.mu.Lock()
		m.missingUntil = time.Now()
		m.dropMissing(time.Now())
		_, kept := m.registered["b"]
		_, lost := m.registered["c"]
		m.mu.Unlock()
		So(kept, ShouldBeTrue)
		So(lost, ShouldBeFalse)
		Convey("and later lists are taken as complete", func() {
			m.Replace([]store.Object{own})
			m.mu.Lock()
			defer m.mu.Unlock()
			So(m.registered, ShouldHaveLength, 1)
		})
	})
	Convey("A daemon registers again if the store has lost its registration or has an older one", t, func() {
		for _, listed := range [][]store.Object{nil, {registrationObject("a", "10.0.0.9:7440", "north")}, {registrationObject("a", "10.0.0.1:7440", "south")}} {
			m := newMembers("a")
			m.Replace([]store.Object{own, other})
			m.BeginEra(store.AnnouncedEra(2))
			m.Replace(listed)
			So(m.removed, ShouldHaveLength, 1)
		}
	})
	Convey("A daemon that was not listed yet registers again too, and one that is listed does not", t, func() {
		m := newMembers("a")
		m.Replace([]store.Object{other})
		m.BeginEra(store.AnnouncedEra(2))
		m.Replace([]store.Object{other})
		So(m.removed, ShouldHaveLength, 1)
		m = newMembers("a")
		m.Replace([]store.Object{own})
		m.BeginEra(store.AnnouncedEra(2))
		m.Replace([]store.Object{own})
		So(m.removed, ShouldBeEmpty)
	})
	Convey("Daemons spread their calls, and keep missing VMs for longer than that", t, func() {
		m := newMembers("a")
		var objects []store.Object
		const vms = 640
		for i := range vms {
			objects = append(objects, registrationObject(string(rune('a'+i%26))+string(rune('a'+i/26)), "10.0.1.1:7440", "north"))
		}
		m.Replace(objects)
		const spread = vms * registrationSpread
		longest := time.Duration(0)
		for range 200 {
			m.BeginEra(store.AnnouncedEra(2))
			longest = max(longest, time.Duration(m.registrationDelay.Load()))
		}
		So(longest, ShouldBeBetween, spread/2, spread)
		So(time.Until(m.missingUntil), ShouldBeGreaterThan, spread+missingGrace/2)
	})
	Convey("The registration is written again after the delay", t, func() {
		s := &fakeStore{}
		m := newMembers("a")
		m.Replace([]store.Object{own})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			m.KeepRegistered(ctx, s)
			close(ended)
		}()
		for s.putCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		before := s.putCount()
		m.BeginEra(store.AnnouncedEra(2))
		m.Replace(nil)
		for s.putCount() == before {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-ended
	})
}
