//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds and times of the case of a moved route.
const (
	// configurationBound and stableWindow are the bounds config_ms and stable_window_ms.
	configurationBound, stableWindow = 4 * time.Second, 5 * time.Second
	// changeDelay is the time from the silence of the connections to the new version.
	changeDelay = 200 * time.Millisecond
	// watchTime is how long the callers go on after the change.
	watchTime = 7 * time.Second
	// rounds deployments are played one after the other, each with zoneDaemons new daemons.
	rounds, zoneDaemons = 6, 4
	// Each round waits phaseStep longer before the connections go silent than the one before, so
	// that it comes at another moment of the daemons' watches of 2.5 s.
	firstWait, phaseStep = 4500 * time.Millisecond, 500 * time.Millisecond
)

// silentProxy passes the bytes between daemons and the store until its open connections go
// silent: they stay open and pass nothing any more, while new ones work.
type silentProxy struct {
	address string

	mu    sync.Mutex
	links []*atomic.Bool // guarded by mu; true if the connection is silent
}

// newSilentProxy starts a proxy to an address.
func newSilentProxy(to string) (*silentProxy, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &silentProxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			silent := &atomic.Bool{}
			p.mu.Lock()
			p.links = append(p.links, silent)
			p.mu.Unlock()
			go pass(in, out, silent)
			go pass(out, in, silent)
		}
	}()
	return p, nil
}

// silence makes the open connections silent and returns their number.
func (p *silentProxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Store(true)
	}
	return len(p.links)
}

// pass copies bytes until a connection ends, and drops them once it is silent.
func pass(to, from net.Conn, silent *atomic.Bool) {
	defer func() { _ = from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && !silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

// movedRoute plays callers that write to a database whose route moves to another service just
// after the open connections of the daemons to the store have gone silent.
func movedRoute(w *world, trouble bool) (bool, error) {
	w.group.StatementTime, w.second.StatementTime = 8*time.Millisecond, 8*time.Millisecond
	late := 0
	for round := range rounds {
		n, err := w.moveRoute(round, trouble)
		if err != nil {
			return false, err
		}
		late += n
		for _, d := range w.daemons {
			d.kill()
		}
		w.daemons = nil
	}
	w.note("run by the old service later than config_ms after the version, by machines in touch: %d", late)
	return late > 0, nil
}

// orderStatement is a write to the database whose route moves.
type orderStatement struct {
	id, daemon, result string
	at                 time.Time
}

// moveRoute plays one round and returns how many statements the old service ran too late.
func (w *world) moveRoute(round int, trouble bool) (int, error) {
	version := 10 * (round + 1)
	w.store.Put("config", "main", configuration(version, firstGroup).Spec())
	proxy, err := newSilentProxy(w.store.Address)
	if err != nil {
		return 0, err
	}
	w.storeAddress = proxy.address
	for i := range zoneDaemons {
		if _, err := w.start(fmt.Sprintf("front-osijek-%d", i+1), "osijek"); err != nil {
			return 0, err
		}
	}
	time.Sleep(firstWait + time.Duration(round)*phaseStep)
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []orderStatement
	var callers sync.WaitGroup
	for i, d := range w.daemons {
		callers.Go(func() {
			sent := w.writeOrders(d, fmt.Sprintf("m%d-%d", round, i), stop)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sent...)
		})
	}
	time.Sleep(2 * time.Second)
	silenced := time.Now()
	if trouble {
		w.note("round %d: %d connections to the store so far; the open ones go silent", round, proxy.silence())
	}
	time.Sleep(changeDelay)
	w.store.Put("config", "main", configuration(version+1, secondGroup).Spec())
	acknowledged := time.Now()
	w.note("round %d: version %d, which moves fan-orders to %s, is acknowledged", round, version+1, secondGroup)
	time.Sleep(watchTime)
	close(stop)
	callers.Wait()
	late := 0
	lastOld := map[string]time.Duration{}
	for _, s := range all {
		old := w.group.RunCount(s.id) > 0
		after := s.at.Sub(acknowledged)
		w.note("%s at %s, sent %s after the version: %.40q, run by the old service: %t", s.id, s.daemon, after.Round(time.Millisecond), s.result, old)
		if !old {
			continue
		}
		lastOld[s.daemon] = max(lastOld[s.daemon], after)
		if after > configurationBound && s.at.Sub(silenced) > stableWindow {
			late++
		}
	}
	for name, after := range lastOld {
		w.note("round %d: %s: the last statement run by the old service was sent %s after the version", round, name, after.Round(time.Millisecond))
	}
	return late, nil
}

// writeOrders plays a caller that writes an order each 50 ms until stop is closed.
func (w *world) writeOrders(d *daemon, name string, stop chan struct{}) []orderStatement {
	var sent []orderStatement
	var c *caller
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return sent
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialCaller(d.callers(), "fan-orders"); err != nil {
				c = nil
				continue
			}
		}
		s := orderStatement{id: fmt.Sprintf("%s-%d", name, n), daemon: d.name, at: time.Now()}
		if s.result = c.query(s.id, fmt.Sprintf("WRITE %s-%d x", name, n)); s.result == "" {
			c.close()
			c = nil
		}
		sent = append(sent, s)
	}
}
