package gateway

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// readRouteHold is how long reads follow the word of an own home without a replica
// in its failure domain that they belong elsewhere, before it is asked again.
const readRouteHold = time.Second

// readRoute is where the own home sent reads of a database.
type readRoute struct {
	domain string
	until  time.Time
}

// maxForwards bounds how often a unit follows the homes' word that it belongs
// elsewhere, since two homes may see the group differently for a while.
const maxForwards = 3

// route is where the first batch of a unit is sent. The home in a target's own
// failure domain runs the units on it, and so owns its slots.
type route struct {
	// domain is the failure domain of the home; empty means the own one.
	domain string
	// direct says that the own home must run the unit itself.
	direct   bool
	forwards int
}

// initialRoute sends a write straight to where the primary was last, and a read to
// where the own home has just sent one.
func (u *unit) initialRoute(b wireunit.Batch) route {
	if u.readOnly(b) {
		hint, ok := u.gateway.reads.Load(u.key())
		if !ok || u.gateway.config.Now().After(hint.until) {
			return route{}
		}
		return route{domain: hint.domain}
	}
	domain, _ := u.gateway.primaries.Load(u.key())
	if domain == u.gateway.config.FailureDomain {
		return route{}
	}
	return route{domain: domain}
}

// homes returns the homes of a route. If another failure domain has none, the own
// home runs the unit itself.
func (u *unit) homes(r *route) []fleet.VM {
	finder := u.gateway.config.Homes
	if r.domain != "" && !r.direct {
		if homes := finder.HomesIn(r.domain, u.header.Service, u.header.Database); len(homes) > 0 {
			return homes
		}
		r.direct = true
	}
	return finder.Homes(u.header.Service, u.header.Database)
}

// reroute follows a home that says that the unit belongs elsewhere, or falls back
// to the own home if another failure domain can't be reached. It reports whether
// the route changed; nothing ran then.
func (u *unit) reroute(r *route, b wireunit.Batch, result wireunit.Result) bool {
	if result.Outcome.Kind != outcome.Refused || r.direct {
		return false
	}
	switch result.Outcome.Reason {
	case outcome.Elsewhere:
		u.gateway.meters.forwarded.Inc()
		if result.NoReplicaHere && r.domain == "" && u.readOnly(b) {
			until := u.gateway.config.Now().Add(readRouteHold)
			u.gateway.reads.Store(u.key(), readRoute{domain: result.Origin.FailureDomain, until: until})
		}
		r.forwards++
		r.domain = result.Origin.FailureDomain
		r.direct = r.forwards > maxForwards
		return true
	case outcome.HomeUnreachable, outcome.ShuttingDown, outcome.VersionMismatch:
		if r.domain == "" {
			return false
		}
		u.gateway.meters.fallbacks.Inc()
		r.direct = true
		return true
	default:
		return false
	}
}

// learn keeps where the primary is.
func (u *unit) learn(result wireunit.Result) {
	domain := result.Origin.FailureDomain
	if !result.Outcome.OK() || domain == "" || result.Origin.Replica {
		return
	}
	if known, _ := u.gateway.primaries.Load(u.key()); known != domain {
		u.gateway.primaries.Store(u.key(), domain)
	}
}

// readOnly reports whether a first batch is known to write nothing.
func (u *unit) readOnly(b wireunit.Batch) bool {
	return b.ReadOnly || u.header.ReadOnly
}

func (u *unit) key() databaseKey {
	return databaseKey{u.header.Service, u.header.Database}
}
