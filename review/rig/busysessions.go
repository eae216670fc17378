package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// busySessions stops one daemon with SIGTERM while some of its clients run operation after
// operation in their sessions, as a job does that works through a list. Rule LOST.
func busySessions(r *rig) {
	const (
		clients = 6
		grace   = 6 * time.Second
	)
	r.services = append(r.services, newService(r, "zrnobaza", 3, 21, 24*time.Millisecond, 8*time.Millisecond, 600*time.Millisecond))
	r.configure(7, []map[string]any{{"host": "lepu270", "route_type": "read_your_writes", "timeout_ms": 1000, "target_latency_ms": 2000, "priority": 2, "service": "zrnobaza", "max_staleness_ms": 2500}})
	r.startDaemons(3)
	time.Sleep(3 * time.Second)
	d := r.daemons[0]

	var mu sync.Mutex
	type request struct {
		id, text  string
		sent, end time.Time
		err       error
		answer    answer
	}
	var all []request
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for {
				s, err := connect(d.front, "lepu270")
				if err != nil {
					// The daemon is gone; the platform would lead the client to another one.
					return
				}
				for {
					select {
					case <-stop:
						_ = s.conn.Close()
						return
					default:
					}
					q := request{id: newID(), text: fmt.Sprintf("READ %x", rand.N(2000)), sent: time.Now()}
					if rand.Float64() < 0.12 {
						q.text = fmt.Sprintf("WRITE %x %s", rand.N(2000), newID())
					}
					q.answer, q.err = s.query(q.id, q.text, 5*time.Second)
					q.end = time.Now()
					mu.Lock()
					all = append(all, q)
					mu.Unlock()
					if q.err != nil {
						_ = s.conn.Close()
						break
					}
					time.Sleep(time.Duration(1+rand.N(9)) * time.Millisecond)
				}
				select {
				case <-stop:
					return
				case <-d.exited:
					return
				default:
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	stopped := time.Now()
	if r.trouble {
		r.note("SIGTERM to %s", d.name)
		_ = d.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-d.exited:
		case <-time.After(grace):
			r.note("SIGKILL to %s", d.name)
			_ = d.command.Process.Kill()
			<-d.exited
		}
	} else {
		time.Sleep(grace)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()

	ran := map[string]run{}
	r.services[0].mu.Lock()
	for _, x := range r.services[0].runs {
		ran[x.id] = x
	}
	r.services[0].mu.Unlock()
	lost := 0
	for _, q := range all {
		x, passedOn := ran[q.id]
		if q.err == nil {
			r.note("%s %q sent %+.3f s from the stop, answered %q %s after %d ms, run: %t", q.id, q.text, q.sent.Sub(stopped).Seconds(), q.answer.signature, q.answer.code, q.end.Sub(q.sent).Milliseconds(), passedOn)
			continue
		}
		r.note("%s %q sent %+.3f s from the stop, NOT ANSWERED: %v after %d ms, run: %t", q.id, q.text, q.sent.Sub(stopped).Seconds(), q.err, q.end.Sub(q.sent).Milliseconds(), passedOn)
		// LOST counts a request that was passed on to an instance, or one that was sent more
		// than loss_slack_ms before. One that no process has read is not counted, and neither
		// is one that an instance worked on in the last sixth of grace_s, if it was sent no
		// later than 3 s after the SIGTERM.
		within := q.end.Sub(stopped) < grace+time.Second
		excused := q.sent.Sub(stopped) <= 3*time.Second && x.at.Sub(stopped) > grace*5/6
		if within && passedOn && !excused {
			lost++
			r.note("LOST: %s was passed on to %s at %+.3f s from the stop, committed: %t", q.id, x.instance, x.at.Sub(stopped).Seconds(), x.committed)
		}
	}
	r.finish(lost, fmt.Sprintf("%d requests, %d passed on and never answered", len(all), lost))
}
