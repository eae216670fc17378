//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// configBound is config_ms of the sheet with tenants, the longer one.
const configBound = 6 * time.Second

// playKeyMoved plays transactions that are open while the operator moves their callers' key from
// one tenant to another. Later than configBound after the acknowledgement of that version, no
// instance may run a statement of these callers for the tenant that does not hold the key.
func playKeyMoved(w *world) int {
	const key, first, second = "key-of-a-depot", "depot-north", "depot-south"
	tenant := func(name string, keys ...string) any {
		return map[string]any{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 500, "burst": 500}
	}
	w.publish(8, []any{tenant(first, key, "key-n2"), tenant(second, "key-s1")})
	time.Sleep(configBound)
	type statement struct {
		id, text, daemon string
		sent             time.Time
		end              string
	}
	var mu sync.Mutex
	var statements []statement
	var moved time.Time
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Go(func() {
			d := w.daemons[n%len(w.daemons)]
			c, err := openAs(d.front, "orders", key)
			if err != nil {
				w.say("%s: %v", d.name, err)
				return
			}
			defer c.close()
			// A transaction of 7 statements with pauses of 1.5 s, half of tx_idle_ms.
			for _, text := range []string{"BEGIN", "READ fan1", "WRITE fan1 on", "READ fan2", "WRITE fan2 on", "READ fan3", "WRITE fan3 on", "COMMIT"} {
				s := statement{id: newID(), text: text, daemon: d.name, sent: time.Now()}
				w.logf("sent %s %s to %s", s.id, text, d.name)
				a := c.queryWithID(s.id, text)
				s.end = a.end
				w.logf("answered %s %s %s", s.id, a.end, a.state)
				mu.Lock()
				statements = append(statements, s)
				mu.Unlock()
				if a.end == noAnswer || a.code() != "" {
					return
				}
				time.Sleep(1500 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.publish(9, []any{tenant(first, "key-n2"), tenant(second, "key-s1", key)})
		moved = time.Now()
		w.say("version 9 is acknowledged: the key moves from %s to %s", first, second)
	}
	callers.Wait()
	wrong, ran := 0, 0
	w.db.mu.Lock()
	defer w.db.mu.Unlock()
	for _, s := range statements {
		as, did := w.db.tenants[s.id]
		if !did {
			continue
		}
		ran++
		holder := first
		if !moved.IsZero() && s.sent.Sub(moved) > configBound {
			holder = second
		}
		if as != holder && (moved.IsZero() || s.sent.Sub(moved) > configBound) {
			wrong++
			w.logf("UNASKED %s %s of %s, sent %.3f s after the acknowledgement: ran for %s, the key is held by %s", s.id, s.text, s.daemon, s.sent.Sub(moved).Seconds(), as, holder)
		}
	}
	w.say("%d statements ran, %d of them for a tenant that does not hold the key", ran, wrong)
	switch {
	case ran == 0:
		return cantRun
	case wrong > 0:
		fmt.Println("UNASKED: broken")
		return broken
	}
	return held
}
