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

// Phase is the state of a Promotion.
type Phase uint8

// The phases of a promotion.
const (
	// PhaseReading reads the term object.
	PhaseReading Phase = iota
	// PhaseClaiming writes a claim of the next term to the term object.
	PhaseClaiming
	// PhaseReadingBack reads the term object again after the answer to a claim was
	// lost.
	PhaseReadingBack
	// PhaseBackingOff gives a rival promotion time to finish.
	PhaseBackingOff
	// PhaseNearing waits until a replica has nearly caught up with the primary
	// (hand-over only).
	PhaseNearing
	// PhaseStopping waits for the running writes to end (hand-over only).
	PhaseStopping
	// PhaseCatchingUp waits until a replica holds all entries of the primary
	// (hand-over only).
	PhaseCatchingUp
	// PhaseFencing fences a majority at the claimed term.
	PhaseFencing
	// PhasePromoting promotes the chosen instance.
	PhasePromoting
	// PhaseOpening waits until the opening entry of the term is confirmed.
	PhaseOpening
	// PhaseRecording writes the name of the primary to the term object.
	PhaseRecording
	// PhaseFinished is the final state of a successful promotion: the term is open.
	PhaseFinished
	// PhaseAbandoned is the final state of a promotion that was abandoned.
	PhaseAbandoned
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	return [...]string{"reading", "claiming", "reading_back", "backing_off", "nearing", "stopping",
		"catching_up", "fencing", "promoting", "opening", "recording", "finished", "abandoned"}[p]
}

// Timeouts and limits of a promotion.
const (
	// DefaultStepTimeout is the time without a result after which a command is issued
	// again.
	DefaultStepTimeout = 300 * time.Millisecond
	// DefaultRetryPause is the mean delay before a failed command is issued again.
	DefaultRetryPause = 20 * time.Millisecond
	// rivalGrace is the mean time that a rival promotion is given to open the term
	// that it claimed.
	rivalGrace = 400 * time.Millisecond
	// phaseTimeout is the time after which the promoting or opening phase is given up
	// and the next term is claimed.
	phaseTimeout = time.Second
	// handOverTimeout limits each waiting phase of a hand-over.
	handOverTimeout = 2 * time.Second
	// statusPause is the delay between two status calls to an instance while waiting
	// for its log to advance.
	statusPause = 2 * time.Millisecond
	// recordAttempts is the maximum number of attempts to record the primary.
	recordAttempts = 5
	// maxEntryLag is the number of entries that a log may be behind and still count as
	// nearly caught up: writes are stopped for a hand-over at this distance.
	maxEntryLag = 64
)

// PromotionSettings configures a Promotion.
type PromotionSettings struct {
	// Electorate is used if the store does not contain a term object yet.
	Electorate Electorate
	// HighestTerm is the highest known term, including the fences of instances. The
	// promotion claims a later one.
	HighestTerm position.Term
	// SuspectedTerm is the term of the primary that is suspected or is to hand over,
	// or zero if unknown. If another promotion has claimed a later term, it is first
	// given time to open it.
	SuspectedTerm position.Term
	// Nonce identifies the claims of this promotion. It must be unique.
	Nonce string
	// Avoid lists the names of drained instances. One of them is promoted only if the
	// other fenced instances form no majority and none of them has an equally advanced
	// log.
	Avoid []string
	// HandOverFrom is the name of the primary in a planned hand-over; empty for a
	// failover.
	HandOverFrom string
	// Seed determines the jitter of the delays.
	Seed uint64
	// StepTimeout and RetryPause default to DefaultStepTimeout and DefaultRetryPause
	// if zero.
	StepTimeout time.Duration
	RetryPause  time.Duration
}

// Promotion is the state machine that promotes a new primary of a group. It may be
// abandoned or lost at any point: a claimed term that is never opened does no harm.
//
// The runtime calls Start once, then Handle for each result and Tick at the time
// returned by NextTick, and executes the commands that these methods return.
type Promotion struct {
	settings PromotionSettings
	rules    *rules
	random   *rand.Rand

	phase   Phase
	version store.Revision
	object  TermObject
	claim   TermObject
	// highest is the highest term known from the store or any instance.
	highest position.Term
	// rivalTerm is the latest term of a rival claim that was given rivalGrace.
	rivalTerm position.Term

	// memberDue and storeDue are when the next command to each member and to the
	// store is issued.
	memberDue []time.Time
	storeDue  time.Time
	deadline  time.Time

	fenced memberSet
	failed memberSet
	// fenceStatuses holds the status that each fenced member returned to the fence
	// command. Only these statuses are compared to choose the primary: an earlier
	// status may not contain the end of the log.
	fenceStatuses []target.Status
	// latestStatuses holds the latest status of each member.
	latestStatuses  []target.Status
	chosen          string
	view            *PrimaryView
	attempts        int
	writesStoppedAt time.Time
	// handOverPosition is the last entry of the primary after writes were stopped.
	handOverPosition position.Position
	// fencingTerm is the latest term for which a fence command was issued.
	fencingTerm position.Term
}

// NewPromotion returns a promotion that has not been started.
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

// Phase returns the current phase.
func (p *Promotion) Phase() Phase {
	return p.phase
}

// Ended reports whether the promotion has finished or was abandoned.
func (p *Promotion) Ended() bool {
	return p.phase == PhaseFinished || p.phase == PhaseAbandoned
}

// Term returns the claimed term, or zero before the first claim.
func (p *Promotion) Term() position.Term {
	return p.claim.Term
}

// Opened returns the new primary, and false if its term is not open yet.
func (p *Promotion) Opened() (Primary, bool) {
	if p.phase != PhaseRecording && p.phase != PhaseFinished {
		return Primary{}, false
	}
	return p.view.Primary(), true
}

// NextTick returns the latest time at which Tick must be called, or zero if the
// promotion has ended.
func (p *Promotion) NextTick() time.Time {
	if p.Ended() {
		return time.Time{}
	}
	next := p.storeDue
	for i, d := range p.memberDue {
		if p.hasCommandFor(i) {
			next = earliest(next, d)
		}
	}
	return earliest(next, p.deadline)
}

// earliest returns the earlier of two times, ignoring zero times.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Start starts the promotion and returns its first commands.
func (p *Promotion) Start(now time.Time) []Command {
	return p.enterPhase(now, PhaseReading)
}

// IsSupersededBy reports whether open, a primary that answers, makes the promotion
// unnecessary. That is the primary of another promotion or, before any instance was
// fenced, the primary that was to be replaced. A fenced instance can't follow a primary
// of an older term, so a promotion that has begun to fence continues unless the term of
// open is at least the fenced one.
func (p *Promotion) IsSupersededBy(open Primary) bool {
	if !open.Open || open.Term == p.claim.Term {
		return false
	}
	return open.Term >= p.fencingTerm
}

// Abandon ends the promotion; see IsSupersededBy. It resumes writes that were stopped.
func (p *Promotion) Abandon(time.Time) []Command {
	if p.Ended() {
		return nil
	}
	writesStopped := !p.writesStoppedAt.IsZero() || p.phase == PhaseStopping
	p.phase = PhaseAbandoned
	if writesStopped {
		return []Command{{Kind: CommandResumeWrites}}
	}
	return nil
}

// Tick returns the commands that are due, and ends phases whose deadline has passed.
func (p *Promotion) Tick(now time.Time) []Command {
	if p.Ended() {
		return nil
	}
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		return p.expirePhase(now)
	}
	return p.issueDue(now)
}

// Handle processes the result of a command. Of a result of an earlier phase only the
// status is used; a result of an earlier term is ignored.
func (p *Promotion) Handle(now time.Time, r Result) []Command {
	if p.Ended() {
		return nil
	}
	switch r.Command.Kind {
	case CommandReadTerm:
		return p.handleTermRead(now, r)
	case CommandPutTerm:
		return p.handleTermPut(now, r)
	case CommandStopWrites:
		return p.handleWritesStopped(now, r)
	default:
		return p.handleTargetResult(now, r)
	}
}

// enterPhase switches to a phase and returns its first commands.
func (p *Promotion) enterPhase(now time.Time, phase Phase) []Command {
	p.phase = phase
	p.storeDue = time.Time{}
	p.deadline = time.Time{}
	for i := range p.memberDue {
		p.memberDue[i] = now
	}
	switch phase {
	case PhaseReading, PhaseClaiming, PhaseReadingBack, PhaseRecording:
		p.storeDue = now
	case PhaseBackingOff:
		p.deadline = now.Add(p.withJitter(rivalGrace))
	case PhaseNearing, PhaseStopping, PhaseCatchingUp:
		p.deadline = now.Add(handOverTimeout)
	case PhasePromoting, PhaseOpening:
		p.deadline = now.Add(phaseTimeout)
	}
	if phase == PhaseStopping {
		return []Command{{Kind: CommandStopWrites}}
	}
	return p.issueDue(now)
}

// expirePhase ends a phase whose deadline has passed.
func (p *Promotion) expirePhase(now time.Time) []Command {
	switch p.phase {
	case PhaseNearing, PhaseStopping, PhaseCatchingUp:
		return p.Abandon(now)
	default:
		return p.enterPhase(now, PhaseReading)
	}
}

// issueDue returns the due commands of the phase.
func (p *Promotion) issueDue(now time.Time) []Command {
	var out []Command
	if !p.storeDue.IsZero() && !now.Before(p.storeDue) {
		p.storeDue = now.Add(p.settings.StepTimeout)
		out = append(out, p.storeCommand())
	}
	for i := range p.memberDue {
		if !p.hasCommandFor(i) || now.Before(p.memberDue[i]) {
			continue
		}
		p.memberDue[i] = now.Add(p.settings.StepTimeout)
		out = append(out, p.memberCommand(i))
	}
	return out
}

// storeCommand returns the store command of the phase.
func (p *Promotion) storeCommand() Command {
	switch p.phase {
	case PhaseClaiming, PhaseRecording:
		return Command{Kind: CommandPutTerm, Object: p.claim, Version: p.version}
	default:
		return Command{Kind: CommandReadTerm}
	}
}

// hasCommandFor reports whether the phase has a command for member i.
func (p *Promotion) hasCommandFor(i int) bool {
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

// memberCommand returns the command of the phase for member i.
func (p *Promotion) memberCommand(i int) Command {
	c := Command{Kind: CommandStatus, Target: p.claim.Electorate[i], Term: p.claim.Term}
	switch p.phase {
	case PhaseFencing:
		c.Kind = CommandFence
		p.fencingTerm = p.claim.Term
	case PhasePromoting:
		c.Kind = CommandPromote
	case PhaseOpening:
		if c.Target != p.chosen && p.latestStatuses[i].Joined != p.claim.Term {
			c.Kind = CommandFollow
			c.Primary = p.chosen
		}
	}
	return c
}

// withJitter returns a random duration between d/2 and 3d/2.
func (p *Promotion) withJitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Int64N(int64(d)))
}

func (p *Promotion) handleTermRead(now time.Time, r Result) []Command {
	if p.phase != PhaseReading && p.phase != PhaseReadingBack {
		return nil
	}
	if r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
		p.storeDue = now.Add(p.withJitter(p.settings.RetryPause))
		return nil
	}
	if r.Err != nil {
		r.Object, r.Version = TermObject{}, 0
	}
	if p.phase == PhaseReadingBack {
		return p.handleReadBack(now, r)
	}
	return p.claimNextTerm(now, r.Object, r.Version)
}

// claimNextTerm claims the next term. If another promotion has claimed a term and has
// not had time to open it, claimNextTerm backs off instead.
func (p *Promotion) claimNextTerm(now time.Time, o TermObject, v store.Revision) []Command {
	rival := p.isRivalClaim(o)
	p.highest = max(p.highest, o.Term)
	p.version, p.object = v, o
	if rival {
		p.rivalTerm = o.Term
		return p.enterPhase(now, PhaseBackingOff)
	}
	electorate := o.Electorate
	if len(electorate) == 0 {
		electorate = p.settings.Electorate
	}
	p.claim = TermObject{Term: p.highest + 1, Electorate: electorate, Claimant: p.settings.Nonce}
	return p.enterPhase(now, PhaseClaiming)
}

// isRivalClaim reports whether o is a claim of another promotion that is later than the
// suspected primary's term and has not been given rivalGrace. If the suspected term is
// unknown, a claim without a primary counts too: HighestTerm may come from a fence of
// that claim.
func (p *Promotion) isRivalClaim(o TermObject) bool {
	if o.Claimant == "" || o.Claimant == p.settings.Nonce || o.Term <= p.rivalTerm {
		return false
	}
	if p.settings.SuspectedTerm != 0 {
		return o.Term > p.settings.SuspectedTerm
	}
	return o.Term > p.settings.HighestTerm || o.Primary == ""
}

// isOwnClaim reports whether o is the claim of this promotion for its current term.
func (p *Promotion) isOwnClaim(o TermObject) bool {
	return o.Claimant == p.claim.Claimant && o.Term == p.claim.Term
}

func (p *Promotion) handleTermPut(now time.Time, r Result) []Command {
	switch {
	case p.phase == PhaseRecording:
		return p.handleRecorded(now, r)
	case p.phase != PhaseClaiming || !p.isOwnClaim(r.Command.Object):
		return nil
	case r.Err == nil || (isConflict(r.Err) && p.isOwnClaim(r.Object)):
		return p.handleClaimed(now, r.Version)
	case isConflict(r.Err):
		return p.claimNextTerm(now, r.Object, r.Version)
	case errors.Is(r.Err, store.ErrUnavailable):
		p.storeDue = now.Add(p.withJitter(p.settings.RetryPause))
		return nil
	default:
		return p.enterPhase(now, PhaseReadingBack)
	}
}

func isConflict(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict)
}

// handleReadBack resolves a claim whose answer was lost. If the term object is
// unchanged, the claim is repeated with the same nonce, because the lost claim may
// still take effect.
func (p *Promotion) handleReadBack(now time.Time, r Result) []Command {
	if p.isOwnClaim(r.Object) {
		return p.handleClaimed(now, r.Version)
	}
	if r.Version == p.version {
		return p.enterPhase(now, PhaseClaiming)
	}
	return p.claimNextTerm(now, r.Object, r.Version)
}

// handleClaimed starts to execute a claim that is known to be stored.
func (p *Promotion) handleClaimed(now time.Time, v store.Revision) []Command {
	n := len(p.claim.Electorate)
	p.version = v
	p.highest = p.claim.Term
	p.memberDue = make([]time.Time, n)
	p.latestStatuses = make([]target.Status, n)
	p.fenceStatuses = make([]target.Status, n)
	p.fenced, p.failed, p.chosen, p.attempts = 0, 0, "", 0
	p.view = NewPrimaryView(p.claim.Electorate)
	if p.settings.HandOverFrom != "" && p.writesStoppedAt.IsZero() {
		return p.enterPhase(now, PhaseNearing)
	}
	return p.enterPhase(now, PhaseFencing)
}

func (p *Promotion) handleWritesStopped(now time.Time, r Result) []Command {
	if p.phase != PhaseStopping {
		return nil
	}
	if r.Err != nil {
		return p.Abandon(now)
	}
	p.writesStoppedAt = now
	return p.enterPhase(now, PhaseCatchingUp)
}

// handleTargetResult processes the result of a call to an instance.
func (p *Promotion) handleTargetResult(now time.Time, r Result) []Command {
	i := p.claim.Electorate.Index(r.Command.Target)
	if i < 0 || r.Command.Term != p.claim.Term || len(p.memberDue) == 0 {
		return nil
	}
	if errors.Is(r.Err, target.ErrFenced) || r.Observation.Status.Fence > p.claim.Term {
		p.highest = max(p.highest, r.Observation.Status.Fence)
		return p.handleHigherTerm(now)
	}
	if r.Err != nil {
		return p.handleTargetFailure(now, i)
	}
	p.latestStatuses[i] = r.Observation.Status
	p.view.Observe(r.Observation)
	p.memberDue[i] = now.Add(statusPause)
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

// handleHigherTerm restarts the promotion after an instance was found fenced at a term
// later than the claimed one.
func (p *Promotion) handleHigherTerm(now time.Time) []Command {
	if p.phase == PhaseRecording {
		return nil
	}
	return p.enterPhase(now, PhaseReading)
}

func (p *Promotion) handleTargetFailure(now time.Time, i int) []Command {
	p.memberDue[i] = now.Add(p.withJitter(p.settings.RetryPause))
	if p.phase != PhaseFencing {
		return nil
	}
	p.failed = p.failed.with(i)
	return p.tryChoosePrimary(now)
}

func (p *Promotion) handleFenced(now time.Time, i int, r Result) []Command {
	if r.Command.Kind != CommandFence || r.Observation.Status.Fence != p.claim.Term {
		return nil
	}
	p.fenceStatuses[i] = r.Observation.Status
	p.fenced = p.fenced.with(i)
	p.failed = p.failed.without(i)
	return p.tryChoosePrimary(now)
}

// tryChoosePrimary chooses the new primary once a majority is fenced. An instance to
// avoid is chosen only after every member was fenced or failed.
func (p *Promotion) tryChoosePrimary(now time.Time) []Command {
	if p.fenced.size() < p.claim.Electorate.Majority() {
		return nil
	}
	best := choosePrimary(p.rules, p.claim.Electorate, p.fenced, p.fenceStatuses, p.settings.Avoid)
	allAnswered := (p.fenced | p.failed).size() == len(p.claim.Electorate)
	if slices.Contains(p.settings.Avoid, p.claim.Electorate[best]) && !allAnswered {
		return nil
	}
	p.chosen = p.claim.Electorate[best]
	return p.enterPhase(now, PhasePromoting)
}

// choosePrimary returns the fenced member with the most advanced log; among equals, one
// that is not in avoid. If the fenced members that are not in avoid form a majority,
// only these are considered: every confirmed entry is held by one of them.
func choosePrimary(r *rules, e Electorate, fenced memberSet, fenceStatuses []target.Status, avoid []string) int {
	var preferred memberSet
	for i, name := range e {
		if fenced.has(i) && !slices.Contains(avoid, name) {
			preferred = preferred.with(i)
		}
	}
	if preferred.size() >= e.Majority() {
		return furthestLog(r, preferred, fenceStatuses, preferred)
	}
	return furthestLog(r, fenced, fenceStatuses, preferred)
}

// furthestLog returns the member of set with the most advanced log, preferring members
// of preferred among equals. It returns -1 if set is empty.
func furthestLog(r *rules, set memberSet, fenceStatuses []target.Status, preferred memberSet) int {
	best := -1
	for i := range fenceStatuses {
		if !set.has(i) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		c := r.compareLogs(fenceStatuses[i].Last, fenceStatuses[best].Last)
		if c > 0 || (c == 0 && preferred.has(i) && !preferred.has(best)) {
			best = i
		}
	}
	return best
}

// handlePromoted enters the opening phase. Once a promote command was issued, no other
// instance may be promoted in this term: if it fails, a later term is claimed.
func (p *Promotion) handlePromoted(now time.Time, r Result) []Command {
	s := r.Observation.Status
	if r.Command.Kind != CommandPromote || s.Target != p.chosen || !s.Primary || s.Joined != p.claim.Term {
		return nil
	}
	return p.enterPhase(now, PhaseOpening)
}

func (p *Promotion) awaitOpening(now time.Time) []Command {
	primary := p.view.Primary()
	if primary.Term != p.claim.Term || !primary.Open {
		return nil
	}
	p.claim.Primary = primary.Name
	commands := p.enterPhase(now, PhaseRecording)
	if p.writesStoppedAt.IsZero() {
		return commands
	}
	return append(commands, Command{Kind: CommandResumeWrites})
}

// awaitReplica ends the phase PhaseNearing once a replica has nearly caught up with the
// primary, and PhaseCatchingUp once a replica holds all entries of the primary.
func (p *Promotion) awaitReplica(now time.Time, o Observation) []Command {
	primary := p.claim.Electorate.Index(p.settings.HandOverFrom)
	if primary < 0 || p.latestStatuses[primary].Target == "" {
		return nil
	}
	if p.phase == PhaseCatchingUp && p.handOverPosition.IsZero() {
		if !p.hasStatusAfterStop(primary) {
			return nil
		}
		p.handOverPosition = p.latestStatuses[primary].Last
	}
	for i, s := range p.latestStatuses {
		if i == primary || slices.Contains(p.settings.Avoid, p.claim.Electorate[i]) {
			continue
		}
		if p.phase == PhaseNearing && isNearPrimary(s, p.latestStatuses[primary].Last) {
			return p.enterPhase(now, PhaseStopping)
		}
		if p.phase == PhaseCatchingUp && Acknowledges(s, p.handOverPosition) {
			return p.enterPhase(now, PhaseFencing)
		}
	}
	return nil
}

// hasStatusAfterStop reports whether a status of the primary was read after writes were
// stopped.
func (p *Promotion) hasStatusAfterStop(primary int) bool {
	o, ok := p.view.Latest(p.claim.Electorate[primary])
	return ok && !o.CallStarted.Before(p.writesStoppedAt)
}

// isNearPrimary reports whether a replica with status s has nearly caught up with a
// primary whose log ends at last.
func isNearPrimary(s target.Status, last position.Position) bool {
	return s.Joined == last.Term && nearlyCaughtUp(s.Last, last)
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
	p.storeDue = now.Add(p.withJitter(p.settings.RetryPause))
	return nil
}
