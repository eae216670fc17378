package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// stored returns the object of a document whose bucket ends at end.
func stored(t testing.TB, home string, end time.Time) store.Object {
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
	kept := stored(t, "kept", now.Add(-retention))
	old := stored(t, "old", now.Add(-retention-testWidth))
	oldest := stored(t, "oldest", now.Add(-2*retention))
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
		{"the oldest first, none that is new, broken or of another kind", all, 10, []string{oldest.Name, old.Name}},
		{"at most the limit", all, 1, []string{oldest.Name}},
		{"no share, nothing", Shard{}, 10, nil},
	}
	for _, c := range cases {
		if got := names(Expired(objects, now, retention, c.share, c.limit)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSharesOfExpired proves that each expired document is in exactly one share.
func TestSharesOfExpired(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(rt, "shares")
		var objects []store.Object
		for i, age := range rapid.SliceOfN(rapid.IntRange(0, 120), 0, 50).Draw(rt, "minutes") {
			objects = append(objects, stored(t, fmt.Sprintf("vm%d", i), epoch.Add(-time.Duration(age)*time.Minute)))
		}
		want := names(Expired(objects, epoch, time.Hour, Shard{Index: 0, Count: 1}, len(objects)))
		var got []string
		for i := range count {
			got = append(got, names(Expired(objects, epoch, time.Hour, Shard{Index: i, Count: count}, len(objects)))...)
		}
		slices.Sort(want)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			rt.Fatalf("the shares hold %v, want %v", got, want)
		}
	})
}
