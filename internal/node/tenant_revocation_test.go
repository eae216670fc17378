package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Guards against a daemon that mistakes either setting of strict revocation for the other
// when no source of the configuration answers.
func TestRevocationSettings(t *testing.T) {
	tenants := []site.Tenant{{Name: "alder", Keys: []string{"key-a"}}}
	for _, strict := range []bool{false, true} {
		Convey(fmt.Sprintf("A daemon without a source of the configuration, strict revocation %v", strict), t, func() {
			bounds := site.DefaultTenantBounds
			bounds.StrictRevocation = strict
			tc := newTenantCluster(t, bounds, tenants, "north")
			n := tc.nodes[0]
			c := tc.connectAs(n, dbCurrent, "key-a")
			So(c.Query("WRITE k 1").OK(), ShouldBeTrue)
			// Unlike a fault of the store, this also refuses the watch that is waiting, whose
			// answer would confirm the configuration later.
			tc.accesses[0].SetRefused(true)
			time.Sleep(bounds.RevocationTime + 500*time.Millisecond)
			r := tc.connectAs(n, dbCurrent, "key-a").Query("WRITE k 2")
			So(r.OK(), ShouldEqual, !strict)
			So(c.Query("WRITE k 3").OK(), ShouldEqual, !strict)
			So(tc.connectAs(n, dbPublic, "none").Query("WRITE k 4").OK(), ShouldBeTrue)
			So(tc.ranUnder(r.ID), ShouldHaveLength, map[bool]int{false: 1, true: 0}[strict])
			tc.accesses[0].SetRefused(false)
			tc.eventually(5*time.Second, "the daemon serves the key again", func() bool {
				return tc.connectAs(n, dbCurrent, "key-a").Query("WRITE k 5").OK()
			})
			So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
		})
	}
}
