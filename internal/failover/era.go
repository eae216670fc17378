package failover

import "github.com/laburnumrack/laburnumrack/internal/store"

// ObservePoint records that the store has reached a point of its history. It shows how long
// the holder has not written the record when a promotion is needed, and a new era.
func (m *LockManager) ObservePoint(p store.Point) {
	m.observeEra(p.Era)
	m.revisions.add(p, m.now())
}

// observeEra records an era of the store. A later one than before makes the known record
// void.
func (m *LockManager) observeEra(era store.Era) {
	for {
		known := m.era.Load()
		if uint64(era) <= known {
			return
		}
		if m.era.CompareAndSwap(known, uint64(era)) {
			if known != 0 {
				m.erasChanged.Store(true)
			}
			return
		}
	}
}

// SawOneEra reports whether the store has not begun a new era since this process started.
func (m *LockManager) SawOneEra() bool {
	return !m.erasChanged.Load()
}

// Era returns the present era of the store, the highest one seen so far; zero before the
// first answer.
func (m *LockManager) Era() store.Era {
	return store.Era(m.era.Load())
}

// vacant reports whether the known record names no holder of the present era: there is no
// record, or it was written in an earlier era. m.mu must be held.
func (m *LockManager) vacant() bool {
	present := m.Era()
	return m.record.Holder == "" || m.object.Era != present || m.record.writtenIn() != present
}

// neverHeld reports whether nobody has ever held the promotion lock: there is no record, and
// a store that announces no eras does not lose one. m.mu must be held.
func (m *LockManager) neverHeld() bool {
	return m.object.Version == 0 && m.Era() == store.UnannouncedEra
}
