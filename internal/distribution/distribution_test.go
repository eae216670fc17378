package distribution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// discardLogs keeps the log lines of the simulated daemons out of the test output.
func discardLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// runRandomCommand starts a random command at a random VM and does not wait for it.
func (sim *simulation) runRandomCommand(n int) {
	vm := sim.vms[sim.random.IntN(len(sim.vms))]
	name := string("pqr"[sim.random.IntN(3)])
	text := fmt.Sprintf("DECLARE READ POLICY %s (MAX AGE %ds)", name, n+1)
	if sim.random.IntN(4) == 0 {
		text = "DROP READ POLICY " + name
	}
	st, err := statement.ParseOne(text)
	if err != nil {
		sim.t.Fatal(err)
	}
	e := command.NewExecutor(vmStore{sim: sim, vm: vm}, sim.random.Uint64())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := e.Run(ctx, command.Batch{Name: fmt.Sprintf("c%d", n), Statements: []statement.Statement{st}}, command.SCRAM{})
		var lost *command.LostRaceError
		if err != nil && !errors.As(err, &lost) && !errors.Is(err, store.ErrUnavailable) &&
			!errors.Is(err, store.ErrOutcomeUnknown) && !errors.Is(err, command.ErrOutcomeUnknown) {
			sim.t.Errorf("command %d: %v", n, err)
		}
	}()
}

// injectRandomFault starts or ends one random fault.
func (sim *simulation) injectRandomFault() {
	victim := sim.vms[sim.random.IntN(len(sim.vms))]
	a, b := domainNames[sim.random.IntN(3)], append([]string{storeEndpoint}, domainNames...)[sim.random.IntN(4)]
	kind := sim.random.IntN(8)
	if kind < 3 {
		sim.kill(victim.Name)
		if kind < 2 {
			sim.start(victim)
		}
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch kind {
	case 3:
		sim.storeDown = !sim.storeDown
	case 4:
		sim.loseAnswers = !sim.loseAnswers
	case 5:
		sim.storeDelay = time.Duration(sim.random.IntN(2)) * 1500 * time.Millisecond
	default:
		if a != b {
			sim.partitioned[[2]string{a, b}] = !sim.partitioned[[2]string{a, b}]
		}
	}
}

// clearFaults ends every fault and starts every daemon that is not running.
func (sim *simulation) clearFaults() {
	sim.mu.Lock()
	sim.storeDown, sim.loseAnswers, sim.storeDelay = false, false, 0
	clear(sim.partitioned)
	sim.mu.Unlock()
	for _, vm := range sim.vms {
		sim.mu.Lock()
		stopped := sim.daemons[vm.Name] == nil
		sim.mu.Unlock()
		if stopped {
			sim.start(vm)
		}
	}
}

// sleepAndCheck sleeps for d and checks the daemons every 100 ms.
func (sim *simulation) sleepAndCheck(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !sim.t.Failed(); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		sim.checkDaemons()
	}
}

func (sim *simulation) stop() {
	for _, vm := range sim.vms {
		sim.kill(vm.Name)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// TestSeededFaults runs 12 daemons in 3 failure domains under random faults: the store is
// down, slow or loses answers, failure domains are partitioned from the store and from
// each other, daemons are killed and restarted, and commands race. It guards against a
// daemon that returns to an older revision while it runs, that differs from the store's
// state at its revision, or that has a path to the store and lacks a change older than
// PropagationBound.
func TestSeededFaults(t *testing.T) {
	discardLogs()
	for seed := range uint64(40) {
		runSeededFaults(t, seed)
	}
}

// runSeededFaults runs the daemons under the random faults and commands of a seed.
func runSeededFaults(t *testing.T, seed uint64) {
	t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, seed)
			sim.clearFaults()
			for n := range 60 {
				sim.sleepAndCheck(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
				if sim.random.IntN(2) == 0 {
					sim.runRandomCommand(n)
					sim.runRandomCommand(1000 + n)
				} else {
					sim.injectRandomFault()
				}
			}
			sim.clearFaults()
			sim.sleepAndCheck(2 * PropagationBound)
			sim.stop()
		})
	})
}

// declare changes the read policy p through the first VM.
func (sim *simulation) declare(t *testing.T, seconds int) {
	t.Helper()
	declareFrom(t, sim, sim.vms[0], seconds)
}

// declareFrom changes the read policy p through one VM.
func declareFrom(t *testing.T, sim *simulation, vm fleet.VM, seconds int) {
	t.Helper()
	o, err := configuration.Encode(configuration.ReadPolicy{Name: "p", MaxAge: time.Duration(seconds) * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	key := configuration.ReadPolicy{Name: "p"}.Key()
	sim.mu.Lock()
	version := sim.objects[key].Version
	sim.mu.Unlock()
	if _, err := (vmStore{sim: sim, vm: vm}).Put(t.Context(), store.Object{Key: key, Version: version, Value: o}); err != nil {
		t.Fatal(err)
	}
}

// isolate partitions a failure domain from the store and the other failure domains, or
// ends that.
func (sim *simulation) isolate(domain string, cut bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, other := range append([]string{storeEndpoint}, domainNames...) {
		if other != domain {
			sim.partitioned[[2]string{domain, other}] = cut
		}
	}
}

// TestRestartInOutage restarts every daemon of a failure domain in turn while the store is
// down. It guards against a daemon that starts with an older revision than its failure
// domain has: failure domain c missed the last change and becomes reachable again just
// before the restart, so that the daemon can load its older state.
func TestRestartInOutage(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.clearFaults()
		sim.declare(t, 1)
		sim.sleepAndCheck(time.Second)
		for n, vm := range sim.vms[:vmsPerDomain] {
			sim.mu.Lock()
			sim.storeDown = false
			sim.mu.Unlock()
			sim.isolate("c", true)
			sim.declare(t, n+2)
			sim.sleepAndCheck(time.Second)
			sim.kill(vm.Name)
			sim.mu.Lock()
			sim.storeDown = true
			sim.mu.Unlock()
			sim.isolate("c", false)
			sim.start(vm)
			d := sim.daemons[vm.Name]
			<-d.syncer.Ready()
			if got := d.holder.Current().Revision; got != store.Revision(n+2) {
				t.Errorf("%s restarted with revision %d, want %d", vm.Name, got, n+2)
			}
			sim.sleepAndCheck(3 * time.Second)
		}
		sim.stop()
	})
}

// TestRelaysCutOff partitions the relays of a failure domain from the store and the other
// failure domains, while the other daemons of their domain still reach them. It guards
// against daemons that keep relying on relays with an outdated state: a change must be in
// force within PropagationBound on every daemon of the domain, the relays included.
func TestRelaysCutOff(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.clearFaults()
		sim.declare(t, 1)
		sim.sleepAndCheck(5 * time.Second)
		sim.mu.Lock()
		for _, vm := range sim.vms {
			sim.domainOnly[vm.Name] = vm.FailureDomain == "b" && sim.view(vm).view.IsRelay()
		}
		sim.mu.Unlock()
		sim.sleepAndCheck(watchWait + time.Second) // until the running watch calls have ended
		sim.declare(t, 2)
		sim.sleepAndCheck(PropagationBound + time.Second)
		sim.stop()
	})
}

// TestSingleConnectionToOtherDomain partitions a failure domain from the store and the
// five other failure domains for a time, and then restores its connection to one of them.
// It guards against relays that do not ask every other failure domain: a change must be in
// force in the domain within PropagationBound, whichever connection is restored.
func TestSingleConnectionToOtherDomain(t *testing.T) {
	discardLogs()
	all := []string{"a", "b", "c", "d", "e", "f"}
	for _, linked := range all[1:] {
		t.Run(linked, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulationOf(t, 1, all, vmsPerDomain)
				sim.clearFaults()
				sim.declare(t, 1)
				time.Sleep(5 * time.Second)
				sim.mu.Lock()
				for _, other := range append([]string{storeEndpoint}, all[1:]...) {
					sim.partitioned[[2]string{"a", other}] = true
				}
				sim.mu.Unlock()
				time.Sleep(30 * time.Second)
				sim.mu.Lock()
				sim.partitioned[[2]string{"a", linked}] = false
				sim.mu.Unlock()
				declareFrom(t, sim, sim.vms[len(sim.vms)-1], 2)
				time.Sleep(PropagationBound)
				for _, d := range sim.daemons {
					if got := d.holder.Current().Revision; got != 2 {
						t.Errorf("%s is at revision %d, want 2", d.vm.Name, got)
					}
				}
				sim.stop()
			})
		})
	}
}

// TestSlowStore delays every call to the store by three seconds. It guards against
// timeouts that are too short for a slow store: the daemons must start, and a change must
// still be in force within PropagationBound.
func TestSlowStore(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.storeDelay = 3 * time.Second
		sim.clearFaults()
		sim.mu.Lock()
		sim.storeDelay = 3 * time.Second
		sim.mu.Unlock()
		time.Sleep(2 * PropagationBound)
		for n := range 5 {
			sim.declare(t, n+1)
			time.Sleep(PropagationBound)
			for _, d := range sim.daemons {
				if got := d.holder.Current().Revision; got != store.Revision(n+1) {
					t.Errorf("%s is at revision %d, want %d", d.vm.Name, got, n+1)
				}
			}
		}
		sim.stop()
	})
}

// TestStoreCalls guards against needless load on the store: without faults only relays
// make calls, and without any live relay a daemon makes at most one call per round.
func TestStoreCalls(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.clearFaults()
		sim.sleepAndCheck(5 * time.Second)
		countCalls := func(d time.Duration) map[string]int {
			sim.mu.Lock()
			clear(sim.storeCalls)
			sim.mu.Unlock()
			sim.sleepAndCheck(d)
			return sim.storeCalls
		}
		const minute = 60 * time.Second
		calls := countCalls(minute)
		for _, vm := range sim.vms {
			limit := 0
			if sim.view(vm).view.IsRelay() {
				limit = int(minute / watchWait)
			}
			if calls[vm.Name] > limit {
				t.Errorf("%s made %d calls in %v, want at most %d", vm.Name, calls[vm.Name], minute, limit)
			}
		}
		for _, vm := range sim.vms {
			if sim.view(vm).view.IsRelay() {
				sim.kill(vm.Name)
			}
		}
		limit := int(minute / (roundInterval * 4 / 5))
		for name, n := range countCalls(minute) {
			if n > limit {
				t.Errorf("%s made %d calls in %v without relays, want at most %d", name, n, minute, limit)
			}
		}
		sim.declare(t, 9)
		sim.sleepAndCheck(PropagationBound + time.Second)
		sim.stop()
	})
}

// TestAloneWatchesTheStore guards against a daemon without peers that does not watch the
// store, and against a CatchUp that returns before the change is applied.
func TestAloneWatchesTheStore(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		holder := configuration.NewHolder()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		set := metrics.NewSet()
		syncer := NewWithPeers(Options{Store: vmStore{sim: sim, vm: sim.vms[0]}, Holder: holder, Fleet: newSingleVMFleet(), Metrics: set})
		go func() {
			defer close(done)
			_ = syncer.Run(ctx)
		}()
		<-syncer.Ready()
		sim.declare(t, 1)
		syncer.CatchUp(t.Context())
		if got := holder.Current().Revision; got != 1 {
			t.Errorf("revision %d, want 1", got)
		}
		var b strings.Builder
		set.WritePrometheus(&b)
		if !strings.Contains(b.String(), "laburnumrack_config_last_change_revision 1\n") {
			t.Errorf("metrics lack the last change revision 1:\n%s", b.String())
		}
		cancel()
		<-done
	})
}

// TestOutageKeepsPeers guards against connections between failure domains whose number
// grows during a long outage of the store. The relays of a failure domain together must
// ask one VM of each other domain, always the same, and other daemons must ask none.
func TestOutageKeepsPeers(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.clearFaults()
		sim.sleepAndCheck(5 * time.Second)
		sim.mu.Lock()
		sim.storeDown = true
		clear(sim.callPairs)
		sim.mu.Unlock()
		sim.sleepAndCheck(10 * time.Minute)
		asked := map[string]int{}
		for pair := range sim.callPairs {
			from, to := sim.daemons[pair[0]].vm, sim.daemons[pair[1]].vm
			if from.FailureDomain == to.FailureDomain {
				continue
			}
			asked[from.FailureDomain]++
			if !sim.view(from).view.IsRelay() {
				t.Errorf("%s, which is not a relay, asked %s in another failure domain", from.Name, to.Name)
			}
		}
		for _, domain := range domainNames {
			if got, want := asked[domain], len(domainNames)-1; got != want {
				t.Errorf("the relays of %s have %d connections to other failure domains, want %d", domain, got, want)
			}
		}
		sim.mu.Lock()
		sim.storeDown = false
		sim.mu.Unlock()
		sim.declare(t, 1)
		sim.sleepAndCheck(PropagationBound + time.Second)
		sim.stop()
	})
}

// TestSeedsOfLateRelays runs the seeds under which a relay received a change too late,
// because it left some of the other failure domains to the second relay of its domain,
// which was still starting.
func TestSeedsOfLateRelays(t *testing.T) {
	discardLogs()
	for _, seed := range []uint64{661} {
		runSeededFaults(t, seed)
	}
}
