package home

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	. "github.com/smartystreets/goconvey/convey"
)

func TestGuard(t *testing.T) {
	Convey("A silent primary is suspected, but not while another home is replacing it", t, func() {
		b := newBench(t, 1)
		d, _ := b.homes[0].databases.Load(databaseKey{testService, testDatabase})
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.alarmLocked()
		// pass lets time go by in the steps of the guard and reports when the group
		// was first found to need a primary.
		pass := func(limit time.Duration) (after time.Duration, suspected bool) {
			for ; after < limit; after += group.UrgentInterval {
				now = now.Add(group.UrgentInterval)
				d.followPrimary(now)
				if d.suspects(now) {
					return after, true
				}
			}
			return after, false
		}
		_, early := pass(group.DefaultSilence / 2)
		So(early, ShouldBeFalse)
		_, suspected := pass(group.DefaultSilence)
		So(suspected, ShouldBeTrue)

		fenced := b.group.Instances[2].Status()
		fenced.Fence, fenced.Primary = fenced.Fence+1, false
		d.view.Observe(group.Observation{Status: fenced, CallStarted: now, CallEnded: now})
		_, rival := pass(unopenedTime / 2)
		So(rival, ShouldBeFalse)
		_, dead := pass(unopenedTime)
		So(dead, ShouldBeTrue)
	})
}
