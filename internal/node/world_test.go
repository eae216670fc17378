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
)

// world is a stand-in site with daemons.
type world struct {
	t     *testing.T
	store *site.Store
	group *site.Group
	cloud *site.Cloud
	nodes []*Node
	// version is that of the last configuration.
	version int
	// metricsListen is the address of the metrics of daemons that are started next.
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

// listSettles is how long after its start a daemon takes its list of targets for
// whole.
const listSettles = 3100 * time.Millisecond

// testDrain is how long a target that leaves may take new work.
const testDrain = 4 * time.Second

// newWorld starts a site and a daemon in each of the zones that are named.
func newWorld(t *testing.T, zones ...string) *world {
	t.Helper()
	w := &world{t: t}
	var err error
	if w.store, err = site.NewStore("127.0.0.1"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.store.Close)
	w.configure(dbCurrent, dbBounded, dbSession)
	if w.group, err = site.NewGroup("grp", "127.0.0.1", testZones, 21, w.store); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.group.Close)
	if w.cloud, err = site.NewCloud("127.0.0.1", w.group); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.cloud.Close)
	for i, zone := range zones {
		w.nodes = append(w.nodes, w.start(fmt.Sprintf("vm-%d", i), zone))
	}
	for _, n := range w.nodes {
		w.eventually(5*time.Second, "daemons are ready", n.Ready)
	}
	if len(zones) > 0 {
		time.Sleep(listSettles)
	}
	return w
}

// configure writes a configuration that has routes for the databases named.
func (w *world) configure(databases ...string) {
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
	w.version++
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes,
		"services": []any{map[string]any{"name": "grp", "max_conns": 21, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
}

// start starts a daemon on an address of its own.
func (w *world) start(name, zone string) *Node {
	w.t.Helper()
	ip := "127.0.0.1"
	ports := freePorts(w.t, ip, 3)
	regions := map[string]string{"north": "home", "south": "home", "west": "away"}
	settings := map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": regions[zone], "zones": regions,
		"listen":     map[string]string{"front": fmt.Sprintf("%s:%d", ip, ports[0]), "ready": fmt.Sprintf("%s:%d", ip, ports[1])},
		"port_range": []int{ports[2], ports[2]}, "heartbeat_ms": 1000, "bounds": map[string]any{"grace_s": 4, "drain_ms": testDrain.Milliseconds()},
		"platform": map[string]any{"addr": w.store.Address, "form": "objects"},
		"cloud":    map[string]any{"addr": w.cloud.Address}, "a_field_of_tomorrow": true,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.t.TempDir(), name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		w.t.Fatal(err)
	}
	n, err := New(Options{SettingsPath: path, MetricsListen: w.metricsListen, Out: io.Discard})
	if err != nil {
		w.t.Fatal(err)
	}
	if err := n.listen(); err != nil {
		w.t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Start(context.Background()) }()
	w.t.Cleanup(func() {
		w.kill(n)
		<-ended
	})
	return n
}

// kill ends a daemon as a lost process does: everything is closed at once.
func (w *world) kill(n *Node) {
	n.stop()
	for _, l := range []net.Listener{n.callers, n.probeAt, n.peerAt} {
		// A listener that a shutdown has closed is closed.
		_ = l.Close()
	}
	n.peers.Abort()
	n.front.Abort()
}

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

// eventually waits until ok holds.
func (w *world) eventually(limit time.Duration, what string, ok func() bool) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			w.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// caller is a session of a caller.
type caller = site.Caller

// connect opens a session at a daemon.
func (w *world) connect(n *Node, database string) *caller {
	w.t.Helper()
	c, err := site.Connect(n.settings.CallerAddress.String(), database)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(c.Close)
	return c
}
