package quota

import (
	"math"
	"slices"
	"time"
)

// Timing and amounts of transfers.
const (
	// EmptyHold is how long operations are refused at once after a round of transfers that
	// found nothing.
	EmptyHold = 50 * time.Millisecond
	// prospectHorizon is the time whose coming tokens operations wait for. With 50 ms, 0.42%
	// of the operations of a tenant of 50 a second and burst 10 were refused while its callers
	// moved, at 80% of its limit; with 100 ms, 0.27%.
	prospectHorizon = 100 * time.Millisecond
	// demandHorizon is the time whose demand a transfer covers. A round trip between regions
	// takes 60 ms; shorter horizons would need a message pair for every few operations.
	demandHorizon = 200 * time.Millisecond
	// lowHorizon is the time whose demand the balance has to cover; below it, tokens are
	// requested before they are needed.
	lowHorizon = 100 * time.Millisecond
	// keepHorizon is the time whose demand a sender keeps tokens for. For operations that
	// wait in another failure domain it keeps less, for keepHorizonUrgent: with the longer
	// time a tenant of 5 operations a second at 80% of its limit was refused 1.2% of them,
	// because each failure domain kept a fraction of a token.
	keepHorizon       = 200 * time.Millisecond
	keepHorizonUrgent = 50 * time.Millisecond
	// firstBackoff and maxBackoff limit how soon a failure domain is asked again that had
	// less than was requested; the time doubles with each empty answer in succession.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// minTransfer is the smallest number of tokens that is transferred, unless less was
	// requested. With 0.25 instead, twice as many operations of a tenant of 5 a second were
	// refused at 80% of its limit, because fractions of tokens stayed where they were.
	minTransfer = 0.1
	// grantMemory is how long the answer to a transfer request is kept for a duplicate. A
	// request is answered too late after the longest time-out, 250 ms.
	grantMemory = time.Second
)

// TransferRequest asks the account of another failure domain for tokens.
type TransferRequest struct {
	Domain string
	ID     uint64
	Tokens float64
	// Urgent is the part of Tokens that operations wait for.
	Urgent float64
}

// Decision is the outcome of a batch of operations.
type Decision struct {
	Ticket uint64
	// Granted operations may run, Refused ones not.
	Granted, Refused int
	// RetryAfter is when the first refused operation may be tried again, and RetryStep the
	// time between two of them.
	RetryAfter, RetryStep time.Duration
}

// waiter is a batch of operations that waits for transfers.
type waiter struct {
	ticket  uint64
	open    int
	granted int
}

// partner is what an account knows of that of another failure domain.
type partner struct {
	domain string
	// spare is the number of tokens left for transfers at the time at; known is false before
	// the first answer.
	spare float64
	at    time.Duration
	known bool
	// notBefore is when the domain may be asked again, and backoff the current backoff.
	notBefore time.Duration
	backoff   time.Duration
}

// pendingTransfer is a transfer request without an answer yet.
type pendingTransfer struct {
	partner *partner
	tokens  float64
}

// grantRecord is a granted transfer.
type grantRecord struct {
	from   string
	id     uint64
	at     time.Duration
	tokens float64
}

// Account is the account of one tenant in one failure domain. After each call that may
// change it, its holder sends the requests that Transfers returns and the decisions that
// Decisions returns. Each request must end with Receive or Fail.
type Account struct {
	share            Share
	limit            Limit
	tokens           bucket
	demand, admitted meter
	// recentDemand shows a rise of the demand sooner than demand.
	recentDemand meter
	retries      retrySchedule

	partners []*partner // nearest first
	pending  map[uint64]pendingTransfer
	lastID   uint64
	// found is the number of tokens that the current round has found, and emptyAt the end of
	// the last round that found nothing.
	found        float64
	emptyAt      time.Duration
	foundNothing bool

	waiters    []waiter
	lastTicket uint64
	decided    []Decision
	grants     []grantRecord
	usedAt     time.Duration
	// suspended is true while the account does not refill.
	suspended bool
}

// NewAccount returns an account with one token, or none if the limit admits nothing.
// domains are the other failure domains, nearest first. Transfer requests are numbered from
// firstID, which must differ between the accounts that a daemon holds in succession.
func NewAccount(now time.Duration, s Share, l Limit, domains []string, firstID uint64) *Account {
	a := &Account{share: s, limit: l, pending: map[uint64]pendingTransfer{}, lastID: firstID, usedAt: now}
	a.tokens = bucket{rate: s.rate(l), capacity: s.capacity(l), at: now}
	a.tokens.balance = min(1, a.tokens.capacity)
	a.demand.decay, a.admitted.decay, a.recentDemand.decay = meterDecay, meterDecay, fastMeterDecay
	for _, d := range domains {
		a.partners = append(a.partners, &partner{domain: d})
	}
	return a
}

// NewFullAccount returns an account with all its tokens. It may only replace an account that
// was full and has not been used since.
func NewFullAccount(now time.Duration, s Share, l Limit, domains []string, firstID uint64) *Account {
	a := NewAccount(now, s, l, domains, firstID)
	a.tokens.balance = a.tokens.capacity
	return a
}

// Limit returns the limit in force.
func (a *Account) Limit() Limit {
	return a.limit
}

// SetLimit changes the limit if l is of a newer version of the configuration.
func (a *Account) SetLimit(now time.Duration, l Limit) {
	if l.Version <= a.limit.Version {
		return
	}
	a.limit = l
	a.tokens.resize(now, a.refillRate(), a.share.capacity(l))
	for _, p := range a.partners {
		p.known, p.notBefore, p.backoff = false, 0, 0
	}
	a.foundNothing = false
}

// Suspend stops or continues the refill. While it is stopped, the account has only tokens
// from transfers.
func (a *Account) Suspend(now time.Duration, suspended bool) {
	if suspended == a.suspended {
		return
	}
	a.suspended = suspended
	a.tokens.resize(now, a.refillRate(), a.tokens.capacity)
}

func (a *Account) refillRate() float64 {
	if a.suspended {
		return 0
	}
	return a.share.rate(a.limit)
}

// Arrive asks for n operations. The decision is among the next ones of Decisions, unless
// the batch has to wait for transfers.
func (a *Account) Arrive(now time.Duration, n int) (ticket uint64) {
	a.tokens.refill(now)
	a.usedAt = now
	a.demand.record(now, float64(n))
	a.recentDemand.record(now, float64(n))
	a.lastTicket++
	w := waiter{ticket: a.lastTicket, open: n}
	if len(a.waiters) == 0 {
		a.serve(now, &w)
	}
	if w.open == 0 || a.waitable(now) == 0 {
		a.decide(now, w)
		return w.ticket
	}
	a.waiters = append(a.waiters, w)
	return w.ticket
}

// serve takes tokens for a waiter.
func (a *Account) serve(now time.Duration, w *waiter) {
	taken := a.tokens.take(w.open)
	w.open -= taken
	w.granted += taken
	if taken > 0 {
		a.admitted.record(now, float64(taken))
	}
}

// waitable returns for how many more operations transfers are expected to find tokens soon.
// Operations beyond that are refused at once.
func (a *Account) waitable(now time.Duration) int {
	if a.limit.Rate <= 0 || len(a.pending) == 0 && a.foundNothing && now-a.emptyAt < EmptyHold {
		return 0
	}
	return max(0, int(a.prospects(now)-a.waitingOperations()))
}

// waitingOperations returns the number of operations that wait.
func (a *Account) waitingOperations() float64 {
	n := 0
	for _, w := range a.waiters {
		n += w.open
	}
	return float64(n)
}

// prospects returns the number of tokens that the account is expected to have or to find
// within prospectHorizon.
func (a *Account) prospects(now time.Duration) float64 {
	found := a.transferable(now)
	if found < minTransfer {
		// Operations don't wait for the account's own refill alone.
		return 0
	}
	return found + a.tokens.balance + a.tokens.rate*prospectHorizon.Seconds()
}

// transferable returns the number of tokens that transfers are expected to find within
// prospectHorizon.
func (a *Account) transferable(now time.Duration) float64 {
	soon := now + prospectHorizon
	sum := 0.0
	asked := map[*partner]bool{}
	for _, p := range a.pending {
		sum += p.tokens
		asked[p.partner] = true
	}
	for _, p := range a.partners {
		if !asked[p] && p.mayHaveTokens(now, soon) {
			sum += p.expected(soon, a.share, a.limit)
		}
	}
	return sum
}

// askable returns the partners that may be asked at now.
func (a *Account) askable(now time.Duration) []*partner {
	var out []*partner
	for _, p := range a.partners {
		if p.notBefore <= now {
			out = append(out, p)
		}
	}
	return out
}

// decide records the decision on a waiter whose open operations are refused.
func (a *Account) decide(now time.Duration, w waiter) {
	d := Decision{Ticket: w.ticket, Granted: w.granted, Refused: w.open}
	if w.open > 0 {
		rate := a.supply(now)
		first := now
		if rate > 0 {
			first += accrualTime(1-a.tokens.balance, rate)
		}
		d.RetryAfter, d.RetryStep = a.retries.assign(now, first, w.open, rate)
	}
	a.decided = append(a.decided, d)
}

// supply returns the rate at which tokens are expected: the account's own share, or the
// rate at which operations were admitted if transfers made that higher.
func (a *Account) supply(now time.Duration) float64 {
	return min(a.limit.Rate, max(a.tokens.rate, a.admitted.perSecond(now)))
}

// Decisions returns the decisions since the last call.
func (a *Account) Decisions() []Decision {
	out := a.decided
	a.decided = nil
	return out
}

// Abandon ends the wait of a batch: operations without a token are refused.
func (a *Account) Abandon(now time.Duration, ticket uint64) {
	a.tokens.refill(now)
	a.serveWaiters(now)
	for i, w := range a.waiters {
		if w.ticket == ticket {
			a.waiters = slices.Delete(a.waiters, i, i+1)
			a.decide(now, w)
			return
		}
	}
}

// serveWaiters takes tokens for the waiters, the oldest first.
func (a *Account) serveWaiters(now time.Duration) {
	for len(a.waiters) > 0 {
		w := &a.waiters[0]
		a.serve(now, w)
		if w.open > 0 {
			return
		}
		a.decide(now, *w)
		a.waiters = slices.Delete(a.waiters, 0, 1)
	}
}

// wanted returns the number of tokens that the account needs from other failure domains:
// for the operations that wait and for the demand beyond its own share.
func (a *Account) wanted(now time.Duration) float64 {
	waiting := a.waitingOperations()
	demand := min(max(a.demand.perSecond(now), a.recentDemand.perSecond(now)), a.limit.Rate)
	missing := max(0, demand-a.tokens.rate)
	low := a.tokens.balance < missing*lowHorizon.Seconds()
	ahead := missing * demandHorizon.Seconds()
	if waiting == 0 && (!low || ahead < 1) {
		return 0
	}
	room := a.tokens.capacity - a.tokens.balance + waiting
	if waiting > 0 {
		// A partner may have less than expected; a second round would take too long.
		ahead = max(1, a.tokens.capacity/2, ahead)
	}
	return min(room, waiting+ahead-a.tokens.balance)
}

// Transfers starts a round of transfers if the account needs tokens and none is in flight.
// It refuses the waiting operations if no failure domain can be asked.
func (a *Account) Transfers(now time.Duration) []TransferRequest {
	if len(a.pending) > 0 {
		return nil
	}
	a.tokens.refill(now)
	a.serveWaiters(now)
	tokens := a.wanted(now)
	if tokens <= 0 {
		return nil
	}
	if a.limit.Rate <= 0 || a.foundNothing && now-a.emptyAt < EmptyHold {
		a.refuseWaiters(now)
		return nil
	}
	asked := a.askable(now)
	if len(asked) == 0 {
		if _, ok := a.NextWake(now); !ok {
			a.refuseWaiters(now)
		}
		return nil
	}
	a.found = 0
	urgent := max(0, a.waitingOperations()-a.tokens.balance)
	return a.request(now, asked, tokens, min(1, urgent/tokens))
}

// request asks partners for a sum of tokens, the nearest first, each for what it is
// expected to have, and all for what is then missing. urgentPart is the part of
// the tokens that operations wait for.
func (a *Account) request(now time.Duration, partners []*partner, tokens, urgentPart float64) []TransferRequest {
	amounts := make([]float64, len(partners))
	rest := tokens
	for i, p := range partners {
		amounts[i] = min(rest, p.expected(now, a.share, a.limit))
		rest -= amounts[i]
	}
	if rest > tokenEpsilon {
		// It is not known who has the rest, so each is asked for it, as far as there is room
		// for all answers.
		room := a.tokens.capacity - a.tokens.balance + a.waitingOperations() - (tokens - rest)
		more := min(rest, max(rest, room)/float64(len(amounts)))
		for i := range amounts {
			amounts[i] += more
		}
	}
	var out []TransferRequest
	for i, p := range partners {
		if amounts[i] <= tokenEpsilon {
			continue
		}
		a.lastID++
		a.pending[a.lastID] = pendingTransfer{partner: p, tokens: amounts[i]}
		out = append(out, TransferRequest{Domain: p.domain, ID: a.lastID, Tokens: amounts[i], Urgent: amounts[i] * urgentPart})
	}
	return out
}

// mayHaveTokens reports whether the partner may be asked by the time soon. One whose last
// answer was empty is expected to use its tokens itself until it is asked again.
func (p *partner) mayHaveTokens(now, soon time.Duration) bool {
	return p.notBefore <= now || p.backoff == 0 && p.notBefore <= soon
}

// expected returns how many tokens the partner may have for transfers, if its account has
// the given share of the limit.
func (p *partner) expected(now time.Duration, s Share, l Limit) float64 {
	if !p.known {
		return s.capacity(l)
	}
	return min(s.capacity(l), p.spare+s.rate(l)*(now-p.at).Seconds())
}

// refuseWaiters refuses all operations that wait.
func (a *Account) refuseWaiters(now time.Duration) {
	for _, w := range a.waiters {
		a.decide(now, w)
	}
	a.waiters = nil
}

// Receive applies the answer to a transfer request: the tokens, and the number of tokens
// that the sender has left for transfers. It reports false if no such request is pending;
// the tokens are then dropped, because they may be a duplicate.
func (a *Account) Receive(now time.Duration, id uint64, tokens, spare float64) bool {
	p, ok := a.pending[id]
	if !ok {
		return false
	}
	delete(a.pending, id)
	a.tokens.refill(now)
	tokens = max(0, min(tokens, p.tokens))
	a.found += tokens
	p.partner.spare, p.partner.at, p.partner.known = max(0, spare), now, true
	switch {
	case tokens <= tokenEpsilon:
		p.partner.backOff(now)
	case tokens < p.tokens-tokenEpsilon:
		p.partner.backoff, p.partner.notBefore = 0, now+a.refillTime(minTransfer)
	default:
		p.partner.backoff = 0
	}
	a.deposit(now, tokens)
	a.endRound(now)
	return true
}

// refillTime returns how long an account takes to refill some tokens, at least a tenth of
// firstBackoff and at most maxBackoff.
func (a *Account) refillTime(tokens float64) time.Duration {
	if a.share.rate(a.limit) <= 0 {
		return maxBackoff
	}
	return min(maxBackoff, max(firstBackoff/10, accrualTime(tokens, a.share.rate(a.limit))))
}

// NextWake returns when the account may go on with the operations that wait, if that is soon
// and no answer is pending: then an own token is there, or a partner may be asked. The
// holder calls Transfers at that time.
func (a *Account) NextWake(now time.Duration) (at time.Duration, ok bool) {
	if len(a.waiters) == 0 || len(a.pending) > 0 {
		return 0, false
	}
	at = now + prospectHorizon + 1
	if a.tokens.rate > 0 {
		at = now + accrualTime(1-a.tokens.balance, a.tokens.rate) + 1
	}
	for _, p := range a.partners {
		if p.mayHaveTokens(now, now+prospectHorizon) {
			at = min(at, max(now, p.notBefore))
		}
	}
	return at, at-now <= prospectHorizon
}

// deposit serves the waiters from the tokens before the excess over the capacity is dropped.
func (a *Account) deposit(now time.Duration, tokens float64) {
	capacity := a.tokens.capacity
	a.tokens.capacity = math.Inf(1)
	a.tokens.add(tokens)
	a.serveWaiters(now)
	a.tokens.capacity = capacity
	a.tokens.add(0)
}

// backOff doubles the time until the partner is asked again.
func (p *partner) backOff(now time.Duration) {
	p.backoff = min(maxBackoff, max(firstBackoff, 2*p.backoff))
	p.notBefore = now + p.backoff
}

// Fail ends a transfer request without an answer.
func (a *Account) Fail(now time.Duration, id uint64) {
	p, ok := a.pending[id]
	if !ok {
		return
	}
	delete(a.pending, id)
	p.partner.backoff = max(p.partner.backoff, maxBackoff/2)
	p.partner.backOff(now)
	a.endRound(now)
}

// endRound records the end of a round, if no request is pending any more.
func (a *Account) endRound(now time.Duration) {
	if len(a.pending) > 0 {
		return
	}
	a.foundNothing = a.found <= tokenEpsilon && a.transferable(now) < 1
	if a.foundNothing {
		a.emptyAt = now
	}
}

// Grant answers a transfer request of the daemon from of another failure domain, of which
// the part urgent is for operations that wait. The tokens are deducted before the answer is
// sent. spare is what is left for transfers after that. A duplicate of a request gets the
// same answer and deducts nothing.
func (a *Account) Grant(now time.Duration, from string, id uint64, tokens, urgent float64) (granted, spare float64) {
	a.tokens.refill(now)
	a.grants = slices.DeleteFunc(a.grants, func(g grantRecord) bool { return now-g.at > grantMemory })
	for _, g := range a.grants {
		if g.from == from && g.id == id {
			return g.tokens, 0
		}
	}
	spare = a.spare(now, keepHorizon)
	granted = min(tokens, max(spare, min(urgent, a.spare(now, keepHorizonUrgent))))
	if !(granted > 0) || granted < min(minTransfer, tokens) {
		return 0, spare
	}
	a.usedAt = now
	a.tokens.balance -= granted
	a.grants = append(a.grants, grantRecord{from: from, id: id, at: now, tokens: granted})
	return granted, max(0, spare-granted)
}

// spare returns the balance without what the account keeps for its own demand of a time.
func (a *Account) spare(now, horizon time.Duration) float64 {
	if len(a.waiters) > 0 {
		return 0
	}
	keep := min(a.demand.perSecond(now), a.limit.Rate) * horizon.Seconds()
	return max(0, a.tokens.balance-keep)
}

// CanDrop reports whether the account is full, nothing waits for it, and it has not been
// used for idle. It can then be replaced by NewFullAccount.
func (a *Account) CanDrop(now time.Duration, idle time.Duration) bool {
	a.tokens.refill(now)
	return a.tokens.isFull() && len(a.waiters) == 0 && len(a.pending) == 0 && now-a.usedAt >= idle
}

// State is the state of an account for operators.
type State struct {
	Limit   Limit
	Balance float64
	// Use and Demand are the operations a second that were admitted and asked for.
	Use, Demand float64
}

// State returns the state at now.
func (a *Account) State(now time.Duration) State {
	a.tokens.refill(now)
	return State{Limit: a.limit, Balance: a.tokens.balance, Use: a.admitted.perSecond(now), Demand: a.demand.perSecond(now)}
}
