// Package node runs one daemon on the platform: it assembles its parts, feeds them the
// configuration, targets and VMs from the store, and starts and stops them.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Objects lists and watches objects of the store.
type Objects interface {
	List(ctx context.Context, kind store.Kind) (store.Page, error)
	Watch(ctx context.Context, kind store.Kind, from store.Point, wait time.Duration) (store.Page, error)
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
	// listTimeout bounds the hedged attempts of one list call until an answer begins, and
	// listTransferTimeout bounds them in all.
	listTimeout         = 2 * time.Second
	listTransferTimeout = 4 * time.Second
	// relayPatience is how long a daemon without a copy asks relays before it lists the
	// objects from the store itself. The delay is doubled at random, so that the daemons of
	// a fleet whose relays fail don't call the store at the same time.
	relayPatience = 1500 * time.Millisecond
	// directListVMs is the number of VMs of a failure domain up to which a daemon without
	// a copy does not wait for its relay: so few lists load neither the store nor a link.
	directListVMs = 4
	// batchPause is the time between an answer with changes and the next watch, so that
	// changes in quick succession need one call.
	batchPause = 100 * time.Millisecond
	// firstFallbackPause and maxFallbackPause bound the pause of a follower between its
	// own calls to a failing store. Its relay calls the store more often; the follower's
	// calls cover the case that the store refuses only the relay.
	firstFallbackPause = 300 * time.Millisecond
	maxFallbackPause   = 2 * time.Second
	// otherDomainWait is how long a watch at a relay of another failure domain waits for a
	// change after a failed call to the store. Meanwhile the store is not called.
	otherDomainWait = 500 * time.Millisecond
	// firstCopyWait is how long a daemon without a copy waits for the store or a current
	// relay before it begins with the copy of a peer that is not current.
	firstCopyWait = 400 * time.Millisecond
	// headWait is how long a watch of a relay at the head relay waits, so that the relay turns
	// to the store soon after it has found, by the promotion intents, that the head relay has
	// lost it.
	headWait = 700 * time.Millisecond
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
	// DomainSize returns the number of VMs of this failure domain, and false as long as
	// they are not known.
	DomainSize() (int, bool)
	// JoiningFor returns how much longer the founder of the failure domain acts as its relay,
	// not positive if it does not.
	JoiningFor() time.Duration
	// AlternativeRelay returns the client of a relay other than this daemon, nil if none
	// is known.
	AlternativeRelay() *peer.Client
	// HeadRelay returns the client of the daemon that this one, as the relay of its failure
	// domain, follows in place of the store; nil if this daemon calls the store itself.
	HeadRelay() *peer.Client
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
	// firstListAt is when a follower without a copy may list the objects from the store,
	// since boot; 0 if it has not asked a relay yet.
	firstListAt time.Duration
	// onReplace is called with all objects, onChange with each changed object.
	onReplace func([]store.Object)
	onChange  func(store.Object)
	// onPoint is called with the point of its history that the store has reached; it may be
	// nil.
	onPoint func(store.Point)
	// onEra is called before the first objects of a later era than the last known one are
	// delivered, with the time since the last answer of the earlier era; it may be nil.
	onEra func(era store.Era, sinceAnswer time.Duration)
	// redact, if not nil, returns an object without its secrets. It is applied to each
	// object before it is kept, delivered or sent to other daemons.
	redact func(store.Object) store.Object
	// onConfirmed is called with the time since boot at which the delivered objects were
	// last known to be current; it may be nil.
	onConfirmed func(asOf time.Duration)
	// acrossDomains makes the feed ask a relay of another failure domain if neither the
	// relay of its own nor the store answers. otherAnswered reports whether the last such
	// call got an answer.
	acrossDomains, otherAnswered bool
	// followsHead makes the feed of a relay that has a copy follow the head relay of the
	// region. followedHead is whether the last call went there.
	followsHead, followedHead bool
	// emptySince is when the feed began to look for its first copy, since boot; 0 before.
	emptySince time.Duration
	// answeredAt is when the last answer came, since boot.
	answeredAt time.Duration
}

// run lists the objects and then watches for changes until ctx ends.
func (f *feed) run(ctx context.Context) {
	f.runFrom(ctx, store.Point{})
}

// runFrom watches for changes after a point until ctx ends; from revision 0 it lists first,
// and when the store has begun a new era or lost the history since the point it lists again.
// After an error it retries with a growing pause.
func (f *feed) runFrom(ctx context.Context, from store.Point) {
	backoff := firstBackoff
	lostAt := time.Duration(0)
	for ctx.Err() == nil {
		next, err := f.poll(ctx, from)
		if err == nil {
			f.answeredAt = boottime.Now()
			if f.onPoint != nil {
				f.onPoint(next)
			}
			if lostAt != 0 {
				f.log.StateChange("store_regained", "kind", f.kind, "lost_ms", (boottime.Now() - lostAt).Milliseconds(), "point", next.String())
			}
			from, backoff, lostAt = next, firstBackoff, 0
			continue
		}
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrEraChanged) {
			f.log.StateChange("watch_restarted", "kind", f.kind, "point", from.String(), "reason", err.Error())
			from.Revision = 0
			continue
		}
		if lostAt == 0 && ctx.Err() == nil {
			lostAt = boottime.Now()
			f.log.StateChange("store_lost", "kind", f.kind, "point", from.String(), "error", err.Error())
		}
		ctxtime.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll makes one call to the relay, or to the store if the relay fails or has no current
// copy. It returns the point to continue from.
func (f *feed) poll(ctx context.Context, from store.Point) (store.Point, error) {
	if from.Revision == 0 && f.emptySince == 0 {
		f.emptySince = boottime.Now()
	}
	relay := f.relay()
	if relay == nil {
		if next, ok := f.pollHead(ctx, from); ok {
			return next, nil
		}
		f.logSourceChange(nil)
		return f.pollBeyondRelay(ctx, from, f.pollAsRelay)
	}
	f.logSourceChange(relay)
	joiningFor := f.relays.JoiningFor()
	wait := f.wait
	if joiningFor > 0 {
		// All daemons turn from the founder to the relay at the same time.
		wait = min(wait, joiningFor)
	}
	next, err := f.pollRelay(ctx, relay, f.watchRequest(from, wait))
	if err == nil {
		f.fallbackPause, f.nextFallback, f.firstListAt = 0, 0, 0
		return next, nil
	}
	pause := f.nextFallback - boottime.Now()
	if joiningFor > 0 || from.Revision != 0 && pause > 0 || from.Revision == 0 && f.waitsForRelay() {
		return f.pollInsteadOfStore(ctx, from, pause, err)
	}
	return f.pollBeyondRelay(ctx, from, f.pollAsFollower)
}

// pollHead makes one watch call to the head relay, if this feed of a relay follows one, and
// reports whether it got an answer. Without a copy it does not: the pages of a head relay that
// serves its own failure domain may be late.
func (f *feed) pollHead(ctx context.Context, from store.Point) (store.Point, bool) {
	if !f.followsHead || from.Revision == 0 {
		return from, false
	}
	head := f.relays.HeadRelay()
	if head == nil {
		return from, false
	}
	f.logSourceChange(head)
	f.followedHead = true
	request := f.watchRequest(from, headWait)
	request.Confirmations = true
	next, err := f.pollRelay(ctx, head, request)
	return next, err == nil
}

// pollInsteadOfStore is for a follower that leaves the store to its relay for now, or for a
// pause if that is positive. It asks a relay of another failure domain if that one answered
// the last time, and otherwise fails with the error of the relay.
func (f *feed) pollInsteadOfStore(ctx context.Context, from store.Point, pause time.Duration, relayError error) (store.Point, error) {
	if pause <= 0 {
		pause = otherDomainWait
	}
	if f.otherAnswered {
		if next, ok := f.pollOtherDomain(ctx, from, pause); ok {
			return next, nil
		}
	}
	return from, fmt.Errorf("%w: %w", errNoSource, relayError)
}

// pollBeyondRelay makes a call to the store, and asks a relay of another failure domain if
// that gets no answer.
func (f *feed) pollBeyondRelay(ctx context.Context, from store.Point, callStore func(context.Context, store.Point) (store.Point, error)) (store.Point, error) {
	if from.Revision == 0 {
		f.mirror.setLoading(true)
		defer f.mirror.setLoading(false)
	}
	next, err := callStore(ctx, from)
	if err != nil && isUnanswered(err) {
		if next, ok := f.pollOtherDomain(ctx, from, otherDomainWait); ok {
			return next, nil
		}
	}
	return next, err
}

// pollAsRelay makes one call to the store for a feed that follows no relay. If the store
// fails, another relay is asked if this daemon has no copy, and always for what must be
// known soon: the store may refuse this VM and serve others.
func (f *feed) pollAsRelay(ctx context.Context, from store.Point) (store.Point, error) {
	wait := f.wait
	if f.followedHead || !f.mirror.isCurrent() {
		// Until the first answer, the followers of a new relay call the store themselves. The
		// copy of one that followed another relay may cease to be current at any time.
		wait = 0
	}
	f.followedHead = false
	next, err := f.pollStore(ctx, from, wait)
	if err != nil && (from.Revision == 0 || f.acrossDomains && isUnanswered(err)) {
		if next, ok := f.pollAlternative(ctx, from); ok {
			return next, nil
		}
	}
	f.fallbackPause, f.nextFallback = 0, 0
	return next, err
}

// pollAsFollower makes one call to the store for a follower whose relay has failed, and
// after a failure sets the pause until the next one.
func (f *feed) pollAsFollower(ctx context.Context, from store.Point) (store.Point, error) {
	next, err := f.pollStore(ctx, from, f.wait)
	if err == nil {
		f.fallbackPause, f.nextFallback = 0, 0
		return next, nil
	}
	f.fallbackPause = min(max(2*f.fallbackPause, firstFallbackPause), maxFallbackPause)
	f.nextFallback = boottime.Now() + f.fallbackPause
	return next, err
}

// pollAlternative makes one watch call, without a wait, to a relay other than this daemon,
// and reports whether it got an answer.
func (f *feed) pollAlternative(ctx context.Context, from store.Point) (store.Point, bool) {
	if f.relays == nil {
		return from, false
	}
	relay := f.relays.AlternativeRelay()
	if relay == nil {
		return from, false
	}
	next, err := f.pollRelay(ctx, relay, f.watchRequest(from, 0))
	return next, err == nil
}

// pollOtherDomain makes one watch call to a relay of another failure domain, if the feed
// is acrossDomains, and reports whether it got an answer.
func (f *feed) pollOtherDomain(ctx context.Context, from store.Point, wait time.Duration) (store.Point, bool) {
	f.otherAnswered = false
	if !f.acrossDomains {
		return from, false
	}
	relay := f.relays.NearestOtherRelay()
	if relay == nil {
		return from, false
	}
	next, err := f.pollRelay(ctx, relay, f.watchRequest(from, wait))
	f.otherAnswered = err == nil
	return next, err == nil
}

// isUnanswered reports whether an error of a call to the store tells nothing of its content.
func isUnanswered(err error) bool {
	return !errors.Is(err, store.ErrCompacted) && !errors.Is(err, store.ErrEraChanged)
}

// watchRequest returns the request for the changes after a point that waits up to wait.
func (f *feed) watchRequest(from store.Point, wait time.Duration) peer.WatchRequest {
	return peer.WatchRequest{Kind: f.kind, From: from.Revision, Era: from.Era, Wait: wait}
}

// pollRelay makes one watch call to a relay and returns the point to continue from.
func (f *feed) pollRelay(ctx context.Context, relay *peer.Client, request peer.WatchRequest) (store.Point, error) {
	started := boottime.Now()
	answer, err := relay.Watch(request)
	return f.apply(ctx, relay, request, started, answer, err)
}

// apply delivers the answer of a relay to a request that was sent after started, and returns
// the point to continue from. err is the error of the request; apply returns it unless the
// answer is adopted.
func (f *feed) apply(ctx context.Context, relay *peer.Client, request peer.WatchRequest, started time.Duration, answer peer.WatchResponse, err error) (store.Point, error) {
	from := request.Point()
	if f.adopts(from, answer, err) {
		f.log.StateChange("copy_adopted", "kind", f.kind, "peer", relay.Name(), "point", answer.Page.Point().String())
		metrics.GetOrCreateCounter(`laburnumrack_copies_adopted_total`).Inc()
		err = nil
	}
	if err == nil && !continues(from, answer) {
		err = fmt.Errorf("%w: copy of era %s", peer.ErrNotCurrent, answer.Page.Era)
	}
	if errors.Is(err, peer.ErrNotCurrent) {
		f.relays.RelayOutdated(relay.Name())
	}
	if err != nil {
		return from, err
	}
	f.redactPage(answer.Page)
	// The relay got the request after started, so the true time is not before this one.
	confirmed := started + answer.ConfirmedAfter
	asOf := fromRelay
	if request.Confirmations {
		asOf = confirmed
	}
	// This daemon may become the relay; its copy must be complete then.
	if answer.Complete {
		f.mirror.replace(asOf, answer.Page)
	} else {
		f.mirror.change(asOf, answer.Page)
	}
	f.deliver(ctx, from.Era, answer.Complete, answer.Page)
	f.confirm(confirmed)
	return answer.Page.Point(), nil
}

// adopts reports whether this daemon begins with the copy of a peer although that is not
// current. During an outage of the store no copy is, and the peers serve by theirs. A copy that
// is complete is a listing of an earlier moment: the next watch continues from there. A daemon
// that lists again, because the store has dropped its history, keeps its own copy.
func (f *feed) adopts(from store.Point, answer peer.WatchResponse, err error) bool {
	return errors.Is(err, peer.ErrNotCurrent) && from.Revision == 0 && answer.Complete && answer.Page.Revision != 0 &&
		f.mirror.isEmpty() && continues(from, answer) && boottime.Now()-f.emptySince >= firstCopyWait
}

// redactPage redacts the objects of a page.
func (f *feed) redactPage(page store.Page) {
	if f.redact == nil {
		return
	}
	for i, o := range page.Objects {
		page.Objects[i] = f.redact(o)
	}
}

// confirm calls onConfirmed if there is one.
func (f *feed) confirm(asOf time.Duration) {
	if f.onConfirmed != nil {
		f.onConfirmed(min(asOf, boottime.Now()))
	}
}

// continues reports whether the answer of a relay continues the history from a point: it
// tells what changed in the same era, or all objects of that era or a later one. A relay of
// an earlier version tells no era.
func continues(from store.Point, a peer.WatchResponse) bool {
	if a.Complete {
		return a.Page.Era != 0 && a.Page.Era >= from.Era
	}
	return a.Page.Era == from.Era
}

// pollStore makes one list call to the store, or one watch call that waits up to wait for a
// change. It returns the point to continue from.
func (f *feed) pollStore(ctx context.Context, from store.Point, wait time.Duration) (store.Point, error) {
	started := boottime.Now()
	if from.Revision == 0 {
		page, adopted, err := f.listOrAdopt(ctx, from)
		if err != nil || adopted.Revision != 0 {
			return adopted, err
		}
		f.redactPage(page)
		f.mirror.replace(started, page)
		f.deliver(ctx, from.Era, true, page)
		f.confirm(started)
		return page.Point(), nil
	}
	watch, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	page, err := f.objects.Watch(watch, f.kind, from, wait)
	if err != nil {
		f.mirror.setFailing()
		return from, err
	}
	answered := boottime.Now()
	f.redactPage(page)
	f.mirror.change(answered, page)
	f.deliver(ctx, from.Era, false, page)
	f.confirm(answered)
	page.Revision = max(page.Revision, from.Revision)
	return page.Point(), nil
}

// listOrAdopt gets all objects from the store. If the store is silent for firstCopyWait and
// a relay has a copy, it delivers that one and returns the point to continue from.
func (f *feed) listOrAdopt(ctx context.Context, from store.Point) (listed store.Page, adopted store.Point, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		listed, err = f.list(ctx)
	}()
	timer := time.NewTimer(firstCopyWait)
	defer timer.Stop()
	var copies chan peerCopy
	for {
		select {
		case <-answered:
			return listed, from, err
		case <-timer.C:
			copies = f.askRelay(from)
		case c := <-copies:
			copies = nil
			if next, applyErr := f.apply(ctx, c.relay, c.request, c.started, c.answer, c.err); applyErr == nil {
				cancel()
				<-answered
				return store.Page{}, next, nil
			}
		}
	}
}

// peerCopy is the answer of a relay to a request without a wait.
type peerCopy struct {
	relay   *peer.Client
	request peer.WatchRequest
	started time.Duration
	answer  peer.WatchResponse
	err     error
}

// askRelay asks the relay, or another one if this daemon is the relay, in the background. It
// returns nil if none is known.
func (f *feed) askRelay(from store.Point) chan peerCopy {
	relay := f.relay()
	if relay == nil && f.relays != nil {
		relay = f.relays.AlternativeRelay()
	}
	if relay == nil {
		return nil
	}
	copies := make(chan peerCopy, 1)
	go func() {
		c := peerCopy{relay: relay, request: f.watchRequest(from, 0), started: boottime.Now()}
		c.answer, c.err = relay.Watch(c.request)
		copies <- c
	}()
	return copies
}

// list gets all objects from the store.
func (f *feed) list(ctx context.Context) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTransferTimeout)
	defer cancel()
	ctx, answering := withAnswerProgress(ctx)
	unanswered := time.AfterFunc(listTimeout, func() {
		if !answering() {
			cancel()
		}
	})
	defer unanswered.Stop()
	return hedge(ctx, hedgeInterval, answering, func(ctx context.Context) (store.Page, error) { return f.objects.List(ctx, f.kind) })
}

// waitsForRelay reports whether a follower without a copy, whose relay has not given it
// one, leaves the store to the relay for now. As long as the VMs are not known there is no
// relay, only a daemon that happens to have connected to this one.
func (f *feed) waitsForRelay() bool {
	if size, known := f.relays.DomainSize(); !known || size <= directListVMs {
		return false
	}
	now := boottime.Now()
	if f.firstListAt == 0 {
		f.firstListAt = now + relayPatience + rand.N(relayPatience)
	}
	return now < f.firstListAt
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

// deliver calls onReplace or onChange with the objects of a page, and onEra before if the
// page is of a later era than known, the last one.
func (f *feed) deliver(ctx context.Context, known store.Era, whole bool, page store.Page) {
	for i := range page.Objects {
		page.Objects[i].Era = page.Era
	}
	if known != 0 && page.Era > known && f.onEra != nil {
		f.onEra(page.Era, boottime.Now()-f.answeredAt)
	}
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
