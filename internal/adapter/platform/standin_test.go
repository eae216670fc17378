package platform

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/distribution"
	standin "github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// batch returns a batch of the statements in text.
func batch(t *testing.T, name, text string) command.Batch {
	all, faults := statement.Parse(text)
	if err := faults.Err(); err != nil {
		t.Fatal(err)
	}
	return command.Batch{Name: name, Statements: all}
}

// TestAgainstStandIn runs commands and the distribution over HTTP against the simulated
// platform. It guards against a command that is applied twice, or reported as failed,
// when the answer is lost after the change took effect.
func TestAgainstStandIn(t *testing.T) {
	Convey("Given a simulated platform", t, func() {
		p, err := standin.Start(standin.Config{Address: "127.0.0.1:0", EventsKept: 3, Seed: 1})
		So(err, ShouldBeNil)
		defer p.Close()
		c, err := New(Options{URL: p.URL()})
		So(err, ShouldBeNil)
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		e := command.NewExecutor(c, 1)

		Convey("a command whose answer is lost is applied once", func() {
			p.SetFaults(standin.Faults{LoseNext: 1})
			results, err := e.Run(ctx, batch(t, "a", "DECLARE READ POLICY p (MAX AGE 2s)"), command.SCRAM{})
			So(err, ShouldBeNil)
			So(results[0].Changed, ShouldBeTrue)
			So(p.Revision(), ShouldEqual, results[0].Version)
			p.SetFaults(standin.Faults{LoseNext: 1})
			_, err = e.Run(ctx, batch(t, "b", "DROP READ POLICY p"), command.SCRAM{})
			So(err, ShouldBeNil)
			_, err = c.Get(ctx, configuration.ReadPolicy{Name: "p"}.Key())
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
		})
		Convey("a conflict error contains the current object", func() {
			_, err := e.Run(ctx, batch(t, "a", "DECLARE REGION r (FAILURE DOMAIN d)"), command.SCRAM{})
			So(err, ShouldBeNil)
			key := configuration.Region{Name: "r"}.Key()
			_, err = c.Put(ctx, store.Object{Key: key, Value: []byte(`{}`)})
			var conflict *store.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Current.Version, ShouldEqual, p.Revision())
			So(errors.As(c.Delete(ctx, key, 77), &conflict), ShouldBeTrue)
			So(errors.Is(c.Delete(ctx, store.Key{Kind: store.KindRegion, Name: "x"}, 1), store.ErrNotFound), ShouldBeTrue)
		})
		Convey("a daemon follows changes and deletions beyond the retained events", func() {
			holder := configuration.NewHolder()
			syncer := distribution.New(c, holder, 1)
			ctx, stop := context.WithCancel(ctx)
			done := make(chan error, 1)
			go func() { done <- syncer.Run(ctx) }()
			<-syncer.Ready()
			for i, text := range []string{"DECLARE READ POLICY p (MAX AGE 2s)", "DECLARE READ POLICY q ()", "DROP READ POLICY p", "DECLARE READ POLICY q (PRIMARY ONLY)", "DROP READ POLICY q", "DECLARE READ POLICY r ()"} {
				_, err := e.Run(ctx, batch(t, fmt.Sprint("x", i), text), command.SCRAM{})
				So(err, ShouldBeNil)
			}
			for changed := holder.Changed(); holder.Current().LastChange < p.Revision(); changed = holder.Changed() {
				if holder.Current().LastChange < p.Revision() {
					<-changed
				}
			}
			So(holder.Current().Policies, ShouldHaveLength, 1)
			So(holder.Current().Policies, ShouldContainKey, "r")
			stop()
			So(errors.Is(<-done, context.Canceled), ShouldBeTrue)
		})
		Convey("an outage and a compacted watch return different errors", func() {
			for i := range 6 {
				_, err := e.Run(ctx, batch(t, fmt.Sprint("x", i), "DECLARE READ POLICY p ()"), command.SCRAM{})
				So(err, ShouldBeNil)
				_, err = e.Run(ctx, batch(t, fmt.Sprint("y", i), "DROP READ POLICY p"), command.SCRAM{})
				So(err, ShouldBeNil)
			}
			_, err := c.Watch(ctx, 1, time.Second, configuration.Kinds()...)
			So(errors.Is(err, store.ErrCompacted), ShouldBeTrue)
			p.SetFaults(standin.Faults{Outage: "unavailable"})
			_, err = c.List(ctx, configuration.Kinds()...)
			So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
			_, err = c.Put(ctx, store.Object{Key: store.Key{Kind: store.KindRegion, Name: "x"}, Value: []byte(`{}`)})
			So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
			So(errors.Is(err, store.ErrOutcomeUnknown), ShouldBeFalse)
		})
		Convey("VMs returns the list of VMs", func() {
			p.PutVM(store.VM{Name: "vm-1", Address: "127.0.0.1:7000", FailureDomain: "d", State: store.VMLive})
			vms, err := c.VMs(ctx)
			So(err, ShouldBeNil)
			So(len(vms), ShouldEqual, 1)
		})
	})
}
