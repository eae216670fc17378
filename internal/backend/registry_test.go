package backend

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// nowhere fails every dial.
type nowhere struct{}

func (nowhere) Dial(context.Context, string, string, string) (Conn, error) {
	return nil, errors.New("nobody there")
}

// nobody promotes nothing and knows no intents.
type nobody struct{}

func (nobody) Holder() bool { return false }

func (nobody) Promote(context.Context, *Group, leadership.Reason, time.Duration) error { return nil }

func (nobody) ReadIntents(context.Context) (primarylease.Record, error) {
	return primarylease.Record{}, errors.New("no store")
}

func newRegistry(t *testing.T) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	place := Locality{FailureDomain: "north", Regions: map[string]string{"north": "home"}}
	return NewRegistry(ctx, Dependencies{
		Locality: place, Dialer: nowhere{}, Promoter: nobody{}, PrimaryLease: primarylease.New(nobody{}), DrainTime: 7 * time.Second, Log: eventlog.New(),
	})
}

func TestRegistry(t *testing.T) {
	one := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Incarnation: 7}
	Convey("A change of role keeps what is known of a target, a new start forgets it", t, func() {
		r := newRegistry(t)
		r.PutTarget(one)
		before := r.Group("g").Targets()[0]
		before.StatementSent()
		before.StatementAnswered(time.Millisecond, query.Answer{Position: position.Position{Term: 1, Index: 9}})
		promoted := one
		promoted.Primary = true
		r.PutTarget(promoted)
		So(r.Group("g").Targets()[0], ShouldEqual, before)
		again := promoted
		again.Incarnation = 8
		r.PutTarget(again)
		after := r.Group("g").Targets()[0]
		So(after, ShouldNotEqual, before)
		So(after.State(0).Applied.IsZero(), ShouldBeTrue)
		_, verdict := before.Pool.Acquire(1, 0, time.Now().Add(time.Second))
		So(verdict, ShouldEqual, Closed)
	})
	Convey("A target that left the list is kept for a while, and one that comes back stays", t, func() {
		r := newRegistry(t)
		other := one
		other.ID, other.Address = "i-2", "10.0.0.2:1"
		r.SetTargets([]catalog.Target{one, other})
		r.RemoveTarget("i-1")
		r.RemoveTarget("i-2")
		r.tend(time.Now().Add(unlistedFor / 2))
		So(r.Group("g").Targets(), ShouldHaveLength, 2)
		r.PutTarget(other)
		r.tend(time.Now().Add(2 * unlistedFor))
		So(r.Group("g").Targets(), ShouldHaveLength, 1)
		So(r.Group("g").Targets()[0].Info().ID, ShouldEqual, "i-2")
	})
	Convey("A list counts as whole some time after it came", t, func() {
		r := newRegistry(t)
		So(r.settled(), ShouldBeFalse)
		r.SetTargets([]catalog.Target{one})
		So(r.settled(), ShouldBeFalse)
		r.settledAt.Store(1)
		So(r.settled(), ShouldBeTrue)
	})
}

func TestPool(t *testing.T) {
	Convey("Requests for a target that can't be reached are told so and do not wait", t, func() {
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 3}, nowhere{})
		began := time.Now()
		_, verdict := target.Pool.Acquire(1, 0, began.Add(5*time.Second))
		So(verdict, ShouldEqual, Unreachable)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
}

// A daemon that had not used a group since before a handover sent its next request to
// the old primary, 8 s after that had said that it leaves.
func TestLeaderOfIdleGroup(t *testing.T) {
	old := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Primary: true}
	draining := old
	draining.Draining = true
	lead := func(r *Registry) *Group {
		r.PutTarget(old)
		g := r.Group("g")
		g.setLeader(&LeaderView{Leader: leadership.Leader{ID: old.ID, Term: 1}, Target: g.Targets()[0]})
		return g
	}
	Convey("The leader of a group that was not in use is looked for again if it leaves", t, func() {
		r := newRegistry(t)
		g := lead(r)
		r.PutTarget(draining)
		g.MarkUsed()
		So(g.Leader(), ShouldBeNil)
	})
	Convey("and kept if nothing speaks against it", t, func() {
		r := newRegistry(t)
		g := lead(r)
		g.MarkUsed()
		So(g.Leader(), ShouldNotBeNil)
	})
	Convey("In a group in use, a leader that leaves serves until another is found", t, func() {
		r := newRegistry(t)
		g := lead(r)
		g.MarkUsed()
		r.PutTarget(draining)
		g.MarkUsed()
		So(g.Leader(), ShouldNotBeNil)
	})
}

func TestDrained(t *testing.T) {
	info := catalog.Target{ID: "i-1", Group: "g", Draining: true}
	bound := 7 * time.Second
	Convey("A target takes no work once it has been known to drain for most of the bound", t, func() {
		ready := info
		ready.Draining = false
		target := NewTarget(ready, nowhere{})
		So(target.DrainExpired(boottime.Now()+time.Hour, bound), ShouldBeFalse)
		target.SetInfo(info)
		now := boottime.Now()
		So(target.DrainExpired(now+4*time.Second, bound), ShouldBeFalse)
		target.SetInfo(info)
		So(target.DrainExpired(now+5500*time.Millisecond, bound), ShouldBeTrue)
		target.SetInfo(ready)
		So(target.DrainExpired(now+5500*time.Millisecond, bound), ShouldBeFalse)
	})
	Convey("Of a short drain it takes work for the larger part", t, func() {
		ready := info
		ready.Draining = false
		target := NewTarget(ready, nowhere{})
		target.SetInfo(info)
		now := boottime.Now()
		So(target.DrainExpired(now+900*time.Millisecond, 1500*time.Millisecond), ShouldBeFalse)
		So(target.DrainExpired(now+1100*time.Millisecond, 1500*time.Millisecond), ShouldBeTrue)
	})
	Convey("A target that was found draining may have drained for long", t, func() {
		So(NewTarget(info, nowhere{}).DrainExpired(boottime.Now(), bound), ShouldBeTrue)
	})
}

// dialed fails every dial and tells of it.
type dialed chan struct{}

func (d dialed) Dial(context.Context, string, string, string) (Conn, error) {
	select {
	case d <- struct{}{}:
	default:
	}
	return nil, errors.New("nobody there")
}

// A primary that went dark was asked for its status up to a second late, because the
// groups that are well were looked at once a second.
func TestSilentLeaderIsAskedSoon(t *testing.T) {
	const soon = quietLeader + 150*time.Millisecond
	Convey("A leader that leaves a statement without an answer is asked soon after", t, func() {
		for range 5 {
			dials := make(dialed, 1)
			r := newRegistry(t)
			r.Dialer = dials
			r.PutTarget(catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3})
			g := r.Group("g")
			target := g.Targets()[0]
			g.setLeader(&LeaderView{Leader: leadership.Leader{ID: "i-1", Term: 1}, Target: target})
			g.MarkUsed()
			time.Sleep(2 * quietLeader) // the looks after the kicks are over
			target.heard()
			select {
			case <-dials:
			default:
			}
			target.StatementSent()
			sent := time.Now()
			<-dials
			So(time.Since(sent), ShouldBeBetween, quietLeader, soon)
		}
	})
}

// replicaOnly connects to targets that are replicas of term 1; the one at dark never
// answers a connect.
type replicaOnly struct{ dark string }

func (r replicaOnly) Dial(ctx context.Context, address, _, _ string) (Conn, error) {
	if address == r.dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return replicaConn{}, nil
}

// replicaConn answers every statement.
type replicaConn struct{}

func (replicaConn) Send(...query.Statement) error  { return nil }
func (replicaConn) Receive() (query.Answer, error) { return query.Answer{}, nil }
func (replicaConn) SetDeadline(time.Time) error    { return nil }
func (replicaConn) Alive() bool                    { return true }
func (replicaConn) Close() error                   { return nil }
func (replicaConn) ParseStatus(query.Answer) (query.TargetStatus, error) {
	return query.TargetStatus{Term: 1}, nil
}

// asked records the first promotion that it is asked for.
type asked struct {
	nobody
	reasons chan leadership.Reason
}

func (a asked) Promote(_ context.Context, _ *Group, reason leadership.Reason, _ time.Duration) error {
	select {
	case a.reasons <- reason:
	default:
	}
	return nil
}

// A daemon became home of a group during a partition, and waited 1.5 s for a leader that
// it had never known, though the list named the primary that did not answer.
func TestNewHomeOfDarkPrimary(t *testing.T) {
	Convey("A home that never knew the leader goes by the listed primary", t, func() {
		r := newRegistry(t)
		promoter := asked{reasons: make(chan leadership.Reason, 1)}
		r.Dialer, r.Promoter = replicaOnly{dark: "10.0.0.1:1"}, promoter
		one := catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Primary: true}
		two := catalog.Target{ID: "i-2", Group: "g", Address: "10.0.0.2:1", FailureDomain: "north", Slots: 3}
		r.SetTargets([]catalog.Target{one, two})
		r.settledAt.Store(1)
		began := time.Now()
		r.Group("g").MarkUsed()
		So(<-promoter.reasons, ShouldEqual, leadership.PrimaryUnreachable)
		// Two tries that time out show the silence.
		So(time.Since(began), ShouldBeLessThan, 2*controlTimeout+200*time.Millisecond)
	})
}

// While both replicas of a group lagged, each read was sent to both before it went to
// the primary: 23,000 of 87,000 statements in a day were answered that the log lacks the
// position.
func TestLacks(t *testing.T) {
	Convey("A target that lacked a position lacks those of the same age and younger ones for a moment", t, func() {
		target := NewTarget(catalog.Target{ID: "i-1"}, nowhere{})
		now := boottime.Now()
		So(target.LacksPosition(time.Second, now), ShouldBeFalse)
		target.ObserveLag(time.Second)
		now = boottime.Now()
		So(target.LacksPosition(time.Second, now), ShouldBeTrue)
		So(target.LacksPosition(500*time.Millisecond, now), ShouldBeTrue)
		So(target.LacksPosition(1100*time.Millisecond, now), ShouldBeFalse)
		So(target.LacksPosition(time.Second, now+lackCounts), ShouldBeFalse)
		target.ObserveCaughtUp(900 * time.Millisecond)
		So(target.LacksPosition(500*time.Millisecond, now), ShouldBeFalse)
	})
}
