package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// tenantDialer is a target that accepts a limited number of connections at a time and
// counts how it is dialed.
type tenantDialer struct {
	// handshake is how long a dial takes.
	handshake time.Duration

	mu sync.Mutex
	// limit is the number of connections that the target accepts; dead counts those of
	// stopped daemons that it still counts.
	limit, dead    int              // guarded by mu
	open, maxOpen  int              // guarded by mu
	dials, refused int              // guarded by mu
	fails          map[string]error // guarded by mu; makes dials for a tenant fail
}

// tenantConn is a connection to a tenantDialer.
type tenantConn struct {
	Conn
	dialer *tenantDialer
	tenant string
	closed atomic.Bool
	// ended is set if the target has closed the connection.
	ended atomic.Bool
	inUse atomic.Bool
}

func (d *tenantDialer) Dial(_ context.Context, _, _, tenant, _ string) (Conn, error) {
	time.Sleep(d.handshake)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	if err := d.fails[tenant]; err != nil {
		return nil, err
	}
	if d.open+d.dead >= d.limit {
		d.refused++
		return nil, &RefusedError{Code: query.TooManyConnections}
	}
	d.open++
	d.maxOpen = max(d.maxOpen, d.open)
	return &tenantConn{dialer: d, tenant: tenant}, nil
}

func (c *tenantConn) Alive() bool { return !c.ended.Load() }

func (c *tenantConn) Close() error {
	if !c.closed.Swap(true) && !c.ended.Load() {
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		c.dialer.open--
	}
	return nil
}

// counts returns the dials and refusals so far, and the most connections open at once.
func (d *tenantDialer) counts() (dials, refused, maxOpen int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials, d.refused, d.maxOpen
}

// newTenantPool returns the pool of a target.
func newTenantPool(d Dialer, limit int) *Pool {
	target := NewTarget(catalog.Target{ID: "i-1", Slots: 4}, d)
	target.Pool.SetLimits(1, limit)
	return target.Pool
}

// connOf returns the connection to a tenantDialer in a pooled connection.
func connOf(c *PooledConn) *tenantConn {
	return c.Conn.(*tenantConn)
}

// waitForWaiters waits until a number of requests wait for a connection.
func waitForWaiters(p *Pool, n int) {
	for {
		p.mu.Lock()
		waiting := len(p.waiters)
		p.mu.Unlock()
		if waiting >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// tenantLoad is a number of callers that compete for the connections of a pool, and what
// they saw.
type tenantLoad struct {
	pool                              *Pool
	wrong, shared, timedOut, requests atomic.Int64
}

// run runs statements of random tenants, some of them control statements, and loses one
// of 20 connections.
func (l *tenantLoad) run(random *rand.Rand, session uint64, tenants, rounds int) {
	for range rounds {
		tenant := ""
		if n := random.IntN(tenants + 1); n < tenants {
			tenant = fmt.Sprintf("tenant-%d", n)
		}
		until := time.Now().Add(10 * time.Second)
		control := random.IntN(20) == 0
		acquire := func() (*PooledConn, Verdict) { return l.pool.AcquireFor(tenant, session, random.IntN(3), until) }
		if control {
			acquire = func() (*PooledConn, Verdict) { return l.pool.AcquireControl(until) }
		}
		l.requests.Add(1)
		c, verdict := acquire()
		if verdict != Acquired {
			l.timedOut.Add(1)
			continue
		}
		conn := connOf(c)
		if !control && (conn.tenant != tenant || c.Tenant() != tenant) {
			l.wrong.Add(1)
		}
		if conn.inUse.Swap(true) || conn.closed.Load() {
			l.shared.Add(1)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Microsecond)
		conn.inUse.Store(false)
		if random.IntN(20) == 0 {
			l.pool.Discard(c)
		} else {
			l.pool.Release(c)
		}
	}
}

// Guards against a statement that runs on the connection of another tenant, and against two
// statements on one connection: the target applies the rights of the tenant that the
// connection was opened for. Guards too against wake-ups that are lost, which leave
// requests waiting beside free connections.
func TestConnectionServesOneTenant(t *testing.T) {
	Convey("However tenants compete, a statement only gets a connection of its own tenant, all are served, and the limit holds", t, func() {
		const tenants, limit, workers, rounds = 9, 4, 24, 60
		d := &tenantDialer{limit: limit + 1, handshake: time.Millisecond}
		load := &tenantLoad{pool: newTenantPool(d, limit)}
		var wg sync.WaitGroup
		for worker := range workers {
			wg.Go(func() { load.run(rand.New(rand.NewPCG(1, uint64(worker))), uint64(worker), tenants, rounds) })
		}
		wg.Wait()
		So(load.wrong.Load(), ShouldEqual, 0)
		So(load.shared.Load(), ShouldEqual, 0)
		So(load.timedOut.Load(), ShouldEqual, 0)
		So(load.requests.Load(), ShouldEqual, workers*rounds)
		_, refused, maxOpen := d.counts()
		So(refused, ShouldEqual, 0)
		So(maxOpen, ShouldBeLessThanOrEqualTo, limit+1)
		p := load.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		So(p.dialing, ShouldEqual, 0)
		So(p.open, ShouldEqual, len(p.idle))
		open := 0
		for _, n := range p.tenants {
			So(n.dialing, ShouldEqual, 0)
			open += n.open
		}
		So(open, ShouldEqual, p.open)
	})
}

// Guards against a connection that is opened over the limit, or before the one that it
// replaces is closed: a target at its limit resets the new connection.
func TestIdleConnectionIsReplaced(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(2 * time.Second) }
	Convey("At the limit of the target, an idle connection of another tenant is closed before one is opened", t, func() {
		const limit = 3
		d := &tenantDialer{limit: limit, handshake: time.Millisecond}
		p := newTenantPool(d, limit)
		for _, tenant := range []string{"a", "b", "c", "d", "e", "a"} {
			c, verdict := p.AcquireFor(tenant, 1, 0, soon())
			So(verdict, ShouldEqual, Acquired)
			So(connOf(c).tenant, ShouldEqual, tenant)
			p.Release(c)
		}
		_, refused, maxOpen := d.counts()
		So(refused, ShouldEqual, 0)
		So(maxOpen, ShouldEqual, limit)
	})
	Convey("The second idle connection of a tenant is closed before the only one of another", t, func() {
		d := &tenantDialer{limit: 3, handshake: time.Millisecond}
		p := newTenantPool(d, 3)
		only, _ := p.AcquireFor("only", 1, 0, soon())
		p.Release(only)
		first, _ := p.AcquireFor("two", 1, 0, soon())
		second, _ := p.AcquireFor("two", 2, 0, soon())
		p.Release(first)
		p.Release(second)
		_, verdict := p.AcquireFor("new", 1, 0, soon())
		So(verdict, ShouldEqual, Acquired)
		So(connOf(only).closed.Load(), ShouldBeFalse)
	})
	Convey("A control statement uses a connection of any tenant, which stays with its tenant", t, func() {
		d := &tenantDialer{limit: 1}
		p := newTenantPool(d, 1)
		c, _ := p.AcquireFor("a", 1, 0, soon())
		p.Release(c)
		control, verdict := p.AcquireControl(soon())
		So(verdict, ShouldEqual, Acquired)
		So(control, ShouldEqual, c)
		p.Release(control)
		other, verdict := p.AcquireFor("b", 1, 0, soon())
		So(verdict, ShouldEqual, Acquired)
		So(connOf(other).tenant, ShouldEqual, "b")
	})
}

// Guards against requests that wait although they could be served: the connection that
// they wait for is released by another tenant, closed, or not opened.
func TestWaitingTenantsAreServed(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(2 * time.Second) }
	Convey("Given a pool whose only connection is in use by one tenant while another waits", t, func() {
		d := &tenantDialer{limit: 1, handshake: time.Millisecond}
		p := newTenantPool(d, 1)
		a, verdict := p.AcquireFor("a", 1, 0, soon())
		So(verdict, ShouldEqual, Acquired)
		got := make(chan Verdict, 1)
		go func() {
			_, verdict := p.AcquireFor("b", 2, 0, soon())
			got <- verdict
		}()
		waitForWaiters(p, 1)
		Convey("its release serves the other tenant", func() {
			p.Release(a)
			So(<-got, ShouldEqual, Acquired)
		})
		Convey("its loss serves the other tenant", func() {
			p.Discard(a)
			So(<-got, ShouldEqual, Acquired)
		})
		Convey("a higher limit serves the other tenant", func() {
			d.mu.Lock()
			d.limit = 2
			d.mu.Unlock()
			p.SetLimits(1, 2)
			So(<-got, ShouldEqual, Acquired)
		})
	})
	Convey("A tenant whose requests always wait does not keep the only connection", t, func() {
		d := &tenantDialer{limit: 1, handshake: time.Millisecond}
		p := newTenantPool(d, 1)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for worker := range 4 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if c, verdict := p.AcquireFor("busy", uint64(worker), 0, soon()); verdict == Acquired {
						time.Sleep(2 * time.Millisecond)
						p.Release(c)
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		const requests = 5
		for range requests {
			c, verdict := p.AcquireFor("rare", 9, 0, soon())
			So(verdict, ShouldEqual, Acquired)
			p.Release(c)
		}
		close(stop)
		wg.Wait()
		dials, _, _ := d.counts()
		So(dials, ShouldBeLessThanOrEqualTo, 2*requests+1)
	})
}

// Guards against a tenant whose connections can't be opened, which would fail or delay the
// requests of the others.
func TestDialFailsForOneTenant(t *testing.T) {
	for name, err := range map[string]error{"is refused": &RefusedError{Code: query.Unauthorized}, "fails": errors.New("broken")} {
		Convey("The dial for one tenant "+name+", and others are served", t, func() {
			d := &tenantDialer{limit: 3, handshake: 5 * time.Millisecond, fails: map[string]error{"bad": err}}
			p := newTenantPool(d, 1)
			good, verdict := p.AcquireFor("good", 1, 0, time.Now().Add(time.Second))
			So(verdict, ShouldEqual, Acquired)
			verdicts := map[string]chan Verdict{"bad": make(chan Verdict, 1), "other": make(chan Verdict, 1)}
			for i, tenant := range []string{"bad", "other"} {
				go func() {
					_, verdict := p.AcquireFor(tenant, 2, 0, time.Now().Add(5*time.Second))
					verdicts[tenant] <- verdict
				}()
				waitForWaiters(p, i+1)
			}
			began := time.Now()
			p.SetLimits(1, 2)
			So(<-verdicts["other"], ShouldEqual, Acquired)
			p.Release(good)
			So(<-verdicts["bad"], ShouldEqual, Unreachable)
			So(time.Since(began), ShouldBeLessThan, time.Second)
			var refused *RefusedError
			if errors.As(err, &refused) {
				So(p.target.State(boottime.Now()).FailingFor, ShouldEqual, 0)
			}
		})
	}
}

// Guards against a target that counts as failing because its health can't be checked while
// all connections wait for answers and the target has lately had no room.
func TestControlAfterFullTarget(t *testing.T) {
	Convey("A control statement opens a connection as soon as the backoff without tenants ends", t, func() {
		d := &tenantDialer{limit: 1, handshake: time.Millisecond}
		p := newTenantPool(d, 2)
		_, verdict := p.AcquireFor("a", 1, 0, time.Now().Add(time.Second))
		So(verdict, ShouldEqual, Acquired)
		_, verdict = p.AcquireFor("b", 1, 0, time.Now().Add(20*time.Millisecond))
		So(verdict, ShouldEqual, TimedOut)
		So(p.Full(), ShouldBeTrue)
		d.mu.Lock()
		d.limit = 3
		d.mu.Unlock()
		c, verdict := p.AcquireControl(time.Now().Add(controlTimeout))
		So(verdict, ShouldEqual, Acquired)
		So(connOf(c).tenant, ShouldEqual, "")
	})
}
