//go:build review

// Command rig3 plays the cases of a review: it stands in for the platform, the databases and
// the callers, and starts the daemons as separate processes.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// world is one deployment.
type world struct {
	trouble bool
	dir     string
	ports   ports
	store   *objectStore
	db      *database
	daemons []*daemon

	storeAddr, cloudAddr string

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.logf(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// daemonPlan is the place of one daemon.
type daemonPlan struct{ name, zone string }

// newWorld starts the platform and a database of three instances.
func newWorld(recordPath string, syncReplicas int) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, start: time.Now()}
	// Addresses differ between runs, so that two of them do not meet.
	block := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, 1+os.Getpid()/128%250)
	ips := []string{}
	for n := 1; n <= 30; n++ {
		ips = append(ips, fmt.Sprintf("%s%d", block, n))
	}
	base := freePorts(ips, 24)
	w.ports = ports{front: base, ready: base + 1, metrics: base + 2, first: base + 4}
	w.storeAddr, w.cloudAddr = fmt.Sprintf("%s21:%d", block, base), fmt.Sprintf("%s22:%d", block, base)
	if w.store, err = newObjectStore(w.storeAddr); err != nil {
		return nil, err
	}
	w.db = &database{
		name: "zrnobaza", store: w.store, sync: syncReplicas, heartbeat: 1200 * time.Millisecond, promoteIn: 600 * time.Millisecond,
		workTime: 2 * time.Millisecond, delay: zoneDelay, logf: w.logf, runs: map[string]int{}, committed: map[string]int{}, tenants: map[string]string{},
	}
	for n, zone := range []string{"osijek", "vukovar", "split"} {
		w.db.instances = append(w.db.instances, &instance{
			id: "i-" + zone, zone: zone, address: fmt.Sprintf("%s%d:%d", block, 24+n, base), primary: n == 0, term: 1, lag: 8 * time.Millisecond,
		})
	}
	w.db.start()
	l, err := net.Listen("tcp4", w.cloudAddr)
	if err != nil {
		return nil, err
	}
	cloud := &http.Server{Handler: &promoteServer{databases: map[string]*database{w.db.name: w.db}, logf: w.logf}, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = cloud.Serve(l) }()
	w.publish(7, nil)
	w.say("three instances, sync_replicas %d, trouble %v", syncReplicas, w.trouble)
	return w, w.startDaemons(block)
}

// publish writes a version of the configuration, with tenants unless that is nil. The store's
// acknowledgement is the return.
func (w *world) publish(version int, tenants []any) {
	config := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-1", "host": "orders", "path_prefix": "/", "route_type": "primary", "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 1, "service": w.db.name, "attempts": 2},
			map[string]any{"name": "r-2", "host": "readings", "path_prefix": "/", "route_type": "bounded_staleness", "timeout_ms": 2000, "target_latency_ms": 1500, "priority": 2, "service": w.db.name, "attempts": 2, "max_staleness_ms": 1500},
			map[string]any{"name": "r-3", "host": "logs", "path_prefix": "/", "route_type": "read_your_writes", "timeout_ms": 1000, "target_latency_ms": 2000, "priority": 2, "service": w.db.name, "attempts": 2, "max_staleness_ms": 2500},
		},
		"services": []any{map[string]any{"name": w.db.name, "health_path": "/health", "max_conns": maxInstanceConns, "protocol": "h1", "tls": false, "sync_replicas": w.db.sync}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	w.store.put("config", "main", config)
}

// startDaemons starts one daemon in each zone, and waits until all are ready.
func (w *world) startDaemons(block string) error {
	for n, zone := range []string{"osijek", "vukovar", "split"} {
		d := newDaemon(w.dir, "front-"+zone+"-1", zone, fmt.Sprintf("%s%d", block, 1+n), w.ports, w.storeAddr, w.cloudAddr, w.logf)
		w.daemons = append(w.daemons, d)
		go d.run(w.ports, w.storeAddr, w.cloudAddr)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			// The platform starts traffic 10 s after the machines; the daemons settle meanwhile.
			time.Sleep(6 * time.Second)
			w.say("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("the daemons are not ready within 20 s")
}

// instance returns the instance of a zone.
func (w *world) instance(zone string) *instance {
	for _, i := range w.db.instances {
		if i.zone == zone {
			return i
		}
	}
	panic(zone)
}

// end stops all processes, and keeps the logs if KEEP names a folder.
func (w *world) end() {
	for _, d := range w.daemons {
		d.stop()
	}
	for _, d := range w.daemons {
		<-d.stopped
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
		for _, l := range logs {
			data, _ := os.ReadFile(l)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(l)), data, 0o600)
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// cases are the cases by name.
var cases = map[string]struct {
	syncReplicas int
	play         func(w *world) int
}{
	"key-moved":  {0, playKeyMoved},
	"large-rows": {0, playLargeRows},
	"unfinished": {0, playUnfinished},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(cantRun)
	}
	c := cases[os.Args[1]]
	w, err := newWorld(os.Args[2], c.syncReplicas)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		if w != nil {
			w.end()
		}
		os.Exit(cantRun)
	}
	code := c.play(w)
	w.end()
	os.Exit(code)
}
