package group

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// UnknownAge is the age of a replica of which nothing is known.
const UnknownAge = time.Duration(1<<63 - 1)

// markCount is how many confirmed positions a ring keeps.
const markCount = 256

// The least time between two kept positions of a ring.
const (
	fineSpacing   = 5 * time.Millisecond
	coarseSpacing = time.Second
)

// mark says that everything confirmed before a time stands at or before a
// position.
type mark struct {
	at       time.Time
	position position.Position
}

// marks is a ring of marks, rising in time and position.
type marks struct {
	spacing time.Duration
	ring    [markCount]mark
	next    uint64
}

func (m *marks) count() uint64 {
	return min(m.next, markCount)
}

// ago returns the mark that was added i marks ago; 0 is the latest.
func (m *marks) ago(i uint64) *mark {
	return &m.ring[(m.next-1-i)%markCount]
}

// add keeps a mark. A mark at a position no later than the latest one moves that
// one forward in time, and marks closer than the spacing share a place.
func (m *marks) add(n mark) {
	if m.next == 0 {
		m.push(n)
		return
	}
	latest := m.ago(0)
	if n.position.Compare(latest.position) <= 0 {
		if n.position == latest.position && n.at.After(latest.at) {
			latest.at = n.at
		}
		return
	}
	if !n.at.After(latest.at) {
		return
	}
	m.push(n)
}

// push appends a mark, in the place of the latest one if that one is close in
// time to the one before it.
func (m *marks) push(n mark) {
	if m.count() >= 2 && m.ago(0).at.Sub(m.ago(1).at) < m.spacing {
		*m.ago(0) = n
		return
	}
	m.ring[m.next%markCount] = n
	m.next++
}

// since returns the latest time of which everything confirmed is covered by p.
func (m *marks) since(p position.Position) (time.Time, bool) {
	i := m.firstCovered(p)
	if i == m.count() {
		return time.Time{}, false
	}
	return m.ago(i).at, true
}

// after returns the time of the earliest kept mark that p does not cover.
func (m *marks) after(p position.Position) (time.Time, bool) {
	i := m.firstCovered(p)
	if i == 0 {
		return time.Time{}, false
	}
	return m.ago(i - 1).at, true
}

// firstCovered returns how many marks ago the latest mark is that p covers, or
// the count of marks if it covers none.
func (m *marks) firstCovered(p position.Position) uint64 {
	lo, hi := uint64(0), m.count()
	for lo < hi {
		mid := (lo + hi) / 2
		if p.Covers(m.ago(mid).position) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// LastConfirmed returns the latest confirmed position and a time: everything that
// was confirmed before that time stands at or before the position. The time is
// zero if nothing was confirmed.
func (c *Confirmer) LastConfirmed() (position.Position, time.Time) {
	if c.fine.next == 0 {
		return position.Position{}, time.Time{}
	}
	m := c.fine.ago(0)
	return m.position, m.at
}

// ReplicaState is what is known of an instance as a place to read.
type ReplicaState struct {
	Status target.Status
	// Valid reports whether the instance has joined its term and holds an entry
	// of it.
	Valid bool
	// Age is the time since the primary was last known to be at or before the
	// instance's applied position; UnknownAge if that is not known. A session
	// that began longer ago than Age and has seen nothing may read here.
	Age time.Duration
	// Lag is the usual time for which a confirmed entry is missing on the
	// instance, smoothed; at least lagFloor, and zero if not known.
	Lag time.Duration
	// LastSeen is when the call that gave the status started.
	LastSeen time.Time
}

// The smoothing of the lag: each sample counts an eighth.
const (
	lagShift = 3
	lagFloor = time.Millisecond
)

// learnLag enters how long the oldest missing entry of a replica was missing.
func (c *Confirmer) learnLag(member int, o Observation) {
	if !showsConfirmed(o.Status) {
		return
	}
	sample := lagFloor
	if at, missing := c.fine.after(o.Status.Applied); missing {
		sample = max(sample, o.CallStarted.Sub(at))
	}
	if c.lags[member] == 0 {
		c.lags[member] = sample
		return
	}
	c.lags[member] += (sample - c.lags[member]) >> lagShift
}

// ConfirmationAge returns the time since a position is known to be confirmed; zero if that
// is not known.
func (c *Confirmer) ConfirmationAge(p position.Position, now time.Time) time.Duration {
	if p.IsZero() || c.fine.next == 0 {
		return 0
	}
	before := position.Position{Term: p.Term, Index: max(p.Index, 1) - 1}
	at, ok := c.fine.after(before)
	if !ok {
		return 0
	}
	return max(0, now.Sub(at))
}

// Replica returns what is known of an instance, and false if nothing is.
func (c *Confirmer) Replica(name string, now time.Time) (ReplicaState, bool) {
	i := c.electorate.Index(name)
	if i < 0 || !c.replicas.known.has(i) {
		return ReplicaState{Age: UnknownAge}, false
	}
	o := &c.replicas.latest[i]
	r := ReplicaState{Status: o.Status, Valid: c.rules.shows(o.Status), Age: UnknownAge, Lag: c.lags[i], LastSeen: o.CallStarted}
	if since, ok := c.coveredSince(o.Status.Applied); ok && r.Valid {
		r.Age = max(0, now.Sub(since))
	}
	return r, true
}

// coveredSince returns the latest time of which everything confirmed is covered
// by p.
func (c *Confirmer) coveredSince(p position.Position) (time.Time, bool) {
	if at, ok := c.fine.since(p); ok {
		return at, true
	}
	return c.coarse.since(p)
}

// showsConfirmed reports whether a replica has joined the term it is fenced at
// and holds an entry of it. An instance that calls itself primary is no replica,
// also when another one leads a later term: its last entries may be on no other
// instance.
func showsConfirmed(s target.Status) bool {
	if s.Primary || s.Joined == 0 {
		return false
	}
	return s.Fence == s.Joined && s.Last.Term == s.Joined
}

// VerifyReplicaRead judges a read on a replica by the status read behind it on the
// same connection, in a group of n instances. Confirmed: what was read outlasts
// any promotion. Waiting: add it to the Confirmer as a Batch. Deposed: the read
// must be repeated elsewhere.
//
// In a group of up to three, an entry of the replica's term on the replica and
// on its primary is on a majority. sent is the term in which the replica was
// Valid by a status received before the read was sent: without that, the read
// may have seen a leftover tail that was cut behind it.
func VerifyReplicaRead(sent position.Term, after target.Status, n int) Verdict {
	return replicaRead(&safeRules, sent, after, n)
}

func replicaRead(r *rules, sent position.Term, after target.Status, n int) Verdict {
	if !r.shows(after) || after.Joined != sent {
		return Deposed
	}
	if n <= 3 {
		return Confirmed
	}
	return Waiting
}
