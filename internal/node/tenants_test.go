package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// dbPublic is a database of the tenants' configuration whose route needs no key.
const dbPublic = "public"

// tenantCluster is a cluster whose configuration has tenants.
type tenantCluster struct {
	*testCluster
	check *site.TenantCheck
	// accesses are the ways of the daemons to the store, in the order of nodes.
	accesses []*site.Access
	// declared is the last configuration.
	declared site.Configuration
}

// newTenantCluster starts a platform whose configuration has the given tenants, and one
// daemon in each zone, with its own access to the store.
func newTenantCluster(t *testing.T, bounds site.TenantBounds, tenants []site.Tenant, zones ...string) *tenantCluster {
	t.Helper()
	tc := &tenantCluster{testCluster: newTestCluster(t)}
	tc.tenantBounds = bounds
	tc.check = site.NewTenantCheck(tc.store, site.ConfigurationTime, bounds.RevocationTime)
	tc.declare(tenants)
	for i, zone := range zones {
		access, err := tc.store.NewAccess("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(access.Close)
		tc.accesses = append(tc.accesses, access)
		tc.refusingStore = access.Address
		tc.nodes = append(tc.nodes, tc.start(fmt.Sprintf("vm-%d", i), zone))
	}
	for _, n := range tc.nodes {
		tc.eventually(5*time.Second, "daemons are ready", n.Ready)
	}
	time.Sleep(listSettleTime)
	return tc
}

// declare writes a configuration with the databases of the tests and the given tenants.
func (tc *tenantCluster) declare(tenants []site.Tenant) {
	tc.version++
	tc.declared = site.Configuration{
		Version: tc.version, Connections: map[string]int{"grp": tc.group.MaxConnections}, Tenants: tenants,
		Routes: []site.Route{
			{Database: dbCurrent, Type: "primary", Group: "grp", Timeout: queueTime, Objective: queueTime},
			{Database: dbBounded, Type: "bounded_staleness", Group: "grp"},
			{Database: dbSession, Type: "read_your_writes", Group: "grp"},
			{Database: dbPublic, Type: "primary", Group: "grp", Public: true},
		},
	}
	tc.check.Declare(tc.declared)
}

// queueTime is how long a request for the primary may wait, so that a queue can last longer
// than the time of a revocation.
const queueTime = 20 * time.Second

// connectAs opens a checked session that presents a key.
func (tc *tenantCluster) connectAs(n *Node, database, key string) *caller {
	tc.t.Helper()
	c, err := tc.check.Connect(n.settings.CallerAddress.String(), database, key)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(c.Close)
	return c
}

// ranUnder returns the tenants under which a statement ran.
func (tc *tenantCluster) ranUnder(id string) []string {
	var tenants []string
	for _, r := range tc.group.Runs() {
		if r.ID == id {
			tenants = append(tenants, r.Tenant)
		}
	}
	return tenants
}

// Guards against a change for deployments that declare no tenants.
func TestWithoutTenants(t *testing.T) {
	Convey("Without tenants, callers need no key and targets see the name of laburnumrack", t, func() {
		tc := newTenantCluster(t, site.DefaultTenantBounds, nil, "north", "south")
		for _, n := range tc.nodes {
			for _, database := range []string{dbCurrent, dbBounded, dbSession, dbPublic} {
				c := tc.connectAs(n, database, "anything")
				So(c.Refused, ShouldBeEmpty)
				for _, r := range []site.Reply{c.Query("WRITE k v"), c.Query("READ k")} {
					So(r.OK(), ShouldBeTrue)
					So(tc.ranUnder(r.ID), ShouldResemble, []string{site.NoTenant})
				}
			}
		}
		So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
		opened := tc.group.OpenedConnections()
		So(opened[site.NoTenant], ShouldBeGreaterThan, 0)
		So(opened, ShouldHaveLength, 1)
	})
}
