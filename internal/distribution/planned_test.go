//go:build !race

package distribution

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPlannedFleet runs 642 daemons in 6 failure domains. A change must be in force
// everywhere within PropagationBound, without faults and with all relays of a domain dead. It
// logs what the distribution costs, and bounds the calls to peers in an outage.
func TestPlannedFleet(t *testing.T) {
	quiet()
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(t, 1, []string{"a", "b", "c", "d", "e", "f"}, 107)
		w.heal()
		time.Sleep(10 * time.Second)
		w.logCosts(t, "no faults", 20*time.Second)
		t.Logf("a change is in force everywhere after %v", w.timeToAll(t, 1))
		killed := 0
		for _, vm := range w.vms {
			if vm.FailureDomain == "b" && w.daemons[vm.Name].runner.options.Fleet.Current().IsRelay() {
				w.kill(vm.Name)
				killed++
			}
		}
		t.Logf("with the %d relays of one domain killed just before, after %v", killed, w.timeToAll(t, 2))
		w.logCosts(t, "one domain without relays", 20*time.Second)
		w.heal()
		w.mu.Lock()
		w.down = true
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
		const most = 0.2 // calls a second for each daemon
		if calls := w.logCosts(t, "store down", time.Minute) / float64(len(w.vms)); calls > most {
			t.Errorf("a daemon makes %.3f calls to peers a second in an outage, want at most %.1f", calls, most)
		}
		w.stop()
	})
}

// timeToAll makes a change and returns the time until every daemon has it.
func (w *world) timeToAll(t *testing.T, seconds int) time.Duration {
	began := time.Now()
	w.declare(t, seconds)
	for {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		behind := 0
		for _, d := range w.daemons {
			if d.holder.Current().Revision < w.revision {
				behind++
			}
		}
		if took := time.Since(began); behind == 0 || took > PropagationBound {
			if behind > 0 {
				t.Errorf("%d daemons lack a change after %v", behind, took)
			}
			return took
		}
	}
}

// logCosts logs the greatest figures of a daemon over a time, and returns the calls
// to peers a second of all.
func (w *world) logCosts(t *testing.T, title string, d time.Duration) float64 {
	w.mu.Lock()
	for _, m := range []map[string]int{w.calls, w.sent, w.served, w.bytes} {
		clear(m)
	}
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := func(m map[string]int) (sum, most float64) {
		for _, n := range m {
			sum += float64(n) / d.Seconds()
			most = max(most, float64(n)/d.Seconds())
		}
		return sum, most
	}
	calls, _ := rate(w.calls)
	sent, _ := rate(w.sent)
	_, served := rate(w.served)
	bytes, most := rate(w.bytes)
	t.Logf("%s: store calls %.1f/s in all; calls to peers %.1f/s in all, a daemon serves at most %.1f/s; CBOR bytes a daemon %.0f/s on average, %.0f/s at most",
		title, calls, sent, served, bytes/float64(len(w.vms)), most)
	return sent
}
