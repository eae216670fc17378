package group

import (
	"math"
	"time"
)

// EvidenceKind says what one contact with a primary showed.
type EvidenceKind uint8

// The kinds of evidence.
const (
	// EvidenceAnswer is an answer of the instance, to a probe or to live work.
	EvidenceAnswer EvidenceKind = iota
	// EvidenceRefused is a connection that the instance's VM refused or reset:
	// no process listens.
	EvidenceRefused
	// EvidenceSilence is the opinion of a peer that got no answer for For.
	EvidenceSilence
)

// Evidence is one sign of life or death of a primary.
type Evidence struct {
	Kind EvidenceKind
	// At is when it was learned here.
	At time.Time
	// FailureDomain is where the contact was made from.
	FailureDomain string
	// Target is the instance.
	Target string
	// RoundTrip is the time of the call with an own EvidenceAnswer, and the usual
	// round trip of the peer with the opinion of a peer.
	RoundTrip time.Duration
	// SilentFor is set with EvidenceSilence.
	SilentFor time.Duration
}

// Detector suspects the primary of a group. Suspicion starts a promotion; it has
// no part in safety. Reset is called for each new primary.
type Detector interface {
	Reset(now time.Time, target string)
	Observe(e Evidence)
	// Suspects reports whether the primary is suspected. It is called at least
	// once in each probe interval, so that it notices a pause of its own process.
	Suspects(now time.Time) bool
}

// Times of detection.
const (
	// ProbeInterval is the pause between two probes of a primary that live work
	// gets no answers from.
	ProbeInterval = 50 * time.Millisecond
	// UrgentInterval is the pause between two probes, two opinions and two calls
	// of Suspect while the primary has been silent for two probe intervals or no
	// term is open.
	UrgentInterval = 10 * time.Millisecond
	// DefaultSilence is the silence after which a primary is suspected, beyond
	// the usual time between two answers.
	DefaultSilence = 525 * time.Millisecond
	// refusalConfirm is how long refusals must last.
	refusalConfirm = 2 * ProbeInterval
	// opinionLife is how long the opinion of a peer counts.
	opinionLife = 4 * ProbeInterval
	// aloneFactor is how much longer a silence lasts that nobody confirms.
	aloneFactor = 4
	// ownPause is the gap between two calls of Suspect that is taken for a pause
	// of this process.
	ownPause = 3 * ProbeInterval
)

// lifeline follows the answers of one instance and discounts pauses of this
// process, during which no answer could be read.
type lifeline struct {
	target string
	heard  time.Time
	ticked time.Time
}

func (l *lifeline) reset(now time.Time, target string) {
	*l = lifeline{target: target, heard: now, ticked: now}
}

// silence returns how long nothing was heard. After a pause of this process it
// starts again from zero.
func (l *lifeline) silence(now time.Time) time.Duration {
	if now.Sub(l.ticked) > ownPause && now.After(l.heard) {
		l.heard = now
	}
	l.ticked = now
	return now.Sub(l.heard)
}

// answers reports whether e is a new answer to a home in the domain.
func (l *lifeline) answers(e Evidence, domain string) bool {
	if e.Kind != EvidenceAnswer || e.Target != l.target {
		return false
	}
	return (domain == "" || e.FailureDomain == domain) && e.At.After(l.heard)
}

// FixedTimeoutDetector suspects a primary after a fixed silence.
type FixedTimeoutDetector struct {
	Timeout time.Duration
	// Domain is the failure domain whose answers count; empty for all.
	Domain string

	life lifeline
}

// Reset starts with a new primary.
func (d *FixedTimeoutDetector) Reset(now time.Time, target string) {
	d.life.reset(now, target)
}

// Observe enters evidence; only answers count.
func (d *FixedTimeoutDetector) Observe(e Evidence) {
	if d.life.answers(e, d.Domain) {
		d.life.heard = e.At
	}
}

// Suspects reports whether the silence has lasted.
func (d *FixedTimeoutDetector) Suspects(now time.Time) bool {
	return d.life.silence(now) >= d.Timeout
}

// PhiAccrualDetector suspects a primary when its silence is improbable, judged by the
// gaps between its earlier answers (a phi accrual detector with a normal
// distribution).
type PhiAccrualDetector struct {
	// Threshold is the suspicion level: 8 is a chance of one in 10^8.
	Threshold float64
	// Floor is the least standard deviation assumed.
	Floor time.Duration
	// Domain is the failure domain whose answers count; empty for all.
	Domain string

	life  lifeline
	count float64
	mean  float64
	m2    float64
}

// adaptiveWindow is how many gaps the estimate remembers.
const adaptiveWindow = 1000

// Reset starts with a new primary. What was learned of the gaps is kept.
func (d *PhiAccrualDetector) Reset(now time.Time, target string) {
	d.life.reset(now, target)
}

// Observe enters evidence; only answers count.
func (d *PhiAccrualDetector) Observe(e Evidence) {
	if !d.life.answers(e, d.Domain) {
		return
	}
	d.learn(float64(e.At.Sub(d.life.heard)))
	d.life.heard = e.At
}

// learn enters one gap into the running mean and variance.
func (d *PhiAccrualDetector) learn(gap float64) {
	d.count = math.Min(d.count+1, adaptiveWindow)
	delta := gap - d.mean
	d.mean += delta / d.count
	d.m2 += (delta*(gap-d.mean) - d.m2) / d.count
}

// Suspects reports whether the suspicion level has reached the threshold.
func (d *PhiAccrualDetector) Suspects(now time.Time) bool {
	silence := d.life.silence(now)
	if d.count == 0 {
		return silence >= DefaultSilence+ProbeInterval
	}
	deviation := math.Max(math.Sqrt(d.m2), float64(d.Floor))
	z := (float64(silence) - d.mean) / deviation
	// The chance of a longer gap is erfc(z/√2)/2.
	return -math.Log10(math.Erfc(z/math.Sqrt2)/2) >= d.Threshold
}

// CorroboratedDetector suspects a primary after a silence that other failure domains
// confirm, each beyond its own usual time between two answers, and sooner when
// its VM refuses connections. A silence that no other
// domain confirms counts after aloneFactor times as long, and not while another
// domain gets answers.
type CorroboratedDetector struct {
	// Silence is the silence that counts, beyond the usual time between answers.
	Silence time.Duration
	// Domain is the failure domain of this home.
	Domain string
	// RequiredDomains is how many other failure domains must agree.
	RequiredDomains int

	life      lifeline
	opinions  []opinion
	refused   time.Time
	roundTrip time.Duration
}

// roundTripShift makes each round trip count an eighth in the smoothed one.
const roundTripShift = 3

// between is the usual time between two answers to probes that are sent one at a
// time.
func between(roundTrip time.Duration) time.Duration {
	return max(ProbeInterval, roundTrip)
}

// RoundTrip returns the usual round trip to the primary, for the opinion that is
// told to peers.
func (d *CorroboratedDetector) RoundTrip() time.Duration {
	return d.roundTrip
}

// opinion is the latest opinion of one failure domain.
type opinion struct {
	domain  string
	silent  bool
	refused bool
	answer  bool
	at      time.Time
}

// Reset starts with a new primary.
func (d *CorroboratedDetector) Reset(now time.Time, target string) {
	d.life.reset(now, target)
	d.opinions = d.opinions[:0]
	d.refused = time.Time{}
	d.roundTrip = 0
}

// Observe enters evidence of this home or of a peer. An answer that a peer got
// withdraws its opinion, and does not end the silence seen here.
func (d *CorroboratedDetector) Observe(e Evidence) {
	if e.Target != d.life.target {
		return
	}
	if e.FailureDomain != d.Domain {
		d.keep(opinion{
			domain:  e.FailureDomain,
			silent:  e.Kind == EvidenceRefused || (e.Kind == EvidenceSilence && e.SilentFor >= d.Silence+between(e.RoundTrip)),
			refused: e.Kind == EvidenceRefused,
			answer:  e.Kind == EvidenceAnswer,
			at:      e.At,
		})
		return
	}
	switch {
	case e.Kind == EvidenceAnswer && e.At.After(d.life.heard):
		d.life.heard = e.At
		d.refused = time.Time{}
		d.learn(e.RoundTrip)
	case e.Kind == EvidenceRefused && d.refused.IsZero():
		d.refused = e.At
	}
}

func (d *CorroboratedDetector) learn(roundTrip time.Duration) {
	if d.roundTrip == 0 {
		d.roundTrip = roundTrip
		return
	}
	d.roundTrip += (roundTrip - d.roundTrip) >> roundTripShift
}

func (d *CorroboratedDetector) keep(o opinion) {
	for i := range d.opinions {
		if d.opinions[i].domain == o.domain {
			d.opinions[i] = o
			return
		}
	}
	d.opinions = append(d.opinions, o)
}

// Suspects reports whether this home and enough other domains agree.
func (d *CorroboratedDetector) Suspects(now time.Time) bool {
	silence := d.life.silence(now)
	refusing := !d.refused.IsZero() && now.Sub(d.refused) >= refusalConfirm
	agree, refused, answered := d.count(now)
	switch {
	case refusing && refused >= d.RequiredDomains:
		return true
	case silence >= d.Silence+between(d.roundTrip) && agree >= d.RequiredDomains:
		return true
	default:
		return silence >= aloneFactor*d.Silence && answered == 0
	}
}

// count counts the other domains that lately found the primary silent or
// refusing, those among them that were refused, and those that got answers.
func (d *CorroboratedDetector) count(now time.Time) (agree, refused, answered int) {
	for _, o := range d.opinions {
		if now.Sub(o.at) > opinionLife {
			continue
		}
		if o.silent {
			agree++
		}
		if o.refused {
			refused++
		}
		if o.answer {
			answered++
		}
	}
	return agree, refused, answered
}
