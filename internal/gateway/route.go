package gateway

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// readRouteTTL is how long reads of a database go straight to another failure domain
// after the local home, whose failure domain has no replica, redirected one there.
// Then the local home is asked again.
const readRouteTTL = time.Second

// readRoute is the failure domain to which the local home redirected reads of a
// database.
type readRoute struct {
	domain    string
	expiresAt time.Time
}

// maxForwards is the number of redirects to other failure domains after which the
// local home must run the unit. Homes that see the group differently for a while may
// redirect a unit to each other.
const maxForwards = 3

// route is the destination of the first batch of a unit. The home in a target's
// failure domain runs the units on that target, and so owns its slots.
type route struct {
	// domain is the failure domain of the home; empty means that of this VM.
	domain string
	// direct is set if the local home must run the unit itself.
	direct bool
	// forwards is the number of redirects so far.
	forwards int
}

// initialRoute returns the route of a first batch: for a write the failure domain of
// the last known primary, for a read the unexpired redirect by the local home.
func (u *unit) initialRoute(b wireunit.Batch) route {
	if u.readOnly(b) {
		cached, ok := u.gateway.readRoutes.Load(u.key())
		if !ok || u.gateway.config.Now().After(cached.expiresAt) {
			return route{}
		}
		return route{domain: cached.domain}
	}
	domain, _ := u.gateway.primaryDomains.Load(u.key())
	if domain == u.gateway.config.FailureDomain {
		return route{}
	}
	return route{domain: domain}
}

// homes returns the homes of a route. If the failure domain of the route has no
// home, it makes the route direct and returns the local homes.
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

// reroute updates the route if a home redirected the unit to another failure domain,
// or falls back to the local home if the home in another failure domain is
// unreachable, shutting down or of another protocol version. It reports whether the
// route changed; if it did, the batch did not run.
func (u *unit) reroute(r *route, b wireunit.Batch, result wireunit.Result) bool {
	if result.Outcome.Kind != outcome.Refused || r.direct {
		return false
	}
	switch result.Outcome.Reason {
	case outcome.Elsewhere:
		u.gateway.counters.forwarded.Inc()
		if result.NoReplicaHere && r.domain == "" && u.readOnly(b) {
			expiresAt := u.gateway.config.Now().Add(readRouteTTL)
			u.gateway.readRoutes.Store(u.key(), readRoute{domain: result.Origin.FailureDomain, expiresAt: expiresAt})
		}
		r.forwards++
		r.domain = result.Origin.FailureDomain
		r.direct = r.forwards > maxForwards
		return true
	case outcome.HomeUnreachable, outcome.ShuttingDown, outcome.VersionMismatch:
		if r.domain == "" {
			return false
		}
		u.gateway.counters.fallbacks.Inc()
		r.direct = true
		return true
	default:
		return false
	}
}

// rememberPrimary stores the failure domain of the primary that answered.
func (u *unit) rememberPrimary(result wireunit.Result) {
	domain := result.Origin.FailureDomain
	if !result.Outcome.OK() || domain == "" || result.Origin.Replica {
		return
	}
	if known, _ := u.gateway.primaryDomains.Load(u.key()); known != domain {
		u.gateway.primaryDomains.Store(u.key(), domain)
	}
}

// readOnly reports whether the first batch is known to be read-only.
func (u *unit) readOnly(b wireunit.Batch) bool {
	return b.ReadOnly || u.header.ReadOnly
}

func (u *unit) key() databaseKey {
	return databaseKey{u.header.Service, u.header.Database}
}
