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
	// latencyWeight is the weight of a new measurement of the latency.
	latencyWeight = 0.2
	// lagDecay is the weight of the old estimate of the lag when a read finds the target
	// less behind.
	lagDecay = 0.9
)

// Target is the state of one target as seen by one daemon, with its connections. It is
// safe for concurrent use.
type Target struct {
	Pool *Pool
	Gate *Gate

	info     atomic.Pointer[catalog.Target]
	counters targetCounters
	// drainingSince is the time since boot at which the target was first known to be
	// draining; 0 if it is not, drainStartUnknown if it was draining when it was first
	// listed.
	drainingSince atomic.Int64
	// unlisted is set while the target is kept although it has left the list.
	unlisted atomic.Bool

	mu                sync.Mutex
	latency           time.Duration     // guarded by mu; moving average of the time to answer
	applied           position.Position // guarded by mu; end of the log at the last answer
	lag               time.Duration     // guarded by mu; estimate of how far reads are behind the primary
	lackedPositionAt  time.Duration     // guarded by mu; time since boot at which the target last lacked a position
	lackedPositionAge time.Duration     // guarded by mu; age of that position
	lastAnswerAt      time.Duration     // guarded by mu; time since boot of the last answer of any kind
	failingSince      time.Duration     // guarded by mu; time since boot of the start of the first failed attempt since the last answer
	refused           bool              // guarded by mu; reports whether the last failure was a refusal
	running           int               // guarded by mu; number of statements sent and not answered
	unansweredSince   time.Duration     // guarded by mu; time since boot of the oldest send without any answer since
}

// targetCounters are the metrics of connections to the targets of a failure domain.
type targetCounters struct {
	dials, full *metrics.Counter
	// found counts requests by the way in which they got a connection.
	found map[string]*metrics.Counter
	// evicted counts idle connections that were closed for a request of another tenant,
	// yielded those that were closed for one on release although requests of their own
	// tenant waited, and trimmed those that nobody needed.
	evicted, yielded, trimmed *metrics.Counter
}

// newTargetCounters returns the metrics of connections to the targets of a failure domain.
func newTargetCounters(domain string) targetCounters {
	closed := func(reason string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_target_connections_closed_total{domain=%q,reason=%q}`, domain, reason))
	}
	c := targetCounters{
		dials:   metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_target_dials_total{domain=%q}`, domain)),
		full:    metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_target_full_total{domain=%q}`, domain)),
		found:   make(map[string]*metrics.Counter),
		evicted: closed("evicted"), yielded: closed("yielded"), trimmed: closed("trimmed"),
	}
	for _, found := range []string{foundIdle, foundReleased, foundDialed} {
		c.found[found] = metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_target_acquired_total{domain=%q,found=%q}`, domain, found))
	}
	return c
}

// NewTarget returns a target without connections.
func NewTarget(info catalog.Target, dialer Dialer) *Target {
	t := &Target{counters: newTargetCounters(info.FailureDomain)}
	t.info.Store(&info)
	if info.Draining {
		t.drainingSince.Store(drainStartUnknown)
	}
	t.Gate = newGate(info.Slots)
	t.Pool = newPool(t, dialer)
	t.Pool.SetLimits(1, minConnectionLimit)
	return t
}

// Info returns the entry of the target in the list of the platform.
func (t *Target) Info() catalog.Target {
	return *t.info.Load()
}

// SetInfo replaces the entry of the target in the list of the platform.
func (t *Target) SetInfo(info catalog.Target) {
	t.info.Store(&info)
	if info.Draining {
		t.drainingSince.CompareAndSwap(0, int64(boottime.Now()))
	} else {
		t.drainingSince.Store(0)
	}
}

// Unlisted reports whether the target has left the list and is kept for the moment.
func (t *Target) Unlisted() bool {
	return t.unlisted.Load()
}

// drainStartUnknown is the drainingSince of a target that was draining when it was first
// listed.
const drainStartUnknown = -1

// drainMargin is how long before the end of its drain a target gets no more new work: the
// daemon may learn of the drain late, and a request may wait for a connection. The margin
// is at most the drain time divided by drainMarginDivisor, for short drains.
const (
	drainMargin        = 2 * time.Second
	drainMarginDivisor = 3
)

// DrainExpired reports whether the target has been draining for so long that it must not
// get new work. bound is the time after which the platform allows none. A target that was
// draining when it was first listed counts as expired, because it may have been draining
// for any time.
func (t *Target) DrainExpired(now, bound time.Duration) bool {
	since := t.drainingSince.Load()
	return since != 0 && (since == drainStartUnknown || now-time.Duration(since) > bound-min(drainMargin, bound/drainMarginDivisor))
}

// State is a snapshot of what is known of a target.
type State struct {
	Latency time.Duration
	Applied position.Position
	Lag     time.Duration
	Running int
	// FailingFor is the time since the start of the first failed attempt after the last
	// answer; 0 if none has failed.
	FailingFor time.Duration
	// SilentFor is the time for which statements have been waiting without any answer of
	// the target.
	SilentFor time.Duration
	// Refused reports whether the last failure was a refusal rather than a timeout.
	Refused bool
}

// State returns what is known of the target at a time since boot.
func (t *Target) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Latency: t.latency, Applied: t.applied, Lag: t.lag, Running: t.running, Refused: t.refused}
	if t.failingSince > 0 {
		s.FailingFor = now - t.failingSince
	}
	if t.running > 0 && t.unansweredSince > 0 {
		s.SilentFor = now - t.unansweredSince
	}
	return s
}

// StatementSent records that a statement is sent.
func (t *Target) StatementSent() {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == 0 {
		t.unansweredSince = now
	}
	t.running++
}

// StatementAnswered records an answer that took the given time.
func (t *Target) StatementAnswered(took time.Duration, a query.Answer) {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.markAnsweringLocked(now)
	if t.latency == 0 {
		t.latency = took
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	t.applied = position.Max(t.applied, a.Position)
}

// StatementFailed records that the connection of a statement broke or timed out.
func (t *Target) StatementFailed(err error) {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.connectFailed(err)
}

// ObserveLag records that the target lacked a position of the given age.
func (t *Target) ObserveLag(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = max(t.lag, age)
	t.lackedPositionAt, t.lackedPositionAge = boottime.Now(), age
}

// lackedPositionTTL is how long it is remembered that a target lacked a position. After
// that the target is asked again, because replicas catch up.
const lackedPositionTTL = 100 * time.Millisecond

// LacksPosition reports whether the target lacked a position of the given age or an older
// one within lackedPositionTTL, in which case it is assumed to lack this one too.
func (t *Target) LacksPosition(age, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lackedPositionAt > 0 && now-t.lackedPositionAt < lackedPositionTTL && age <= t.lackedPositionAge
}

// ObserveCaughtUp records that the target had a position of the given age.
func (t *Target) ObserveCaughtUp(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age <= t.lackedPositionAge {
		t.lackedPositionAt = 0
	}
	if age < t.lag {
		t.lag = time.Duration(lagDecay*float64(t.lag)) + time.Duration((1-lagDecay)*float64(age))
	}
}

// markAnswering records that the target answered, and so is not failing or silent.
func (t *Target) markAnswering() {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markAnsweringLocked(now)
}

// markAnsweringLocked is markAnswering at a time since boot. t.mu must be held.
func (t *Target) markAnsweringLocked(now time.Duration) {
	t.lastAnswerAt, t.failingSince, t.unansweredSince = now, 0, now
}

// connectionEnded records that the target closed an idle connection.
func (t *Target) connectionEnded() {
	t.recordFailure(true, boottime.Now())
}

// connectFailed records a failed connection as of now.
func (t *Target) connectFailed(err error) {
	t.attemptFailed(err, boottime.Now())
}

// attemptFailed records the failure of an attempt that started at a time since boot: a
// target that let the attempt time out has been silent since then.
func (t *Target) attemptFailed(err error, began time.Duration) {
	t.recordFailure(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET), began)
}

// recordFailure records a failure of an attempt that started at a time since boot.
func (t *Target) recordFailure(refused bool, began time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince == 0 {
		t.failingSince = max(began, t.lastAnswerAt)
	}
	t.refused = refused
}

// controlTimeout is the timeout of a control statement: the handshake of a connection, a
// statement between regions, and the wait for a slot of the target.
const controlTimeout = 350 * time.Millisecond

// errNoConnection is returned if no connection to a target was available in time.
var errNoConnection = errors.New("no connection available in time")

// Control runs one control statement and returns the status of the target after it. The
// error wraps a *RefusedError if the target refused the statement.
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

// control runs one control statement before the deadline and records whether the target
// answered.
func (t *Target) control(s query.Statement, deadline time.Time) (query.TargetStatus, error) {
	began := boottime.Now()
	conn, verdict := t.Pool.AcquireControl(deadline)
	if verdict != Acquired {
		if verdict == TimedOut && t.State(boottime.Now()).FailingFor == 0 && !t.Pool.Full() {
			t.attemptFailed(errNoConnection, began)
		}
		return query.TargetStatus{}, errNoConnection
	}
	status, err := controlOnConn(conn, s, deadline)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		t.Pool.Discard(conn)
		t.attemptFailed(err, began)
		return query.TargetStatus{}, err
	}
	t.markAnswering()
	t.Pool.Release(conn)
	return status, err
}

// controlOnConn runs one control statement on a connection.
func controlOnConn(conn *PooledConn, s query.Statement, deadline time.Time) (query.TargetStatus, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return query.TargetStatus{}, err
	}
	if err := conn.Send(s); err != nil {
		return query.TargetStatus{}, err
	}
	a, err := conn.Receive()
	if err != nil {
		return query.TargetStatus{}, err
	}
	if !a.OK() {
		return query.TargetStatus{}, &RefusedError{Code: a.Code}
	}
	return conn.ParseStatus(a)
}
