package node

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// claimPause is the time after the start after which a relay claims the promotion lock: the
// VMs have found each other by then, and only relays claim it.
const claimPause = 2 * time.Second

// lockInterval is the time between looks whether this daemon holds the promotion lock.
const lockInterval = 200 * time.Millisecond

// servePromotionLock makes a holder of the promotion lock known before the first need, and hears the
// promotion requests of other daemons while this one is the holder.
func (n *Node) servePromotionLock() {
	ctxtime.Sleep(n.ctx, claimPause)
	if n.members.Relay() == nil {
		if err := n.promotionLock.Claim(n.ctx); err != nil && n.ctx.Err() == nil {
			n.log.StateChange("duty_not_claimed", "error", err.Error())
		}
	}
	saw := func(o store.Object) {
		group, term, ok := n.promotionLock.Observe(o)
		if g := n.registry.Group(group); ok && g != nil {
			g.RequestPromotion(term)
		}
	}
	for n.ctx.Err() == nil {
		if !n.promotionLock.IsHolder() {
			ctxtime.Sleep(n.ctx, lockInterval)
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		f := &feed{kind: failover.KindLock, objects: n.store, mirror: newMirror(watchWait), wait: watchWait, log: n.log, change: func(o store.Object) {
			saw(o)
			if !n.promotionLock.IsHolder() {
				cancel()
			}
		}}
		f.replace = func(objects []store.Object) {
			for _, o := range objects {
				f.change(o)
			}
		}
		f.run(ctx)
		cancel()
	}
}
