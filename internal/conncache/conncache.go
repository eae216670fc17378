// Package conncache decides which connections of a limited set are kept for which
// tenants. A connection serves one tenant only, so when the set is full, one for another
// tenant takes the place of an idle one, and the tenant of that one has to open a
// connection again for its next request.
//
// The package is pure: it has no clock, no locks and no connections of its own.
package conncache

import (
	"slices"
	"time"
)

// State is the state of a connection.
type State uint8

// States of a connection.
const (
	Idle State = iota
	// InUse means that a statement runs on the connection.
	InUse
	// Held means that a transaction holds the connection, also while no statement runs.
	Held
	Opening
)

// Connection is one connection of the set.
type Connection struct {
	Tenant string
	State  State
	// UsedAt is when the connection was last used.
	UsedAt time.Duration
}

// View is the state on which a decision is made.
type View struct {
	Now         time.Duration
	Connections []Connection
	// Limit is the number of connections that the set may have.
	Limit int
	// Full is set while no connection can be opened without closing one, although there
	// are fewer than Limit.
	Full bool
	// Waiting are the tenants of the requests that wait for a connection.
	Waiting []string
	// OpenTime is how long it takes to open a connection.
	OpenTime time.Duration
	Demand   *Demand
}

// Action is what to do for a request that found no idle connection of its tenant.
type Action uint8

// Actions.
const (
	// Wait means that the request waits for a connection in use.
	Wait Action = iota
	// Open means that a connection is opened in free room.
	Open
	// Evict means that an idle connection is closed and one is opened in its place.
	Evict
)

// Decision is the decision on a request.
type Decision struct {
	Action Action
	// Victim is the index of the connection to close for Evict.
	Victim int
}

// Decide returns what to do for a request whose tenant has no idle connection. A request
// does not wait for a connection of its own tenant while an idle one of another can be
// closed: in trials with 7 to 60 requests per second on 11 connections, that would have
// saved 2 to 9 percent of the openings and lengthened the mean wait by 2 to 13 percent.
func Decide(v View) Decision {
	if !v.Full && len(v.Connections) < v.Limit {
		return Decision{Action: Open}
	}
	if victim, ok := Victim(v); ok {
		return Decision{Action: Evict, Victim: victim}
	}
	return Decision{Action: Wait}
}

// similarDemand is the ratio of demand up to which two tenants count as equal. Tenants
// that take turns have the same rate, but the one that was served last has the higher
// demand: with the half-life of the demand, by this ratio if a turn takes 8.8 s. A larger
// ratio costs hits where rates differ.
const similarDemand = 1.5

// Victim returns the index of the idle connection to close, and false if there is none.
//
// It is the second idle connection of a tenant, or else that of the tenant with the least
// demand for each of its connections. Among tenants with about the least demand it is the
// connection that was used last: the one used longest ago is that of the tenant that
// comes next if tenants take turns, and as good as any other if they come at random.
func Victim(v View) (int, bool) {
	tenants := summarize(v)
	candidates := make([]int, 0, len(v.Connections))
	surplus := false
	for i, c := range v.Connections {
		if c.State != Idle {
			continue
		}
		second := tenants[c.Tenant].idle > 1
		if second && !surplus {
			candidates, surplus = candidates[:0], true
		}
		if second == surplus {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	value := func(i int) float64 { return tenants[v.Connections[i].Tenant].value }
	least := value(candidates[0])
	for _, i := range candidates {
		least = min(least, value(i))
	}
	best := -1
	for _, i := range candidates {
		if value(i) <= least*similarDemand && (best < 0 || v.Connections[i].UsedAt > v.Connections[best].UsedAt) {
			best = i
		}
	}
	return best, true
}

// releaseDivisor is the inverse of the part of the idle connections that Release names at
// least.
const releaseDivisor = 4

// Release returns the indices of the idle connections to close so that others can open
// connections to a target without room: all but one of each tenant or, where no tenant
// has more than one, a quarter of them, those of the tenants with the least demand. At
// least keep connections remain.
func Release(v View, keep int) []int {
	var idle []int
	seen := make(map[string]bool)
	var out []int
	for i, c := range slices.Backward(v.Connections) {
		switch {
		case c.State != Idle:
		case seen[c.Tenant]:
			out = append(out, i)
		default:
			seen[c.Tenant] = true
			idle = append(idle, i)
		}
	}
	if len(out) == 0 {
		slices.SortStableFunc(idle, func(a, b int) int {
			return compareDemand(v, v.Connections[a].Tenant, v.Connections[b].Tenant)
		})
		out = idle[:(len(idle)+releaseDivisor-1)/releaseDivisor]
	}
	return out[:max(min(len(out), len(v.Connections)-keep), 0)]
}

// compareDemand orders two tenants by their demand.
func compareDemand(v View, a, b string) int {
	da, db := v.Demand.Of(a, v.Now), v.Demand.Of(b, v.Now)
	switch {
	case da < db:
		return -1
	case da > db:
		return 1
	default:
		return 0
	}
}

// OverShare reports whether a tenant has more than its share of the set, which it may have
// only while no request of another tenant waits. The share is the limit divided by the
// number of tenants that wait or have a connection that is not idle, at least 1.
func OverShare(v View, tenant string) bool {
	active := make(map[string]bool)
	for _, t := range v.Waiting {
		active[t] = true
	}
	for _, c := range v.Connections {
		if c.State != Idle {
			active[c.Tenant] = true
		}
	}
	return count(v, tenant) > max(v.Limit/max(len(active), 1), 1)
}

// count returns the number of connections of a tenant.
func count(v View, tenant string) int {
	n := 0
	for _, c := range v.Connections {
		if c.Tenant == tenant {
			n++
		}
	}
	return n
}

// headStartFactor multiplies the time of opening to get the head start of a request of
// the same tenant: the time in which the connection for another tenant is opened, and
// later the one in its place.
const headStartFactor = 2

// Yields reports whether a released connection of a tenant is closed for a request of
// another one although a request of its own tenant waits. waited and otherWaited are the
// times for which the first request of each has waited. A tenant over its share yields to
// one that has fewer connections even after that. Otherwise the tenant's own request goes
// first unless the other one came earlier by more than the head start, so that no tenant
// keeps all connections by always having requests that wait.
func Yields(v View, tenant, other string, waited, otherWaited time.Duration) bool {
	if OverShare(v, tenant) && count(v, other)+1 < count(v, tenant) {
		return true
	}
	return otherWaited > waited+headStartFactor*v.OpenTime
}

// summary is the state of the connections of one tenant.
type summary struct {
	idle, open int
	// value is the demand for each connection that is not held by a transaction.
	value float64
}

// summarize returns the state of the tenants that have connections.
func summarize(v View) map[string]summary {
	tenants := make(map[string]summary)
	for _, c := range v.Connections {
		t := tenants[c.Tenant]
		if c.State == Idle {
			t.idle++
		}
		if c.State != Held {
			t.open++
		}
		tenants[c.Tenant] = t
	}
	for name, t := range tenants {
		t.value = v.Demand.Of(name, v.Now) / float64(max(t.open, 1))
		tenants[name] = t
	}
	return tenants
}
