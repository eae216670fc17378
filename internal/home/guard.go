package home

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"k8s.io/klog/v2"
)

// Times of the guard of a database.
const (
	// alarmTime is how long statuses are wanted often after a sign of trouble.
	alarmTime = 10 * time.Second
	// unopenedTime is how long a primary may take to open its term, and how long
	// an instance may stand above the term of the primary.
	unopenedTime = 1500 * time.Millisecond
	// followPause is the pause between two attempts to make an instance follow.
	followPause = 250 * time.Millisecond
	// handOverPause is the pause after a hand-over that did not succeed.
	handOverPause = 2 * time.Second
	// maxHandOvers is how often an ordered hand-over is tried before the primary
	// is replaced as if it had failed.
	maxHandOvers = 2
)

// watcher follows the primary of a database; it is guarded by database.mu.
type watcher struct {
	detector group.Detector
	// primary is the primary that the detector watches.
	primary group.Primary
	// lostAt is when no open primary was known first; zero if one is.
	lostAt time.Time
	// rivalAt is when an instance was first seen above the term of primary, because
	// another home promotes or has begun to; zero if none is.
	rivalAt     time.Time
	suspectedAt time.Time
	alarmUntil  time.Time
	// asking says that opinions are being asked for.
	asking bool
	// promotion is the running promotion, or nil.
	promotion *promotion
	// followed is when each instance was last told to follow.
	followed map[string]time.Time
	// handOvers counts the hand-overs of the primary that did not succeed.
	handOvers  int
	handOverAt time.Time
}

// alarm makes statuses frequent for a while.
func (d *database) alarm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alarmLocked()
}

func (d *database) alarmLocked() {
	now := time.Now()
	quiet := now.After(d.watcher.alarmUntil)
	d.watcher.alarmUntil = now.Add(alarmTime)
	if quiet {
		d.look()
	}
}

func (d *database) alarmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.watcher.alarmUntil)
}

// newDetector returns the detector that fits what this home can ask.
func (h *Home) newDetector() group.Detector {
	if h.config.RemoteEvidence == nil {
		return &group.FixedTimeoutDetector{Timeout: group.DefaultSilence}
	}
	return &group.CorroboratedDetector{Silence: group.DefaultSilence, Domain: h.config.FailureDomain, RequiredDomains: 1}
}

// evidence enters the result of a status call; database.mu is held.
func (w *watcher) evidence(d *database, i *instance, o group.Observation, err error) {
	if i.declared.Name != w.primary.Name {
		return
	}
	e := group.Evidence{
		Kind: group.EvidenceAnswer, At: o.CallEnded, FailureDomain: d.home.config.FailureDomain,
		Target: i.declared.Name, RoundTrip: o.CallEnded.Sub(o.CallStarted),
	}
	if err != nil {
		d.alarmLocked()
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		e.Kind = group.EvidenceRefused
	}
	w.detector.Observe(e)
}

// guard looks after the primary until the database is retired.
func (d *database) guard() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		}
		d.check(time.Now())
		if d.urgent.Load() {
			timer.Reset(group.UrgentInterval)
		} else {
			timer.Reset(min(d.probeInterval(), group.ProbeInterval*guardSlack))
		}
	}
}

// guardSlack bounds the guard's pause while a database is quiet, in probe
// intervals, so that an alarm is soon acted on.
const guardSlack = 4

// check is one round of the guard.
func (d *database) check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired || d.view == nil {
		return
	}
	d.followPrimary(now)
	d.urgent.Store(d.needsHaste(now))
	d.tellStragglers(now)
	d.askOpinions(now)
	for _, i := range d.members.Load().byName {
		i.abandonSilent(now)
	}
	if !d.suspects(now) {
		d.watcher.suspectedAt = time.Time{}
		d.handOver(now)
		return
	}
	if d.watcher.suspectedAt.IsZero() {
		d.watcher.suspectedAt = now
		klog.Warningf("home: %s: primary %q of term %d is suspected", d.key, d.watcher.primary.Name, d.watcher.primary.Term)
	}
	if now.Sub(d.watcher.suspectedAt) >= d.electionDelay() {
		d.startPromotion(now, "")
	}
}

// followPrimary notes a change of the primary; d.mu is held.
func (d *database) followPrimary(now time.Time) {
	w := &d.watcher
	if w.detector == nil {
		w.detector = d.home.newDetector()
		w.followed = make(map[string]time.Time)
	}
	p := d.view.Primary()
	switch {
	case p.Open:
		w.lostAt = time.Time{}
	case w.lostAt.IsZero():
		w.lostAt = now
	}
	switch {
	case d.view.HighestTerm() <= max(p.Term, w.primary.Term):
		w.rivalAt = time.Time{}
	case w.rivalAt.IsZero():
		w.rivalAt = now
	}
	if p.Name == "" || (p.Name == w.primary.Name && p.Term == w.primary.Term) {
		return
	}
	w.primary = p
	w.suspectedAt = time.Time{}
	w.handOvers = 0
	w.detector.Reset(now, p.Name)
}

// suspects reports whether the group needs a new primary; d.mu is held. A group
// of which not every instance was asked yet is not suspected.
func (d *database) suspects(now time.Time) bool {
	w := &d.watcher
	if len(d.heard) < len(d.members.Load().electorate) && w.primary.Name == "" {
		return false
	}
	if !d.busyOrAlarmed(now) {
		return false
	}
	suspected := w.primary.Name != "" && w.detector.Suspects(now)
	switch {
	case lasts(w.lostAt, now, unopenedTime) || lasts(w.rivalAt, now, unopenedTime):
		return true
	case d.view.Primary().Name == "" && lasts(w.lostAt, now, group.DefaultSilence):
		return true
	default:
		return suspected && w.rivalAt.IsZero()
	}
}

// needsHaste reports whether the primary has been silent, or no term is open, so
// that the group is watched at the urgent pace; d.mu is held.
func (d *database) needsHaste(now time.Time) bool {
	if !d.busyOrAlarmed(now) {
		return false
	}
	if !d.watcher.lostAt.IsZero() {
		return true
	}
	i := d.members.Load().byName[d.watcher.primary.Name]
	if i == nil {
		return false
	}
	silence, refused := i.silence(now)
	return refused || silence >= 2*group.ProbeInterval
}

// lasts reports whether a condition that began at since has lasted for limit; the
// zero time stands for a condition that does not hold.
func lasts(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= limit
}

func (d *database) busyOrAlarmed(now time.Time) bool {
	return d.busy() || now.Before(d.watcher.alarmUntil)
}

// electionDelay returns how long this home leaves the promotion to others; d.mu
// is held.
func (d *database) electionDelay() time.Duration {
	m := d.members.Load()
	places := make([]group.Instance, 0, len(m.electorate))
	for _, name := range m.electorate {
		o, known := d.view.Latest(name)
		places = append(places, group.Instance{
			Target:        name,
			FailureDomain: m.byName[name].declared.FailureDomain,
			Reachable:     known && m.byName[name].answers(),
			Last:          o.Status.Last,
		})
	}
	return group.ElectionDelay(group.ElectionRank(d.home.config.FailureDomain, places), d.home.seedOf(d.key))
}

// seedOf returns a seed that differs between homes and databases.
func (h *Home) seedOf(key databaseKey) uint64 {
	return h.config.Seed ^ xxhash.Sum64String(h.config.VM+"/"+key.String())
}

// tellStragglers makes instances of older terms follow the primary; d.mu is held.
func (d *database) tellStragglers(now time.Time) {
	byName := d.members.Load().byName
	for _, action := range d.view.FollowActions() {
		i, primary := byName[action.Target], byName[action.Primary]
		if i == nil || primary == nil || now.Sub(d.watcher.followed[action.Target]) < followPause {
			continue
		}
		d.watcher.followed[action.Target] = now
		go d.tellFollow(i, primary, action.Term)
	}
}

func (d *database) tellFollow(i, primary *instance, term position.Term) {
	ctx, cancel := context.WithTimeout(i.ctx, d.home.timings.StatusTimeout)
	defer cancel()
	_, err := d.command(ctx, i, func(c target.Control) (target.Status, error) {
		return c.Follow(ctx, term, primary.declared.Address)
	})
	switch {
	case err == nil:
		klog.Infof("home: %s: %s follows %s in term %d", d.key, i.declared.Name, primary.declared.Name, term)
	case !errors.Is(err, target.ErrFenced):
		klog.V(2).Infof("home: %s: %s does not follow yet: %v", d.key, i.declared.Name, err)
	}
}

// command runs a control call and enters the status that it returns.
func (d *database) command(ctx context.Context, i *instance, f func(target.Control) (target.Status, error)) (group.Observation, error) {
	o := group.Observation{CallStarted: time.Now()}
	err := i.withControl(ctx, func(c target.Control) (err error) {
		o.Status, err = f(c)
		return err
	})
	o.CallEnded = time.Now()
	if err != nil {
		return o, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retired {
		d.observe(o)
		d.settleDue()
		d.publish()
	}
	return o, nil
}
