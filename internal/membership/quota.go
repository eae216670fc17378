package membership

import (
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/peer"
)

// QuotaOwners returns the names of the VMs of a failure domain to try as quota owner of a
// tenant, best first; see fleet.View.QuotaOwners.
func (m *Members) QuotaOwners(domain, tenant string) []string {
	return vmNames(m.view.Load().QuotaOwners(domain, tenant))
}

// Neighbors returns the names of the other VMs of this failure domain, those included that
// are not usable.
func (m *Members) Neighbors() []string {
	var names []string
	for _, vm := range m.view.Load().VMs {
		if vm.FailureDomain == m.self.FailureDomain && vm.Name != m.self.Name {
			names = append(names, vm.Name)
		}
	}
	return names
}

// CallQuota sends a quota request to a VM; see peer.Client.Quota.
func (m *Members) CallQuota(name string, r peer.QuotaRequest, timeout time.Duration) (peer.QuotaResponse, error) {
	vm, ok := m.view.Load().Find(name)
	if !ok {
		return peer.QuotaResponse{}, fmt.Errorf("quota request to unknown VM %s", name)
	}
	return m.client(vm).Quota(r, timeout)
}

func vmNames(vms []fleet.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}
