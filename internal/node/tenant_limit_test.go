package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// quotaLoad is what callers of one tenant saw.
type quotaLoad struct {
	mu         sync.Mutex
	served     int
	refused    int
	retryAfter map[time.Duration]bool
	// other holds the replies that were neither served nor refused over the limit.
	other []string
	// slowest is the longest time of a refusal.
	slowest time.Duration
}

// send sends one write after another in a session and counts the replies, for a time.
func (q *quotaLoad) send(c *caller, item string, length, pause time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		r := c.Query("WRITE " + item + " v")
		took := time.Since(r.Sent)
		q.mu.Lock()
		after, ok := r.RetryAfter()
		switch {
		case r.OK():
			q.served++
		case r.Code() == "TOOMANY" && ok:
			q.refused++
			q.retryAfter[after] = true
			q.slowest = max(q.slowest, took)
		default:
			q.other = append(q.other, r.Completion)
		}
		q.mu.Unlock()
	}
}

// quotaMessages returns the number of messages about quotas that all daemons of this
// process have sent, by kind.
func quotaMessages() map[string]uint64 {
	sent := map[string]uint64{}
	for _, kind := range []string{"admit", "transfer", "probe"} {
		sent[kind] = metrics.GetOrCreateCounter(`laburnumrack_quota_messages_total{kind="` + kind + `"}`).Get()
	}
	return sent
}

// logTenantCost logs what docs/CAPACITY.md states of messages and connections.
func logTenantCost(tc *tenantCluster, before map[string]uint64) {
	after := quotaMessages()
	for kind := range after {
		after[kind] -= before[kind]
	}
	tc.t.Logf("quota messages: %v; connections opened by tenant: %v; most at one target: %d", after, tc.group.OpenedConnections(), tc.group.PeakConnections())
}

// Guards against a limit that each daemon or failure domain grants by itself, refusals that
// tell all callers to return at once, and a limit that refuses a tenant within it.
func TestTenantOverLimit(t *testing.T) {
	Convey("A tenant over its limit is refused at all daemons together, others are not", t, func() {
		limit, bounds := site.Limit{Rate: 30, Burst: 15}, site.DefaultTenantBounds
		bounds.QuotaWindow, bounds.QuotaSlack = 2*time.Second, 10
		tc := newTenantCluster(t, bounds, []site.Tenant{
			{Name: "alder", Keys: []string{"key-a"}, Limit: &limit},
			{Name: "birch", Keys: []string{"key-b"}, Limit: &limit},
			{Name: "cedar", Keys: []string{"key-c"}},
		}, "north", "south", "west", "north")
		before := quotaMessages()
		const length = 6 * time.Second
		over, within := &quotaLoad{retryAfter: map[time.Duration]bool{}}, &quotaLoad{retryAfter: map[time.Duration]bool{}}
		unlimited := &quotaLoad{retryAfter: map[time.Duration]bool{}}
		var wg sync.WaitGroup
		for i, n := range tc.nodes {
			for k := range 3 {
				c := tc.connectAs(n, dbCurrent, "key-a")
				wg.Go(func() { over.send(c, fmt.Sprintf("a%d-%d", i, k), length, 10*time.Millisecond) })
			}
			// Two thirds of the limit in all, from four daemons.
			c, free := tc.connectAs(n, dbCurrent, "key-b"), tc.connectAs(n, dbCurrent, "key-c")
			wg.Go(func() { within.send(c, fmt.Sprintf("b%d", i), length, 200*time.Millisecond) })
			wg.Go(func() { unlimited.send(free, fmt.Sprintf("c%d", i), length, 20*time.Millisecond) })
		}
		wg.Wait()
		t.Logf("over the limit: %d served, %d refused, slowest refusal %s, %d retry-after times; within: %d served, %d refused; without limit: %d served",
			over.served, over.refused, over.slowest, len(over.retryAfter), within.served, within.refused, unlimited.served)
		logTenantCost(tc, before)
		use := tc.check.HighestUse(tc.group, "alder", bounds)
		t.Logf("most in a window: %d of %.1f", use.Ran, use.Allowed)
		So(use.Exceeded(), ShouldBeFalse)
		So(over.other, ShouldBeEmpty)
		So(over.refused, ShouldBeGreaterThan, over.served)
		// What the limit allows is served: the accounts may start empty, so the burst and the
		// first second are left out.
		So(float64(over.served), ShouldBeGreaterThanOrEqualTo, 0.9*limit.Rate*(length-time.Second).Seconds())
		So(len(over.retryAfter), ShouldBeGreaterThan, 5)
		So(over.slowest, ShouldBeLessThan, immediateRefusal)
		So(within.refused, ShouldBeLessThanOrEqualTo, 2)
		So(within.other, ShouldBeEmpty)
		So(unlimited.refused, ShouldEqual, 0)
		So(unlimited.other, ShouldBeEmpty)
		So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
	})
	Convey("A rate of zero admits the burst at most, and a raised limit is in force soon", t, func() {
		limit := site.Limit{Rate: 0, Burst: 0}
		tc := newTenantCluster(t, site.DefaultTenantBounds, []site.Tenant{{Name: "alder", Keys: []string{"key-a"}, Limit: &limit}}, "north", "south")
		c := tc.connectAs(tc.nodes[0], dbCurrent, "key-a")
		refused := 0
		for range 60 {
			if c.Query("WRITE k v").Code() == "TOOMANY" {
				refused++
			}
		}
		So(refused, ShouldBeGreaterThanOrEqualTo, 60-int(site.DefaultTenantBounds.Allowed(limit)))
		limit = site.Limit{Rate: 100, Burst: 50}
		tc.declare([]site.Tenant{{Name: "alder", Keys: []string{"key-a"}, Limit: &limit}})
		tc.awaitInForce()
		tc.eventually(2*time.Second, "the raised limit admits operations", func() bool { return c.Query("WRITE k v").OK() })
	})
}
