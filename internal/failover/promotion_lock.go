// Package failover replaces primaries. One daemon at a time holds the promotion lock;
// who does, and which terms are intended, is one object of the platform's store.
package failover

import (
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

// PromotionLock names its holder and the token that grows with each change of holder.
type PromotionLock struct {
	Holder string
	Token  uint64
}

// PromoteAnswer is how the platform answered a promote call.
type PromoteAnswer uint8

// The answers.
const (
	PromoteAccepted PromoteAnswer = iota
	// PromoteRefused says that the target isn't running.
	PromoteRefused
	// PromoteBusy says that the call was not taken.
	PromoteBusy
	// PromoteUnclear says that the call may have been taken.
	PromoteUnclear
)

// PromotionClient makes the promote call.
type PromotionClient interface {
	Promote(ctx context.Context, group, target string, d PromotionLock) (PromoteAnswer, error)
}

// Objects is the part of the store that the promotion lock needs.
type Objects interface {
	Get(ctx context.Context, k store.Key) (store.Object, error)
	Put(ctx context.Context, o store.Object) (store.Object, error)
}

// KindLock is the kind of the object that holds the promotion lock, and of the promotion requests.
const KindLock store.Kind = "laburnumrack-duty"

// lockKey is the object that holds the promotion lock and the intents.
var lockKey = store.Key{Kind: KindLock, Name: "promotion"}

// demandPrefix opens the names of the objects by which daemons tell the holder that
// they need a promotion; the group's name follows.
const demandPrefix = "demand."

// demand is the value of such an object.
type demand struct {
	Group string        `json:"group"`
	Term  position.Term `json:"term"`
}

// record is the value of the object.
type record struct {
	Holder string `json:"holder"`
	// Process tells processes of the same name apart.
	Process string `json:"process"`
	Token   uint64 `json:"token"`
	// Acts counts the writes, so that each of them changes the object.
	Acts uint64 `json:"acts"`
	// Intents maps each group to the highest term that a promotion may reach.
	Intents map[string]position.Term `json:"intents,omitempty"`
}

// Times of the promotion lock.
const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
	// lockFresh is how old a write of the record may be when a promote call is made
	// under it.
	lockFresh = 300 * time.Millisecond
	// turnsApart is the time that has to pass between the acts of two holders.
	// Source: the platform counts turns within 3 s as a broken duty, its word
	// for the lock.
	turnsApart = 3 * time.Second
	// takeoverAfter is how long the record must have been seen unchanged before
	// another daemon takes the promotion lock over. Every act follows a write of the record by
	// lockFresh at most, and the new holder's first act follows its takeover by the
	// TTL of the primary lease.
	takeoverAfter = turnsApart + lockFresh + 100*time.Millisecond - primarylease.TTL
	// holderGrace is how long a need is seen before the promotion lock is taken over: a holder
	// that lives has written the record by then.
	holderGrace = 900 * time.Millisecond
	// silenceCounts is how long it counts that the holder did not answer.
	silenceCounts = time.Second
	// recheckAfter is the age from which the record of another holder is read again: an
	// older read allows no takeover.
	recheckAfter = lockFresh
)

// ErrOtherHolder says that another daemon holds the promotion lock and is given time.
var ErrOtherHolder = errors.New("another daemon holds the duty")

// LockManager takes the promotion lock and proves that it is still held. Its methods may be
// called by any goroutine.
type LockManager struct {
	objects Objects
	name    string
	process string
	log     *eventlog.Log
	// now returns the time since boot.
	now func() time.Duration
	// answers reports whether the daemon of a name answers; nil if that can't be told.
	answers func(name string) bool

	revisions revisions

	holder atomic.Bool
	// asking says that a holder is being asked.
	asking atomic.Bool

	mu sync.Mutex
	// object and record are the state that was read or written last.
	object store.Object // guarded by mu
	record record       // guarded by mu
	// silent is the daemon that did not answer when it was asked last, silentAt when
	// that was found, since boot.
	silent   string        // guarded by mu
	silentAt time.Duration // guarded by mu
	// unchangedSince is when this version of the object was first seen, readAt when
	// the object was read last, written when the last own write began. All are times
	// since boot.
	unchangedSince, readAt, written time.Duration // guarded by mu
}

// NewLockManager returns the keeper of the daemon name; process is new with each
// start.
func NewLockManager(objects Objects, name, process string, log *eventlog.Log) *LockManager {
	return &LockManager{objects: objects, name: name, process: process, log: log, now: boottime.Now}
}

// Claim takes the promotion lock if nobody has ever held it, so that a holder is known before
// the first need.
func (k *LockManager) Claim(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.object = store.Object{Key: lockKey}
	err := k.write(ctx, record{Holder: k.name, Process: k.process, Token: 1})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// Acquire returns the promotion lock with the intent to promote the group to term written
// down. If another daemon holds it, the promotion lock is taken over once the record has not
// changed for takeoverAfter and the need has been seen for holderGrace: that holder
// does not serve it. waited is how long the need has been seen.
func (k *LockManager) Acquire(ctx context.Context, group string, term position.Term, waited time.Duration) (PromotionLock, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	if !k.mine() {
		if err := k.recheck(ctx); err != nil {
			return PromotionLock{}, err
		}
		if k.othersTurn(waited) {
			k.askHolder()
			return PromotionLock{}, fmt.Errorf("%w: %s", ErrOtherHolder, k.record.Holder)
		}
	}
	next := k.record
	if !k.mine() {
		next.Holder, next.Process = k.name, k.process
		next.Token++
	}
	next.Intents = map[string]position.Term{group: term}
	for g, t := range k.record.Intents {
		next.Intents[g] = max(next.Intents[g], t)
	}
	if err := k.write(ctx, next); err != nil {
		return PromotionLock{}, err
	}
	k.log.StateChange("duty_held", "token", k.record.Token, "group", group, "intended_term", term)
	return k.duty(), nil
}

// recheck reads the record unless that was done just now.
func (k *LockManager) recheck(ctx context.Context) error {
	if k.readAt != 0 && k.now()-k.readAt < recheckAfter {
		return nil
	}
	return k.read(ctx)
}

// othersTurn reports whether another daemon holds the promotion lock and must be given time.
func (k *LockManager) othersTurn(waited time.Duration) bool {
	if k.record.Holder == "" || k.record.Holder == k.name {
		return false
	}
	return !k.holderSilent() && waited < holderGrace || k.now()-k.unchangedSince < takeoverAfter || k.now()-k.readAt > lockFresh
}

// holderSilent reports whether the holder was found not to answer a moment ago. It
// saves the grace that a holder is given to serve the need; the time between the acts
// of two holders is kept all the same.
func (k *LockManager) holderSilent() bool {
	return k.silent != "" && k.silent == k.record.Holder && k.now()-k.silentAt < silenceCounts
}

// SetProbe sets how a holder is asked for an answer. It must be called before the
// keeper is used.
func (k *LockManager) SetProbe(answers func(name string) bool) {
	k.answers = answers
}

// askHolder finds out in the background whether the holder answers. The lock is held.
func (k *LockManager) askHolder() {
	if k.answers == nil || !k.asking.CompareAndSwap(false, true) {
		return
	}
	holder := k.record.Holder
	go func() {
		defer k.asking.Store(false)
		if k.answers(holder) {
			return
		}
		k.log.StateChange("duty_holder_silent", "holder", holder)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.silent, k.silentAt = holder, k.now()
	}()
}

// Verify returns nil if d is still the promotion lock, as of less than lockFresh ago.
func (k *LockManager) Verify(ctx context.Context, d PromotionLock) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now()-k.written > lockFresh/2 {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if !k.mine() {
			return fmt.Errorf("%w: %s", ErrOtherHolder, k.record.Holder)
		}
		if err := k.write(ctx, k.record); err != nil {
			return err
		}
	}
	if !k.mine() || k.duty() != d {
		return fmt.Errorf("%w: %s", ErrOtherHolder, k.record.Holder)
	}
	if age := k.now() - k.written; age > lockFresh {
		return fmt.Errorf("proof of the duty is %s old", age)
	}
	return nil
}

// IsHolder reports whether this daemon holds the promotion lock, as far as known.
func (k *LockManager) IsHolder() bool {
	return k.holder.Load()
}

// ObserveRevision notes that the store has reached a revision, so that a holder's long
// silence is known when the need arises.
func (k *LockManager) ObserveRevision(v store.Revision) {
	k.revisions.saw(v, k.now())
}

// RequestPromotion asks the holder to promote the group to term.
func (k *LockManager) RequestPromotion(ctx context.Context, group string, term position.Term) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(demand{Group: group, Term: term})
	if err != nil {
		return fmt.Errorf("encode demand: %w", err)
	}
	o := store.Object{Key: store.Key{Kind: KindLock, Name: demandPrefix + group}, Value: value}
	for range 2 {
		_, err = k.objects.Put(ctx, o)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		var known demand
		if json.Unmarshal(conflict.Current.Value, &known) == nil && known.Term >= term {
			return nil
		}
		o.Version = conflict.Current.Version
	}
	if err != nil {
		return fmt.Errorf("demand a promotion of %s: %w", group, err)
	}
	return nil
}

// Observe takes in a change of an object of KindLock. It returns the promotion request that the
// object holds, if it holds one.
func (k *LockManager) Observe(o store.Object) (group string, term position.Term, ok bool) {
	if o.Name == lockKey.Name {
		k.mu.Lock()
		defer k.mu.Unlock()
		if o.Version > k.object.Version {
			if err := k.adopt(o); err != nil {
				k.log.StateChange("duty_unreadable", "error", err.Error())
			}
		}
		return "", 0, false
	}
	var d demand
	if o.Deleted || json.Unmarshal(o.Value, &d) != nil || d.Group == "" {
		return "", 0, false
	}
	return d.Group, d.Term, true
}

// Withdraw takes the intent to promote the group to term back. The caller must not
// have called for that promotion.
func (k *LockManager) Withdraw(ctx context.Context, d PromotionLock, group string, term position.Term) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.mine() || k.duty() != d || k.record.Intents[group] != term {
		return fmt.Errorf("%w: %s", ErrOtherHolder, k.record.Holder)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := k.record
	next.Intents = maps.Clone(k.record.Intents)
	next.Intents[group] = term - 1
	return k.write(ctx, next)
}

// ReadIntents implements primarylease.Reader.
func (k *LockManager) ReadIntents(ctx context.Context) (primarylease.Record, error) {
	begun := k.now()
	o, err := k.objects.Get(ctx, lockKey)
	if errors.Is(err, store.ErrNotFound) {
		return primarylease.Record{ReadStart: begun}, nil
	}
	if err != nil {
		return primarylease.Record{}, fmt.Errorf("read the intents: %w", err)
	}
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return primarylease.Record{}, fmt.Errorf("decode the intents: %w", err)
	}
	return primarylease.Record{Intents: r.Intents, ReadStart: begun, Version: o.Version}, nil
}

func (k *LockManager) mine() bool {
	return k.record.Holder == k.name && k.record.Process == k.process
}

func (k *LockManager) duty() PromotionLock {
	return PromotionLock{Holder: k.name, Token: k.record.Token}
}

// read refreshes the record; an object that doesn't exist is an empty record. The
// lock is held.
func (k *LockManager) read(ctx context.Context) error {
	o, err := k.objects.Get(ctx, lockKey)
	if errors.Is(err, store.ErrNotFound) {
		o, err = store.Object{Key: lockKey, Value: []byte("{}")}, nil
	}
	if err != nil {
		return fmt.Errorf("read the duty: %w", err)
	}
	k.readAt = k.now()
	return k.adopt(o)
}

// write replaces the object that was seen last by r. An answer that is lost is
// settled by reading back; a conflict shows the record of the winner.
func (k *LockManager) write(ctx context.Context, r record) error {
	r.Acts++
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the duty: %w", err)
	}
	began := k.now()
	o, err := k.objects.Put(ctx, store.Object{Key: lockKey, Version: k.object.Version, Value: value})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		k.written = began
		return k.adopt(o)
	case errors.As(err, &conflict) && conflict.Current.Version != 0:
		k.readAt = k.now()
		return errors.Join(fmt.Errorf("write the duty: %w", err), k.adopt(conflict.Current))
	case errors.Is(err, store.ErrUnclear):
		if err := k.read(ctx); err != nil {
			return err
		}
		if k.mine() && k.record.Token == r.Token && k.record.Acts == r.Acts {
			k.written = began
			return nil
		}
	}
	return fmt.Errorf("write the duty: %w", err)
}

func (k *LockManager) adopt(o store.Object) error {
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return fmt.Errorf("decode the duty: %w", err)
	}
	if o.Version != k.object.Version || k.unchangedSince == 0 {
		k.unchangedSince = k.now()
	}
	if since, ok := k.revisions.since(o.Version); ok && o.Version != 0 {
		k.unchangedSince = min(k.unchangedSince, since)
	}
	k.object, k.record = o, r
	k.holder.Store(k.mine())
	return nil
}
