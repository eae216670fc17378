//go:build review

// Command rig4 plays the scripted cases 12, 13 and 15 of the review: it starts daemons as separate
// processes next to stand-ins of the platform and of the databases, and checks one rule.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Settings of the deployment, after the sheet of silozrak.
const (
	ip             = "127.0.0.1"
	memoryMB       = 284
	maxConnections = 21
	readyTimeout   = 15 * time.Second

	firstGroup, secondGroup = "zrnobaza", "zrnobaza2"
)

var regions = map[string]string{"osijek": "panonija", "vukovar": "panonija", "split": "jadran"}

// world is the platform, two database groups and the daemons.
type world struct {
	dir     string
	store   *site.Store
	group   *site.Group
	second  *site.Group
	promote *site.PromotionServer
	daemons []*daemon
	// storeAddress is the address of the store in the settings of daemons started from now on.
	storeAddress string

	mu     sync.Mutex
	record *bufio.Writer // guarded by mu
}

// daemon is one process of the program.
type daemon struct {
	name, zone string
	ports      []int
	settings   string

	mu      sync.Mutex
	command *exec.Cmd     // guarded by mu
	exited  chan struct{} // guarded by mu; closed when the process has ended
}

// callers returns the address at which the daemon accepts callers.
func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", ip, d.ports[0]) }

// newWorld starts the stand-ins with the given routes.
func newWorld(record *os.File, configuration site.Configuration) (*world, error) {
	dir, err := os.MkdirTemp("", "rig4")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: bufio.NewWriter(record)}
	if w.store, err = site.NewStore(ip); err != nil {
		return nil, err
	}
	w.store.Put("config", "main", configuration.Spec())
	if w.group, err = site.NewGroup(firstGroup, ip, []string{"osijek", "vukovar", "split"}, maxConnections, w.store); err != nil {
		return nil, err
	}
	if w.second, err = site.NewGroup(secondGroup, ip, []string{"osijek", "vukovar", "split"}, maxConnections, w.store); err != nil {
		return nil, err
	}
	w.storeAddress = w.store.Address
	w.promote, err = site.NewPromotionServer(ip, w.group, w.second)
	return w, err
}

// note writes one line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%s ", time.Now().Format("15:04:05.000"))
	_, _ = fmt.Fprintf(w.record, format+"\n", args...)
}

// noteRuns writes which statements of callers the targets have run.
func (w *world) noteRuns() {
	for _, g := range []*site.Group{w.group, w.second} {
		for _, r := range g.Runs() {
			w.note("run: %s at %s, arrived %s", r.ID, r.Target, r.At.Format("15:04:05.000"))
		}
	}
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.group.Close()
	w.second.Close()
	w.promote.Close()
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
}

// freePorts returns n free ports.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts a daemon and waits until it is ready.
func (w *world) start(name, zone string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, zone: zone, ports: ports}
	settings := map[string]any{
		"node_name": name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": regions[zone], "zones": regions,
		"listen":     map[string]string{"front": d.callers(), "ready": fmt.Sprintf("%s:%d", ip, ports[1])},
		"port_range": []int{ports[2], ports[2]}, "bootstrap": false, "heartbeat_ms": 1200, "discovery": "platform", "entry": "vip",
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"stable_window_ms": 5000, "ack_ms": 6000, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200, "config_ms": 4000, "rollback_slack_ms": 250,
			"skew_bound_ms": 15000, "recover_s": 12, "fencing_enforced": false, "thaw_slack_ms": 300,
		},
		"platform": map[string]any{"addr": w.storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20},
		"cloud":    map[string]any{"addr": w.promote.Address, "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	d.settings = path
	w.daemons = append(w.daemons, d)
	return d, w.restart(d)
}

// restart starts the process of a daemon and waits until it is ready.
func (w *world) restart(d *daemon) error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/laburnumrack", "node", "--metrics-listen", fmt.Sprintf("%s:%d", ip, d.ports[3]))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "LABURNUMRACK_BOOT=" + d.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	d.mu.Lock()
	d.command, d.exited = command, exited
	d.mu.Unlock()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", ip, d.ports[1]))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				w.note("daemon %s is ready", d.name)
				return nil
			}
		}
	}
	return fmt.Errorf("daemon %s is not ready", d.name)
}

// process returns the process and the channel that is closed when it has ended.
func (d *daemon) process() (*os.Process, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return nil, nil
	}
	return d.command.Process, d.exited
}

// signal sends a signal to the process, if it was started.
func (d *daemon) signal(s syscall.Signal) {
	if p, _ := d.process(); p != nil {
		// An error means that the process has ended.
		_ = p.Signal(s)
	}
}

// kill ends the process, if it runs.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	if _, exited := d.process(); exited != nil {
		<-exited
	}
}

// running reports whether the process runs.
func (d *daemon) running() bool {
	_, exited := d.process()
	select {
	case <-exited:
		return false
	default:
		return exited != nil
	}
}
