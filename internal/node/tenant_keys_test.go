package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// immediateRefusal bounds the time of a refusal that needs no other daemon.
const immediateRefusal = 500 * time.Millisecond

// awaitInForce waits until the last configuration is in force at all daemons.
func (tc *tenantCluster) awaitInForce() {
	tc.t.Helper()
	tc.eventually(site.ConfigurationTime, "the configuration is in force everywhere", func() bool {
		for _, n := range tc.nodes {
			if n.configuration.Version() != uint64(tc.version) {
				return false
			}
		}
		return true
	})
}

// Guards against statements that run under no tenant or that of another caller, and against
// callers without a valid key that are served.
func TestTenantsOnWholePath(t *testing.T) {
	tc := newTenantCluster(t, site.DefaultTenantBounds, []site.Tenant{
		{Name: "alder", Keys: []string{"key-a1", "key-a2"}}, {Name: "birch", Keys: []string{"key-b"}},
	}, "north", "south", "west", "north")

	Convey("Every daemon runs every kind of statement under the tenant of the caller's key", t, func() {
		for i, n := range tc.nodes {
			for key, tenant := range map[string]string{"key-a1": "alder", "key-a2": "alder", "key-b": "birch"} {
				for _, database := range []string{dbCurrent, dbBounded, dbSession} {
					c := tc.connectAs(n, database, key)
					So(c.Refused, ShouldBeEmpty)
					item := fmt.Sprintf("%s-%s-%d", database, key, i)
					w, r := c.Query("WRITE "+item+" 1"), c.Query("READ "+item)
					So(c.Query("BEGIN").State, ShouldEqual, "T")
					inside, end := c.Query("WRITE "+item+" 2"), c.Query("COMMIT")
					for _, reply := range []site.Reply{w, r, inside, end} {
						So(reply.OK(), ShouldBeTrue)
						So(tc.ranUnder(reply.ID), ShouldResemble, []string{tenant})
					}
				}
			}
		}
		So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
		So(tc.group.OpenedConnections()["alder"], ShouldBeGreaterThan, 0)
		So(tc.group.OpenedConnections()["birch"], ShouldBeGreaterThan, 0)
	})
	Convey("An unknown key is refused at once and the connection is closed", t, func() {
		for _, n := range tc.nodes {
			for _, key := range []string{"nobody", "alder", "KEY-A1", "key-a", "key-a1x"} {
				started := time.Now()
				c := tc.connectAs(n, dbCurrent, key)
				So(c.Refused, ShouldStartWith, "ERR NOAUTH")
				So(c.Refused, ShouldNotContainSubstring, key)
				So(c.ReadLine(), ShouldEqual, site.Closed)
				So(time.Since(started), ShouldBeLessThan, immediateRefusal)
			}
		}
	})
	Convey("A public route needs no key and runs under no tenant, whatever key is presented", t, func() {
		for _, n := range tc.nodes {
			for _, key := range []string{"nobody", "key-a1"} {
				c := tc.connectAs(n, dbPublic, key)
				So(c.Refused, ShouldBeEmpty)
				r := c.Query("WRITE p 1")
				So(r.OK(), ShouldBeTrue)
				So(tc.ranUnder(r.ID), ShouldResemble, []string{site.NoTenant})
			}
		}
		So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
	})
	Convey("No target had more connections than its limit, and no connection names anything but a tenant", t, func() {
		So(tc.group.PeakConnections(), ShouldBeLessThanOrEqualTo, tc.group.MaxConnections)
		for name := range tc.group.OpenedConnections() {
			So(name, ShouldBeIn, "alder", "birch", site.NoTenant)
		}
	})
}

// Guards against a change of keys that a daemon misses because the store refuses it, and
// against work of a revoked key that goes on. The daemons follow a relay that the store
// serves.
func TestKeyChanges(t *testing.T) {
	base := []site.Tenant{{Name: "alder", Keys: []string{"key-a"}}, {Name: "birch", Keys: []string{"key-b"}}}
	tc := newTenantCluster(t, site.DefaultTenantBounds, base, "north", "north", "north", "south")
	for i, n := range tc.nodes {
		t.Run(n.settings.Name, func(t *testing.T) {
			tc.t = t
			changeKeys(tc, base, n, tc.accesses[i])
		})
	}
}

// changeKeys makes every kind of change of keys while the store refuses one daemon.
func changeKeys(tc *tenantCluster, base []site.Tenant, refused *Node, access *site.Access) {
	Convey("A change reaches a daemon that the store refuses", tc.t, func() {
		tc.declare(base)
		tc.awaitInForce()
		access.SetRefused(true)
		defer access.SetRefused(false)

		Convey("An added key is accepted", func() {
			So(tc.connectAs(refused, dbCurrent, "key-new").Refused, ShouldStartWith, "ERR NOAUTH")
			tc.declare([]site.Tenant{{Name: "alder", Keys: []string{"key-a", "key-new"}}, base[1]})
			tc.awaitInForce()
			c := tc.connectAs(refused, dbCurrent, "key-new")
			So(c.Refused, ShouldBeEmpty)
			r := c.Query("WRITE k 1")
			So(r.OK(), ShouldBeTrue)
			So(tc.ranUnder(r.ID), ShouldResemble, []string{"alder"})
		})
		Convey("A key that moves to another tenant serves its open session from the next unit on", func() {
			c := tc.connectAs(refused, dbCurrent, "key-a")
			So(c.Query("WRITE k 1").OK(), ShouldBeTrue)
			tc.declare([]site.Tenant{{Name: "alder"}, {Name: "birch", Keys: []string{"key-b", "key-a"}}})
			tc.awaitInForce()
			r := c.Query("WRITE k 2")
			So(r.OK(), ShouldBeTrue)
			So(tc.ranUnder(r.ID), ShouldResemble, []string{"birch"})
		})
		Convey("A revoked key ends its idle sessions and rolls its transaction back", func() {
			idle, open, other := tc.connectAs(refused, dbSession, "key-a"), tc.connectAs(refused, dbCurrent, "key-a"), tc.connectAs(refused, dbSession, "key-b")
			So(idle.Query("READ k").OK(), ShouldBeTrue)
			So(other.Query("READ k").OK(), ShouldBeTrue)
			item := fmt.Sprintf("tx%d", tc.version)
			So(open.Query("BEGIN").State, ShouldEqual, "T")
			So(open.Query("WRITE "+item+" 1").State, ShouldEqual, "T")
			tc.declare([]site.Tenant{{Name: "alder"}, base[1]})
			revoked := time.Now()
			// The session may be told why before it is closed.
			line := idle.ReadLine()
			if line != site.Closed {
				So(line, ShouldStartWith, "ERR NOAUTH")
				So(idle.ReadLine(), ShouldEqual, site.Closed)
			}
			So(time.Since(revoked), ShouldBeLessThan, site.DefaultTenantBounds.RevocationTime)
			end := open.Query("COMMIT")
			So(end.OK(), ShouldBeFalse)
			So(tc.group.Committed(item), ShouldBeEmpty)
			tc.awaitInForce()
			So(tc.connectAs(refused, dbCurrent, "key-a").Refused, ShouldStartWith, "ERR NOAUTH")
			So(other.Query("WRITE k 3").OK(), ShouldBeTrue)
			So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
			tc.eventually(time.Second, "the transaction no longer keeps a connection in use", func() bool {
				return tc.connectAs(refused, dbCurrent, "key-b").Query("WRITE " + item + " 2").OK()
			})
		})
		Convey("A removed tenant loses its sessions, and its key is unknown", func() {
			idle := tc.connectAs(refused, dbSession, "key-b")
			So(idle.Query("READ k").OK(), ShouldBeTrue)
			tc.declare(base[:1])
			tc.awaitInForce()
			r := idle.Query("READ k")
			So(r.OK(), ShouldBeFalse)
			So(tc.ranUnder(r.ID), ShouldBeEmpty)
			So(tc.connectAs(refused, dbCurrent, "key-b").Refused, ShouldStartWith, "ERR NOAUTH")
			So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
		})
	})
}
