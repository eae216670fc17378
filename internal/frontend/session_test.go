package frontend

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// home answers calls as its script says, by the text of the statement.
type home struct {
	fate map[string]stmtunit.Outcome
	// cutOff makes it refuse all calls, as it reaches neither store nor replicas.
	cutOff bool
	calls  []string
	seen   []position.Position
	open   int
}

func (h *home) Open(header stmtunit.Header) stmtunit.Unit {
	h.open++
	h.seen = append(h.seen, header.Seen)
	return &homeUnit{h, header}
}

type homeUnit struct {
	home   *home
	header stmtunit.Header
}

func (u *homeUnit) Run(c stmtunit.Call) stmtunit.Reply {
	u.home.calls = append(u.home.calls, c.Statement.Text)
	if u.home.cutOff {
		return stmtunit.Reply{Answer: query.Failure(query.Busy, query.Idle, "not run"), CutOff: true}
	}
	if f := u.home.fate[c.Statement.Text]; f != stmtunit.Answered {
		return stmtunit.Reply{Fate: f}
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

func (u *homeUnit) Close() { u.home.open-- }

// homesOf are the homes of the own failure domain and of others.
type homesOf struct{ own, others []*home }

func (h homesOf) Openers(string) []stmtunit.Opener { return openers(h.own) }

func (h homesOf) OtherDomainOpeners(string) []stmtunit.Opener { return openers(h.others) }

func openers(homes []*home) []stmtunit.Opener {
	var out []stmtunit.Opener
	for _, o := range homes {
		out = append(out, o)
	}
	return out
}

func sessionAt(homes ...*home) *Session {
	return sessionOf(homesOf{own: homes})
}

func sessionOf(homes homesOf) *Session {
	var c catalog.Holder
	c.Apply(&catalog.Configuration{Version: 1, Routes: map[string]catalog.Route{"db": {Database: "db", Group: "g"}}})
	s := &Server{Homes: homes, Configuration: &c, Log: eventlog.New()}
	return s.newSession("db", "caller")
}

func do(s *Session, k query.Kind, text string) query.Answer {
	return s.Run(query.Statement{ID: "1", Kind: k, Text: text, Writes: k == query.Write || k == query.Begin}, boottime.Now())
}

func TestLostHomes(t *testing.T) {
	Convey("A statement that a home did not take is run by the next", t, func() {
		first, second := &home{fate: map[string]stmtunit.Outcome{"w": stmtunit.NotRun}}, &home{}
		s := sessionAt(first, second)
		So(do(s, query.Write, "w").OK(), ShouldBeTrue)
		So(second.calls, ShouldResemble, []string{"w"})
		So(first.open+second.open, ShouldEqual, 0)
	})
	Convey("A read is run again if its home is lost, a write is not", t, func() {
		first, second := &home{fate: map[string]stmtunit.Outcome{"w": stmtunit.Lost, "r": stmtunit.Lost}}, &home{}
		s := sessionAt(first, second)
		So(do(s, query.Read, "r").OK(), ShouldBeTrue)
		So(do(s, query.Write, "w").Code, ShouldEqual, query.Unsure)
		So(second.calls, ShouldResemble, []string{"r"})
	})
	Convey("No home at all refuses at once", t, func() {
		first := &home{fate: map[string]stmtunit.Outcome{"r": stmtunit.NotRun}}
		So(do(sessionAt(first), query.Read, "r").Code, ShouldEqual, query.Busy)
	})
	Convey("A transaction begins elsewhere if its home is lost with the first statement, and is aborted later", t, func() {
		first, second := &home{fate: map[string]stmtunit.Outcome{"a": stmtunit.Lost}}, &home{fate: map[string]stmtunit.Outcome{"b": stmtunit.Lost}}
		s := sessionAt(first, second)
		So(do(s, query.Begin, "").State, ShouldEqual, query.Open)
		So(do(s, query.Write, "a").OK(), ShouldBeTrue)
		a := do(s, query.Write, "b")
		So(a.Code, ShouldEqual, query.Aborted)
		So(a.State, ShouldEqual, query.Failed)
		So(do(s, query.Read, "c").Code, ShouldEqual, query.Bad)
		So(do(s, query.Commit, "COMMIT").Code, ShouldEqual, query.Aborted)
		So(s.InTransaction(), ShouldBeFalse)
		So(first.open+second.open, ShouldEqual, 0)
	})
	Convey("A commit whose home is lost is unsure, and is not sent again", t, func() {
		first, second := &home{fate: map[string]stmtunit.Outcome{"COMMIT": stmtunit.Lost}}, &home{}
		s := sessionAt(first, second)
		do(s, query.Begin, "")
		do(s, query.Write, "a")
		a := do(s, query.Commit, "COMMIT")
		So(a.Code, ShouldEqual, query.Unsure)
		So(a.State, ShouldEqual, query.Idle)
		So(second.calls, ShouldBeEmpty)
	})
}

// A partition left the homes of a failure domain with the old primary of one group;
// callers there were refused for 3 s after other domains had found the new one.
func TestCutOffHome(t *testing.T) {
	Convey("A statement that a cut off home refused is run by a home of another failure domain", t, func() {
		own, cut, other := &home{cutOff: true}, &home{cutOff: true}, &home{}
		s := sessionOf(homesOf{own: []*home{own, {}}, others: []*home{cut, other}})
		So(do(s, query.Write, "w").OK(), ShouldBeTrue)
		So(do(s, query.Read, "r").OK(), ShouldBeTrue)
		So(other.calls, ShouldResemble, []string{"w", "r"})
		So(other.seen[1], ShouldResemble, position.Position{Term: 1, Index: 1})
		So(own.open+cut.open+other.open, ShouldEqual, 0)
	})
	Convey("A transaction begins there, and stays there", t, func() {
		own, other := &home{cutOff: true}, &home{}
		s := sessionOf(homesOf{own: []*home{own}, others: []*home{other}})
		do(s, query.Begin, "")
		So(do(s, query.Write, "a").OK(), ShouldBeTrue)
		own.cutOff = false
		So(do(s, query.Write, "b").OK(), ShouldBeTrue)
		So(do(s, query.Commit, "COMMIT").OK(), ShouldBeTrue)
		So(other.calls, ShouldResemble, []string{"a", "b", "COMMIT"})
		So(own.open+other.open, ShouldEqual, 0)
	})
	Convey("Where all are cut off, the refusal stands", t, func() {
		own, cut := &home{cutOff: true}, &home{cutOff: true}
		s := sessionOf(homesOf{own: []*home{own}, others: []*home{cut, {fate: map[string]stmtunit.Outcome{"w": stmtunit.NotRun}}}})
		So(do(s, query.Write, "w").Code, ShouldEqual, query.Busy)
		So(own.open+cut.open, ShouldEqual, 0)
	})
	Convey("A write that is lost there is not sent again", t, func() {
		own, lost, other := &home{cutOff: true}, &home{fate: map[string]stmtunit.Outcome{"w": stmtunit.Lost}}, &home{}
		s := sessionOf(homesOf{own: []*home{own}, others: []*home{lost, other}})
		So(do(s, query.Write, "w").Code, ShouldEqual, query.Unsure)
		So(other.calls, ShouldBeEmpty)
	})
}

func TestSessionState(t *testing.T) {
	Convey("A session carries the end of its last commit to its next unit", t, func() {
		h := &home{}
		s := sessionAt(h)
		do(s, query.Write, "w")
		do(s, query.Read, "r")
		So(h.seen, ShouldResemble, []position.Position{{}, {Term: 1, Index: 1}})
	})
	Convey("An expired transaction is told once, then has to be ended", t, func() {
		h := &home{}
		s := sessionAt(h)
		do(s, query.Begin, "")
		do(s, query.Write, "a")
		s.ExpireTransaction("transaction_idle")
		So(h.open, ShouldEqual, 0)
		So(do(s, query.Write, "b").Code, ShouldEqual, query.Aborted)
		So(do(s, query.Write, "c").Code, ShouldEqual, query.Bad)
		So(do(s, query.Rollback, "ROLLBACK").State, ShouldEqual, query.Idle)
		So(do(s, query.Write, "d").OK(), ShouldBeTrue)
	})
	Convey("The state of one session is bounded", t, func() {
		s := sessionAt(&home{})
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
