package ratelimit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
)

// Guards against a gateway in a large failure domain that asks one silent owner after the
// other before it refuses.
func TestCutOffGatewayRefuses(t *testing.T) {
	Convey("A gateway that is cut off from its neighbors, just after one of them was, refuses each operation after the time-outs of one owner and one successor", t, func() {
		const tenantCount = 20
		asked := 0
		var mu sync.Mutex
		var longest time.Duration
		reasons := map[string]int{}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			f := newFleet(ctx, 50*len(domainNames))
			time.Sleep(2 * time.Second)
			gateway := f.daemons[0]
			limiter, _ := gateway.status()
			// A neighbor that falls silent has the others probed, which is not done again for
			// surveyInterval.
			neighbor := f.daemons[len(domainNames)]
			neighbor.moveTo(2)
			_, err := limiter.call(neighbor.self.Name, peer.QuotaRequest{Kind: peer.QuotaProbe}, probeTimeout)
			if err == nil {
				t.Error("the silent neighbor answered")
			}
			time.Sleep(100 * time.Millisecond)
			gateway.moveTo(1)
			for i := range tenantCount {
				tenant := catalog.Tenant{Name: fmt.Sprint("t", i), Rate: 50, Burst: 50}
				if limiter.isFirstOwner(tenant.Name) {
					continue // It admits operations for contactHold.
				}
				asked++
				f.loops.Go(func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					began := time.Now()
					_, reason, ok := limiter.Admit(tenant, 1)
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, time.Since(began))
					if !ok {
						reasons[reason]++
					}
				})
			}
			time.Sleep(20 * time.Second)
			cancel()
			f.loops.Wait()
			time.Sleep(5 * time.Second)
		})
		t.Logf("longest wait %v, refusals %v", longest, reasons)
		So(reasons, ShouldResemble, map[string]int{ReasonUnreachable: asked})
		So(longest, ShouldBeLessThanOrEqualTo, ownerTimeout+successorTimeout)
	})
}
