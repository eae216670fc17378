package backend

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestConnectionLimits(t *testing.T) {
	Convey("The homes of all failure domains stay under the cap of a target", t, func() {
		for _, c := range []struct{ maxConnections, slots, domains int }{{21, 3, 3}, {43, 3, 3}, {65, 5, 6}, {234, 3, 6}} {
			primary, replica := 0, 0
			for domain := range c.domains {
				distance := 1
				switch {
				case domain == 0:
					distance = 0
				case domain >= c.domains/2:
					distance = farDistance
				}
				_, limit := connectionLimits(c.maxConnections, c.slots, c.domains, distance, true)
				primary += limit
				_, limit = connectionLimits(c.maxConnections, c.slots, c.domains, distance, false)
				replica += limit
			}
			So(primary, ShouldBeLessThanOrEqualTo, c.maxConnections)
			So(replica, ShouldBeLessThanOrEqualTo, c.maxConnections)
		}
	})
	Convey("With tenants the homes of all failure domains stay under the cap of a target too", t, func() {
		for _, c := range []struct{ maxConnections, domains, want int }{{82, 6, 11}, {46, 6, 6}, {65, 6, 9}} {
			_, limit := tenantConnectionLimits(c.maxConnections, c.domains)
			So(limit, ShouldEqual, c.want)
			So(limit*c.domains, ShouldBeLessThanOrEqualTo, c.maxConnections)
		}
	})
	Convey("Statements of one home fill the slots", t, func() {
		So(statementLimit(3, 0), ShouldBeGreaterThan, 3)
		So(statementLimit(3, farDistance), ShouldBeGreaterThan, statementLimit(3, 1))
	})
}
