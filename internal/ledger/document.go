package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Document holds the times of one bucket at one home. A later document of the same home
// and bucket includes everything in an earlier one, so only the last one must be
// stored, and storing a document twice has no effect.
type Document struct {
	Home   string `json:"home"`
	Bucket int64  `json:"bucket"`
	// WidthNS is the width of the bucket in nanoseconds.
	WidthNS int64 `json:"width_ns"`
	// Sequence increases with each flush of the home.
	Sequence uint64 `json:"sequence"`
	// ToNS is the Unix time in nanoseconds up to which the document accounts for.
	ToNS int64 `json:"to_ns"`
	// Open is the number of connections that were open at ToNS, by target.
	Open map[string]int `json:"open,omitempty"`
	// WallNS is the time in nanoseconds for which connections were open, by target,
	// summed over connections.
	WallNS  map[string]int64 `json:"wall_ns"`
	Entries []Entry          `json:"entries"`
}

// Entry is the time of one account in a document, in nanoseconds.
type Entry struct {
	Target string `json:"target"`
	State  string `json:"state"`
	Holder
	NS int64 `json:"ns"`
}

// Complete reports whether the document accounts for its bucket up to the end.
func (d *Document) Complete() bool {
	return d.ToNS >= d.endNS()
}

// endNS returns the Unix time of the end of the bucket, in nanoseconds.
func (d *Document) endNS() int64 {
	return (d.Bucket + 1) * d.WidthNS
}

// Check verifies that the entries of each target add up to the time for which its
// connections were open.
func (d *Document) Check() error {
	sums := make(map[string]int64, len(d.WallNS))
	for _, e := range d.Entries {
		sums[e.Target] += e.NS
	}
	for target, wall := range d.WallNS {
		if sums[target] != wall {
			return fmt.Errorf("ledger of %s, bucket %d, target %s: entries add up to %d ns, but connections were open for %d ns", d.Home, d.Bucket, target, sums[target], wall)
		}
		delete(sums, target)
	}
	for target := range sums {
		return fmt.Errorf("ledger of %s, bucket %d: target %s has entries but no connections", d.Home, d.Bucket, target)
	}
	return nil
}

// Object returns the store object of the document, without a version. It fails with
// store.ErrTooLarge if the encoding exceeds store.MaxValueBytes.
func (d *Document) Object() (store.Object, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return store.Object{}, fmt.Errorf("encode ledger document: %w", err)
	}
	if len(value) > store.MaxValueBytes {
		return store.Object{}, fmt.Errorf("ledger document of %d bytes: %w", len(value), store.ErrTooLarge)
	}
	key := store.Key{Kind: store.KindLedger, Name: fmt.Sprintf("%d.%s", d.Bucket, d.Home)}
	return store.Object{Key: key, Value: value}, nil
}

// DecodeDocument decodes a stored document and verifies it with Check.
func DecodeDocument(value []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, fmt.Errorf("decode ledger document: %w", err)
	}
	if d.WidthNS <= 0 {
		return Document{}, fmt.Errorf("ledger of %s, bucket %d: bucket width is %d ns, want more than 0", d.Home, d.Bucket, d.WidthNS)
	}
	return d, d.Check()
}

// Flush returns the documents of all buckets that are not acknowledged, oldest first.
// The caller should pass each document that it stored to Acknowledge.
func (l *Ledger) Flush(now time.Time) []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.toInstant(now)
	for c := range l.open {
		c.bookUpTo(at)
	}
	l.sequence++
	current := l.bucketOf(at)
	l.earliestOpen = max(l.earliestOpen, l.startOf(current))
	var documents []Document
	for b := l.firstPending; b <= current; b++ {
		d := l.document(b, at)
		if len(d.Entries) > 0 || len(d.Open) > 0 {
			documents = append(documents, d)
			continue
		}
		if b == l.firstPending && d.Complete() {
			l.firstPending++
		}
	}
	return documents
}

// document returns the document of bucket b. The caller holds mu and has booked all
// connections up to at.
func (l *Ledger) document(b bucket, at instant) Document {
	totals := make(Totals)
	totals.addAll(l.closed[b])
	d := Document{
		Home:     l.home,
		Bucket:   int64(b),
		WidthNS:  int64(l.width),
		Sequence: l.sequence,
		ToNS:     int64(min(at, l.startOf(b+1))),
		Open:     make(map[string]int),
		WallNS:   make(map[string]int64),
	}
	for target, ns := range l.closedWall[b] {
		d.WallNS[target] += ns
	}
	for c := range l.open {
		if wall := c.addBucket(b, totals, false); wall > 0 {
			d.WallNS[c.target] += wall
		}
		if int64(c.opened) <= d.ToNS {
			d.Open[c.target]++
		}
	}
	d.Entries = totals.entries()
	return d
}

// entries returns the accounts with a time as entries in the order of compareEntries.
func (t Totals) entries() []Entry {
	entries := make([]Entry, 0, len(t))
	for a, ns := range t {
		if ns > 0 {
			entries = append(entries, Entry{Target: a.Target, State: a.State.String(), Holder: a.Holder, NS: ns})
		}
	}
	slices.SortFunc(entries, compareEntries)
	return entries
}

// compareEntries orders entries by target, service, caller, class and state.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Caller, b.Caller),
		cmp.Compare(a.Class, b.Class), cmp.Compare(a.State, b.State))
}

// Acknowledge records that d is stored. If d is complete, the ledger releases all
// buckets up to that of d, so documents must be acknowledged oldest first.
func (l *Ledger) Acknowledge(d Document) {
	if !d.Complete() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for ; l.firstPending <= bucket(d.Bucket); l.firstPending++ {
		l.releaseBucket(l.firstPending)
	}
}

// releaseBucket moves the times of a bucket to the acknowledged totals, so that it is no
// longer flushed. The caller holds mu.
func (l *Ledger) releaseBucket(b bucket) {
	l.acknowledged.addAll(l.closed[b])
	delete(l.closed, b)
	for _, ns := range l.closedWall[b] {
		l.acknowledgedWall += ns
	}
	delete(l.closedWall, b)
	for c := range l.open {
		l.acknowledgedWall += c.addBucket(b, l.acknowledged, true)
	}
}
