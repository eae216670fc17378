package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
)

// unlistedFor is how long a target that left the list is kept: its entry may have
// lapsed while the store was out, and is back within two seconds then.
const unlistedFor = 2500 * time.Millisecond

// settleTime is how long after a listing entries may still come that had lapsed in an
// outage of the store; until then a group may have targets that are not known.
const settleTime = 3 * time.Second

// trimInterval is the time between looks for connections that are not needed.
const trimInterval = 500 * time.Millisecond

// Dependencies are what the groups of a daemon use, and the place of the daemon.
type Dependencies struct {
	Locality     Locality
	Dialer       Dialer
	Promoter     Promoter
	PrimaryLease *primarylease.Checker
	// DrainTime is how long a target that drains may be given new work.
	DrainTime time.Duration
	Log       *eventlog.Log
}

// Registry holds the groups and targets of a daemon.
type Registry struct {
	Dependencies

	groups *xsync.Map[string, *Group]
	// settledAt is when the list that came last counts as whole, since boot; zero
	// before the first.
	settledAt atomic.Int64

	mu      sync.Mutex
	grown   chan struct{} // guarded by mu; closed when a group is added
	ctx     context.Context
	targets map[string]*listed // guarded by mu; by id
}

type listed struct {
	target *Target
	// unlistedAt is when the target left the list; zero while it is listed.
	unlistedAt time.Time
}

// NewRegistry returns a registry without groups; its monitors end with ctx.
func NewRegistry(ctx context.Context, around Dependencies) *Registry {
	return &Registry{Dependencies: around, ctx: ctx, groups: xsync.NewMap[string, *Group](), grown: make(chan struct{}), targets: make(map[string]*listed)}
}

// Group returns a group, nil if none of that name is declared or listed.
func (r *Registry) Group(name string) *Group {
	g, _ := r.groups.Load(name)
	return g
}

// WaitGroup returns a group; one that is not known yet is waited for until the given
// time. A daemon that has just started gets units of others before its own list.
func (r *Registry) WaitGroup(name string, until time.Time) *Group {
	if g := r.Group(name); g != nil {
		return g
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		r.mu.Lock()
		grown := r.grown
		r.mu.Unlock()
		if g := r.Group(name); g != nil {
			return g
		}
		select {
		case <-grown:
		case <-timer.C:
			return nil
		}
	}
}

// group returns a group and starts its monitor if it is new. The lock is held.
func (r *Registry) group(name string) *Group {
	if g, ok := r.groups.Load(name); ok {
		return g
	}
	g := newGroup(name, r)
	r.groups.Store(name, g)
	close(r.grown)
	r.grown = make(chan struct{})
	m := &monitor{group: g}
	go m.run(r.ctx)
	return g
}

// Declare applies the limits of the configuration in force.
func (r *Registry) Declare(c *catalog.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, limits := range c.Groups {
		g := r.group(name)
		g.limits.Store(&limits)
		g.applyLimits()
	}
}

// settled reports whether the list of targets counts as whole.
func (r *Registry) settled() bool {
	at := r.settledAt.Load()
	return at != 0 && int64(boottime.Now()) >= at
}

// SetTargets replaces the list of targets.
func (r *Registry) SetTargets(targets []catalog.Target) {
	r.settledAt.Store(int64(boottime.Now() + settleTime))
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(targets))
	for _, info := range targets {
		present[info.ID] = true
		r.put(info)
	}
	for id := range r.targets {
		if !present[id] {
			r.unlist(id)
		}
	}
}

// PutTarget adds or updates one target.
func (r *Registry) PutTarget(info catalog.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(info)
}

// RemoveTarget notes that a target left the list.
func (r *Registry) RemoveTarget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlist(id)
}

func (r *Registry) put(info catalog.Target) {
	known := r.targets[info.ID]
	if known != nil {
		old := known.target.Info()
		known.unlistedAt = time.Time{}
		known.target.SetInfo(info)
		if old.Incarnation != info.Incarnation || old.Primary != info.Primary || old.Draining != info.Draining {
			r.Log.StateChange("target_changed", "target", info.ID, "group", info.Group, "primary", info.Primary, "draining", info.Draining, "incarnation", info.Incarnation)
			r.group(info.Group).TriggerCheck()
		}
		// A target that has started again holds and knows nothing of before.
		if old.Address == info.Address && old.Group == info.Group && old.Incarnation == info.Incarnation {
			return
		}
		r.drop(info.ID)
	}
	t := NewTarget(info, r.Dialer)
	r.targets[info.ID] = &listed{target: t}
	r.Log.StateChange("target_listed", "target", info.ID, "group", info.Group, "address", info.Address, "domain", info.FailureDomain, "primary", info.Primary, "draining", info.Draining)
	g := r.group(info.Group)
	r.rebuild(g)
	g.TriggerCheck()
}

func (r *Registry) unlist(id string) {
	known := r.targets[id]
	if known == nil || !known.unlistedAt.IsZero() {
		return
	}
	known.unlistedAt = time.Now()
	r.Log.StateChange("target_unlisted", "target", id, "kept_ms", unlistedFor.Milliseconds())
}

// drop forgets a target for good.
func (r *Registry) drop(id string) {
	known := r.targets[id]
	delete(r.targets, id)
	known.target.Pool.Close()
	g := r.group(known.target.Info().Group)
	r.rebuild(g)
	g.TriggerCheck()
	r.Log.StateChange("target_dropped", "target", id, "group", g.Name)
}

// rebuild publishes the targets of a group.
func (r *Registry) rebuild(g *Group) {
	targets := []*Target{}
	for _, l := range r.targets {
		if l.target.Info().Group == g.Name {
			targets = append(targets, l.target)
		}
	}
	g.targets.Store(&targets)
	g.applyLimits()
}

// Run trims connections and forgets targets that stay unlisted, until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.tend(now)
		}
	}
}

func (r *Registry) tend(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.targets {
		if !l.unlistedAt.IsZero() && now.Sub(l.unlistedAt) > unlistedFor {
			r.drop(id)
			continue
		}
		l.target.Pool.Trim(now)
	}
}
