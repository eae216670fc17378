package group

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// Phase is where a promotion stands.
type Phase uint8

// The phases of a promotion.
const (
	// PhaseReading reads the term object.
	PhaseReading Phase = iota
	// PhaseClaiming puts the claim of the next term.
	PhaseClaiming
	// PhaseReadingBack reads back a claim whose answer was lost.
	PhaseReadingBack
	// PhaseBackingOff leaves a rival some time to finish.
	PhaseBackingOff
	// PhaseNearing waits for a replica to come near the primary (hand-over).
	PhaseNearing
	// PhaseStopping waits for the running writes to end (hand-over).
	PhaseStopping
	// PhaseCatchingUp waits for a replica to hold all of them (hand-over).
	PhaseCatchingUp
	// PhaseFencing fences a majority.
	PhaseFencing
	// PhasePromoting promotes the chosen instance.
	PhasePromoting
	// PhaseOpening has the opening entry confirmed.
	PhaseOpening
	// PhaseRecording writes the primary into the term object.
	PhaseRecording
	// PhaseFinished is the end: the term is open.
	PhaseFinished
	// PhaseAbandoned is the end without a new primary.
	PhaseAbandoned
)

// String names the phase for logs.
func (p Phase) String() string {
	return [...]string{"reading", "claiming", "reading_back", "backing_off", "nearing", "stopping",
		"catching_up", "fencing", "promoting", "opening", "recording", "finished", "abandoned"}[p]
}

// Times of a promotion.
const (
	// DefaultStepTimeout is how long a command may take before it is issued again.
	DefaultStepTimeout = 300 * time.Millisecond
	// DefaultRetryPause is the pause before a failed command is issued again.
	DefaultRetryPause = 20 * time.Millisecond
	// rivalGrace is how long a rival's claim is left alone.
	rivalGrace = 400 * time.Millisecond
	// phaseTimeout is how long promoting or opening may take before the next
	// term is claimed.
	phaseTimeout = time.Second
	// handOverTimeout bounds each waiting phase of a hand-over.
	handOverTimeout = 2 * time.Second
	// statusPause is the pause between two statuses of one instance while a log
	// is awaited.
	statusPause = 2 * time.Millisecond
	// recordAttempts bounds the attempts to record the primary.
	recordAttempts = 5
	// nearEntries is how far behind a replica may be when writes are stopped.
	nearEntries = 64
)

// PromotionSettings say what a promotion is for.
type PromotionSettings struct {
	// Electorate is used if the store holds no term object yet.
	Electorate Electorate
	// HighestTerm is the highest term that is known, be it only from the fence of an
	// instance. The promotion claims a later one.
	HighestTerm position.Term
	// SuspectedTerm is the term of the primary that is suspected or is to hand over.
	// A later term that another promotion claimed is left some time to be opened.
	// Zero means that it is not known.
	SuspectedTerm position.Term
	// Nonce tells the claims of this promotion from all others. It is unique.
	Nonce string
	// Avoid names drained instances. One of them is promoted only if the others
	// that can be fenced make no majority and have no log as far.
	Avoid []string
	// HandOverFrom is the primary that hands over in order; empty for a failover.
	HandOverFrom string
	// Seed feeds the jitter of the pauses.
	Seed uint64
	// StepTimeout and RetryPause are the defaults if zero.
	StepTimeout time.Duration
	RetryPause  time.Duration
}

// Promotion is the state machine that gives a group its next primary. It may be
// abandoned or forgotten at any point: a claimed term that nobody opens does no
// harm.
//
// The runtime calls Start once, then Handle for each result and Tick at the time
// that Next gives, and carries out the commands that each of them returns.
type Promotion struct {
	settings PromotionSettings
	rules    *rules
	random   *rand.Rand

	phase   Phase
	version store.Revision
	object  TermObject
	claim   TermObject
	// highest is the highest term known, from the store or an instance.
	highest position.Term
	// rival is the latest claim of another that was given its grace.
	rival position.Term

	// due is when the command of each member, or of the store, is issued next.
	due      []time.Time
	storeDue time.Time
	deadline time.Time

	fenced memberSet
	failed memberSet
	// tails holds what each fenced member answered to the fence. Only these
	// statuses are compared: others may be older than the end of the log.
	tails []target.Status
	// logs holds the latest status of each member.
	logs     []target.Status
	chosen   string
	view     *PrimaryView
	attempts int
	stopped  time.Time
	// handed is the primary's last entry after writes were stopped.
	handed position.Position
	// fencing is the latest term that an instance may have been fenced at.
	fencing position.Term
}

// NewPromotion returns a promotion that has not started.
func NewPromotion(s PromotionSettings) *Promotion {
	if s.StepTimeout == 0 {
		s.StepTimeout = DefaultStepTimeout
	}
	if s.RetryPause == 0 {
		s.RetryPause = DefaultRetryPause
	}
	return &Promotion{
		settings: s,
		rules:    &safeRules,
		random:   rand.New(rand.NewPCG(s.Seed, uint64(len(s.Nonce)))),
		highest:  s.HighestTerm,
	}
}

// Phase returns where the promotion stands.
func (p *Promotion) Phase() Phase {
	return p.phase
}

// Ended reports whether the promotion has ended.
func (p *Promotion) Ended() bool {
	return p.phase == PhaseFinished || p.phase == PhaseAbandoned
}

// Term returns the claimed term, or zero before a claim.
func (p *Promotion) Term() position.Term {
	return p.claim.Term
}

// Opened returns the new primary once its term is open.
func (p *Promotion) Opened() (Primary, bool) {
	if p.phase != PhaseRecording && p.phase != PhaseFinished {
		return Primary{}, false
	}
	return p.view.Primary(), true
}

// NextTick returns when Tick must be called at the latest; zero if the promotion is
// over.
func (p *Promotion) NextTick() time.Time {
	if p.Ended() {
		return time.Time{}
	}
	next := p.storeDue
	for i, d := range p.due {
		if p.wants(i) {
			next = earliest(next, d)
		}
	}
	return earliest(next, p.deadline)
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Start begins the promotion.
func (p *Promotion) Start(now time.Time) []Command {
	return p.enter(now, PhaseReading)
}

// IsSupersededBy reports whether the promotion is superseded by an open primary that
// answers: that of another promotion or, before any instance was fenced, the one
// that was to be replaced. An instance that was fenced can't follow a primary of
// an older term, so a promotion that has begun to fence goes on.
func (p *Promotion) IsSupersededBy(open Primary) bool {
	if !open.Open || open.Term == p.claim.Term {
		return false
	}
	return open.Term >= p.fencing
}

// Abandon ends the promotion; see MayAbandon. Writes that were stopped are
// resumed.
func (p *Promotion) Abandon(time.Time) []Command {
	if p.Ended() {
		return nil
	}
	held := !p.stopped.IsZero() || p.phase == PhaseStopping
	p.phase = PhaseAbandoned
	if held {
		return []Command{{Kind: CommandResumeWrites}}
	}
	return nil
}

// Tick issues the commands that are due.
func (p *Promotion) Tick(now time.Time) []Command {
	if p.Ended() {
		return nil
	}
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		return p.expire(now)
	}
	return p.issue(now)
}

// Handle enters the result of a command. A result that belongs to an earlier
// phase or term only adds to what is known.
func (p *Promotion) Handle(now time.Time, r Result) []Command {
	if p.Ended() {
		return nil
	}
	switch r.Command.Kind {
	case CommandReadTerm:
		return p.handleRead(now, r)
	case CommandPutTerm:
		return p.handlePut(now, r)
	case CommandStopWrites:
		return p.handleStopped(now, r)
	default:
		return p.handleTarget(now, r)
	}
}

// enter starts a phase and issues its first commands.
func (p *Promotion) enter(now time.Time, phase Phase) []Command {
	p.phase = phase
	p.storeDue = time.Time{}
	p.deadline = time.Time{}
	for i := range p.due {
		p.due[i] = now
	}
	switch phase {
	case PhaseReading, PhaseClaiming, PhaseReadingBack, PhaseRecording:
		p.storeDue = now
	case PhaseBackingOff:
		p.deadline = now.Add(p.jittered(rivalGrace))
	case PhaseNearing, PhaseStopping, PhaseCatchingUp:
		p.deadline = now.Add(handOverTimeout)
	case PhasePromoting, PhaseOpening:
		p.deadline = now.Add(phaseTimeout)
	}
	if phase == PhaseStopping {
		return []Command{{Kind: CommandStopWrites}}
	}
	return p.issue(now)
}

// expire ends a phase that took too long.
func (p *Promotion) expire(now time.Time) []Command {
	switch p.phase {
	case PhaseNearing, PhaseStopping, PhaseCatchingUp:
		return p.Abandon(now)
	default:
		return p.enter(now, PhaseReading)
	}
}

// issue returns the commands of the phase that are due.
func (p *Promotion) issue(now time.Time) []Command {
	var out []Command
	if !p.storeDue.IsZero() && !now.Before(p.storeDue) {
		p.storeDue = now.Add(p.settings.StepTimeout)
		out = append(out, p.storeCommand())
	}
	for i := range p.due {
		if !p.wants(i) || now.Before(p.due[i]) {
			continue
		}
		p.due[i] = now.Add(p.settings.StepTimeout)
		out = append(out, p.memberCommand(i))
	}
	return out
}

func (p *Promotion) storeCommand() Command {
	switch p.phase {
	case PhaseClaiming, PhaseRecording:
		return Command{Kind: CommandPutTerm, Object: p.claim, Version: p.version}
	default:
		return Command{Kind: CommandReadTerm}
	}
}

// wants reports whether the phase has a command for a member.
func (p *Promotion) wants(i int) bool {
	switch p.phase {
	case PhaseFencing:
		return !p.fenced.has(i)
	case PhasePromoting:
		return p.claim.Electorate[i] == p.chosen
	case PhaseNearing, PhaseCatchingUp, PhaseOpening:
		return true
	default:
		return false
	}
}

func (p *Promotion) memberCommand(i int) Command {
	c := Command{Kind: CommandStatus, Target: p.claim.Electorate[i], Term: p.claim.Term}
	switch p.phase {
	case PhaseFencing:
		c.Kind = CommandFence
		p.fencing = p.claim.Term
	case PhasePromoting:
		c.Kind = CommandPromote
	case PhaseOpening:
		if c.Target != p.chosen && p.logs[i].Joined != p.claim.Term {
			c.Kind = CommandFollow
			c.Primary = p.chosen
		}
	}
	return c
}

func (p *Promotion) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Int64N(int64(d)))
}

func (p *Promotion) handleRead(now time.Time, r Result) []Command {
	if p.phase != PhaseReading && p.phase != PhaseReadingBack {
		return nil
	}
	if r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
		p.storeDue = now.Add(p.jittered(p.settings.RetryPause))
		return nil
	}
	if r.Err != nil {
		r.Object, r.Version = TermObject{}, 0
	}
	if p.phase == PhaseReadingBack {
		return p.handleReadBack(now, r)
	}
	return p.consider(now, r.Object, r.Version)
}

// consider claims the next term, unless another promotion claimed one that it
// has not had time to open.
func (p *Promotion) consider(now time.Time, o TermObject, v store.Revision) []Command {
	rivals := p.isRival(o)
	p.highest = max(p.highest, o.Term)
	p.version, p.object = v, o
	if rivals {
		p.rival = o.Term
		return p.enter(now, PhaseBackingOff)
	}
	electorate := o.Electorate
	if len(electorate) == 0 {
		electorate = p.settings.Electorate
	}
	p.claim = TermObject{Term: p.highest + 1, Electorate: electorate, Claimant: p.settings.Nonce}
	return p.enter(now, PhaseClaiming)
}

// isRival reports whether o is a claim of another promotion, later than the
// suspected primary, that has not been given its grace. If the suspected term is
// not known, a claim without a primary is one too: its fence may be what Replace
// was seen from.
func (p *Promotion) isRival(o TermObject) bool {
	if o.Claimant == "" || o.Claimant == p.settings.Nonce || o.Term <= p.rival {
		return false
	}
	if p.settings.SuspectedTerm != 0 {
		return o.Term > p.settings.SuspectedTerm
	}
	return o.Term > p.settings.HighestTerm || o.Primary == ""
}

// own reports whether o is the claim of this promotion for this term.
func (p *Promotion) own(o TermObject) bool {
	return o.Claimant == p.claim.Claimant && o.Term == p.claim.Term
}

func (p *Promotion) handlePut(now time.Time, r Result) []Command {
	switch {
	case p.phase == PhaseRecording:
		return p.handleRecorded(now, r)
	case p.phase != PhaseClaiming || !p.own(r.Command.Object):
		return nil
	case r.Err == nil || (isConflict(r.Err) && p.own(r.Object)):
		return p.claimed(now, r.Version)
	case isConflict(r.Err):
		return p.consider(now, r.Object, r.Version)
	case errors.Is(r.Err, store.ErrUnavailable):
		p.storeDue = now.Add(p.jittered(p.settings.RetryPause))
		return nil
	default:
		return p.enter(now, PhaseReadingBack)
	}
}

func isConflict(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict)
}

// handleReadBack settles a claim whose answer was lost. An unchanged object is
// claimed again with the same nonce, because the lost claim may still arrive.
func (p *Promotion) handleReadBack(now time.Time, r Result) []Command {
	if p.own(r.Object) {
		return p.claimed(now, r.Version)
	}
	if r.Version == p.version {
		return p.enter(now, PhaseClaiming)
	}
	return p.consider(now, r.Object, r.Version)
}

// claimed begins to carry out a claim that is certain.
func (p *Promotion) claimed(now time.Time, v store.Revision) []Command {
	n := len(p.claim.Electorate)
	p.version = v
	p.highest = p.claim.Term
	p.due = make([]time.Time, n)
	p.logs = make([]target.Status, n)
	p.tails = make([]target.Status, n)
	p.fenced, p.failed, p.chosen, p.attempts = 0, 0, "", 0
	p.view = NewPrimaryView(p.claim.Electorate)
	if p.settings.HandOverFrom != "" && p.stopped.IsZero() {
		return p.enter(now, PhaseNearing)
	}
	return p.enter(now, PhaseFencing)
}

func (p *Promotion) handleStopped(now time.Time, r Result) []Command {
	if p.phase != PhaseStopping {
		return nil
	}
	if r.Err != nil {
		return p.Abandon(now)
	}
	p.stopped = now
	return p.enter(now, PhaseCatchingUp)
}

// handleTarget enters the result of a call to an instance.
func (p *Promotion) handleTarget(now time.Time, r Result) []Command {
	i := p.claim.Electorate.Index(r.Command.Target)
	if i < 0 || r.Command.Term != p.claim.Term || len(p.due) == 0 {
		return nil
	}
	if errors.Is(r.Err, target.ErrFenced) || r.Observation.Status.Fence > p.claim.Term {
		p.highest = max(p.highest, r.Observation.Status.Fence)
		return p.beaten(now)
	}
	if r.Err != nil {
		return p.handleFailure(now, i)
	}
	p.logs[i] = r.Observation.Status
	p.view.Observe(r.Observation)
	p.due[i] = now.Add(statusPause)
	switch p.phase {
	case PhaseNearing, PhaseCatchingUp:
		return p.awaitReplica(now, r.Observation)
	case PhaseFencing:
		return p.handleFenced(now, i, r)
	case PhasePromoting:
		return p.handlePromoted(now, r)
	case PhaseOpening:
		return p.awaitOpening(now)
	default:
		return nil
	}
}

// beaten gives way to a promotion with a higher term.
func (p *Promotion) beaten(now time.Time) []Command {
	if p.phase == PhaseRecording {
		return nil
	}
	return p.enter(now, PhaseReading)
}

func (p *Promotion) handleFailure(now time.Time, i int) []Command {
	p.due[i] = now.Add(p.jittered(p.settings.RetryPause))
	if p.phase != PhaseFencing {
		return nil
	}
	p.failed = p.failed.with(i)
	return p.tryChoose(now)
}

func (p *Promotion) handleFenced(now time.Time, i int, r Result) []Command {
	if r.Command.Kind != CommandFence || r.Observation.Status.Fence != p.claim.Term {
		return nil
	}
	p.tails[i] = r.Observation.Status
	p.fenced = p.fenced.with(i)
	p.failed = p.failed.without(i)
	return p.tryChoose(now)
}

// tryChoose chooses the new primary once a majority is fenced. An instance to be
// avoided is chosen only after every other one was fenced or failed.
func (p *Promotion) tryChoose(now time.Time) []Command {
	if p.fenced.size() < p.claim.Electorate.Majority() {
		return nil
	}
	best := choose(p.rules, p.claim.Electorate, p.fenced, p.tails, p.settings.Avoid)
	asked := (p.fenced | p.failed).size() == len(p.claim.Electorate)
	if slices.Contains(p.settings.Avoid, p.claim.Electorate[best]) && !asked {
		return nil
	}
	p.chosen = p.claim.Electorate[best]
	return p.enter(now, PhasePromoting)
}

// choose returns the fenced member with the furthest log; of several, one that is
// not to be avoided. If the furthest is to be avoided and the others that were
// fenced make a majority, the furthest of those is chosen: whatever was confirmed
// is held by one of them.
func choose(r *rules, e Electorate, fenced memberSet, tails []target.Status, avoid []string) int {
	var wanted memberSet
	for i, name := range e {
		if fenced.has(i) && !slices.Contains(avoid, name) {
			wanted = wanted.with(i)
		}
	}
	if wanted.size() >= e.Majority() {
		return furthest(r, wanted, tails, wanted)
	}
	return furthest(r, fenced, tails, wanted)
}

// furthest returns the member of a set with the furthest log; of several, a
// wanted one.
func furthest(r *rules, set memberSet, tails []target.Status, wanted memberSet) int {
	best := -1
	for i := range tails {
		if !set.has(i) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		c := r.compare(tails[i].Last, tails[best].Last)
		if c > 0 || (c == 0 && wanted.has(i) && !wanted.has(best)) {
			best = i
		}
	}
	return best
}

// handlePromoted starts the opening. Once a promote was issued, no other
// instance is ever promoted in this term: if it fails, a later term is claimed.
func (p *Promotion) handlePromoted(now time.Time, r Result) []Command {
	s := r.Observation.Status
	if r.Command.Kind != CommandPromote || s.Target != p.chosen || !s.Primary || s.Joined != p.claim.Term {
		return nil
	}
	return p.enter(now, PhaseOpening)
}

func (p *Promotion) awaitOpening(now time.Time) []Command {
	primary := p.view.Primary()
	if primary.Term != p.claim.Term || !primary.Open {
		return nil
	}
	p.claim.Primary = primary.Name
	commands := p.enter(now, PhaseRecording)
	if p.stopped.IsZero() {
		return commands
	}
	return append(commands, Command{Kind: CommandResumeWrites})
}

// awaitReplica waits for a replica to come near the primary, and then to hold
// all that it holds.
func (p *Promotion) awaitReplica(now time.Time, o Observation) []Command {
	primary := p.claim.Electorate.Index(p.settings.HandOverFrom)
	if primary < 0 || p.logs[primary].Target == "" {
		return nil
	}
	if p.phase == PhaseCatchingUp && p.handed.IsZero() {
		if !p.primaryStopped(primary) {
			return nil
		}
		p.handed = p.logs[primary].Last
	}
	for i, s := range p.logs {
		if i == primary || slices.Contains(p.settings.Avoid, p.claim.Electorate[i]) {
			continue
		}
		if p.phase == PhaseNearing && near(s, p.logs[primary].Last) {
			return p.enter(now, PhaseStopping)
		}
		if p.phase == PhaseCatchingUp && Acknowledges(s, p.handed) {
			return p.enter(now, PhaseFencing)
		}
	}
	return nil
}

// primaryStopped reports whether the primary's status was read after writes were
// stopped.
func (p *Promotion) primaryStopped(primary int) bool {
	o, ok := p.view.Latest(p.claim.Electorate[primary])
	return ok && !o.CallStarted.Before(p.stopped)
}

func near(s target.Status, last position.Position) bool {
	return s.Joined == last.Term && almost(s.Last, last)
}

func (p *Promotion) handleRecorded(now time.Time, r Result) []Command {
	if r.Command.Object.Primary == "" {
		return nil
	}
	p.attempts++
	if r.Err == nil || isConflict(r.Err) || p.attempts >= recordAttempts {
		p.phase = PhaseFinished
		return nil
	}
	p.storeDue = now.Add(p.jittered(p.settings.RetryPause))
	return nil
}
