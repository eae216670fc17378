package home

import (
	"context"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
)

// requestRemoteEvidence asks other failure domains about a primary that does not respond
// here; d.mu is held.
func (d *database) requestRemoteEvidence(now time.Time) {
	monitor := &d.monitor
	i := d.members.Load().byName[monitor.primary.Name]
	if d.home.config.RemoteEvidence == nil || i == nil || monitor.collecting {
		return
	}
	if !d.urgent.Load() {
		return
	}
	monitor.collecting = true
	go d.collectRemoteEvidence(monitor.primary.Name)
}

func (d *database) collectRemoteEvidence(name string) {
	ctx, cancel := context.WithTimeout(d.ctx, group.DefaultSilence)
	defer cancel()
	evidence := d.home.config.RemoteEvidence(ctx, d.key.Service, d.key.Database, name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.collecting = false
	for _, e := range evidence {
		d.monitor.detector.Observe(e)
	}
}

// LocalEvidence returns the evidence of this home on a target, for a home of another
// failure domain. It returns false if nothing is known of the target yet; the home then
// starts to probe it.
func (h *Home) LocalEvidence(service, databaseName, name string) (group.Evidence, bool) {
	key := databaseKey{service, databaseName}
	snapshot := h.config.Source.Current()
	if _, ok := snapshot.Database(service, databaseName); !ok || !h.addUnit() {
		return group.Evidence{}, false
	}
	defer h.removeUnit()
	d := h.database(key, snapshot)
	defer d.removeUnit()
	i := d.members.Load().byName[name]
	if i == nil {
		return group.Evidence{}, false
	}
	return i.localEvidence(time.Now())
}

func (i *instance) localEvidence(now time.Time) (group.Evidence, bool) {
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
