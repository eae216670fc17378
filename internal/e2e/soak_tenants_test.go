package e2e

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// soakTenantBounds has a short window, so that the soak has windows after its last change
// of a limit.
var soakTenantBounds = site.TenantBounds{
	RevocationTime: 5 * time.Second, QuotaWindow: 2 * time.Second, QuotaTolerance: 0.1, QuotaSlack: 20,
}

// Keys of the soak's callers. Those in soakKeys always have an owner without a limit.
var soakKeys = []string{"key-larch", "key-maple", "key-oak"}

const (
	// movingKey always has an owner, but not always the same one.
	movingKey = "key-moving"
	// leakedKey and secondLeakedKey are revoked one after the other.
	leakedKey, secondLeakedKey = "key-leaked", "key-leaked-too"
	// overloadKey belongs to the tenant that sends more than its limit.
	overloadKey = "key-overload"
)

// Names of tenants that the checks refer to.
const (
	leakyTenant    = "poplar"
	overloadTenant = "rowan"
)

const (
	// overloadCallers send about nine times the limit of the tenant that overloads.
	overloadCallers = 6
	overloadPause   = 10 * time.Millisecond
	// firstChangeAfter is when the first key or limit changes, and meanChangeInterval the
	// mean pause between two changes. All changes are made in the first half of the soak,
	// so that the second shows what is in force afterwards.
	firstChangeAfter   = time.Second
	meanChangeInterval = time.Second
	// maxListedRuns is how many statements under a wrong tenant are listed.
	maxListedRuns = 20
)

// tenantChanges is what the operator of the soak has changed.
type tenantChanges struct {
	moved bool
	// leakedKeys are the keys that the leaky tenant still has.
	leakedKeys []string
	limit      site.Limit
}

// firstChanges is the state before the first change.
var firstChanges = tenantChanges{leakedKeys: []string{leakedKey, secondLeakedKey}, limit: site.Limit{Rate: 60, Burst: 30}}

// soakTenants returns the tenants after some changes.
func soakTenants(c tenantChanges) []site.Tenant {
	tenants := []site.Tenant{
		{Name: "larch", Keys: soakKeys[:1], Priority: 2}, {Name: "maple", Keys: soakKeys[1:2], Priority: 1}, {Name: "oak", Keys: soakKeys[2:]},
		{Name: leakyTenant, Keys: c.leakedKeys}, {Name: overloadTenant, Keys: []string{overloadKey}, Limit: &c.limit},
		{Name: "sorrel"}, {Name: "yew"},
	}
	mover := len(tenants) - 1
	if c.moved {
		mover--
	}
	tenants[mover].Keys = []string{movingKey}
	return tenants
}

// tenantLoad counts the replies to callers whose keys or limits change.
type tenantLoad struct {
	// served counts statements with a leaked key, of the overloading tenant and with the
	// moving key, refused those over the limit.
	servedLeaked, servedOver, servedMoving, refusedOver, withoutRetryAfter atomic.Int64
}

// runTenants starts the callers of the changing tenants and the operator, until stop is
// closed.
func (s *soak) runTenants(seed uint64, wg *sync.WaitGroup, stop chan struct{}) {
	source := func(i uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 300+i)) }
	for i, key := range []string{leakedKey, leakedKey, secondLeakedKey} {
		wg.Go(func() { s.useKey(key, source(uint64(i)), stop, &s.load.servedLeaked) })
	}
	wg.Go(func() { s.useKey(movingKey, source(10), stop, &s.load.servedMoving) })
	for i := range overloadCallers {
		wg.Go(func() { s.overload(source(uint64(20+i)), stop) })
	}
	wg.Go(func() { s.changeTenants(source(40), stop) })
}

// sleepUnless waits and reports false if stop is closed before.
func sleepUnless(stop chan struct{}, length time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(length):
		return true
	}
}

// changeTenants makes every change once, in random order, while the store serves.
func (s *soak) changeTenants(rng *rand.Rand, stop chan struct{}) {
	state, version := firstChanges, 1
	changes := []func(){
		func() { state.leakedKeys = []string{secondLeakedKey} },
		func() { state.leakedKeys = nil },
		func() { state.limit = site.Limit{Rate: 25, Burst: 10} },
		func() { state.limit = site.Limit{Rate: 90, Burst: 20} },
		func() { state.moved = true },
	}
	rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	pause := firstChangeAfter
	for _, change := range changes {
		if !sleepUnless(stop, pause) {
			return
		}
		change()
		version++
		s.outage.Lock()
		s.tenants = soakTenants(state)
		s.configure(version, "current", "session")
		s.outage.Unlock()
		pause = meanChangeInterval/2 + upTo(rng, meanChangeInterval)
	}
}

// useKey sends statements and transactions with a key that changes, also after the key was
// revoked.
func (s *soak) useKey(key string, rng *rand.Rand, stop chan struct{}, served *atomic.Int64) {
	for sleepUnless(stop, 20*time.Millisecond) {
		c, err := s.check.Connect(s.vms[rng.IntN(len(s.vms))].callerAddress, "current", key)
		if err != nil {
			continue
		}
		if c.Refused != "" && key == movingKey {
			s.checkKeyAccepted(key, c.Refused)
		}
		for c.Refused == "" && s.useOnce(c, key, rng, served) && sleepUnless(stop, 10*time.Millisecond) {
		}
		c.Close()
	}
}

// useOnce runs one unit and reports whether the session goes on.
func (s *soak) useOnce(c *site.Caller, key string, rng *rand.Rand, served *atomic.Int64) bool {
	if rng.IntN(3) == 0 {
		// A transaction that stays open for a while, so that it is open when its key goes.
		c.Query("BEGIN")
		ok := c.Query("WRITE " + key + " 1").OK()
		time.Sleep(upTo(rng, 400*time.Millisecond))
		if ok && c.Query("COMMIT").OK() {
			served.Add(1)
			return true
		}
		return false
	}
	r := c.Query("READ " + key)
	if r.OK() {
		served.Add(1)
	} else if key == movingKey {
		s.checkKeyAccepted(key, r.Completion)
	}
	return r.OK()
}

// overload sends statements of the tenant that overloads the fleet, without waiting as
// long as refusals ask for.
func (s *soak) overload(rng *rand.Rand, stop chan struct{}) {
	c := s.openSession(rng, "current", overloadKey)
	defer func() { c.Close() }()
	for sleepUnless(stop, overloadPause) {
		r := c.Query("READ shared")
		switch {
		case r.OK():
			s.load.servedOver.Add(1)
		case r.Code() == "TOOMANY":
			s.load.refusedOver.Add(1)
			if _, ok := r.RetryAfter(); !ok {
				s.load.withoutRetryAfter.Add(1)
			}
		case r.State == "":
			s.checkKeyAccepted(overloadKey, r.Completion)
			c.Close()
			c = s.openSession(rng, "current", overloadKey)
		}
	}
}

// checkTenants reports the violated guarantees of tenants, and whether the soak has played
// what it is to check.
func (s *soak) checkTenants() {
	wrong := s.check.WrongTenants(s.group)
	for _, w := range wrong[:min(len(wrong), maxListedRuns)] {
		s.t.Error(w)
	}
	if len(wrong) > 0 {
		s.t.Errorf("%d statements ran under a wrong tenant", len(wrong))
	}
	use := s.check.HighestUse(s.group, overloadTenant, soakTenantBounds)
	if use.Exceeded() {
		s.t.Errorf("%d operations of %s ran in the window that ends at %s, want %.1f or less", use.Ran, overloadTenant, use.End.Format(time.StampMilli), use.Allowed)
	}
	l := &s.load
	s.t.Logf("tenants: %d statements with leaked keys and %d with the moving key; over the limit %d served, %d refused; most in a window %d of %.1f; connections opened %v, %d over the cap of a target",
		l.servedLeaked.Load(), l.servedMoving.Load(), l.servedOver.Load(), l.refusedOver.Load(), use.Ran, use.Allowed, s.group.OpenedConnections(), s.group.RefusedConnections())
	if l.servedLeaked.Load() == 0 || l.servedMoving.Load() == 0 || l.servedOver.Load() == 0 {
		s.t.Error("callers of a tenant whose keys or limits change were never served")
	}
	if l.refusedOver.Load() <= l.servedOver.Load() {
		s.t.Errorf("the tenant over its limit was served %d times and refused %d times, want more refusals", l.servedOver.Load(), l.refusedOver.Load())
	}
	if n := l.withoutRetryAfter.Load(); n > 0 {
		s.t.Errorf("%d refusals over the limit name no retry-after time", n)
	}
	for tenant := range s.group.OpenedConnections() {
		if strings.HasPrefix(tenant, "key-") {
			s.t.Errorf("a connection to a target carries the key %s", tenant)
		}
	}
}
