package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// drainingReplica lets the primary of a service with sync_replicas 1 crash while the replica
// that acknowledges its commits is draining. Rule LOST.
func drainingReplica(r *rig) {
	const clients = 10
	s := newService(r, "zrnobaza", 3, 21, 8*time.Millisecond, 0, 600*time.Millisecond)
	r.services = append(r.services, s)
	s.syncReplicas = 1
	primary, near, far := s.instances[0], s.instances[1], s.instances[2]
	near.receiveLag, far.receiveLag = 1400*time.Microsecond, 30*time.Millisecond
	r.configure(7, []map[string]any{{"host": "lepu270", "route_type": "primary", "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 1, "service": s.name}})
	r.startDaemons(3)
	time.Sleep(3 * time.Second)

	type acknowledged struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var acks []acknowledged
	// promoted is the log with which the first promoted instance began to lead.
	var promoted []commit
	var promotedID string
	s.mu.Lock()
	s.onLead = func(in *instance) {
		r.note("%s leads term %d with a log that ends at %s", in.id, in.term, in.positionLocked())
		if promoted == nil {
			promoted, promotedID = append([]commit{}, in.log...), in.id
		}
	}
	s.mu.Unlock()

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for {
				c, err := connect(r.daemons[n%3].front, "lepu270")
				for err == nil {
					select {
					case <-stop:
						_ = c.conn.Close()
						return
					default:
					}
					id := newID()
					var a answer
					a, err = c.query(id, fmt.Sprintf("WRITE %x %s", rand.N(2000), newID()), 5*time.Second)
					mu.Lock()
					if err == nil && a.code == "" {
						acks = append(acks, acknowledged{id, time.Now()})
					}
					mu.Unlock()
					r.note("write %s: signature %q, code %q, %v", id, a.signature, a.code, err)
					time.Sleep(time.Duration(5+rand.N(20)) * time.Millisecond)
				}
				select {
				case <-stop:
					return
				default:
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if r.trouble && os.Getenv("ONLY") != "crash" {
		r.note("%s reports that it is draining", near.id)
		near.drain()
	}
	time.Sleep(3 * time.Second)
	crashed := time.Now()
	if r.trouble && os.Getenv("ONLY") != "drain" {
		primary.crash()
		r.note("%s crashes; %s has received %d commits, %s %d", primary.id, near.id, len(near.log), far.id, len(far.log))
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()

	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		r.note("promote call for %s by %s with token %s at %+.3f s from the crash: %d", c.id, c.holder, c.token, c.at.Sub(crashed).Seconds(), c.status)
	}
	in := map[string]bool{}
	for _, c := range promoted {
		in[c.from] = true
	}
	lost := 0
	for _, a := range acks {
		// Commits that were acknowledged after the crash are those of the new primary, or
		// left the old one just before; the check takes the earlier ones only.
		if promoted != nil && a.at.Before(crashed) && !in[a.id] {
			lost++
			r.note("LOST: write %s was acknowledged to its client at %+.3f s from the crash and is not in the log of %s", a.id, a.at.Sub(crashed).Seconds(), promotedID)
		}
	}
	r.finish(lost, fmt.Sprintf("%d writes acknowledged, %d of them not in the log of the promoted instance %s", len(acks), lost, promotedID))
}
