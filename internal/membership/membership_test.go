package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
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

// here is the local opener.
type here struct{}

func (here) Open(stmtunit.Header) stmtunit.Unit { return nil }

func vm(name, address, domain string) store.Object {
	value, err := json.Marshal(registration{Address: address, FailureDomain: domain})
	if err != nil {
		panic(err)
	}
	return store.Object{Key: store.Key{Kind: KindVM, Name: name}, Version: 1, Value: value}
}

func newHomes(name string) *Members {
	return New(fleet.VM{Name: name, Peer: netip.MustParseAddrPort("10.0.0.1:7440"), FailureDomain: "north"}, map[string]string{"north": "home", "south": "home", "west": "away", "empty": "home"}, here{}, eventlog.New())
}

func homeName(h *Members, group string) string {
	if c, ok := h.Openers(group)[0].(*peer.Client); ok {
		return c.Name()
	}
	return h.self.Name
}

func TestHomes(t *testing.T) {
	fleetOf := []store.Object{vm("a", "10.0.0.1:7440", "north"), vm("b", "10.0.0.2:7440", "north"), vm("c", "10.0.0.3:7440", "north"), vm("d", "10.0.1.1:7440", "south")}
	Convey("Daemons of a failure domain agree on the home of each group, and spread groups", t, func() {
		a, b := newHomes("a"), newHomes("b")
		b.self.Peer = netip.MustParseAddrPort("10.0.0.2:7440")
		a.Replace(fleetOf)
		b.Replace(fleetOf)
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
	Convey("A home that is lost or leaves is followed by the next, and this daemon is the last resort", t, func() {
		a := newHomes("a")
		a.Replace(fleetOf)
		group := ""
		for i := range 60 {
			if g := fmt.Sprint("g", i); homeName(a, g) == "b" {
				group = g
			}
		}
		So(group, ShouldNotBeEmpty)
		openers := a.Openers(group)
		So(openers[len(openers)-1], ShouldResemble, here{})
		a.Lost("b", errors.New("gone"))
		So(homeName(a, group), ShouldNotEqual, "b")
		a.Heard("b")
		So(homeName(a, group), ShouldEqual, "b")
		a.Leaving("b")
		So(homeName(a, group), ShouldNotEqual, "b")
		a.Leaving("c")
		So(homeName(a, group), ShouldEqual, "a")
	})
	Convey("Registrations that can't be read name nobody, and a removed one is forgotten", t, func() {
		a := newHomes("a")
		broken := vm("x", "nowhere", "north")
		garbage := vm("y", "10.0.0.9:1", "north")
		garbage.Value = []byte("\xff")
		a.Replace(append([]store.Object{broken, garbage}, fleetOf...))
		So(a.listed, ShouldHaveLength, 4)
		gone := vm("c", "10.0.0.3:7440", "north")
		gone.Deleted = true
		a.Change(gone)
		So(a.listed, ShouldHaveLength, 3)
	})
}

// objects is a store of one object.
type objects struct {
	mu     sync.Mutex
	stored store.Object // guarded by mu
	puts   int          // guarded by mu
}

// count returns the number of writes.
func (o *objects) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.puts
}

func (o *objects) Get(context.Context, store.Key) (store.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stored, nil
}

func (o *objects) Put(_ context.Context, n store.Object) (store.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.puts++
	if n.Version != o.stored.Version {
		return store.Object{}, &store.ConflictError{Key: n.Key, Current: o.stored}
	}
	n.Version++
	o.stored = n
	return n, nil
}

func TestRegister(t *testing.T) {
	Convey("A daemon registers once, and again only at another address", t, func() {
		s := &objects{}
		newHomes("a").Register(context.Background(), s)
		So(s.puts, ShouldEqual, 1)
		newHomes("a").Register(context.Background(), s)
		So(s.stored.Version, ShouldEqual, store.Revision(1))
		moved := newHomes("a")
		moved.self.Peer = netip.MustParseAddrPort("10.0.0.7:7440")
		moved.Register(context.Background(), s)
		So(string(s.stored.Value), ShouldContainSubstring, "10.0.0.7:7440")
	})
}

func TestRemovedRegistration(t *testing.T) {
	Convey("A daemon whose registration is removed registers again", t, func() {
		s := &objects{}
		h := newHomes("a")
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			h.KeepRegistered(ctx, s)
			close(ended)
		}()
		gone := vm("a", "10.0.0.1:7440", "north")
		gone.Deleted = true
		for _, remove := range []func(){func() { h.Change(gone) }, func() {
			h.Replace([]store.Object{vm("a", "10.0.0.1:7440", "north")})
			h.Replace(nil)
		}} {
			before := s.count()
			remove()
			for s.count() == before {
				time.Sleep(time.Millisecond)
			}
		}
		cancel()
		<-ended
		So(s.count(), ShouldBeGreaterThanOrEqualTo, 2)
	})
}

func TestAbsences(t *testing.T) {
	Convey("A VM that is silent at every look for long enough counts as gone, one that answered in between does not", t, func() {
		a := absences{since: map[string]time.Duration{}}
		for at := time.Duration(0); at < forgetAfter; at += forgetInterval {
			So(a.look("dark", false, at), ShouldBeFalse)
			So(a.look("flapping", at == 5*forgetInterval, at), ShouldBeFalse)
		}
		So(a.look("dark", false, forgetAfter), ShouldBeTrue)
		So(a.look("flapping", false, forgetAfter), ShouldBeFalse)
	})
}

func TestElsewhere(t *testing.T) {
	Convey("A home of each other failure domain, the own region first, and none of the own domain", t, func() {
		h := newHomes("a")
		h.Replace([]store.Object{vm("a", "10.0.0.1:7440", "north"), vm("b", "10.0.0.2:7440", "north"), vm("w", "10.0.2.1:7440", "west"), vm("s", "10.0.1.1:7440", "south")})
		var names []string
		for _, o := range h.OtherDomainOpeners("g") {
			names = append(names, o.(*peer.Client).Name())
		}
		So(names, ShouldResemble, []string{"s", "w"})
	})
}
