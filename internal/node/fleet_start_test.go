package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/membership"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Goals for callers of a fleet whose daemons all start at once.
const (
	firstServedGoal   = 300 * time.Millisecond
	mostServedGoal    = 2 * time.Second
	mostServedPercent = 90 // percent of the callers
)

// timeToFirstAnswer returns the time from started until a caller of n gets its first
// successful answer. It retries as refused callers do, for up to twice mostServedGoal.
func timeToFirstAnswer(n *Node, database, text string, started time.Time) time.Duration {
	for time.Since(started) < 2*mostServedGoal {
		c, err := site.Connect(n.settings.CallerAddress.String(), database)
		if err == nil {
			ok := c.Query(text).OK()
			c.Close()
			if ok {
				return time.Since(started)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func TestSimultaneousStart(t *testing.T) {
	Convey("When all daemons start at once, callers are served soon, and the targets refuse few connections", t, func() {
		tc := newTestCluster(t)
		const perZone, callersEach = 3, 8
		started := time.Now()
		var mu sync.Mutex
		var times []time.Duration
		var wg sync.WaitGroup
		for i := range perZone * len(testZones) {
			n := tc.start(fmt.Sprintf("vm-%d", i), testZones[i%len(testZones)])
			for k := range callersEach {
				database, text := dbSession, "READ k"
				if k%2 == 0 {
					database, text = dbCurrent, fmt.Sprintf("WRITE k%d-%d v", i, k)
				}
				wg.Go(func() {
					took := timeToFirstAnswer(n, database, text, started)
					mu.Lock()
					defer mu.Unlock()
					times = append(times, took)
				})
			}
		}
		wg.Wait()
		within := func(limit time.Duration) int {
			count := 0
			for _, took := range times {
				if took <= limit {
					count++
				}
			}
			return count
		}
		So(within(firstServedGoal), ShouldBeGreaterThan, 0)
		So(within(mostServedGoal)*100, ShouldBeGreaterThanOrEqualTo, len(times)*mostServedPercent)
		// Until the daemons know each other, several may act as home of the group. A
		// daemon whose connection is refused at the limit does not connect to the target
		// for a while, so fewer connections are refused than the targets accept.
		So(tc.group.RefusedConnections(), ShouldBeLessThan, tc.group.MaxConnections*len(testZones))
	})
}

// Guards against a daemon that acts as home before it knows the other VMs: after a
// failure of power, 206 daemons instead of 48 acted as homes, and the targets reset 2,569
// connections over their limits.
func TestStartBeforeVMsAreListed(t *testing.T) {
	Convey("A daemon that starts beside others leaves the group to its home, although it learns of the others last", t, func() {
		tc := newTestCluster(t, testZones[0], testZones[0])
		const listDelay = 250 * time.Millisecond
		tc.store.SetDelay(string(membership.KindVM), listDelay)
		// Of vm-0, vm-1 and vm-9, vm-1 is the home of the group.
		late := tc.start("vm-9", testZones[0])
		tc.eventually(5*time.Second, "the late daemon is ready", late.Ready)
		So(late.members.Known(), ShouldBeTrue)
		So(tc.connect(late, dbSession).Query("READ k").OK(), ShouldBeTrue)
		So(late.registry.Group("grp").Leader(), ShouldBeNil)
	})
	Convey("A daemon that can't learn of the others serves its callers itself", t, func() {
		tc := newTestCluster(t, testZones[0])
		tc.store.SetDelay(string(membership.KindVM), time.Minute)
		late := tc.start("vm-late", testZones[0])
		tc.eventually(5*time.Second, "the late daemon is ready", late.Ready)
		So(tc.connect(late, dbSession).Query("READ k").OK(), ShouldBeTrue)
		So(late.members.Known(), ShouldBeFalse)
	})
}

// Guards against a first start in which every daemon gets every list from the store: 780
// calls and more than 400 watches for 195 daemons.
func TestFirstStart(t *testing.T) {
	Convey("At the first start the store is called twice per daemon, and a few times per failure domain", t, func() {
		tc := newTestCluster(t)
		tc.firstStart = true
		const perZone = 6
		var nodes []*Node
		for i := range perZone * len(testZones) {
			nodes = append(nodes, tc.start(fmt.Sprintf("vm-%d", i), testZones[i%len(testZones)]))
		}
		for _, n := range nodes {
			tc.eventually(5*time.Second, "the daemons are ready", n.Ready)
		}
		const perDomain = 8
		lists := tc.store.CallCount("GET config") + tc.store.CallCount("GET servers")
		So(lists, ShouldBeLessThanOrEqualTo, perDomain*len(testZones))
		So(tc.store.CallCount("POST "+string(membership.KindFounder)), ShouldEqual, len(nodes))
		for _, n := range nodes {
			tc.eventually(3*time.Second, "the daemons know each other", func() bool {
				return len(n.members.Openers("grp")) > 0 && n.members.Known()
			})
		}
		So(tc.connect(nodes[len(nodes)-1], dbCurrent).Query("WRITE k v").OK(), ShouldBeTrue)
	})
	Convey("A daemon whose founder is gone starts by itself", t, func() {
		tc := newTestCluster(t)
		tc.store.Put(string(membership.KindFounder), testZones[0], map[string]any{"name": "vm-gone", "address": "127.0.0.1:1"})
		tc.firstStart = true
		n := tc.start("vm-0", testZones[0])
		tc.eventually(5*time.Second, "the daemon is ready", n.Ready)
	})
}
