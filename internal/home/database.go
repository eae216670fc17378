package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"k8s.io/klog/v2"
)

// databaseKey identifies a database of a service.
type databaseKey struct {
	Service  string
	Database string
}

// String returns "service.database", the form used in the names of term objects.
func (k databaseKey) String() string {
	return k.Service + "." + k.Database
}

// database is the runtime of one database group. Its decisions are made under mu;
// requests read the published state.
type database struct {
	home   *Home
	key    databaseKey
	ctx    context.Context
	cancel context.CancelFunc
	state  atomic.Pointer[state]
	// members is replaced as a whole when the configuration changes.
	members atomic.Pointer[members]
	// createdAt is when the runtime was created.
	createdAt time.Time
	units     atomic.Int64
	// urgent is set while the instances are probed at group.UrgentInterval.
	urgent atomic.Bool
	// awaitingPrimary counts the requests that wait for a primary.
	awaitingPrimary atomic.Int64
	// lastUse is the time of the latest unit in Unix nanoseconds.
	lastUse atomic.Int64
	writes  writeBarrier

	mu        sync.Mutex
	retired   bool
	confirmer *group.Confirmer
	view      *group.PrimaryView
	waiters   map[group.BatchID]chan group.Decision
	lastBatch group.BatchID
	// heartbeats holds the batches that were added for statuses of the primary, without a
	// caller that waits for their confirmation.
	heartbeats map[group.BatchID]struct{}
	probeTimer *time.Timer
	// probed holds the instances that have answered or failed a status call.
	probed  map[string]struct{}
	monitor primaryMonitor
	// openPrimary is the primary of the latest term that was seen open.
	openPrimary group.Primary
}

// members is the set of instances of a database, built from one configuration.
type members struct {
	snapshot   *configuration.Snapshot
	declared   configuration.Database
	electorate group.Electorate
	byName     map[string]*instance
}

// deposedGracePeriod is how long a replaced primary may take to answer the batches that
// were sent to it. Their exchanges are then aborted.
const deposedGracePeriod = 100 * time.Millisecond

// minPublishInterval is the least age of the published state before the answer of a
// replica updates it.
const minPublishInterval = 10 * time.Millisecond

// maxHeartbeats bounds the heartbeat batches that wait for confirmation.
const maxHeartbeats = 4

func newDatabase(h *Home, key databaseKey) *database {
	ctx, cancel := context.WithCancel(h.ctx)
	d := &database{
		home: h, key: key, ctx: ctx, cancel: cancel, createdAt: time.Now(),
		waiters:    make(map[group.BatchID]chan group.Decision),
		heartbeats: make(map[group.BatchID]struct{}),
		probed:     make(map[string]struct{}),
	}
	d.state.Store(&state{changed: make(chan struct{})})
	d.members.Store(&members{byName: map[string]*instance{}})
	d.markUsed()
	return d
}

func (d *database) markUsed() {
	d.lastUse.Store(time.Now().UnixNano())
}

// sinceUse returns how long the database has not been in use; zero while units are open.
func (d *database) sinceUse() time.Duration {
	if d.units.Load() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, d.lastUse.Load()))
}

// isBusy reports whether the database was in use recently and is probed at the active
// interval.
func (d *database) isBusy() bool {
	return d.sinceUse() < d.home.timings.IdleAfter
}

func (d *database) probeInterval() time.Duration {
	if d.urgent.Load() {
		return group.UrgentInterval
	}
	if d.isBusy() || d.hasAlarm() {
		return d.home.timings.ActiveProbeInterval
	}
	return d.home.timings.IdleProbeInterval
}

// configure updates the instances to the given configuration snapshot.
func (d *database) configure(s *configuration.Snapshot) {
	if d.members.Load().snapshot == s {
		return
	}
	declared, ok := s.Database(d.key.Service, d.key.Database)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.members.Load()
	if old.snapshot == s || d.retired {
		return
	}
	next := &members{snapshot: s, declared: declared, byName: make(map[string]*instance, len(declared.Targets))}
	for _, t := range declared.Targets {
		next.electorate = append(next.electorate, t.Name)
		next.byName[t.Name] = d.reuseOrNewInstance(old, s, declared, t)
	}
	if !sameElectorate(old.electorate, next.electorate) {
		d.resetGroup(next.electorate)
	}
	d.members.Store(next)
	for name, i := range old.byName {
		if next.byName[name] != i {
			i.close()
		}
	}
	for name, i := range next.byName {
		if old.byName[name] != i {
			go i.watch()
		}
	}
}

// applyShares applies the current shares of the home to the targets.
func (d *database) applyShares() {
	m := d.members.Load()
	for _, i := range m.byName {
		i.resize(d.home.shares(m.snapshot, m.declared, i.declared))
	}
}

// reuseOrNewInstance returns the instance for a declared target: the old one if the
// declaration and the region are unchanged, or else a new one.
func (d *database) reuseOrNewInstance(old *members, s *configuration.Snapshot, declared configuration.Database, t configuration.Target) *instance {
	share := d.home.shares(s, declared, t)
	region := s.RegionOf(t.FailureDomain)
	i, ok := old.byName[t.Name]
	if ok && i.declared == t && i.region == region {
		i.resize(share)
		return i
	}
	return newInstance(d, t, region, share)
}

func sameElectorate(a, b group.Electorate) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// resetGroup discards the state of the group; d.mu is held. Batches that wait for a
// confirmation are neither confirmed nor denied and run into their timeout.
func (d *database) resetGroup(e group.Electorate) {
	d.confirmer = group.NewConfirmer(e, 0)
	d.view = group.NewPrimaryView(e)
	clear(d.heartbeats)
	clear(d.probed)
}

// recordStatus applies the result of a status call.
func (d *database) recordStatus(i *instance, o group.Observation, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired || d.members.Load().byName[i.declared.Name] != i {
		return
	}
	d.probed[i.declared.Name] = struct{}{}
	d.monitor.observe(d, i, o, err)
	if err != nil {
		klog.V(2).Infof("home: %s: status of %s failed: %v", d.key, i.declared.Name, err)
		d.confirmer.CallFailed(i.declared.Name)
	} else {
		d.observe(o)
	}
	d.probeDue()
	d.publishState()
}

// observe applies a status; d.mu is held. A status of the open primary also adds a
// heartbeat batch, whose confirmation makes the status count as a confirmed position.
func (d *database) observe(o group.Observation) {
	d.view.Observe(o)
	d.deliverDecisions(d.confirmer.Observe(o))
	p := d.view.Primary()
	if !o.Status.Primary || o.Status.Target != p.Name || o.Status.Joined != p.Term || len(d.heartbeats) >= maxHeartbeats {
		return
	}
	id := d.nextBatch()
	b := group.Batch{ID: id, Term: p.Term, Started: o.CallStarted, Ended: o.CallEnded, StatusAfter: o.Status}
	if d.confirmer.Add(b).Verdict == group.Waiting {
		d.heartbeats[id] = struct{}{}
	}
}

func (d *database) nextBatch() group.BatchID {
	d.lastBatch++
	return d.lastBatch
}

// deliverDecisions sends decisions to the requests that wait for them; d.mu is held.
func (d *database) deliverDecisions(decisions []group.Decision) {
	for _, decision := range decisions {
		delete(d.heartbeats, decision.ID)
		if w, ok := d.waiters[decision.ID]; ok {
			delete(d.waiters, decision.ID)
			w <- decision
		}
	}
}

// probeDue starts the status calls that waiting batches need; d.mu is held.
func (d *database) probeDue() {
	byName := d.members.Load().byName
	names, next := d.confirmer.DueCalls(time.Now())
	for _, name := range names {
		byName[name].probe()
	}
	switch {
	case next.IsZero():
	case d.probeTimer == nil:
		d.probeTimer = time.AfterFunc(time.Until(next), d.onProbeTimer)
	default:
		d.probeTimer.Reset(time.Until(next))
	}
}

func (d *database) onProbeTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retired {
		d.probeDue()
	}
}

// publishState makes the current state visible to requests; d.mu is held. It wakes the
// waiting requests if the state changes their routing.
func (d *database) publishState() {
	now := time.Now()
	old := d.state.Load()
	electorate := d.members.Load().electorate
	next := &state{
		primary:  d.view.Primary(),
		replicas: make(map[string]group.ReplicaState, len(electorate)),
		takenAt:  now, noPrimarySince: d.monitor.noPrimarySince, writesStopped: d.writes.isStopped(), changed: old.changed,
	}
	next.ready = next.primary.Open || len(d.probed) == len(electorate)
	for _, name := range electorate {
		if r, ok := d.confirmer.Replica(name, now); ok {
			next.replicas[name] = r
		}
	}
	if next.sameRouting(old) {
		d.state.Store(next)
		return
	}
	next.changed = make(chan struct{})
	d.state.Store(next)
	close(old.changed)
	if next.primary.Open && next.primary.Term > d.openPrimary.Term {
		d.redirectWaiting(d.openPrimary, next.primary)
		d.openPrimary = next.primary
		time.AfterFunc(deposedGracePeriod, d.abortDeposed)
	}
	if next.primary.Name != old.primary.Name || next.primary.Term != old.primary.Term || next.primary.Open != old.primary.Open {
		klog.Infof("home: %s: primary %q, term %d, open %t", d.key, next.primary.Name, next.primary.Term, next.primary.Open)
	}
}

// probeAll starts a status call to every instance.
func (d *database) probeAll() {
	for _, i := range d.members.Load().byName {
		i.probe()
	}
}

// retire closes the runtime if it has not been in use for RetireAfter, or at once if
// forced. It reports whether the runtime is closed.
func (d *database) retire(force bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired || (!force && (d.sinceUse() < d.home.timings.RetireAfter)) {
		return d.retired
	}
	d.retired = true
	d.cancel()
	for _, i := range d.members.Load().byName {
		i.close()
	}
	if d.probeTimer != nil {
		d.probeTimer.Stop()
	}
	return true
}

// addUnit counts a unit and reports whether it may run; it returns false if the runtime
// has been retired. The first unit after an idle time probes all instances.
func (d *database) addUnit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired {
		return false
	}
	idle := !d.isBusy()
	d.units.Add(1)
	if idle {
		d.probeAll()
	}
	return true
}

func (d *database) removeUnit() {
	d.markUsed()
	d.units.Add(-1)
}

func (d *database) termKey() store.Key {
	return store.Key{Kind: store.KindTerm, Name: d.key.String()}
}
