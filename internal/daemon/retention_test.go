package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// ledgerStore holds documents of the ledger. Each deletion is answered with err.
type ledgerStore struct {
	store.Store
	objects map[store.Key]store.Object
	err     error
	lists   int
	deleted []time.Time
}

func (s *ledgerStore) List(context.Context, ...store.Kind) (store.Page, error) {
	s.lists++
	var page store.Page
	for _, o := range s.objects {
		page.Objects = append(page.Objects, o)
	}
	return page, nil
}

func (s *ledgerStore) Delete(_ context.Context, k store.Key, version store.Revision) error {
	s.deleted = append(s.deleted, time.Now())
	if s.err != nil {
		return s.err
	}
	if s.objects[k].Version != version {
		return &store.ConflictError{Key: k}
	}
	delete(s.objects, k)
	return nil
}

// ledgerOf returns a store with one document of each bucket of the last age.
func ledgerOf(t *testing.T, age time.Duration) *ledgerStore {
	s := &ledgerStore{objects: map[store.Key]store.Object{}}
	last := time.Now().UnixNano() / int64(ledgerBucket)
	for n := range int64(age / ledgerBucket) {
		d := ledger.Document{Home: "h", Bucket: last - n, WidthNS: int64(ledgerBucket)}
		o, err := d.Object()
		if err != nil {
			t.Fatal(err)
		}
		o.Version = 1
		s.objects[o.Key] = o
	}
	return s
}

type fixedFleet struct{ view *fleet.View }

func (f fixedFleet) Current() *fleet.View { return f.view }

// viewsOf returns the view of each VM of a fleet.
func viewsOf(domains, perDomain int) []*fleet.View {
	var vms []fleet.VM
	for n := range domains * perDomain {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm%02d", n), FailureDomain: fmt.Sprintf("d%d", n%domains), Reachable: true})
	}
	var views []*fleet.View
	for _, self := range vms {
		views = append(views, fleet.NewView(self, vms))
	}
	return views
}

func TestPruneShares(t *testing.T) {
	shares := map[ledger.Shard]int{}
	for _, view := range viewsOf(6, 4) {
		if share, ok := pruneShare(view); ok {
			shares[share]++
		}
	}
	for i := range 6 {
		if n := shares[ledger.Shard{Index: i, Count: 6}]; n != 1 {
			t.Errorf("share %d is held by %d daemons, want one", i, n)
		}
	}
	if len(shares) != 6 {
		t.Errorf("%d shares, want 6", len(shares))
	}
}

// TestPruneBound lets one daemon delete: what is newer than the retention stays, and
// no more than the bound goes in a round, one in prunePause.
func TestPruneBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 24 * time.Hour
		kept := int(retention / ledgerBucket)
		s := ledgerOf(t, retention+(prunedPerRound+10)*ledgerBucket)
		p := pruner{store: s, fleet: fixedFleet{viewsOf(1, 1)[0]}, retention: retention}
		began := time.Now()
		if err := p.round(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(s.deleted) != prunedPerRound {
			t.Errorf("%d deletions in a round, want %d", len(s.deleted), prunedPerRound)
		}
		if took := time.Since(began); took < prunedPerRound*prunePause {
			t.Errorf("a round took %v, want at least %v", took, prunedPerRound*prunePause)
		}
		if err := p.round(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := len(s.objects); n < kept || n > kept+1 {
			t.Errorf("%d documents are left, want those of %v, %d", n, retention, kept)
		}
	})
}

func TestPruneErrors(t *testing.T) {
	cases := []struct {
		name string
		err  error
		// goesOn says that the round goes on to the next document.
		goesOn bool
	}{
		{"deleted by another daemon", store.ErrNotFound, true},
		{"written again", &store.ConflictError{}, true},
		{"outage", store.ErrUnavailable, false},
		{"no answer", store.ErrUnclear, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := ledgerOf(t, time.Hour+5*ledgerBucket)
				s.err = c.err
				err := pruner{store: s, fleet: fixedFleet{viewsOf(1, 1)[0]}, retention: time.Hour}.round(t.Context())
				if goesOn := err == nil && len(s.deleted) > 1; goesOn != c.goesOn {
					t.Errorf("%d deletions, error %v", len(s.deleted), err)
				}
			})
		})
	}
	t.Run("no first relay", func(t *testing.T) {
		for _, view := range viewsOf(1, 3) {
			s := ledgerOf(t, 2*time.Hour)
			if err := (pruner{store: s, fleet: fixedFleet{view}, retention: 1000 * time.Hour}).round(t.Context()); err != nil {
				t.Fatal(err)
			}
			if first := view.Relays("d0")[0].Name == view.Self.Name; (s.lists > 0) != first {
				t.Errorf("%s listed the ledger %d times", view.Self.Name, s.lists)
			}
		}
	})
}
