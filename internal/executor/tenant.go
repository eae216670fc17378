package executor

import (
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// denial is the refusal of a unit whose tenant the configuration does not allow.
type denial struct {
	code   query.Code
	reason string
}

// Denials of units.
var (
	keyUnknown = denial{query.Unauthorized, "unknown_key"}
	// tenantChanged is not query.Unauthorized, because the caller's key is valid: its unit
	// can run once the gateway has the configuration that this daemon has.
	tenantChanged = denial{query.Busy, "tenant_changed"}
)

// checkHeader returns the denial of a unit, with the code query.OK if c allows it. A
// configuration older than the gateway's may not know the tenant yet and denies nothing.
func checkHeader(c *catalog.Configuration, h stmtunit.Header) denial {
	if h.Tenant == "" || c == nil || c.Tenants == nil || c.Version < h.Version {
		return denial{}
	}
	owner, ok := c.Keys[h.Key]
	if !ok {
		return keyUnknown
	}
	if owner == h.Tenant {
		return denial{}
	}
	return tenantChanged
}

// checkTenant checks the unit of r by the configuration in force, and reports whether it
// may run. Otherwise it sets r.denial.
func (e *Executor) checkTenant(r *request) bool {
	if e.Configuration == nil {
		return true
	}
	r.denial = checkHeader(e.Configuration.Current(), r.unit.header)
	return r.denial.code == query.OK
}

// tenantRate returns the rate that the tenant of r declares in the configuration in force,
// or zero if it is not known.
func (e *Executor) tenantRate(r *request) float64 {
	if e.Configuration == nil {
		return 0
	}
	c := e.Configuration.Current()
	if c == nil {
		return 0
	}
	return c.Tenants[r.unit.header.Tenant].Rate
}

// refuseTenant refuses a request with its denial and rolls back the transaction, if any.
func (e *Executor) refuseTenant(r *request) query.Answer {
	code := r.denial.code
	begun := r.unit.tx != nil && r.unit.tx.conn != nil
	if begun && code == query.Busy {
		code = query.Aborted
	}
	r.unit.Close()
	a := e.refuseNotRun(r, code, r.denial.reason)
	if r.unit.tx != nil && r.statement.Kind != query.Commit {
		a.State = query.Failed
	}
	return a
}
