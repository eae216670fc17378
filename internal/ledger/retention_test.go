package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// storedObject returns the store object of a document whose bucket ends at end.
func storedObject(t testing.TB, home string, end time.Time) store.Object {
	d := Document{Home: home, Bucket: end.UnixNano()/int64(testWidth) - 1, WidthNS: int64(testWidth)}
	o, err := d.Object()
	if err != nil {
		t.Fatal(err)
	}
	o.Version = 1
	return o
}

func names(objects []store.Object) []string {
	var all []string
	for _, o := range objects {
		all = append(all, o.Name)
	}
	return all
}

func TestExpired(t *testing.T) {
	const retention = time.Hour
	now := epoch.Truncate(testWidth)
	all := Shard{Index: 0, Count: 1}
	kept := storedObject(t, "kept", now.Add(-retention))
	old := storedObject(t, "old", now.Add(-retention-testWidth))
	oldest := storedObject(t, "oldest", now.Add(-2*retention))
	broken := store.Object{Key: store.Key{Kind: store.KindLedger, Name: "1.x"}, Value: []byte(`{"bucket":1}`)}
	other := oldest
	other.Kind = store.KindTerm
	objects := []store.Object{kept, old, broken, other, oldest}

	cases := []struct {
		name  string
		share Shard
		limit int
		want  []string
	}{
		{"oldest first, without new, malformed and other objects", all, 10, []string{oldest.Name, old.Name}},
		{"at most the limit", all, 1, []string{oldest.Name}},
		{"nothing for the zero shard", Shard{}, 10, nil},
	}
	for _, c := range cases {
		if got := names(Expired(objects, now, retention, c.share, c.limit)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSharesOfExpired checks that each expired document is in exactly one shard.
func TestSharesOfExpired(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(rt, "shares")
		var objects []store.Object
		for i, age := range rapid.SliceOfN(rapid.IntRange(0, 120), 0, 50).Draw(rt, "minutes") {
			objects = append(objects, storedObject(t, fmt.Sprintf("vm%d", i), epoch.Add(-time.Duration(age)*time.Minute)))
		}
		want := names(Expired(objects, epoch, time.Hour, Shard{Index: 0, Count: 1}, len(objects)))
		var got []string
		for i := range count {
			got = append(got, names(Expired(objects, epoch, time.Hour, Shard{Index: i, Count: count}, len(objects)))...)
		}
		slices.Sort(want)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			rt.Fatalf("the shards select %v, want %v", got, want)
		}
	})
}
