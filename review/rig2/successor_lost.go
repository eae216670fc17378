//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// successorLost plays: the primary is cut off for 7 s, one replica receives nothing for 6.5 s,
// the other one is promoted, serves for a moment and is lost for good. Sessions of another zone
// that were idle meanwhile then write.
func successorLost(e *environment) (int, error) {
	d, err := newDeployment(e)
	if err != nil {
		return failed, err
	}
	defer d.close()
	a, b, c := d.service.instances[0], d.service.instances[1], d.service.instances[2]
	var mu sync.Mutex
	var acked []ackedWrite
	ack := func(client string) func(r reply, item string) {
		return func(r reply, item string) {
			mu.Lock()
			defer mu.Unlock()
			acked = append(acked, ackedWrite{r, item, client})
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(2)
	go d.traffic(e, &wg, "osijek", d.inZone("osijek"), database, ack("osijek"), stop)
	go d.traffic(e, &wg, "split", d.inZone("split"), database, ack("split"), stop)
	idle, err := connect(e.log, "vukovar", d.inZone("vukovar").front, database)
	if err != nil {
		return failed, err
	}
	defer idle.close()
	time.Sleep(2 * time.Second)

	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	if e.trouble {
		e.log.event("rig", "%s receives nothing", c.id)
		d.service.setDeaf(c, true)
	}
	at(0.5)
	if e.trouble {
		e.log.event("rig", "%s is cut off from the store, the other instances and the daemons that use it", a.id)
		d.service.setCut(a, true)
	}
	at(3.9)
	if e.trouble {
		e.log.event("rig", "%s is lost for good", b.id)
		d.service.lose(b)
	}
	at(6.5)
	if e.trouble {
		e.log.event("rig", "%s receives again", c.id)
		d.service.setDeaf(c, false)
	}
	at(7.5)
	if e.trouble {
		e.log.event("rig", "the partition of %s heals", a.id)
		d.service.setCut(a, false)
	}
	// The idle session of the third zone goes on.
	at(8)
	for n := 0; time.Since(began) < 16*time.Second; n++ {
		item := fmt.Sprintf("vukovar-%d", n)
		r, err := idle.query("WRITE " + item + " v" + item)
		if err != nil {
			idle.close()
			if idle, err = connect(e.log, "vukovar", d.inZone("vukovar").front, database); err != nil {
				return failed, err
			}
			continue
		}
		if r.ok() {
			ack("vukovar")(r, item)
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	return d.service.checkOne(e, acked), nil
}
