package group

import (
	"math"
	"time"
)

// EvidenceKind is the outcome of a contact with a primary.
type EvidenceKind uint8

// The kinds of evidence.
const (
	// EvidenceAnswer is an answer of the instance to a probe or to a request.
	EvidenceAnswer EvidenceKind = iota
	// EvidenceRefused is a connection that the instance's VM refused or reset: no
	// process is listening.
	EvidenceRefused
	// EvidenceSilence is remote evidence: a peer has received no answer for
	// SilentFor.
	EvidenceSilence
)

// Evidence is an observation about the liveness of a primary.
type Evidence struct {
	Kind EvidenceKind
	// At is when this home obtained the evidence.
	At time.Time
	// FailureDomain is the failure domain from which the primary was contacted.
	FailureDomain string
	// Target is the name of the instance.
	Target string
	// RoundTrip is the duration of the call for a local EvidenceAnswer, and the
	// peer's smoothed round trip for remote evidence.
	RoundTrip time.Duration
	// SilentFor is the time without an answer; set only for EvidenceSilence.
	SilentFor time.Duration
}

// Detector detects the failure of the primary of a group. A suspicion triggers a
// promotion; a false one costs availability, not safety.
type Detector interface {
	// Reset starts monitoring a new primary.
	Reset(now time.Time, target string)
	// Observe records evidence.
	Observe(e Evidence)
	// Suspects reports whether the primary is suspected to have failed. It must be
	// called at least once per probe interval to detect pauses of this process.
	Suspects(now time.Time) bool
}

// Intervals and timeouts of failure detection.
const (
	// ProbeInterval is the interval between probes of a primary that has answered no
	// requests in the meantime.
	ProbeInterval = 50 * time.Millisecond
	// UrgentInterval is the interval of probes, of exchanges of remote evidence and of
	// calls to Suspects while the primary has been silent for two probe intervals or
	// no term is open.
	UrgentInterval = 10 * time.Millisecond
	// DefaultSilence is the time without an answer after which a primary is suspected,
	// in addition to the expected interval between answers.
	DefaultSilence = 525 * time.Millisecond
	// minRefusalTime is how long connections must be refused before a refusal counts.
	minRefusalTime = 2 * ProbeInterval
	// evidenceTTL is how long the evidence of a peer is valid.
	evidenceTTL = 4 * ProbeInterval
	// uncorroboratedFactor multiplies the required silence if no other failure domain
	// confirms it.
	uncorroboratedFactor = 4
	// maxCheckGap is the longest gap between two calls to Suspects. A longer one means
	// that this process was paused.
	maxCheckGap = 3 * ProbeInterval
)

// answerTracker measures the time since the last answer of one instance. It excludes
// pauses of this process, during which answers could not be read.
type answerTracker struct {
	target     string
	lastAnswer time.Time
	lastCheck  time.Time
}

func (t *answerTracker) reset(now time.Time, target string) {
	*t = answerTracker{target: target, lastAnswer: now, lastCheck: now}
}

// silence returns the time since the last answer. A pause of this process restarts the
// measurement at zero.
func (t *answerTracker) silence(now time.Time) time.Duration {
	if now.Sub(t.lastCheck) > maxCheckGap && now.After(t.lastAnswer) {
		t.lastAnswer = now
	}
	t.lastCheck = now
	return now.Sub(t.lastAnswer)
}

// isNewAnswer reports whether e is a new answer that was received in the given failure
// domain, or in any domain if it is empty.
func (t *answerTracker) isNewAnswer(e Evidence, domain string) bool {
	if e.Kind != EvidenceAnswer || e.Target != t.target {
		return false
	}
	return (domain == "" || e.FailureDomain == domain) && e.At.After(t.lastAnswer)
}

// FixedTimeoutDetector suspects a primary that has not answered for a fixed time.
type FixedTimeoutDetector struct {
	Timeout time.Duration
	// Domain is the failure domain whose answers count. Empty means all domains.
	Domain string

	tracker answerTracker
}

// Reset starts monitoring a new primary.
func (d *FixedTimeoutDetector) Reset(now time.Time, target string) {
	d.tracker.reset(now, target)
}

// Observe records evidence. Only answers are used.
func (d *FixedTimeoutDetector) Observe(e Evidence) {
	if d.tracker.isNewAnswer(e, d.Domain) {
		d.tracker.lastAnswer = e.At
	}
}

// Suspects reports whether the time since the last answer has reached the timeout.
func (d *FixedTimeoutDetector) Suspects(now time.Time) bool {
	return d.tracker.silence(now) >= d.Timeout
}

// PhiAccrualDetector is a phi accrual failure detector: it suspects a primary when its
// silence is improbable, given the gaps between its earlier answers. The gaps are
// assumed to be normally distributed.
type PhiAccrualDetector struct {
	// Threshold is the suspicion level phi, the negative decimal logarithm of the
	// probability of a longer gap: 8 means a probability of 1 in 10^8.
	Threshold float64
	// Floor is the minimum standard deviation of the gaps.
	Floor time.Duration
	// Domain is the failure domain whose answers count. Empty means all domains.
	Domain string

	tracker     answerTracker
	gapCount    float64
	meanGap     float64
	gapVariance float64
}

// gapWindow is the number of gaps over which the statistics are averaged.
const gapWindow = 1000

// Reset starts monitoring a new primary. The gap statistics are kept.
func (d *PhiAccrualDetector) Reset(now time.Time, target string) {
	d.tracker.reset(now, target)
}

// Observe records evidence. Only answers are used.
func (d *PhiAccrualDetector) Observe(e Evidence) {
	if !d.tracker.isNewAnswer(e, d.Domain) {
		return
	}
	d.addGap(float64(e.At.Sub(d.tracker.lastAnswer)))
	d.tracker.lastAnswer = e.At
}

// addGap adds one gap to the running mean and variance.
func (d *PhiAccrualDetector) addGap(gap float64) {
	d.gapCount = math.Min(d.gapCount+1, gapWindow)
	delta := gap - d.meanGap
	d.meanGap += delta / d.gapCount
	d.gapVariance += (delta*(gap-d.meanGap) - d.gapVariance) / d.gapCount
}

// Suspects reports whether the suspicion level has reached the threshold. Before the
// first gap is known, it uses a fixed timeout.
func (d *PhiAccrualDetector) Suspects(now time.Time) bool {
	silence := d.tracker.silence(now)
	if d.gapCount == 0 {
		return silence >= DefaultSilence+ProbeInterval
	}
	deviation := math.Max(math.Sqrt(d.gapVariance), float64(d.Floor))
	z := (float64(silence) - d.meanGap) / deviation
	// The probability of a longer gap is erfc(z/√2)/2.
	return -math.Log10(math.Erfc(z/math.Sqrt2)/2) >= d.Threshold
}

// CorroboratedDetector suspects a primary after a silence that is confirmed by
// RequiredDomains other failure domains. In each domain the silence must exceed
// Silence plus the domain's own expected interval between answers. The detector
// suspects the primary sooner if its VM refuses connections. A silence that is not
// confirmed must last uncorroboratedFactor times Silence, and has no effect while any
// other domain receives answers.
type CorroboratedDetector struct {
	// Silence is the time without an answer that is required, in addition to the
	// expected interval between answers.
	Silence time.Duration
	// Domain is the failure domain of this home.
	Domain string
	// RequiredDomains is the number of other failure domains that must agree.
	RequiredDomains int

	tracker      answerTracker
	peers        []peerEvidence
	refusedSince time.Time
	roundTrip    time.Duration
}

// roundTripSmoothingShift is the weight of a new round trip as a power of two: 1/8.
const roundTripSmoothingShift = 3

// expectedAnswerInterval returns the expected time between two answers when a probe is
// sent only after the previous one was answered.
func expectedAnswerInterval(roundTrip time.Duration) time.Duration {
	return max(ProbeInterval, roundTrip)
}

// RoundTrip returns the smoothed round trip to the primary, or zero if unknown. It is
// sent to peers as part of the local evidence.
func (d *CorroboratedDetector) RoundTrip() time.Duration {
	return d.roundTrip
}

// peerEvidence is the latest evidence received from one other failure domain.
type peerEvidence struct {
	domain   string
	silent   bool
	refused  bool
	answered bool
	at       time.Time
}

// Reset starts monitoring a new primary.
func (d *CorroboratedDetector) Reset(now time.Time, target string) {
	d.tracker.reset(now, target)
	d.peers = d.peers[:0]
	d.refusedSince = time.Time{}
	d.roundTrip = 0
}

// Observe records evidence of this home or of a peer. An answer received by a peer
// replaces the peer's earlier evidence but does not end the silence observed here.
func (d *CorroboratedDetector) Observe(e Evidence) {
	if e.Target != d.tracker.target {
		return
	}
	if e.FailureDomain != d.Domain {
		d.setPeerEvidence(peerEvidence{
			domain: e.FailureDomain,
			silent: e.Kind == EvidenceRefused ||
				(e.Kind == EvidenceSilence && e.SilentFor >= d.Silence+expectedAnswerInterval(e.RoundTrip)),
			refused:  e.Kind == EvidenceRefused,
			answered: e.Kind == EvidenceAnswer,
			at:       e.At,
		})
		return
	}
	switch {
	case e.Kind == EvidenceAnswer && e.At.After(d.tracker.lastAnswer):
		d.tracker.lastAnswer = e.At
		d.refusedSince = time.Time{}
		d.updateRoundTrip(e.RoundTrip)
	case e.Kind == EvidenceRefused && d.refusedSince.IsZero():
		d.refusedSince = e.At
	}
}

func (d *CorroboratedDetector) updateRoundTrip(roundTrip time.Duration) {
	if d.roundTrip == 0 {
		d.roundTrip = roundTrip
		return
	}
	d.roundTrip += (roundTrip - d.roundTrip) >> roundTripSmoothingShift
}

func (d *CorroboratedDetector) setPeerEvidence(e peerEvidence) {
	for i := range d.peers {
		if d.peers[i].domain == e.domain {
			d.peers[i] = e
			return
		}
	}
	d.peers = append(d.peers, e)
}

// Suspects reports whether this home and enough other failure domains have lost the
// primary.
func (d *CorroboratedDetector) Suspects(now time.Time) bool {
	silence := d.tracker.silence(now)
	refusing := !d.refusedSince.IsZero() && now.Sub(d.refusedSince) >= minRefusalTime
	silent, refused, answered := d.countPeers(now)
	switch {
	case refusing && refused >= d.RequiredDomains:
		return true
	case silence >= d.Silence+expectedAnswerInterval(d.roundTrip) && silent >= d.RequiredDomains:
		return true
	default:
		return silence >= uncorroboratedFactor*d.Silence && answered == 0
	}
}

// countPeers counts the other domains whose evidence is still valid: those to which the
// primary is silent or refuses connections, those to which it refuses connections, and
// those that receive answers.
func (d *CorroboratedDetector) countPeers(now time.Time) (silent, refused, answered int) {
	for _, e := range d.peers {
		if now.Sub(e.at) > evidenceTTL {
			continue
		}
		if e.silent {
			silent++
		}
		if e.refused {
			refused++
		}
		if e.answered {
			answered++
		}
	}
	return silent, refused, answered
}
