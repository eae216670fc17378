//go:build !race

package distribution

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPlannedFleet runs 642 daemons in 6 failure domains. It guards against a change that
// is not in force everywhere within PropagationBound, without faults and after all relays
// of a domain were killed, and against too many calls to peers in an outage of the store.
// It logs the load that the distribution causes.
func TestPlannedFleet(t *testing.T) {
	discardLogs()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulationOf(t, 1, []string{"a", "b", "c", "d", "e", "f"}, 107)
		sim.clearFaults()
		time.Sleep(10 * time.Second)
		sim.logCosts(t, "no faults", 20*time.Second)
		t.Logf("a change without faults is in force on all daemons after %v", sim.measurePropagation(t, 1))
		killed := 0
		for _, vm := range sim.vms {
			if vm.FailureDomain == "b" && sim.daemons[vm.Name].syncer.options.Fleet.Current().IsRelay() {
				sim.kill(vm.Name)
				killed++
			}
		}
		t.Logf("a change right after the %d relays of one domain were killed is in force on all daemons after %v", killed, sim.measurePropagation(t, 2))
		sim.logCosts(t, "one domain without relays", 20*time.Second)
		sim.clearFaults()
		sim.mu.Lock()
		sim.storeDown = true
		sim.mu.Unlock()
		time.Sleep(10 * time.Second)
		const maxCallRate = 0.2 // calls per second and daemon
		if calls := sim.logCosts(t, "store down", time.Minute) / float64(len(sim.vms)); calls > maxCallRate {
			t.Errorf("a daemon makes %.3f calls to peers per second in an outage, want at most %.1f", calls, maxCallRate)
		}
		sim.stop()
	})
}

// measurePropagation makes a change and returns the time until every daemon has it. It
// fails the test and returns if that takes longer than PropagationBound.
func (sim *simulation) measurePropagation(t *testing.T, seconds int) time.Duration {
	start := time.Now()
	sim.declare(t, seconds)
	for {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		behind := 0
		for _, d := range sim.daemons {
			if d.holder.Current().Revision < sim.revision {
				behind++
			}
		}
		if took := time.Since(start); behind == 0 || took > PropagationBound {
			if behind > 0 {
				t.Errorf("%d daemons do not have the change after %v", behind, took)
			}
			return took
		}
	}
}

// logCosts logs the call and byte rates over the next d, in total or for the busiest
// daemon, and returns the calls to peers per second of all daemons.
func (sim *simulation) logCosts(t *testing.T, title string, d time.Duration) float64 {
	sim.mu.Lock()
	for _, m := range []map[string]int{sim.storeCalls, sim.callsSent, sim.callsServed, sim.callBytes} {
		clear(m)
	}
	sim.mu.Unlock()
	time.Sleep(d)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	rate := func(m map[string]int) (sum, highest float64) {
		for _, n := range m {
			sum += float64(n) / d.Seconds()
			highest = max(highest, float64(n)/d.Seconds())
		}
		return sum, highest
	}
	calls, _ := rate(sim.storeCalls)
	sent, _ := rate(sim.callsSent)
	_, maxServed := rate(sim.callsServed)
	bytes, maxBytes := rate(sim.callBytes)
	t.Logf("%s: store calls %.1f/s in total; calls to peers %.1f/s in total, at most %.1f/s served by one daemon; CBOR bytes per daemon %.0f/s on average, %.0f/s at most",
		title, calls, sent, maxServed, bytes/float64(len(sim.vms)), maxBytes)
	return sent
}
