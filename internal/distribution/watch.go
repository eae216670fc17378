package distribution

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// watchStore watches the store while this daemon is a relay, until ctx ends.
func (r *Syncer) watchStore(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := retryPause
		if r.options.Fleet.Current().IsRelay() && r.watch(ctx, watchWait, slowTimeout) {
			pause = relayPause
		}
		r.wait(ctx, pause)
	}
	return ctx.Err()
}

// watch asks the store for changes and reports whether it answered. The timeout
// bounds the call beside the wait.
func (r *Syncer) watch(ctx context.Context, wait, timeout time.Duration) bool {
	from := r.options.Holder.Current().Revision
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	sent := time.Now()
	page, err := r.options.Store.Watch(callCtx, from, wait, configuration.Kinds()...)
	if errors.Is(err, store.ErrCompacted) {
		return r.list(ctx, slowTimeout) == nil
	}
	if err != nil {
		r.storeFailed(err)
		return false
	}
	report, err := r.options.Holder.Apply(from, page)
	if err != nil {
		r.storeFailed(err)
		return false
	}
	count(report)
	r.completeAt(sent)
	return true
}

// CatchUp asks the store for changes. It is called after a change was made through
// this daemon, so that the operator sees it here at once. An error of the store
// only leaves the change to the next round.
func (r *Syncer) CatchUp(ctx context.Context) {
	r.watch(ctx, 0, storeTimeout)
}

// list takes the whole configuration from the store.
func (r *Syncer) list(ctx context.Context, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	page, err := r.options.Store.List(callCtx, configuration.Kinds()...)
	if err != nil {
		r.storeFailed(err)
		return err
	}
	if page.Revision < r.options.Holder.Current().Revision {
		err := errors.New("the store's revision is below this daemon's")
		r.storeFailed(err)
		return err
	}
	count(r.options.Holder.Replace(page))
	r.completeAt(sent)
	klog.Infof("config: listed the store at revision %d", page.Revision)
	return nil
}

func (r *Syncer) storeFailed(err error) {
	storeFailures.Inc()
	klog.V(1).Infof("config: store call failed: %v", err)
}

func count(report configuration.Report) {
	appliedObjects.Add(report.Applied)
	rejectedObjects.Add(len(report.Rejected))
	for _, k := range report.Rejected {
		klog.Warningf("config: the newest version of %s is not accepted, its last good version stays", k)
	}
}
