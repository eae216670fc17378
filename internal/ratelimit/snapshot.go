package ratelimit

import (
	"maps"
	"slices"
	"sync"

	"github.com/laburnumrack/laburnumrack/internal/peer"
)

// DomainState is the state of a tenant's account in one failure domain.
type DomainState struct {
	Domain string
	// Owner is the daemon that answered; empty if none did.
	Owner string
	// Account is nil if no owner was reached, or it has no account because nobody used the
	// tenant there.
	Account *peer.QuotaAccount
}

// TenantState is the state of a tenant in all failure domains.
type TenantState struct {
	Tenant string
	// Domains are ordered by name.
	Domains []DomainState
	// Rate, Burst and Version are the newest limit that an owner knows.
	Rate, Burst float64
	Version     uint64
	// Balance, Use and Demand are the sums over the domains that answered: tokens, and
	// operations a second that were admitted and asked for.
	Balance, Use, Demand float64
}

// Snapshot asks the quota owners of all failure domains for the state of a tenant. It is
// meant for operators, not for each operation.
func (l *Limiter) Snapshot(tenant string) TenantState {
	s := TenantState{Tenant: tenant}
	var domains sync.WaitGroup
	for _, domain := range slices.Sorted(maps.Keys(l.options.Regions)) {
		s.Domains = append(s.Domains, DomainState{Domain: domain})
	}
	for i := range s.Domains {
		d := &s.Domains[i]
		domains.Go(func() { d.Owner, d.Account = l.accountIn(d.Domain, tenant) })
	}
	domains.Wait()
	for _, d := range s.Domains {
		a := d.Account
		if a == nil {
			continue
		}
		if a.Version >= s.Version {
			s.Rate, s.Burst, s.Version = a.Rate, a.Burst, a.Version
		}
		s.Balance += a.Balance
		s.Use += a.Use
		s.Demand += a.Demand
	}
	return s
}

// accountIn returns the quota owner of a tenant in a failure domain and its account.
func (l *Limiter) accountIn(domain, tenant string) (owner string, account *peer.QuotaAccount) {
	for _, name := range l.options.Network.QuotaOwners(domain, tenant) {
		if name == l.options.Self {
			return name, l.owner.state(tenant)
		}
		if _, down := l.isDown(name); down {
			continue
		}
		answer, err := l.call(name, peer.QuotaRequest{Kind: peer.QuotaState, Tenant: tenant}, farTransferTimeout)
		if err == nil && answer.Owner {
			return name, answer.State
		}
	}
	return "", nil
}
