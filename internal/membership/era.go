package membership

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Timing after the store has begun a new era, in which registrations may be missing.
const (
	// registrationSpread is the time per registered VM over which the VMs that have to
	// register again spread their calls, and minRegistrationSpread the least such time.
	registrationSpread    = 5 * time.Millisecond
	minRegistrationSpread = 500 * time.Millisecond
	// missingGrace is how long after the spread a VM that has not registered again is kept.
	missingGrace = 3 * time.Second
)

// BeginEra prepares for the first list of registrations of a new era of the store. VMs that
// the list lacks are kept for a time, because they are told to register again.
func (m *Members) BeginEra(era store.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	spread := max(minRegistrationSpread, time.Duration(len(m.registered))*registrationSpread)
	m.missingUntil = time.Now().Add(spread + missingGrace)
	m.registrationDelay.Store(int64(rand.N(spread)))
	m.verifyOwn = true
	m.log.StateChange("registrations_doubtful", "era", era.String(), "known", len(m.registered), "kept_ms", (spread + missingGrace).Milliseconds())
}

// keepMissing returns the registrations that a listing lacks and that are to be kept, because
// the store has begun a new era. m.mu must be held.
func (m *Members) keepMissing(now time.Time, listed []store.Object) map[string]registeredVM {
	kept := map[string]registeredVM{}
	if !now.Before(m.missingUntil) {
		return kept
	}
	for name, r := range m.registered {
		r.missing = true
		kept[name] = r
	}
	for _, o := range listed {
		delete(kept, o.Name)
	}
	return kept
}

// dropMissing removes the VMs that have not registered again in time. m.mu must be held.
func (m *Members) dropMissing(now time.Time) {
	if m.missingUntil.IsZero() || now.Before(m.missingUntil) {
		return
	}
	m.missingUntil = time.Time{}
	dropped := 0
	for name, r := range m.registered {
		if r.missing {
			delete(m.registered, name)
			dropped++
		}
	}
	if dropped > 0 {
		m.log.StateChange("registrations_dropped", "count", dropped)
		m.updateTracker()
	}
}

// ownRegistrationLost reports whether the store lacks the registration of this daemon or has
// another one, in the first list of a new era. m.mu must be held.
func (m *Members) ownRegistrationLost() bool {
	own, ok := m.registered[m.self.Name]
	return !ok || own.missing || own.vm.Address != m.self.Peer.String() || own.vm.FailureDomain != m.self.FailureDomain || own.vm.Capacity != m.self.Capacity
}
