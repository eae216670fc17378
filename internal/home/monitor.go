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

// Intervals and limits of the monitoring of a primary.
const (
	// alarmDuration is how long the instances are probed at the active interval after a
	// sign of a failure.
	alarmDuration = 10 * time.Second
	// openTermTimeout is how long a primary may take to open its term, and how long an
	// instance may have a higher term than the primary, before the group needs a
	// promotion.
	openTermTimeout = 1500 * time.Millisecond
	// followInterval is the pause between two attempts to make an instance follow the
	// primary.
	followInterval = 250 * time.Millisecond
	// handOverRetryDelay is the pause after a hand-over that failed.
	handOverRetryDelay = 2 * time.Second
	// maxHandOverAttempts is how often an ordered hand-over is tried before the primary
	// is replaced as if it had failed.
	maxHandOverAttempts = 2
)

// primaryMonitor is the failure detection state of a database; it is guarded by
// database.mu.
type primaryMonitor struct {
	detector group.Detector
	// primary is the primary that the detector watches.
	primary group.Primary
	// noPrimarySince is when the database was first seen without an open primary; zero if
	// it has one.
	noPrimarySince time.Time
	// higherTermSince is when an instance was first seen with a higher term than primary,
	// because another home runs or has begun a promotion; zero if there is none.
	higherTermSince time.Time
	suspectedSince  time.Time
	alarmUntil      time.Time
	// collecting is set while remote evidence is being requested.
	collecting bool
	// promotion is the running promotion, or nil.
	promotion *promotion
	// lastFollow holds when each instance was last sent a follow call.
	lastFollow map[string]time.Time
	// handOverAttempts counts the hand-overs of the primary that were started.
	handOverAttempts int
	lastHandOver     time.Time
}

// raiseAlarm has the instances probed at the active interval for alarmDuration, and
// probes them at once if no alarm was raised.
func (d *database) raiseAlarm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raiseAlarmLocked()
}

func (d *database) raiseAlarmLocked() {
	now := time.Now()
	expired := now.After(d.monitor.alarmUntil)
	d.monitor.alarmUntil = now.Add(alarmDuration)
	if expired {
		d.probeAll()
	}
}

func (d *database) hasAlarm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.monitor.alarmUntil)
}

// newDetector returns a detector that needs the agreement of another failure domain, or
// one that relies on the evidence of this home if the home cannot ask others.
func (h *Home) newDetector() group.Detector {
	if h.config.RemoteEvidence == nil {
		return &group.FixedTimeoutDetector{Timeout: group.DefaultSilence}
	}
	return &group.CorroboratedDetector{Silence: group.DefaultSilence, Domain: h.config.FailureDomain, RequiredDomains: 1}
}

// observe passes the result of a status call to the detector; database.mu is held.
func (m *primaryMonitor) observe(d *database, i *instance, o group.Observation, err error) {
	if i.declared.Name != m.primary.Name {
		return
	}
	e := group.Evidence{
		Kind: group.EvidenceAnswer, At: o.CallEnded, FailureDomain: d.home.config.FailureDomain,
		Target: i.declared.Name, RoundTrip: o.CallEnded.Sub(o.CallStarted),
	}
	if err != nil {
		d.raiseAlarmLocked()
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		e.Kind = group.EvidenceRefused
	}
	m.detector.Observe(e)
}

// monitorPrimary checks the primary at intervals until the database is retired.
func (d *database) monitorPrimary() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		}
		d.checkPrimary(time.Now())
		if d.urgent.Load() {
			timer.Reset(group.UrgentInterval)
		} else {
			timer.Reset(min(d.probeInterval(), group.ProbeInterval*maxMonitorPauseProbes))
		}
	}
}

// maxMonitorPauseProbes bounds the pause of monitorPrimary while a database is idle, in
// probe intervals, so that an alarm is acted on soon.
const maxMonitorPauseProbes = 4

// checkPrimary runs one round of the monitoring: it updates the state of the primary and
// starts a hand-over or a promotion if one is due.
func (d *database) checkPrimary(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired || d.view == nil {
		return
	}
	d.trackPrimary(now)
	d.urgent.Store(d.needsUrgentProbes(now))
	d.repointStragglers(now)
	d.requestRemoteEvidence(now)
	for _, i := range d.members.Load().byName {
		i.abortSilent(now)
	}
	if !d.needsPromotion(now) {
		d.monitor.suspectedSince = time.Time{}
		d.startHandOver(now)
		return
	}
	if d.monitor.suspectedSince.IsZero() {
		d.monitor.suspectedSince = now
		klog.Warningf("home: %s: primary %q of term %d is suspected", d.key, d.monitor.primary.Name, d.monitor.primary.Term)
	}
	if now.Sub(d.monitor.suspectedSince) >= d.electionDelay() {
		d.startPromotion(now, "")
	}
}

// trackPrimary updates the monitor to the primary that the group has now; d.mu is held.
func (d *database) trackPrimary(now time.Time) {
	monitor := &d.monitor
	if monitor.detector == nil {
		monitor.detector = d.home.newDetector()
		monitor.lastFollow = make(map[string]time.Time)
	}
	p := d.view.Primary()
	switch {
	case p.Open:
		monitor.noPrimarySince = time.Time{}
	case monitor.noPrimarySince.IsZero():
		monitor.noPrimarySince = now
	}
	switch {
	case d.view.HighestTerm() <= max(p.Term, monitor.primary.Term):
		monitor.higherTermSince = time.Time{}
	case monitor.higherTermSince.IsZero():
		monitor.higherTermSince = now
	}
	if p.Name == "" || (p.Name == monitor.primary.Name && p.Term == monitor.primary.Term) {
		return
	}
	monitor.primary = p
	monitor.suspectedSince = time.Time{}
	monitor.handOverAttempts = 0
	monitor.detector.Reset(now, p.Name)
}

// needsPromotion reports whether the group needs a new primary; d.mu is held. It returns
// false while no primary is known and some instance has not been probed yet.
func (d *database) needsPromotion(now time.Time) bool {
	monitor := &d.monitor
	if len(d.probed) < len(d.members.Load().electorate) && monitor.primary.Name == "" {
		return false
	}
	if !d.isBusyOrHasAlarm(now) {
		return false
	}
	suspected := monitor.primary.Name != "" && monitor.detector.Suspects(now)
	switch {
	case hasLasted(monitor.noPrimarySince, now, openTermTimeout) || hasLasted(monitor.higherTermSince, now, openTermTimeout):
		return true
	case d.view.Primary().Name == "" && hasLasted(monitor.noPrimarySince, now, group.DefaultSilence):
		return true
	default:
		return suspected && monitor.higherTermSince.IsZero()
	}
}

// needsUrgentProbes reports whether the primary has not answered or no term is open, so
// that the instances are to be probed at group.UrgentInterval; d.mu is held.
func (d *database) needsUrgentProbes(now time.Time) bool {
	if !d.isBusyOrHasAlarm(now) {
		return false
	}
	if !d.monitor.noPrimarySince.IsZero() {
		return true
	}
	i := d.members.Load().byName[d.monitor.primary.Name]
	if i == nil {
		return false
	}
	silence, refused := i.silence(now)
	return refused || silence >= 2*group.ProbeInterval
}

// hasLasted reports whether a condition that began at since has lasted for limit. A zero
// since means that the condition does not hold.
func hasLasted(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= limit
}

func (d *database) isBusyOrHasAlarm(now time.Time) bool {
	return d.isBusy() || now.Before(d.monitor.alarmUntil)
}

// electionDelay returns how long this home waits for other homes to start the promotion;
// d.mu is held.
func (d *database) electionDelay() time.Duration {
	m := d.members.Load()
	candidates := make([]group.Instance, 0, len(m.electorate))
	for _, name := range m.electorate {
		o, known := d.view.Latest(name)
		candidates = append(candidates, group.Instance{
			Target:        name,
			FailureDomain: m.byName[name].declared.FailureDomain,
			Reachable:     known && m.byName[name].isResponsive(),
			Last:          o.Status.Last,
		})
	}
	return group.ElectionDelay(group.ElectionRank(d.home.config.FailureDomain, candidates), d.home.seedOf(d.key))
}

// seedOf returns a seed that differs between homes and databases.
func (h *Home) seedOf(key databaseKey) uint64 {
	return h.config.Seed ^ xxhash.Sum64String(h.config.VM+"/"+key.String())
}

// repointStragglers makes instances of older terms follow the primary; d.mu is held.
func (d *database) repointStragglers(now time.Time) {
	byName := d.members.Load().byName
	for _, action := range d.view.FollowActions() {
		i, primary := byName[action.Target], byName[action.Primary]
		if i == nil || primary == nil || now.Sub(d.monitor.lastFollow[action.Target]) < followInterval {
			continue
		}
		d.monitor.lastFollow[action.Target] = now
		go d.follow(i, primary, action.Term)
	}
}

func (d *database) follow(i, primary *instance, term position.Term) {
	ctx, cancel := context.WithTimeout(i.ctx, d.home.timings.StatusTimeout)
	defer cancel()
	_, err := d.callControl(ctx, i, func(c target.Control) (target.Status, error) {
		return c.Follow(ctx, term, primary.declared.Address)
	})
	switch {
	case err == nil:
		klog.Infof("home: %s: %s follows %s in term %d", d.key, i.declared.Name, primary.declared.Name, term)
	case !errors.Is(err, target.ErrFenced):
		klog.V(2).Infof("home: %s: making %s follow the primary failed: %v", d.key, i.declared.Name, err)
	}
}

// callControl runs a call on the control connection of an instance and applies the status
// that it returns.
func (d *database) callControl(ctx context.Context, i *instance, call func(target.Control) (target.Status, error)) (group.Observation, error) {
	o := group.Observation{CallStarted: time.Now()}
	err := i.withControl(ctx, func(c target.Control) (err error) {
		o.Status, err = call(c)
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
		d.probeDue()
		d.publishState()
	}
	return o, nil
}
