package ledger

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Shard is one of Count parts of the documents, by a hash of their names. Parts
// with another Index have no document in common.
type Shard struct {
	Index, Count int
}

func (s Shard) holds(k store.Key) bool {
	return s.Count > 0 && xxhash.Sum64String(k.Name)%uint64(s.Count) == uint64(s.Index)
}

// expired is an object and the end of its bucket.
type expired struct {
	object store.Object
	endNS  int64
}

// Expired returns which documents of a share are to be deleted: those whose bucket
// ended more than retention before now, the oldest first, at most limit. An object
// that is no document is left.
func Expired(objects []store.Object, now time.Time, retention time.Duration, share Shard, limit int) []store.Object {
	before := now.Add(-retention).UnixNano()
	var found []expired
	for _, o := range objects {
		if o.Kind != store.KindLedger || !share.holds(o.Key) {
			continue
		}
		if end, ok := bucketEnd(o.Value); ok && end < before {
			found = append(found, expired{object: o, endNS: end})
		}
	}
	slices.SortFunc(found, func(a, b expired) int {
		return cmp.Or(cmp.Compare(a.endNS, b.endNS), cmp.Compare(a.object.Name, b.object.Name))
	})
	found = found[:min(limit, len(found))]
	chosen := make([]store.Object, len(found))
	for i, e := range found {
		chosen[i] = e.object
	}
	return chosen
}

// bucketEnd returns when the bucket of a document ended, in Unix nanoseconds.
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
