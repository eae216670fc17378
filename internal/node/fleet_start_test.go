package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
