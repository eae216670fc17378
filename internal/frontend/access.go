package frontend

import (
	"errors"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// access is what a caller may use: the route of its database and the tenant of its key,
// both from the same version of the configuration.
type access struct {
	route   catalog.Route
	version uint64
	// tenant and key are zero if the route requires no key.
	tenant catalog.Tenant
	key    catalog.KeyDigest
}

// lookUpAccess returns the access to database with a key. The code is query.Busy before the
// first configuration, query.NoDatabase without a route, and query.Unauthorized if the route
// requires a key and no tenant owns this one.
func lookUpAccess(c *catalog.Configuration, database string, key catalog.KeyDigest) (access, query.Code) {
	if c == nil {
		return access{}, query.Busy
	}
	route, ok := c.Routes[database]
	if !ok {
		return access{version: c.Version}, query.NoDatabase
	}
	a := access{route: route, version: c.Version}
	if !c.RequiresKey(route) {
		return a, query.OK
	}
	tenant, ok := c.Authenticate(key)
	if !ok {
		return a, query.Unauthorized
	}
	a.tenant, a.key = tenant, key
	return a, query.OK
}

// Reasons of refusals by access.
const (
	reasonNoRoute       = "no_route"
	reasonUnknownKey    = "unknown_key"
	reasonKeyRevoked    = "key_revoked"
	reasonTenantRemoved = "tenant_removed"
	reasonKeyMoved      = "key_moved"
	reasonStale         = "configuration_stale"
)

// accessReason returns the reason for a code of lookUpAccess other than query.OK.
func accessReason(code query.Code) string {
	if code == query.Unauthorized {
		return reasonUnknownKey
	}
	return reasonNoRoute
}

// loggedDatabase returns the name of a database for the log. It is empty for a name without
// a route unless the deployment is known to have no tenants, because the caller may have
// sent its key in place of the name.
func loggedDatabase(c *catalog.Configuration, database string) string {
	if c == nil {
		return ""
	}
	if _, ok := c.Routes[database]; !ok && c.Tenants != nil {
		return ""
	}
	return database
}

// errKeyRevoked is the reason of a session that is ended because its key was revoked.
var errKeyRevoked = errors.New("key revoked")

// isRevoked reports whether the session must end: its route requires a key and the
// configuration in force has no tenant for the session's.
func (s *Session) isRevoked() bool {
	c := s.configuration.Current()
	if c == nil || c.Tenants == nil {
		return false
	}
	route, ok := c.Routes[s.Database]
	if !ok || !c.RequiresKey(route) {
		return false
	}
	_, ok = c.Authenticate(s.key)
	return !ok
}

// transactionFault returns the reason why the open transaction may not go on, empty if it
// may: its tenant or its key is no longer declared, or its key has moved to another tenant,
// for which its connection can't be used. One that no home has begun goes on.
func (s *Session) transactionFault() string {
	c := s.configuration.Current()
	if c == nil || c.Tenants == nil || s.tx == nil || s.tx.unit == nil || s.tx.access.tenant.Name == "" {
		return ""
	}
	owner, ok := c.Authenticate(s.tx.access.key)
	if !ok {
		return reasonKeyRevoked
	}
	if _, ok := c.Tenants[s.tx.access.tenant.Name]; !ok {
		return reasonTenantRemoved
	}
	if owner.Name != s.tx.access.tenant.Name {
		return reasonKeyMoved
	}
	return ""
}

// isStale reports whether callers of a database must be refused because its route requires a
// key and the configuration was not confirmed in time. confirmation may be nil.
func isStale(c *catalog.Configuration, confirmation *catalog.Confirmation, database string) bool {
	if confirmation == nil || c == nil {
		return false
	}
	route, ok := c.Routes[database]
	return ok && c.RequiresKey(route) && confirmation.IsStale(boottime.Now())
}

func (s *Session) isStale() bool {
	return isStale(s.configuration.Current(), s.confirmation, s.Database)
}

// refuseStale refuses a statement because the configuration is stale. An open transaction
// is rolled back, because its key may have been revoked.
func (s *Session) refuseStale(st query.Statement) query.Answer {
	if s.tx == nil {
		return s.refuse(st, query.Busy, reasonStale)
	}
	if st.Kind == query.Commit {
		s.endTransaction()
	} else {
		s.closeUnit()
		s.tx.failed = true
	}
	return s.refuse(st, query.Aborted, reasonStale)
}

// ConfigurationChanged ends the sessions whose key the configuration in force no longer
// accepts, and rolls back the transactions of removed tenants. It must be called after each
// new configuration has been applied. A session that runs a statement notices the change
// itself, before it waits for its caller again.
func (s *Server) ConfigurationChanged() {
	c := s.Configuration.Current()
	if c == nil || c.Tenants == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.sessions {
		tenant, ok := c.Authenticate(ses.state.key)
		ses.wakeUnlessTenant(tenant.Name, ok)
	}
}

// wakeUnlessTenant wakes a waiting session if its key belongs to no tenant, or to another
// one than that of its open transaction.
func (s *sessionConn) wakeUnlessTenant(name string, owned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waitingForCaller || owned && (s.transactionTenant == "" || s.transactionTenant == name) {
		return
	}
	// An error means that the connection is already closed.
	_ = s.conn.SetReadDeadline(leaveReadDeadline())
}
