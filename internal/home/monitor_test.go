package home

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	. "github.com/smartystreets/goconvey/convey"
)

// TestPrimaryMonitor guards against a second promotion: an instance with a higher term
// shows that another home has begun one, which gets openTermTimeout to finish.
func TestPrimaryMonitor(t *testing.T) {
	Convey("A primary that does not answer is suspected, but not while another home is replacing it", t, func() {
		tc := newTestCluster(t, 1)
		d, _ := tc.homes[0].databases.Load(databaseKey{testService, testDatabase})
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.raiseAlarmLocked()
		// advance moves the time forward in steps of the monitor. It returns the time at
		// which the group was first found to need a primary.
		advance := func(limit time.Duration) (after time.Duration, suspected bool) {
			for ; after < limit; after += group.UrgentInterval {
				now = now.Add(group.UrgentInterval)
				d.trackPrimary(now)
				if d.needsPromotion(now) {
					return after, true
				}
			}
			return after, false
		}
		_, suspectedEarly := advance(group.DefaultSilence / 2)
		So(suspectedEarly, ShouldBeFalse)
		_, suspected := advance(group.DefaultSilence)
		So(suspected, ShouldBeTrue)

		fenced := tc.group.Instances[2].Status()
		fenced.Fence, fenced.Primary = fenced.Fence+1, false
		d.view.Observe(group.Observation{Status: fenced, CallStarted: now, CallEnded: now})
		_, suspectedDuringPromotion := advance(openTermTimeout / 2)
		So(suspectedDuringPromotion, ShouldBeFalse)
		_, suspectedAfterTimeout := advance(openTermTimeout)
		So(suspectedAfterTimeout, ShouldBeTrue)
	})
}
