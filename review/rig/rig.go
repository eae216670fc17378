// Command rig plays one case of the review: it starts daemons as separate processes on
// loopback addresses, with a stand-in of the platform, of the instances and of clients.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// cannotRun ends the case if it can't be played.
func cannotRun(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if current != nil {
			current.end()
		}
		os.Exit(notPlayed)
	}
}

var current *rig

// rig is a deployment in play.
type rig struct {
	program  string
	dir      string
	zones    []string
	store    *store
	services []*service
	daemons  []*daemon
	started  time.Time
	trouble  bool

	mu     sync.Mutex
	record *os.File
}

// daemon is one process of the system.
type daemon struct {
	name, zone, front, ready string
	settings                 string
	command                  *exec.Cmd
	exited                   chan struct{}
}

func newRig(record string) *rig {
	program, err := filepath.Abs("target/laburnumrack")
	cannotRun(err)
	_, err = os.Stat(program)
	cannotRun(err)
	dir, err := os.MkdirTemp("", "review")
	cannotRun(err)
	f, err := os.Create(record)
	cannotRun(err)
	r := &rig{program: program, dir: dir, zones: []string{"osijek", "vukovar", "split"}, store: newStore(), started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: f}
	current = r
	return r
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes a version of the configuration.
func (r *rig) configure(version int, routes []map[string]any) {
	services := []map[string]any{}
	for _, s := range r.services {
		services = append(services, map[string]any{"name": s.name, "max_conns": s.instances[0].maxConns, "sync_replicas": s.syncReplicas})
	}
	r.store.put("config", "main", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 3000}})
}

func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	cannotRun(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startDaemons starts n daemons, in the zones by turns, and waits until they are ready.
func (r *rig) startDaemons(n int) {
	cloud, err := net.Listen("tcp4", "127.0.1.2:0")
	cannotRun(err)
	go func() { _ = http.Serve(cloud, http.HandlerFunc(r.servePromote)) }()
	peerPort := freePort("127.0.1.3")
	regions := map[string]string{"osijek": "panonija", "vukovar": "panonija", "split": "jadran"}
	for i := range n {
		zone := r.zones[i%len(r.zones)]
		name := "front-" + zone + "-" + strconv.Itoa(1+i/len(r.zones))
		ip := "127.0.2." + strconv.Itoa(10+i)
		d := &daemon{name: name, zone: zone, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip)), settings: filepath.Join(r.dir, name+".json")}
		settings := map[string]any{
			"node_name": name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": regions[zone], "zones": regions,
			"listen": map[string]string{"front": d.front, "ready": d.ready}, "port_range": []int{peerPort, peerPort + 15}, "seeds": []string{}, "bootstrap": true, "in_fault_budget": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 5000, "ack_ms": 6000, "catchup_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
				"config_ms": 4000, "rollback_slack_ms": 250, "skew_bound_ms": 15000, "recover_s": 12, "fencing_enforced": false, "thaw_slack_ms": 300,
			},
			"platform": map[string]any{"addr": r.store.listen("127.0.1.1", name), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
			"cloud":    map[string]any{"addr": cloud.Addr().String(), "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
		}
		data, err := json.Marshal(settings)
		cannotRun(err)
		cannotRun(os.WriteFile(d.settings, data, 0o644))
		r.daemons = append(r.daemons, d)
	}
	for _, d := range r.daemons {
		r.start(d)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range r.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				cannotRun(fmt.Errorf("daemon %s is not ready", d.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("%d daemons are ready", n)
}

// start starts the process of a daemon.
func (r *rig) start(d *daemon) {
	d.command = exec.Command(r.program, "node")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LABURNUMRACK_BOOT=" + d.settings}
	out, err := os.OpenFile(filepath.Join(r.dir, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	cannotRun(err)
	d.command.Stdout, d.command.Stderr = out, out
	cannotRun(d.command.Start())
	exited := make(chan struct{})
	d.exited = exited
	command := d.command
	go func() {
		_ = command.Wait()
		_ = out.Close()
		r.note("process of %s ended: %s", d.name, command.ProcessState)
		close(exited)
	}()
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// end ends all processes that the rig started.
func (r *rig) end() {
	for _, d := range r.daemons {
		if d.command != nil && d.command.Process != nil {
			_ = d.command.Process.Kill()
			<-d.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}

// finish ends the processes and the case.
func (r *rig) finish(faults int, verdict string) {
	r.end()
	r.note("%s", verdict)
	_ = r.record.Close()
	fmt.Println(verdict)
	if faults > 0 {
		os.Exit(broken)
	}
	os.Exit(held)
}

func main() {
	cases := map[string]func(*rig){"busy-sessions": busySessions, "shed-settings": shedSettings, "draining-replica": drainingReplica, "second-term": secondTerm}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(notPlayed)
	}
	cases[os.Args[1]](newRig(os.Args[2]))
}
