package ratelimit

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// This file simulates the daemons of a fleet in virtual time, without a network.

// domainNames are the failure domains, three in each of two regions.
var domainNames = []string{"a1", "a2", "a3", "b1", "b2", "b3"}

func regionsOf() map[string]string {
	regions := map[string]string{}
	for _, d := range domainNames {
		regions[d] = d[:1]
	}
	return regions
}

// oneWay returns the latency between two failure domains: round trips take 1 ms within a
// domain, 15 ms within a region, and 60 ms between regions.
func oneWay(x, y string) time.Duration {
	switch {
	case x == y:
		return 500 * time.Microsecond
	case x[:1] == y[:1]:
		return 7500 * time.Microsecond
	default:
		return 30 * time.Millisecond
	}
}

// lossDelay is how long a silent connection lasts before the daemon counts as unreachable.
const lossDelay = 700 * time.Millisecond

// simFleet is a simulated fleet.
type simFleet struct {
	start   time.Time
	daemons []*simDaemon
	byName  map[string]*simDaemon
	loops   sync.WaitGroup
	ctx     context.Context

	mu       sync.Mutex
	messages map[peer.QuotaKind]int
	// between counts the messages that crossed failure domains.
	between int
}

// simDaemon is one daemon. It implements Network.
type simDaemon struct {
	fleet *simFleet
	self  fleet.VM

	mu      sync.Mutex
	limiter *Limiter           // guarded by mu; nil while the process does not run
	cancel  context.CancelFunc // guarded by mu
	// group is the part of the network that the daemon is in; daemons of different groups
	// don't reach each other.
	group   int            // guarded by mu
	tracker *fleet.Tracker // guarded by mu
	view    *fleet.View    // guarded by mu
}

// newFleet starts a fleet of n daemons. It must be called in a synctest bubble.
func newFleet(ctx context.Context, n int) *simFleet {
	f := &simFleet{start: time.Now(), byName: map[string]*simDaemon{}, ctx: ctx, messages: map[peer.QuotaKind]int{}}
	for i := range n {
		name := fmt.Sprintf("vm%03d", i)
		d := &simDaemon{fleet: f, self: fleet.VM{
			Name: name, FailureDomain: domainNames[i%len(domainNames)], Reachable: true,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		}}
		f.daemons = append(f.daemons, d)
		f.byName[name] = d
	}
	for _, d := range f.daemons {
		d.run()
	}
	return f
}

func (f *simFleet) now() time.Duration { return time.Since(f.start) + time.Hour }

// run starts the process of the daemon.
func (d *simDaemon) run() {
	ctx, cancel := context.WithCancel(d.fleet.ctx)
	l := New(Options{
		Self: d.self.Name, Domain: d.self.FailureDomain, Regions: regionsOf(), Slack: 20, Network: d, Now: d.fleet.now, Log: eventlog.Discard(),
	})
	var vms []store.VM
	for _, other := range d.fleet.daemons {
		vms = append(vms, store.VM{Name: other.self.Name, Address: other.self.Peer.String(), FailureDomain: other.self.FailureDomain, State: store.VMLive})
	}
	d.mu.Lock()
	d.tracker = fleet.NewTracker(d.self, nil)
	d.tracker.SetListed(time.Now(), vms)
	d.view = d.tracker.View(time.Now())
	d.limiter, d.cancel = l, cancel
	d.mu.Unlock()
	d.fleet.loops.Go(func() { l.Run(ctx) })
	d.fleet.loops.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			d.record(func(*fleet.Tracker) {})
		}
	})
}

// kill ends the process of the daemon.
func (d *simDaemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel()
	d.limiter = nil
}

// moveTo moves the daemon to another part of the network.
func (d *simDaemon) moveTo(group int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.group = group
}

func (d *simDaemon) status() (l *Limiter, group int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter, d.group
}

// record changes the daemon's view of the fleet.
func (d *simDaemon) record(change func(*fleet.Tracker)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.tracker)
	if view := d.tracker.View(time.Now()); !view.Equal(d.view) {
		d.view = view
	}
}

func (d *simDaemon) currentView() *fleet.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

func (d *simDaemon) Known() bool { return true }

func (d *simDaemon) QuotaOwners(domain, tenant string) []string {
	var names []string
	for _, vm := range d.currentView().QuotaOwners(domain, tenant) {
		names = append(names, vm.Name)
	}
	return names
}

func (d *simDaemon) Neighbors() []string {
	var names []string
	for _, other := range d.fleet.daemons {
		if other != d && other.self.FailureDomain == d.self.FailureDomain {
			names = append(names, other.self.Name)
		}
	}
	return names
}

func (d *simDaemon) CallQuota(name string, r peer.QuotaRequest, timeout time.Duration) (peer.QuotaResponse, error) {
	to := d.fleet.byName[name]
	delay := oneWay(d.self.FailureDomain, to.self.FailureDomain)
	d.fleet.count(r.Kind, d.self.FailureDomain != to.self.FailureDomain)
	done := make(chan peer.QuotaResponse, 1)
	refused := make(chan struct{})
	go func() {
		time.Sleep(delay)
		if !d.reaches(to) {
			return
		}
		l, _ := to.status()
		if l == nil {
			time.Sleep(delay)
			close(refused)
			return
		}
		answer := l.HandleQuota(d.self.Name, r)
		time.Sleep(delay)
		if still, _ := to.status(); still == l && d.reaches(to) {
			done <- answer
		}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-done:
		d.record(func(t *fleet.Tracker) { t.RecordAnswer(time.Now(), to.self) })
		return answer, nil
	case <-refused:
		d.record(func(t *fleet.Tracker) { t.RecordRefusal(time.Now(), name) })
		return peer.QuotaResponse{}, syscall.ECONNREFUSED
	case <-timer.C:
		time.AfterFunc(max(0, lossDelay-timeout), func() {
			if !d.reaches(to) {
				d.record(func(t *fleet.Tracker) {
					for range fleet.FailureThreshold {
						t.RecordFailure(time.Now(), name)
					}
				})
			}
		})
		return peer.QuotaResponse{}, peer.ErrQuotaSilent
	}
}

func (d *simDaemon) reaches(to *simDaemon) bool {
	_, own := d.status()
	_, other := to.status()
	return own == other
}

func (f *simFleet) count(k peer.QuotaKind, between bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages[k]++
	if between {
		f.between++
	}
}

// sent returns the number of messages that ask for operations, and of all messages that
// crossed failure domains.
func (f *simFleet) sent() (admit, between int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messages[peer.QuotaAdmit], f.between
}

// inDomain returns the running daemons of a failure domain.
func (f *simFleet) inDomain(domain string) []*simDaemon {
	var out []*simDaemon
	for _, d := range f.daemons {
		if l, _ := d.status(); l != nil && d.self.FailureDomain == domain {
			out = append(out, d)
		}
	}
	return out
}

// load is the demand of one tenant.
type load struct {
	tenant catalog.Tenant
	// version is the version of the configuration; 0 means 1.
	version uint64
	// perSecond is the number of operations a second in all failure domains together.
	perSecond float64
	// weights returns the parts of the failure domains at a time.
	weights func(at time.Duration) []float64
}

// operation is the outcome of one operation.
type operation struct {
	asked, at  time.Duration // since the start of the load
	ok         bool
	reason     string
	retryAfter time.Duration
	daemon     *simDaemon
}

// offer sends the operations of l for a time and returns their outcomes in the order of at.
// Arrivals are random, the same for the same seed.
func (f *simFleet) offer(l load, duration time.Duration, seed uint64) []operation {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var mu sync.Mutex
	var out []operation
	var pending sync.WaitGroup
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
		at := time.Since(start)
		if at > duration {
			break
		}
		domain := pick(random, l.weights(at))
		daemons := f.inDomain(domainNames[domain])
		if len(daemons) == 0 {
			continue
		}
		d := daemons[random.IntN(len(daemons))]
		limiter, _ := d.status()
		if limiter == nil {
			continue
		}
		pending.Go(func() {
			retryAfter, reason, ok := limiter.Admit(l.tenant, max(1, l.version))
			if still, _ := d.status(); still != limiter {
				return // the process was killed
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, operation{asked: at, at: time.Since(start), ok: ok, reason: reason, retryAfter: retryAfter, daemon: d})
		})
	}
	pending.Wait()
	return out
}

// pick returns an index with a probability in proportion to its weight.
func pick(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := random.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// evenly gives each failure domain the same part.
func evenly(time.Duration) []float64 { return []float64{1, 1, 1, 1, 1, 1} }

// wandering gives one failure domain after the other the whole demand, each for period. The
// demand moves within the first second of a period.
func wandering(period time.Duration) func(time.Duration) []float64 {
	return func(at time.Duration) []float64 {
		weights := make([]float64, len(domainNames))
		i := int(at / period)
		// The stride visits domains of both regions.
		current, last := i*2%len(weights)+i/3%2, (i-1+len(weights)*100)*2%len(weights)
		if i > 0 {
			last = (i-1)*2%len(weights) + (i-1)/3%2
		}
		moved := min(1, (at % period).Seconds())
		weights[last] += 1 - moved
		weights[current] += moved
		return weights
	}
}

// countAllowed returns the number of admitted operations whose outcome came from first to
// last.
func countAllowed(ops []operation, first, last time.Duration) int {
	n := 0
	for _, o := range ops {
		if o.ok && o.at >= first && o.at < last {
			n++
		}
	}
	return n
}

// quotaWindow, and the tolerance and slack of requirement 6.
const (
	quotaWindow    = 5 * time.Second
	quotaTolerance = 0.1
	quotaSlack     = 20
)

func bound(t catalog.Tenant) float64 {
	return (t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaTolerance) + quotaSlack
}

// worstWindow returns the largest number of operations admitted in any window.
func worstWindow(ops []operation) int {
	var times []time.Duration
	for _, o := range ops {
		if o.ok {
			times = append(times, o.at)
		}
	}
	slices.Sort(times)
	worst, first := 0, 0
	for i, at := range times {
		for at-times[first] > quotaWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// refusedPart returns the part of the operations asked for from first to last that were
// refused.
func refusedPart(ops []operation, first, last time.Duration) float64 {
	refused, all := 0, 0
	for _, o := range ops {
		if o.asked < first || o.asked >= last {
			continue
		}
		all++
		if !o.ok {
			refused++
		}
	}
	if all == 0 {
		return math.NaN()
	}
	return float64(refused) / float64(all)
}

// simulate runs a scenario on a fleet of 75 daemons in virtual time.
func simulate(t *testing.T, scenario func(f *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 75)
		scenario(f)
		cancel()
		f.loops.Wait()
		time.Sleep(5 * time.Second) // calls that are still in flight
	})
}
