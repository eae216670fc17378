package membership

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Times of registrations whose VM is gone.
const (
	// forgetInterval is the time between looks for VMs that are gone.
	forgetInterval = time.Minute
	// forgetAfter is how long a VM must have been found silent, look after look, before
	// its registration is removed. One that lives registers itself again.
	forgetAfter = 10 * time.Minute
)

// absences tells how long VMs have been silent at every look. It is not safe for
// concurrent use.
type absences struct {
	since map[string]time.Duration
}

// look takes in what a look at now found of a VM, and reports whether it counts as
// gone.
func (a *absences) look(name string, answers bool, now time.Duration) bool {
	if answers {
		delete(a.since, name)
		return false
	}
	since, ok := a.since[name]
	if !ok {
		a.since[name] = now
		return false
	}
	return now-since >= forgetAfter
}

// Deleter removes objects.
type Deleter interface {
	Delete(ctx context.Context, k store.Key, version store.Revision) error
}

// PruneRegistrations removes the registrations of VMs of the own failure domain that are gone,
// while this daemon is its relay, until ctx ends.
func (h *Members) PruneRegistrations(ctx context.Context, objects Deleter) {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	gone := absences{since: map[string]time.Duration{}}
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.Relay() != nil {
			clear(gone.since)
			continue
		}
		for name, r := range h.others() {
			if ctx.Err() == nil && gone.look(name, h.answersNow(name, r.vm.Address), time.Since(began)) {
				h.forget(ctx, objects, name, r.version)
			}
		}
	}
}

func (h *Members) forget(ctx context.Context, objects Deleter, name string, version store.Revision) {
	err := objects.Delete(ctx, store.Key{Kind: KindVM, Name: name}, version)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		// It has registered anew; that version is not this one's to remove.
	case err != nil:
		h.log.StateChange("vm_not_forgotten", "peer", name, "error", err.Error())
	default:
		h.log.StateChange("vm_forgotten", "peer", name, "revision", version, "silent_for_ms", forgetAfter.Milliseconds())
	}
}

// others returns the registrations of the other VMs of the own failure domain.
func (h *Members) others() map[string]listedVM {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]listedVM{}
	for name, r := range h.listed {
		if name != h.self.Name && r.vm.FailureDomain == h.self.FailureDomain {
			out[name] = r
		}
	}
	return out
}

// answersNow asks a VM on a connection of its own.
func (h *Members) answersNow(name, address string) bool {
	c := peer.NewClient(h.self.Name, name, address, h)
	defer c.Close()
	return c.IsReachable()
}

// KeepRegistered registers this daemon, and again whenever its registration is found
// removed, until ctx ends.
func (h *Members) KeepRegistered(ctx context.Context, objects Objects) {
	for ctx.Err() == nil {
		h.Register(ctx, objects)
		select {
		case <-ctx.Done():
		case <-h.removed:
			h.log.StateChange("registration_lost")
		}
	}
}
