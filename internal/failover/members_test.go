package failover

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
)

// unreachable is a dialer of targets that can't be reached.
type unreachable struct{}

func (unreachable) Dial(context.Context, string, string, string, string) (backend.Conn, error) {
	return nil, errors.New("target unreachable")
}

// Guards against members that are forgotten by a holder that does not know the configuration or
// the state of the targets.
func TestTrackMembers(t *testing.T) {
	ctx := context.Background()
	Convey("Given a holder, the recorded members of a group, and a new target in the list", t, func() {
		s := newFakeStore()
		c := &fakeClock{now: time.Hour}
		m := c.newManager(s, "a")
		So(m.Claim(ctx, true), ShouldBeNil)
		p := &Promoter{PromotionLock: m, Log: eventlog.New()}
		run, stop := context.WithCancel(ctx)
		defer stop()
		registry := backend.NewRegistry(run, backend.Dependencies{Dialer: unreachable{}, Promoter: p, PrimaryLease: primarylease.New(m), Log: eventlog.New()})
		registry.PutTarget(catalog.Target{ID: "t-3", Group: "g", Address: "10.0.0.3:1", Slots: 3})
		So(m.RecordMembers(ctx, map[string][]string{"g": {"t-1", "t-2"}}), ShouldBeNil)
		track := func() []string {
			So(p.TrackMembers(ctx, registry.Groups()), ShouldBeNil)
			return m.Members("g")
		}
		declare := func(syncReplicas int) {
			registry.Declare(&catalog.Configuration{Groups: map[string]catalog.GroupLimits{"g": {Name: "g", SyncReplicas: syncReplicas}}})
		}

		Convey("nothing changes and nothing is promoted before the first configuration", func() {
			So(track(), ShouldResemble, []string{"t-1", "t-2"})
			puts := s.puts
			So(p.Promote(ctx, registry.Group("g"), leadership.NoPrimaryFound, time.Minute), ShouldNotBeNil)
			So(s.puts, ShouldEqual, puts)
		})
		Convey("the target becomes a member, and those that have left stay while no primary answers", func() {
			declare(1)
			So(track(), ShouldResemble, []string{"t-1", "t-2", "t-3"})
			puts := s.puts
			So(track(), ShouldResemble, []string{"t-1", "t-2", "t-3"})
			So(s.puts, ShouldEqual, puts)
		})
		Convey("a group without synchronous replicas has no members", func() {
			declare(0)
			So(track(), ShouldBeEmpty)
		})
		Convey("the next holder knows the members", func() {
			b := c.newManager(s, "b")
			acquireUntilHeld(c, b, "g", 2)
			So(b.Members("g"), ShouldResemble, []string{"t-1", "t-2"})
		})
	})
}
