package home

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
)

// askOpinions asks other failure domains about a primary that is silent here;
// d.mu is held.
func (d *database) askOpinions(now time.Time) {
	w := &d.watcher
	i := d.members.Load().byName[w.primary.Name]
	if d.home.config.RemoteEvidence == nil || i == nil || w.asking {
		return
	}
	if !d.urgent.Load() {
		return
	}
	w.asking = true
	go d.collectOpinions(w.primary.Name)
}

func (d *database) collectOpinions(name string) {
	ctx, cancel := context.WithTimeout(d.ctx, group.DefaultSilence)
	defer cancel()
	opinions := d.home.config.RemoteEvidence(ctx, d.key.Service, d.key.Database, name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watcher.asking = false
	for _, e := range opinions {
		d.watcher.detector.Observe(e)
	}
}

// LocalEvidence returns what this home sees of a target, for a home of another failure
// domain. It is false if nothing is known yet; the home then begins to look.
func (h *Home) LocalEvidence(service, databaseName, name string) (group.Evidence, bool) {
	key := databaseKey{service, databaseName}
	snapshot := h.config.Source.Current()
	if _, ok := snapshot.Database(service, databaseName); !ok || !h.enter() {
		return group.Evidence{}, false
	}
	defer h.leave()
	d := h.database(key, snapshot)
	defer d.leave()
	i := d.members.Load().byName[name]
	if i == nil {
		return group.Evidence{}, false
	}
	return i.opinion(time.Now())
}

func (i *instance) opinion(now time.Time) (group.Evidence, bool) {
	e := group.Evidence{
		At: now, FailureDomain: i.database.home.config.FailureDomain, Target: i.declared.Name, RoundTrip: i.roundTrip(),
	}
	silence, refused := i.silence(now)
	switch {
	case refused:
		e.Kind = group.EvidenceRefused
	case silence > 0:
		e.Kind, e.SilentFor = group.EvidenceSilence, silence
	default:
		e.Kind = group.EvidenceAnswer
	}
	return e, i.roundTrip() > 0 || silence > 0
}
