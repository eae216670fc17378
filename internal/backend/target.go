package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Weights of the moving averages.
const (
	latencyWeight = 0.2
	// lagDecay is how fast a lag that was met once is forgotten.
	lagDecay = 0.9
)

// Target is what a daemon knows of one target, with its connections.
type Target struct {
	Pool *Pool
	Gate *Gate

	info     atomic.Pointer[catalog.Target]
	counters targetCounters
	// drainingSince is when the target was first known to drain, since boot; zero if
	// it does not.
	drainingSince atomic.Int64

	mu       sync.Mutex
	latency  time.Duration     // guarded by mu; moving average of answers
	applied  position.Position // guarded by mu; end of the log when last heard
	lag      time.Duration     // guarded by mu; estimate of how far reads are behind
	lackedAt time.Duration     // guarded by mu; since boot, when a position was lacked last
	lacked   time.Duration     // guarded by mu; age of that position
	heardAt  time.Duration     // guarded by mu; since boot, last answer of any kind
	failing  time.Duration     // guarded by mu; since boot, begin of the first try that failed after the last answer
	refused  bool              // guarded by mu; the last failure was a refusal
	running  int               // guarded by mu; statements sent and not answered
	sentWait time.Duration     // guarded by mu; since boot, oldest send without any answer since
}

type targetCounters struct {
	dials, full *metrics.Counter
}

// NewTarget returns a target without connections.
func NewTarget(info catalog.Target, dialer Dialer) *Target {
	t := &Target{counters: targetCounters{
		dials: metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_target_dials_total{domain=%q}`, info.FailureDomain)),
		full:  metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_target_full_total{domain=%q}`, info.FailureDomain)),
	}}
	t.info.Store(&info)
	if info.Draining {
		t.drainingSince.Store(unknownSince)
	}
	t.Gate = newGate(info.Slots)
	t.Pool = &Pool{target: t, dialer: dialer, base: 1, limit: 2}
	return t
}

// Info returns what the platform lists of the target.
func (t *Target) Info() catalog.Target {
	return *t.info.Load()
}

// SetInfo replaces what the platform lists of the target.
func (t *Target) SetInfo(info catalog.Target) {
	t.info.Store(&info)
	if info.Draining {
		t.drainingSince.CompareAndSwap(0, int64(boottime.Now()))
	} else {
		t.drainingSince.Store(0)
	}
}

// unknownSince is the drainingSince of a target that was found draining.
const unknownSince = -1

// drainMargin is how long before the end of its drain a target takes no more work:
// the watch may tell of it late, and a request may wait for a connection. Of a short
// drain it is no more than the part that drainMarginDivisor gives.
const (
	drainMargin        = 2 * time.Second
	drainMarginDivisor = 3
)

// DrainExpired reports whether the target has been draining for so long that it must not
// get new work. bound is the time after which the platform allows none. A target that
// was found draining may have drained for any time.
func (t *Target) DrainExpired(now, bound time.Duration) bool {
	since := t.drainingSince.Load()
	return since != 0 && (since == unknownSince || now-time.Duration(since) > bound-min(drainMargin, bound/drainMarginDivisor))
}

// State is a snapshot of what is known of a target.
type State struct {
	Latency time.Duration
	Applied position.Position
	Lag     time.Duration
	Running int
	// FailingFor is the time since the first failure after the last answer; zero
	// if there is none.
	FailingFor time.Duration
	// SilentFor is the time for which a statement has been out with no answer of
	// any kind from the target.
	SilentFor time.Duration
	// Refused says that the last failure was a refusal, not silence.
	Refused bool
}

// State returns what is known now.
func (t *Target) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Latency: t.latency, Applied: t.applied, Lag: t.lag, Running: t.running, Refused: t.refused}
	if t.failing > 0 {
		s.FailingFor = now - t.failing
	}
	if t.running > 0 && t.sentWait > 0 {
		s.SilentFor = now - t.sentWait
	}
	return s
}

// StatementSent notes that a statement is sent.
func (t *Target) StatementSent() {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == 0 {
		t.sentWait = now
	}
	t.running++
}

// StatementAnswered notes an answer that took the given time.
func (t *Target) StatementAnswered(took time.Duration, a query.Answer) {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.heardLocked(now)
	if t.latency == 0 {
		t.latency = took
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	t.applied = position.Max(t.applied, a.Position)
}

// StatementFailed notes that the connection of a statement broke or timed out.
func (t *Target) StatementFailed(err error) {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.connectFailed(err)
}

// ObserveLag notes that the target lacked a position of the given age.
func (t *Target) ObserveLag(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = max(t.lag, age)
	t.lackedAt, t.lacked = boottime.Now(), age
}

// lackCounts is how long it counts that a target lacked a position. It is asked again
// after that, as a replica catches up.
const lackCounts = 100 * time.Millisecond

// LacksPosition reports whether the target has just lacked a position of the given age or an
// older one: it lacks this one too, then.
func (t *Target) LacksPosition(age, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lackedAt > 0 && now-t.lackedAt < lackCounts && age <= t.lacked
}

// ObserveCaughtUp notes that the target held a position of the given age.
func (t *Target) ObserveCaughtUp(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age <= t.lacked {
		t.lackedAt = 0
	}
	if age < t.lag {
		t.lag = time.Duration(lagDecay*float64(t.lag)) + time.Duration((1-lagDecay)*float64(age))
	}
}

func (t *Target) heard() {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardLocked(now)
}

func (t *Target) heardLocked(now time.Duration) {
	t.heardAt, t.failing, t.sentWait = now, 0, now
}

func (t *Target) connectionEnded() {
	t.noteFailure(true, boottime.Now())
}

func (t *Target) connectFailed(err error) {
	t.tryFailed(err, boottime.Now())
}

// tryFailed notes the failure of a try that began at the given time since boot: a
// target that let it time out has been silent from then on.
func (t *Target) tryFailed(err error, began time.Duration) {
	t.noteFailure(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET), began)
}

func (t *Target) noteFailure(refused bool, began time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing == 0 {
		t.failing = max(began, t.heardAt)
	}
	t.refused = refused
}

// controlTimeout bounds a statement of control: the handshake of a connection and a
// statement between regions, and the target's slots.
const controlTimeout = 350 * time.Millisecond

// errNoConnection says that a target gave no connection in time.
var errNoConnection = errors.New("no connection in time")

// Control runs one statement of control and returns the target's status after it.
func (t *Target) Control(ctx context.Context, s query.Statement) (query.TargetStatus, error) {
	deadline := time.Now().Add(controlTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	status, err := t.control(s, deadline)
	if err != nil {
		return query.TargetStatus{}, fmt.Errorf("control of target %s: %w", t.Info().ID, err)
	}
	return status, nil
}

func (t *Target) control(s query.Statement, deadline time.Time) (query.TargetStatus, error) {
	began := boottime.Now()
	link, verdict := t.Pool.AcquireControl(deadline)
	if verdict != Acquired {
		if verdict == TimedOut && t.State(boottime.Now()).FailingFor == 0 && !t.Pool.Full() {
			t.tryFailed(errNoConnection, began)
		}
		return query.TargetStatus{}, errNoConnection
	}
	status, err := controlOn(link, s, deadline)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		t.Pool.Discard(link)
		t.tryFailed(err, began)
		return query.TargetStatus{}, err
	}
	t.heard()
	t.Pool.Release(link)
	return status, err
}

func controlOn(link *PooledConn, s query.Statement, deadline time.Time) (query.TargetStatus, error) {
	if err := link.SetDeadline(deadline); err != nil {
		return query.TargetStatus{}, err
	}
	if err := link.Send(s); err != nil {
		return query.TargetStatus{}, err
	}
	a, err := link.Receive()
	if err != nil {
		return query.TargetStatus{}, err
	}
	if !a.OK() {
		return query.TargetStatus{}, &RefusedError{Code: a.Code}
	}
	return link.ParseStatus(a)
}
