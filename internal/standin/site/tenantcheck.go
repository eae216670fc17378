package site

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// TenantCheck compares the tenants under which statements ran with those that own the
// callers' keys. Configurations are declared and sessions opened through it. All methods
// may be called from any goroutine.
type TenantCheck struct {
	store *Store
	// limit is how long after the acknowledgement of a newer version a statement may still
	// be sent and handled by an older one.
	limit time.Duration
	// revocation is how long after the acknowledgement of a newer version a statement may
	// still run that only an older one allows.
	revocation time.Duration

	mu       sync.Mutex
	versions []declaredVersion
	sent     map[string]sentStatement // by statement ID
}

// declaredVersion is a configuration and the time in which the store had it.
type declaredVersion struct {
	configuration Configuration
	// from is before the store had the version, until after it had the next one; until is
	// zero for the newest version.
	from, until time.Time
}

// sentStatement is a statement as a caller sent it.
type sentStatement struct {
	database, key string
	// unit is when the first statement of the unit was sent, at when this one was.
	unit, at time.Time
}

// NewTenantCheck returns a check of the configurations that are declared in store. A
// statement that is sent more than limit after a change must not be handled by an older
// version. A statement with a key that has no owner any more must not run later than
// revocation after the change, whenever it was sent.
func NewTenantCheck(store *Store, limit, revocation time.Duration) *TenantCheck {
	return &TenantCheck{store: store, limit: limit, revocation: revocation, sent: map[string]sentStatement{}}
}

// Declare writes a configuration to the store and returns when the store has it.
func (c *TenantCheck) Declare(configuration Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := time.Now()
	c.store.Put("config", "main", configuration.Spec())
	if n := len(c.versions); n > 0 {
		c.versions[n-1].until = time.Now()
	}
	c.versions = append(c.versions, declaredVersion{configuration: configuration, from: from})
}

// Connect opens a session that presents a key and whose statements are checked. See
// ConnectWithKey.
func (c *TenantCheck) Connect(address, database, key string) (*Caller, error) {
	caller, err := ConnectWithKey(address, database, key)
	if err != nil {
		return nil, err
	}
	caller.onSend = func(id string, unit, at time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sent[id] = sentStatement{database: database, key: key, unit: unit, at: at}
	}
	return caller, nil
}

// allowed returns the tenants under which a statement may have run at a time. It is empty
// if the statement must not have run. The caller holds mu.
func (c *TenantCheck) allowed(s sentStatement, ran time.Time) []string {
	var tenants []string
	inForce := c.inForce(s.at, ran, c.revocation)
	for _, v := range inForce {
		if t, ok := v.runsAs(s.database, s.key); ok {
			tenants = append(tenants, t)
		}
	}
	if len(tenants) == 0 {
		return nil
	}
	// A transaction keeps the tenant with which it began as long as the key has an owner
	// and the tenant exists.
	for _, v := range c.inForce(s.unit, ran, math.MaxInt64) {
		t, ok := v.runsAs(s.database, s.key)
		if ok && slices.ContainsFunc(inForce, func(v Configuration) bool { return v.has(t) }) {
			tenants = append(tenants, t)
		}
	}
	return tenants
}

// inForce returns the configurations by which a statement that was sent and ran at the
// given times may have been handled, if none may be applied longer than the given time
// after it was replaced. The caller holds mu.
func (c *TenantCheck) inForce(sent, ran time.Time, longest time.Duration) []Configuration {
	var configurations []Configuration
	for _, v := range c.versions {
		replaced := !v.until.IsZero() && (sent.Sub(v.until) >= c.limit || ran.Sub(v.until) >= longest)
		if !v.from.After(ran) && !replaced {
			configurations = append(configurations, v.configuration)
		}
	}
	return configurations
}

// WrongTenants returns a description of each run of a caller's statement in a group under
// a tenant that did not own the caller's key, or with a key that no tenant had any more.
func (c *TenantCheck) WrongTenants(g *Group) []string {
	runs := g.Runs()
	c.mu.Lock()
	defer c.mu.Unlock()
	var wrong []string
	for _, r := range runs {
		s, ok := c.sent[r.ID]
		if !ok {
			continue
		}
		if want := c.allowed(s, r.At); !slices.Contains(want, r.Tenant) {
			wrong = append(wrong, fmt.Sprintf("statement %s on %s ran under tenant %s, want one of %q (sent %s before it ran, its unit began %s before it)",
				r.ID, s.database, r.Tenant, want, r.At.Sub(s.at), r.At.Sub(s.unit)))
		}
	}
	return wrong
}

// operations returns when the operations of a tenant ran in a group. A statement that ran
// again counts once, and a transaction counts once.
func operations(g *Group, tenant string) []time.Time {
	var times []time.Time
	counted := map[string]bool{}
	for _, r := range g.Runs() {
		if r.Tenant == tenant && r.First && !counted[r.ID] {
			counted[r.ID] = true
			times = append(times, r.At)
		}
	}
	return times
}

// LimitUse is how much of its limit a tenant used in a window.
type LimitUse struct {
	// Ran is the number of operations that ran in the window that ends at End, and Allowed
	// how many may have run.
	Ran     int
	Allowed float64
	End     time.Time
}

// Exceeded reports whether more operations ran than the limit allows.
func (u LimitUse) Exceeded() bool { return float64(u.Ran) > u.Allowed }

// HighestUse returns the window in which the operations of a tenant in a group exceeded its
// limit most or came nearest to it. The limit of a window is the highest of the
// configurations that may have been applied in it; a tenant without a limit has no such
// window.
func (c *TenantCheck) HighestUse(g *Group, tenant string, bounds TenantBounds) LimitUse {
	times := operations(g, tenant)
	c.mu.Lock()
	defer c.mu.Unlock()
	highest, first := LimitUse{Allowed: 1}, 0
	for i, end := range times {
		for end.Sub(times[first]) >= bounds.QuotaWindow {
			first++
		}
		limit, ok := c.highestLimit(tenant, end.Add(-bounds.QuotaWindow), end)
		if !ok {
			continue
		}
		use := LimitUse{Ran: i - first + 1, Allowed: bounds.Allowed(limit), End: end}
		if float64(use.Ran)*highest.Allowed > float64(highest.Ran)*use.Allowed {
			highest = use
		}
	}
	return highest
}

// highestLimit returns the highest rate and burst of a tenant in the configurations that
// may have been applied between two times. It returns false if one of them does not limit
// the tenant. The caller holds mu.
func (c *TenantCheck) highestLimit(tenant string, from, to time.Time) (Limit, bool) {
	var highest Limit
	for _, configuration := range c.inForce(from, to, math.MaxInt64) {
		for _, t := range configuration.Tenants {
			if t.Name != tenant {
				continue
			}
			if t.Limit == nil {
				return Limit{}, false
			}
			highest.Rate, highest.Burst = max(highest.Rate, t.Limit.Rate), max(highest.Burst, t.Limit.Burst)
		}
	}
	return highest, true
}
