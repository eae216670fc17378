package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
)

// zipfTenant returns the name of one of 80 tenants, of which a few are drawn often.
func zipfTenant(random *rand.Rand) string {
	const tenants, skew = 80, 1.2
	total := 0.0
	for i := range tenants {
		total += math.Pow(float64(i+1), -skew)
	}
	x := random.Float64() * total
	for i := range tenants {
		if x -= math.Pow(float64(i+1), -skew); x < 0 {
			return fmt.Sprintf("tenant-%d", i)
		}
	}
	return "tenant-0"
}

// restartResult is what the homes of a target saw after a restart of all of them.
type restartResult struct {
	// early and late count the requests while the target counts the connections of the
	// stopped daemons and after that, and servedEarly and servedLate those that got a
	// connection within a second.
	early, servedEarly, late, servedLate atomic.Int64
	dials, refused, maxOpen              int
}

// restartAll plays the load of homes that start at once at a target which still counts
// their old connections for a time.
func restartAll(homes int, d *tenantDialer, limit int, stale, length time.Duration, tenant func(*rand.Rand) string) *restartResult {
	const interval, serviceTime = 50 * time.Millisecond, 25 * time.Millisecond
	result := &restartResult{}
	var wg sync.WaitGroup
	began := time.Now()
	time.AfterFunc(stale, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.dead = 0
	})
	for home := range homes {
		pool := NewTarget(catalog.Target{ID: "i-1", Slots: 4}, d).Pool
		pool.SetKeepIdle(true)
		pool.SetLimits(1, limit)
		random := rand.New(rand.NewPCG(3, uint64(home)))
		wg.Go(func() {
			for time.Since(began) < length {
				name := tenant(random)
				wg.Go(func() {
					requests, served := &result.late, &result.servedLate
					if time.Since(began) < stale {
						requests, served = &result.early, &result.servedEarly
					}
					requests.Add(1)
					c, verdict := pool.AcquireFor(name, 1, 0, time.Now().Add(time.Second))
					if verdict != Acquired {
						return
					}
					served.Add(1)
					time.Sleep(serviceTime)
					pool.Release(c)
				})
				time.Sleep(time.Duration(2 * random.Float64() * float64(interval)))
			}
		})
	}
	wg.Wait()
	result.dials, result.refused, result.maxOpen = d.counts()
	return result
}

// Guards against homes that dial a full target for every tenant: after a loss of power the
// target counts the connections of the stopped daemons for 3 s, and resets those over its
// cap.
func TestHomesWithTenantsRestartAtOnce(t *testing.T) {
	const homes, capacity, limit = 6, 82, 11
	const stale, length = 3 * time.Second, 5 * time.Second
	play := func(dead int, tenant func(*rand.Rand) string) *restartResult {
		d := &tenantDialer{limit: capacity, dead: dead, handshake: handshakeTime}
		r := restartAll(homes, d, limit, stale, length, tenant)
		t.Logf("%d old connections: served %d of %d while they count and %d of %d after; %d dials, %d refused, at most %d open",
			dead, r.servedEarly.Load(), r.early.Load(), r.servedLate.Load(), r.late.Load(), r.dials, r.refused, r.maxOpen)
		return r
	}
	// room is the number of connections that a home has while the old ones count. A pool
	// dials as many at once as are established, and after a refusal one for each backoff.
	const room = (capacity - homes*limit + homes - 1) / homes
	const allowed = homes * (room + int(stale/fullBackoff))
	Convey("Homes that restart at once are refused no more often than the backoff allows, and recover", t, func() {
		var without, with *restartResult
		var wg sync.WaitGroup
		wg.Go(func() { without = play(homes*limit, func(*rand.Rand) string { return "" }) })
		wg.Go(func() { with = play(homes*limit, zipfTenant) })
		wg.Wait()
		So(without.refused, ShouldBeLessThanOrEqualTo, allowed)
		So(with.refused, ShouldBeLessThanOrEqualTo, allowed)
		So(with.servedLate.Load(), ShouldEqual, with.late.Load())
		So(with.maxOpen, ShouldBeLessThanOrEqualTo, capacity)
	})
	Convey("Homes that find no old connections are never refused", t, func() {
		with := play(0, zipfTenant)
		So(with.refused, ShouldEqual, 0)
		So(with.servedEarly.Load(), ShouldEqual, with.early.Load())
	})
}

// Guards against a request that waits for the rest of the backoff although transactions now
// hold all connections that could have served other tenants meanwhile.
func TestDialWhenTransactionsHoldAllConnections(t *testing.T) {
	Convey("When a transaction takes the last connection, a connection for a waiting tenant is opened at once", t, func() {
		d := &tenantDialer{limit: 1}
		p := newTenantPool(d, 4)
		until := time.Now().Add(growBackoff - fullBackoff)
		c, verdict := p.AcquireFor("a", 1, 0, until)
		So(verdict, ShouldEqual, Acquired)
		So(p.ReserveTransaction("a", until), ShouldBeTrue)
		got := make(chan Verdict, 1)
		go func() {
			_, v := p.AcquireFor("b", 2, 0, until)
			got <- v
		}()
		waitForWaiters(p, 1)
		time.Sleep(2 * fullBackoff)
		d.mu.Lock()
		d.limit = 2
		d.mu.Unlock()
		So(got, ShouldBeEmpty)
		p.Pin(c)
		So(<-got, ShouldEqual, Acquired)
	})
}

// Guards against a home that closes one idle connection after the other for new ones that a
// full target refuses, and against one that is refused for each request of other tenants.
func TestBackoffOfReplacements(t *testing.T) {
	Convey("However many tenants ask, a full target refuses one replacement per backoff", t, func() {
		const limit = 8
		d := &tenantDialer{limit: limit, handshake: time.Millisecond}
		p := newTenantPool(d, limit)
		for i := range limit {
			c, verdict := p.AcquireFor(fmt.Sprint("old-", i), 1, 0, time.Now().Add(time.Second))
			So(verdict, ShouldEqual, Acquired)
			p.Release(c)
		}
		d.mu.Lock()
		d.dead = limit
		d.mu.Unlock()
		const length = 3 * fullBackoff / 2
		var wg sync.WaitGroup
		for began := time.Now(); time.Since(began) < length; time.Sleep(time.Millisecond) {
			tenant := fmt.Sprint("new-", time.Since(began)/time.Millisecond)
			wg.Go(func() { p.AcquireFor(tenant, 1, 0, time.Now().Add(10*time.Millisecond)) })
		}
		wg.Wait()
		_, refused, _ := d.counts()
		// Dials that run when the first one is refused are refused too: those of the requests
		// that came within a handshake.
		const first = 3
		So(refused, ShouldBeBetweenOrEqual, 1, first+int(length/fullBackoff))
	})
}

// end closes a connection at the target.
func (c *tenantConn) end() {
	if !c.closed.Load() && !c.ended.Swap(true) {
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		c.dialer.open--
	}
}

// Guards against a statement on a connection that the target has closed while it was idle,
// and against a pool that counts such connections as open for good.
func TestTargetClosesIdleConnections(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(2 * time.Second) }
	Convey("Given a pool whose idle connections the target has closed", t, func() {
		const limit = 4
		d := &tenantDialer{limit: limit, handshake: time.Millisecond}
		p := newTenantPool(d, limit)
		p.SetKeepIdle(true)
		for i := range limit {
			c, verdict := p.AcquireFor(fmt.Sprint(i), 1, 0, soon())
			So(verdict, ShouldEqual, Acquired)
			p.Release(c)
			defer connOf(c).end()
			connOf(c).end()
		}
		time.Sleep(2 * aliveCheckIdle)
		Convey("tenants get new ones", func() {
			for i := range 2 * limit {
				c, verdict := p.AcquireFor(fmt.Sprint(i), 1, 0, soon())
				So(verdict, ShouldEqual, Acquired)
				So(c.Alive(), ShouldBeTrue)
				p.Release(c)
			}
			_, refused, _ := d.counts()
			So(refused, ShouldEqual, 0)
		})
		Convey("they are no longer counted after a trim, and reads are not drawn to them", func() {
			So(p.OpeningCost("0"), ShouldEqual, 0)
			p.Trim(time.Now(), true)
			So(p.open, ShouldEqual, 0)
			So(p.OpeningCost("0"), ShouldEqual, p.openTime)
		})
	})
}

// Guards against idle connections that are closed although their tenants will need them
// again, and against those that stay while the target has no room for other homes.
func TestTrimWithTenants(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(2 * time.Second) }
	Convey("Given a pool with idle connections, two of one tenant", t, func() {
		const limit = 5
		d := &tenantDialer{limit: limit, handshake: time.Millisecond}
		p := newTenantPool(d, limit)
		p.SetKeepIdle(true)
		var conns []*PooledConn
		for _, tenant := range []string{"a", "b", "b", "c"} {
			c, verdict := p.AcquireFor(tenant, 1, 0, soon())
			So(verdict, ShouldEqual, Acquired)
			conns = append(conns, c)
		}
		for _, c := range conns {
			p.Release(c)
		}
		later := time.Now().Add(2 * surplusIdleTimeout)
		Convey("they are kept while the group is in use", func() {
			p.Trim(later, true)
			So(p.open, ShouldEqual, 4)
		})
		Convey("they are closed if it is not", func() {
			p.Trim(later, false)
			So(p.open, ShouldEqual, 0)
		})
		Convey("after the target had no room, the second one of a tenant is closed first", func() {
			p.fullAt = time.Now()
			p.Trim(later, true)
			So(p.open, ShouldEqual, 3)
			So(connOf(conns[1]).closed.Load(), ShouldBeTrue)
			p.Trim(later, true)
			So(p.open, ShouldEqual, 2)
			Convey("and the rest is kept once that is long ago", func() {
				p.Trim(time.Now().Add(2*fullMemory), true)
				So(p.open, ShouldEqual, 2)
			})
		})
		Convey("those above a lower limit are closed", func() {
			p.SetLimits(1, 2)
			p.Trim(time.Now(), true)
			So(p.open, ShouldEqual, 2)
		})
	})
}

// Guards against a tenant's reads that are sent to a target where a connection has to be
// opened or closed, and against costs in a deployment without tenants.
func TestOpeningCost(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(2 * time.Second) }
	Convey("The cost of opening depends on the connections of the tenant and on the room", t, func() {
		p := newTenantPool(&tenantDialer{limit: 2}, 2)
		So(p.OpeningCost("a"), ShouldEqual, 0)
		p.SetKeepIdle(true)
		So(p.OpeningCost("a"), ShouldEqual, p.openTime)
		a, _ := p.AcquireFor("a", 1, 0, soon())
		b, _ := p.AcquireFor("b", 1, 0, soon())
		So(p.OpeningCost("a"), ShouldEqual, p.openTime)
		So(p.OpeningCost("c"), ShouldEqual, evictionCostFactor*p.openTime)
		p.Release(a)
		p.Release(b)
		So(p.OpeningCost("a"), ShouldEqual, 0)
		So(p.OpeningCost("c"), ShouldEqual, evictionCostFactor*p.openTime)
	})
}

// Guards against replicas that keep the small limit of deployments without tenants, and
// against a deployment without tenants that keeps idle connections.
func TestDeclareTenants(t *testing.T) {
	Convey("With tenants in the configuration, a replica gets the full share and keeps idle connections", t, func() {
		r := newRegistry(t)
		r.PutTarget(catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3})
		configuration := &catalog.Configuration{Groups: map[string]catalog.GroupLimits{"g": {Name: "g", MaxConnections: 82}}}
		pool := r.Group("g").Targets()[0].Pool
		state := func() (limit int, keepIdle bool) {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.limit, pool.keepIdle
		}
		r.Declare(configuration)
		limit, keepIdle := state()
		So(limit, ShouldEqual, 3+localExtraConnections)
		So(keepIdle, ShouldBeFalse)
		configuration.Tenants = map[string]catalog.Tenant{}
		r.Declare(configuration)
		limit, keepIdle = state()
		So(limit, ShouldEqual, 82-82/freeShareDivisor)
		So(keepIdle, ShouldBeTrue)
		r.PutTarget(catalog.Target{ID: "i-2", Group: "g", Address: "10.0.0.2:1", FailureDomain: "north", Slots: 3})
		pool = r.Group("g").FindTarget("i-2").Pool
		limit, keepIdle = state()
		So(limit, ShouldEqual, 82-82/freeShareDivisor)
		So(keepIdle, ShouldBeTrue)
	})
}
