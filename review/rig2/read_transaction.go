//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["read-transaction"] = readTransaction }

// Times of readTransaction.
const (
	// laggingFor and laggingFactor are those of the heaviest replica_lag of the site file.
	laggingFor    = 7 * time.Second
	laggingFactor = 150
	restartDelay  = 500 * time.Millisecond
)

// readTransaction plays: all replicas fall behind for 7 s, three times. A client of a
// read_your_writes route writes, begins a transaction with BEGIN READ, writes in it and
// commits; without the trouble it reads in it. The platform starts processes that end again.
func readTransaction(e *environment) (int, error) {
	d, err := newDeployment(e)
	if err != nil {
		return failed, err
	}
	defer d.close()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for _, x := range d.fleet.all {
		wg.Go(func() { d.supervise(e, x, stop, func() { mu.Lock(); defer mu.Unlock(); ends[x.name]++ }) })
	}
	cutShort := 0
	for _, zone := range []string{"osijek", "split", "vukovar"} {
		wg.Go(func() {
			d.bystander(e, zone, stop, func() { mu.Lock(); defer mu.Unlock(); cutShort++ })
		})
	}
	for round := 0; round < 3; round++ {
		if e.trouble {
			e.log.event("rig", "all replicas fall %s behind", laggingFactor*replicaLag)
			d.service.setLag(laggingFactor * replicaLag)
		}
		for end := time.Now().Add(laggingFor); time.Now().Before(end); {
			for _, zone := range []string{"osijek", "split", "vukovar"} {
				for _, x := range d.fleet.all {
					if x.zone == zone && d.writeInReadTransaction(e, x) {
						break
					}
				}
			}
		}
		d.service.setLag(replicaLag)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	machines := 0
	for _, x := range d.fleet.all {
		if ends[x.name] > 0 {
			e.log.event("check", "the process of %s ended by itself %d times", x.name, ends[x.name])
		}
		if ends[x.name] >= 3 {
			machines++
		}
	}
	e.log.event("check", "%d machines with three ends or more of %d; %d requests of other clients got no answer", machines, len(d.fleet.all), cutShort)
	if machines >= max(2, (len(d.fleet.all)+9)/10) {
		return broken, nil
	}
	return held, nil
}

// supervise starts the process of a daemon again when it has ended.
func (d *deployment) supervise(e *environment, x *daemon, stop chan struct{}, ended func()) {
	for {
		select {
		case <-stop:
			return
		case <-x.exited:
		}
		ended()
		e.log.event(x.name, "has ended by itself: %s", x.cmd.ProcessState)
		time.Sleep(restartDelay)
		if err := d.fleet.start(x, false); err != nil {
			e.log.event(x.name, "can't be started: %v", err)
			return
		}
	}
}

// bystander writes through the daemons of a zone and counts the requests whose connection ends
// without an answer.
func (d *deployment) bystander(e *environment, zone string, stop chan struct{}, cut func()) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, x := range d.fleet.all {
			if c != nil || x.zone != zone {
				continue
			}
			if opened, err := connect(e.log, "by-"+zone, x.front, database); err == nil {
				c = opened
			}
		}
		if c == nil {
			continue
		}
		if _, err := c.query(fmt.Sprintf("WRITE by-%s-%d v", zone, n)); err != nil {
			cut()
			c.close()
			c = nil
		}
	}
}

// writeInReadTransaction plays the client at one daemon, and reports whether it got through.
func (d *deployment) writeInReadTransaction(e *environment, x *daemon) bool {
	c, err := connect(e.log, "reader", x.front, "logs")
	if err != nil {
		return false
	}
	defer c.close()
	if r, err := c.query("WRITE log first"); err != nil || !r.ok() {
		return false
	}
	time.Sleep(300 * time.Millisecond)
	second := "READ log"
	if e.trouble {
		second = "WRITE log second"
	}
	for _, text := range []string{"BEGIN READ", second, "COMMIT"} {
		r, err := c.query(text)
		if err != nil {
			return false
		}
		if !r.ok() {
			break
		}
	}
	return true
}
