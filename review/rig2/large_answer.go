//go:build review

package main

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["large-answer"] = largeAnswer }

const (
	// memoryMB is limits.memory_mb of the settings.
	memoryMB = 284
	// largeRows is the number of rows of the largest message in the large answer.
	largeRows = 64
	// readRounds is how often the client of a zone reads.
	readRounds = 4
)

// residentMB returns the resident memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) int {
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// largeAnswer plays: a client of each zone reads an item whose answer has many rows of the
// largest message. The platform kills processes over their memory and starts them again.
func largeAnswer(e *environment) (int, error) {
	d, err := newDeployment(e)
	if err != nil {
		return failed, err
	}
	defer d.close()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends, peaks, cutShort := map[string]int{}, map[string]int{}, 0
	for _, x := range d.fleet.all {
		wg.Go(func() { d.supervise(e, x, stop, func() { mu.Lock(); defer mu.Unlock(); ends[x.name]++ }) })
		wg.Go(func() {
			watchMemory(e, x, stop, func(mb int) { mu.Lock(); defer mu.Unlock(); peaks[x.name] = max(peaks[x.name], mb) })
		})
	}
	for _, zone := range []string{"osijek", "split", "vukovar"} {
		wg.Go(func() {
			d.bystander(e, zone, stop, func() { mu.Lock(); defer mu.Unlock(); cutShort++ })
		})
	}
	item := "rows-1"
	if e.trouble {
		item = "rows-" + strconv.Itoa(largeRows)
	}
	for range readRounds {
		for _, zone := range []string{"osijek", "split", "vukovar"} {
			d.readOnce(e, zone, item)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	machines := 0
	for _, x := range d.fleet.all {
		e.log.event("check", "%s: peak %d MiB, ended %d times", x.name, peaks[x.name], ends[x.name])
		if ends[x.name] >= 3 {
			machines++
		}
	}
	e.log.event("check", "%d machines of %d with three ends or more; %d requests of other clients got no answer", machines, len(d.fleet.all), cutShort)
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// readOnce reads an item at the first daemon of a zone that accepts a session.
func (d *deployment) readOnce(e *environment, zone, item string) {
	for _, x := range d.fleet.all {
		if x.zone != zone {
			continue
		}
		c, err := connect(e.log, "reader", x.front, database)
		if err != nil {
			continue
		}
		r, err := c.query("READ " + item)
		e.log.event("reader", "READ %s at %s: %d rows, %.40q, %v", item, x.name, len(r.rows), r.result, err)
		c.close()
		return
	}
}

// watchMemory kills the process of a daemon that exceeds its memory, as the platform does.
func watchMemory(e *environment, x *daemon, stop chan struct{}, seen func(mb int)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		mb := residentMB(x.cmd.Process.Pid)
		seen(mb)
		if mb > memoryMB {
			e.log.event(x.name, "is killed: %d MiB of %d", mb, memoryMB)
			x.signal(syscall.SIGKILL)
			time.Sleep(100 * time.Millisecond)
		}
	}
}
