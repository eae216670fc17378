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

// ledgerStore is a store of ledger documents. Delete returns err if it is not nil.
type ledgerStore struct {
	store.Store
	objects   map[store.Key]store.Object
	err       error
	listCalls int
	deleted   []time.Time
}

func (s *ledgerStore) List(context.Context, ...store.Kind) (store.Page, error) {
	s.listCalls++
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

// newLedgerStore returns a store with one document for each bucket of the last age.
func newLedgerStore(t *testing.T, age time.Duration) *ledgerStore {
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

// fleetViews returns the view of each VM of a fleet with perDomain VMs in each of the
// failure domains.
func fleetViews(domains, perDomain int) []*fleet.View {
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

// TestPruneShares checks that exactly one daemon of each failure domain prunes, and that
// each of them has a distinct share.
func TestPruneShares(t *testing.T) {
	shares := map[ledger.Shard]int{}
	for _, view := range fleetViews(6, 4) {
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

// TestPruneBound guards against a pruner that deletes documents within the retention, or
// that overloads the store: a round deletes at most maxPrunedPerRound documents, one per
// deleteInterval.
func TestPruneBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 24 * time.Hour
		kept := int(retention / ledgerBucket)
		s := newLedgerStore(t, retention+(maxPrunedPerRound+10)*ledgerBucket)
		p := pruner{store: s, fleet: fixedFleet{fleetViews(1, 1)[0]}, retention: retention}
		start := time.Now()
		if err := p.prune(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(s.deleted) != maxPrunedPerRound {
			t.Errorf("%d deletions in a round, want %d", len(s.deleted), maxPrunedPerRound)
		}
		if took := time.Since(start); took < maxPrunedPerRound*deleteInterval {
			t.Errorf("a round took %v, want at least %v", took, maxPrunedPerRound*deleteInterval)
		}
		if err := p.prune(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := len(s.objects); n < kept || n > kept+1 {
			t.Errorf("%d documents remain, want those of the retention of %v, %d", n, retention, kept)
		}
	})
}

// TestPruneErrors guards against a round that ends because another daemon changed a document
// first, and against one that goes on while the store fails.
func TestPruneErrors(t *testing.T) {
	cases := []struct {
		name string
		err  error
		// continues reports whether the round proceeds to the next document.
		continues bool
	}{
		{"deleted by another daemon", store.ErrNotFound, true},
		{"written again by a home", &store.ConflictError{}, true},
		{"store unavailable", store.ErrUnavailable, false},
		{"outcome unknown", store.ErrOutcomeUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLedgerStore(t, time.Hour+5*ledgerBucket)
				s.err = c.err
				err := pruner{store: s, fleet: fixedFleet{fleetViews(1, 1)[0]}, retention: time.Hour}.prune(t.Context())
				if continues := err == nil && len(s.deleted) > 1; continues != c.continues {
					t.Errorf("round ended after %d deletions with error %v", len(s.deleted), err)
				}
			})
		})
	}
	t.Run("only the first relay lists the ledger", func(t *testing.T) {
		for _, view := range fleetViews(1, 3) {
			s := newLedgerStore(t, 2*time.Hour)
			if err := (pruner{store: s, fleet: fixedFleet{view}, retention: 1000 * time.Hour}).prune(t.Context()); err != nil {
				t.Fatal(err)
			}
			if first := view.Relays("d0")[0].Name == view.Self.Name; (s.listCalls > 0) != first {
				t.Errorf("%s listed the ledger %d times", view.Self.Name, s.listCalls)
			}
		}
	})
}
