package group

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// simSize is the number of failure domains. Each contains one instance and one home.
// By default the store is in domain 0.
const simSize = 3

const (
	simCallTimeout = 100 * time.Millisecond
	// maxLaterFenceTime is how long an instance may stay fenced at a later term than
	// the primary before a home starts a promotion.
	maxLaterFenceTime = time.Second
)

var (
	simStart      = time.Unix(1_000_000, 0)
	simGroup      = Electorate{"a", "b", "c"}
	errSimTimeout = errors.New("no answer in time")
)

// simOptions configures a simulation. Some options disable a safety mechanism.
type simOptions struct {
	rules *rules
	// connectionsSurviveFence lets a late statement execute on its connection after
	// the instance was fenced.
	connectionsSurviveFence bool
	// noRecord lets a request execute again although its ID is recorded.
	noRecord bool
	// network, storeTime and storeDomain set the latencies of a site instead of random
	// ones: network returns the one-way delay between two domains.
	network     func(s *sim, a, b int) time.Duration
	storeTime   time.Duration
	storeDomain int
	// detector creates the failure detector of a home. If it is set, homes probe at
	// the production intervals, exchange evidence and promote in order of their rank.
	detector func(domain int) Detector
}

var errSimRefused = errors.New("connection refused")

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// simEntry is one log entry. attempt is the number of the write attempt, or 0 for an
// opening entry.
type simEntry struct {
	term    position.Term
	attempt int
	id      string
}

type simInstance struct {
	name          string
	primary       bool
	fence, joined position.Term
	leader        string
	log           []simEntry
	applied       int
	downUntil     time.Time
	frozenUntil   time.Time
	stalledUntil  time.Time    // receives no log entries until then
	refusing      bool         // its process has exited and its VM refuses connections
	terminated    map[int]bool // attempts whose connection was terminated
}

// positionAt returns the position of the i-th log entry; zero if i is 0.
func (n *simInstance) positionAt(i int) position.Position {
	if i == 0 {
		return position.Position{}
	}
	return position.Position{Term: n.log[i-1].term, Index: uint64(i)}
}

func (n *simInstance) status() target.Status {
	return target.Status{Target: n.name, Primary: n.primary, Fence: n.fence, Joined: n.joined,
		Last: n.positionAt(len(n.log)), Applied: n.positionAt(n.applied)}
}

// raiseFence fences the instance at t and reports whether t is not below its fence.
func (n *simInstance) raiseFence(t position.Term) bool {
	if t < n.fence {
		return false
	}
	if t > n.fence {
		n.fence, n.primary, n.leader = t, false, ""
	}
	return true
}

func (n *simInstance) append(e simEntry) {
	n.log = append(n.log, e)
	n.applied = len(n.log)
}

func (n *simInstance) hasID(id string) bool {
	return slices.ContainsFunc(n.log, func(e simEntry) bool { return e.id == id })
}

// sim simulates a group, its homes and the store in virtual time.
type sim struct {
	options   simOptions
	now       time.Time
	seq       int
	queue     simQueue
	random    *rand.Rand
	instances [simSize]*simInstance
	homes     [simSize]*simHome
	// cutUntil[a][b] is the time until which no message from domain a reaches domain b.
	cutUntil  [simSize][simSize]time.Time
	lossUntil time.Time

	storeDownUntil      time.Time
	termObject          TermObject
	termVersion         store.Revision
	highestOpenTerm     position.Term // the highest term of which a majority held an entry
	ledger              simLedger
	suspectedPromotions int
}

func newSim(seed uint64, o simOptions) *sim {
	if o.rules == nil {
		o.rules = &safeRules
	}
	s := &sim{options: o, now: simStart, random: rand.New(rand.NewPCG(seed, 1)), termVersion: 1}
	s.termObject = TermObject{Term: 1, Primary: "a", Electorate: simGroup}
	for i, name := range simGroup {
		s.instances[i] = &simInstance{name: name, fence: 1, joined: 1, leader: "a", terminated: map[int]bool{}}
		s.instances[i].append(simEntry{term: 1})
	}
	for i := range s.homes {
		s.homes[i] = &simHome{sim: s, domain: i}
		s.homes[i].reset()
		s.homes[i].heartbeat()
	}
	s.instances[0].primary = true
	s.highestOpenTerm = 1
	s.replicate()
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

func (s *sim) run(until time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *sim) latency(a, b int) time.Duration {
	if s.options.network != nil {
		return s.options.network(s, a, b)
	}
	if s.random.IntN(40) == 0 {
		return time.Duration(s.random.IntN(400)) * time.Millisecond
	}
	return time.Duration(500+s.random.IntN(3000)) * time.Microsecond
}

func (s *sim) isConnected(a, b int) bool {
	if s.now.Before(s.lossUntil) && s.random.IntN(4) == 0 {
		return false
	}
	return !s.now.Before(s.cutUntil[a][b])
}

// deliver sends a message from domain a to domain b and runs f at its arrival. The
// message is lost if the domains are disconnected when it is sent or arrives.
func (s *sim) deliver(a, b int, f func()) {
	if s.isConnected(a, b) {
		s.after(s.latency(a, b), func() {
			if s.isConnected(a, b) {
				f()
			}
		})
	}
}

// runAt runs f at an instance. If the instance is frozen, f runs when the freeze ends; if
// it is down, f never runs.
func (s *sim) runAt(n *simInstance, f func()) {
	switch {
	case s.now.Before(n.downUntil):
	case s.now.Before(n.frozenUntil):
		s.after(n.frozenUntil.Sub(s.now), func() { s.runAt(n, f) })
	default:
		f()
	}
}

// replicate periodically sends log entries from each primary to its replicas.
func (s *sim) replicate() {
	for i, p := range s.instances {
		for j, f := range s.instances {
			if i != j && p.primary && f.joined == p.fence && f.fence == p.fence &&
				s.isRunning(p) && s.isRunning(f) && !s.now.Before(f.stalledUntil) &&
				s.isConnected(i, j) && s.random.IntN(3) > 0 {
				s.sendLog(i, j)
			}
		}
	}
	s.recordOpenTerms()
	s.after(2*time.Millisecond, s.replicate)
}

func (s *sim) isRunning(n *simInstance) bool {
	return !s.now.Before(n.downUntil) && !s.now.Before(n.frozenUntil)
}

// sendLog streams a random part of the log without delay or, if a network is
// configured, the whole log after its delay.
func (s *sim) sendLog(i, j int) {
	p, f, t := s.instances[i], s.instances[j], s.instances[i].fence
	if s.options.network == nil {
		s.streamLog(p, f, len(f.log)+s.random.IntN(max(1, len(p.log)-len(f.log)+1)))
		return
	}
	n := len(p.log)
	s.deliver(i, j, func() {
		s.runAt(f, func() {
			if p.fence == t && f.fence == t && f.joined == t {
				s.streamLog(p, f, n)
				f.applied = len(f.log)
			}
		})
	})
}

// streamLog truncates f's log where it diverges from p's log, or, if it does not
// diverge, extends it to the first n entries of p's log.
func (s *sim) streamLog(p, f *simInstance, n int) {
	k := 0
	for k < min(len(p.log), len(f.log)) && p.log[k] == f.log[k] {
		k++
	}
	if k < len(f.log) {
		f.log = f.log[:k:k]
		f.applied = min(f.applied, k)
		return
	}
	f.log = append(f.log, p.log[k:max(k, n)]...)
	f.applied += s.random.IntN(len(f.log) - f.applied + 1)
}

// recordOpenTerms updates highestOpenTerm.
func (s *sim) recordOpenTerms() {
	for _, p := range s.instances {
		holders := 0
		for _, n := range s.instances {
			if p.primary && Acknowledges(n.status(), position.Position{Term: p.fence}) {
				holders++
			}
		}
		if holders >= simGroup.Majority() {
			s.highestOpenTerm = max(s.highestOpenTerm, p.fence)
		}
	}
}

// simHome simulates a home: the part of the runtime that these tests need.
type simHome struct {
	sim             *sim
	domain          int
	incarnation     int
	pausedUntil     time.Time
	confirmer       *Confirmer
	view            *PrimaryView
	detector        Detector
	watched         Primary
	lastAnswer      time.Time // when the primary last answered
	laterFenceSince time.Time // since when an instance is fenced at a later term
	suspectedSince  time.Time // since when the primary is suspected; zero if it is not
	promotion       *Promotion
	writesBlocked   bool // new writes are blocked by a hand-over
	nextBatch       BatchID
	onDecision      map[BatchID]func(Decision)
}

// reset sets the state of a newly started process.
func (h *simHome) reset() {
	h.incarnation++
	h.confirmer, h.view, h.promotion = NewConfirmer(simGroup, 0), NewPrimaryView(simGroup), nil
	h.confirmer.rules, h.view.rules = h.sim.options.rules, h.sim.options.rules
	h.onDecision = map[BatchID]func(Decision){}
	h.detector = &FixedTimeoutDetector{Timeout: 120 * time.Millisecond}
	if h.sim.options.detector != nil {
		h.detector = h.sim.options.detector(h.domain)
	}
	h.watched, h.writesBlocked = Primary{}, false
}

// runUnlessRestarted runs f in the home's process, after a pause of the process has
// ended. It does nothing if the process was restarted since the given incarnation.
func (h *simHome) runUnlessRestarted(incarnation int, f func()) {
	switch {
	case incarnation != h.incarnation:
	case h.sim.now.Before(h.pausedUntil):
		h.sim.after(h.pausedUntil.Sub(h.sim.now), func() { h.runUnlessRestarted(incarnation, f) })
	default:
		f()
		h.issueStatusCalls()
	}
}

// call runs operation at instance n in the given domain, or at the store if n is nil,
// and then done in the home. done receives errSimTimeout if no answer arrives in time.
func (h *simHome) call(n *simInstance, domain int, operation func(), done func(started time.Time, err error)) {
	s, incarnation, started, finished := h.sim, h.incarnation, h.sim.now, false
	finish := func(err error) {
		if !finished {
			finished = true
			h.runUnlessRestarted(incarnation, func() { done(started, err) })
		}
	}
	answer := func() {
		operation()
		s.deliver(domain, h.domain, func() { finish(nil) })
	}
	s.deliver(h.domain, domain, func() {
		switch {
		case n != nil && n.refusing:
			s.deliver(domain, h.domain, func() { finish(errSimRefused) })
		case n != nil:
			s.runAt(n, answer)
		case !s.now.Before(s.storeDownUntil):
			s.after(s.options.storeTime, answer)
		}
	})
	s.after(simCallTimeout, func() { finish(errSimTimeout) })
}

// callInstance runs operation at instance i and records the status that it returns.
func (h *simHome) callInstance(i int, operation func(n *simInstance) error, done func(Observation, error)) {
	n := h.sim.instances[i]
	var status target.Status
	var operationErr error
	h.call(n, i, func() { operationErr = operation(n); status = n.status() }, func(started time.Time, err error) {
		if err == nil {
			err = operationErr
		}
		o := Observation{Status: status, CallStarted: started, CallEnded: h.sim.now}
		if err == nil || errors.Is(err, target.ErrFenced) {
			h.observe(o)
		}
		done(o, err)
	})
}

func (h *simHome) observe(o Observation) {
	h.view.Observe(o)
	if h.watched.Name == o.Status.Target && o.Status.Primary {
		h.lastAnswer = o.CallEnded
		h.observeOwn(EvidenceAnswer, o.CallEnded.Sub(o.CallStarted))
	}
	h.deliverDecisions(h.confirmer.Observe(o))
}

// observeOwn records evidence that this home obtained itself.
func (h *simHome) observeOwn(k EvidenceKind, roundTrip time.Duration) {
	h.detector.Observe(Evidence{Kind: k, At: h.sim.now, FailureDomain: simGroup[h.domain],
		Target: h.watched.Name, RoundTrip: roundTrip})
}

// shareEvidence sends this home's evidence about the primary to the other homes.
func (h *simHome) shareEvidence() {
	e := Evidence{Kind: EvidenceSilence, SilentFor: h.sim.now.Sub(h.lastAnswer),
		Target: h.watched.Name, FailureDomain: simGroup[h.domain]}
	if d, ok := h.detector.(*CorroboratedDetector); ok {
		e.RoundTrip = d.RoundTrip()
	}
	if e.SilentFor <= 2*ProbeInterval {
		e.Kind = EvidenceAnswer
	} else if h.sim.instances[simGroup.Index(e.Target)].refusing {
		e.Kind = EvidenceRefused
	}
	for _, other := range h.sim.homes {
		if incarnation := other.incarnation; other != h {
			h.sim.deliver(h.domain, other.domain, func() {
				other.runUnlessRestarted(incarnation, func() { e.At = h.sim.now; other.detector.Observe(e) })
			})
		}
	}
}

// deliverDecisions calls the callbacks of decided batches.
func (h *simHome) deliverDecisions(decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		if f := h.onDecision[d.ID]; f != nil {
			delete(h.onDecision, d.ID)
			f(d)
		}
	}
}

// confirm adds a batch. decided receives the decision, or a decision with the verdict
// Waiting after a timeout.
func (h *simHome) confirm(b Batch, decided func(Decision)) {
	h.nextBatch++
	b.ID = h.nextBatch
	h.onDecision[b.ID] = decided
	if d := h.confirmer.Add(b); d.Verdict != Waiting {
		h.deliverDecisions([]Decision{d})
		return
	}
	incarnation := h.incarnation
	h.sim.after(300*time.Millisecond, func() {
		h.runUnlessRestarted(incarnation, func() {
			h.confirmer.Remove(b.ID)
			h.deliverDecisions([]Decision{{ID: b.ID}})
		})
	})
}

func noOperation(*simInstance) error { return nil }

// issueStatusCalls makes the status calls that the confirmer requests.
func (h *simHome) issueStatusCalls() {
	names, _ := h.confirmer.DueCalls(h.sim.now)
	for _, name := range names {
		h.callInstance(simGroup.Index(name), noOperation, func(_ Observation, err error) {
			if err != nil {
				h.confirmer.CallFailed(name)
			}
		})
	}
}

// heartbeat periodically probes all instances and checks the primary.
func (h *simHome) heartbeat() {
	interval := 20 * time.Millisecond
	if h.sim.options.detector != nil {
		interval = ProbeInterval
		if !h.view.Primary().Open || h.sim.now.Sub(h.lastAnswer) > 2*ProbeInterval {
			interval = UrgentInterval
		}
	}
	h.sim.after(interval, func() { h.heartbeat() })
	h.runUnlessRestarted(h.incarnation, func() {
		if h.sim.options.detector != nil && h.watched.Name != "" {
			h.shareEvidence()
		}
		for i := range simGroup {
			h.probe(i)
		}
		for _, a := range h.view.FollowActions() {
			h.perform(Command{Kind: CommandFollow, Target: a.Target, Term: a.Term, Primary: a.Primary}, func(Result) {})
		}
		h.checkPrimary()
	})
}

// probe reads the status of an instance. A status of the primary is added as a batch, so
// that the ages of the replicas are known.
func (h *simHome) probe(i int) {
	h.callInstance(i, noOperation, func(o Observation, err error) {
		if err == errSimRefused && simGroup[i] == h.watched.Name {
			h.observeOwn(EvidenceRefused, 0)
		}
		if p := h.view.Primary(); err == nil && p.Name == o.Status.Target {
			h.confirm(Batch{Term: p.Term, Started: o.CallStarted, Ended: o.CallEnded, StatusAfter: o.Status}, func(Decision) {})
		}
	})
}

// checkPrimary starts, continues and abandons promotions.
func (h *simHome) checkPrimary() {
	p := h.view.Primary()
	known := p.Name != "" || h.sim.options.detector == nil
	if known && (p.Name != h.watched.Name || p.Term != h.watched.Term) {
		h.watched, h.lastAnswer = p, h.sim.now
		h.detector.Reset(h.sim.now, p.Name)
	}
	suspected := h.detector.Suspects(h.sim.now)
	if h.promotion != nil {
		if !suspected && p.Term > h.promotion.settings.SuspectedTerm && h.promotion.IsSupersededBy(p) {
			h.performAll(h.promotion, h.promotion.Abandon(h.sim.now))
		}
		if h.promotion.Ended() {
			h.promotion = nil
			return
		}
		h.performAll(h.promotion, h.promotion.Tick(h.sim.now))
		return
	}
	if !h.view.HasLaterFence() {
		h.laterFenceSince = h.sim.now
	}
	if h.sim.now.Sub(h.laterFenceSince) > maxLaterFenceTime {
		h.laterFenceSince = h.sim.now
		h.startPromotion(PromotionSettings{})
		return
	}
	if !suspected || h.watched.Name == "" && h.sim.options.detector != nil {
		h.suspectedSince = time.Time{}
		return
	}
	if h.suspectedSince.IsZero() {
		h.suspectedSince = h.sim.now
	}
	if h.sim.now.Sub(h.suspectedSince) >= h.electionDelay() {
		h.suspectedSince = time.Time{}
		h.sim.suspectedPromotions++
		h.startPromotion(PromotionSettings{})
	}
}

// electionDelay returns the delay between suspicion and promotion. Without a configured
// detector it is short and random, so that concurrent promotions are frequent.
func (h *simHome) electionDelay() time.Duration {
	if h.sim.options.detector == nil {
		return time.Duration(h.sim.random.IntN(30)) * time.Millisecond
	}
	var instances []Instance
	for _, name := range simGroup {
		o, ok := h.view.Latest(name)
		instances = append(instances, Instance{Target: name, FailureDomain: name, Last: o.Status.Last,
			Reachable: ok && h.sim.now.Sub(o.CallEnded) < 3*ProbeInterval})
	}
	return ElectionDelay(ElectionRank(simGroup[h.domain], instances), uint64(h.domain))
}

func (h *simHome) startPromotion(settings PromotionSettings) {
	settings.Electorate, settings.HighestTerm = simGroup, h.view.HighestTerm()
	settings.SuspectedTerm = h.watched.Term
	settings.Nonce = fmt.Sprint(h.domain, "/", h.sim.seq)
	settings.Seed = h.sim.random.Uint64()
	settings.StepTimeout = simCallTimeout
	p := NewPromotion(settings)
	p.rules = h.sim.options.rules
	h.promotion = p
	h.performAll(p, p.Start(h.sim.now))
}

// performAll performs the commands and passes their results to the promotion.
func (h *simHome) performAll(p *Promotion, commands []Command) {
	for _, c := range commands {
		h.perform(c, func(r Result) { h.performAll(p, p.Handle(h.sim.now, r)) })
	}
}

// perform executes one command and passes its result to done.
func (h *simHome) perform(c Command, done func(Result)) {
	s := h.sim
	r := Result{Command: c}
	switch c.Kind {
	case CommandResumeWrites:
		h.writesBlocked = false
	case CommandStopWrites:
		h.writesBlocked = true
		done(r)
	case CommandReadTerm:
		h.call(nil, s.options.storeDomain, func() { r.Object, r.Version = s.termObject, s.termVersion }, func(_ time.Time, err error) {
			r.Err = err
			done(r)
		})
	case CommandPutTerm:
		var conflict error
		h.call(nil, s.options.storeDomain, func() {
			if c.Version != s.termVersion {
				conflict = &store.ConflictError{}
			} else {
				s.termObject = c.Object
				s.termVersion++
			}
			r.Object, r.Version = s.termObject, s.termVersion
		}, func(_ time.Time, err error) {
			r.Err = conflict
			if err != nil {
				r.Err = store.ErrOutcomeUnknown
			}
			done(r)
		})
	default:
		h.callInstance(simGroup.Index(c.Target), func(n *simInstance) error { return s.applyCommand(n, c) }, func(o Observation, err error) {
			r.Observation, r.Err = o, err
			done(r)
		})
	}
}

// applyCommand executes a command at an instance.
func (s *sim) applyCommand(n *simInstance, c Command) error {
	if c.Kind == CommandStatus {
		return nil
	}
	if !n.raiseFence(c.Term) {
		return target.ErrFenced
	}
	switch {
	case c.Kind == CommandPromote && !n.primary:
		n.primary, n.joined, n.leader = true, c.Term, n.name
		n.append(simEntry{term: c.Term})
	case c.Kind == CommandFollow && !n.primary:
		n.joined, n.leader = c.Term, c.Primary
	}
	return nil
}
