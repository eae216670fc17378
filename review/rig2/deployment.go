//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Databases of the configuration: orders and its siblings are served by the first service,
// bookings by the second one.
const (
	database       = "orders"
	secondDatabase = "bookings"
)

// deployment is a small deployment with two services of three instances.
type deployment struct {
	store           *site.Store
	gate            *storeGate
	service, second *service
	cloud           *cloud
	fleet           *daemons
}

func (d *deployment) close() {
	d.fleet.kill()
	d.service.close()
	d.second.close()
	_ = d.cloud.server.Close()
	_ = d.gate.server.Close()
	d.store.Close()
}

// newDeployment starts eight daemons in three zones and two services, and waits until all are
// ready and have had time to settle.
func newDeployment(e *environment) (*deployment, error) { return newDeploymentWith(e, 0) }

// newDeploymentWith is newDeployment with a number of synchronous replicas.
func newDeploymentWith(e *environment, syncReplicas int) (*deployment, error) {
	subnet := pickSubnet()
	platformIP := subnet + "100"
	platform, err := site.NewStore(platformIP)
	if err != nil {
		return nil, err
	}
	d := &deployment{store: platform, fleet: &daemons{dir: e.dir, subnet: subnet, log: e.log}}
	for _, zone := range []string{"osijek", "osijek", "osijek", "split", "split", "split", "vukovar", "vukovar"} {
		d.fleet.add(fmt.Sprintf("front-%s-%d", zone, len(d.fleet.all)+1), zone)
	}
	one, two := d.fleet.serviceNames()
	route := func(host, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": "r-" + host, "host": host, "path_prefix": "/", "route_type": kind, "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 1, "service": service, "attempts": 2}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	declared := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "sync_replicas": syncReplicas}
	}
	platform.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route(database, "primary", one, nil),
			route("probes", "bounded_staleness", one, map[string]any{"max_staleness_ms": 1500, "timeout_ms": 2000}),
			route("logs", "read_your_writes", one, map[string]any{"max_staleness_ms": 2500}),
			route(secondDatabase, "primary", two, nil),
		},
		"services": []any{declared(one), declared(two)},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	if d.gate, err = newStoreGate(platformIP, platform, e.log); err != nil {
		return nil, err
	}
	places := []string{"osijek", "split", "vukovar"}
	if d.service, err = newService(one, platformIP, places, platform, e.log); err != nil {
		return nil, err
	}
	if d.second, err = newService(two, platformIP, places, platform, e.log); err != nil {
		return nil, err
	}
	d.service.syncReplicas, d.second.syncReplicas = syncReplicas, syncReplicas
	if d.cloud, err = newCloud(platformIP, e.log, d.service, d.second); err != nil {
		return nil, err
	}
	d.fleet.store, d.fleet.cloud = d.gate.addr, d.cloud.addr
	d.service.owner, d.second.owner = d.fleet.owner, d.fleet.owner
	for _, x := range d.fleet.all {
		if err := d.fleet.start(x, true); err != nil {
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
	for _, x := range d.fleet.all {
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

// checkOne checks ONE: no write that was acknowledged was committed at an old primary after the
// promote of a later term had taken effect.
func (s *service) checkOne(e *environment, acked []ackedWrite) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := map[string]run{}
	for _, r := range s.runs {
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
		if later, ok := s.promotedAt[r.term+1]; ok && r.at.After(later) {
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
	return held
}

// serviceNames returns two names of services whose home in each zone is the relay of that zone.
// The names of services are new each day; about one of nine is of this kind for a given zone of
// three daemons.
func (f *daemons) serviceNames() (one, two string) {
	view := f.view()
	fits := func(name string) bool {
		for zone := range zones {
			if view.HomesIn(zone, name, "")[0].Name != view.Relays(zone)[0].Name {
				return false
			}
		}
		return true
	}
	for i := 100; two == ""; i++ {
		name := fmt.Sprintf("svc%d", i)
		switch {
		case !fits(name):
		case one == "":
			one = name
		default:
			two = name
		}
	}
	return one, two
}

// isRelay reports whether a daemon is the relay of its zone.
func (f *daemons) isRelay(x *daemon) bool {
	return f.view().Relays(x.zone)[0].Name == x.name
}

// view returns the fleet as the daemons see it.
func (f *daemons) view() *fleet.View {
	var vms []fleet.VM
	for _, d := range f.all {
		vms = append(vms, fleet.VM{
			Name: d.name, FailureDomain: d.zone, Reachable: true,
			Peer: netip.AddrPortFrom(netip.MustParseAddr(d.ip), firstPort), Capacity: store.Capacity{Processor: 0.4, Link: 1000},
		})
	}
	return fleet.NewView(vms[0], vms)
}
