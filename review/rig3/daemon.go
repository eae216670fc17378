//go:build review

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
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones of the deployment, with their regions.
var zoneRegions = map[string]string{"osijek": "panonija", "vukovar": "panonija", "split": "jadran"}

// zoneDelay is the one-way delay between two zones, as the first sheet has it.
func zoneDelay(a, b string) time.Duration {
	switch {
	case a == b:
		return 100 * time.Microsecond
	case zoneRegions[a] == zoneRegions[b]:
		return 1400 * time.Microsecond
	default:
		return 30 * time.Millisecond
	}
}

// memoryLimitMB is the memory of a machine.
const memoryLimitMB = 284

// daemon is one process of the program under review, which the platform starts again after it
// ends.
type daemon struct {
	name, zone, ip string
	dir            string
	front, ready   string
	logf           func(format string, args ...any)

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	ends     int // ends by itself, over the memory limit included
	peakMB   int
	stopped  chan struct{}
}

// restartDelay is the pause before a process that has ended is started again.
const restartDelay = 300 * time.Millisecond

// ports of all machines.
type ports struct{ front, ready, first, metrics int }

// newDaemon writes the settings of a daemon.
func newDaemon(dir, name, zone, ip string, p ports, storeAddr, cloudAddr string, logf func(string, ...any)) *daemon {
	d := &daemon{
		name: name, zone: zone, ip: ip, dir: dir, logf: logf, stopped: make(chan struct{}),
		front: fmt.Sprintf("%s:%d", ip, p.front), ready: fmt.Sprintf("%s:%d", ip, p.ready),
	}
	d.writeSettings(p, storeAddr, cloudAddr, true)
	return d
}

func (d *daemon) settingsPath() string { return filepath.Join(d.dir, d.name+".json") }

func (d *daemon) writeSettings(p ports, storeAddr, cloudAddr string, bootstrap bool) {
	settings := map[string]any{
		"node_name": d.name, "role": "entry", "machine_class": "front", "serves": []string{"front"},
		"ip": d.ip, "zone": d.zone, "region": zoneRegions[d.zone], "zones": zoneRegions,
		"listen":     map[string]string{"front": d.front, "ready": d.ready},
		"port_range": []int{p.first, p.first + 15}, "seeds": []string{}, "bootstrap": bootstrap, "in_fault_budget": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryLimitMB, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 5000, "ack_ms": 6000, "catchup_s": 4, "drain_ms": 7000,
			"grace_s": 6, "loss_slack_ms": 200, "config_ms": 4000, "rollback_slack_ms": 250, "skew_bound_ms": 15000,
			"recover_s": 12, "fencing_enforced": false, "thaw_slack_ms": 300,
		},
		"platform": map[string]any{"addr": storeAddr, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
		"cloud":    map[string]any{"addr": cloudAddr, "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err == nil {
		err = os.WriteFile(d.settingsPath(), data, 0o600)
	}
	if err != nil {
		panic(err)
	}
}

// run keeps the process running until stop, with the command of the deploy file.
func (d *daemon) run(p ports, storeAddr, cloudAddr string) {
	defer close(d.stopped)
	for {
		log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		cmd := exec.Command("target/laburnumrack", "node", "--metrics-listen", fmt.Sprintf("%s:%d", d.ip, p.metrics))
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LABURNUMRACK_BOOT=" + d.settingsPath()}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		d.mu.Lock()
		if d.stopping {
			d.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			panic(err)
		}
		d.cmd = cmd
		d.mu.Unlock()
		ended := make(chan struct{})
		go d.watchMemory(cmd.Process.Pid, ended)
		err = cmd.Wait()
		close(ended)
		_ = log.Close()
		d.mu.Lock()
		stopping := d.stopping
		if !stopping {
			d.ends++
		}
		d.mu.Unlock()
		if stopping {
			return
		}
		d.logf("process: %s ended: %v", d.name, err)
		d.writeSettings(p, storeAddr, cloudAddr, false)
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (d *daemon) watchMemory(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMB(pid)
		d.mu.Lock()
		d.peakMB = max(d.peakMB, mb)
		d.mu.Unlock()
		if mb > memoryLimitMB {
			d.logf("process: %s has %d MB, the limit is %d MB: killed", d.name, mb, memoryLimitMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the anonymous resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

func (d *daemon) stop() {
	d.mu.Lock()
	d.stopping = true
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
	}
	d.mu.Unlock()
}

// isReady asks the readiness probe.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	res, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// freePorts returns a port from which n successive ones are free on all the given addresses.
func freePorts(ips []string, n int) int {
	for base := 20000 + os.Getpid()%20000; base < 60000; base += n {
		free := true
		for _, ip := range ips {
			for port := base; port < base+n && free; port++ {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base
		}
	}
	panic("no free ports")
}
