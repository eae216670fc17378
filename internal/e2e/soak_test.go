package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Duration and load of the soak test.
const (
	soakDuration = 12 * time.Second
	soakCallers  = 6
	// soakGrace is the grace period of the daemons' shutdowns.
	soakGrace = 2 * time.Second
	// meanFaultInterval is the mean pause between two faults.
	meanFaultInterval = 700 * time.Millisecond
)

// soak is a fleet of daemon processes on the stand-in of the users' platform.
type soak struct {
	soakOptions
	t          *testing.T
	store      *site.Store
	group      *site.Group
	promotions *site.PromotionServer
	vms        []*vm
	check      *site.TenantCheck
	load       tenantLoad
	// outage is held while the store does not serve, and while the configuration changes.
	outage sync.Mutex
	// acknowledged is the highest number in the shared item whose commit was
	// acknowledged.
	acknowledged atomic.Int64
	// served counts the successful requests.
	served atomic.Int64
	// writing is held for reading by each write, so that a crash of the primary can wait
	// until the replicas have what was acknowledged.
	writing sync.RWMutex
	mu      sync.Mutex
	// violations holds the violated guarantees, and lateReads the traces of reads that
	// returned a late write. They are guarded by mu.
	violations, lateReads []string
}

// vm is one daemon with the settings file to restart it.
type vm struct {
	name          string
	settings      map[string]any
	settingsPath  string
	callerAddress string
	// binary is the executable that start runs.
	binary  string
	process *exec.Cmd
	// log receives the output of the daemon; nil discards it.
	log *os.File
}

// recordViolation records a violated guarantee.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// soakOptions are the options of a soak.
type soakOptions struct {
	// ip is the address of all processes. Soaks that run at the same time need different
	// ones.
	ip string
	// eras makes the store announce its eras, and tells the daemons that the system starts
	// for the first time.
	eras bool
	// logs is the folder of the daemons' logs; empty for none.
	logs string
	// tenants are the tenants of the first configuration; nil for none.
	tenants []site.Tenant
	// binary is the executable of the daemons; empty for the one of this source.
	binary string
}

// newSoak starts the stand-ins and six daemons in three zones.
func newSoak(t *testing.T, o soakOptions) *soak {
	t.Helper()
	s := &soak{t: t, soakOptions: o}
	if s.binary == "" {
		s.binary = binary
	}
	var err error
	check := func() {
		if err != nil {
			t.Fatal(err)
		}
	}
	s.store, err = site.NewStore(s.ip)
	check()
	t.Cleanup(s.store.Close)
	s.check = site.NewTenantCheck(s.store, site.ConfigurationTime, soakTenantBounds.RevocationTime)
	s.store.SetEraAnnounced(s.eras)
	s.configure(1, "current", "session")
	s.group, err = site.NewGroup("grp", s.ip, []string{"north", "south", "west"}, 21, s.store)
	check()
	t.Cleanup(s.group.Close)
	s.promotions, err = site.NewPromotionServer(s.ip, s.group)
	check()
	t.Cleanup(s.promotions.Close)
	for i, zone := range []string{"north", "north", "south", "south", "west", "west"} {
		s.vms = append(s.vms, s.newVM(fmt.Sprint("vm-", i), zone, s.eras))
	}
	time.Sleep(4 * time.Second) // until the daemons treat the lists that they read as complete
	return s
}

// configure writes a version of the configuration with the given routes and the tenants.
func (s *soak) configure(version int, databases ...string) {
	types := map[string]string{"session": "read_your_writes"}
	c := site.Configuration{Version: version, Connections: map[string]int{"grp": 21}, Tenants: s.tenants}
	for _, d := range databases {
		kind, ok := types[d]
		if !ok {
			kind = "primary"
		}
		c.Routes = append(c.Routes, site.Route{Database: d, Type: kind, Group: "grp"})
	}
	s.check.Declare(c)
}

// Ports of the daemons. They are below those that the system assigns to connections: a
// daemon that found its port taken by a connection of another process ended at its start.
const (
	firstSoakPort = 20000
	portsPerVM    = 10
)

// newVM writes the settings of a daemon and starts it.
func (s *soak) newVM(name, zone string, firstStart bool) *vm {
	s.t.Helper()
	first := firstSoakPort + portsPerVM*len(s.vms)
	ports := []int{first, first + 1, first + 2}
	regions := map[string]string{"north": "home", "south": "home", "west": "away"}
	v := &vm{name: name, binary: s.binary, settingsPath: filepath.Join(s.t.TempDir(), name+".json"), callerAddress: s.ip + ":" + strconv.Itoa(ports[0])}
	bounds := map[string]any{"grace_s": soakGrace.Seconds()}
	soakTenantBounds.AddTo(bounds)
	v.settings = map[string]any{
		"node_name": name, "ip": s.ip, "zone": zone, "region": regions[zone], "zones": regions,
		"listen":     map[string]string{"front": v.callerAddress, "ready": s.ip + ":" + strconv.Itoa(ports[1])},
		"port_range": []int{ports[2], ports[2]}, "heartbeat_ms": 1000, "bounds": bounds,
		"platform": map[string]any{"addr": s.store.Address, "form": "objects"}, "cloud": map[string]any{"addr": s.promotions.Address},
	}
	s.writeSettings(v, firstStart)
	s.openLog(v)
	s.start(v)
	s.t.Cleanup(func() { s.terminate(v, syscall.SIGKILL) })
	return v
}

// openLog opens the log of a daemon if logs are kept.
func (s *soak) openLog(v *vm) {
	if s.logs == "" {
		return
	}
	path := filepath.Join(s.logs, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+v.name+".log")
	var err error
	if v.log, err = os.Create(path); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = v.log.Close() })
}

// writeSettings writes the settings file of a daemon.
func (s *soak) writeSettings(v *vm, firstStart bool) {
	v.settings["bootstrap"] = firstStart
	data, err := json.Marshal(v.settings)
	if err == nil {
		err = os.WriteFile(v.settingsPath, data, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// start starts the process of a daemon.
func (s *soak) start(v *vm) {
	v.process = exec.Command(v.binary, "node", "--settings-file", v.settingsPath)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	if err := v.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// terminate signals the process of a daemon and waits until it has ended.
func (s *soak) terminate(v *vm, signal syscall.Signal) {
	// A suspended process handles no signal but SIGKILL before SIGCONT.
	_ = v.process.Process.Signal(syscall.SIGCONT)
	_ = v.process.Process.Signal(signal)
	_ = v.process.Wait()
}

// injectFaults injects one random fault after another until stop is closed, and then
// clears the fault of the store.
func (s *soak) injectFaults(rng *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			s.store.SetFault(site.Healthy)
			return
		case <-time.After(meanFaultInterval/2 + time.Duration(rng.Int64N(int64(meanFaultInterval)))):
		}
		v := s.vms[rng.IntN(len(s.vms))]
		switch rng.IntN(6) {
		case 0:
			s.terminate(v, syscall.SIGKILL)
			s.start(v)
		case 1:
			s.terminate(v, syscall.SIGTERM)
			s.start(v)
		case 2:
			_ = v.process.Process.Signal(syscall.SIGSTOP)
			time.Sleep(200*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond))))
			_ = v.process.Process.Signal(syscall.SIGCONT)
		case 3:
			s.outage.Lock()
			s.store.SetFault([]site.Fault{site.Unavailable, site.Unresponsive, site.AnswersLost}[rng.IntN(3)])
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
			s.store.SetFault(site.Healthy)
			s.outage.Unlock()
		case 4:
			s.group.SetLag(1+rng.IntN(2), time.Duration(rng.Int64N(int64(500*time.Millisecond))))
		case 5:
			s.group.LoseAnswers(rng.IntN(3), 1+rng.IntN(3))
		}
	}
}

// openSession opens a session with a key at a random daemon and retries until one accepts
// it. The key must have an owner.
func (s *soak) openSession(rng *rand.Rand, database, key string) *site.Caller {
	for {
		c, err := s.check.Connect(s.vms[rng.IntN(len(s.vms))].callerAddress, database, key)
		if err == nil && c.Refused == "" {
			return c
		}
		if err == nil {
			s.checkKeyAccepted(key, c.Refused)
			c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkKeyAccepted records a violation if a refusal says that a key has no owner.
func (s *soak) checkKeyAccepted(key, refusal string) {
	if strings.HasPrefix(refusal, "ERR NOAUTH") {
		s.recordViolation("key %s, which has an owner, is refused: %s", key, refusal)
	}
}

// notExecutedCodes are the error codes that guarantee that the write is not committed.
var notExecutedCodes = []string{"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGNODE", "TOOMANY"}

// primaryLimit is the time within which a group has a primary again.
const primaryLimit = 10 * time.Second

// awaitPrimary waits until the group has a primary, whose log shows what is committed.
func (s *soak) awaitPrimary() {
	for end := time.Now().Add(primaryLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i, _ := s.group.Primary(); i >= 0 {
			return
		}
	}
	s.recordViolation("the group has no primary for %s", primaryLimit)
}

// writeOwnItem writes increasing numbers to an item with no other writer and reads each
// back in the same session. A write without a known outcome may run late, as
// node.TestWriteWithoutAnswer shows, and may be read then. At the end it checks that
// acknowledged writes are committed and refused ones are not.
func (s *soak) writeOwnItem(item, key string, rng *rand.Rand, stop chan struct{}) {
	var acknowledged, refused []string
	var unknown []ownWrite
	c := s.openSession(rng, "session", key)
	for n := 1; ; n++ {
		select {
		case <-stop:
			s.awaitPrimary()
			committed := s.group.Committed(item)
			for _, data := range acknowledged {
				if !slices.Contains(committed, data) {
					s.recordViolation("%s: acknowledged write %s is not committed", item, data)
				}
			}
			for _, data := range refused {
				if slices.Contains(committed, data) {
					s.recordViolation("%s: refused write %s is committed", item, data)
				}
			}
			return
		default:
		}
		data := fmt.Sprint(n)
		s.writing.RLock()
		w := ownWrite{c.Query("WRITE " + item + " " + data), data}
		s.writing.RUnlock()
		if runs := s.group.RunCount(w.ID); runs > 1 {
			s.recordViolation("%s: write %s ran %d times", item, data, runs)
		}
		switch {
		case w.OK():
			s.served.Add(1)
			acknowledged = append(acknowledged, data)
			if r := c.Query("READ " + item); r.OK() && r.Rows[0] != data {
				s.checkLateRead(item, w, r, unknown)
			}
		case slices.Contains(notExecutedCodes, w.Code()):
			refused = append(refused, data)
			time.Sleep(20 * time.Millisecond)
		default:
			s.checkKeyAccepted(key, w.Completion)
			unknown = append(unknown, w)
			c.Close()
			c = s.openSession(rng, "session", key)
		}
	}
}

// checkLateRead checks a read that did not return the write that its session was
// acknowledged last: it must have returned a write without a known outcome that ran late.
func (s *soak) checkLateRead(item string, own ownWrite, read site.Reply, unknown []ownWrite) {
	s.awaitPrimary()
	commits := s.group.Commits(item)
	i := slices.IndexFunc(unknown, func(w ownWrite) bool { return w.data == read.Rows[0] })
	if i < 0 {
		s.recordViolation("%s: read %s after a write of %s in the same session; its log: %v; writes without a known outcome: %v", item, read.Rows[0], own.data, lastOf(commits, 5), unknown)
		return
	}
	trace, err := traceLateRead(unknown[i], own, read, s.group.Runs(), commits)
	if err != nil {
		s.recordViolation("%s: %s", item, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateReads = append(s.lateReads, item+": "+trace)
}

// lastOf returns the last n values.
func lastOf[T any](values []T, n int) []T {
	return values[max(0, len(values)-n):]
}

// writeSharedItem writes increasing numbers to the shared item, each in a transaction.
func (s *soak) writeSharedItem(rng *rand.Rand, stop chan struct{}) {
	c := s.openSession(rng, "current", soakKeys[0])
	for n := int64(1); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if s.writeInTransaction(c, n) {
			s.served.Add(1)
			continue
		}
		c.Close()
		c = s.openSession(rng, "current", soakKeys[0])
	}
}

// writeInTransaction writes n to the shared item, and reports whether that was acknowledged.
func (s *soak) writeInTransaction(c *site.Caller, n int64) bool {
	s.writing.RLock()
	defer s.writing.RUnlock()
	c.Query("BEGIN")
	if !c.Query(fmt.Sprintf("WRITE shared %d", n)).OK() || !c.Query("COMMIT").OK() {
		return false
	}
	s.acknowledged.Store(n)
	return true
}

// readSharedItem reads the shared item and checks that no read returns less than the
// number acknowledged before the read began.
func (s *soak) readSharedItem(rng *rand.Rand, stop chan struct{}) {
	c := s.openSession(rng, "current", soakKeys[0])
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
			c = s.openSession(rng, "current", soakKeys[0])
			continue
		}
		s.served.Add(1)
		if read, err := strconv.ParseInt(r.Rows[0], 10, 64); before > 0 && (err != nil || read < before) {
			s.recordViolation("shared: read %s, want at least %d, which was acknowledged before", r.Rows[0], before)
		}
	}
}

// TestPlatformSoak guards the consistency guarantees under random faults: writes that
// are lost, run twice or commit after a refusal, stale reads, and overlapping
// promotions. The seeded faults are killed, stopped and suspended processes, outages of
// the store, lagging replicas and lost answers. It guards tenants too, while keys and
// limits change and one tenant overloads the fleet: statements under a wrong tenant or with
// a revoked key, and operations over a limit.
func TestPlatformSoak(t *testing.T) {
	const seed = 1
	s := newSoak(t, soakOptions{ip: "127.0.99.1", tenants: soakTenants(firstChanges)})
	s.run(seed, soakDuration, func(rng *rand.Rand, stop chan struct{}) {
		var wg sync.WaitGroup
		s.runTenants(seed, &wg, stop)
		s.injectFaults(rng, stop)
		wg.Wait()
	})
	s.checkTenants()
	if s.served.Load() < 500 {
		t.Errorf("%d requests served, want 500 or more", s.served.Load())
	}
}

// run runs the callers and the faults for the given time, and then reports the violated
// guarantees.
func (s *soak) run(seed uint64, length time.Duration, faults func(*rand.Rand, chan struct{})) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	source := func(i uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, i)) }
	for i := range soakCallers {
		wg.Go(func() { s.writeOwnItem(fmt.Sprint("own", i), soakKeys[i%len(soakKeys)], source(uint64(i)), stop) })
	}
	wg.Go(func() { s.writeSharedItem(source(100), stop) })
	wg.Go(func() { s.readSharedItem(source(101), stop) })
	wg.Go(func() { s.readSharedItem(source(102), stop) })
	wg.Go(func() { faults(source(103), stop) })
	time.Sleep(length)
	close(stop)
	wg.Wait()
	for _, b := range s.violations {
		s.t.Error(b)
	}
	for _, trace := range s.lateReads {
		s.t.Log(trace)
	}
	calls := s.promotions.Calls()
	s.t.Logf("%d requests served, %d promote calls", s.served.Load(), len(calls))
	for i := 1; i < len(calls); i++ {
		if calls[i].Holder != calls[i-1].Holder && calls[i].At.Sub(calls[i-1].At) < 3*time.Second || calls[i].Token < calls[i-1].Token {
			s.t.Errorf("promote calls by different holders within 3 s, or with a decreasing token: %+v, %+v", calls[i-1], calls[i])
		}
	}
}
