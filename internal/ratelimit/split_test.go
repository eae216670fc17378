package ratelimit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against two owners in each failure domain: when a partition left a third of the
// daemons of each domain on one side, the share of each domain was issued on both sides, and
// a tenant ran 2,372 operations in 5 s with a bound of 2,350.
func TestUnevenSplit(t *testing.T) {
	Convey("A partition through all failure domains: never over the bound", t, func() {
		const cutAt, healAt, duration = 8 * time.Second, 15 * time.Second, 22 * time.Second
		var ops []operation
		simulate(t, func(f *simFleet) {
			ops = offerDuring(f, overloaded, duration, func() {
				time.Sleep(cutAt)
				for i, d := range f.daemons {
					if i%20 < 7 {
						d.moveTo(1)
					}
				}
				time.Sleep(healAt - cutAt)
				for _, d := range f.daemons {
					d.moveTo(0)
				}
			})
		})
		t.Logf("split: %d of %.0f in the worst window", worstWindow(ops), bound(failing))
		So(float64(worstWindow(ops)), ShouldBeLessThanOrEqualTo, bound(failing))
	})
}
