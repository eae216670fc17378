package home

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"k8s.io/klog/v2"
)

// keptPromotions is how many finished promotions of a database stay in the store.
const keptPromotions = 16

// Reasons of promotions in reports.
const (
	promotionSilent = "silent"
	promotionDrain  = "drain"
)

// promotion runs the commands of a group.Promotion.
type promotion struct {
	database  *database
	decider   *group.Promotion
	startedAt time.Time
	// openedAt is when the opening entry of the new term was confirmed.
	openedAt time.Time
	handOver string
	results  chan group.Result
	ctx      context.Context
	cancel   context.CancelFunc
}

// startPromotion begins a promotion unless one is running or the home has no store; d.mu
// is held. handOver is the primary that hands over in order; empty if the primary failed.
func (d *database) startPromotion(now time.Time, handOver string) {
	if d.monitor.promotion != nil || d.home.config.Store == nil {
		return
	}
	settings := group.PromotionSettings{
		Electorate:    d.members.Load().electorate,
		HighestTerm:   d.view.HighestTerm(),
		SuspectedTerm: d.monitor.primary.Term,
		Nonce:         uuid.NewString(),
		Avoid:         d.drainedTargets(),
		HandOverFrom:  handOver,
		Seed:          d.home.seedOf(d.key) + uint64(d.view.HighestTerm()),
	}
	ctx, cancel := context.WithCancel(d.ctx)
	p := &promotion{
		database: d, decider: group.NewPromotion(settings), startedAt: now, handOver: handOver,
		results: make(chan group.Result), ctx: ctx, cancel: cancel,
	}
	d.monitor.promotion = p
	d.monitor.alarmUntil = now.Add(alarmDuration)
	klog.Infof("home: %s: promotion started, replaces term %d, hand-over %q", d.key, settings.HighestTerm, handOver)
	go p.run()
}

// run drives the promotion until it is over or the database is closed.
func (p *promotion) run() {
	defer p.finish()
	timer := time.NewTimer(0)
	defer timer.Stop()
	p.startCommands(p.decider.Start(time.Now()))
	for !p.decider.Ended() {
		timer.Reset(time.Until(p.decider.NextTick()))
		select {
		case <-p.ctx.Done():
			return
		case r := <-p.results:
			p.startCommands(p.decider.Handle(time.Now(), r))
		case <-timer.C:
			p.startCommands(p.decider.Tick(time.Now()))
		}
		if p.isSuperseded() {
			p.startCommands(p.decider.Abandon(time.Now()))
		}
		if _, opened := p.decider.Opened(); opened {
			if p.openedAt.IsZero() {
				p.openedAt = time.Now()
			}
			p.database.resumeWrites()
		}
	}
}

// isSuperseded reports whether the group has another primary already, or the suspected
// primary responds again.
func (p *promotion) isSuperseded() bool {
	d := p.database
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.view.Primary()
	if !p.decider.IsSupersededBy(current) || p.handOver == current.Name {
		return false
	}
	i := d.members.Load().byName[current.Name]
	if i == nil || !i.isResponsive() || len(d.drainedTargets()) > 0 && d.isDrained(current.Name) {
		return false
	}
	return !current.LastSeen.Before(p.startedAt)
}

func (d *database) isDrained(name string) bool {
	for _, n := range d.drainedTargets() {
		if n == name {
			return true
		}
	}
	return false
}

// finish ends the promotion, reports its result and lets writes run again.
func (p *promotion) finish() {
	p.cancel()
	d := p.database
	d.resumeWrites()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.decider.Phase() == group.PhaseFinished {
		go d.storePromotion(p.report())
	}
	d.monitor.promotion = nil
	d.monitor.suspectedSince = time.Time{}
	d.home.counters.promotion(p.decider.Phase().String())
	klog.Infof("home: %s: promotion to term %d %s after %s", d.key, p.decider.Term(), p.decider.Phase(), time.Since(p.startedAt).Round(time.Millisecond))
}

// report returns the report of a finished promotion.
func (p *promotion) report() report.Promotion {
	primary, _ := p.decider.Opened()
	reason := promotionSilent
	if p.handOver != "" {
		reason = promotionDrain
	}
	return report.Promotion{
		At: time.Now(), Service: p.database.key.Service, Database: p.database.key.Database,
		Term: primary.Term, Primary: primary.Name, Reason: reason, Took: p.openedAt.Sub(p.startedAt),
	}
}

// storePromotion writes a finished promotion to the store for operators. It overwrites an
// older promotion of the database, so that at most keptPromotions are kept. A failure is
// only logged.
func (d *database) storePromotion(r report.Promotion) {
	ctx, cancel := context.WithTimeout(d.ctx, d.home.timings.StatusTimeout)
	defer cancel()
	key := store.Key{Kind: store.KindPromotion, Name: fmt.Sprintf("%s.%d", d.key, r.Term%keptPromotions)}
	value, err := json.Marshal(r)
	if err != nil {
		klog.Errorf("home: %s: encoding the report of a promotion failed: %v", d.key, err)
		return
	}
	old, err := d.home.config.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		klog.Warningf("home: %s: promotion to term %d is not recorded: %v", d.key, r.Term, err)
		return
	}
	if _, err := d.home.config.Store.Put(ctx, store.Object{Key: key, Version: old.Version, Value: value}); err != nil {
		klog.Warningf("home: %s: promotion to term %d is not recorded: %v", d.key, r.Term, err)
	}
}

// startCommands runs each command in a goroutine of its own.
func (p *promotion) startCommands(commands []group.Command) {
	for _, c := range commands {
		if c.Kind == group.CommandResumeWrites {
			p.database.resumeWrites()
			continue
		}
		go p.runCommand(c)
	}
}

func (p *promotion) runCommand(c group.Command) {
	ctx, cancel := context.WithTimeout(p.ctx, p.database.home.timings.StatusTimeout)
	defer cancel()
	var r group.Result
	switch c.Kind {
	case group.CommandReadTerm:
		r = p.readTerm(ctx)
	case group.CommandPutTerm:
		r = p.putTerm(ctx, c)
	case group.CommandStopWrites:
		r.Err = p.stopWrites()
	default:
		r = p.callTarget(ctx, c)
	}
	r.Command = c
	if r.Err != nil {
		klog.V(1).Infof("home: %s: %s %s: %v", p.database.key, c.Kind, c.Target, r.Err)
	}
	select {
	case p.results <- r:
	case <-p.ctx.Done():
	}
}

func (p *promotion) readTerm(ctx context.Context) group.Result {
	o, err := p.database.home.config.Store.Get(ctx, p.database.termKey())
	if err != nil {
		return group.Result{Err: err}
	}
	return decodeTerm(o, nil)
}

// putTerm writes the term object. On a version conflict the result holds the object that
// is in the store.
func (p *promotion) putTerm(ctx context.Context, c group.Command) group.Result {
	value, err := json.Marshal(c.Object)
	if err != nil {
		return group.Result{Err: fmt.Errorf("encode term object: %w", err)}
	}
	o, err := p.database.home.config.Store.Put(ctx, store.Object{Key: p.database.termKey(), Version: c.Version, Value: value})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Current.Version == 0 {
			return group.Result{Err: err}
		}
		return decodeTerm(conflict.Current, err)
	}
	if err != nil {
		return group.Result{Err: err}
	}
	return decodeTerm(o, nil)
}

func decodeTerm(o store.Object, err error) group.Result {
	r := group.Result{Err: err, Version: o.Version}
	if decodeErr := json.Unmarshal(o.Value, &r.Object); decodeErr != nil {
		r.Err = errors.Join(err, fmt.Errorf("decode term object: %w", decodeErr))
	}
	return r
}

// stopWrites holds new writes back and waits until the running ones have ended.
func (p *promotion) stopWrites() error {
	d := p.database
	d.writes.stop()
	d.mu.Lock()
	d.publishState()
	d.mu.Unlock()
	return d.writes.wait(p.ctx)
}

// resumeWrites lets writes run again.
func (d *database) resumeWrites() {
	if !d.writes.isStopped() {
		return
	}
	d.writes.resume()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishState()
}

func (p *promotion) callTarget(ctx context.Context, c group.Command) group.Result {
	byName := p.database.members.Load().byName
	i := byName[c.Target]
	if i == nil {
		return group.Result{Err: fmt.Errorf("%w: no target %q", target.ErrNotSent, c.Target)}
	}
	o, err := p.database.callControl(ctx, i, func(control target.Control) (target.Status, error) {
		switch c.Kind {
		case group.CommandFence:
			return control.Fence(ctx, c.Term)
		case group.CommandPromote:
			return control.Promote(ctx, c.Term)
		case group.CommandFollow:
			primary := byName[c.Primary]
			if primary == nil {
				return target.Status{}, fmt.Errorf("%w: no target %q", target.ErrNotSent, c.Primary)
			}
			return control.Follow(ctx, c.Term, primary.declared.Address)
		default:
			return control.Status(ctx)
		}
	})
	return group.Result{Err: err, Observation: o}
}
