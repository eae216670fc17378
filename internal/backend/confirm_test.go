package backend

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// fixedIntents is a primarylease.Reader that returns one record, read at the time of the call,
// or with failing set an outdated one and an error.
type fixedIntents struct {
	record  primarylease.Record
	failing bool
}

func (f *fixedIntents) ReadIntents(context.Context) (primarylease.Record, error) {
	r := f.record
	if f.failing {
		return r, errors.New("store unavailable")
	}
	r.ReadStart = boottime.Now()
	return r, nil
}

// Guards against an old primary that acknowledges writes: the target that was promoted to
// term 2 was lost and left the list, the replicas in reach had not joined its term, and a
// daemon that had not seen the term confirmed the primary of term 1.
func TestConfirmAfterSuccessorLeft(t *testing.T) {
	point := store.Point{Era: store.AnnouncedEra(7), Revision: 5}
	record := func(called string) primarylease.Record {
		return primarylease.Record{
			Intents: map[string]position.Term{"g": 2}, Read: point, WrittenIn: point.Era,
			Called: map[string]string{"g": called}, RecordsCalls: true,
		}
	}
	start := func(intents *fixedIntents) (*Registry, *Group, *LeaderView) {
		r := newRegistry(t)
		r.Dialer, r.PrimaryLease = replicaDialer{}, primarylease.New(intents)
		r.listCompleteAt.Store(1)
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			r.PutTarget(catalog.Target{ID: id, Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: 3, Primary: id == "i-1"})
		}
		g := r.Group("g")
		return r, g, &LeaderView{Leader: leadership.Leader{ID: "i-1", Term: 1}, Target: g.FindTarget("i-1")}
	}
	drop := func(r *Registry, id string) {
		r.RemoveTarget(id)
		r.maintain(time.Now().Add(2 * unlistedRetention))
	}
	Convey("Given a promote call to term 2 and a primary of term 1", t, func() {
		Convey("the primary is deposed if the called target has left the list", func() {
			r, g, l := start(&fixedIntents{record: record("i-2")})
			drop(r, "i-2")
			So(g.Confirm(l), ShouldEqual, Deposed)
			So(g.KnownTerm(), ShouldEqual, position.Term(2))
		})
		Convey("it is confirmed while the called target answers and has not joined the term", func() {
			r, g, l := start(&fixedIntents{record: record("i-2")})
			drop(r, "i-3")
			So(g.Confirm(l), ShouldEqual, Confirmed)
		})
		Convey("it is deposed if the called target is not known", func() {
			_, g, l := start(&fixedIntents{record: record("")})
			So(g.Confirm(l), ShouldEqual, Deposed)
		})
		Convey("it is confirmed by the listed targets if an earlier release wrote the record", func() {
			older := record("i-2")
			older.Called, older.RecordsCalls = nil, false
			r, g, l := start(&fixedIntents{record: older})
			drop(r, "i-2")
			So(g.Confirm(l), ShouldEqual, Confirmed)
		})
		Convey("it is confirmed before the call is made", func() {
			before := record("i-3")
			before.Unused = []string{"g"}
			r, g, l := start(&fixedIntents{record: before})
			drop(r, "i-2")
			So(g.Confirm(l), ShouldEqual, Confirmed)
		})
		Convey("an outdated record tells of the call too", func() {
			outdated := record("i-2")
			outdated.ReadStart = boottime.Now()
			r, g, l := start(&fixedIntents{record: outdated, failing: true})
			drop(r, "i-2")
			So(g.Confirm(l), ShouldNotEqual, Confirmed)
		})
	})
	Convey("Without the store, the listed targets confirm a primary until one leaves the list", t, func() {
		r, g, l := start(&fixedIntents{record: primarylease.Record{ReadStart: boottime.Now(), Read: point, RecordsCalls: true}, failing: true})
		So(g.Confirm(l), ShouldEqual, Confirmed)
		drop(r, "i-2")
		So(g.Confirm(l), ShouldEqual, Unconfirmed)
	})
	Convey("Nor do they without any record", t, func() {
		_, g, l := start(&fixedIntents{failing: true})
		So(g.Confirm(l), ShouldEqual, Unconfirmed)
	})
}
