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

func quiet() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// operate sends one command from a random VM, without waiting for it.
func (w *world) operate(n int) {
	vm := w.vms[w.random.IntN(len(w.vms))]
	name := string("pqr"[w.random.IntN(3)])
	text := fmt.Sprintf("DECLARE READ POLICY %s (MAX AGE %ds)", name, n+1)
	if w.random.IntN(4) == 0 {
		text = "DROP READ POLICY " + name
	}
	st, err := statement.ParseOne(text)
	if err != nil {
		w.t.Fatal(err)
	}
	e := command.NewExecutor(storeOf{w: w, vm: vm}, w.random.Uint64())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := e.Run(ctx, command.Batch{Name: fmt.Sprintf("c%d", n), Statements: []statement.Statement{st}}, command.SCRAM{})
		var lost *command.LostRaceError
		if err != nil && !errors.As(err, &lost) && !errors.Is(err, store.ErrUnavailable) &&
			!errors.Is(err, store.ErrUnclear) && !errors.Is(err, command.ErrOutcomeUnknown) {
			w.t.Errorf("command %d: %v", n, err)
		}
	}()
}

// disturb makes one random change of the faults.
func (w *world) disturb() {
	victim := w.vms[w.random.IntN(len(w.vms))]
	a, b := domainNames[w.random.IntN(3)], append([]string{storePlace}, domainNames...)[w.random.IntN(4)]
	kind := w.random.IntN(8)
	if kind < 3 {
		w.kill(victim.Name)
		if kind < 2 {
			w.start(victim)
		}
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch kind {
	case 3:
		w.down = !w.down
	case 4:
		w.lose = !w.lose
	case 5:
		w.slow = time.Duration(w.random.IntN(2)) * 1500 * time.Millisecond
	default:
		if a != b {
			w.cut[[2]string{a, b}] = !w.cut[[2]string{a, b}]
		}
	}
}

// heal ends every fault and starts every VM that is gone.
func (w *world) heal() {
	w.mu.Lock()
	w.down, w.lose, w.slow = false, false, 0
	clear(w.cut)
	w.mu.Unlock()
	for _, vm := range w.vms {
		w.mu.Lock()
		gone := w.daemons[vm.Name] == nil
		w.mu.Unlock()
		if gone {
			w.start(vm)
		}
	}
}

// sleepAndCheck lets time pass and checks the fleet all the while.
func (w *world) sleepAndCheck(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !w.t.Failed(); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		w.check()
	}
}

func (w *world) stop() {
	for _, vm := range w.vms {
		w.kill(vm.Name)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// TestSeededFaults runs a fleet of 12 daemons in 3 failure domains under random
// faults: store down, slow or losing answers, failure domains cut off from the
// store and from each other, daemons killed and restarted, operators who race. No
// daemon may go back within its life, each must hold the store's state at its
// revision, and know every change that is older than PropagationBound if it could.
func TestSeededFaults(t *testing.T) {
	quiet()
	for seed := range uint64(40) {
		runSeededFaults(t, seed)
	}
}

func runSeededFaults(t *testing.T, seed uint64) {
	t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed)
			w.heal()
			for n := range 60 {
				w.sleepAndCheck(time.Duration(w.random.IntN(2000)) * time.Millisecond)
				if w.random.IntN(2) == 0 {
					w.operate(n)
					w.operate(1000 + n)
				} else {
					w.disturb()
				}
			}
			w.heal()
			w.sleepAndCheck(2 * PropagationBound)
			w.stop()
		})
	})
}

func (w *world) declare(t *testing.T, seconds int) {
	t.Helper()
	declareFrom(t, w, w.vms[0], seconds)
}

// declareFrom changes a policy through one VM.
func declareFrom(t *testing.T, w *world, vm fleet.VM, seconds int) {
	t.Helper()
	o, err := configuration.Encode(configuration.ReadPolicy{Name: "p", MaxAge: time.Duration(seconds) * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	key := configuration.ReadPolicy{Name: "p"}.Key()
	w.mu.Lock()
	version := w.objects[key].Version
	w.mu.Unlock()
	if _, err := (storeOf{w: w, vm: vm}).Put(t.Context(), store.Object{Key: key, Version: version, Value: o}); err != nil {
		t.Fatal(err)
	}
}

// isolate cuts a failure domain off from everything, or ends that.
func (w *world) isolate(domain string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range append([]string{storePlace}, domainNames...) {
		if other != domain {
			w.cut[[2]string{domain, other}] = cut
		}
	}
}

// TestRestartInOutage restarts every daemon of a failure domain in turn while the
// store is down. Another failure domain has missed the last changes and is reached
// again just then. No daemon may come back with less than its neighbours know.
func TestRestartInOutage(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.heal()
		w.declare(t, 1)
		w.sleepAndCheck(time.Second)
		for n, vm := range w.vms[:perDomain] {
			w.mu.Lock()
			w.down = false
			w.mu.Unlock()
			w.isolate("c", true)
			w.declare(t, n+2)
			w.sleepAndCheck(time.Second)
			w.kill(vm.Name)
			w.mu.Lock()
			w.down = true
			w.mu.Unlock()
			w.isolate("c", false)
			w.start(vm)
			d := w.daemons[vm.Name]
			<-d.runner.Ready()
			if got := d.holder.Current().Revision; got != store.Revision(n+2) {
				t.Errorf("%s came back with revision %d, want %d", vm.Name, got, n+2)
			}
			w.sleepAndCheck(3 * time.Second)
		}
		w.stop()
	})
}

// TestRelaysCutOff cuts the relays of a failure domain off from the store and from
// other domains, while their neighbours still hear them. The change must be in
// force within PropagationBound on every daemon of the domain, the relays too.
func TestRelaysCutOff(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.heal()
		w.declare(t, 1)
		w.sleepAndCheck(5 * time.Second)
		w.mu.Lock()
		for _, vm := range w.vms {
			w.deaf[vm.Name] = vm.FailureDomain == "b" && w.view(vm).view.IsRelay()
		}
		w.mu.Unlock()
		w.sleepAndCheck(watchWait + time.Second) // the watches under way end
		w.declare(t, 2)
		w.sleepAndCheck(PropagationBound + time.Second)
		w.stop()
	})
}

// TestOneLinkElsewhere cuts a failure domain off from the store and from all others
// for a time, and then gives it a link to one of the five. A change must be in
// force there within PropagationBound, whichever domain the link goes to.
func TestOneLinkElsewhere(t *testing.T) {
	quiet()
	all := []string{"a", "b", "c", "d", "e", "f"}
	for _, linked := range all[1:] {
		t.Run(linked, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorldOf(t, 1, all, perDomain)
				w.heal()
				w.declare(t, 1)
				time.Sleep(5 * time.Second)
				w.mu.Lock()
				for _, other := range append([]string{storePlace}, all[1:]...) {
					w.cut[[2]string{"a", other}] = true
				}
				w.mu.Unlock()
				time.Sleep(30 * time.Second)
				w.mu.Lock()
				w.cut[[2]string{"a", linked}] = false
				w.mu.Unlock()
				declareFrom(t, w, w.vms[len(w.vms)-1], 2)
				time.Sleep(PropagationBound)
				for _, d := range w.daemons {
					if got := d.holder.Current().Revision; got != 2 {
						t.Errorf("%s is at revision %d, want 2", d.vm.Name, got)
					}
				}
				w.stop()
			})
		})
	}
}

// TestSlowStore makes every call to the store take three seconds. A change must
// still be in force within PropagationBound, and a daemon must start.
func TestSlowStore(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.slow = 3 * time.Second
		w.heal()
		w.mu.Lock()
		w.slow = 3 * time.Second
		w.mu.Unlock()
		time.Sleep(2 * PropagationBound)
		for n := range 5 {
			w.declare(t, n+1)
			time.Sleep(PropagationBound)
			for _, d := range w.daemons {
				if got := d.holder.Current().Revision; got != store.Revision(n+1) {
					t.Errorf("%s is at revision %d, want %d", d.vm.Name, got, n+1)
				}
			}
		}
		w.stop()
	})
}

// TestStoreCalls counts the calls to the store: without faults only relays make
// calls, and with all relays dead no daemon makes more than one a round.
func TestStoreCalls(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.heal()
		w.sleepAndCheck(5 * time.Second)
		count := func(d time.Duration) map[string]int {
			w.mu.Lock()
			clear(w.calls)
			w.mu.Unlock()
			w.sleepAndCheck(d)
			return w.calls
		}
		const minute = 60 * time.Second
		calls := count(minute)
		for _, vm := range w.vms {
			limit := 0
			if w.view(vm).view.IsRelay() {
				limit = int(minute / watchWait)
			}
			if calls[vm.Name] > limit {
				t.Errorf("%s made %d calls in %v, want at most %d", vm.Name, calls[vm.Name], minute, limit)
			}
		}
		for _, vm := range w.vms {
			if w.view(vm).view.IsRelay() {
				w.kill(vm.Name)
			}
		}
		limit := int(minute / (roundEvery * 4 / 5))
		for name, n := range count(minute) {
			if n > limit {
				t.Errorf("%s made %d calls in %v without relays, want at most %d", name, n, minute, limit)
			}
		}
		w.declare(t, 9)
		w.sleepAndCheck(PropagationBound + time.Second)
		w.stop()
	})
}

func TestAloneWatchesTheStore(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		holder := configuration.NewHolder()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		set := metrics.NewSet()
		r := NewWithPeers(Options{Store: storeOf{w: w, vm: w.vms[0]}, Holder: holder, Fleet: aloneView(), Metrics: set})
		go func() {
			defer close(done)
			_ = r.Run(ctx)
		}()
		<-r.Ready()
		w.declare(t, 1)
		r.CatchUp(t.Context())
		if got := holder.Current().Revision; got != 1 {
			t.Errorf("revision %d, want 1", got)
		}
		var b strings.Builder
		set.WritePrometheus(&b)
		if !strings.Contains(b.String(), "laburnumrack_config_last_change_revision 1\n") {
			t.Errorf("metrics are\n%s", b.String())
		}
		cancel()
		<-done
	})
}

// TestOutageKeepsPeers counts whom the daemons ask elsewhere in a long outage: the
// relays of a failure domain together one VM of each other one, the others none. So
// connections last, and their number does not grow with the outage.
func TestOutageKeepsPeers(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.heal()
		w.sleepAndCheck(5 * time.Second)
		w.mu.Lock()
		w.down = true
		clear(w.pairs)
		w.mu.Unlock()
		w.sleepAndCheck(10 * time.Minute)
		asked := map[string]int{}
		for pair := range w.pairs {
			from, to := w.daemons[pair[0]].vm, w.daemons[pair[1]].vm
			if from.FailureDomain == to.FailureDomain {
				continue
			}
			asked[from.FailureDomain]++
			if !w.view(from).view.IsRelay() {
				t.Errorf("%s, which is no relay, asked %s", from.Name, to.Name)
			}
		}
		for _, domain := range domainNames {
			if got, want := asked[domain], len(domainNames)-1; got != want {
				t.Errorf("the relays of %s have %d connections elsewhere, want %d", domain, got, want)
			}
		}
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		w.declare(t, 1)
		w.sleepAndCheck(PropagationBound + time.Second)
		w.stop()
	})
}

// TestSeedsOfLateRelays runs seeds that found a relay late: it left failure domains
// to the other relay, which was starting.
func TestSeedsOfLateRelays(t *testing.T) {
	quiet()
	for _, seed := range []uint64{661} {
		runSeededFaults(t, seed)
	}
}
