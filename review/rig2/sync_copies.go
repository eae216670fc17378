//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["sync-copies"] = syncCopies }

// downFor is how long an instance that crashed is down.
const downFor = 7 * time.Second

// syncCopies plays, with one synchronous replica: one replica receives nothing for 6.5 s. Then
// the other replica, and after it the primary, crash for 7 s each.
func syncCopies(e *environment) (int, error) {
	d, err := newDeploymentWith(e, 1)
	if err != nil {
		return failed, err
	}
	defer d.close()
	a, b, c := d.service.instances[0], d.service.instances[1], d.service.instances[2]
	var mu sync.Mutex
	var acked []ackedWrite
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, zone := range []string{"osijek", "split", "vukovar"} {
		wg.Add(1)
		go d.traffic(e, &wg, zone, d.inZone(zone), database, func(r reply, item string) {
			mu.Lock()
			defer mu.Unlock()
			acked = append(acked, ackedWrite{r, item, zone})
		}, stop)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	steps := []struct {
		at   time.Duration
		what string
		do   func() error
	}{
		{0, c.id + " receives nothing", func() error { d.service.setDeaf(c, true); return nil }},
		{500 * time.Millisecond, b.id + " crashes", func() error { d.service.lose(b); return nil }},
		{800 * time.Millisecond, a.id + " crashes", func() error { d.service.lose(a); return nil }},
		{6500 * time.Millisecond, c.id + " receives again", func() error { d.service.setDeaf(c, false); return nil }},
		{500*time.Millisecond + downFor, b.id + " is back with its log", func() error { return d.service.restart(b) }},
		{800*time.Millisecond + downFor, a.id + " is back with its log", func() error { return d.service.restart(a) }},
		{14 * time.Second, "the end", func() error { return nil }},
	}
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.at)))
		if !e.trouble {
			continue
		}
		e.log.event("rig", "%s", s.what)
		if err := s.do(); err != nil {
			return failed, err
		}
	}
	close(stop)
	wg.Wait()
	return d.service.checkLost(e, acked), nil
}

// checkLost checks LOST: each commit that was acknowledged before a promote took effect is in
// the log of the instance that was promoted.
func (s *service) checkLost(e *environment, acked []ackedWrite) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.log.event("check", "%d writes were acknowledged, %d promotes took effect", len(acked), len(s.promotedAt))
	lost := 0
	for term, at := range s.promotedAt {
		has := map[string]bool{}
		for _, entry := range s.promotedLogs[term] {
			has[entry.id] = true
		}
		before := 0
		for _, w := range acked {
			if !w.answered.Before(at) {
				continue
			}
			before++
			if has[w.id] {
				continue
			}
			lost++
			if lost <= 3 {
				e.log.event("check", "LOST: write %s of %s, acknowledged %.1f s before, is not in the log with which term %d began", w.id, w.client, at.Sub(w.answered).Seconds(), term)
			}
		}
		e.log.event("check", "term %d: %d acknowledged before, log of %d", term, before, len(s.promotedLogs[term]))
	}
	e.log.event("check", "%d acknowledged writes lost", lost)
	if lost > 0 {
		return broken
	}
	return held
}
