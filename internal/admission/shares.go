package admission

import (
	"cmp"
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
	// claimFloor and useFloor are the claim and the use, in service times, up to which a
	// tenant is within its share. The share of a small tenant is often less than the slot
	// time of one request, so that any request would put it above.
	claimFloor = 4
	useFloor   = 6
	// minUseShare is the least part of its share that a tenant may use before it is served
	// last, if the floors of small tenants take from it. Without the floors the 99th
	// percentile of the others was 200 to 260 ms instead of 70 ms beside one large tenant
	// at nine times its load.
	minUseShare = 0.8
	// demandOffset is the slot time, in service times, that is added to claim and share
	// before they are compared. Without it the demand of a small tenant with one request
	// exceeds that of a large tenant with many too many.
	demandOffset = 8
	// refusedPart is the part of the slot time of evicted requests that counts as claim. It
	// tells a tenant that sends many times its share from one that has a burst. With
	// all of it, the value in time of 80 tenants at 300% was up to 2 points lower.
	refusedPart = 0.4
	// demandTolerance is the share of the largest demand by which the demands of tenants
	// that send alike in proportion to their weights differ by chance.
	demandTolerance = 0.35
	// minRate and maxRate bound the declared rates, in operations per second, so that sums
	// and quotients of them stay finite.
	minRate, maxRate = 1e-3, 1e9
)

// account holds a tenant's use of the slots of one target.
type account struct {
	tenant string
	// rate is the rate that the tenant declares, or zero if it declares none.
	rate float64
	// weight is the tenant's part of the slot time in proportion to the weights of the
	// others.
	weight float64
	// use is the slot time that the tenant has used, in seconds, decayed with useDecay. A
	// tenant that holds n slots for long has a use of n seconds.
	use float64
	// held is the number of slots that the tenant holds at updatedAt.
	held      float64
	updatedAt time.Time
	// waiting is the number of waiting tickets of the tenant.
	waiting int
	// refused is the slot time of the tickets that were evicted, times refusedPart, in
	// seconds, decayed with useDecay.
	refused float64
	// claim is the use plus the slot time of the waiting tickets plus refused, in seconds.
	claim float64
	// share is the slot time that the tenant is entitled to, in seconds.
	share float64
	// demand is the claim as a multiple of the share, both increased by demandOffset.
	demand float64
	// overShare is set if the claim exceeds the tenant's share, and servedLast if the use
	// exceeds it too and the demand is among the largest.
	overShare, servedLast bool
}

// advance updates the use to the time now.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	left := math.Exp(-elapsed.Seconds() / useDecay.Seconds())
	a.refused *= left
	a.use = a.use*left + a.held*useDecay.Seconds()*(1-left)
	a.updatedAt = now
}

// idle reports whether the tenant has no work and its use is negligible.
func (a *account) idle() bool {
	return a.waiting == 0 && a.held == 0 && a.use < minUse
}

// evicted counts the slot time of a ticket that is evicted.
func (a *account) evicted(slotTime, serviceTime time.Duration) {
	refused := refusedPart * slotTime.Seconds()
	a.refused += refused
	a.claim -= slotTime.Seconds() - refused
	a.updateDemand(serviceTime)
}

// updateDemand sets the demand from the claim and the share.
func (a *account) updateDemand(serviceTime time.Duration) {
	a.demand = 0
	if !math.IsInf(a.share, 1) {
		offset := demandOffset * serviceTime.Seconds()
		a.demand = (a.claim + offset) / (a.share + offset)
	}
}

// demandsAtLeast reports whether the tenant is above its share with a demand of at least
// minDemand. It is true for all tenants if minDemand is zero.
func (a *account) demandsAtLeast(minDemand float64) bool {
	return minDemand == 0 || a.overShare && a.demand >= minDemand
}

// shares holds the accounts of the tenants with work or recent use and decides which of
// them are above their share of the slot time.
type shares struct {
	accounts map[string]*account
	// ordered holds the accounts in the order in which they were created, because sums in
	// a fixed order keep the decisions deterministic.
	ordered  []*account
	prunedAt time.Time
	// weightsStale is set if the accounts or their rates have changed since the last
	// update of the weights.
	weightsStale bool
	byWeight     []*account // buffer of assess
	rest         []*account // buffer of shareWithFloor
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
		s.prune(now)
	}
	a, ok := s.accounts[tenant]
	if !ok {
		a = &account{tenant: tenant, updatedAt: now}
		s.accounts[tenant] = a
		s.ordered = append(s.ordered, a)
		s.weightsStale = true
	}
	return a
}

// prune forgets the tenants without work or recent use.
func (s *shares) prune(now time.Time) {
	s.ordered = slices.DeleteFunc(s.ordered, func(a *account) bool {
		a.advance(now)
		if !a.idle() {
			return false
		}
		delete(s.accounts, a.tenant)
		s.weightsStale = true
		return true
	})
}

// declare sets the rate that a tenant declares. Zero and infinity mean none.
func (s *shares) declare(a *account, rate float64) {
	if math.IsInf(rate, 1) || !(rate > 0) {
		rate = 0
	} else {
		rate = min(max(rate, minRate), maxRate)
	}
	if a.rate != rate {
		a.rate = rate
		s.weightsStale = true
	}
}

// updateWeights sets the weights of all accounts to their rates in proportion to the mean
// rate. Tenants that declare none weigh as the mean.
func (s *shares) updateWeights() {
	if !s.weightsStale {
		return
	}
	s.weightsStale = false
	sum, declared := 0.0, 0
	for _, a := range s.ordered {
		if a.rate > 0 {
			sum += a.rate
			declared++
		}
	}
	for _, a := range s.ordered {
		a.weight = 1
		if a.rate > 0 {
			a.weight = a.rate * float64(declared) / sum
		}
	}
}

// hold changes the number of slots that a tenant holds.
func (s *shares) hold(now time.Time, tenant string, slots float64) {
	a := s.account(now, tenant)
	a.advance(now)
	a.held += slots
}

// assess updates all accounts and decides which tenants are above their share. The recent
// use of all tenants together is what the target can serve. It is divided by weighted
// max-min fairness: tenants that claim less than their part by weight get their claim, and
// the others share the rest in proportion to their weights.
func (s *shares) assess(now time.Time, tickets []*queuedTicket, serviceTime time.Duration, slotTime func(*queuedTicket) time.Duration) {
	s.updateWeights()
	available := 0.0
	for _, a := range s.ordered {
		a.advance(now)
		a.claim = a.use + a.refused
		available += a.use
	}
	for _, w := range tickets {
		w.account.claim += slotTime(w).Seconds()
	}
	s.byWeight = append(s.byWeight[:0], s.ordered...)
	slices.SortStableFunc(s.byWeight, func(a, b *account) int {
		return cmp.Compare(a.claim*b.weight, b.claim*a.weight)
	})
	share := fairShare(s.byWeight, available)
	largest := 0.0
	for _, a := range s.ordered {
		a.share = share * a.weight
		a.updateDemand(serviceTime)
		a.overShare = a.claim > max(a.share, claimFloor*serviceTime.Seconds())
		if a.overShare {
			largest = max(largest, a.demand)
		}
	}
	useShare := share
	if s.fewAbove(largest) {
		useShare = max(s.shareWithFloor(share, available, useFloor*serviceTime.Seconds()), minUseShare*share)
	}
	for _, a := range s.ordered {
		a.servedLast = a.overShare && a.demand >= largest*(1-demandTolerance) &&
			a.use > max(useShare*a.weight, useFloor*serviceTime.Seconds())
	}
}

// fewAbove reports whether the tenants that are most above their share, with demands up to
// the given one, have less than half of the weight. If they have more, all send too much,
// and a floor for small tenants would cost more value than it saves.
func (s *shares) fewAbove(largest float64) bool {
	above, all := 0.0, 0.0
	for _, a := range s.ordered {
		all += a.weight
		if a.overShare && a.demand >= largest*(1-demandTolerance) {
			above += a.weight
		}
	}
	return above < all/2
}

// shareWithFloor returns the share per weight that is left if tenants whose share is below
// the floor, but at most an equal part of the available amount, get their claims up to it.
// share is the share per weight without a floor.
func (s *shares) shareWithFloor(share, available, floor float64) float64 {
	floor = min(floor, available/float64(len(s.ordered)))
	// The first pass lowers the share, which puts more tenants below the floor.
	for range 2 {
		left := available
		s.rest = s.rest[:0]
		for _, a := range s.byWeight {
			if share*a.weight < floor {
				left -= min(a.claim, floor)
			} else {
				s.rest = append(s.rest, a)
			}
		}
		share = fairShare(s.rest, max(left, 0))
	}
	return share
}

// fairShare returns the largest claim per weight that is granted in full if the available
// amount is divided by weighted max-min fairness. The accounts are in ascending order of
// their claims per weight.
func fairShare(byWeight []*account, available float64) float64 {
	weight := 0.0
	for _, a := range byWeight {
		weight += a.weight
	}
	for _, a := range byWeight {
		share := available / weight
		if a.claim > share*a.weight {
			return max(share, 0)
		}
		available -= a.claim
		weight -= a.weight
	}
	return math.Inf(1)
}
