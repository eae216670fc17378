// Package quota decides which operations of a tenant may run within its rate limit.
//
// Each tenant has one account in each failure domain. An account is a token bucket that
// refills at the domain's share of the rate; tokens move between the accounts of a tenant by
// transfers. The types of this package do no I/O, read no clock, and are not safe for
// concurrent use. Times are durations since an arbitrary start.
package quota

import (
	"math"
	"time"
)

// Limit is the limit of a tenant in a version of the configuration.
type Limit struct {
	// Rate is the number of operations a second, Burst the number of operations that may
	// run at once after a pause, at all daemons together.
	Rate, Burst float64
	Version     uint64
}

// Share says how the limit of a tenant is divided between failure domains.
type Share struct {
	// Domains is the number of failure domains.
	Domains int
	// Slack is the number of operations that may run beyond the limit in each window.
	Slack float64
}

// rate returns the refill rate of the account of one failure domain.
func (s Share) rate(l Limit) float64 {
	return l.Rate / float64(s.Domains)
}

// capacity returns the capacity of the account of one failure domain. An account holds at
// least one token, because it could admit nothing with less. A rate of 0 admits nothing,
// whatever the burst is.
func (s Share) capacity(l Limit) float64 {
	if l.Rate <= 0 {
		return 0
	}
	return max(1, l.Burst/float64(s.Domains)+s.Slack/float64(2*s.Domains))
}

// tokenEpsilon makes up for rounding when fractions of tokens are summed.
const tokenEpsilon = 1e-6

// bucket is a token bucket.
type bucket struct {
	rate, capacity float64
	balance        float64
	at             time.Duration
}

// refill adds the tokens that have become available since the last call.
func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.balance = min(b.capacity, b.balance+b.rate*(now-b.at).Seconds())
	b.at = now
}

// resize changes the limit at now. A lower capacity reduces the balance at once.
func (b *bucket) resize(now time.Duration, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.balance = min(b.balance, capacity)
}

// take removes up to n whole tokens and returns how many it removed.
func (b *bucket) take(n int) int {
	taken := min(n, int(math.Floor(b.balance+tokenEpsilon)))
	if taken <= 0 {
		return 0
	}
	b.balance = max(0, b.balance-float64(taken))
	return taken
}

// add adds tokens up to the capacity and drops the excess.
func (b *bucket) add(tokens float64) {
	b.balance = min(b.capacity, b.balance+tokens)
}

// isFull reports whether the bucket holds its whole capacity.
func (b *bucket) isFull() bool {
	return b.balance >= b.capacity-tokenEpsilon
}

// maxAccrualTime limits the result of accrualTime, which would overflow for a rate near 0.
const maxAccrualTime = 24 * time.Hour

// accrualTime returns the time in which a rate above 0 yields a number of tokens, at most
// maxAccrualTime.
func accrualTime(tokens, rate float64) time.Duration {
	return time.Duration(min(maxAccrualTime.Seconds(), max(0, tokens)/rate) * float64(time.Second))
}

// meter estimates the rate of events by an average that decays exponentially with the time
// constant decay.
type meter struct {
	decay  time.Duration
	weight float64
	at     time.Duration
	seen   bool
}

// Time constants of meters. Demand that moves to another failure domain has to show within a
// second. A rise has to show before the balance of a small account is used up.
const (
	meterDecay     = 500 * time.Millisecond
	fastMeterDecay = 100 * time.Millisecond
)

// record adds n events at now.
func (m *meter) record(now time.Duration, n float64) {
	m.weight = m.decayed(now) + n
	m.at, m.seen = now, true
}

func (m *meter) decayed(now time.Duration) float64 {
	return m.weight * math.Exp(-(now-m.at).Seconds()/m.decay.Seconds())
}

// perSecond returns the estimated rate at now. A pause that is several times as long as the
// mean time between events lowers it at once: the callers have gone elsewhere.
func (m *meter) perSecond(now time.Duration) float64 {
	if !m.seen {
		return 0
	}
	estimate := m.decayed(now) / m.decay.Seconds()
	if pause := (now - m.at).Seconds(); pause > 0 {
		estimate = min(estimate, pauseFactor/pause)
	}
	return estimate
}

// pauseFactor is the number of mean times between events that a pause may last before it
// counts as a fall of the rate: with random arrivals, 1 pause in 20 is longer.
const pauseFactor = 3

// retrySchedule assigns each refused caller the time of another token, so that they don't
// all come back at once.
type retrySchedule struct {
	next time.Duration
	// pass counts how often all times up to the horizon have been assigned since a caller
	// was last told the time of the next token.
	pass int
}

// RetryHorizon is the time after the next token within which retry-after times lie. Callers
// that are refused when all tokens up to the horizon are assigned share the times up to it.
const RetryHorizon = 5 * time.Second

// passShift is the distance of the times of one pass from those of the previous one, as a
// part of the time between two. Multiples of the golden ratio fall evenly between the tokens
// whatever the number of passes is.
const passShift = 1 / math.Phi

// assign assigns the next n tokens, of which the first is there at first and the others
// follow at the given rate. It returns the time until the first of them and the time
// between two.
func (s *retrySchedule) assign(now, first time.Duration, n int, rate float64) (after, step time.Duration) {
	if rate <= 0 {
		return RetryHorizon, 0
	}
	step = min(RetryHorizon, accrualTime(1, rate))
	if s.next < first {
		s.next, s.pass = first, 0
	}
	if s.next > first+RetryHorizon {
		s.pass++
		_, shift := math.Modf(float64(s.pass) * passShift)
		s.next = first + time.Duration(shift*float64(step))
	}
	after = max(time.Millisecond, s.next-now)
	s.next += time.Duration(n) * step
	return after, step
}
