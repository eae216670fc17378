//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unfinished-messages"] = unfinishedMessages }

// callers is the number of clients of the open finding in KNOWN-RED.txt.
const callers = 144

// unfinishedMessages plays the open finding: 144 callers of one daemon each send a statement of
// nearly 1 MiB without its end. Without the trouble the statements have 100 bytes.
func unfinishedMessages(e *environment) (int, error) {
	d, err := newDeployment(e)
	if err != nil {
		return failed, err
	}
	defer d.close()
	x := d.inZone("osijek")
	size := 100
	if e.trouble {
		size = maxMessage - 100
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	peak, over := 0, false
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			peak = max(peak, residentMB(x.cmd.Process.Pid))
			if peak > memoryMB && !over {
				over = true
				e.log.event(x.name, "is killed: %d MiB of %d", peak, memoryMB)
				x.signal(syscall.SIGKILL)
			}
		}
	})
	message := append([]byte("QUERY q WRITE item "), bytes.Repeat([]byte("x"), size)...)
	for range callers {
		go func() {
			c, err := net.Dial("tcp4", x.front)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "START %s u\r\n", database)
			time.Sleep(200 * time.Millisecond)
			_, _ = c.Write(message)
			<-stop
		}()
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	e.log.event("check", "%d callers with unfinished messages of %d bytes: peak %d MiB of %d", callers, size, peak, memoryMB)
	if over {
		return broken, nil
	}
	return held, nil
}
