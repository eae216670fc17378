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

// simSize is the number of failure domains. Each has an instance and a home; the
// store stands in domain 0.
const simSize = 3

const (
	simCallTimeout = 100 * time.Millisecond
	// overtakenTime is how long an instance may stand at a later term.
	overtakenTime = time.Second
)

var (
	simStart  = time.Unix(1_000_000, 0)
	simGroup  = Electorate{"a", "b", "c"}
	errSimOut = errors.New("no answer in time")
)

// simOptions take a mechanism out.
type simOptions struct {
	rules *rules
	// connectionsOutlastFence lets a late statement run after a fence.
	connectionsOutlastFence bool
	// noRecord lets a request run whose id was recorded.
	noRecord bool
	// network and storeTime give measured delays in place of random ones.
	network     func(s *sim, a, b int) time.Duration
	storeTime   time.Duration
	storeDomain int
	// detector makes the detector of a home; with it homes probe at the stated
	// intervals, exchange opinions and promote by rank.
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

// simEntry is one entry; attempt is 0 for an opening entry.
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
	stalledUntil  time.Time    // gets no log pieces
	refusing      bool         // its process is gone and its VM answers for it
	ended         map[int]bool // attempts whose connection was terminated
}

func (n *simInstance) at(i int) position.Position {
	if i == 0 {
		return position.Position{}
	}
	return position.Position{Term: n.log[i-1].term, Index: uint64(i)}
}

func (n *simInstance) status() target.Status {
	return target.Status{Target: n.name, Primary: n.primary, Fence: n.fence, Joined: n.joined,
		Last: n.at(len(n.log)), Applied: n.at(n.applied)}
}

func (n *simInstance) raise(t position.Term) bool {
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

// sim is a group, its homes and the store in virtual time.
type sim struct {
	options   simOptions
	now       time.Time
	seq       int
	queue     simQueue
	random    *rand.Rand
	instances [simSize]*simInstance
	homes     [simSize]*simHome
	// cut[a][b] says until when nothing gets from domain a to domain b.
	cut       [simSize][simSize]time.Time
	lossUntil time.Time

	storeDown  time.Time
	term       TermObject
	version    store.Revision
	opened     position.Term // the highest term that a majority held an entry of
	ledger     simLedger
	suspicions int
}

func newSim(seed uint64, o simOptions) *sim {
	if o.rules == nil {
		o.rules = &safeRules
	}
	s := &sim{options: o, now: simStart, random: rand.New(rand.NewPCG(seed, 1)), version: 1}
	s.term = TermObject{Term: 1, Primary: "a", Electorate: simGroup}
	for i, name := range simGroup {
		s.instances[i] = &simInstance{name: name, fence: 1, joined: 1, leader: "a", ended: map[int]bool{}}
		s.instances[i].append(simEntry{term: 1})
	}
	for i := range s.homes {
		s.homes[i] = &simHome{sim: s, domain: i}
		s.homes[i].reset()
		s.homes[i].tick()
	}
	s.instances[0].primary = true
	s.opened = 1
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

func (s *sim) linked(a, b int) bool {
	if s.now.Before(s.lossUntil) && s.random.IntN(4) == 0 {
		return false
	}
	return !s.now.Before(s.cut[a][b])
}

// carry takes a message from domain a to b and runs f there at arrival.
func (s *sim) carry(a, b int, f func()) {
	if s.linked(a, b) {
		s.after(s.latency(a, b), func() {
			if s.linked(a, b) {
				f()
			}
		})
	}
}

// at runs f at an instance when it is not frozen, and never while it is down.
func (s *sim) at(n *simInstance, f func()) {
	switch {
	case s.now.Before(n.downUntil):
	case s.now.Before(n.frozenUntil):
		s.after(n.frozenUntil.Sub(s.now), func() { s.at(n, f) })
	default:
		f()
	}
}

// replicate sends log pieces from every primary to its followers.
func (s *sim) replicate() {
	for i, p := range s.instances {
		for j, f := range s.instances {
			if i != j && p.primary && f.joined == p.fence && f.fence == p.fence && s.awake(p) && s.awake(f) && !s.now.Before(f.stalledUntil) &&
				s.linked(i, j) && s.random.IntN(3) > 0 {
				s.send(i, j)
			}
		}
	}
	s.noteOpen()
	s.after(2*time.Millisecond, s.replicate)
}

func (s *sim) awake(n *simInstance) bool {
	return !s.now.Before(n.downUntil) && !s.now.Before(n.frozenUntil)
}

// send streams at once and in part or, with a network, whole after its delay.
func (s *sim) send(i, j int) {
	p, f, t := s.instances[i], s.instances[j], s.instances[i].fence
	if s.options.network == nil {
		s.stream(p, f, len(f.log)+s.random.IntN(max(1, len(p.log)-len(f.log)+1)))
		return
	}
	n := len(p.log)
	s.carry(i, j, func() {
		s.at(f, func() {
			if p.fence == t && f.fence == t && f.joined == t {
				s.stream(p, f, n)
				f.applied = len(f.log)
			}
		})
	})
}

// stream cuts a tail that p lacks, or else copies p's log up to n entries.
func (s *sim) stream(p, f *simInstance, n int) {
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

func (s *sim) noteOpen() {
	for _, p := range s.instances {
		held := 0
		for _, n := range s.instances {
			if p.primary && Acknowledges(n.status(), position.Position{Term: p.fence}) {
				held++
			}
		}
		if held >= simGroup.Majority() {
			s.opened = max(s.opened, p.fence)
		}
	}
}

// simHome is one home: the part of the runtime that these tests need.
type simHome struct {
	sim         *sim
	domain      int
	life        int
	pausedUntil time.Time
	confirmer   *Confirmer
	view        *PrimaryView
	detector    Detector
	watched     Primary
	heard       time.Time // the latest answer of the primary
	overtaken   time.Time // since when an instance stands at a later term
	suspected   time.Time // since when the primary is suspected
	promotion   *Promotion
	held        bool // new writes wait for a hand-over
	nextBatch   BatchID
	decided     map[BatchID]func(Decision)
}

// reset is what a new process starts with.
func (h *simHome) reset() {
	h.life++
	h.confirmer, h.view, h.promotion = NewConfirmer(simGroup, 0), NewPrimaryView(simGroup), nil
	h.confirmer.rules, h.view.rules = h.sim.options.rules, h.sim.options.rules
	h.decided = map[BatchID]func(Decision){}
	h.detector = &FixedTimeoutDetector{Timeout: 120 * time.Millisecond}
	if h.sim.options.detector != nil {
		h.detector = h.sim.options.detector(h.domain)
	}
	h.watched, h.held = Primary{}, false
}

// wake runs f in the home's process, after a pause, unless it died meanwhile.
func (h *simHome) wake(life int, f func()) {
	switch {
	case life != h.life:
	case h.sim.now.Before(h.pausedUntil):
		h.sim.after(h.pausedUntil.Sub(h.sim.now), func() { h.wake(life, f) })
	default:
		f()
		h.pump()
	}
}

// call runs op at an instance or, if n is nil, at the store, and then back in
// the home; back gets errSimOut if no answer came.
func (h *simHome) call(n *simInstance, domain int, op func(), back func(asked time.Time, err error)) {
	s, life, asked, over := h.sim, h.life, h.sim.now, false
	finish := func(err error) {
		if !over {
			over = true
			h.wake(life, func() { back(asked, err) })
		}
	}
	answer := func() {
		op()
		s.carry(domain, h.domain, func() { finish(nil) })
	}
	s.carry(h.domain, domain, func() {
		switch {
		case n != nil && n.refusing:
			s.carry(domain, h.domain, func() { finish(errSimRefused) })
		case n != nil:
			s.at(n, answer)
		case !s.now.Before(s.storeDown):
			s.after(s.options.storeTime, answer)
		}
	})
	s.after(simCallTimeout, func() { finish(errSimOut) })
}

// control calls an instance and enters the status it answers.
func (h *simHome) control(i int, op func(n *simInstance) error, back func(Observation, error)) {
	n := h.sim.instances[i]
	var st target.Status
	var failed error
	h.call(n, i, func() { failed = op(n); st = n.status() }, func(asked time.Time, err error) {
		if err == nil {
			err = failed
		}
		o := Observation{Status: st, CallStarted: asked, CallEnded: h.sim.now}
		if err == nil || errors.Is(err, target.ErrFenced) {
			h.observe(o)
		}
		back(o, err)
	})
}

func (h *simHome) observe(o Observation) {
	h.view.Observe(o)
	if h.watched.Name == o.Status.Target && o.Status.Primary {
		h.heard = o.CallEnded
		h.witness(EvidenceAnswer, o.CallEnded.Sub(o.CallStarted))
	}
	h.settleBatches(h.confirmer.Observe(o))
}

// witness enters own evidence of the primary.
func (h *simHome) witness(k EvidenceKind, roundTrip time.Duration) {
	h.detector.Observe(Evidence{Kind: k, At: h.sim.now, FailureDomain: simGroup[h.domain], Target: h.watched.Name, RoundTrip: roundTrip})
}

// tell gives the other homes this home's opinion of the primary.
func (h *simHome) tell() {
	e := Evidence{Kind: EvidenceSilence, SilentFor: h.sim.now.Sub(h.heard), Target: h.watched.Name, FailureDomain: simGroup[h.domain]}
	if d, ok := h.detector.(*CorroboratedDetector); ok {
		e.RoundTrip = d.RoundTrip()
	}
	if e.SilentFor <= 2*ProbeInterval {
		e.Kind = EvidenceAnswer
	} else if h.sim.instances[simGroup.Index(e.Target)].refusing {
		e.Kind = EvidenceRefused
	}
	for _, other := range h.sim.homes {
		if life := other.life; other != h {
			h.sim.carry(h.domain, other.domain, func() {
				other.wake(life, func() { e.At = h.sim.now; other.detector.Observe(e) })
			})
		}
	}
}

func (h *simHome) settleBatches(decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		if f := h.decided[d.ID]; f != nil {
			delete(h.decided, d.ID)
			f(d)
		}
	}
}

// confirm enters a batch; f gets the decision, Waiting when it timed out.
func (h *simHome) confirm(b Batch, f func(Decision)) {
	h.nextBatch++
	b.ID = h.nextBatch
	h.decided[b.ID] = f
	if d := h.confirmer.Add(b); d.Verdict != Waiting {
		h.settleBatches([]Decision{d})
		return
	}
	life := h.life
	h.sim.after(300*time.Millisecond, func() {
		h.wake(life, func() {
			h.confirmer.Remove(b.ID)
			h.settleBatches([]Decision{{ID: b.ID}})
		})
	})
}

func nothing(*simInstance) error { return nil }

// pump issues the status calls that are due.
func (h *simHome) pump() {
	names, _ := h.confirmer.DueCalls(h.sim.now)
	for _, name := range names {
		h.control(simGroup.Index(name), nothing, func(_ Observation, err error) {
			if err != nil {
				h.confirmer.CallFailed(name)
			}
		})
	}
}

// tick is the heartbeat.
func (h *simHome) tick() {
	interval := 20 * time.Millisecond
	if h.sim.options.detector != nil {
		interval = ProbeInterval
		if !h.view.Primary().Open || h.sim.now.Sub(h.heard) > 2*ProbeInterval {
			interval = UrgentInterval
		}
	}
	h.sim.after(interval, func() { h.tick() })
	h.wake(h.life, func() {
		if h.sim.options.detector != nil && h.watched.Name != "" {
			h.tell()
		}
		for i := range simGroup {
			h.probe(i)
		}
		for _, a := range h.view.FollowActions() {
			h.perform(Command{Kind: CommandFollow, Target: a.Target, Term: a.Term, Primary: a.Primary}, func(Result) {})
		}
		h.suspect()
	})
}

// probe reads the status of an instance. That of the primary is confirmed, to
// learn the ages of the replicas.
func (h *simHome) probe(i int) {
	h.control(i, nothing, func(o Observation, err error) {
		if err == errSimRefused && simGroup[i] == h.watched.Name {
			h.witness(EvidenceRefused, 0)
		}
		if p := h.view.Primary(); err == nil && p.Name == o.Status.Target {
			h.confirm(Batch{Term: p.Term, Started: o.CallStarted, Ended: o.CallEnded, StatusAfter: o.Status}, func(Decision) {})
		}
	})
}

// suspect starts and drives promotions.
func (h *simHome) suspect() {
	p := h.view.Primary()
	known := p.Name != "" || h.sim.options.detector == nil
	if known && (p.Name != h.watched.Name || p.Term != h.watched.Term) {
		h.watched, h.heard = p, h.sim.now
		h.detector.Reset(h.sim.now, p.Name)
	}
	suspected := h.detector.Suspects(h.sim.now)
	if h.promotion != nil {
		if !suspected && p.Term > h.promotion.settings.SuspectedTerm && h.promotion.IsSupersededBy(p) {
			h.drive(h.promotion, h.promotion.Abandon(h.sim.now))
		}
		if h.promotion.Ended() {
			h.promotion = nil
			return
		}
		h.drive(h.promotion, h.promotion.Tick(h.sim.now))
		return
	}
	if !h.view.HasLaterFence() {
		h.overtaken = h.sim.now
	}
	if h.sim.now.Sub(h.overtaken) > overtakenTime {
		h.overtaken = h.sim.now
		h.start(PromotionSettings{})
		return
	}
	if !suspected || h.watched.Name == "" && h.sim.options.detector != nil {
		h.suspected = time.Time{}
		return
	}
	if h.suspected.IsZero() {
		h.suspected = h.sim.now
	}
	if h.sim.now.Sub(h.suspected) >= h.electionDelay() {
		h.suspected = time.Time{}
		h.sim.suspicions++
		h.start(PromotionSettings{})
	}
}

// electionDelay is random in a history, so that duels are many.
func (h *simHome) electionDelay() time.Duration {
	if h.sim.options.detector == nil {
		return time.Duration(h.sim.random.IntN(30)) * time.Millisecond
	}
	var places []Instance
	for _, name := range simGroup {
		o, ok := h.view.Latest(name)
		places = append(places, Instance{Target: name, FailureDomain: name, Last: o.Status.Last,
			Reachable: ok && h.sim.now.Sub(o.CallEnded) < 3*ProbeInterval})
	}
	return ElectionDelay(ElectionRank(simGroup[h.domain], places), uint64(h.domain))
}

func (h *simHome) start(settings PromotionSettings) {
	settings.Electorate, settings.HighestTerm = simGroup, h.view.HighestTerm()
	settings.SuspectedTerm = h.watched.Term
	settings.Nonce = fmt.Sprint(h.domain, "/", h.sim.seq)
	settings.Seed = h.sim.random.Uint64()
	settings.StepTimeout = simCallTimeout
	p := NewPromotion(settings)
	p.rules = h.sim.options.rules
	h.promotion = p
	h.drive(p, p.Start(h.sim.now))
}

func (h *simHome) drive(p *Promotion, commands []Command) {
	for _, c := range commands {
		h.perform(c, func(r Result) { h.drive(p, p.Handle(h.sim.now, r)) })
	}
}

// perform carries out one command.
func (h *simHome) perform(c Command, back func(Result)) {
	s := h.sim
	r := Result{Command: c}
	switch c.Kind {
	case CommandResumeWrites:
		h.held = false
	case CommandStopWrites:
		h.held = true
		back(r)
	case CommandReadTerm:
		h.call(nil, s.options.storeDomain, func() { r.Object, r.Version = s.term, s.version }, func(_ time.Time, err error) {
			r.Err = err
			back(r)
		})
	case CommandPutTerm:
		var failed error
		h.call(nil, s.options.storeDomain, func() {
			if c.Version != s.version {
				failed = &store.ConflictError{}
			} else {
				s.term = c.Object
				s.version++
			}
			r.Object, r.Version = s.term, s.version
		}, func(_ time.Time, err error) {
			r.Err = failed
			if err != nil {
				r.Err = store.ErrUnclear
			}
			back(r)
		})
	default:
		h.control(simGroup.Index(c.Target), func(n *simInstance) error { return s.apply(n, c) }, func(o Observation, err error) {
			r.Observation, r.Err = o, err
			back(r)
		})
	}
}

// apply is what an instance does on a command.
func (s *sim) apply(n *simInstance, c Command) error {
	if c.Kind == CommandStatus {
		return nil
	}
	if !n.raise(c.Term) {
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
