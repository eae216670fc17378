package membership

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Timing of the removal of stale registrations.
const (
	// pruneInterval is the time between probes of the registered VMs.
	pruneInterval = time.Minute
	// pruneAfter is how long a VM must fail every probe before its registration is
	// removed. A VM that is still running registers itself again.
	pruneAfter = 10 * time.Minute
)

// silenceTracker records since when each VM has failed every probe. It is not safe for
// concurrent use.
type silenceTracker struct {
	// since maps a VM to the time of the first of its failed probes.
	since map[string]time.Duration
}

// observe records the result of a probe of a VM at now, and reports whether the VM has
// been silent for pruneAfter.
func (t *silenceTracker) observe(name string, answers bool, now time.Duration) bool {
	if answers {
		delete(t.since, name)
		return false
	}
	since, ok := t.since[name]
	if !ok {
		t.since[name] = now
		return false
	}
	return now-since >= pruneAfter
}

// Deleter deletes objects from the store.
type Deleter interface {
	Delete(ctx context.Context, k store.Key, version store.Revision) error
}

// PruneRegistrations removes the registrations of VMs of this failure domain that have
// been silent for pruneAfter, until ctx ends. Only the relay of the failure domain does
// so.
func (m *Members) PruneRegistrations(ctx context.Context, objects Deleter) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	silence := silenceTracker{since: map[string]time.Duration{}}
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.Relay() != nil {
			clear(silence.since)
			continue
		}
		for name, peerVM := range m.domainPeers() {
			if ctx.Err() == nil && silence.observe(name, m.probe(ctx, name, peerVM.vm.Address), time.Since(started)) {
				m.removeRegistration(ctx, objects, name, peerVM.version)
			}
		}
	}
}

// removeRegistration deletes the given version of a VM's registration.
func (m *Members) removeRegistration(ctx context.Context, objects Deleter, name string, version store.Revision) {
	err := objects.Delete(ctx, store.Key{Kind: KindVM, Name: name}, version)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The VM has registered again; the new version must stay.
	case err != nil:
		m.log.StateChange("vm_not_forgotten", "peer", name, "error", err.Error())
	default:
		m.log.StateChange("vm_forgotten", "peer", name, "revision", version, "silent_for_ms", pruneAfter.Milliseconds())
	}
}

// domainPeers returns the registrations of the other VMs of this failure domain, by name.
func (m *Members) domainPeers() map[string]registeredVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]registeredVM{}
	for name, r := range m.registered {
		if name != m.self.Name && !r.missing && r.vm.FailureDomain == m.self.FailureDomain {
			out[name] = r
		}
	}
	return out
}

// probe reports whether a VM answers on a new connection before ctx ends.
func (m *Members) probe(ctx context.Context, name, address string) bool {
	c := peer.NewClient(m.identity(), name, address, m)
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	return c.IsReachable()
}

// KeepRegistered registers this daemon, and again whenever its registration has been
// removed, until ctx ends.
func (m *Members) KeepRegistered(ctx context.Context, objects Objects) {
	for ctx.Err() == nil {
		m.Register(ctx, objects)
		select {
		case <-ctx.Done():
		case <-m.removed:
			delay := time.Duration(m.registrationDelay.Swap(0))
			m.log.StateChange("registration_lost", "again_in_ms", delay.Milliseconds())
			ctxtime.Sleep(ctx, delay)
		}
	}
}
