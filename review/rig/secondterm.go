package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// secondTerm lets a primary crash while one replica receives nothing, and partitions the
// primary that is promoted from the replicas and one daemon. Rule ONE.
func secondTerm(r *rig) {
	s := newService(r, "zrnobaza", 3, 21, 8*time.Millisecond, 8*time.Millisecond, 600*time.Millisecond)
	r.services = append(r.services, s)
	first, second, deaf := s.instances[0], s.instances[1], s.instances[2]
	// The daemon in split gets to the instances by links that can be cut.
	const (
		side = "front-split-1"
		// beatAge is how long before the crash the first primary has written its entry.
		beatAge          = 1100 * time.Millisecond
		sideClientsAfter = 4700 * time.Millisecond
	)
	addresses, links := map[string]string{}, map[*instance]*link{}
	for _, in := range s.instances {
		links[in] = newLink("127.0.3.1", in.addr)
		addresses[in.addr] = links[in].listener.Addr().String()
	}
	r.store.addresses[side] = addresses
	r.configure(7, []map[string]any{{"host": "lepu270", "route_type": "primary", "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 1, "service": s.name}})
	r.startDaemons(3)
	time.Sleep(3 * time.Second)

	type lead struct {
		in *instance
		at time.Time
	}
	var leads []lead
	leading := make(chan struct{}, 8)
	s.mu.Lock()
	s.onLead = func(in *instance) {
		r.note("%s leads term %d with a log that ends at %s", in.id, in.term, in.positionLocked())
		leads = append(leads, lead{in, time.Now()})
		leading <- struct{}{}
	}
	s.mu.Unlock()

	type write struct {
		id, daemon string
		answer     answer
		err        error
		sent, at   time.Time
	}
	var mu sync.Mutex
	var writes []write
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(d *daemon) {
		for {
			c, err := connect(d.front, "lepu270")
			for err == nil {
				select {
				case <-stop:
					_ = c.conn.Close()
					return
				default:
				}
				w := write{id: newID(), daemon: d.name, sent: time.Now()}
				w.answer, err = c.query(w.id, fmt.Sprintf("WRITE %x %s", rand.N(2000), newID()), 5*time.Second)
				w.err, w.at = err, time.Now()
				mu.Lock()
				writes = append(writes, w)
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.N(40)) * time.Millisecond)
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	for n := range 6 {
		wg.Go(func() { client(r.daemons[n%2]) })
	}
	time.Sleep(2 * time.Second)
	crashed := time.Now()
	if r.trouble {
		s.mu.Lock()
		deaf.deaf = true
		s.mu.Unlock()
		r.note("%s receives nothing", deaf.id)
		time.AfterFunc(6*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			deaf.deaf = false
			r.note("%s receives again", deaf.id)
		})
		s.mu.Lock()
		lastBeat := s.lastBeat
		s.mu.Unlock()
		for lastBeat.Add(beatAge).Before(time.Now()) {
			lastBeat = lastBeat.Add(heartbeat)
		}
		time.Sleep(time.Until(lastBeat.Add(beatAge)))
		first.crash()
		crashed = time.Now()
		r.note("%s crashes", first.id)
		// The entry is removed after three heartbeat intervals of silence.
		time.AfterFunc(3*heartbeat-beatAge, func() { r.store.remove("servers", first.id) })
		select {
		case <-leading:
		case <-time.After(10 * time.Second):
			cannotRun(fmt.Errorf("nothing was promoted"))
		}
		if os.Getenv("ONLY") != "crash" {
			s.mu.Lock()
			second.cut = true
			s.mu.Unlock()
			links[second].setCut(true)
			r.note("%s is partitioned from the replicas and %s", second.id, side)
			time.AfterFunc(7*time.Second, func() {
				s.mu.Lock()
				second.cut, second.mendedAt = false, time.Now()
				s.mu.Unlock()
				links[second].setCut(false)
				r.note("the partition of %s ends", second.id)
			})
		}
	}
	// The clients of the side come later; its daemon has not used the service so far.
	time.Sleep(time.Until(crashed.Add(sideClientsAfter)))
	r.note("clients begin at %s", side)
	for range 3 {
		wg.Go(func() { client(r.daemons[2]) })
	}
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()

	s.mu.Lock()
	defer s.mu.Unlock()
	ran := map[string]run{}
	for _, x := range s.runs {
		ran[x.id] = x
	}
	for _, c := range s.calls {
		r.note("promote call for %s by %s with token %s at %+.3f s from the crash: %d", c.id, c.holder, c.token, c.at.Sub(crashed).Seconds(), c.status)
	}
	faults := 0
	for _, w := range writes {
		x := ran[w.id]
		r.note("%s at %s sent %+.3f s, run by %s: signature %q, code %q, %v", w.id, w.daemon, w.sent.Sub(crashed).Seconds(), x.instance, w.answer.signature, w.answer.code, w.err)
		if w.err != nil || w.answer.code != "" {
			continue
		}
		for i, l := range leads {
			later := i == len(leads)-1 || leads[i+1].at.After(x.at)
			if x.at.After(l.at) && later && x.instance != l.in.id {
				faults++
				r.note("ONE: %s was committed at %s %.3f s after %s had begun to lead, and acknowledged to its client by %s", w.id, x.instance, x.at.Sub(l.at).Seconds(), l.in.id, w.daemon)
			}
		}
	}
	r.finish(faults, fmt.Sprintf("%d writes, %d leaders, %d writes committed at an old primary and acknowledged", len(writes), len(leads), faults))
}
