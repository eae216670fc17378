// Package catalog defines the routes, groups and targets that a daemon serves: the
// active configuration and the targets that the platform lists.
package catalog

import (
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Consistency is the consistency level that a route guarantees for reads.
type Consistency uint8

// The levels of consistency.
const (
	// Current reads see every acknowledged commit.
	Current Consistency = iota
	// Bounded reads see every commit that was acknowledged longer ago than
	// Route.MaxStaleness.
	Bounded
	// Session reads are Bounded and also see every commit of their own session.
	Session
)

// String returns the name of the level in log lines and metrics.
func (c Consistency) String() string {
	switch c {
	case Bounded:
		return "bounded"
	case Session:
		return "session"
	default:
		return "current"
	}
}

// Route maps a database name to the group that serves it, with the limits for its
// requests.
type Route struct {
	Database         string
	Group            string
	Consistency      Consistency
	MaxStaleness     time.Duration
	StatementTimeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders requests in a queue; 0 is served first.
	Priority int
	// Public reports whether callers need no key.
	Public bool
}

// GroupLimits holds the declared limits of a group.
type GroupLimits struct {
	Name string
	// MaxConnections limits the connections of all daemons to each target.
	MaxConnections int
	// SyncReplicas is the number of replicas that must receive a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Configuration is one version of the declared configuration. It is immutable.
type Configuration struct {
	Version uint64
	Routes  map[string]Route
	Groups  map[string]GroupLimits
	// TransactionIdle limits the time that a transaction may be idle; zero means no
	// limit.
	TransactionIdle time.Duration
	// Tenants maps the names of tenants to their limits. It is nil in a deployment
	// without tenants, where every route is public.
	Tenants map[string]Tenant
	// Keys maps the digest of each API key to the name of its tenant.
	Keys map[KeyDigest]string
}

// Target is an instance of a group as the platform lists it.
type Target struct {
	ID            string
	Group         string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Primary reports whether the target's listed role is primary.
	Primary bool
	// RemainingWarmUp is the remaining warm-up time of the target; zero once it is warm.
	RemainingWarmUp time.Duration
	// Incarnation changes with each start of the target.
	Incarnation int64
}

// Holder publishes the active configuration to request processing. Its methods are safe
// for concurrent use, except Apply.
type Holder struct {
	current atomic.Pointer[Configuration]
}

// Current returns the active configuration, or nil before the first.
func (h *Holder) Current() *Configuration {
	return h.current.Load()
}

// Apply activates c if its version is above the active one, and reports whether it did.
// Calls must not be concurrent.
func (h *Holder) Apply(c *Configuration) bool {
	if active := h.current.Load(); active != nil && c.Version <= active.Version {
		return false
	}
	h.current.Store(c)
	return true
}

// Version returns the version of the active configuration, or 0 before the first.
func (h *Holder) Version() uint64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Route returns the route of database and the version of the configuration that it was
// read from. The code is query.Busy before the first configuration and
// query.NoDatabase if the configuration has no such route.
func (h *Holder) Route(database string) (Route, uint64, query.Code) {
	c := h.current.Load()
	if c == nil {
		return Route{}, 0, query.Busy
	}
	r, ok := c.Routes[database]
	if !ok {
		return Route{}, c.Version, query.NoDatabase
	}
	return r, c.Version, query.OK
}
