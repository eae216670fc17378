package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Limits of the deletion of expired ledger documents. One daemon of each failure domain
// deletes.
const (
	// pruneInterval is the time between two pruning rounds.
	pruneInterval = 6 * time.Hour
	// maxPrunedPerRound limits the documents that one daemon deletes in one round.
	maxPrunedPerRound = 6000
	// deleteInterval is the pause after each deletion. It limits the load on the store.
	deleteInterval = 100 * time.Millisecond
)

var (
	prunedDocuments = metrics.NewCounter("laburnumrack_ledger_pruned_total")
	pruneFailures   = metrics.NewCounter("laburnumrack_ledger_prune_failures_total")
)

// pruner deletes ledger documents that are older than the retention. Each round lists the
// whole ledger, so a round fails if the ledger exceeds the response limit of the store
// client. A pruner is not safe for concurrent use.
type pruner struct {
	store     store.Store
	fleet     fleet.Source
	retention time.Duration
}

// run prunes at each pruneInterval until ctx ends.
func (p pruner) run(ctx context.Context) {
	runEvery(ctx, pruneInterval, func() {
		if err := p.prune(ctx); err != nil && ctx.Err() == nil {
			pruneFailures.Inc()
			klog.V(1).Infof("ledger: Deletion of expired documents failed: %v.", err)
		}
	})
}

// prune deletes this daemon's share of the expired documents, at most maxPrunedPerRound.
// It returns the first error of the store; the next round deletes the remaining documents.
func (p pruner) prune(ctx context.Context) error {
	share, ok := pruneShare(p.fleet.Current())
	if !ok {
		return nil
	}
	page, err := p.store.List(ctx, store.KindLedger)
	if err != nil {
		return err
	}
	for _, o := range ledger.Expired(page.Objects, time.Now(), p.retention, share, maxPrunedPerRound) {
		if err := p.deleteDocument(ctx, o); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(deleteInterval):
		}
	}
	return nil
}

// deleteDocument deletes one document. It returns nil if another daemon has deleted the
// document or a home has written it again; the next round handles the new version.
func (p pruner) deleteDocument(ctx context.Context, o store.Object) error {
	err := p.store.Delete(ctx, o.Key, o.Version)
	var conflict *store.ConflictError
	if errors.Is(err, store.ErrNotFound) || errors.As(err, &conflict) {
		return nil
	}
	if err == nil {
		prunedDocuments.Inc()
	}
	return err
}

// pruneShare returns the share of the ledger that this daemon prunes, and false if it
// prunes none. The first relay of each failure domain prunes, with equal shares. Daemons
// with different views may hold the same share for some time. Each document is still
// deleted only once, because a deletion names its version.
func pruneShare(v *fleet.View) (ledger.Shard, bool) {
	var domains []string
	for _, vm := range v.VMs {
		if len(v.Relays(vm.FailureDomain)) > 0 && !slices.Contains(domains, vm.FailureDomain) {
			domains = append(domains, vm.FailureDomain)
		}
	}
	ownRelays := v.Relays(v.Self.FailureDomain)
	if len(ownRelays) == 0 || ownRelays[0].Name != v.Self.Name {
		return ledger.Shard{}, false
	}
	slices.Sort(domains)
	return ledger.Shard{Index: slices.Index(domains, v.Self.FailureDomain), Count: len(domains)}, true
}
