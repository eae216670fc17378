package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryLimitKB = 284 * 1024
	// shapeBytes is the size of a prepared statement, below the 1 MiB of a message.
	shapeBytes = 1_000_000
	// statements is how many statements one session prepares. The daemons allow 1,024.
	statements = 400
)

// anonymousKB returns the anonymous memory of a process in kB, 0 if it has ended.
func anonymousKB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// preparedFlood lets one client prepare many long statements in its session, at one daemon
// after the other. A process over memory_mb is killed and started again, as on the
// platform. Rule Fault.
func preparedFlood(r *rig) {
	r.services = append(r.services, newService(r, "zrnobaza", 3, 21, 24*time.Millisecond, 8*time.Millisecond, 600*time.Millisecond))
	r.configure(7, []map[string]any{{"host": "lepu270", "route_type": "read_your_writes", "timeout_ms": 1000, "target_latency_ms": 2000, "priority": 2, "service": "zrnobaza", "max_staleness_ms": 2500}})
	r.startDaemons(3)
	time.Sleep(3 * time.Second)

	var ends [3]atomic.Int32
	var peak [3]atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, d := range r.daemons {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				kb := anonymousKB(d.command.Process.Pid)
				if int64(kb) > peak[i].Load() {
					peak[i].Store(int64(kb))
				}
				if kb <= memoryLimitKB {
					continue
				}
				r.note("the process of %s has %d kB, over its memory of %d kB: it is killed", d.name, kb, memoryLimitKB)
				_ = d.command.Process.Kill()
				<-d.exited
				ends[i].Add(1)
				time.Sleep(500 * time.Millisecond)
				r.restart(d)
			}
		})
	}
	var sent, unanswered atomic.Int32
	for n := range 6 {
		wg.Go(func() {
			for {
				s, err := connect(r.daemons[n%3].front, "lepu270")
				for err == nil {
					select {
					case <-stop:
						_ = s.conn.Close()
						return
					default:
					}
					id, text := newID(), fmt.Sprintf("READ %x", rand.N(2000))
					sent.Add(1)
					if _, err = s.query(id, text, 5*time.Second); err != nil {
						unanswered.Add(1)
						r.note("request %s of another client at %s was not answered: %v", id, r.daemons[n%3].name, err)
						_ = s.conn.Close()
					}
					time.Sleep(time.Duration(20+rand.N(40)) * time.Millisecond)
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}

	size := shapeBytes
	if !r.trouble {
		size = 60
	}
	deadline := time.Now().Add(80 * time.Second)
	for round := 0; round < 8 && time.Now().Before(deadline) && (ends[0].Load() < 3 || ends[1].Load() < 3); round++ {
		d := r.daemons[round%2]
		s, err := connect(d.front, "lepu270")
		for err != nil && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
			s, err = connect(d.front, "lepu270")
		}
		if err != nil {
			break
		}
		done := 0
		for i := range statements {
			var a answer
			a, err = s.query(newID(), fmt.Sprintf("PREPARE s%d READ q%s", i, strings.Repeat("x", size)), 5*time.Second)
			if err != nil || a.code != "" {
				r.note("PREPARE %d at %s: code %q, %v", i, d.name, a.code, err)
				break
			}
			done++
		}
		r.note("%d statements of %d bytes prepared in a session at %s", done, size, d.name)
		time.Sleep(time.Second)
		_ = s.conn.Close()
	}
	close(stop)
	wg.Wait()
	machines := 0
	for i, d := range r.daemons {
		r.note("%s: ended %d times, at most %d kB", d.name, ends[i].Load(), peak[i].Load())
		if ends[i].Load() >= 3 {
			machines++
		}
	}
	verdict := fmt.Sprintf("processes over their memory three times on %d machines of 3; %d of %d requests of other clients not answered", machines, unanswered.Load(), sent.Load())
	if machines < 2 {
		machines = 0
	}
	r.finish(machines, verdict)
}
