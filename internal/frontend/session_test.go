package frontend

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// fakeHome is a home that returns the outcome configured for the text of a statement.
type fakeHome struct {
	outcomes map[string]stmtunit.Outcome
	// cutOff makes the home refuse all calls, like one that reaches neither the store nor
	// replicas.
	cutOff bool
	// refusal, if not empty, is the reason for which the home refuses all calls.
	refusal     string
	calls       []string
	lastCommits []position.Position
	headers     []stmtunit.Header
	// openUnits is atomic, because sessions end in the background.
	openUnits atomic.Int64
	// entered and proceed, if not nil, stop a call until proceed is closed.
	entered, proceed chan struct{}
}

// units returns the number of open units.
func (h *fakeHome) units() int { return int(h.openUnits.Load()) }

func (h *fakeHome) Open(header stmtunit.Header) stmtunit.Unit {
	h.openUnits.Add(1)
	h.headers = append(h.headers, header)
	h.lastCommits = append(h.lastCommits, header.Seen)
	return &fakeUnit{h, header}
}

type fakeUnit struct {
	home   *fakeHome
	header stmtunit.Header
}

func (u *fakeUnit) Run(c stmtunit.Call) stmtunit.Reply {
	u.home.calls = append(u.home.calls, c.Statement.Text)
	if u.home.entered != nil {
		close(u.home.entered)
		<-u.home.proceed
	}
	if u.home.cutOff {
		return stmtunit.Reply{Answer: query.Failure(query.Busy, query.Idle, "not run"), CutOff: true}
	}
	if u.home.refusal != "" {
		return stmtunit.Reply{Answer: query.Failure(query.Busy, query.Idle, "not run: "+u.home.refusal), Reason: u.home.refusal}
	}
	if f := u.home.outcomes[c.Statement.Text]; f != stmtunit.Answered {
		return stmtunit.Reply{Outcome: f}
	}
	r := stmtunit.Reply{Answer: query.Answer{Signature: "sig", State: query.Idle}}
	if u.header.Begin != nil {
		r.Answer.State = query.Open
	}
	if c.Statement.Writes || c.Statement.Kind == query.Commit {
		r.Committed = position.Position{Term: 1, Index: uint64(len(u.home.calls))}
	}
	return r
}

func (u *fakeUnit) Close() { u.home.openUnits.Add(-1) }

// fakeHomeFinder returns homes of the own failure domain and of others.
type fakeHomeFinder struct{ own, others []*fakeHome }

func (h fakeHomeFinder) Known() bool { return true }

func (h fakeHomeFinder) Openers(string) []stmtunit.Opener { return openers(h.own) }

func (h fakeHomeFinder) OtherDomainOpeners(string) []stmtunit.Opener { return openers(h.others) }

func openers(homes []*fakeHome) []stmtunit.Opener {
	var out []stmtunit.Opener
	for _, o := range homes {
		out = append(out, o)
	}
	return out
}

func newTestSession(homes ...*fakeHome) *Session {
	return newTestSessionWithFinder(fakeHomeFinder{own: homes})
}

func newTestSessionWithFinder(homes fakeHomeFinder) *Session {
	var c catalog.Holder
	c.Apply(&catalog.Configuration{Version: 1, Routes: map[string]catalog.Route{"db": {Database: "db", Group: "g"}}})
	s := &Server{Homes: homes, Configuration: &c, Log: eventlog.New()}
	return s.newSession("db", catalog.KeyDigest{})
}

func runStatement(s *Session, k query.Kind, text string) query.Answer {
	return s.Run(query.Statement{ID: "1", Kind: k, Text: text, Writes: k == query.Write || k == query.Begin}, boottime.Now())
}

func TestLostHomes(t *testing.T) {
	Convey("A statement that a home did not run is sent to the next home", t, func() {
		first, second := &fakeHome{outcomes: map[string]stmtunit.Outcome{"w": stmtunit.NotRun}}, &fakeHome{}
		s := newTestSession(first, second)
		So(runStatement(s, query.Write, "w").OK(), ShouldBeTrue)
		So(second.calls, ShouldResemble, []string{"w"})
		So(first.units()+second.units(), ShouldEqual, 0)
	})
	Convey("A read is retried if its home is lost, a write is not", t, func() {
		first, second := &fakeHome{outcomes: map[string]stmtunit.Outcome{"w": stmtunit.Lost, "r": stmtunit.Lost}}, &fakeHome{}
		s := newTestSession(first, second)
		So(runStatement(s, query.Read, "r").OK(), ShouldBeTrue)
		So(runStatement(s, query.Write, "w").Code, ShouldEqual, query.Unsure)
		So(second.calls, ShouldResemble, []string{"r"})
	})
	Convey("A statement that no home runs is refused as busy", t, func() {
		first := &fakeHome{outcomes: map[string]stmtunit.Outcome{"r": stmtunit.NotRun}}
		So(runStatement(newTestSession(first), query.Read, "r").Code, ShouldEqual, query.Busy)
	})
	Convey("A transaction moves to the next home if its home is lost during the first statement, and is aborted if lost later", t, func() {
		first, second := &fakeHome{outcomes: map[string]stmtunit.Outcome{"a": stmtunit.Lost}}, &fakeHome{outcomes: map[string]stmtunit.Outcome{"b": stmtunit.Lost}}
		s := newTestSession(first, second)
		So(runStatement(s, query.Begin, "").State, ShouldEqual, query.Open)
		So(runStatement(s, query.Write, "a").OK(), ShouldBeTrue)
		a := runStatement(s, query.Write, "b")
		So(a.Code, ShouldEqual, query.Aborted)
		So(a.State, ShouldEqual, query.Failed)
		So(runStatement(s, query.Read, "c").Code, ShouldEqual, query.Bad)
		So(runStatement(s, query.Commit, "COMMIT").Code, ShouldEqual, query.Aborted)
		So(s.InTransaction(), ShouldBeFalse)
		So(first.units()+second.units(), ShouldEqual, 0)
	})
	Convey("A commit whose home is lost is answered with Unsure and not retried", t, func() {
		first, second := &fakeHome{outcomes: map[string]stmtunit.Outcome{"COMMIT": stmtunit.Lost}}, &fakeHome{}
		s := newTestSession(first, second)
		runStatement(s, query.Begin, "")
		runStatement(s, query.Write, "a")
		a := runStatement(s, query.Commit, "COMMIT")
		So(a.Code, ShouldEqual, query.Unsure)
		So(a.State, ShouldEqual, query.Idle)
		So(second.calls, ShouldBeEmpty)
	})
}

// A network partition left the homes of one failure domain with the old primary of a group.
// Callers there were refused for 3 s after other failure domains had found the new primary.
func TestCutOffHome(t *testing.T) {
	Convey("A statement refused by a cut-off home is run by a home of another failure domain", t, func() {
		own, cut, other := &fakeHome{cutOff: true}, &fakeHome{cutOff: true}, &fakeHome{}
		s := newTestSessionWithFinder(fakeHomeFinder{own: []*fakeHome{own, {}}, others: []*fakeHome{cut, other}})
		So(runStatement(s, query.Write, "w").OK(), ShouldBeTrue)
		So(runStatement(s, query.Read, "r").OK(), ShouldBeTrue)
		So(other.calls, ShouldResemble, []string{"w", "r"})
		So(other.lastCommits[1], ShouldResemble, position.Position{Term: 1, Index: 1})
		So(own.units()+cut.units()+other.units(), ShouldEqual, 0)
	})
	Convey("A transaction begun in another failure domain stays there", t, func() {
		own, other := &fakeHome{cutOff: true}, &fakeHome{}
		s := newTestSessionWithFinder(fakeHomeFinder{own: []*fakeHome{own}, others: []*fakeHome{other}})
		runStatement(s, query.Begin, "")
		So(runStatement(s, query.Write, "a").OK(), ShouldBeTrue)
		own.cutOff = false
		So(runStatement(s, query.Write, "b").OK(), ShouldBeTrue)
		So(runStatement(s, query.Commit, "COMMIT").OK(), ShouldBeTrue)
		So(other.calls, ShouldResemble, []string{"a", "b", "COMMIT"})
		So(own.units()+other.units(), ShouldEqual, 0)
	})
	Convey("If all homes are cut off, the refusal is returned", t, func() {
		own, cut := &fakeHome{cutOff: true}, &fakeHome{cutOff: true}
		s := newTestSessionWithFinder(fakeHomeFinder{own: []*fakeHome{own}, others: []*fakeHome{cut, {outcomes: map[string]stmtunit.Outcome{"w": stmtunit.NotRun}}}})
		So(runStatement(s, query.Write, "w").Code, ShouldEqual, query.Busy)
		So(own.units()+cut.units(), ShouldEqual, 0)
	})
	Convey("A write lost at a home of another failure domain is not retried", t, func() {
		own, lost, other := &fakeHome{cutOff: true}, &fakeHome{outcomes: map[string]stmtunit.Outcome{"w": stmtunit.Lost}}, &fakeHome{}
		s := newTestSessionWithFinder(fakeHomeFinder{own: []*fakeHome{own}, others: []*fakeHome{lost, other}})
		So(runStatement(s, query.Write, "w").Code, ShouldEqual, query.Unsure)
		So(other.calls, ShouldBeEmpty)
	})
}

func TestSessionState(t *testing.T) {
	Convey("The next unit of a session carries the position of its last commit", t, func() {
		h := &fakeHome{}
		s := newTestSession(h)
		runStatement(s, query.Write, "w")
		runStatement(s, query.Read, "r")
		So(h.lastCommits, ShouldResemble, []position.Position{{}, {Term: 1, Index: 1}})
	})
	Convey("An expired transaction is reported once as aborted, then must be ended", t, func() {
		h := &fakeHome{}
		s := newTestSession(h)
		runStatement(s, query.Begin, "")
		runStatement(s, query.Write, "a")
		s.ExpireTransaction("transaction_idle")
		So(h.units(), ShouldEqual, 0)
		So(runStatement(s, query.Write, "b").Code, ShouldEqual, query.Aborted)
		So(runStatement(s, query.Write, "c").Code, ShouldEqual, query.Bad)
		So(runStatement(s, query.Rollback, "ROLLBACK").State, ShouldEqual, query.Idle)
		So(runStatement(s, query.Write, "d").OK(), ShouldBeTrue)
	})
	Convey("The numbers of values and prepared statements of a session are limited", t, func() {
		s := newTestSession(&fakeHome{})
		for i := range maxValues + 10 {
			a := s.Run(query.Statement{Kind: query.Set, Name: fmt.Sprint(i), Value: "x"}, 0)
			So(a.OK(), ShouldEqual, i < maxValues)
		}
		for i := range maxPrepared + 10 {
			a := s.Run(query.Statement{Kind: query.Prepare, Name: fmt.Sprint(i), Value: "q"}, 0)
			So(a.OK(), ShouldEqual, i < maxPrepared)
		}
		So(s.Run(query.Statement{Kind: query.Set, Name: "1", Value: "again"}, 0).OK(), ShouldBeTrue)
	})
}

// Guards against a daemon that exceeds its memory: one session could keep 1,024 prepared
// statements of 1 MB.
func TestSizeOfSessionState(t *testing.T) {
	text := strings.Repeat("q", 1<<20-100)
	run := func(s *Session, k query.Kind, name, value string) query.Code {
		return s.Run(query.Statement{Kind: k, Name: name, Value: value}, 0).Code
	}
	Convey("The state of one session has a largest size, and keeps what fits", t, func() {
		s := newTestSession(&fakeHome{})
		for i := range 4 {
			So(run(s, query.Prepare, fmt.Sprint(i), text), ShouldEqual, query.OK)
		}
		So(run(s, query.Prepare, "4", text), ShouldEqual, query.Bad)
		So(run(s, query.Set, "value", text), ShouldEqual, query.Bad)
		So(run(s, query.Prepare, "3", text), ShouldEqual, query.OK)
		So(run(s, query.Forget, "0", ""), ShouldEqual, query.OK)
		So(run(s, query.Set, "value", text), ShouldEqual, query.OK)
	})
	Convey("The state of all sessions has a part of the memory, and gives it back when they end", t, func() {
		budget := NewStateBudget(20 << 20)
		first, second := newTestSession(&fakeHome{}), newTestSession(&fakeHome{})
		first.budget, second.budget = budget, budget
		for i := range 4 {
			So(run(first, query.Prepare, fmt.Sprint(i), text), ShouldEqual, query.OK)
		}
		So(run(second, query.Set, "a", text), ShouldEqual, query.OK)
		So(run(second, query.Set, "b", text), ShouldEqual, query.Busy)
		So(run(second, query.Set, "b", "small"), ShouldEqual, query.OK)
		first.releaseState()
		So(run(second, query.Set, "b", text), ShouldEqual, query.OK)
		second.releaseState()
		So(budget.Used(), ShouldEqual, int64(0))
	})
	Convey("A statement that was not kept is refused, and the transaction goes on", t, func() {
		s := newTestSession(&fakeHome{})
		a := s.RefuseDropped(&DroppedError{ID: "7"})
		So(a.Code, ShouldEqual, query.Busy)
		So(a.State, ShouldEqual, query.Idle)
		So(run(s, query.Begin, "", ""), ShouldEqual, query.OK)
		So(s.RefuseDropped(&DroppedError{ID: "8"}).State, ShouldEqual, query.Open)
	})
	Convey("A VM without a limit on its memory has no such budget", t, func() {
		So(NewStateBudget(0).Add(1<<40), ShouldBeTrue)
	})
}
