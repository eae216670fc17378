package group

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// UnknownAge is the value of ReplicaState.Age if the age is unknown.
const UnknownAge = time.Duration(1<<63 - 1)

// watermarkCapacity is the number of watermarks that a ring holds.
const watermarkCapacity = 256

// Minimum time between consecutive watermarks of a ring. The fine ring gives precise
// ages, the coarse ring reaches further back.
const (
	fineSpacing   = 5 * time.Millisecond
	coarseSpacing = time.Second
)

// watermark states that everything confirmed before a time is at or before a
// position.
type watermark struct {
	at       time.Time
	position position.Position
}

// watermarks is a ring buffer of watermarks that ascend in time and position.
type watermarks struct {
	spacing time.Duration
	ring    [watermarkCapacity]watermark
	next    uint64
}

func (r *watermarks) count() uint64 {
	return min(r.next, watermarkCapacity)
}

// ago returns the i-th latest watermark; 0 is the latest.
func (r *watermarks) ago(i uint64) *watermark {
	return &r.ring[(r.next-1-i)%watermarkCapacity]
}

// add records a watermark. If its position equals that of the latest watermark, the
// latest one only advances in time. A watermark with an earlier position, or with a
// later position but no later time, is dropped.
func (r *watermarks) add(w watermark) {
	if r.next == 0 {
		r.push(w)
		return
	}
	latest := r.ago(0)
	if w.position.Compare(latest.position) <= 0 {
		if w.position == latest.position && w.at.After(latest.at) {
			latest.at = w.at
		}
		return
	}
	if !w.at.After(latest.at) {
		return
	}
	r.push(w)
}

// push appends a watermark, or overwrites the latest one if that one is less than the
// spacing after its predecessor.
func (r *watermarks) push(w watermark) {
	if r.count() >= 2 && r.ago(0).at.Sub(r.ago(1).at) < r.spacing {
		*r.ago(0) = w
		return
	}
	r.ring[r.next%watermarkCapacity] = w
	r.next++
}

// coveredUntil returns the latest time such that p covers everything confirmed before
// it, and false if no watermark is covered by p.
func (r *watermarks) coveredUntil(p position.Position) (time.Time, bool) {
	i := r.latestCovered(p)
	if i == r.count() {
		return time.Time{}, false
	}
	return r.ago(i).at, true
}

// firstUncovered returns the time of the earliest watermark in the ring that p does
// not cover, and false if p covers the latest one.
func (r *watermarks) firstUncovered(p position.Position) (time.Time, bool) {
	i := r.latestCovered(p)
	if i == 0 {
		return time.Time{}, false
	}
	return r.ago(i - 1).at, true
}

// latestCovered returns the index, as used by ago, of the latest watermark that p
// covers, or count() if p covers none.
func (r *watermarks) latestCovered(p position.Position) uint64 {
	lo, hi := uint64(0), r.count()
	for lo < hi {
		mid := (lo + hi) / 2
		if p.Covers(r.ago(mid).position) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// LastConfirmed returns the latest confirmed position and a time such that everything
// confirmed before the time is at or before the position. Both are zero if nothing
// has been confirmed.
func (c *Confirmer) LastConfirmed() (position.Position, time.Time) {
	if c.fineWatermarks.next == 0 {
		return position.Position{}, time.Time{}
	}
	latest := c.fineWatermarks.ago(0)
	return latest.position, latest.at
}

// ReplicaState describes an instance as a candidate for reads.
type ReplicaState struct {
	Status target.Status
	// Valid reports whether the instance has joined its term and holds an entry
	// of it.
	Valid bool
	// Age is the time since the primary was last known to be at or before the
	// instance's applied position, or UnknownAge. A session that began longer than
	// Age ago and has not observed any position may read from the instance.
	Age time.Duration
	// Lag is the smoothed replication lag: the time for which a confirmed entry is
	// missing on the instance. It is at least minLag, or zero if unknown.
	Lag time.Duration
	// LastSeen is the start of the call that returned Status.
	LastSeen time.Time
}

const (
	// lagSmoothingShift is the weight of a new lag sample as a power of two: 1/8.
	lagSmoothingShift = 3
	// minLag is the smallest lag that is recorded.
	minLag = time.Millisecond
)

// updateLag adds a lag sample for a replica: the time since the oldest entry that it
// lacks was confirmed.
func (c *Confirmer) updateLag(member int, o Observation) {
	if !isValidReplica(o.Status) {
		return
	}
	sample := minLag
	if at, missing := c.fineWatermarks.firstUncovered(o.Status.Applied); missing {
		sample = max(sample, o.CallStarted.Sub(at))
	}
	if c.lags[member] == 0 {
		c.lags[member] = sample
		return
	}
	c.lags[member] += (sample - c.lags[member]) >> lagSmoothingShift
}

// ConfirmationAge returns how long ago p was confirmed, or zero if that is unknown.
func (c *Confirmer) ConfirmationAge(p position.Position, now time.Time) time.Duration {
	if p.IsZero() || c.fineWatermarks.next == 0 {
		return 0
	}
	before := position.Position{Term: p.Term, Index: max(p.Index, 1) - 1}
	at, ok := c.fineWatermarks.firstUncovered(before)
	if !ok {
		return 0
	}
	return max(0, now.Sub(at))
}

// Replica returns the state of the named instance at time now, and false if no status
// of it is known.
func (c *Confirmer) Replica(name string, now time.Time) (ReplicaState, bool) {
	i := c.electorate.Index(name)
	if i < 0 || !c.statuses.observed.has(i) {
		return ReplicaState{Age: UnknownAge}, false
	}
	o := &c.statuses.latest[i]
	r := ReplicaState{Status: o.Status, Valid: c.rules.isValidReplica(o.Status), Age: UnknownAge,
		Lag: c.lags[i], LastSeen: o.CallStarted}
	if since, ok := c.coveredUntil(o.Status.Applied); ok && r.Valid {
		r.Age = max(0, now.Sub(since))
	}
	return r, true
}

// coveredUntil returns the latest time such that p covers everything confirmed before
// it. The coarse watermarks reach further back than the fine ones.
func (c *Confirmer) coveredUntil(p position.Position) (time.Time, bool) {
	if at, ok := c.fineWatermarks.coveredUntil(p); ok {
		return at, true
	}
	return c.coarseWatermarks.coveredUntil(p)
}

// isValidReplica reports whether an instance is a replica that has joined the term it
// is fenced at and holds an entry of that term. An instance that reports itself as
// primary is not a replica, even if another instance leads a later term: its last
// entries may not exist on any other instance.
func isValidReplica(s target.Status) bool {
	if s.Primary || s.Joined == 0 {
		return false
	}
	return s.Fence == s.Joined && s.Last.Term == s.Joined
}

// VerifyReplicaRead returns the verdict on a read that a replica of a group of n
// instances answered. after is the status that was read next on the same connection.
// sent is the term in which the replica was Valid according to a status received
// before the read was sent. Confirmed means that the data read survives any promotion.
// Waiting means that the read must be added to the Confirmer as a Batch. Deposed means
// that the read must be repeated on another instance.
//
// With up to three instances, an entry of the replica's term on the replica and on its
// primary is on a majority. Without the check of sent, the read may have returned a
// divergent tail that was truncated between the read and the status.
func VerifyReplicaRead(sent position.Term, after target.Status, n int) Verdict {
	return verifyReplicaRead(&safeRules, sent, after, n)
}

func verifyReplicaRead(r *rules, sent position.Term, after target.Status, n int) Verdict {
	if !r.isValidReplica(after) || after.Joined != sent {
		return Deposed
	}
	if n <= 3 {
		return Confirmed
	}
	return Waiting
}
