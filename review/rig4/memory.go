package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The platform ends a process that exceeds its memory, and starts it again after restartDelay.
const (
	memoryInterval = 10 * time.Millisecond
	restartDelay   = time.Second
)

// memoryWatch is what the platform sees of the memory of one daemon.
type memoryWatch struct {
	kills, peakMB atomic.Int64
}

// watchMemory plays the platform's limit on the memory of a daemon until stop is closed.
func (w *world) watchMemory(d *daemon, m *memoryWatch, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		if !d.running() {
			continue
		}
		now := int64(d.residentMB())
		m.peakMB.Store(max(m.peakMB.Load(), now))
		if now <= memoryMB {
			continue
		}
		w.note("%s: resident memory %d MB exceeds memory_mb %d: the platform ends the process", d.name, now, memoryMB)
		m.kills.Add(1)
		d.kill()
		time.Sleep(restartDelay)
		if err := w.restart(d); err != nil {
			w.note("%s: not started again: %v", d.name, err)
		}
	}
}

// Figures of the case of a large answer.
const (
	rowBytes = 1<<20 - 200
	// troubleRows and calmRows are the rows of the large answer with and without trouble.
	troubleRows, calmRows = 64, 1
	// largeOperations is how many operations the caller of the large answer starts; each is
	// tried clientTries times, at another daemon each time.
	largeOperations, clientTries = 3, 3
	ordinarySessions             = 20
)

// rowProxy passes the bytes between a daemon and a target, and replaces each row that is the
// word "large" by rows of the largest size: it stands for a target that answers with many rows.
func rowProxy(target string, rows int) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	large := []byte("ROW " + strings.Repeat("x", rowBytes) + "\r\n")
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = in.Close() }()
				out, err := net.Dial("tcp4", target)
				if err != nil {
					return
				}
				defer func() { _ = out.Close() }()
				go func() {
					_, _ = bufio.NewReader(in).WriteTo(out)
					_ = out.Close()
				}()
				for lines := bufio.NewReader(out); ; {
					line, err := lines.ReadBytes('\n')
					if err != nil {
						return
					}
					times := 1
					if string(line) == "ROW large\r\n" {
						line, times = large, rows
					}
					for range times {
						if _, err := in.Write(line); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return l.Addr().String(), nil
}

// largeAnswer plays a caller that reads an item whose answer has many rows, besides callers that
// read and write small ones.
func largeAnswer(w *world, trouble bool) (bool, error) {
	rows := calmRows
	if trouble {
		rows = troubleRows
	}
	for i, t := range w.group.Targets {
		address, err := rowProxy(t.Address, rows)
		if err != nil {
			return false, err
		}
		spec := w.group.ServerSpec(i)
		spec["addr"] = address
		w.store.Put("servers", t.ID, spec)
	}
	w.group.StatementTime = 8 * time.Millisecond
	var watches []*memoryWatch
	stop := make(chan struct{})
	var players sync.WaitGroup
	for _, name := range []string{"front-osijek-1", "front-osijek-2"} {
		d, err := w.start(name, "osijek")
		if err != nil {
			return false, err
		}
		m := &memoryWatch{}
		watches = append(watches, m)
		players.Go(func() { w.watchMemory(d, m, stop) })
	}
	time.Sleep(3500 * time.Millisecond)
	seed, err := dialCaller(w.daemons[0].callers(), "fan-orders")
	if err != nil {
		return false, err
	}
	result, _ := seed.query("seed", "WRITE report large")
	w.note("seed: %s", result)
	seed.close()
	var answered, cut atomic.Int64
	for i := range ordinarySessions {
		players.Go(func() { w.ordinary(i, stop, &answered, &cut) })
	}
	time.Sleep(time.Second)
	served := 0
	for n := range largeOperations {
		for try := range clientTries {
			d := w.daemons[(n+try)%len(w.daemons)]
			result, bytes := w.readOnce(d, fmt.Sprintf("large-%d-%d", n, try), "READ report")
			w.note("large read %d, try %d at %s: %q, %d bytes of rows", n, try, d.name, result, bytes)
			if strings.HasPrefix(result, "DONE") {
				served++
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	players.Wait()
	total := int64(0)
	for i, m := range watches {
		w.note("%s: ended for its memory %d times, resident at most %d MB", w.daemons[i].name, m.kills.Load(), m.peakMB.Load())
		total += m.kills.Load()
	}
	w.note("large reads served %d of %d; small statements answered %d, connection ended without an answer %d", served, largeOperations, answered.Load(), cut.Load())
	return total > 0, nil
}

// readOnce opens a session, waits until the daemon accepts it, and runs one statement.
func (w *world) readOnce(d *daemon, id, text string) (string, int) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		c, err := dialCaller(d.callers(), "probe-reads")
		if err != nil {
			continue
		}
		defer c.close()
		return c.query(id, text)
	}
	return "no session", 0
}

// ordinary plays a caller with small statements, which connects again when its session ends.
func (w *world) ordinary(i int, stop chan struct{}, answered, cut *atomic.Int64) {
	var c *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialCaller(w.daemons[(i+n)%len(w.daemons)].callers(), "shift-logs"); err != nil {
				c = nil
				continue
			}
		}
		id, text := fmt.Sprintf("s%d-%d", i, n), fmt.Sprintf("READ item%d", i)
		if n%8 == 0 {
			text = fmt.Sprintf("WRITE item%d d%d", i, n)
		}
		result, _ := c.query(id, text)
		if result == "" {
			cut.Add(1)
			w.note("small statement %s: sent, connection ended without an answer", id)
			c.close()
			c = nil
			continue
		}
		answered.Add(1)
		w.note("small statement %s %q: %.60q", id, text, result)
	}
}
