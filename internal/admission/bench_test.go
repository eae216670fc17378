package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOverloadedQueue measures an offer and a release on a queue with about 250
// waiting tickets, by the number of tenants.
func BenchmarkOverloadedQueue(b *testing.B) {
	for _, tenants := range []int{1, 8, 80} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			q := NewQueue(Config{Slots: 6, MaxWaiting: 250, ServiceTime: 10 * time.Millisecond, Timeout: time.Minute})
			names := make([]string, tenants)
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
			}
			tenantOf := map[ID]string{}
			var running []ID
			now := epoch
			for i := range b.N {
				now = now.Add(time.Millisecond)
				id := ID(i + 1)
				tenantOf[id] = names[i%tenants]
				d := q.Offer(now, Ticket{ID: id, Tenant: tenantOf[id], Kind: "kind", Weight: 1 + i%3})
				if d.Verdict == Admitted {
					running = append(running, id)
				}
				if i%3 == 0 && len(running) > 0 {
					ended := running[0]
					c := q.Release(now, tenantOf[ended], "kind", 10*time.Millisecond)
					running = append(running[1:], c.Admitted...)
					delete(tenantOf, ended)
				}
			}
		})
	}
}
