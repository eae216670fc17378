package ratelimit

import (
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/quota"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// fault is what happens to the messages of one kind.
type fault int

const (
	noFault fault = iota
	requestLost
	answerLost
	duplicated
	delayed // less than any time-out
	late    // more than any time-out
)

// faultySource passes requests to a limiter, except that a fault happens to those of one
// kind.
type faultySource struct {
	limiter *Limiter
	mu      sync.Mutex
	kind    peer.QuotaKind // guarded by mu
	fault   fault          // guarded by mu
	handled int            // guarded by mu
}

// never is longer than any time-out.
const never = 700 * time.Millisecond

func (s *faultySource) HandleQuota(from string, r peer.QuotaRequest) peer.QuotaResponse {
	s.mu.Lock()
	f := s.fault
	if r.Kind != s.kind {
		f = noFault
	} else {
		s.handled++
	}
	s.mu.Unlock()
	switch f {
	case requestLost:
		time.Sleep(never)
		return peer.QuotaResponse{}
	case delayed:
		time.Sleep(30 * time.Millisecond)
	case late:
		time.Sleep(300 * time.Millisecond)
	case duplicated:
		s.limiter.HandleQuota(from, r)
	}
	answer := s.limiter.HandleQuota(from, r)
	if f == answerLost {
		time.Sleep(never)
	}
	return answer
}

func (s *faultySource) set(kind peer.QuotaKind, f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind, s.fault, s.handled = kind, f, 0
}

// loopbackDaemon is a daemon with real peer connections.
type loopbackDaemon struct {
	name    string
	limiter *Limiter
	source  *faultySource
	address string
	fleet   *loopbackFleet
	clients map[string]*peer.Client
}

// loopbackFleet has the daemons gateway, owner and successor in failure domain a, and
// partner in b.
type loopbackFleet struct {
	daemons map[string]*loopbackDaemon
}

func (d *loopbackDaemon) Known() bool { return true }
func (d *loopbackDaemon) QuotaOwners(domain, _ string) []string {
	if domain == "b" {
		return []string{"partner"}
	}
	return []string{"owner", "successor", "gateway"}
}
func (d *loopbackDaemon) Neighbors() []string {
	if d.name == "partner" {
		return nil
	}
	var names []string
	for _, n := range []string{"gateway", "owner", "successor"} {
		if n != d.name {
			names = append(names, n)
		}
	}
	return names
}
func (d *loopbackDaemon) CallQuota(name string, r peer.QuotaRequest, timeout time.Duration) (peer.QuotaResponse, error) {
	return d.clients[name].Quota(r, timeout)
}
func (d *loopbackDaemon) PeerResponded(string)               {}
func (d *loopbackDaemon) PeerUnreachable(string, error)      {}
func (d *loopbackDaemon) PeerLeaving(string)                 {}
func (d *loopbackDaemon) Open(stmtunit.Header) stmtunit.Unit { return nil }

func newLoopbackFleet(t *testing.T) *loopbackFleet {
	t.Helper()
	f := &loopbackFleet{daemons: map[string]*loopbackDaemon{}}
	for _, name := range []string{"gateway", "owner", "successor", "partner"} {
		d := &loopbackDaemon{name: name, fleet: f, clients: map[string]*peer.Client{}}
		domain := "a"
		if name == "partner" {
			domain = "b"
		}
		d.limiter = New(Options{Self: name, Domain: domain, Regions: map[string]string{"a": "r", "b": "r"}, Slack: 20, Network: d, Now: boottime.Now, Log: eventlog.Discard()})
		d.source = &faultySource{limiter: d.limiter}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		d.address = l.Addr().String()
		server := &peer.Server{Name: name, Opener: d, Quotas: d.source}
		go server.Serve(l)
		f.daemons[name] = d
	}
	for _, d := range f.daemons {
		for name, other := range f.daemons {
			c := peer.NewClient(peer.Identity{Name: d.name}, name, other.address, d)
			t.Cleanup(c.Close)
			d.clients[name] = c
		}
	}
	return f
}

// paused is a tenant whose accounts practically don't refill, so that every token is seen.
var paused = catalog.Tenant{Name: "t", Rate: 0.001, Burst: 20}

// fill makes the account of a daemon full: 20/2 + 20/4 tokens.
func (d *loopbackDaemon) fill() {
	o := &d.limiter.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := quota.Limit{Rate: paused.Rate, Burst: paused.Burst, Version: 1}
	o.accounts[paused.Name] = &heldAccount{account: quota.NewFullAccount(boottime.Now(), o.share, limit, o.others, 0), waiting: map[uint64]chan quota.Decision{}}
}

const fullBalance = 15

func (d *loopbackDaemon) balance() float64 {
	if a := d.limiter.owner.state(paused.Name); a != nil {
		return a.Balance
	}
	return 0
}

// admitTimes asks for n operations, one after the other, and returns how many were admitted,
// and the longest wait.
func (f *loopbackFleet) admitTimes(n int) (allowed int, longest time.Duration) {
	for range n {
		start := time.Now()
		if _, _, ok := f.daemons["gateway"].limiter.Admit(paused, 1); ok {
			allowed++
		}
		longest = max(longest, time.Since(start))
	}
	return allowed, longest
}

func TestAdmitMessages(t *testing.T) {
	Convey("Requests for operations on real connections", t, func() {
		f := newLoopbackFleet(t)
		owner, successor := f.daemons["owner"], f.daemons["successor"]
		owner.fill()
		f.admitTimes(1) // connects
		f.daemons["successor"].limiter.call("owner", peer.QuotaRequest{}, time.Second)
		So(owner.balance(), ShouldAlmostEqual, fullBalance-1, 0.1)
		Convey("not lost: the owner's account is charged once an operation", func() {
			allowed, _ := f.admitTimes(5)
			So(allowed, ShouldEqual, 5)
			So(owner.balance(), ShouldAlmostEqual, fullBalance-6, 0.1)
			So(successor.balance(), ShouldEqual, 0)
		})
		Convey("request lost: the successor takes over with its one token, and no operation waits long (guards against a gateway that hangs on a silent owner)", func() {
			owner.source.set(peer.QuotaAdmit, requestLost)
			allowed, longest := f.admitTimes(1)
			So(allowed, ShouldEqual, 1)
			So(longest, ShouldBeLessThan, ownerTimeout+successorTimeout)
			So(owner.balance(), ShouldAlmostEqual, fullBalance-1, 0.1)
		})
		Convey("answer lost: its token is lost, not used twice", func() {
			owner.source.set(peer.QuotaAdmit, answerLost)
			before := owner.balance()
			allowed, _ := f.admitTimes(1)
			So(allowed, ShouldEqual, 1)
			So(owner.balance(), ShouldBeLessThan, before)
		})
		Convey("duplicated: no operation more is admitted than the account had tokens", func() {
			owner.source.set(peer.QuotaAdmit, duplicated)
			allowed, _ := f.admitTimes(20)
			So(allowed, ShouldBeBetweenOrEqual, 7, fullBalance)
		})
		Convey("delayed: the operation waits for it", func() {
			owner.source.set(peer.QuotaAdmit, delayed)
			allowed, longest := f.admitTimes(1)
			So(allowed, ShouldEqual, 1)
			So(longest, ShouldBeGreaterThan, 25*time.Millisecond)
		})
	})
}

func TestTransferMessages(t *testing.T) {
	Convey("Requests for transfers on real connections", t, func() {
		f := newLoopbackFleet(t)
		owner, partner := f.daemons["owner"], f.daemons["partner"]
		partner.fill()
		allowed, _ := f.admitTimes(1) // uses the one token of the owner's account
		So(allowed, ShouldEqual, 1)
		_, _ = owner.limiter.call("partner", peer.QuotaRequest{Kind: peer.QuotaState, Tenant: "none"}, time.Second)
		transferred := func() float64 { return fullBalance - partner.balance() }
		Convey("not lost: the operation is admitted and the partner's account charged", func() {
			allowed, _ := f.admitTimes(1)
			So(allowed, ShouldEqual, 1)
			So(transferred(), ShouldBeGreaterThanOrEqualTo, 0.9)
			So(transferred()-1, ShouldAlmostEqual, owner.balance(), 0.1)
		})
		Convey("request lost: the operation is refused in time, nothing is charged", func() {
			partner.source.set(peer.QuotaTransfer, requestLost)
			allowed, longest := f.admitTimes(1)
			So(allowed, ShouldEqual, 0)
			So(longest, ShouldBeLessThan, ownerTimeout+50*time.Millisecond)
			So(transferred(), ShouldAlmostEqual, 0, 0.1)
		})
		Convey("answer lost or late: the tokens are lost, and a late answer adds none (guards against tokens that return after their time-out)", func() {
			for _, kind := range []fault{answerLost, late} {
				partner.source.set(peer.QuotaTransfer, kind)
				f.admitTimes(1)
				time.Sleep(never)
				So(transferred(), ShouldBeGreaterThan, 0.9)
				So(owner.balance(), ShouldBeLessThan, 0.1)
				owner.limiter.markUp("partner")
				time.Sleep(500 * time.Millisecond)
			}
		})
		Convey("duplicated: granted once (guards against tokens that are lost with each duplicate)", func() {
			partner.source.set(peer.QuotaTransfer, duplicated)
			allowed, _ := f.admitTimes(1)
			So(allowed, ShouldEqual, 1)
			So(transferred()-1, ShouldAlmostEqual, owner.balance(), 0.1)
		})
		Convey("delayed: the operation waits for it", func() {
			partner.source.set(peer.QuotaTransfer, delayed)
			allowed, _ := f.admitTimes(1)
			So(allowed, ShouldEqual, 1)
		})
	})
}

func TestProbeAndStateMessages(t *testing.T) {
	Convey("Probes on real connections", t, func() {
		f := newLoopbackFleet(t)
		owner := f.daemons["owner"]
		lapse := func() {
			owner.limiter.contact.mu.Lock()
			owner.limiter.contact.at = boottime.Now() - 2*contactHold
			owner.limiter.contact.mu.Unlock()
		}
		for _, name := range []string{"gateway", "successor"} {
			_, _ = owner.limiter.call(name, peer.QuotaRequest{}, time.Second) // connects
		}
		set := func(k fault) {
			for _, name := range []string{"gateway", "successor"} {
				f.daemons[name].source.set(peer.QuotaProbe, k)
			}
		}
		Convey("answered, duplicated or delayed: the owner has contact, and its accounts start anew after a lapse", func() {
			for _, k := range []fault{noFault, duplicated, delayed} {
				owner.fill()
				lapse()
				set(k)
				So(owner.limiter.hasContact(0), ShouldBeTrue)
				So(owner.balance(), ShouldEqual, 0)
			}
		})
		Convey("lost or answers lost: an owner without contact admits nothing (guards against a cut-off owner beside its successor)", func() {
			for _, k := range []fault{requestLost, answerLost} {
				owner.fill()
				lapse()
				set(k)
				_, reason, ok := owner.limiter.Admit(paused, 1)
				So(ok, ShouldBeFalse)
				So(reason, ShouldEqual, ReasonUnreachable)
				time.Sleep(probeHold + 50*time.Millisecond)
			}
		})
	})
	Convey("Requests for the state on real connections: lost, duplicated or delayed ones change nothing", t, func() {
		f := newLoopbackFleet(t)
		owner := f.daemons["owner"]
		owner.fill()
		gateway := f.daemons["gateway"].limiter
		for _, k := range []fault{noFault, duplicated, delayed} {
			owner.source.set(peer.QuotaState, k)
			So(gateway.Snapshot(paused.Name).Balance, ShouldAlmostEqual, fullBalance, 0.1)
		}
		for _, k := range []fault{requestLost, answerLost} {
			owner.source.set(peer.QuotaState, k)
			So(gateway.Snapshot(paused.Name).Domains[0].Account, ShouldBeNil)
			So(owner.balance(), ShouldAlmostEqual, fullBalance, 0.1)
		}
	})
}
