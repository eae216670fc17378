//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

const database = "orders"

// deployment is a small deployment with one service of three instances.
type deployment struct {
	store   *site.Store
	service *service
	cloud   *cloud
	fleet   *fleet
}

func (d *deployment) close() {
	d.fleet.kill()
	d.service.close()
	_ = d.cloud.server.Close()
	d.store.Close()
}

// newDeployment starts eight daemons in three zones and one service, and waits until all are
// ready and have had time to settle.
func newDeployment(e *environment) (*deployment, error) {
	subnet := pickSubnet()
	platformIP := subnet + "100"
	store, err := site.NewStore(platformIP)
	if err != nil {
		return nil, err
	}
	route := func(host, kind string, extra map[string]any) map[string]any {
		r := map[string]any{"name": "r-" + host, "host": host, "path_prefix": "/", "route_type": kind, "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 1, "service": "svc", "attempts": 2}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route(database, "primary", nil),
			route("probes", "bounded_staleness", map[string]any{"max_staleness_ms": 1500, "timeout_ms": 2000}),
			route("logs", "read_your_writes", map[string]any{"max_staleness_ms": 2500}),
		},
		"services": []any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	d := &deployment{store: store}
	if d.service, err = newService("svc", platformIP, []string{"osijek", "split", "vukovar"}, store, e.log); err != nil {
		return nil, err
	}
	if d.cloud, err = newCloud(platformIP, e.log, d.service); err != nil {
		return nil, err
	}
	d.fleet = &fleet{dir: e.dir, subnet: subnet, store: store.Address, cloud: d.cloud.addr, log: e.log}
	for _, zone := range []string{"osijek", "osijek", "osijek", "split", "split", "split", "vukovar", "vukovar"} {
		daemon := d.fleet.add(fmt.Sprintf("front-%s-%d", zone, len(d.fleet.daemons)+1), zone)
		if err := d.fleet.start(daemon, true); err != nil {
			d.close()
			return nil, err
		}
	}
	if !d.fleet.awaitReady(10 * time.Second) {
		d.close()
		return nil, fmt.Errorf("daemons are not ready")
	}
	time.Sleep(4 * time.Second)
	e.log.event("rig", "eight daemons are ready")
	return d, nil
}

func (d *deployment) inZone(zone string) *daemon {
	for _, x := range d.fleet.daemons {
		if x.zone == zone {
			return x
		}
	}
	return nil
}

// traffic writes through one daemon, one write after the other, until stop is closed. A session
// that fails is opened again.
func (d *deployment) traffic(e *environment, wg *sync.WaitGroup, name string, to *daemon, database string, acked func(r reply, item string), stop chan struct{}) {
	defer wg.Done()
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		var err error
		if c == nil {
			if c, err = connect(e.log, name, to.front, database); err != nil {
				c = nil
				continue
			}
		}
		item := fmt.Sprintf("%s-%d", name, n)
		r, err := c.query("WRITE " + item + " v" + item)
		switch {
		case err != nil:
			c.close()
			c = nil
		case r.ok():
			acked(r, item)
		}
	}
}

// ackedWrite is a write that a client was told has succeeded.
type ackedWrite struct {
	reply
	item, client string
}

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
	return d.checkOne(e, acked), nil
}

// checkOne checks ONE: no write that was acknowledged was committed at an old primary after the
// promote of a later term had taken effect.
func (d *deployment) checkOne(e *environment, acked []ackedWrite) int {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	byID := map[string]run{}
	for _, r := range d.service.runs {
		if r.number > 0 {
			byID[r.id] = r
		}
	}
	e.log.event("check", "%d writes were acknowledged", len(acked))
	broke := 0
	byClient := map[string]int{}
	for _, w := range acked {
		byClient[w.client]++
		r, ok := byID[w.id]
		if !ok {
			e.log.event("check", "MIXED: %s was acknowledged and never committed", w.id)
			broke++
			continue
		}
		if later, ok := d.service.promotedAt[r.term+1]; ok && r.at.After(later) {
			broke++
			if broke <= 5 {
				e.log.event("check", "ONE: write %s of %s was committed at %s in term %d, %.1f s after the promote to term %d had taken effect, and acknowledged", w.id, w.client, r.instance, r.term, r.at.Sub(later).Seconds(), r.term+1)
			}
		}
	}
	e.log.event("check", "acknowledged by client: %v; %d break ONE", byClient, broke)
	if broke > 0 {
		return broken
	}
	if byClient["vukovar"] == 0 {
		e.log.event("check", "no write of vukovar was acknowledged")
	}
	return held
}
