package site

import (
	"slices"
	"time"
)

// NoTenant is the name that connections to targets carry for callers of public routes and
// in deployments without tenants.
const NoTenant = "laburnumrack"

// Tenant is a tenant as a configuration declares it.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
	// Limit is the rate and burst of the tenant's operations; nil for no limit.
	Limit *Limit
}

// Limit bounds the operations of a tenant.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Route leads a database to a group.
type Route struct {
	Database string
	// Type is the platform's name of the consistency, such as "primary".
	Type  string
	Group string
	// Timeout and Objective bound the time of a request; zero is two seconds.
	Timeout, Objective time.Duration
	Public             bool
}

// Configuration is a version of the configuration object.
type Configuration struct {
	Version int
	Routes  []Route
	// Connections limits the connections of each target, by group.
	Connections map[string]int
	// Tenants is nil in a deployment without tenants.
	Tenants []Tenant
}

// defaultRequestTime is the time-out and the objective of routes that have none.
const defaultRequestTime = 2 * time.Second

// Spec returns the spec of the configuration object.
func (c Configuration) Spec() map[string]any {
	routes, groups := []any{}, []any{}
	for _, r := range c.Routes {
		timeout, objective := r.Timeout, r.Objective
		if timeout == 0 {
			timeout = defaultRequestTime
		}
		if objective == 0 {
			objective = defaultRequestTime
		}
		route := map[string]any{
			"name": "r-" + r.Database, "host": r.Database, "path_prefix": "/", "route_type": r.Type, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": objective.Milliseconds(), "priority": 1, "service": r.Group, "max_staleness_ms": 1000,
		}
		if r.Public {
			route["public"] = true
		}
		routes = append(routes, route)
	}
	for name, n := range c.Connections {
		groups = append(groups, map[string]any{"name": name, "max_conns": n, "sync_replicas": 0})
	}
	spec := map[string]any{"version": c.Version, "routes": routes, "services": groups, "limits": map[string]any{"tx_idle_ms": 3000}}
	if c.Tenants != nil {
		tenants := []any{}
		for _, t := range c.Tenants {
			tenants = append(tenants, t.spec())
		}
		spec["tenants"] = tenants
	}
	return spec
}

// spec returns the tenant as the configuration object has it.
func (t Tenant) spec() map[string]any {
	spec := map[string]any{"name": t.Name, "api_keys": append([]string{}, t.Keys...), "priority": t.Priority}
	if t.Limit != nil {
		spec["rate_per_s"], spec["burst"] = t.Limit.Rate, t.Limit.Burst
	}
	return spec
}

// runsAs returns the tenant that a caller with a key runs as on a database. It returns
// false if the database is not served to the caller.
func (c Configuration) runsAs(database, key string) (string, bool) {
	i := slices.IndexFunc(c.Routes, func(r Route) bool { return r.Database == database })
	if i < 0 {
		return "", false
	}
	if c.Tenants == nil || c.Routes[i].Public {
		return NoTenant, true
	}
	for _, t := range c.Tenants {
		if slices.Contains(t.Keys, key) {
			return t.Name, true
		}
	}
	return "", false
}

// has reports whether connections may carry the name of a tenant.
func (c Configuration) has(tenant string) bool {
	return tenant == NoTenant || slices.ContainsFunc(c.Tenants, func(t Tenant) bool { return t.Name == tenant })
}

// TenantBounds holds the settings of daemons about tenants.
type TenantBounds struct {
	StrictRevocation bool
	// RevocationTime is zero for the platform's five seconds.
	RevocationTime time.Duration
	QuotaWindow    time.Duration
	// QuotaTolerance is a share of the limit, QuotaSlack a number of operations.
	QuotaTolerance, QuotaSlack float64
}

// DefaultTenantBounds are the bounds that the platform's description states.
var DefaultTenantBounds = TenantBounds{
	RevocationTime: 5 * time.Second, QuotaWindow: 5 * time.Second, QuotaTolerance: 0.1, QuotaSlack: 20,
}

// ConfigurationTime is the platform's bound on the time from the store's acknowledgement of
// a configuration until no statement is handled as only an older version allows.
const ConfigurationTime = 6 * time.Second

// AddTo adds the bounds to the bounds of a settings file.
func (b TenantBounds) AddTo(bounds map[string]any) {
	bounds["revoke_strict"] = b.StrictRevocation
	bounds["revoke_ms"] = b.RevocationTime.Milliseconds()
	bounds["quota_window_s"] = b.QuotaWindow.Seconds()
	bounds["quota_over"] = b.QuotaTolerance
	bounds["quota_slack"] = b.QuotaSlack
	bounds["config_ms"] = ConfigurationTime.Milliseconds()
}

// Allowed returns how many operations of a tenant with a limit may run in one window.
func (b TenantBounds) Allowed(l Limit) float64 {
	return (l.Rate*b.QuotaWindow.Seconds()+l.Burst)*(1+b.QuotaTolerance) + b.QuotaSlack
}
