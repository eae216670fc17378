// Package node runs one daemon on the platform: it feeds configuration and targets
// from the store to the parts that serve callers.
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

// Objects is the part of the store that feeds need.
type Objects interface {
	List(ctx context.Context, kind store.Kind) (store.Page, error)
	Watch(ctx context.Context, kind store.Kind, from store.Revision, wait time.Duration) (store.Page, error)
}

// Times of a feed.
const (
	// watchWait is how long a watch of the configuration or the targets waits. A watch
	// may go silent, and that is noticed only after it: wait and slack are kept under
	// the time in which a configuration has to be in force.
	watchWait = 2500 * time.Millisecond
	// slowWait is how long a watch waits whose changes are not urgent.
	slowWait = 10 * time.Second
	// watchSlack is the time beyond watchWait after which a watch counts as lost.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds one listing.
	listTimeout = 2 * time.Second
	// gatherPause is the time between an answer and the next watch, so that changes
	// in quick succession cost one call.
	gatherPause = 100 * time.Millisecond
	// firstOwnPause and maxOwnPause bound the pause of a follower between calls of its
	// own to a store that fails. Its relay asks more often; the follower's calls serve
	// for the case that the store turns the relay alone away.
	firstOwnPause = 300 * time.Millisecond
	maxOwnPause   = 2 * time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// RelaySelector tells which relay this daemon follows.
type RelaySelector interface {
	// Relay returns the relay to ask, nil if this daemon asks the store itself.
	Relay() *peer.Client
}

// feed keeps a copy of one kind of object current. It follows the relay of its
// failure domain, or the store itself where it is the relay or that has no current
// copy.
type feed struct {
	kind    store.Kind
	objects Objects
	relays  RelaySelector
	mirror  *mirror
	log     *eventlog.Log
	// wait is how long a watch waits.
	wait time.Duration
	// source is whom the feed followed last.
	source string
	// ownPause is the last pause after a failed call of a follower to the store, ownAt
	// when the next may be made, since boot.
	ownPause, ownAt time.Duration
	// replace is called with all objects, change with each that changed.
	replace func([]store.Object)
	change  func(store.Object)
	// reached is called with the revision that the store has reached; nil for none.
	reached func(store.Revision)
}

// run lists and watches until ctx ends.
func (f *feed) run(ctx context.Context) {
	f.runFrom(ctx, 0)
}

// runFrom goes on from a revision until ctx ends; 0 lists first.
func (f *feed) runFrom(ctx context.Context, from store.Revision) {
	backoff := firstBackoff
	lostAt := time.Duration(0)
	for ctx.Err() == nil {
		next, err := f.step(ctx, from)
		if err == nil {
			if f.reached != nil {
				f.reached(next)
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

// step asks the relay, and the store if that has nothing current. It returns the
// revision to go on from.
func (f *feed) step(ctx context.Context, from store.Revision) (store.Revision, error) {
	relay := f.relay()
	f.noteSource(relay)
	if relay != nil {
		answer, err := relay.Watch(peer.WatchRequest{Kind: f.kind, From: from, Wait: f.wait})
		if err == nil {
			f.ownPause, f.ownAt = 0, 0
			// This daemon may be the next relay: its copy has to be whole then.
			if answer.Complete {
				f.mirror.replace(fromRelay, answer.Page)
			} else {
				f.mirror.change(fromRelay, answer.Page)
			}
			f.take(ctx, answer.Complete, answer.Page)
			return max(answer.Page.Revision, from), nil
		}
		if from != 0 && boottime.Now() < f.ownAt {
			return from, fmt.Errorf("%w: %w", errStoreSilent, err)
		}
	}
	next, err := f.ask(ctx, from)
	if err != nil && relay != nil {
		f.ownPause = min(max(2*f.ownPause, firstOwnPause), maxOwnPause)
		f.ownAt = boottime.Now() + f.ownPause
	} else {
		f.ownPause, f.ownAt = 0, 0
	}
	return next, err
}

// ask lists or watches at the store.
func (f *feed) ask(ctx context.Context, from store.Revision) (store.Revision, error) {
	began := boottime.Now()
	if from == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		page, err := f.objects.List(ctx, f.kind)
		if err != nil {
			return 0, err
		}
		f.mirror.replace(began, page)
		f.take(ctx, true, page)
		return page.Revision, nil
	}
	watch, cancel := context.WithTimeout(ctx, f.wait+watchSlack)
	defer cancel()
	page, err := f.objects.Watch(watch, f.kind, from, f.wait)
	if err != nil {
		return from, err
	}
	f.mirror.change(boottime.Now(), page)
	f.take(ctx, false, page)
	return max(page.Revision, from), nil
}

// noteSource logs whom the feed follows when that changes.
func (f *feed) noteSource(relay *peer.Client) {
	source := "store"
	if relay != nil {
		source = relay.Name()
	}
	if source != f.source {
		f.log.StateChange("feed_source", "kind", f.kind, "source", source)
		f.source = source
	}
}

// relay returns the relay to follow, nil for none.
func (f *feed) relay() *peer.Client {
	if f.relays == nil {
		return nil
	}
	return f.relays.Relay()
}

func (f *feed) take(ctx context.Context, whole bool, page store.Page) {
	if whole {
		f.replace(page.Objects)
		return
	}
	for _, o := range page.Objects {
		f.change(o)
	}
	if len(page.Objects) > 0 {
		ctxtime.Sleep(ctx, gatherPause)
	}
}
