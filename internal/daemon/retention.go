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

// Timing of the deletion of old documents of the ledger. One daemon of each failure
// domain deletes.
const (
	// pruneInterval is the time between two rounds.
	pruneInterval = 6 * time.Hour
	// prunedPerRound bounds the documents that one daemon deletes in a round.
	prunedPerRound = 6000
	// prunePause is the time between two deletions.
	prunePause = 100 * time.Millisecond
)

var (
	prunedDocuments = metrics.NewCounter("laburnumrack_ledger_pruned_total")
	pruneFailures   = metrics.NewCounter("laburnumrack_ledger_prune_failures_total")
)

// pruner deletes documents of the ledger that are older than the retention. A round
// lists the whole ledger, so it fails when that is larger than the store's client
// takes. It is used by one goroutine.
type pruner struct {
	store     store.Store
	fleet     fleet.Source
	retention time.Duration
}

// run goes through one round after the other until ctx ends.
func (p pruner) run(ctx context.Context) {
	every(ctx, pruneInterval, func() {
		if err := p.round(ctx); err != nil && ctx.Err() == nil {
			pruneFailures.Inc()
			klog.V(1).Infof("ledger: Old documents can't be deleted: %v.", err)
		}
	})
}

// round deletes this daemon's share of the old documents. It ends at the first
// error of the store; the next round goes on.
func (p pruner) round(ctx context.Context) error {
	share, ok := pruneShare(p.fleet.Current())
	if !ok {
		return nil
	}
	page, err := p.store.List(ctx, store.KindLedger)
	if err != nil {
		return err
	}
	for _, o := range ledger.Expired(page.Objects, time.Now(), p.retention, share, prunedPerRound) {
		if err := p.remove(ctx, o); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(prunePause):
		}
	}
	return nil
}

// remove deletes a document. One that another daemon deleted, or a home wrote
// again, is left to the next round.
func (p pruner) remove(ctx context.Context, o store.Object) error {
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

// pruneShare returns the share of a daemon that deletes: the first relay of each
// failure domain, one share each. Daemons whose pictures differ for a while may
// hold the same share; a document is still deleted once.
func pruneShare(v *fleet.View) (ledger.Shard, bool) {
	var domains []string
	for _, vm := range v.VMs {
		if len(v.Relays(vm.FailureDomain)) > 0 && !slices.Contains(domains, vm.FailureDomain) {
			domains = append(domains, vm.FailureDomain)
		}
	}
	own := v.Relays(v.Self.FailureDomain)
	if len(own) == 0 || own[0].Name != v.Self.Name {
		return ledger.Shard{}, false
	}
	slices.Sort(domains)
	return ledger.Shard{Index: slices.Index(domains, v.Self.FailureDomain), Count: len(domains)}, true
}
