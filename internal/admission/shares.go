package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// useDecay is the time constant with which the use of slot time decays: a tenant that
	// used slots one second ago has less than half of that use left.
	useDecay = time.Second
	// minUse is the use, in seconds of slot time, below which a tenant that neither waits
	// nor holds a slot is forgotten.
	minUse = 0.001
	// pruneInterval is the minimum time between two searches for tenants to forget.
	pruneInterval = time.Second
	// claimTolerance is the share of the largest claim by which the claims of tenants with
	// equal demand differ by chance.
	claimTolerance = 0.35
)

// account holds a tenant's use of the slots of one target.
type account struct {
	tenant string
	// use is the slot time that the tenant has used, in seconds, decayed with useDecay. A
	// tenant that holds n slots for long has a use of n seconds.
	use float64
	// held is the number of slots that the tenant holds at updatedAt.
	held      float64
	updatedAt time.Time
	// waiting is the number of waiting tickets of the tenant.
	waiting int
	// claim is the use plus the slot time of the waiting tickets, in seconds.
	claim float64
	// overShare is set if the claim exceeds the tenant's share, and servedLast if the use
	// alone exceeds it.
	overShare, servedLast bool
}

// advance updates the use to the time now.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	left := math.Exp(-elapsed.Seconds() / useDecay.Seconds())
	a.use = a.use*left + a.held*useDecay.Seconds()*(1-left)
	a.updatedAt = now
}

// idle reports whether the tenant has no work and its use is negligible.
func (a *account) idle() bool {
	return a.waiting == 0 && a.held == 0 && a.use < minUse
}

// claimsAtLeast reports whether the tenant is above its share with a claim of at least
// minClaim. It is true for all tenants if minClaim is zero.
func (a *account) claimsAtLeast(minClaim float64) bool {
	return minClaim == 0 || a.overShare && a.claim >= minClaim
}

// shares holds the accounts of the tenants with work or recent use and decides which of
// them are above their share of the slot time.
type shares struct {
	accounts map[string]*account
	prunedAt time.Time
	claims   []float64 // buffer of assess
}

func newShares() shares {
	return shares{accounts: make(map[string]*account)}
}

// competing reports whether more than one tenant has work or recent use.
func (s *shares) competing() bool {
	return len(s.accounts) > 1
}

// account returns the account of a tenant and creates it if necessary.
func (s *shares) account(now time.Time, tenant string) *account {
	if now.Sub(s.prunedAt) > pruneInterval {
		s.prunedAt = now
		for _, a := range s.accounts {
			a.advance(now)
			if a.idle() {
				delete(s.accounts, a.tenant)
			}
		}
	}
	a, ok := s.accounts[tenant]
	if !ok {
		a = &account{tenant: tenant, updatedAt: now}
		s.accounts[tenant] = a
	}
	return a
}

// hold changes the number of slots that a tenant holds.
func (s *shares) hold(now time.Time, tenant string, slots float64) {
	a := s.account(now, tenant)
	a.advance(now)
	a.held += slots
}

// assess updates all accounts and decides which tenants are above their share. The recent
// use of all tenants together is what the target can serve. It is divided by max-min
// fairness: tenants that claim less than an equal part get their claim, and the others
// share the rest equally.
func (s *shares) assess(now time.Time, tickets []*queuedTicket, slotTime func(*queuedTicket) time.Duration) {
	for _, a := range s.accounts {
		a.advance(now)
		a.claim = a.use
	}
	s.claims = s.claims[:0]
	for _, a := range s.accounts {
		s.claims = append(s.claims, a.use)
	}
	// Summing in a fixed order keeps the decisions deterministic.
	slices.Sort(s.claims)
	available := 0.0
	for _, use := range s.claims {
		available += use
	}
	for _, w := range tickets {
		w.account.claim += slotTime(w).Seconds()
	}
	s.claims = s.claims[:0]
	for _, a := range s.accounts {
		s.claims = append(s.claims, a.claim)
	}
	slices.Sort(s.claims)
	share := fairShare(s.claims, available)
	for _, a := range s.accounts {
		a.overShare, a.servedLast = a.claim > share, a.use > share
	}
}

// fairShare returns the largest claim that is granted in full if the available amount is
// divided by max-min fairness. The claims are in ascending order.
func fairShare(claims []float64, available float64) float64 {
	for i, claim := range claims {
		equal := available / float64(len(claims)-i)
		if claim > equal {
			return max(equal, 0)
		}
		available -= claim
	}
	return math.Inf(1)
}
