package node

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// claimDelay is the time after the start until a relay claims the promotion lock. Only
// relays claim it, and the VMs know each other by then.
const claimDelay = 2 * time.Second

// lockInterval is the time between checks whether this daemon holds the promotion lock.
const lockInterval = 200 * time.Millisecond

// servePromotionLock claims the promotion lock, so that a holder is known before the
// first promotion is needed. While this daemon is the holder, it watches for the
// promotion requests of other daemons.
func (n *Node) servePromotionLock() {
	ctxtime.Sleep(n.ctx, claimDelay)
	if n.members.Relay() == nil {
		if err := n.promotionLock.Claim(n.ctx); err != nil && n.ctx.Err() == nil {
			n.log.StateChange("duty_not_claimed", "error", err.Error())
		}
	}
	observe := func(o store.Object) {
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
		f := &feed{kind: failover.KindLock, objects: n.store, mirror: newMirror(watchWait), wait: watchWait, log: n.log, onChange: func(o store.Object) {
			observe(o)
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
		cancel()
	}
}
