package ledger

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Shard selects one of Count disjoint parts of the documents by a hash of their names.
// The zero Shard selects none.
type Shard struct {
	Index, Count int
}

// contains reports whether the document with key k belongs to the shard.
func (s Shard) contains(k store.Key) bool {
	return s.Count > 0 && xxhash.Sum64String(k.Name)%uint64(s.Count) == uint64(s.Index)
}

// expiredObject is an expired document and the Unix time of the end of its bucket.
type expiredObject struct {
	object store.Object
	endNS  int64
}

// Expired returns the documents of a shard whose bucket ended more than retention before
// now, oldest first and at most limit. Objects that are not ledger documents are
// ignored.
func Expired(objects []store.Object, now time.Time, retention time.Duration, shard Shard, limit int) []store.Object {
	cutoff := now.Add(-retention).UnixNano()
	var found []expiredObject
	for _, o := range objects {
		if o.Kind != store.KindLedger || !shard.contains(o.Key) {
			continue
		}
		if end, ok := bucketEnd(o.Value); ok && end < cutoff {
			found = append(found, expiredObject{object: o, endNS: end})
		}
	}
	slices.SortFunc(found, func(a, b expiredObject) int {
		return cmp.Or(cmp.Compare(a.endNS, b.endNS), cmp.Compare(a.object.Name, b.object.Name))
	})
	found = found[:min(limit, len(found))]
	result := make([]store.Object, len(found))
	for i, e := range found {
		result[i] = e.object
	}
	return result
}

// bucketEnd returns the Unix time of the end of a document's bucket in nanoseconds, and
// whether the value is a document.
func bucketEnd(value []byte) (int64, bool) {
	var d struct {
		Bucket  int64 `json:"bucket"`
		WidthNS int64 `json:"width_ns"`
	}
	if err := json.Unmarshal(value, &d); err != nil || d.WidthNS <= 0 || d.Bucket <= 0 {
		return 0, false
	}
	return (d.Bucket + 1) * d.WidthNS, true
}
