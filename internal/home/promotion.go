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

// keptPromotions is how many finished promotions of a database are kept.
const keptPromotions = 16

// Reasons of promotions in reports.
const (
	promotionSilent = "silent"
	promotionDrain  = "drain"
)

// promotion carries out the commands of a group.Promotion.
type promotion struct {
	database *database
	decider  *group.Promotion
	started  time.Time
	// opened is when the opening entry was confirmed.
	opened   time.Time
	handOver string
	results  chan group.Result
	ctx      context.Context
	cancel   context.CancelFunc
}

// startPromotion begins a promotion unless one is running; d.mu is held. A
// handOver names the primary that hands over in order.
func (d *database) startPromotion(now time.Time, handOver string) {
	if d.watcher.promotion != nil || d.home.config.Store == nil {
		return
	}
	settings := group.PromotionSettings{
		Electorate:    d.members.Load().electorate,
		HighestTerm:   d.view.HighestTerm(),
		SuspectedTerm: d.watcher.primary.Term,
		Nonce:         uuid.NewString(),
		Avoid:         d.drained(),
		HandOverFrom:  handOver,
		Seed:          d.home.seedOf(d.key) + uint64(d.view.HighestTerm()),
	}
	ctx, cancel := context.WithCancel(d.ctx)
	p := &promotion{
		database: d, decider: group.NewPromotion(settings), started: now, handOver: handOver,
		results: make(chan group.Result), ctx: ctx, cancel: cancel,
	}
	d.watcher.promotion = p
	d.watcher.alarmUntil = now.Add(alarmTime)
	klog.Infof("home: %s: promotion started, replaces term %d, hand-over %q", d.key, settings.HighestTerm, handOver)
	go p.run()
}

// run drives the promotion to its end.
func (p *promotion) run() {
	defer p.finish()
	timer := time.NewTimer(0)
	defer timer.Stop()
	p.issue(p.decider.Start(time.Now()))
	for !p.decider.Ended() {
		timer.Reset(time.Until(p.decider.NextTick()))
		select {
		case <-p.ctx.Done():
			return
		case r := <-p.results:
			p.issue(p.decider.Handle(time.Now(), r))
		case <-timer.C:
			p.issue(p.decider.Tick(time.Now()))
		}
		if p.superseded() {
			p.issue(p.decider.Abandon(time.Now()))
		}
		if _, opened := p.decider.Opened(); opened {
			if p.opened.IsZero() {
				p.opened = time.Now()
			}
			p.database.resumeWrites()
		}
	}
}

// superseded reports whether the group has found another primary, or the one
// that was suspected is back.
func (p *promotion) superseded() bool {
	d := p.database
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.view.Primary()
	if !p.decider.IsSupersededBy(current) || p.handOver == current.Name {
		return false
	}
	i := d.members.Load().byName[current.Name]
	if i == nil || !i.answers() || len(d.drained()) > 0 && d.isDrained(current.Name) {
		return false
	}
	return !current.LastSeen.Before(p.started)
}

func (d *database) isDrained(name string) bool {
	for _, n := range d.drained() {
		if n == name {
			return true
		}
	}
	return false
}

// finish ends the promotion.
func (p *promotion) finish() {
	p.cancel()
	d := p.database
	d.resumeWrites()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.decider.Phase() == group.PhaseFinished {
		go d.recordPromotion(p.report())
	}
	d.watcher.promotion = nil
	d.watcher.suspectedAt = time.Time{}
	d.home.counters.promotion(p.decider.Phase().String())
	klog.Infof("home: %s: promotion to term %d %s after %s", d.key, p.decider.Term(), p.decider.Phase(), time.Since(p.started).Round(time.Millisecond))
}

// report describes a promotion that has finished.
func (p *promotion) report() report.Promotion {
	primary, _ := p.decider.Opened()
	reason := promotionSilent
	if p.handOver != "" {
		reason = promotionDrain
	}
	return report.Promotion{
		At: time.Now(), Service: p.database.key.Service, Database: p.database.key.Database,
		Term: primary.Term, Primary: primary.Name, Reason: reason, Took: p.opened.Sub(p.started),
	}
}

// recordPromotion keeps a finished promotion in the store for operators. The
// object of an older promotion of the database is written over, so that their
// number stays bounded. A failure is logged only.
func (d *database) recordPromotion(r report.Promotion) {
	ctx, cancel := context.WithTimeout(d.ctx, d.home.timings.StatusTimeout)
	defer cancel()
	key := store.Key{Kind: store.KindPromotion, Name: fmt.Sprintf("%s.%d", d.key, r.Term%keptPromotions)}
	value, err := json.Marshal(r)
	if err != nil {
		klog.Errorf("home: %s: encoding a promotion: %v", d.key, err)
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

// issue carries out commands, each by a goroutine of its own.
func (p *promotion) issue(commands []group.Command) {
	for _, c := range commands {
		if c.Kind == group.CommandResumeWrites {
			p.database.resumeWrites()
			continue
		}
		go p.carryOut(c)
	}
}

func (p *promotion) carryOut(c group.Command) {
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

// putTerm writes the term object. A lost race brings the winner along.
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
	if failure := json.Unmarshal(o.Value, &r.Object); failure != nil {
		r.Err = errors.Join(err, fmt.Errorf("decode term object: %w", failure))
	}
	return r
}

// stopWrites holds writes back and waits for those that run.
func (p *promotion) stopWrites() error {
	d := p.database
	d.writes.stop()
	d.mu.Lock()
	d.publish()
	d.mu.Unlock()
	return d.writes.wait(p.ctx)
}

// resumeWrites lets writes run again.
func (d *database) resumeWrites() {
	if !d.writes.held() {
		return
	}
	d.writes.resume()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish()
}

func (p *promotion) callTarget(ctx context.Context, c group.Command) group.Result {
	byName := p.database.members.Load().byName
	i := byName[c.Target]
	if i == nil {
		return group.Result{Err: fmt.Errorf("%w: no target %q", target.ErrNotSent, c.Target)}
	}
	o, err := p.database.command(ctx, i, func(control target.Control) (target.Status, error) {
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
