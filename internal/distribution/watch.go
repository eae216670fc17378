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
func (s *Syncer) watchStore(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := storeRetryPause
		if s.options.Fleet.Current().IsRelay() && s.watchStoreOnce(ctx, watchWait, slowStoreTimeout) {
			pause = watchPause
		}
		s.sleepJittered(ctx, pause)
	}
	return ctx.Err()
}

// watchStoreOnce makes one watch call at the store, which waits up to wait for a change,
// and applies the changes. It reports whether the store answered. timeout bounds the
// call in addition to wait.
func (s *Syncer) watchStoreOnce(ctx context.Context, wait, timeout time.Duration) bool {
	from := s.options.Holder.Current().Revision
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	sentAt := time.Now()
	page, err := s.options.Store.Watch(callCtx, from, wait, configuration.Kinds()...)
	if errors.Is(err, store.ErrCompacted) {
		return s.listStore(ctx, slowStoreTimeout) == nil
	}
	if err != nil {
		s.recordStoreFailure(err)
		return false
	}
	report, err := s.options.Holder.Apply(from, page)
	if err != nil {
		s.recordStoreFailure(err)
		return false
	}
	countObjects(report)
	s.recordComplete(sentAt)
	return true
}

// CatchUp polls the store for changes. It is called after a change was made through this
// daemon, so that the change is in force here at once. If the store fails, the next
// round brings the change.
func (s *Syncer) CatchUp(ctx context.Context) {
	s.watchStoreOnce(ctx, 0, storeTimeout)
}

// listStore replaces the configuration by the one in the store. It fails if the store
// does not answer, or if the revision of the store is below the one of this daemon.
func (s *Syncer) listStore(ctx context.Context, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	page, err := s.options.Store.List(callCtx, configuration.Kinds()...)
	if err != nil {
		s.recordStoreFailure(err)
		return err
	}
	if page.Revision < s.options.Holder.Current().Revision {
		err := errors.New("the revision of the store is below the revision of this daemon")
		s.recordStoreFailure(err)
		return err
	}
	countObjects(s.options.Holder.Replace(page))
	s.recordComplete(sentAt)
	klog.Infof("config: loaded the whole configuration from the store at revision %d", page.Revision)
	return nil
}

// recordStoreFailure counts and logs a failed store call.
func (s *Syncer) recordStoreFailure(err error) {
	storeFailures.Inc()
	klog.V(1).Infof("config: store call failed: %v", err)
}

// countObjects counts the applied and rejected objects of a report and logs the rejected
// ones.
func countObjects(report configuration.Report) {
	appliedObjects.Add(report.Applied)
	rejectedObjects.Add(len(report.Rejected))
	for _, k := range report.Rejected {
		klog.Warningf("config: the newest version of %s is rejected, its last valid version stays in force", k)
	}
}
