package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Sizes of the soak.
const (
	soakTime    = 12 * time.Second
	soakCallers = 6
	// faultPause is the mean time between two faults.
	faultPause = 700 * time.Millisecond
)

// soak is a fleet of real processes on the stand-in of the users' platform.
type soak struct {
	t     *testing.T
	store *site.Store
	group *site.Group
	cloud *site.PromotionServer
	vms   []*vm
	// acknowledged is the highest number that the shared item's writer was told to be
	// committed.
	acknowledged atomic.Int64
	served       atomic.Int64
	mu           sync.Mutex
	broken       []string
}

// vm is one daemon and how to start it again.
type vm struct {
	settings string
	callers  string
	process  *exec.Cmd
}

func (s *soak) breach(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

func newSoak(t *testing.T) *soak {
	t.Helper()
	s := &soak{t: t}
	var err error
	check := func() {
		if err != nil {
			t.Fatal(err)
		}
	}
	s.store, err = site.NewStore("127.0.0.1")
	check()
	t.Cleanup(s.store.Close)
	s.store.Put("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "grp", "max_conns": 21, "sync_replicas": 0}},
		"routes": []any{
			map[string]any{"host": "current", "route_type": "primary", "timeout_ms": 2000, "target_latency_ms": 2000, "service": "grp"},
			map[string]any{"host": "session", "route_type": "read_your_writes", "timeout_ms": 2000, "target_latency_ms": 2000, "service": "grp", "max_staleness_ms": 1000},
		},
		"limits": map[string]any{"tx_idle_ms": 3000},
	})
	s.group, err = site.NewGroup("grp", "127.0.0.1", []string{"north", "south", "west"}, 21, s.store)
	check()
	t.Cleanup(s.group.Close)
	s.cloud, err = site.NewPromotionServer("127.0.0.1", s.group)
	check()
	t.Cleanup(s.cloud.Close)
	for i, zone := range []string{"north", "north", "south", "south", "west", "west"} {
		s.vms = append(s.vms, s.newVM(fmt.Sprint("vm-", i), zone))
	}
	time.Sleep(4 * time.Second) // until lists count as whole
	return s
}

func (s *soak) newVM(name, zone string) *vm {
	s.t.Helper()
	var ports []int
	for range 3 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}
	regions := map[string]string{"north": "home", "south": "home", "west": "away"}
	v := &vm{settings: filepath.Join(s.t.TempDir(), name+".json"), callers: "127.0.0.1:" + strconv.Itoa(ports[0])}
	data, err := json.Marshal(map[string]any{
		"node_name": name, "ip": "127.0.0.1", "zone": zone, "region": regions[zone], "zones": regions,
		"listen":     map[string]string{"front": v.callers, "ready": "127.0.0.1:" + strconv.Itoa(ports[1])},
		"port_range": []int{ports[2], ports[2]}, "heartbeat_ms": 1000, "bounds": map[string]any{"grace_s": 2},
		"platform": map[string]any{"addr": s.store.Address, "form": "objects"}, "cloud": map[string]any{"addr": s.cloud.Address},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start(v)
	s.t.Cleanup(func() { s.end(v, syscall.SIGKILL) })
	return v
}

func (s *soak) start(v *vm) {
	v.process = exec.Command(binary, "node", "--settings-file", v.settings)
	if err := v.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) end(v *vm, signal syscall.Signal) {
	// A process that was suspended takes no signal but KILL before it goes on.
	_ = v.process.Process.Signal(syscall.SIGCONT)
	_ = v.process.Process.Signal(signal)
	_ = v.process.Wait()
}

// faults breaks one thing after the other until stop is closed, and mends all.
func (s *soak) faults(rng *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			s.store.SetFault(site.Healthy)
			return
		case <-time.After(faultPause/2 + time.Duration(rng.Int64N(int64(faultPause)))):
		}
		v := s.vms[rng.IntN(len(s.vms))]
		switch rng.IntN(6) {
		case 0:
			s.end(v, syscall.SIGKILL)
			s.start(v)
		case 1:
			s.end(v, syscall.SIGTERM)
			s.start(v)
		case 2:
			_ = v.process.Process.Signal(syscall.SIGSTOP)
			time.Sleep(200*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond))))
			_ = v.process.Process.Signal(syscall.SIGCONT)
		case 3:
			s.store.SetFault([]site.Fault{site.Unavailable, site.Unresponsive, site.AnswersLost}[rng.IntN(3)])
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
			s.store.SetFault(site.Healthy)
		case 4:
			s.group.SetLag(1+rng.IntN(2), time.Duration(rng.Int64N(int64(500*time.Millisecond))))
		case 5:
			s.group.LoseAnswers(rng.IntN(3), 1+rng.IntN(3))
		}
	}
}

// session opens a session at any daemon that takes one.
func (s *soak) session(rng *rand.Rand, database string) *site.Caller {
	for {
		c, err := site.Connect(s.vms[rng.IntN(len(s.vms))].callers, database)
		if err == nil && c.Refused == "" {
			return c
		}
		if err == nil {
			c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// promises are the codes after which nothing of a write may be committed.
var promises = []string{"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGNODE", "TOOMANY"}

// own writes numbers to an item of its own and reads each back in the same session.
func (s *soak) own(item string, rng *rand.Rand, stop chan struct{}) {
	var acknowledged, refused []string
	c := s.session(rng, "session")
	for n := 1; ; n++ {
		select {
		case <-stop:
			committed := s.group.Committed(item)
			for _, data := range acknowledged {
				if !slices.Contains(committed, data) {
					s.breach("%s: acknowledged %s is not committed", item, data)
				}
			}
			for _, data := range refused {
				if slices.Contains(committed, data) {
					s.breach("%s: %s is committed though it was refused", item, data)
				}
			}
			return
		default:
		}
		data := fmt.Sprint(n)
		w := c.Query("WRITE " + item + " " + data)
		if runs := s.group.RunCount(w.ID); runs > 1 {
			s.breach("%s: write %s ran %d times", item, data, runs)
		}
		switch {
		case w.OK():
			s.served.Add(1)
			acknowledged = append(acknowledged, data)
			if r := c.Query("READ " + item); r.OK() && r.Rows[0] != data {
				s.breach("%s: read %s after the session's write of %s", item, r.Rows[0], data)
			}
		case slices.Contains(promises, w.Code()):
			refused = append(refused, data)
			time.Sleep(20 * time.Millisecond)
		default:
			c.Close()
			c = s.session(rng, "session")
		}
	}
}

// publish writes rising numbers to the shared item, by transactions.
func (s *soak) publish(rng *rand.Rand, stop chan struct{}) {
	c := s.session(rng, "current")
	for n := int64(1); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c.Query("BEGIN")
		w := c.Query(fmt.Sprintf("WRITE shared %d", n))
		if w.OK() && c.Query("COMMIT").OK() {
			s.acknowledged.Store(n)
			s.served.Add(1)
			continue
		}
		c.Close()
		c = s.session(rng, "current")
	}
}

// follow reads the shared item and checks that no read lacks what was acknowledged
// before it.
func (s *soak) follow(rng *rand.Rand, stop chan struct{}) {
	c := s.session(rng, "current")
	for {
		select {
		case <-stop:
			return
		default:
		}
		before := s.acknowledged.Load()
		r := c.Query("READ shared")
		if !r.OK() {
			c.Close()
			c = s.session(rng, "current")
			continue
		}
		s.served.Add(1)
		if read, err := strconv.ParseInt(r.Rows[0], 10, 64); before > 0 && (err != nil || read < before) {
			s.breach("shared: read %s, %d was acknowledged before", r.Rows[0], before)
		}
	}
}

// TestPlatformSoak plays seeded faults on real processes: kills, shutdowns,
// suspensions, outages of the store, lagging replicas, lost answers.
func TestPlatformSoak(t *testing.T) {
	const seed = 1
	s := newSoak(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	source := func(i uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, i)) }
	for i := range soakCallers {
		wg.Go(func() { s.own(fmt.Sprint("own", i), source(uint64(i)), stop) })
	}
	wg.Go(func() { s.publish(source(100), stop) })
	wg.Go(func() { s.follow(source(101), stop) })
	wg.Go(func() { s.follow(source(102), stop) })
	wg.Go(func() { s.faults(source(103), stop) })
	time.Sleep(soakTime)
	close(stop)
	wg.Wait()
	for _, b := range s.broken {
		t.Error(b)
	}
	t.Logf("%d requests served, %d promote calls", s.served.Load(), len(s.cloud.Calls()))
	if s.served.Load() < 500 {
		t.Errorf("%d requests served, want 500 or more", s.served.Load())
	}
	for i, calls := 1, s.cloud.Calls(); i < len(calls); i++ {
		if calls[i].Holder != calls[i-1].Holder && calls[i].At.Sub(calls[i-1].At) < 3*time.Second || calls[i].Token < calls[i-1].Token {
			t.Errorf("promote calls in turn: %+v, %+v", calls[i-1], calls[i])
		}
	}
}
