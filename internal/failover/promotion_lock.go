// Package failover replaces the primary of a database group. Only the daemon that holds
// the promotion lock promotes. The holder, its fencing token and the intended terms are
// one object of the platform's store.
package failover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// PromotionLock is one tenure of the lock: the holder and its fencing token, which grows
// with each change of holder.
type PromotionLock struct {
	Holder string
	Token  uint64
}

// PromoteAnswer is the platform's answer to a promote call.
type PromoteAnswer uint8

// Answers to a promote call.
const (
	PromoteAccepted PromoteAnswer = iota
	// PromoteRefused means that the target isn't running.
	PromoteRefused
	// PromoteBusy means that the platform did not accept the call.
	PromoteBusy
	// PromoteOutcomeUnknown means that the platform may have accepted the call.
	PromoteOutcomeUnknown
)

// PromotionClient calls the platform to make target the primary of group, under the
// promotion lock d.
type PromotionClient interface {
	Promote(ctx context.Context, group, target string, d PromotionLock) (PromoteAnswer, error)
}

// Objects reads and writes objects of the platform's store.
type Objects interface {
	Get(ctx context.Context, k store.Key) (store.Object, error)
	Put(ctx context.Context, o store.Object) (store.Object, error)
}

// KindLock is the kind of the object that records the promotion lock, and of the objects
// that carry promotion requests.
const KindLock store.Kind = "laburnumrack-duty"

// lockKey is the key of the object that records the promotion lock and the intents.
var lockKey = store.Key{Kind: KindLock, Name: "promotion"}

// requestPrefix starts the name of an object by which a daemon asks the holder for a
// promotion; the name of the group follows.
const requestPrefix = "demand."

// promotionRequest is the value of an object that asks the holder for a promotion.
type promotionRequest struct {
	Group string        `json:"group"`
	Term  position.Term `json:"term"`
}

// lockRecord is the value of the object at lockKey.
type lockRecord struct {
	Holder string `json:"holder"`
	// Process distinguishes the holder from an earlier process of the same name.
	Process string `json:"process"`
	Token   uint64 `json:"token"`
	// Acts counts the writes, so that every write changes the value.
	Acts uint64 `json:"acts"`
	// Intents maps each group to the highest term that it may be promoted to.
	Intents map[string]position.Term `json:"intents,omitempty"`
	// UnusedIntents names the groups to whose intended term no promote call can have led:
	// all calls so far led to earlier terms. Releases that don't know the field drop it, and
	// the intents count as used then.
	UnusedIntents []string `json:"unused_intents,omitempty"`
	// Called maps each group to the target of the last promote call. A release that doesn't
	// know the field drops it, and any target may have been called then.
	Called map[string]string `json:"called,omitempty"`
	// CalledEnd maps each group to the end of the log with which that target was called. A
	// release that doesn't know the field drops it.
	CalledEnd map[string]position.Position `json:"called_end,omitempty"`
	// Members maps each group whose commits wait for replicas to its members, see members.go. A
	// release that doesn't know the field drops it, and only listed targets count then.
	Members map[string][]string `json:"members,omitempty"`
	// RecordsCalls tells that the last writer of the record knew UnusedIntents and Called. A
	// release that doesn't know them drops it.
	RecordsCalls bool `json:"records_calls,omitempty"`
	// Era is the era of the store in which the record was written. In a later era the
	// record is a copy: nobody holds the lock by it, and promotions that were recorded after
	// the copy was made are missing from its intents.
	Era store.Era `json:"era,omitempty"`
	// Unsettled names the groups of which the holder does not know yet whether they were
	// promoted in an earlier era.
	Unsettled []string `json:"unsettled,omitempty"`
}

// writtenIn returns the era in which the record was written. A daemon that doesn't know of
// eras writes none.
func (r lockRecord) writtenIn() store.Era {
	return max(r.Era, store.UnannouncedEra)
}

// Timing of the promotion lock.
const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 800 * time.Millisecond
	// lockFresh is the maximum age of the holder's last write of the record when it makes
	// a promote call.
	lockFresh = 300 * time.Millisecond
	// minHolderGap is the minimum time between the actions of two holders. The platform
	// counts actions of two holders within 3 s as a broken duty, its word for the lock.
	minHolderGap = 3 * time.Second
	// takeoverAfter is how long the record must be unchanged before another daemon takes
	// over the promotion lock. A holder acts at most lockFresh after it writes the
	// record, and the new holder first acts one TTL of the primary lease after its
	// takeover.
	takeoverAfter = minHolderGap + lockFresh + 100*time.Millisecond - primarylease.TTL
	// holderGrace is how long a promotion must be needed before the promotion lock is
	// taken over: a live holder writes the record within this time.
	holderGrace = 900 * time.Millisecond
	// probeFailureTTL is how long a failed probe of the holder counts.
	probeFailureTTL = time.Second
	// tokensPerEra is the number of tokens of one era. The tokens of an era are above all
	// those of earlier ones, whose last tokens the store may have lost.
	tokensPerEra = 1 << 20
	// recheckAfter is the age at which another holder's record is read again: a takeover
	// requires a read that is younger than lockFresh.
	recheckAfter = lockFresh
)

// ErrOtherHolder means that another daemon holds the promotion lock and that it may not
// be taken over yet, or that the lock in question is no longer the current one.
var ErrOtherHolder = errors.New("another daemon holds the promotion lock")

// LockManager acquires the promotion lock and verifies that it is still held. It is safe
// for concurrent use, except for SetProbe.
type LockManager struct {
	objects Objects
	name    string
	process string
	log     *eventlog.Log
	// now returns the time since boot.
	now func() time.Duration
	// probe reports whether the named daemon answers; nil if daemons can't be probed.
	probe func(name string) bool

	revisions revisionHistory
	// settle asks for promotions of earlier eras; nil if the targets can't be asked.
	settle Settler

	// era is the highest store.Era seen, the present one.
	era atomic.Uint64
	// erasChanged is set when a second era has been seen.
	erasChanged atomic.Bool
	// heldIn is the era in which the known record names this process as holder, and
	// claimedIn the one in which it names any; zero if it names none.
	heldIn, claimedIn atomic.Uint64
	// probing is set while a probe of the holder runs.
	probing atomic.Bool

	mu sync.Mutex
	// object is the last object read or written, record its decoded value.
	object store.Object // guarded by mu
	record lockRecord   // guarded by mu
	// unresponsive is the daemon that failed a probe last, and unresponsiveAt is when it
	// failed, since boot.
	unresponsive   string        // guarded by mu
	unresponsiveAt time.Duration // guarded by mu
	// unchangedSince is when this version of the object was first seen, readAt when the
	// object was last read, and writtenAt when the last successful write by this daemon
	// started, all since boot.
	unchangedSince, readAt, writtenAt time.Duration // guarded by mu
}

// NewLockManager returns the lock manager of the daemon name. process identifies this
// process and must differ at each start.
func NewLockManager(objects Objects, name, process string, log *eventlog.Log) *LockManager {
	return &LockManager{objects: objects, name: name, process: process, log: log, now: boottime.Now}
}

// Claim takes the promotion lock if nobody has held it in the present era, so that a holder
// is known before the first promotion is needed, and holders of earlier eras can no longer
// act. It returns nil if another daemon holds the lock, and ErrOtherHolder if a holder of an
// earlier era may still act. firstStart tells that the whole system has just been started
// for the first time, so that there was none.
func (m *LockManager) Claim(ctx context.Context, firstStart bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	if err := m.refresh(ctx); err != nil {
		return err
	}
	if !m.vacant() {
		return nil
	}
	first := m.neverHeld() || firstStart && m.object.Version == 0
	if !first && m.mustWaitForHolder(0) {
		return fmt.Errorf("%w until %s have passed", ErrOtherHolder, takeoverAfter)
	}
	next := m.tenure()
	if !first {
		m.settleEarlierEras(ctx, &next, nil)
	}
	err := m.write(ctx, next)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && !m.vacant() {
		return nil
	}
	if err == nil {
		m.log.StateChange("duty_claimed", "token", m.record.Token, "era", m.record.Era.String(), "intents", m.record.Intents, "unsettled", m.record.Unsettled)
	}
	return err
}

// HolderKnown reports whether a daemon is known to hold the promotion lock in the present
// era.
func (m *LockManager) HolderKnown() bool {
	claimed := m.claimedIn.Load()
	return claimed != 0 && claimed == m.era.Load()
}

// Acquire records the intent to promote the group once, to term as far as the targets tell,
// and returns the promotion lock.
//
// If another daemon holds the lock, Acquire takes it over once the record has been
// unchanged for takeoverAfter and the promotion has been needed for holderGrace, which
// shows that the holder does not act; a holder that doesn't answer a probe gets no such
// grace, and nor does that of an earlier era. Until then it returns ErrOtherHolder. waited
// is how long the promotion has been needed.
func (m *LockManager) Acquire(ctx context.Context, group string, term position.Term, waited time.Duration) (PromotionLock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	next := m.record
	if !m.holdsLock() {
		if err := m.refresh(ctx); err != nil {
			return PromotionLock{}, err
		}
		if m.mustWaitForHolder(waited) {
			m.probeHolder()
			return PromotionLock{}, fmt.Errorf("%w: %s", ErrOtherHolder, m.record.Holder)
		}
		copied := m.vacant() && !m.neverHeld()
		next = m.tenure()
		if copied {
			m.settleEarlierEras(ctx, &next, nil)
		}
	}
	next = next.withIntent(group, term)
	if err := m.write(ctx, next); err != nil {
		return PromotionLock{}, err
	}
	m.log.StateChange("duty_held", "token", m.record.Token, "group", group, "term", term, "intended_term", m.record.Intents[group])
	return m.currentLock(), nil
}

// tenure returns the known record as that of a new tenure of this process. What a copy
// tells of promote calls may be outdated. m.mu must be held.
func (m *LockManager) tenure() lockRecord {
	next := m.record
	if m.vacant() {
		next.UnusedIntents, next.Called, next.CalledEnd = nil, nil, nil
	}
	next.Holder, next.Process, next.Era = m.name, m.process, m.Era()
	next.Token = max(next.Token+1, uint64(next.Era-store.UnannouncedEra)*tokensPerEra)
	return next
}

// refresh reads the record unless the last read is younger than recheckAfter, or shows that
// the lock can't be taken yet. m.mu must be held.
func (m *LockManager) refresh(ctx context.Context) error {
	age := m.now() - m.readAt
	present := m.object.Era == m.Era()
	if m.readAt != 0 && present && (age < recheckAfter || m.vacant() && m.now()-m.unchangedSince < takeoverAfter) {
		return nil
	}
	return m.read(ctx)
}

// mustWaitForHolder reports whether another daemon holds the promotion lock and may not be
// taken over yet. The holder of an earlier era is not known, because the store may have lost
// its record; it acts no later than one of this era that has written nothing since the era
// was first seen. m.mu must be held.
func (m *LockManager) mustWaitForHolder(waited time.Duration) bool {
	vacant := m.vacant()
	if m.neverHeld() || !vacant && m.record.Holder == m.name {
		return false
	}
	return !vacant && !m.isHolderUnresponsive() && waited < holderGrace || m.now()-m.unchangedSince < takeoverAfter || m.now()-m.readAt > lockFresh
}

// isHolderUnresponsive reports whether the holder failed a probe within probeFailureTTL.
// Such a holder gets no grace to act on the needed promotion; the minimum gap between the
// actions of two holders still applies. m.mu must be held.
func (m *LockManager) isHolderUnresponsive() bool {
	return m.unresponsive != "" && m.unresponsive == m.record.Holder && m.now()-m.unresponsiveAt < probeFailureTTL
}

// SetProbe sets the function that reports whether the named daemon answers. It must be
// called before any other method.
func (m *LockManager) SetProbe(answers func(name string) bool) {
	m.probe = answers
}

// probeHolder checks in the background whether the holder answers. m.mu must be held.
func (m *LockManager) probeHolder() {
	if m.probe == nil || !m.probing.CompareAndSwap(false, true) {
		return
	}
	holder := m.record.Holder
	go func() {
		defer m.probing.Store(false)
		if m.probe(holder) {
			return
		}
		m.log.StateChange("duty_holder_silent", "holder", holder)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.unresponsive, m.unresponsiveAt = holder, m.now()
	}()
}

// Verify returns nil if this daemon may make a promote call for a target of the group, whose log
// ends at end: it still holds the promotion lock d, as proven by a write that is at most lockFresh old. It writes the
// record if the last write is older than half of that, or does not tell of the call.
// It returns ErrOtherHolder if the lock has another holder or token.
func (m *LockManager) Verify(ctx context.Context, d PromotionLock, group, target string, end position.Position) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now()-m.writtenAt > lockFresh/2 || m.record.isUnused(group) || m.record.Called[group] != target || m.record.CalledEnd[group] != end {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if !m.holdsLock() {
			return fmt.Errorf("%w: %s", ErrOtherHolder, m.record.Holder)
		}
		if err := m.write(ctx, m.record.withCall(group, target, end)); err != nil {
			return err
		}
	}
	if !m.holdsLock() || m.currentLock() != d {
		return fmt.Errorf("%w: %s", ErrOtherHolder, m.record.Holder)
	}
	if age := m.now() - m.writtenAt; age > lockFresh {
		return fmt.Errorf("last write of the promotion lock is %s old", age)
	}
	return nil
}

// IsHolder reports whether this daemon holds the promotion lock, according to the record
// that was last read or written, and no later era of the store has been seen.
func (m *LockManager) IsHolder() bool {
	held := m.heldIn.Load()
	return held != 0 && held == m.era.Load()
}

// RequestPromotion asks the holder, through an object of the store, to promote the group
// to term. It does nothing if the group's request already has that term or a higher one.
func (m *LockManager) RequestPromotion(ctx context.Context, group string, term position.Term) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(promotionRequest{Group: group, Term: term})
	if err != nil {
		return fmt.Errorf("encode promotion request: %w", err)
	}
	o := store.Object{Key: store.Key{Kind: KindLock, Name: requestPrefix + group}, Value: value}
	for range 2 {
		_, err = m.objects.Put(ctx, o)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		var known promotionRequest
		if json.Unmarshal(conflict.Current.Value, &known) == nil && known.Term >= term {
			return nil
		}
		o.Version = conflict.Current.Version
	}
	if err != nil {
		return fmt.Errorf("request a promotion of group %s: %w", group, err)
	}
	return nil
}

// IntendedTerm returns the highest term that the group may be promoted to, according to the
// record that was last read or written.
func (m *LockManager) IntendedTerm(group string) position.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record.Intents[group]
}

// Observe processes a change of an object of KindLock. If the object carries a promotion
// request, Observe returns its group and term and true.
func (m *LockManager) Observe(o store.Object) (group string, term position.Term, ok bool) {
	if o.Name == lockKey.Name {
		m.mu.Lock()
		defer m.mu.Unlock()
		if o.Era > m.object.Era || o.Era == m.object.Era && o.Version > m.object.Version {
			if err := m.adopt(o); err != nil {
				m.log.StateChange("duty_unreadable", "error", err.Error())
			}
		}
		return "", 0, false
	}
	var d promotionRequest
	if o.Deleted || json.Unmarshal(o.Value, &d) != nil || d.Group == "" {
		return "", 0, false
	}
	return d.Group, d.Term, true
}

// Withdraw takes back the last intent for the group, which no promote call has used. It
// returns ErrOtherHolder if d is not the current lock or there is no such intent.
func (m *LockManager) Withdraw(ctx context.Context, d PromotionLock, group string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holdsLock() || m.currentLock() != d || !m.record.isUnused(group) {
		return fmt.Errorf("%w: %s", ErrOtherHolder, m.record.Holder)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := m.record.withUnused(group, false)
	next.Intents = maps.Clone(m.record.Intents)
	next.Intents[group]--
	return m.write(ctx, next)
}

// ReadIntents implements primarylease.Reader.
func (m *LockManager) ReadIntents(ctx context.Context) (primarylease.Record, error) {
	started := m.now()
	o, err := m.objects.Get(ctx, lockKey)
	if errors.Is(err, store.ErrNotFound) {
		r := primarylease.Record{ReadStart: started, Read: o.Point()}
		if o.Era == store.UnannouncedEra {
			// Such a store loses no record, so there have been no promotions.
			r.WrittenIn, r.RecordsCalls = o.Era, true
		}
		return r, nil
	}
	if err != nil {
		return primarylease.Record{}, fmt.Errorf("read promotion intents: %w", err)
	}
	var r lockRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return primarylease.Record{}, fmt.Errorf("decode promotion intents: %w", err)
	}
	return primarylease.Record{
		Intents: r.Intents, ReadStart: started, Read: o.Point(), WrittenIn: r.writtenIn(), Unsettled: r.Unsettled,
		Unused: r.UnusedIntents, Called: r.Called, RecordsCalls: r.RecordsCalls,
	}, nil
}

// holdsLock reports whether the known record names this process as holder in the present
// era. m.mu must be held.
func (m *LockManager) holdsLock() bool {
	return !m.vacant() && m.record.Holder == m.name && m.record.Process == m.process
}

// currentLock returns this daemon's lock with the token of the known record. m.mu must be
// held.
func (m *LockManager) currentLock() PromotionLock {
	return PromotionLock{Holder: m.name, Token: m.record.Token}
}

// read reads the record from the store; a missing object is an empty record. m.mu must be
// held.
func (m *LockManager) read(ctx context.Context) error {
	o, err := m.objects.Get(ctx, lockKey)
	if errors.Is(err, store.ErrNotFound) {
		o.Value, err = []byte("{}"), nil
	}
	if err != nil {
		return fmt.Errorf("read the promotion lock: %w", err)
	}
	m.readAt = m.now()
	return m.adopt(o)
}

// write replaces the known object by r. If the outcome of the write is unknown, the
// object is read back to find out; on a conflict, write adopts the current record. It
// returns ErrOtherHolder if the store began a new era meanwhile: the write may have replaced
// another record that has the same version there, and readers take r for a copy. m.mu must
// be held.
func (m *LockManager) write(ctx context.Context, r lockRecord) error {
	r.Acts++
	r.RecordsCalls = true
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the promotion lock: %w", err)
	}
	started := m.now()
	o, err := m.objects.Put(ctx, store.Object{Key: lockKey, Version: m.object.Version, Era: m.object.Era, Value: value})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		if err := m.adopt(o); err != nil {
			return err
		}
		if !m.holdsLock() {
			return fmt.Errorf("%w: %w", ErrOtherHolder, store.ErrEraChanged)
		}
		m.writtenAt = started
		return nil
	case errors.Is(err, store.ErrEraChanged), errors.Is(err, store.ErrNotFound):
		return errors.Join(fmt.Errorf("write the promotion lock: %w", err), m.read(ctx))
	case errors.As(err, &conflict) && conflict.Current.Version != 0:
		m.readAt = m.now()
		return errors.Join(fmt.Errorf("write the promotion lock: %w", err), m.adopt(conflict.Current))
	case errors.Is(err, store.ErrOutcomeUnknown):
		if err := m.read(ctx); err != nil {
			return err
		}
		// Another write of this daemon that replaced the same version may have been applied late.
		if m.holdsLock() && m.record.equal(value) {
			m.writtenAt = started
			return nil
		}
	}
	return fmt.Errorf("write the promotion lock: %w", err)
}

// equal reports whether the record is the one with the given encoding. The store may encode the
// value of an object in another way than it was sent.
func (r lockRecord) equal(encoded []byte) bool {
	own, err := json.Marshal(r)
	return err == nil && bytes.Equal(own, encoded)
}

// adopt makes o the known object, and notes since when its version has been unchanged.
// m.mu must be held.
func (m *LockManager) adopt(o store.Object) error {
	var r lockRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return fmt.Errorf("decode the promotion lock: %w", err)
	}
	m.observeEra(o.Era)
	if o.Point() != m.object.Point() || m.unchangedSince == 0 {
		m.unchangedSince = m.now()
	}
	if since, ok := m.revisions.firstSeen(o.Point()); ok && o.Version != 0 {
		m.unchangedSince = min(m.unchangedSince, since)
	}
	m.object, m.record = o, r
	held, claimed := store.Era(0), store.Era(0)
	if !m.vacant() {
		claimed = o.Era
	}
	if m.holdsLock() {
		held = o.Era
	}
	m.heldIn.Store(uint64(held))
	m.claimedIn.Store(uint64(claimed))
	return nil
}
