// Package node runs one daemon on the platform: it assembles its parts, feeds them the
// configuration, targets and VMs from the store, and starts and stops them.
package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Objects lists and watches objects of the store.
type Objects interface {
	List(ctx context.Context, kind store.Kind) (store.Page, error)
	Watch(ctx context.Context, kind store.Kind, from store.Revision, wait time.Duration) (store.Page, error)
}

// Timing of a feed.
const (
	// watchWait is how long a watch of the configuration or the targets waits for a
	// change. A watch that gets no answer is noticed only after watchWait plus
	// watchSlack, so their sum must stay below the time within which a configuration has
	// to be in force.
	watchWait = 2500 * time.Millisecond
	// slowWatchWait is how long a watch waits for changes that are not urgent.
	slowWatchWait = 10 * time.Second
	// watchSlack is how long after its wait a watch without an answer counts as lost.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds the hedged attempts of one list call.
	listTimeout = 2 * time.Second
	// batchPause is the time between an answer with changes and the next watch, so that
	// changes in quick succession need one call.
	batchPause = 100 * time.Millisecond
	// firstFallbackPause and maxFallbackPause bound the pause of a follower between its
	// own calls to a failing store. Its relay calls the store more often; the follower's
	// calls cover the case that the store refuses only the relay.
	firstFallbackPause = 300 * time.Millisecond
	maxFallbackPause   = 2 * time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// RelaySelector selects the relay that this daemon follows.
type RelaySelector interface {
	// Relay returns the client of the relay, nil if this daemon calls the store itself.
	Relay() *peer.Client
	// RelayOutdated records that a relay had no current copy, so that another one is
	// followed.
	RelayOutdated(name string)
	// JoiningFor returns how much longer the founder of the failure domain acts as its relay,
	// not positive if it does not.
	JoiningFor() time.Duration
	// NearestOtherRelay returns the client of a relay of another failure domain, nil if
	// none is known.
	NearestOtherRelay() *peer.Client
}

// feed keeps a copy of one kind of object current. It follows the relay of its failure
// domain, or the store if this daemon is the relay or the relay has no current copy.
type feed struct {
	kind    store.Kind
	objects Objects
	relays  RelaySelector
	mirror  *mirror
	log     *eventlog.Log
	// wait is how long a watch waits for a change.
	wait time.Duration
	// source is the name of the relay that the feed followed last, or "store".
	source string
	// fallbackPause is the pause after the last failed call of a follower to the store,
	// and nextFallback is when the next one may be made, since boot.
	fallbackPause, nextFallback time.Duration
	// onReplace is called with all objects, onChange with each changed object.
	onReplace func([]store.Object)
	onChange  func(store.Object)
	// onRevision is called with the revision that the store has reached; it may be nil.
	onRevision func(store.Revision)
}

// run lists the objects and then watches for changes until ctx ends.
func (f *feed) run(ctx context.Context) {
	f.runFrom(ctx, 0)
}

// runFrom watches for changes after a revision until ctx ends; from 0 it lists first.
// After an error it retries with a growing pause.
func (f *feed) runFrom(ctx context.Context, from store.Revision) {
	backoff := firstBackoff
	lostAt := time.Duration(0)
	for ctx.Err() == nil {
		next, err := f.poll(ctx, from)
		if err == nil {
			if f.onRevision != nil {
				f.onRevision(next)
			}
			if lostAt != 0 {
				f.log.StateChange("store_regained", "kind", f.kind, "lost_ms", (boottime.Now() - lostAt).Milliseconds(), "revision", next)
			}
			from, backoff, lostAt = next, firstBackoff, 0
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			f.log.StateChange("watch_compacted", "kind", f.kind, "revision", from)
			from = 0
			continue
		}
		if lostAt == 0 && ctx.Err() == nil {
			lostAt = boottime.Now()
			f.log.StateChange("store_lost", "kind", f.kind, "revision", from, "error", err.Error())
		}
		ctxtime.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll makes one call to the relay, or to the store if the relay fails or has no current
// copy. It returns the revision to continue from.
func (f *feed) poll(ctx context.Context, from store.Revision) (store.Revision, error) {
	relay := f.relay()
	f.logSourceChange(relay)
	if relay != nil {
		joiningFor := f.relays.JoiningFor()
		wait := f.wait
		if joiningFor > 0 {
			// All daemons turn from the founder to the relay at the same time.
			wait = min(wait, joiningFor)
		}
		answer, err := relay.Watch(peer.WatchRequest{Kind: f.kind, From: from, Wait: wait})
		if err == nil {
			f.fallbackPause, f.nextFallback = 0, 0
			// This daemon may become the relay; its copy must be complete then.
			if answer.Complete {
				f.mirror.replace(fromRelay, answer.Page)
			} else {
				f.mirror.change(fromRelay, answer.Page)
			}
			f.deliver(ctx, answer.Complete, answer.Page)
			return max(answer.Page.Revision, from), nil
		}
		if errors.Is(err, peer.ErrNotCurrent) {
			f.relays.RelayOutdated(relay.Name())
		}
		if joiningFor > 0 || from != 0 && boottime.Now() < f.nextFallback {
			return from, fmt.Errorf("%w: %w", errNoSource, err)
		}
	}
	wait := f.wait
	if relay == nil && !f.mirror.isCurrent() {
		// Until the first answer, the followers of a new relay call the store themselves.
		wait = 0
	}
	next, err := f.pollStore(ctx, from, wait)
	if err != nil && relay != nil {
		f.fallbackPause = min(max(2*f.fallbackPause, firstFallbackPause), maxFallbackPause)
		f.nextFallback = boottime.Now() + f.fallbackPause
	} else {
		f.fallbackPause, f.nextFallback = 0, 0
	}
	return next, err
}

// pollStore makes one list call to the store, or one watch call that waits up to wait for a
// change. It returns the revision to continue from.
func (f *feed) pollStore(ctx context.Context, from store.Revision, wait time.Duration) (store.Revision, error) {
	started := boottime.Now()
	if from == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		page, err := hedge(ctx, hedgeInterval, func(ctx context.Context) (store.Page, error) { return f.objects.List(ctx, f.kind) })
		if err != nil {
			return 0, err
		}
		f.mirror.replace(started, page)
		f.deliver(ctx, true, page)
		return page.Revision, nil
	}
	watch, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	page, err := f.objects.Watch(watch, f.kind, from, wait)
	if err != nil {
		return from, err
	}
	f.mirror.change(boottime.Now(), page)
	f.deliver(ctx, false, page)
	return max(page.Revision, from), nil
}

// logSourceChange logs the source that the feed follows if it has changed.
func (f *feed) logSourceChange(relay *peer.Client) {
	source := "store"
	if relay != nil {
		source = relay.Name()
	}
	if source != f.source {
		f.log.StateChange("feed_source", "kind", f.kind, "source", source)
		f.source = source
	}
}

// relay returns the client of the relay to follow, nil for none.
func (f *feed) relay() *peer.Client {
	if f.relays == nil {
		return nil
	}
	return f.relays.Relay()
}

// deliver calls onReplace or onChange with the objects of a page.
func (f *feed) deliver(ctx context.Context, whole bool, page store.Page) {
	if whole {
		f.onReplace(page.Objects)
		return
	}
	for _, o := range page.Objects {
		f.onChange(o)
	}
	if len(page.Objects) > 0 {
		ctxtime.Sleep(ctx, batchPause)
	}
}
