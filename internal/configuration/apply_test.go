package configuration

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

func region(name string, domains ...string) Region {
	return Region{Name: name, FailureDomains: domains}
}

// object returns the stored object of a document.
func object(version store.Revision, d Document) store.Object {
	value, err := Encode(d)
	if err != nil {
		panic(err)
	}
	return store.Object{Key: d.Key(), Version: version, Value: value}
}

func target(name, address string) Target {
	return Target{Name: name, Address: netip.MustParseAddrPort(address), FailureDomain: "osijek", Slots: 3, Connections: 20}
}

func TestApply(t *testing.T) {
	Convey("A snapshot at revision 10", t, func() {
		first, _ := Empty().Replace(store.Page{Revision: 10, Objects: []store.Object{object(4, region("east", "a", "b"))}})

		Convey("applies a newer version without modifying the old snapshot", func() {
			next, report, err := first.Apply(10, store.Page{Revision: 12, Objects: []store.Object{object(12, region("east", "c"))}})
			So(err, ShouldBeNil)
			So(report.Applied, ShouldEqual, 1)
			So(next.RegionOf("c"), ShouldEqual, "east")
			So(next.RegionOf("a"), ShouldEqual, "")
			So(first.RegionOf("a"), ShouldEqual, "east")
		})
		Convey("ignores a page with a lower revision", func() {
			next, report, err := first.Apply(3, store.Page{Revision: 9, Objects: []store.Object{object(9, region("west", "z"))}})
			So(err, ShouldBeNil)
			So(next, ShouldEqual, first)
			So(report.Stale, ShouldEqual, 1)
		})
		Convey("rejects changes that start after its revision", func() {
			_, _, err := first.Apply(11, store.Page{Revision: 12})
			So(err, ShouldEqual, ErrGap)
		})
		Convey("keeps the last valid version of an object whose new version is not valid", func() {
			bad := object(12, region("east"))
			next, report, err := first.Apply(10, store.Page{Revision: 12, Objects: []store.Object{bad}})
			So(err, ShouldBeNil)
			So(report.Rejected, ShouldResemble, []store.Key{bad.Key})
			So(next.Regions["east"].Version, ShouldEqual, store.Revision(4))
			So(next.RegionOf("a"), ShouldEqual, "east")
			So(next.Rejected[bad.Key].Version, ShouldEqual, store.Revision(12))
			So(next.Version(bad.Key), ShouldEqual, store.Revision(12))
		})
		Convey("removes an object that a complete list does not hold", func() {
			next, _ := first.Replace(store.Page{Revision: 15})
			So(next.Regions, ShouldBeEmpty)
			So(next.LastChange, ShouldEqual, store.Revision(15))
		})
		Convey("does not restore a removed object from an older event", func() {
			gone, _, _ := first.Apply(10, store.Page{Revision: 12, Objects: []store.Object{{Key: region("east").Key(), Version: 12, Deleted: true}}})
			again, _, _ := gone.Apply(3, store.Page{Revision: 13, Objects: []store.Object{object(4, region("east", "a"))}})
			So(again.Regions, ShouldBeEmpty)
		})
	})
}

// history is a sequence of changes of a store, one per revision from 1, with the state
// at each revision. The revisions in unrelated change an object of another kind than
// those of the configuration.
type history struct {
	unrelated map[store.Revision]bool
	events    []store.Object
	states    []map[store.Key]store.Object
}

// drawHistory returns a random history of 1 to 25 changes.
func drawHistory(t *rapid.T) history {
	h := history{unrelated: map[store.Revision]bool{}, states: []map[store.Key]store.Object{{}}}
	for i := range rapid.IntRange(1, 25).Draw(t, "events") {
		revision := store.Revision(i + 1)
		state := cloneMap(h.states[i])
		if rapid.IntRange(0, 2).Draw(t, "unrelated") == 0 {
			h.unrelated[revision] = true
			h.events = append(h.events, store.Object{Key: store.Key{Kind: store.KindLedger, Name: "x"}, Version: revision})
			h.states = append(h.states, state)
			continue
		}
		name := rapid.SampledFrom([]string{"n", "s", "e"}).Draw(t, "name")
		key := region(name).Key()
		event := object(revision, region(name, fmt.Sprintf("d%d", i)))
		if _, ok := state[key]; ok && rapid.Bool().Draw(t, "remove") {
			event = store.Object{Key: key, Version: revision, Deleted: true}
			if rapid.Bool().Draw(t, "removed version") {
				event.Version = state[key].Version
			}
			delete(state, key)
		} else {
			state[key] = event
		}
		h.events = append(h.events, event)
		h.states = append(h.states, state)
	}
	return h
}

// page returns the changes after revision from up to revision to, as a watch does.
func (h history) page(from, to int) store.Page {
	page := store.Page{Revision: store.Revision(to)}
	for _, o := range h.events[from:to] {
		if o.Kind == store.KindRegion {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

// list returns the complete list of objects at a revision.
func (h history) list(at int) store.Page {
	page := store.Page{Revision: store.Revision(at)}
	for _, o := range h.states[at] {
		page.Objects = append(page.Objects, o)
	}
	return page
}

// TestSnapshotIsStoreState guards against a daemon that misses or reverts a change. It
// feeds three daemons with lists, watch events, peer transfers and digests in random
// order, delayed and repeated. Each snapshot must equal the store's state at its
// revision, and its revision must never decrease.
func TestSnapshotIsStoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		last := len(h.events)
		daemons := []*Holder{NewHolder(), NewHolder(), NewHolder()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			d := rapid.SampledFrom(daemons).Draw(t, "daemon")
			before := d.Current().Revision
			from := rapid.IntRange(0, last).Draw(t, "from")
			to := rapid.IntRange(from, last).Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 3:
				d.Advance(rapid.SampledFrom(daemons).Draw(t, "peer").Current().Digest())
			case 0:
				d.Replace(h.list(to))
			case 1:
				if _, err := d.Apply(store.Revision(from), h.page(from, to)); err != nil && store.Revision(from) <= before {
					t.Fatalf("apply: %v", err)
				}
			case 2:
				peer := rapid.SampledFrom(daemons).Draw(t, "peer").Current()
				since := min(before, store.Revision(from))
				b, err := peer.ExportSince(since)
				if err != nil {
					t.Fatalf("export: %v", err)
				}
				if b == nil {
					break
				}
				if _, err := d.Import(b); err != nil {
					t.Fatalf("import since %d into %d: %v", since, before, err)
				}
			}
			s := d.Current()
			if s.Revision < before {
				t.Fatalf("revision decreased from %d to %d", before, s.Revision)
			}
			for e := s.LastChange + 1; e <= s.Revision; e++ {
				if h.unrelated[e] {
					continue
				}
				t.Fatalf("revision %d changed an object, but the snapshot has its last change at %d and is complete up to %d", e, s.LastChange, s.Revision)
			}
			if !reflect.DeepEqual(s.raw, h.states[s.Revision]) || len(s.Regions) != len(s.raw) {
				t.Fatalf("at revision %d: %v, want %v", s.Revision, s.raw, h.states[s.Revision])
			}
		}
	})
}

func TestImportRefusesBrokenTransfer(t *testing.T) {
	Convey("Importing a truncated or malformed transfer changes nothing", t, func() {
		source := NewHolder()
		source.Replace(store.Page{Revision: 5, Objects: []store.Object{object(3, region("east", "a"))}})
		good, err := source.Current().Export()
		So(err, ShouldBeNil)
		h := NewHolder()
		for i := range good {
			_, err := h.Import(good[:i])
			So(err, ShouldNotBeNil)
		}
		_, err = h.Import([]byte{0xa0})
		So(err, ShouldNotBeNil)
		So(h.Current().Revision, ShouldEqual, store.Revision(0))
		_, err = h.Import(good)
		So(err, ShouldBeNil)
		So(h.Current().Digest(), ShouldResemble, source.Current().Digest())
	})
}

// FuzzImport checks that Import does not panic on malformed input.
func FuzzImport(f *testing.F) {
	s, _ := Build(region("east", "a"))
	b, _ := s.Export()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = NewHolder().Import(b)
	})
}

func TestValidateNamesEveryFault(t *testing.T) {
	Convey("All errors of an object are reported at once, without secrets", t, func() {
		svc := Service{Name: "a.b", State: "odd", Databases: []Database{
			{Name: "d", Targets: []Target{target("t1", "127.0.0.1:6001"), target("t1", "127.0.0.1:6001")}},
			{Name: "d", Targets: []Target{{Name: "t2", FailureDomain: "osijek", Slots: 0, Connections: 0}}},
			{Name: "e", Targets: []Target{{Name: "t3", Address: netip.MustParseAddrPort("0.0.0.0:1"), FailureDomain: "", Slots: 5, Connections: 5}}},
			{Name: "f"},
		}}
		var fields []string
		for _, f := range svc.Validate() {
			fields = append(fields, f.Field)
			So(f.Want, ShouldNotBeEmpty)
		}
		So(fields, ShouldResemble, []string{
			"name", "state",
			"databases[0].targets[1].name", "databases[0].targets[1].address",
			"databases[1].name", "databases[1].targets[0].address", "databases[1].targets[0].slots", "databases[1].targets[0].connections",
			"databases[2].targets[0].address", "databases[2].targets[0].failure_domain", "databases[2].targets[0].connections",
			"databases[3].targets",
		})
		errs := Caller{Name: "c", Verifier: "hunter2", Weight: 101}.Validate()
		So(errs, ShouldHaveLength, 3)
		So(strings.Contains(errs.Error(), "hunter2"), ShouldBeFalse)
		So(ReadPolicy{Name: "p", MaxAge: time.Second, DefaultAge: 2 * time.Second, PrimaryOnly: true}.Validate(), ShouldHaveLength, 2)
		So(Operator{Name: "o", Role: "root", SecretHash: "00"}.Validate(), ShouldHaveLength, 2)
		So(Drain{Kind: "rack", Name: "x"}.Validate(), ShouldHaveLength, 1)
	})
	Convey("An object larger than 1 MiB is rejected", t, func() {
		_, err := Encode(region("east", strings.Repeat("x", store.MaxValueBytes)))
		So(err, ShouldNotBeNil)
		_, err = Decode(store.Object{Key: region("east").Key(), Value: make([]byte, store.MaxValueBytes+1)})
		So(err.Error(), ShouldContainSubstring, "at most 1048576 bytes")
	})
}

const testVerifier = "SCRAM-SHA-256$4096:c2FsdHNhbHQ=$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func TestCheckReferences(t *testing.T) {
	Convey("References between objects are checked", t, func() {
		svc := Service{Name: "s", State: ServiceActive, Databases: []Database{{Name: "d", Targets: []Target{target("t1", "127.0.0.1:6001")}}}}
		s, err := Build(region("east", "osijek"), svc, Caller{Name: "c", Verifier: testVerifier, Services: []string{"s"}, Policy: "none"})
		So(err, ShouldBeNil)
		So(s.Check(svc), ShouldBeEmpty)
		So(s.ReferenceErrors(), ShouldHaveLength, 1)

		other := svc
		other.Name = "other"
		So(s.Check(other), ShouldHaveLength, 2)
		So(s.Check(region("west", "osijek")), ShouldHaveLength, 1)
		So(s.Check(region("east", "rijeka")), ShouldHaveLength, 1)
		So(s.Check(Drain{Kind: DrainTarget, Name: "t9"}), ShouldHaveLength, 1)
		So(s.Check(Drain{Kind: DrainVM, Name: "10.0.0.1"}), ShouldBeEmpty)
		So(s.CheckDrop(svc.Key()), ShouldHaveLength, 1)
		So(s.CheckDrop(region("east").Key()), ShouldHaveLength, 1)
		So(s.CheckDrop(ReadPolicy{Name: "p"}.Key()), ShouldBeEmpty)
	})
}
