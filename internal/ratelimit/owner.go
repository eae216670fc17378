package ratelimit

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/quota"
)

// Retention of accounts.
const (
	// sweepInterval is the time between checks for accounts that can be dropped.
	sweepInterval = 250 * time.Millisecond
	// idleBeforeDrop is how long a full account must not be used before it is dropped.
	idleBeforeDrop = 10 * time.Second
	// successorRetention is how long an account is kept that this daemon is not owner of any
	// more.
	successorRetention = time.Second
)

// owner holds the accounts of the tenants whose quota owner this daemon is.
type owner struct {
	limiter *Limiter
	// others are the other failure domains, nearest first.
	others []string
	share  quota.Share

	mu       sync.Mutex
	accounts map[string]*heldAccount // guarded by mu
	// full holds the limits of the tenants whose accounts were dropped when they were full.
	// They return as full, unless the daemons of the failure domain have changed: then another
	// daemon may have been owner meanwhile.
	full map[string]quota.Limit // guarded by mu
	// suspended is whether the accounts did not refill at the last sweep.
	suspended bool // guarded by mu
	// neighbors are the other daemons of the failure domain when full was last valid.
	neighbors []string // guarded by mu
}

// heldAccount is an account and the batches that wait for it.
type heldAccount struct {
	account *quota.Account
	// waiting receives the decisions by ticket.
	waiting map[uint64]chan quota.Decision
	// actedAt is when this daemon last acted as owner.
	actedAt time.Duration
	// dropped is true if the account is no longer held. Transfers that were in flight may
	// still end.
	dropped bool
	// waking is true if a timer continues the work for the batches that wait.
	waking bool
}

// sendDecisions sends the account's decisions to the batches that wait for them. The owner's
// mu must be held.
func (h *heldAccount) sendDecisions() {
	for _, d := range h.account.Decisions() {
		h.waiting[d.Ticket] <- d
		delete(h.waiting, d.Ticket)
	}
}

// hold returns the account of a tenant with the limit in force, and creates it if necessary.
// o.mu must be held.
func (o *owner) hold(tenant string, limit quota.Limit) *heldAccount {
	now := o.limiter.options.Now()
	h, ok := o.accounts[tenant]
	if !ok {
		o.checkNeighbors()
		h = &heldAccount{waiting: map[uint64]chan quota.Decision{}}
		// The random start keeps answers to a previous process or account from being taken
		// for those to this one.
		firstID := uint64(rand.Uint32())
		if last, wasFull := o.full[tenant]; wasFull {
			h.account = quota.NewFullAccount(now, o.share, last, o.others, firstID)
			delete(o.full, tenant)
		} else {
			h.account = quota.NewAccount(now, o.share, limit, o.others, firstID)
			metrics.GetOrCreateCounter(`laburnumrack_quota_owner_changes_total`).Inc()
		}
		o.accounts[tenant] = h
	}
	h.account.SetLimit(now, limit)
	h.account.Suspend(now, !o.limiter.hasMajority())
	h.actedAt = now
	return h
}

// admit asks the account for a number of operations, and waits for transfers if necessary.
func (o *owner) admit(tenant string, limit quota.Limit, count int) quota.Decision {
	decided := make(chan quota.Decision, 1)
	o.mu.Lock()
	h := o.hold(tenant, limit)
	ticket := h.account.Arrive(o.limiter.options.Now(), count)
	h.waiting[ticket] = decided
	o.advance(tenant, h)
	o.mu.Unlock()
	select {
	case d := <-decided:
		return d
	default:
	}
	timer := time.NewTimer(waitLimit)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	}
	o.mu.Lock()
	h.account.Abandon(o.limiter.options.Now(), ticket)
	o.advance(tenant, h)
	o.mu.Unlock()
	return <-decided
}

// advance sends the transfer requests and the decisions of an account. o.mu must be held.
func (o *owner) advance(tenant string, h *heldAccount) {
	if !h.dropped {
		for _, r := range h.account.Transfers(o.limiter.options.Now()) {
			go o.transfer(tenant, h, r)
		}
	}
	h.sendDecisions()
	now := o.limiter.options.Now()
	if at, ok := h.account.NextWake(now); ok && !h.dropped && !h.waking {
		h.waking = true
		time.AfterFunc(at-now, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			h.waking = false
			o.advance(tenant, h)
		})
	}
}

// transfer asks the quota owner of another failure domain for tokens.
func (o *owner) transfer(tenant string, h *heldAccount, r quota.TransferRequest) {
	o.mu.Lock()
	limit := h.account.Limit()
	o.mu.Unlock()
	answer, err := o.requestTransfer(tenant, limit, r)
	o.limiter.noteDomain(r.Domain, err)
	result := "granted"
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.limiter.options.Now()
	if err != nil {
		h.account.Fail(now, r.ID)
		result = "failed"
	} else {
		h.account.Receive(now, r.ID, float64(answer.Granted)/tokenUnits, float64(answer.Spare)/tokenUnits)
		if answer.Granted == 0 {
			result = "empty"
		}
	}
	metrics.GetOrCreateCounter(`laburnumrack_quota_transfers_total{result="` + result + `"}`).Inc()
	o.advance(tenant, h)
}

// requestTransfer sends a transfer request to the first quota owner of a failure domain that
// can be reached. All attempts together end within the time-out, because tokens in flight
// count beyond the capacity of the accounts.
func (o *owner) requestTransfer(tenant string, limit quota.Limit, t quota.TransferRequest) (peer.QuotaResponse, error) {
	timeout := nearTransferTimeout
	if o.limiter.far[t.Domain] {
		timeout = farTransferTimeout
	}
	deadline := o.limiter.options.Now() + timeout
	r := peer.QuotaRequest{
		Kind: peer.QuotaTransfer, Tenant: tenant, Rate: limit.Rate, Burst: limit.Burst, Version: limit.Version,
		Count: uint64(math.Ceil(t.Tokens * tokenUnits)), Urgent: uint64(math.Ceil(t.Urgent * tokenUnits)), ID: t.ID,
	}
	err := errNoOwner
	for _, name := range o.limiter.options.Network.QuotaOwners(t.Domain, tenant) {
		rest := deadline - o.limiter.options.Now()
		if rest <= 0 {
			break
		}
		if _, down := o.limiter.isDown(name); down {
			continue
		}
		var answer peer.QuotaResponse
		answer, err = o.limiter.call(name, r, rest)
		if err == nil && answer.Owner {
			return answer, nil
		}
	}
	if err == nil {
		err = errNoOwner
	}
	return peer.QuotaResponse{}, fmt.Errorf("transfer from failure domain %s: %w", t.Domain, err)
}

// errNoOwner is returned if no daemon of a failure domain acts as quota owner.
var errNoOwner = errors.New("no quota owner")

// noteDomain logs when transfers from a failure domain begin to fail or succeed again.
func (l *Limiter) noteDomain(domain string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if (err != nil) == l.unreachableDomains[domain] {
		return
	}
	l.unreachableDomains[domain] = err != nil
	if err != nil {
		l.options.Log.StateChange("quota_transfers_fail", "failure_domain", domain, "error", err.Error())
		return
	}
	l.options.Log.StateChange("quota_transfers_work", "failure_domain", domain)
}

// grant answers a transfer request.
func (o *owner) grant(tenant string, limit quota.Limit, from string, id uint64, tokens, urgent float64) (granted, spare float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.hold(tenant, limit)
	return h.account.Grant(o.limiter.options.Now(), from, id, tokens, urgent)
}

// state returns the state of an account, nil if there is none.
func (o *owner) state(tenant string) *peer.QuotaAccount {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.accounts[tenant]
	if !ok {
		return nil
	}
	s := h.account.State(o.limiter.options.Now())
	return &peer.QuotaAccount{Rate: s.Limit.Rate, Burst: s.Limit.Burst, Version: s.Limit.Version, Balance: s.Balance, Use: s.Use, Demand: s.Demand}
}

// holdsAccounts reports whether there are accounts that must not outlive the role of owner.
func (o *owner) holdsAccounts() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.accounts) > 0 || len(o.full) > 0
}

// reset drops all accounts. They start again with one token.
func (o *owner) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.accounts) == 0 && len(o.full) == 0 {
		return
	}
	o.limiter.options.Log.StateChange("quota_accounts_reset", "accounts", len(o.accounts))
	for tenant := range o.accounts {
		o.drop(tenant)
	}
	clear(o.full)
}

// drop drops an account and refuses the batches that wait for it. o.mu must be held.
func (o *owner) drop(tenant string) {
	h := o.accounts[tenant]
	h.dropped = true
	delete(o.accounts, tenant)
	for ticket := range h.waiting {
		h.account.Abandon(o.limiter.options.Now(), ticket)
	}
	h.sendDecisions()
}

// checkNeighbors forgets which accounts were full if the daemons of the failure domain have
// changed. o.mu must be held.
func (o *owner) checkNeighbors() {
	neighbors := o.limiter.options.Network.Neighbors()
	if !slices.Equal(neighbors, o.neighbors) {
		o.neighbors = neighbors
		clear(o.full)
	}
}

// sweep drops the accounts that are full and not used, and those that this daemon is not
// owner of any more.
func (o *owner) sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkNeighbors()
	now := o.limiter.options.Now()
	suspended := !o.limiter.hasMajority()
	if suspended != o.suspended {
		o.suspended = suspended
		o.limiter.options.Log.StateChange("quota_majority_changed", "reached", !suspended)
	}
	for tenant, h := range o.accounts {
		h.account.Suspend(now, suspended)
		first := o.limiter.isFirstOwner(tenant)
		switch {
		case !first && now-h.actedAt > successorRetention:
			o.drop(tenant)
		case first && h.account.CanDrop(now, idleBeforeDrop):
			o.full[tenant] = h.account.Limit()
			h.dropped = true
			delete(o.accounts, tenant)
		}
	}
}
