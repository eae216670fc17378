package home

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
)

// startHandOver starts an ordered replacement of a drained primary; d.mu is held. After
// maxHandOverAttempts it starts a promotion as for a failed primary. It does nothing if
// every instance is drained.
func (d *database) startHandOver(now time.Time) {
	monitor := &d.monitor
	m := d.members.Load()
	p := d.view.Primary()
	if !p.Open || monitor.promotion != nil || !m.snapshot.Drained(configuration.DrainTarget, p.Name) {
		return
	}
	if len(d.drainedTargets()) == len(m.electorate) || now.Sub(monitor.lastHandOver) < handOverRetryDelay+d.electionDelay() {
		return
	}
	monitor.lastHandOver = now
	if monitor.handOverAttempts >= maxHandOverAttempts {
		d.startPromotion(now, "")
		return
	}
	monitor.handOverAttempts++
	d.startPromotion(now, p.Name)
}

// drainedTargets returns the instances that are marked as drained.
func (d *database) drainedTargets() []string {
	m := d.members.Load()
	var names []string
	for _, name := range m.electorate {
		if m.snapshot.Drained(configuration.DrainTarget, name) {
			names = append(names, name)
		}
	}
	return names
}
