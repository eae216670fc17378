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

// databaseKey names a database of a service.
type databaseKey struct {
	Service  string
	Database string
}

// String formats k as it stands in the names of term objects.
func (k databaseKey) String() string {
	return k.Service + "." + k.Database
}

// database is the runtime of one database group. The decisions on it are made
// under mu; requests read the published state.
type database struct {
	home   *Home
	key    databaseKey
	ctx    context.Context
	cancel context.CancelFunc
	state  atomic.Pointer[state]
	// members is replaced as a whole when the configuration changes.
	members atomic.Pointer[members]
	// born is when the runtime was made.
	born  time.Time
	units atomic.Int64
	// urgent says that the group is watched at the urgent pace.
	urgent atomic.Bool
	// awaiting is how many requests wait for a primary.
	awaiting atomic.Int64
	// lastUse is the time of the latest unit in Unix nanoseconds.
	lastUse atomic.Int64
	writes  writeHold

	mu        sync.Mutex
	retired   bool
	confirmer *group.Confirmer
	view      *group.PrimaryView
	waiters   map[group.BatchID]chan group.Decision
	lastBatch group.BatchID
	// heartbeats are the batches that stand for statuses of the primary.
	heartbeats map[group.BatchID]struct{}
	due        *time.Timer
	// heard holds the instances that have answered or failed a status call.
	heard   map[string]struct{}
	watcher watcher
	// openPrimary is the primary of the latest term that was seen open.
	openPrimary group.Primary
}

// members is the set of instances of a database, made from one configuration.
type members struct {
	snapshot   *configuration.Snapshot
	declared   configuration.Database
	electorate group.Electorate
	byName     map[string]*instance
}

// deposedGrace is how long a replaced primary may take to answer what it was
// sent. After that nobody waits for it.
const deposedGrace = 100 * time.Millisecond

// publishPause is the least age of the published state before the answer of a
// replica replaces it.
const publishPause = 10 * time.Millisecond

// maxHeartbeats bounds the heartbeat batches that wait for confirmation.
const maxHeartbeats = 4

func newDatabase(h *Home, key databaseKey) *database {
	ctx, cancel := context.WithCancel(h.ctx)
	d := &database{
		home: h, key: key, ctx: ctx, cancel: cancel, born: time.Now(),
		waiters:    make(map[group.BatchID]chan group.Decision),
		heartbeats: make(map[group.BatchID]struct{}),
		heard:      make(map[string]struct{}),
	}
	d.state.Store(&state{changed: make(chan struct{})})
	d.members.Store(&members{byName: map[string]*instance{}})
	d.touch()
	return d
}

func (d *database) touch() {
	d.lastUse.Store(time.Now().UnixNano())
}

// sinceUse returns how long the database has not been in use.
func (d *database) sinceUse() time.Duration {
	if d.units.Load() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, d.lastUse.Load()))
}

// busy reports whether statuses are wanted often.
func (d *database) busy() bool {
	return d.sinceUse() < d.home.timings.IdleAfter
}

func (d *database) probeInterval() time.Duration {
	if d.urgent.Load() {
		return group.UrgentInterval
	}
	if d.busy() || d.alarmed() {
		return d.home.timings.ActiveProbeInterval
	}
	return d.home.timings.IdleProbeInterval
}

// configure makes the instances agree with the snapshot.
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
		next.byName[t.Name] = d.adopt(old, s, declared, t)
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

// reshare applies the home's present shares of the targets.
func (d *database) reshare() {
	m := d.members.Load()
	for _, i := range m.byName {
		i.resize(d.home.shares(m.snapshot, m.declared, i.declared))
	}
}

// adopt returns the instance for a declared target: the old one if it stands at
// the same address.
func (d *database) adopt(old *members, s *configuration.Snapshot, declared configuration.Database, t configuration.Target) *instance {
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

// resetGroup forgets what is known of the group; d.mu is held. Batches that wait
// are left to time out: they are neither confirmed nor denied.
func (d *database) resetGroup(e group.Electorate) {
	d.confirmer = group.NewConfirmer(e, 0)
	d.view = group.NewPrimaryView(e)
	clear(d.heartbeats)
	clear(d.heard)
}

// answered enters the result of a status call.
func (d *database) answered(i *instance, o group.Observation, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired || d.members.Load().byName[i.declared.Name] != i {
		return
	}
	d.heard[i.declared.Name] = struct{}{}
	d.watcher.evidence(d, i, o, err)
	if err != nil {
		klog.V(2).Infof("home: %s: status of %s failed: %v", d.key, i.declared.Name, err)
		d.confirmer.CallFailed(i.declared.Name)
	} else {
		d.observe(o)
	}
	d.settleDue()
	d.publish()
}

// observe enters a status; d.mu is held.
func (d *database) observe(o group.Observation) {
	d.view.Observe(o)
	d.deliver(d.confirmer.Observe(o))
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

// deliver hands decisions to the batches that wait; d.mu is held.
func (d *database) deliver(decisions []group.Decision) {
	for _, decision := range decisions {
		delete(d.heartbeats, decision.ID)
		if w, ok := d.waiters[decision.ID]; ok {
			delete(d.waiters, decision.ID)
			w <- decision
		}
	}
}

// settleDue starts the status calls that waiting batches need; d.mu is held.
func (d *database) settleDue() {
	byName := d.members.Load().byName
	names, next := d.confirmer.DueCalls(time.Now())
	for _, name := range names {
		byName[name].probe()
	}
	switch {
	case next.IsZero():
	case d.due == nil:
		d.due = time.AfterFunc(time.Until(next), d.onDue)
	default:
		d.due.Reset(time.Until(next))
	}
}

func (d *database) onDue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retired {
		d.settleDue()
	}
}

// publish makes the current state visible to requests; d.mu is held.
func (d *database) publish() {
	now := time.Now()
	old := d.state.Load()
	electorate := d.members.Load().electorate
	next := &state{
		primary:  d.view.Primary(),
		replicas: make(map[string]group.ReplicaState, len(electorate)),
		at:       now, lostAt: d.watcher.lostAt, held: d.writes.held(), changed: old.changed,
	}
	next.known = next.primary.Open || len(d.heard) == len(electorate)
	for _, name := range electorate {
		if r, ok := d.confirmer.Replica(name, now); ok {
			next.replicas[name] = r
		}
	}
	if next.sameRole(old) {
		d.state.Store(next)
		return
	}
	next.changed = make(chan struct{})
	d.state.Store(next)
	close(old.changed)
	if next.primary.Open && next.primary.Term > d.openPrimary.Term {
		d.moveWaiting(d.openPrimary, next.primary)
		d.openPrimary = next.primary
		time.AfterFunc(deposedGrace, d.abandonDeposed)
	}
	if next.primary.Name != old.primary.Name || next.primary.Term != old.primary.Term || next.primary.Open != old.primary.Open {
		klog.Infof("home: %s: primary %q, term %d, open %t", d.key, next.primary.Name, next.primary.Term, next.primary.Open)
	}
}

// look probes every instance at once.
func (d *database) look() {
	for _, i := range d.members.Load().byName {
		i.probe()
	}
}

// retire ends the runtime if it is not in use, or at once if forced.
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
	if d.due != nil {
		d.due.Stop()
	}
	return true
}

// enter counts a unit in, unless the runtime has been retired.
func (d *database) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired {
		return false
	}
	quiet := !d.busy()
	d.units.Add(1)
	if quiet {
		d.look()
	}
	return true
}

func (d *database) leave() {
	d.touch()
	d.units.Add(-1)
}

func (d *database) termKey() store.Key {
	return store.Key{Kind: store.KindTerm, Name: d.key.String()}
}
