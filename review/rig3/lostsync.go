//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

// defaultCrashAt is when the primary crashes, from the beginning of the cut. CRASH_AT_MS sets
// another time, to find out in which span of the cut the rule breaks.
const defaultCrashAt = 4650 * time.Millisecond

// playLostSync plays a replica that can't reach the store for 5 s while the primary crashes.
// With sync_replicas 1, each acknowledged commit must be in the log of the instance that is
// promoted.
func playLostSync(w *world) int {
	crashAt := defaultCrashAt
	if ms, err := strconv.Atoi(os.Getenv("CRASH_AT_MS")); err == nil {
		crashAt = time.Duration(ms) * time.Millisecond
	}
	var mu sync.Mutex
	acked := map[string]time.Time{}
	refused := map[string]int{}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for n := range 9 {
		writers.Go(func() {
			d := w.daemons[n%len(w.daemons)]
			var c *client
			for {
				select {
				case <-stop:
					if c != nil {
						c.close()
					}
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = open(d.front, "orders"); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := newID()
				w.logf("sent %s WRITE by %s", id, d.name)
				a := c.queryWithID(id, "WRITE fan"+fmt.Sprint(n)+" "+id)
				w.logf("answered %s %s", id, a.end)
				mu.Lock()
				if a.ok() {
					acked[id] = time.Now()
				} else {
					refused[a.code()]++
				}
				mu.Unlock()
				if a.state != "I" {
					c.close()
					c = nil
				}
				time.Sleep(time.Duration(10+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	primary, near := w.instance("osijek"), w.instance("vukovar")
	var lost []string
	promotions := 0
	w.db.mu.Lock()
	w.db.onPromoted = func(i *instance) {
		promotions++
		has := map[string]bool{}
		for _, e := range i.log {
			has[e.id] = true
		}
		mu.Lock()
		defer mu.Unlock()
		for id, at := range acked {
			if !has[id] {
				lost = append(lost, id)
				w.logf("LOST %s: acknowledged %.3f s before %s was promoted, not in its log; in the log of %s: %v, of %s: %v", id, time.Since(at).Seconds(), i.id, near.id, near.hasLocked(id), primary.id, primary.hasLocked(id))
			}
		}
	}
	w.db.mu.Unlock()
	time.Sleep(3 * time.Second)
	if w.trouble {
		// The cut begins shortly before the next heartbeat of the replica.
		w.db.mu.Lock()
		wait := time.Until(near.nextBeat) - 100*time.Millisecond
		w.db.mu.Unlock()
		if wait < 0 {
			wait += w.db.heartbeat
		}
		time.Sleep(wait)
		w.db.mu.Lock()
		near.cutFromStore = true
		w.db.mu.Unlock()
		w.say("%s is partitioned from the store, and from nothing else", near.id)
		cut := time.Now()
		time.AfterFunc(5*time.Second, func() {
			w.db.mu.Lock()
			near.cutFromStore = false
			w.db.mu.Unlock()
			w.say("%s reaches the store again after 5 s", near.id)
		})
		time.Sleep(crashAt)
		primary.crash()
		w.say("the primary %s crashes", primary.id)
		time.Sleep(time.Until(cut.Add(crashAt + 7*time.Second)))
		primary.restart()
		w.say("%s is back after 7 s", primary.id)
		time.Sleep(4 * time.Second)
	} else {
		time.Sleep(16 * time.Second)
	}
	close(stop)
	writers.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.db.mu.Lock()
	newest := w.db.newestLocked()
	end := "none"
	missing := 0
	if newest != nil {
		end = newest.id
		for id := range acked {
			if !newest.hasLocked(id) {
				missing++
			}
		}
	}
	w.db.mu.Unlock()
	w.say("%d writes acknowledged, others by code %v, %d promotions; primary at the end: %s", len(acked), refused, promotions, end)
	w.say("%d acknowledged writes were not in the log of the instance that was promoted; %d are missing at the end", len(lost), missing)
	switch {
	case len(acked) == 0:
		return cantRun
	case len(lost) > 0:
		w.say("LOST: broken")
		return broken
	}
	w.say("LOST: held")
	return held
}

// hasLocked reports whether the log has a write.
func (i *instance) hasLocked(id string) bool {
	for _, e := range i.log {
		if e.id == id {
			return true
		}
	}
	return false
}
