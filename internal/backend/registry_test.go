package backend

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// unreachableDialer fails every dial.
type unreachableDialer struct{}

func (unreachableDialer) Dial(context.Context, string, string, string, string) (Conn, error) {
	return nil, errors.New("target unreachable")
}

// noopPromoter does not promote and fails to read intents.
type noopPromoter struct{}

func (noopPromoter) HoldsLock() bool { return false }

func (noopPromoter) Promote(context.Context, *Group, leadership.Reason, time.Duration) error {
	return nil
}

func (noopPromoter) ReadIntents(context.Context) (primarylease.Record, error) {
	return primarylease.Record{}, errors.New("store unavailable")
}

// newRegistry returns a registry whose targets and store are unreachable. Its monitors
// end with the test.
func newRegistry(t *testing.T) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	locality := Locality{FailureDomain: "north", Regions: map[string]string{"north": "home"}}
	return NewRegistry(ctx, Dependencies{
		Locality: locality, Dialer: unreachableDialer{}, Promoter: noopPromoter{}, PrimaryLease: primarylease.New(noopPromoter{}), DrainTime: 7 * time.Second, Log: eventlog.New(),
	})
}

func TestRegistry(t *testing.T) {
	one := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Incarnation: 7}
	Convey("The state of a target is kept when its role changes and dropped when it restarts", t, func() {
		r := newRegistry(t)
		r.PutTarget(one)
		before := r.Group("g").Targets()[0]
		before.StatementSent()
		before.StatementAnswered(time.Millisecond, query.Answer{Position: position.Position{Term: 1, Index: 9}})
		promoted := one
		promoted.Primary = true
		r.PutTarget(promoted)
		So(r.Group("g").Targets()[0], ShouldEqual, before)
		restarted := promoted
		restarted.Incarnation = 8
		r.PutTarget(restarted)
		after := r.Group("g").Targets()[0]
		So(after, ShouldNotEqual, before)
		So(after.State(0).Applied.IsZero(), ShouldBeTrue)
		_, verdict := before.Pool.Acquire(1, 0, time.Now().Add(time.Second))
		So(verdict, ShouldEqual, Closed)
	})
	Convey("A target that left the list is kept for unlistedRetention, and for good if it returns", t, func() {
		r := newRegistry(t)
		other := one
		other.ID, other.Address = "i-2", "10.0.0.2:1"
		r.SetTargets([]catalog.Target{one, other})
		r.RemoveTarget("i-1")
		r.RemoveTarget("i-2")
		r.maintain(time.Now().Add(unlistedRetention / 2))
		So(r.Group("g").Targets(), ShouldHaveLength, 2)
		r.PutTarget(other)
		r.maintain(time.Now().Add(2 * unlistedRetention))
		So(r.Group("g").Targets(), ShouldHaveLength, 1)
		So(r.Group("g").Targets()[0].Info().ID, ShouldEqual, "i-2")
	})
	Convey("A list counts as complete some time after it was received", t, func() {
		r := newRegistry(t)
		So(r.listComplete(), ShouldBeFalse)
		r.SetTargets([]catalog.Target{one})
		So(r.listComplete(), ShouldBeFalse)
		r.listCompleteAt.Store(1)
		So(r.listComplete(), ShouldBeTrue)
	})
}

func TestPool(t *testing.T) {
	Convey("Requests for an unreachable target fail without waiting", t, func() {
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 3}, unreachableDialer{})
		began := time.Now()
		_, verdict := target.Pool.Acquire(1, 0, began.Add(5*time.Second))
		So(verdict, ShouldEqual, Unreachable)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
}

// Guards against requests to an old primary: a daemon that had not used a group since
// before a handover sent its next request to the old primary, 8 s after that had
// announced that it was draining.
func TestLeaderOfIdleGroup(t *testing.T) {
	old := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Primary: true}
	draining := old
	draining.Draining = true
	withLeader := func(r *Registry) *Group {
		r.PutTarget(old)
		g := r.Group("g")
		g.setLeader(&LeaderView{Leader: leadership.Leader{ID: old.ID, Term: 1}, Target: g.Targets()[0]})
		return g
	}
	Convey("The leader of an idle group is searched for again if it is draining", t, func() {
		r := newRegistry(t)
		g := withLeader(r)
		r.PutTarget(draining)
		g.MarkUsed()
		So(g.Leader(), ShouldBeNil)
	})
	Convey("The leader of an idle group is kept if it is not outdated", t, func() {
		r := newRegistry(t)
		g := withLeader(r)
		g.MarkUsed()
		So(g.Leader(), ShouldNotBeNil)
	})
	Convey("In a group in use, a draining leader serves until another is found", t, func() {
		r := newRegistry(t)
		g := withLeader(r)
		g.MarkUsed()
		r.PutTarget(draining)
		g.MarkUsed()
		So(g.Leader(), ShouldNotBeNil)
	})
}

func TestDrained(t *testing.T) {
	info := catalog.Target{ID: "i-1", Group: "g", Draining: true}
	bound := 7 * time.Second
	Convey("A target gets no work once it has been draining for most of the bound", t, func() {
		ready := info
		ready.Draining = false
		target := NewTarget(ready, unreachableDialer{})
		So(target.DrainExpired(boottime.Now()+time.Hour, bound), ShouldBeFalse)
		target.SetInfo(info)
		now := boottime.Now()
		So(target.DrainExpired(now+4*time.Second, bound), ShouldBeFalse)
		target.SetInfo(info)
		So(target.DrainExpired(now+5500*time.Millisecond, bound), ShouldBeTrue)
		target.SetInfo(ready)
		So(target.DrainExpired(now+5500*time.Millisecond, bound), ShouldBeFalse)
	})
	Convey("A target with a short drain gets work for the larger part of it", t, func() {
		ready := info
		ready.Draining = false
		target := NewTarget(ready, unreachableDialer{})
		target.SetInfo(info)
		now := boottime.Now()
		So(target.DrainExpired(now+900*time.Millisecond, 1500*time.Millisecond), ShouldBeFalse)
		So(target.DrainExpired(now+1100*time.Millisecond, 1500*time.Millisecond), ShouldBeTrue)
	})
	Convey("A target that was draining when first listed counts as expired", t, func() {
		So(NewTarget(info, unreachableDialer{}).DrainExpired(boottime.Now(), bound), ShouldBeTrue)
	})
}

// notifyingDialer fails every dial and sends a notification of it.
type notifyingDialer chan struct{}

func (d notifyingDialer) Dial(context.Context, string, string, string, string) (Conn, error) {
	select {
	case d <- struct{}{}:
	default:
	}
	return nil, errors.New("target unreachable")
}

// Guards against late detection of a silent primary: its status was queried up to a
// second late, because groups with a healthy leader were checked once a second.
func TestSilentLeaderIsAskedSoon(t *testing.T) {
	const maxDelay = leaderSilenceTimeout + 150*time.Millisecond
	Convey("A leader that leaves a statement unanswered is queried soon after leaderSilenceTimeout", t, func() {
		for range 5 {
			dials := make(notifyingDialer, 1)
			r := newRegistry(t)
			r.Dialer = dials
			r.PutTarget(catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3})
			g := r.Group("g")
			target := g.Targets()[0]
			g.setLeader(&LeaderView{Leader: leadership.Leader{ID: "i-1", Term: 1}, Target: target})
			g.MarkUsed()
			time.Sleep(2 * leaderSilenceTimeout) // the checks triggered by MarkUsed and PutTarget are over
			target.markAnswering()
			select {
			case <-dials:
			default:
			}
			target.StatementSent()
			sent := time.Now()
			<-dials
			So(time.Since(sent), ShouldBeBetween, leaderSilenceTimeout, maxDelay)
		}
	})
}

// replicaDialer connects to targets that are replicas of term 1. A dial of the address
// unreachable hangs until its context ends.
type replicaDialer struct{ unreachable string }

func (r replicaDialer) Dial(ctx context.Context, address, _, _, _ string) (Conn, error) {
	if address == r.unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return replicaConn{}, nil
}

// replicaConn answers every statement as a replica of term 1.
type replicaConn struct{}

func (replicaConn) Send(...query.Statement) error  { return nil }
func (replicaConn) Receive() (query.Answer, error) { return query.Answer{}, nil }
func (replicaConn) SetDeadline(time.Time) error    { return nil }
func (replicaConn) Alive() bool                    { return true }
func (replicaConn) Close() error                   { return nil }
func (replicaConn) ParseStatus(query.Answer) (query.TargetStatus, error) {
	return query.TargetStatus{Term: 1}, nil
}

// recordingPromoter records the reason of the first promotion.
type recordingPromoter struct {
	noopPromoter
	reasons chan leadership.Reason
}

func (p recordingPromoter) Promote(_ context.Context, _ *Group, reason leadership.Reason, _ time.Duration) error {
	select {
	case p.reasons <- reason:
	default:
	}
	return nil
}

// Guards against a slow failover at a new home: a daemon that became home of a group
// during a partition waited 1.5 s for a leader that it had never known, although the
// list named the primary that did not answer.
func TestNewHomeOfUnreachablePrimary(t *testing.T) {
	Convey("A home that never knew a leader takes the listed primary as the last one", t, func() {
		r := newRegistry(t)
		promoter := recordingPromoter{reasons: make(chan leadership.Reason, 1)}
		r.Dialer, r.Promoter = replicaDialer{unreachable: "10.0.0.1:1"}, promoter
		one := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Primary: true}
		two := catalog.Target{ID: "i-2", Group: "g", Address: "10.0.0.2:1", FailureDomain: "north", Slots: 3}
		r.SetTargets([]catalog.Target{one, two})
		r.listCompleteAt.Store(1)
		began := time.Now()
		r.Group("g").MarkUsed()
		So(<-promoter.reasons, ShouldEqual, leadership.PrimaryUnreachable)
		// Silence is detected by two attempts that time out.
		So(time.Since(began), ShouldBeLessThan, 2*controlTimeout+200*time.Millisecond)
	})
}

// Guards against repeated reads from lagging replicas: while both replicas of a group
// lagged, each read was sent to both before it went to the primary, and 23,000 of 87,000
// statements in a day were answered that the log lacks the position.
func TestLacksPosition(t *testing.T) {
	Convey("For lackedPositionTTL, a target that lacked a position lacks those of the same age and younger ones", t, func() {
		target := NewTarget(catalog.Target{ID: "i-1"}, unreachableDialer{})
		now := boottime.Now()
		So(target.LacksPosition(time.Second, now), ShouldBeFalse)
		target.ObserveLag(time.Second)
		now = boottime.Now()
		So(target.LacksPosition(time.Second, now), ShouldBeTrue)
		So(target.LacksPosition(500*time.Millisecond, now), ShouldBeTrue)
		So(target.LacksPosition(1100*time.Millisecond, now), ShouldBeFalse)
		So(target.LacksPosition(time.Second, now+lackedPositionTTL), ShouldBeFalse)
		target.ObserveCaughtUp(900 * time.Millisecond)
		So(target.LacksPosition(500*time.Millisecond, now), ShouldBeFalse)
	})
}

// peerSample is a PositionFinder that returns one sample, or none if it is zero. It counts
// its calls.
type peerSample struct {
	sample freshness.Sample
	calls  atomic.Int64
}

func (p *peerSample) FindPosition(string) (freshness.Sample, bool) {
	p.calls.Add(1)
	return p.sample, p.sample != freshness.Sample{}
}

// Guards against reads refused by a home that has no connection to the primary, although
// the replicas are idle and other homes know the position of the primary.
func TestPositionFromPeers(t *testing.T) {
	target := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Primary: true}
	refresh := func(peers PositionFinder) *Group {
		r := newRegistry(t)
		r.Peers = peers
		r.PutTarget(target)
		g := r.Group("g")
		<-g.RefreshPosition()
		return g
	}
	Convey("A home that can't query the primary takes the position from another home", t, func() {
		known := freshness.Sample{At: boottime.Now() - time.Second, Position: position.Position{Term: 1, Index: 7}}
		newest, ok := refresh(&peerSample{sample: known}).PositionHistory.Newest()
		So(ok, ShouldBeTrue)
		So(newest, ShouldResemble, known)
	})
	Convey("Other homes that have no position are not asked for each request", t, func() {
		peers := &peerSample{}
		g := refresh(peers)
		for range 20 {
			<-g.RefreshPosition()
		}
		So(peers.calls.Load(), ShouldBeLessThan, 3)
	})
}
