package node

import (
	"context"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Timing of the claim of the promotion lock.
const (
	// claimDelay is the time after the start until a relay claims the promotion lock. Only
	// relays claim it, and the VMs know each other by then.
	claimDelay = 2 * time.Second
	// lockInterval is the time between checks whether this daemon holds the promotion lock
	// or has to claim it.
	lockInterval = 200 * time.Millisecond
	// claimRetryPause is the pause after a claim that failed, and settleInterval the one
	// between two looks for promotions of earlier eras.
	claimRetryPause = 500 * time.Millisecond
	settleInterval  = time.Second
)

// servePromotionLock claims the promotion lock, so that a holder is known before the
// first promotion is needed, and again in each new era of the store. While this daemon is
// the holder, it watches for the promotion requests of other daemons.
func (n *Node) servePromotionLock() {
	ctxtime.Sleep(n.ctx, claimDelay)
	for n.ctx.Err() == nil {
		switch {
		case n.promotionLock.IsHolder():
			n.watchRequests()
		case !n.promotionLock.HolderKnown() && n.members.Relay() == nil:
			ctxtime.Sleep(n.ctx, n.claimLock())
		default:
			ctxtime.Sleep(n.ctx, lockInterval)
		}
	}
}

// claimLock tries to claim the promotion lock and returns the pause until the next look.
func (n *Node) claimLock() time.Duration {
	firstStart := n.settings.FirstStart && n.promotionLock.SawOneEra()
	if err := n.promotionLock.Claim(n.ctx, firstStart); err != nil && n.ctx.Err() == nil {
		n.log.StateChange("duty_not_claimed", "error", err.Error())
		return claimRetryPause
	}
	return lockInterval
}

// watchRequests follows the objects of the promotion lock for as long as this daemon holds
// it.
func (n *Node) watchRequests() {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	go n.settleWhileHolder(ctx, cancel)
	f := &feed{kind: failover.KindLock, objects: n.store, mirror: newMirror(watchWait), wait: watchWait, log: n.log, onChange: func(o store.Object) {
		group, term, ok := n.promotionLock.Observe(o)
		if g := n.registry.Group(group); ok && g != nil {
			g.RequestPromotion(term)
		}
		if !n.promotionLock.IsHolder() {
			cancel()
		}
	}}
	f.onReplace = func(objects []store.Object) {
		for _, o := range objects {
			f.onChange(o)
		}
	}
	f.run(ctx)
}

// settleWhileHolder looks for promotions of earlier eras that were not known when this
// daemon took the lock, until ctx ends. It calls lost when this daemon no longer holds the
// lock.
func (n *Node) settleWhileHolder(ctx context.Context, lost func()) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, settleInterval)
		if !n.promotionLock.IsHolder() {
			lost()
			return
		}
		if err := n.promotionLock.Settle(ctx); err != nil && ctx.Err() == nil {
			n.log.StateChange("eras_not_settled", "error", err.Error())
		}
		if err := n.promoter.TrackMembers(ctx, n.registry.Groups()); err != nil && ctx.Err() == nil {
			n.log.StateChange("members_not_recorded", "error", err.Error())
		}
	}
}

// settleGroups implements failover.Settler.
func (n *Node) settleGroups(ctx context.Context, names []string) failover.Settlement {
	groups := n.registry.Groups()
	if names != nil {
		groups = slices.DeleteFunc(groups, func(g *backend.Group) bool { return !slices.Contains(names, g.Name) })
	}
	return failover.SettleGroups(ctx, groups)
}
