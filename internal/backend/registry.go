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
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// unlistedRetention is how long a target is kept after it left the list: its entry may
// have expired during an outage of the store, and is then back within two seconds.
const unlistedRetention = 2500 * time.Millisecond

// formerRetention is how long a target of a group with synchronous replicas is kept after it
// left the list, to learn whether it still runs. It gets no requests after unlistedRetention.
const formerRetention = time.Minute

// listSettleTime is how long after a listing entries may return that expired during an
// outage of the store. Until then, groups may have unlisted targets.
const listSettleTime = 3 * time.Second

// trimInterval is the interval at which surplus connections are closed and targets that
// stay unlisted are dropped.
const trimInterval = 500 * time.Millisecond

// Dependencies holds the services that the groups of a daemon use and the location of the
// daemon.
type Dependencies struct {
	Locality     Locality
	Dialer       Dialer
	Promoter     Promoter
	PrimaryLease *primarylease.Checker
	// Peers finds positions of primaries that this daemon can't query; it may be nil.
	Peers PositionFinder
	// DrainTime is how long a draining target may be given new work.
	DrainTime time.Duration
	Log       *eventlog.Log
}

// PositionFinder finds positions of primaries at other daemons.
type PositionFinder interface {
	// FindPosition asks the other homes of a group for the position of its primary. It
	// returns the first answer, and false if none of them has a position.
	FindPosition(group string) (freshness.Sample, bool)
}

// Registry holds the groups and targets of a daemon. It is safe for concurrent use.
type Registry struct {
	Dependencies

	groups *xsync.Map[string, *Group]
	// listCompleteAt is the time since boot from which the last list counts as complete;
	// 0 before the first list.
	listCompleteAt atomic.Int64
	// keepComplete is set if the next list replaces a complete one that was current until
	// the store began a new era.
	keepComplete atomic.Bool

	mu         sync.Mutex
	groupAdded chan struct{}           // guarded by mu; closed when a group is added
	ctx        context.Context         // context of the monitors
	targets    map[string]*targetEntry // guarded by mu; by ID
}

// targetEntry is a target of the registry.
type targetEntry struct {
	target *Target
	// unlistedAt is when the target left the list; zero while it is listed.
	unlistedAt time.Time
	// former tells that the target is not one of the group's targets any more.
	former bool
}

// NewRegistry returns a registry without groups. The monitors of its groups run until ctx
// ends.
func NewRegistry(ctx context.Context, deps Dependencies) *Registry {
	return &Registry{Dependencies: deps, ctx: ctx, groups: xsync.NewMap[string, *Group](), groupAdded: make(chan struct{}), targets: make(map[string]*targetEntry)}
}

// Group returns the group with the given name, nil if none is declared or listed.
func (r *Registry) Group(name string) *Group {
	g, _ := r.groups.Load(name)
	return g
}

// Groups returns all groups that have been declared or listed.
func (r *Registry) Groups() []*Group {
	var out []*Group
	r.groups.Range(func(_ string, g *Group) bool {
		out = append(out, g)
		return true
	})
	return out
}

// NewestPosition returns the newest sample of the position of a group's primary. It
// implements peer.PositionSource.
func (r *Registry) NewestPosition(group string) (freshness.Sample, bool) {
	if g := r.Group(group); g != nil {
		return g.PositionHistory.Newest()
	}
	return freshness.Sample{}, false
}

// WaitGroup returns the group with the given name. It waits for one that is not known
// yet, and returns nil if there is none by the given time. A daemon that has just started
// may receive units from other daemons before its first list.
func (r *Registry) WaitGroup(name string, until time.Time) *Group {
	if g := r.Group(name); g != nil {
		return g
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		r.mu.Lock()
		added := r.groupAdded
		r.mu.Unlock()
		if g := r.Group(name); g != nil {
			return g
		}
		select {
		case <-added:
		case <-timer.C:
			return nil
		}
	}
}

// groupLocked returns the group with the given name; it creates the group and starts its
// monitor if there is none. r.mu must be held.
func (r *Registry) groupLocked(name string) *Group {
	if g, ok := r.groups.Load(name); ok {
		return g
	}
	g := newGroup(name, r)
	r.groups.Store(name, g)
	close(r.groupAdded)
	r.groupAdded = make(chan struct{})
	m := &monitor{group: g}
	go m.run(r.ctx)
	return g
}

// Declare applies the limits of the groups of a configuration, and whether it has tenants.
func (r *Registry) Declare(c *catalog.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.Groups() {
		_, declared := c.Groups[g.Name]
		g.declared.Store(declared)
	}
	for name, limits := range c.Groups {
		g := r.groupLocked(name)
		g.declared.Store(true)
		g.limits.Store(&limits)
		g.tenants.Store(c.Tenants != nil)
		g.applyLimits()
	}
}

// listComplete reports whether the list of targets can be taken as complete.
func (r *Registry) listComplete() bool {
	at := r.listCompleteAt.Load()
	return at != 0 && int64(boottime.Now()) >= at
}

// maxListGap is the longest time since the last answer of an earlier era after which a list
// that was complete stays so. It covers a store that is away for a moment.
const maxListGap = 6 * time.Second

// BeginEra prepares for the first list of a new era of the store, which may lack targets
// that were listed in the last seconds of the earlier one. sinceAnswer is the time since the
// last answer of that era. Targets that the list lacks are kept for unlistedRetention, so a
// list that was complete until shortly before stays complete.
func (r *Registry) BeginEra(era store.Era, sinceAnswer time.Duration) {
	complete := r.listComplete() && sinceAnswer <= maxListGap
	r.keepComplete.Store(complete)
	r.Log.StateChange("targets_doubtful", "era", era.String(), "complete", complete, "since_answer_ms", sinceAnswer.Milliseconds())
}

// SetTargets replaces the list of targets.
func (r *Registry) SetTargets(targets []catalog.Target) {
	if !r.keepComplete.Swap(false) {
		r.listCompleteAt.Store(int64(boottime.Now() + listSettleTime))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(targets))
	for _, info := range targets {
		present[info.ID] = true
		r.putTargetLocked(info)
	}
	for id := range r.targets {
		if !present[id] {
			r.unlistLocked(id)
		}
	}
}

// PutTarget adds or updates one target.
func (r *Registry) PutTarget(info catalog.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putTargetLocked(info)
}

// RemoveTarget marks a target as unlisted. It is dropped after unlistedRetention unless
// it is listed again.
func (r *Registry) RemoveTarget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlistLocked(id)
}

// putTargetLocked adds or updates one target. r.mu must be held.
func (r *Registry) putTargetLocked(info catalog.Target) {
	entry := r.targets[info.ID]
	if entry != nil {
		old := entry.target.Info()
		entry.unlistedAt = time.Time{}
		entry.target.unlisted.Store(false)
		entry.target.SetInfo(info)
		if old.Incarnation != info.Incarnation || old.Primary != info.Primary || old.Draining != info.Draining {
			r.Log.StateChange("target_changed", "target", info.ID, "group", info.Group, "primary", info.Primary, "draining", info.Draining, "incarnation", info.Incarnation)
			r.groupLocked(info.Group).TriggerCheck()
		}
		// A restarted target has lost its connections and its state, so it is replaced,
		// as is one with another address or group.
		if old.Address == info.Address && old.Group == info.Group && old.Incarnation == info.Incarnation {
			r.restoreLocked(entry)
			return
		}
		r.dropLocked(info.ID)
	}
	t := NewTarget(info, r.Dialer)
	r.targets[info.ID] = &targetEntry{target: t}
	r.Log.StateChange("target_listed", "target", info.ID, "group", info.Group, "address", info.Address, "domain", info.FailureDomain, "primary", info.Primary, "draining", info.Draining)
	g := r.groupLocked(info.Group)
	r.publishTargets(g)
	g.TriggerCheck()
}

// restoreLocked makes a former target that is listed again one of the group's targets. r.mu
// must be held.
func (r *Registry) restoreLocked(entry *targetEntry) {
	if !entry.former {
		return
	}
	entry.former = false
	g := r.groupLocked(entry.target.Info().Group)
	r.publishTargets(g)
	g.TriggerCheck()
}

// unlistLocked marks a target as unlisted. r.mu must be held.
func (r *Registry) unlistLocked(id string) {
	entry := r.targets[id]
	if entry == nil || !entry.unlistedAt.IsZero() {
		return
	}
	entry.unlistedAt = time.Now()
	entry.target.unlisted.Store(true)
	r.groupLocked(entry.target.Info().Group).targetLostAt.Store(int64(boottime.Now()))
	r.Log.StateChange("target_unlisted", "target", id, "kept_ms", unlistedRetention.Milliseconds())
}

// dropLocked removes a target and closes its pool. r.mu must be held.
func (r *Registry) dropLocked(id string) {
	entry := r.targets[id]
	delete(r.targets, id)
	entry.target.Pool.Close()
	g := r.groupLocked(entry.target.Info().Group)
	if entry.unlistedAt.IsZero() {
		g.targetLostAt.Store(int64(boottime.Now()))
	}
	r.publishTargets(g)
	g.TriggerCheck()
	r.Log.StateChange("target_dropped", "target", id, "group", g.Name)
}

// publishTargets updates the targets of a group and their limits. r.mu must be held.
func (r *Registry) publishTargets(g *Group) {
	targets, former := []*Target{}, []*Target{}
	for _, entry := range r.targets {
		switch {
		case entry.target.Info().Group != g.Name:
		case entry.former:
			former = append(former, entry.target)
		default:
			targets = append(targets, entry.target)
		}
	}
	g.targets.Store(&targets)
	g.former.Store(&former)
	g.applyLimits()
}

// Run maintains the targets and their pools at each trimInterval until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.maintain(now)
		}
	}
}

// maintain closes surplus connections and drops targets that have been unlisted for
// longer than unlistedRetention.
func (r *Registry) maintain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, entry := range r.targets {
		g := r.groupLocked(entry.target.Info().Group)
		retention := unlistedRetention
		if g.Limits().SyncReplicas > 0 {
			retention = formerRetention
		}
		switch unlistedFor := now.Sub(entry.unlistedAt); {
		case entry.unlistedAt.IsZero() || unlistedFor <= unlistedRetention:
		case unlistedFor > retention:
			r.dropLocked(id)
			continue
		case !entry.former:
			entry.former = true
			r.publishTargets(g)
			g.TriggerCheck()
			r.Log.StateChange("target_retired", "target", id, "group", g.Name, "kept_ms", formerRetention.Milliseconds())
		}
		entry.target.Pool.Trim(now, g.inUse())
	}
}
