package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// localOpener is the opener of this daemon; it opens no unit.
type localOpener struct{}

func (localOpener) Open(stmtunit.Header) stmtunit.Unit { return nil }

// registrationObject returns the registration of a VM.
func registrationObject(name, address, domain string) store.Object {
	value, err := json.Marshal(registration{Address: address, FailureDomain: domain})
	if err != nil {
		panic(err)
	}
	return store.Object{Key: store.Key{Kind: KindVM, Name: name}, Version: 1, Value: value}
}

// newMembers returns the members as seen by the daemon name, in failure domain north.
func newMembers(name string) *Members {
	return New(fleet.VM{Name: name, Peer: netip.MustParseAddrPort("10.0.0.1:7440"), FailureDomain: "north"}, map[string]string{"north": "home", "south": "home", "west": "away", "empty": "home"}, localOpener{}, eventlog.New())
}

// homeName returns the name of the daemon that is the home of a group.
func homeName(m *Members, group string) string {
	if c, ok := m.Openers(group)[0].(*peer.Client); ok {
		return c.Name()
	}
	return m.self.Name
}

func TestHomeSelection(t *testing.T) {
	registrations := []store.Object{registrationObject("a", "10.0.0.1:7440", "north"), registrationObject("b", "10.0.0.2:7440", "north"), registrationObject("c", "10.0.0.3:7440", "north"), registrationObject("d", "10.0.1.1:7440", "south")}
	Convey("Daemons of a failure domain agree on the home of each group, and the groups are spread over them", t, func() {
		a, b := newMembers("a"), newMembers("b")
		b.self.Peer = netip.MustParseAddrPort("10.0.0.2:7440")
		a.Replace(registrations)
		b.Replace(registrations)
		seen := map[string]int{}
		for i := range 60 {
			group := fmt.Sprint("g", i)
			So(homeName(a, group), ShouldEqual, homeName(b, group))
			seen[homeName(a, group)]++
		}
		So(seen["d"], ShouldEqual, 0)
		for _, name := range []string{"a", "b", "c"} {
			So(seen[name], ShouldBeGreaterThan, 5)
		}
	})
	Convey("A home that is lost or leaves is replaced by the next candidate, and finally by this daemon", t, func() {
		a := newMembers("a")
		a.Replace(registrations)
		group := ""
		for i := range 60 {
			if g := fmt.Sprint("g", i); homeName(a, g) == "b" {
				group = g
			}
		}
		So(group, ShouldNotBeEmpty)
		openers := a.Openers(group)
		So(openers[len(openers)-1], ShouldResemble, localOpener{})
		a.PeerUnreachable("b", errors.New("gone"))
		So(homeName(a, group), ShouldNotEqual, "b")
		a.PeerResponded("b")
		So(homeName(a, group), ShouldEqual, "b")
		a.PeerLeaving("b")
		So(homeName(a, group), ShouldNotEqual, "b")
		a.PeerLeaving("c")
		So(homeName(a, group), ShouldEqual, "a")
	})
	Convey("Registrations that can't be decoded are ignored, and a removed one is dropped", t, func() {
		a := newMembers("a")
		broken := registrationObject("x", "nowhere", "north")
		garbage := registrationObject("y", "10.0.0.9:1", "north")
		garbage.Value = []byte("\xff")
		a.Replace(append([]store.Object{broken, garbage}, registrations...))
		So(a.registered, ShouldHaveLength, 4)
		removed := registrationObject("c", "10.0.0.3:7440", "north")
		removed.Deleted = true
		a.Change(removed)
		So(a.registered, ShouldHaveLength, 3)
	})
}

// fakeStore is an in-memory store of one object.
type fakeStore struct {
	mu     sync.Mutex
	stored store.Object // guarded by mu
	puts   int          // guarded by mu
}

// putCount returns the number of writes, failed ones included.
func (s *fakeStore) putCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts
}

func (s *fakeStore) Get(context.Context, store.Key) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored, nil
}

func (s *fakeStore) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if o.Version != s.stored.Version {
		return store.Object{}, &store.ConflictError{Key: o.Key, Current: s.stored}
	}
	o.Version++
	s.stored = o
	return o, nil
}

func TestRegister(t *testing.T) {
	Convey("A daemon registers once, and again only when its address changes", t, func() {
		s := &fakeStore{}
		newMembers("a").Register(context.Background(), s)
		So(s.puts, ShouldEqual, 1)
		newMembers("a").Register(context.Background(), s)
		So(s.stored.Version, ShouldEqual, store.Revision(1))
		moved := newMembers("a")
		moved.self.Peer = netip.MustParseAddrPort("10.0.0.7:7440")
		moved.Register(context.Background(), s)
		So(string(s.stored.Value), ShouldContainSubstring, "10.0.0.7:7440")
	})
}

// registrationWith returns the registration of a VM that declares a capacity.
func registrationWith(name, address string, c store.Capacity) store.Object {
	o := registrationObject(name, address, "north")
	value, err := json.Marshal(registration{Address: address, FailureDomain: "north", Capacity: c})
	if err != nil {
		panic(err)
	}
	o.Value = value
	return o
}

func TestDeclaredCapacity(t *testing.T) {
	small, large := store.Capacity{Processor: 0.192, Link: 10}, store.Capacity{Processor: 0.8, Link: 200}
	// Guards against other daemons that rank a VM by what it had before its restart.
	Convey("A daemon that restarts with another capacity replaces its registration, and one with the same capacity doesn't", t, func() {
		s := &fakeStore{}
		for _, c := range []store.Capacity{small, large, large, {}} {
			m := newMembers("a")
			m.self.Capacity = c
			m.Register(context.Background(), s)
			other := newMembers("b")
			stored := s.stored
			stored.Key = store.Key{Kind: KindVM, Name: "a"}
			other.Replace([]store.Object{stored})
			vm, ok := other.view.Load().Find("a")
			So(ok, ShouldBeTrue)
			So(vm.Capacity, ShouldResemble, c)
		}
		So(s.stored.Version, ShouldEqual, store.Revision(3))
	})
	// Guards against an upgrade that rewrites all registrations of a deployment that declares
	// no capacities, and against registrations of earlier daemons that are ignored.
	Convey("A registration without a capacity has the format of earlier daemons and is accepted", t, func() {
		const earlier = `{"address":"10.0.0.1:7440","failure_domain":"north"}`
		So(string(registrationObject("a", "10.0.0.1:7440", "north").Value), ShouldEqual, earlier)
		b := newMembers("b")
		b.Replace([]store.Object{{Key: store.Key{Kind: KindVM, Name: "a"}, Version: 1, Value: []byte(earlier)}})
		vm, ok := b.view.Load().Find("a")
		So(ok, ShouldBeTrue)
		So(vm.Capacity, ShouldResemble, store.Capacity{})
	})
	// Guards against a restored store that keeps an old capacity of this VM for good.
	Convey("A daemon registers again if the first list of a new era has another capacity of it", t, func() {
		for _, c := range []store.Capacity{small, large} {
			a := newMembers("a")
			a.self.Capacity = large
			a.Replace([]store.Object{registrationWith("a", "10.0.0.1:7440", large)})
			a.BeginEra(store.AnnouncedEra(2))
			a.Replace([]store.Object{registrationWith("a", "10.0.0.1:7440", c)})
			So(len(a.removed) == 1, ShouldEqual, c != large)
		}
	})
	// Guards against daemons that follow different relays or send units of a group to
	// different homes because they learned of the registrations in another order.
	Convey("Daemons that get the registrations in another order, at once or one by one, agree, and the relay has a large link", t, func() {
		registrations := []store.Object{
			registrationWith("a", "10.0.0.1:7440", small), registrationWith("b", "10.0.0.2:7440", small), registrationObject("c", "10.0.0.3:7440", "north"),
			registrationWith("d", "10.0.0.4:7440", large), registrationWith("e", "10.0.0.5:7440", small),
		}
		a, b := newMembers("a"), newMembers("b")
		a.self.Capacity = small
		a.Replace(registrations)
		b.Replace(nil)
		for _, o := range slices.Backward(registrations) {
			b.Change(o)
		}
		So(a.Relay().Name(), ShouldEqual, "d")
		So(b.Relay().Name(), ShouldEqual, "d")
		homes := map[string]int{}
		for i := range 1000 {
			group := fmt.Sprint("g", i)
			So(homeName(a, group), ShouldEqual, homeName(b, group))
			So(a.QuotaOwners("north", group), ShouldResemble, b.QuotaOwners("north", group))
			homes[homeName(a, group)]++
		}
		// d has 0.8 of 1.568 cores.
		So(homes["d"], ShouldBeBetween, 460, 560)
	})
}

func TestRemovedRegistration(t *testing.T) {
	Convey("A daemon whose registration is removed registers again", t, func() {
		s := &fakeStore{}
		m := newMembers("a")
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			m.KeepRegistered(ctx, s)
			close(ended)
		}()
		removed := registrationObject("a", "10.0.0.1:7440", "north")
		removed.Deleted = true
		for _, remove := range []func(){func() { m.Change(removed) }, func() {
			m.Replace([]store.Object{registrationObject("a", "10.0.0.1:7440", "north")})
			m.Replace(nil)
		}} {
			before := s.putCount()
			remove()
			for s.putCount() == before {
				time.Sleep(time.Millisecond)
			}
		}
		cancel()
		<-ended
		So(s.putCount(), ShouldBeGreaterThanOrEqualTo, 2)
	})
}

func TestSilenceTracker(t *testing.T) {
	Convey("A VM that fails every probe for pruneAfter is reported, one that answered in between is not", t, func() {
		silence := silenceTracker{since: map[string]time.Duration{}}
		for at := time.Duration(0); at < pruneAfter; at += pruneInterval {
			So(silence.observe("dark", false, at), ShouldBeFalse)
			So(silence.observe("flapping", at == 5*pruneInterval, at), ShouldBeFalse)
		}
		So(silence.observe("dark", false, pruneAfter), ShouldBeTrue)
		So(silence.observe("flapping", false, pruneAfter), ShouldBeFalse)
	})
}

func TestOtherDomainOpeners(t *testing.T) {
	Convey("The openers are the homes in the other failure domains, those of the own region first", t, func() {
		m := newMembers("a")
		m.Replace([]store.Object{registrationObject("a", "10.0.0.1:7440", "north"), registrationObject("b", "10.0.0.2:7440", "north"), registrationObject("w", "10.0.2.1:7440", "west"), registrationObject("s", "10.0.1.1:7440", "south")})
		var names []string
		for _, o := range m.OtherDomainOpeners("g") {
			names = append(names, o.(*peer.Client).Name())
		}
		So(names, ShouldResemble, []string{"s", "w"})
	})
}

// Guards against followers of a relay that the store refuses: each of them called the
// store itself, up to 233 calls in 4 s.
func TestOutdatedRelay(t *testing.T) {
	Convey("Daemons follow the second relay while the first one has no current copy", t, func() {
		var registrations []store.Object
		for i, name := range []string{"a", "b", "c", "d"} {
			registrations = append(registrations, registrationObject(name, fmt.Sprintf("10.0.0.%d:7440", i+1), "north"))
		}
		members := map[string]*Members{}
		followed := func(name string) string {
			if relay := members[name].Relay(); relay != nil {
				return relay.Name()
			}
			return name
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			members[name] = newMembers(name)
			members[name].Replace(registrations)
		}
		first := followed("a")
		for name, m := range members {
			So(followed(name), ShouldEqual, first)
			m.RelayOutdated(first)
		}
		second := followed("a")
		So(second, ShouldNotEqual, first)
		for name := range members {
			So(followed(name), ShouldEqual, second)
		}
		Convey("and the first one again if the second has none either", func() {
			members["a"].RelayOutdated(second)
			So(followed("a"), ShouldEqual, first)
		})
	})
	Convey("A relay of another failure domain is one of this region if there is one", t, func() {
		a := newMembers("a")
		So(a.NearestOtherRelay(), ShouldBeNil)
		a.Replace([]store.Object{registrationObject("a", "10.0.0.1:7440", "north"), registrationObject("w", "10.0.2.1:7440", "west")})
		So(a.NearestOtherRelay().Name(), ShouldEqual, "w")
		a.Replace([]store.Object{registrationObject("a", "10.0.0.1:7440", "north"), registrationObject("w", "10.0.2.1:7440", "west"), registrationObject("s", "10.0.1.1:7440", "south")})
		So(a.NearestOtherRelay().Name(), ShouldEqual, "s")
	})
}

// founderStore is a store that lets a daemon connect to m before it answers a Put.
type founderStore struct {
	Objects
	m *Members
}

func (s founderStore) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.m.PeerConnected(peer.Identity{Name: "b", Address: "10.0.0.2:7440"})
	return o, nil
}

// Guards against a founder that follows a daemon that learned of it sooner than it did
// itself; both waited for each other, and the whole failure domain for them.
func TestFounder(t *testing.T) {
	Convey("A founder follows nobody, even if others connect before it knows that it is the founder", t, func() {
		m := newMembers("a")
		So(m.Found(context.Background(), founderStore{m: m}), ShouldBeNil)
		So(m.Relay(), ShouldBeNil)
		So(m.JoiningFor(), ShouldBeGreaterThan, 0)
	})
	Convey("A daemon without a known VM follows one that connected to it, and another one if that has no current copy", t, func() {
		m := newMembers("a")
		m.PeerConnected(peer.Identity{Name: "b", Address: "10.0.0.2:7440"})
		So(m.Relay().Name(), ShouldEqual, "b")
		m.PeerConnected(peer.Identity{Name: "d", Address: "10.0.1.1:7440"})
		m.RelayOutdated("d")
		So(m.Relay().Name(), ShouldEqual, "b")
		m.Replace([]store.Object{registrationObject("a", "10.0.0.1:7440", "north")})
		So(m.Relay(), ShouldBeNil)
	})
}
