//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, started: time.Now()}, err
}

func (r *recorder) write(who, format string, args []any, echo bool) {
	line := fmt.Sprintf("%8.3f s  %-10s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	if echo {
		fmt.Print(line)
	}
}

func (r *recorder) event(who, format string, args ...any) { r.write(who, format, args, true) }
func (r *recorder) quiet(who, format string, args ...any) { r.write(who, format, args, false) }

// daemon is one process of the system.
type daemon struct {
	name, zone, ip    string
	front, ready      string
	settings, logFile string
	cmd               *exec.Cmd
	exited            chan struct{}
}

// daemons are the processes of a small deployment and what they need to start.
type daemons struct {
	dir    string
	subnet string
	store  string
	cloud  string
	log    *recorder
	all    []*daemon
}

var zones = map[string]string{"osijek": "panonija", "split": "jadran", "vukovar": "panonija"}

// Ports of all daemons; each has a loopback address of its own.
const (
	frontPort   = 8784
	readyPort   = 8785
	firstPort   = 7440
	lastPort    = 7455
	metricsPort = 9180
)

// pickSubnet returns the first three bytes of loopback addresses on which no port is used.
func pickSubnet() string {
	for {
		subnet := fmt.Sprintf("127.%d.%d.", 2+rand.IntN(250), rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s1:%d", subnet, frontPort))
		if err == nil {
			_ = l.Close()
			return subnet
		}
	}
}

func (f *daemons) add(name, zone string) *daemon {
	d := &daemon{name: name, zone: zone, ip: fmt.Sprintf("%s%d", f.subnet, len(f.all)+1)}
	d.front, d.ready = fmt.Sprintf("%s:%d", d.ip, frontPort), fmt.Sprintf("%s:%d", d.ip, readyPort)
	d.settings, d.logFile = filepath.Join(f.dir, name+".json"), filepath.Join(f.dir, name+".log")
	f.all = append(f.all, d)
	return d
}

func (f *daemons) writeSettings(d *daemon, bootstrap bool) error {
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0}
	settings := map[string]any{
		"node_name": d.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": d.ip, "zone": d.zone, "region": zones[d.zone], "zones": zones,
		"listen": map[string]string{"front": d.front, "ready": d.ready}, "port_range": []int{firstPort, lastPort}, "seeds": []string{}, "bootstrap": bootstrap,
		"in_fault_budget": false, "limits": limits, "data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 5000, "ack_ms": 6000, "catchup_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
			"config_ms": 4000, "rollback_slack_ms": 250, "skew_bound_ms": 15000, "recover_s": 12, "fencing_enforced": false, "thaw_slack_ms": 300,
		},
		"platform": map[string]any{"addr": f.store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
		"cloud":    map[string]any{"addr": f.cloud, "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// start starts the process of a daemon as deploy/system.toml says.
func (f *daemons) start(d *daemon, bootstrap bool) error {
	if err := f.writeSettings(d, bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/laburnumrack", "node", "--metrics-listen", fmt.Sprintf("%s:%d", d.ip, metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LABURNUMRACK_BOOT=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// awaitReady waits until all daemons answer the readiness probe with 200.
func (f *daemons) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range f.all {
			if res, err := client.Get("http://" + d.ready + "/api/readiness"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.all) {
			return true
		}
	}
	return false
}

func (f *daemons) kill() {
	for _, d := range f.all {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
}

// client is one client session.
type client struct {
	name string
	conn net.Conn
	r    *bufio.Reader
	log  *recorder
}

// reply is the answer to one statement.
type reply struct {
	id, result, state string
	rows              []string
	sent, answered    time.Time
}

func (r reply) ok() bool { return strings.HasPrefix(r.result, "DONE ") }

func connect(log *recorder, name, addr, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, r: bufio.NewReader(conn), log: log}
	if _, err := fmt.Fprintf(conn, "START %s u\r\n", database); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("session refused: %q %v", line, err)
	}
	return c, nil
}

var ids struct {
	sync.Mutex
	last int
}

func nextID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.last++
	return fmt.Sprintf("q%06d", ids.last)
}

func (c *client) query(text string) (reply, error) { return c.queryAs(nextID(), text) }

func (c *client) queryAs(id, text string) (reply, error) {
	r := reply{id: id, sent: time.Now()}
	c.log.quiet(c.name, "sends %s %.80q", r.id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", r.id, text); err != nil {
		return r, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			c.log.quiet(c.name, "gets no answer to %s: %v", r.id, err)
			return r, err
		}
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			r.answered = time.Now()
			c.log.quiet(c.name, "gets %d rows %.60q, %q for %s, state %s", len(r.rows), strings.Join(r.rows, ","), r.result, r.id, r.state)
			return r, nil
		default:
			r.result = line
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

// owner returns the name of the daemon that has opened a connection to this process: the one
// that holds the socket of its far end.
func (f *daemons) owner(c net.Conn) string {
	for range 20 {
		if name := f.findOwner(c); name != "" {
			return name
		}
		time.Sleep(time.Millisecond)
	}
	f.log.event("rig", "the owner of the connection from %s is not known", c.RemoteAddr())
	return ""
}

func (f *daemons) findOwner(c net.Conn) string {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return ""
	}
	for _, d := range f.all {
		if d.cmd == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			if target, _ := os.Readlink(filepath.Join(dir, e.Name())); target == "socket:["+inode+"]" {
				return d.name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket with a local and a remote address, empty if there
// is none. A local port may be in use towards several remote ones.
func socketInode(local, remote *net.TCPAddr) string {
	data, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1] == procAddress(local) && f[2] == procAddress(remote) {
			return f[9]
		}
	}
	return ""
}

// procAddress returns an address as /proc/net/tcp has it.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
