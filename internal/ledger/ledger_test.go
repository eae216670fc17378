package ledger

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWidth = time.Minute

var (
	epoch   = time.Unix(1_700_000_000, 123)
	holders = []Holder{{Service: "grain", Caller: "foreman"}, {Service: "grain", Caller: "depot", Class: "read"}, {Service: "ducts", Caller: "crew"}}
)

// runSchedule runs random operations on the ledger of one home and checks the ledger after
// each. It returns the documents that were stored, in order, and the end time.
func runSchedule(t *rapid.T, l *Ledger) ([]Document, time.Time) {
	now := epoch
	var conns []*Conn
	var stored []Document
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(testWidth)*3/2).Draw(t, "wait")))
		when := now.Add(-time.Duration(rapid.Int64Range(0, int64(testWidth)).Draw(t, "late") / 4))
		switch rapid.IntRange(0, 7).Draw(t, "action") {
		case 0, 1:
			conns = append(conns, l.Open(rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target"), when))
		case 2:
			if len(conns) > 0 {
				rapid.SampledFrom(conns).Draw(t, "conn").Close(when)
			}
		case 3:
			for _, d := range l.Flush(when) {
				if err := d.Check(); err != nil {
					t.Fatal(err)
				}
				if rapid.Bool().Draw(t, "stored") {
					stored = append(stored, d)
					if !rapid.Bool().Draw(t, "acknowledged") {
						break
					}
					l.Acknowledge(d)
					continue
				}
				break
			}
		default:
			if len(conns) > 0 {
				state := State(rapid.IntRange(0, 2).Draw(t, "state"))
				rapid.SampledFrom(conns).Draw(t, "conn").Set(state, rapid.SampledFrom(holders).Draw(t, "holder"), when)
			}
		}
		if err := l.Check(when); err != nil {
			t.Fatal(err)
		}
	}
	return stored, now
}

// TestIdentity guards against time that is lost or counted twice. It checks at every
// step of random schedules that the accounts add up to the open time of connections, to
// the nanosecond, in memory, in each document and in the merged report.
func TestIdentity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New("vm1/1", testWidth, epoch)
		stored, now := runSchedule(t, l)
		end := now.Add(2 * testWidth)
		last := l.Flush(end)
		for _, d := range last {
			if err := d.Check(); err != nil {
				t.Fatal(err)
			}
		}
		report := Merge(append(stored, last...), end.UnixNano())
		var wall, entries int64
		for _, ns := range report.WallNS {
			wall += ns
		}
		for _, e := range report.Entries {
			entries += e.NS
		}
		if total := l.Totals(end).Sum(); wall != total || entries != total {
			t.Fatalf("documents add up to %d ns of open connections and %d ns in entries, the ledger to %d ns", wall, entries, total)
		}
	})
}

// TestMergeIsIdempotent checks that the order and repetition of documents do not change
// a report.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New("vm1/1", testWidth, epoch)
		stored, now := runSchedule(t, l)
		stored = append(stored, l.Flush(now)...)
		want := Merge(stored, now.UnixNano())
		again := append(slices.Clone(stored), stored...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		if got := Merge(again, now.UnixNano()); !reflect.DeepEqual(got, want) {
			t.Fatalf("merged %+v, want %+v", got, want)
		}
	})
}

// TestDeadHomeIsUnattributed checks that the time after the last flush of a home that
// died is counted as unattributed, up to the end of the bucket.
func TestDeadHomeIsUnattributed(t *testing.T) {
	start := time.Unix(0, 0).Add(1000 * testWidth)
	l := New("vm1/1", testWidth, start)
	c := l.Open("t1", start)
	c.Set(Working, holders[0], start.Add(10*time.Second))
	l.Open("t1", start.Add(20*time.Second))
	documents := l.Flush(start.Add(30 * time.Second))
	report := Merge(documents, start.Add(time.Hour).UnixNano())
	if got, want := report.Unattributed["t1"], int64(2*30*time.Second); got != want {
		t.Fatalf("unattributed %d ns, want %d ns", got, want)
	}
	if got, want := Merge(documents, start.Add(40*time.Second).UnixNano()).Unattributed["t1"], int64(2*10*time.Second); got != want {
		t.Fatalf("unattributed %d ns so far, want %d ns", got, want)
	}
	if got, want := report.WallNS["t1"], int64(40*time.Second); got != want {
		t.Fatalf("open %d ns, want %d ns", got, want)
	}
	live := Merge(append(documents, l.Flush(start.Add(testWidth))...), start.Add(time.Hour).UnixNano())
	if got, want := live.Unattributed["t1"], int64(2*testWidth); got != want {
		t.Fatalf("unattributed %d ns after the bucket was completed, want %d ns of the next bucket", got, want)
	}
}

// TestDocumentRoundTrip checks that a stored document decodes to itself, and that
// inconsistent documents are rejected.
func TestDocumentRoundTrip(t *testing.T) {
	l := New("vm1/1", testWidth, epoch)
	l.Open("t1", epoch).Set(Idle, holders[1], epoch.Add(time.Second))
	d := l.Flush(epoch.Add(5 * time.Second))[0]
	object, err := d.Object()
	if err != nil {
		t.Fatal(err)
	}
	back, err := DecodeDocument(object.Value)
	if err != nil || !reflect.DeepEqual(back, d) {
		t.Fatalf("decoded %+v (%v), want %+v", back, err, d)
	}
	back.Entries[0].NS++
	if back.Check() == nil {
		t.Fatal("Check accepted an entry with one nanosecond too many")
	}
	if _, err := DecodeDocument([]byte(`{"width_ns":0}`)); err == nil {
		t.Fatal("DecodeDocument accepted a document with width 0")
	}
}

// TestConcurrentUse calls the methods concurrently, for the race detector.
func TestConcurrentUse(t *testing.T) {
	l := New("vm1/1", time.Millisecond, epoch)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			c := l.Open("t1", epoch)
			for n := range 2000 {
				now := epoch.Add(time.Duration(n) * 10 * time.Microsecond)
				c.Set(State(n%3), holders[n%len(holders)], now)
				if n%100 == i {
					for _, d := range l.Flush(now) {
						if err := d.Check(); err != nil {
							t.Error(err)
						}
						l.Acknowledge(d)
					}
				}
			}
			c.Close(epoch.Add(time.Second))
		})
	}
	wg.Wait()
	if err := l.Check(epoch.Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
}

func BenchmarkSet(b *testing.B) {
	l := New("vm1/1", testWidth, epoch)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		c := l.Open("t1", epoch)
		now := epoch
		for n := 0; pb.Next(); n++ {
			now = now.Add(time.Microsecond)
			c.Set(State(n%3), holders[n%len(holders)], now)
		}
	})
}
