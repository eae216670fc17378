package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// testCluster is a simulated platform, with a store and one group of targets, and the
// daemons that run on it.
type testCluster struct {
	t               *testing.T
	store           *site.Store
	group           *site.Group
	promotionServer *site.PromotionServer
	nodes           []*Node
	// version is the version of the last configuration.
	version int
	// firstStart makes daemons started from now on take part in the first start of the
	// system.
	firstStart bool
	// refusingStore is the address of a store that may refuse calls; daemons started from
	// now on use it if it is set.
	refusingStore string
	// tenantBounds are the settings about tenants of daemons started from now on.
	tenantBounds site.TenantBounds
	// tenants maps the tenants of later configurations to their keys; nil means a deployment
	// without tenants.
	tenants map[string][]string
	// strictRevocation, if not zero, is the time of strict revocation at daemons started
	// from now on.
	strictRevocation time.Duration
	// syncReplicas is the number of replicas that later configurations declare to receive a
	// commit before it is acknowledged.
	syncReplicas int
	// grace is the grace period of shutdowns of daemons started from now on.
	grace time.Duration
	// capacity, if not zero, is the capacity in the settings of daemons started from now on.
	capacity store.Capacity
	// metricsListen is the metrics address of daemons started from now on; empty for
	// none.
	metricsListen string
}

// Databases of the test configuration, all served by one group.
const (
	dbCurrent = "current"
	dbBounded = "bounded"
	dbSession = "session"
)

// testZones are the failure domains; the first two share a region.
var testZones = []string{"north", "south", "west"}

// listSettleTime is how long after its start a daemon considers its list of targets
// complete.
const listSettleTime = 3100 * time.Millisecond

// testDrainTime is how long a draining target may get new requests.
const testDrainTime = 4 * time.Second

// newTestCluster starts a simulated platform and one daemon in each of the given zones,
// and waits until the daemons are ready and consider their lists of targets complete.
func newTestCluster(t *testing.T, zones ...string) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, tenantBounds: site.DefaultTenantBounds, grace: 4 * time.Second}
	var err error
	if tc.store, err = site.NewStore("127.0.0.1"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tc.store.Close)
	tc.configure(dbCurrent, dbBounded, dbSession)
	if tc.group, err = site.NewGroup("grp", "127.0.0.1", testZones, 21, tc.store); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tc.group.Close)
	if tc.promotionServer, err = site.NewPromotionServer("127.0.0.1", tc.group); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tc.promotionServer.Close)
	for i, zone := range zones {
		tc.nodes = append(tc.nodes, tc.start(fmt.Sprintf("vm-%d", i), zone))
	}
	for _, n := range tc.nodes {
		tc.eventually(5*time.Second, "daemons are ready", n.Ready)
	}
	if len(zones) > 0 {
		time.Sleep(listSettleTime)
	}
	return tc
}

// configure writes a new configuration with a route for each of the databases.
func (tc *testCluster) configure(databases ...string) {
	types := map[string]string{dbCurrent: "primary", dbBounded: "bounded_staleness", dbSession: "read_your_writes"}
	routes := []any{}
	for _, d := range databases {
		if types[d] == "" {
			types[d] = "primary"
		}
		routes = append(routes, map[string]any{
			"name": "r-" + d, "host": d, "path_prefix": "/", "route_type": types[d], "timeout_ms": 2000,
			"target_latency_ms": 4000, "priority": 1, "service": "grp", "max_staleness_ms": 1000,
		})
	}
	tc.version++
	configuration := map[string]any{
		"version": tc.version, "routes": routes,
		"services": []any{map[string]any{"name": "grp", "max_conns": 21, "sync_replicas": tc.syncReplicas}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	}
	if tc.tenants != nil {
		site.AddTenants(configuration, tc.tenants)
	}
	tc.store.Put("config", "main", configuration)
}

// declareSyncReplica writes a configuration in which one replica receives each commit before it
// is acknowledged, and waits until the daemons know it.
func (tc *testCluster) declareSyncReplica() {
	tc.t.Helper()
	tc.syncReplicas = 1
	tc.configure(dbCurrent)
	tc.eventually(2*time.Second, "the daemons know that commits wait for a replica", func() bool {
		for _, n := range tc.nodes {
			if n.registry.Group("grp").Limits().SyncReplicas != 1 {
				return false
			}
		}
		return true
	})
}

// start starts a daemon on free ports.
func (tc *testCluster) start(name, zone string) *Node {
	tc.t.Helper()
	return tc.startOn(name, zone, freePorts(tc.t, "127.0.0.1", 3))
}

// restart starts a daemon that was killed again, with its name and addresses.
func (tc *testCluster) restart(n *Node) *Node {
	tc.t.Helper()
	s := n.settings
	return tc.startOn(s.Name, s.FailureDomain, []int{int(s.CallerAddress.Port()), int(s.ReadyAddress.Port()), s.FirstPort})
}

// startOn starts a daemon on the given ports for callers, probes and peers.
func (tc *testCluster) startOn(name, zone string, ports []int) *Node {
	tc.t.Helper()
	ip := "127.0.0.1"
	regions := map[string]string{"north": "home", "south": "home", "west": "away"}
	storeAddress := tc.store.Address
	if tc.refusingStore != "" {
		storeAddress = tc.refusingStore
	}
	bounds := map[string]any{"grace_s": tc.grace.Seconds(), "drain_ms": testDrainTime.Milliseconds()}
	tc.tenantBounds.AddTo(bounds)
	if tc.strictRevocation > 0 {
		site.SetStrictRevocation(bounds, tc.strictRevocation)
	}
	settings := map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": regions[zone], "zones": regions,
		"listen":     map[string]string{"front": fmt.Sprintf("%s:%d", ip, ports[0]), "ready": fmt.Sprintf("%s:%d", ip, ports[1])},
		"port_range": []int{ports[2], ports[2]}, "heartbeat_ms": 1000, "bounds": bounds,
		"bootstrap": tc.firstStart, "platform": map[string]any{"addr": storeAddress, "form": "objects"},
		"cloud": map[string]any{"addr": tc.promotionServer.Address}, "a_field_of_tomorrow": true,
	}
	if tc.capacity != (store.Capacity{}) {
		site.SetCapacity(settings, tc.capacity)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		tc.t.Fatal(err)
	}
	path := filepath.Join(tc.t.TempDir(), name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		tc.t.Fatal(err)
	}
	n, err := New(Options{SettingsPath: path, MetricsListen: tc.metricsListen, Out: io.Discard})
	if err != nil {
		tc.t.Fatal(err)
	}
	if err := n.listen(); err != nil {
		tc.t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Start(context.Background()) }()
	tc.t.Cleanup(func() {
		tc.kill(n)
		<-ended
	})
	return n
}

// kill ends a daemon as a killed process ends: everything is closed at once.
func (tc *testCluster) kill(n *Node) {
	n.cancel()
	for _, l := range []net.Listener{n.callerListener, n.probeListener, n.peerListener} {
		// The listener may already be closed by a shutdown.
		_ = l.Close()
	}
	n.peerServer.Abort()
	n.frontend.Abort()
}

// freePorts returns n ports that are free on ip.
func freePorts(t *testing.T, ip string, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}
	return ports
}

// eventually waits until ok returns true, and fails the test after limit.
func (tc *testCluster) eventually(limit time.Duration, what string, ok func() bool) {
	tc.t.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			tc.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// caller is a caller's session.
type caller = site.Caller

// connect opens a session to a database at a daemon.
func (tc *testCluster) connect(n *Node, database string) *caller {
	tc.t.Helper()
	return tc.connectWithKey(n, database, "test")
}

// connectWithKey opens a session to a database at a daemon with an API key.
func (tc *testCluster) connectWithKey(n *Node, database, key string) *caller {
	tc.t.Helper()
	c, err := site.ConnectWithKey(n.settings.CallerAddress.String(), database, key)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(c.Close)
	return c
}
