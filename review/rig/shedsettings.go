package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// shedSettings lets one instance answer part of its requests with BUSY while its health is
// good. Sessions with different values share the connections of the daemons. Rule PINNED.
func shedSettings(r *rig) {
	const (
		clients = 12
		share   = 0.4
	)
	for range 3 {
		r.services = append(r.services, newService(r, fmt.Sprintf("zrnobaza%d", len(r.services)), 3, 21, 8*time.Millisecond, 8*time.Millisecond, 600*time.Millisecond))
	}
	var routes []map[string]any
	for i, s := range r.services {
		routes = append(routes, map[string]any{"host": fmt.Sprintf("lepu%d", i), "route_type": "primary", "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 1, "service": s.name})
	}
	r.configure(7, routes)
	r.startDaemons(3)
	time.Sleep(3 * time.Second)

	type request struct {
		id, text string
		values   map[string]string
		answer   answer
		err      error
	}
	var mu sync.Mutex
	sent := map[string]*request{}
	var order []*request
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				s, err := connect(r.daemons[n%3].front, "lepu0")
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if s.set("schema", fmt.Sprintf("bin%d", n)) != nil {
					_ = s.conn.Close()
					continue
				}
				for range 20 {
					q := &request{id: newID(), text: fmt.Sprintf("READ %x", rand.N(2000)), values: maps.Clone(s.values)}
					if rand.Float64() < 0.35 {
						q.text = fmt.Sprintf("WRITE %x %s", rand.N(2000), newID())
					}
					mu.Lock()
					sent[q.id] = q
					order = append(order, q)
					mu.Unlock()
					a, err := s.query(q.id, q.text, 5*time.Second)
					mu.Lock()
					q.answer, q.err = a, err
					mu.Unlock()
					if err != nil || a.state != "I" {
						break
					}
					time.Sleep(time.Duration(20+rand.N(60)) * time.Millisecond)
				}
				_ = s.conn.Close()
			}
		})
	}
	time.Sleep(3 * time.Second)
	p := r.services[0].instances[0]
	if r.trouble {
		r.note("%s answers %.0f%% of its requests with BUSY", p.id, 100*share)
		r.services[0].mu.Lock()
		p.shed = func() bool { return rand.Float64() < share }
		r.services[0].mu.Unlock()
	}
	time.Sleep(6500 * time.Millisecond)
	r.services[0].mu.Lock()
	p.shed = nil
	r.services[0].mu.Unlock()
	r.note("%s answers all again", p.id)
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()

	r.services[0].mu.Lock()
	runs := r.services[0].runs
	r.services[0].mu.Unlock()
	faults := 0
	byID := map[string][]run{}
	for _, x := range runs {
		byID[x.id] = append(byID[x.id], x)
	}
	for _, q := range order {
		r.note("%s %q of a session with %v: signature %q, code %q, %v; %d runs", q.id, q.text, q.values, q.answer.signature, q.answer.code, q.err, len(byID[q.id]))
		for _, x := range byID[q.id] {
			if !maps.Equal(x.values, q.values) {
				faults++
				r.note("PINNED: %s ran %s %q with %v, its client was acknowledged %v; committed: %t; the client got %q", x.instance, q.id, q.text, x.values, q.values, x.committed, q.answer.code)
			}
		}
	}
	r.finish(faults, fmt.Sprintf("%d statements, %d runs with values of another session", len(order), faults))
}
