package ratelimit

import (
	"fmt"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
)

// BenchmarkAdmit measures the processor time of an operation that the owner admits for its
// own caller.
func BenchmarkAdmit(b *testing.B) {
	l := New(Options{Self: "only", Domain: "a1", Regions: map[string]string{"a1": "a"}, Slack: 20, Network: soleNetwork{}, Now: boottime.Now, Log: eventlog.Discard()})
	tenants := make([]catalog.Tenant, 80)
	for i := range tenants {
		tenants[i] = catalog.Tenant{Name: fmt.Sprint("tenant-", i), Rate: 1e9, Burst: 1e9}
	}
	for i := 0; b.Loop(); i++ {
		l.Admit(tenants[i%len(tenants)], 1)
	}
}

// BenchmarkAdmitRemote measures the processor time of both daemons of an operation that
// takes a message pair over loopback.
func BenchmarkAdmitRemote(b *testing.B) {
	f := newLoopbackFleet(b)
	gateway := f.daemons["gateway"].limiter
	tenant := catalog.Tenant{Name: "tenant", Rate: 1e9, Burst: 1e9}
	for b.Loop() {
		gateway.Admit(tenant, 1)
	}
}
