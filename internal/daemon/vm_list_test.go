package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// listStore is a store that implements only VMs. Each call returns vms and err.
type listStore struct {
	store.Store
	vms   []store.VM
	err   error
	calls int
}

func (s *listStore) VMs(context.Context) ([]store.VM, error) {
	s.calls++
	return s.vms, s.err
}

func newTestMembers(s store.Store) *members {
	self := fleet.VM{Name: "a", FailureDomain: "d", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	return newMembers(self, s, nil)
}

func TestList(t *testing.T) {
	listed := []store.VM{
		{Name: "a", Address: "127.0.0.1:1", FailureDomain: "d", State: store.VMLive},
		{Name: "b", Address: "127.0.0.2:1", FailureDomain: "d", State: store.VMLive},
	}

	Convey("A daemon without a list reads the list of the platform", t, func() {
		s := &listStore{vms: listed}
		m := newTestMembers(s)
		So(m.updateList(context.Background(), nil), ShouldBeNil)
		So(m.Current().VMs, ShouldHaveLength, 2)
	})

	Convey("A leaving daemon in a domain without relays reads the list of the platform", t, func() {
		s := &listStore{vms: listed[:1]}
		m := newTestMembers(s)
		m.Leave()
		So(m.Current().Relays("d"), ShouldBeEmpty)
		So(m.updateList(context.Background(), nil), ShouldBeNil)
		So(s.calls, ShouldEqual, 1)
	})

	Convey("A failed read keeps the previous list", t, func() {
		s := &listStore{vms: listed}
		m := newTestMembers(s)
		So(m.updateList(context.Background(), nil), ShouldBeNil)
		s.vms, s.err = nil, store.ErrUnavailable
		So(m.updateList(context.Background(), nil), ShouldNotBeNil)
		So(m.Current().VMs, ShouldHaveLength, 2)
	})

	Convey("An older list never replaces a newer one", t, func() {
		m := newTestMembers(&listStore{})
		now := time.Now()
		m.applyList(listed, now)
		m.applyList(listed[:1], now.Add(-time.Second))
		So(m.Current().VMs, ShouldHaveLength, 2)
	})

	Convey("A relay omits the list if the hash of the request matches", t, func() {
		m := newTestMembers(&listStore{})
		_, err := m.handleList(context.Background(), listRequest{})
		So(err, ShouldEqual, errStaleList)
		m.applyList(listed, time.Now())
		reply, err := m.handleList(context.Background(), listRequest{})
		So(err, ShouldBeNil)
		So(reply.VMs, ShouldHaveLength, 2)
		reply, err = m.handleList(context.Background(), listRequest{Hash: reply.Hash})
		So(err, ShouldBeNil)
		So(reply.VMs, ShouldBeEmpty)
	})
}

// outageStore returns store.ErrUnavailable until the time until, and vms after it.
type outageStore struct {
	store.Store
	until time.Time
	vms   []store.VM
	calls atomic.Int64
}

func (s *outageStore) VMs(context.Context) ([]store.VM, error) {
	s.calls.Add(1)
	if time.Now().Before(s.until) {
		return nil, store.ErrUnavailable
	}
	return s.vms, nil
}

// TestListInOutage guards against a relay that overloads a failing platform with reads, or
// that backs off so long that it misses the end of the outage. After the initial reads
// there is at most one read per maxListBackoff, and the first read after the outage
// comes within that time.
func TestListInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			outage       = 10 * time.Minute
			initialReads = 3
			limit        = initialReads + int64(outage/maxListBackoff)
		)
		s := &outageStore{
			until: time.Now().Add(outage),
			vms:   []store.VM{{Name: "b", Address: "127.0.0.2:1", FailureDomain: "d", State: store.VMLive}},
		}
		m := newTestMembers(s)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.pollVMList(ctx, nil)
		}()
		time.Sleep(outage - time.Nanosecond)
		if calls := s.calls.Load(); calls > limit {
			t.Errorf("%d reads during an outage of %v, want at most %d", calls, outage, limit)
		}
		// The jitter adds up to a quarter of the interval.
		time.Sleep(maxListBackoff * 5 / 4)
		if got := len(m.Current().VMs); got != 2 {
			t.Errorf("%d VMs after the outage, want 2", got)
		}
		cancel()
		<-done
	})
}

// TestBackOff checks that the interval doubles up to maxListBackoff and never shrinks.
func TestBackOff(t *testing.T) {
	cases := []struct {
		interval time.Duration
		failures int
		want     time.Duration
	}{
		{2 * time.Second, 0, 2 * time.Second},
		{2 * time.Second, 2, 8 * time.Second},
		{2 * time.Second, 1000, maxListBackoff},
		{2 * maxListBackoff, 3, 2 * maxListBackoff},
	}
	for _, c := range cases {
		if got := backoff(c.interval, c.failures); got != c.want {
			t.Errorf("backoff(%v, %d) = %v, want %v", c.interval, c.failures, got, c.want)
		}
	}
}
