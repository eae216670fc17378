package configuration

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// plannedConfiguration returns a configuration of the size that the system is planned
// for: 980 databases of 3 instances in 49 services, and 196 callers.
func plannedConfiguration(b *testing.B) store.Page {
	page := store.Page{Revision: 1000}
	add := func(d Document) {
		if errs := d.Validate(); len(errs) > 0 {
			b.Fatal(errs)
		}
		page.Objects = append(page.Objects, object(store.Revision(len(page.Objects)+1), d))
	}
	add(region("east", "osijek"))
	for s := range 49 {
		svc := Service{Name: fmt.Sprintf("service-%d", s), State: ServiceActive, CommandID: "0f8fad5b-d9cb-469f-a165-70867728950e#1"}
		for d := range 20 {
			db := Database{Name: fmt.Sprintf("database_%d", d)}
			for i := range 3 {
				db.Targets = append(db.Targets, Target{Name: fmt.Sprintf("target-%d-%d-%d", s, d, i), FailureDomain: "osijek", Slots: 3, Connections: 40,
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(s), byte(d), byte(i + 1)}), 5432)})
			}
			svc.Databases = append(svc.Databases, db)
		}
		add(svc)
		for c := range 4 {
			add(Caller{Name: fmt.Sprintf("caller-%d-%d", s, c), Verifier: testVerifier, Services: []string{svc.Name}, CommandID: "0f8fad5b-d9cb-469f-a165-70867728950e#2"})
		}
	}
	return page
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPlannedSize measures the cost of the planned configuration in a daemon: the
// memory held, one change of a service, its transfer, and the transfer of the complete
// configuration.
func BenchmarkPlannedSize(b *testing.B) {
	page := plannedConfiguration(b)
	before := heapBytes()
	s, _ := Empty().Replace(page)
	held := heapBytes() - before
	changed := page.Objects[1]
	changed.Version = 1001
	next, _, err := s.Apply(1000, store.Page{Revision: 1001, Objects: []store.Object{changed}})
	if err != nil {
		b.Fatal(err)
	}
	whole, _ := next.Export()
	delta, _ := next.ExportSince(1000)

	b.Run("Apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _, _ = s.Apply(1000, store.Page{Revision: 1001, Objects: []store.Object{changed}})
		}
		b.ReportMetric(float64(held), "bytes-held")
	})
	b.Run("Export", func(b *testing.B) {
		for b.Loop() {
			_, _ = next.Export()
		}
		b.ReportMetric(float64(len(whole)), "bytes-sent")
	})
	b.Run("ExportSince", func(b *testing.B) {
		for b.Loop() {
			_, _ = next.ExportSince(1000)
		}
		b.ReportMetric(float64(len(delta)), "bytes-sent")
	})
	b.Run("ImportWhole", func(b *testing.B) {
		for b.Loop() {
			if _, err := NewHolder().Import(whole); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("ImportDelta", func(b *testing.B) {
		for b.Loop() {
			h := NewHolder()
			h.current.Store(s)
			if _, err := h.Import(delta); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("Covers", func(b *testing.B) {
		digest := next.Digest()
		for b.Loop() {
			_ = next.Covers(digest)
		}
	})
	runtime.KeepAlive(s)
}
