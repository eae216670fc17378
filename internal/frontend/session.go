package frontend

import (
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// HomeFinder tells where the units of a group run.
type HomeFinder interface {
	// Openers returns the openers to ask for a group, best first.
	Openers(group string) []stmtunit.Opener
	// OtherDomainOpeners returns the homes of a group in other failure domains, nearest first.
	OtherDomainOpeners(group string) []stmtunit.Opener
}

// Limits of the state of one session.
const (
	maxValues   = 256
	maxPrepared = 1024
)

// Session is the state of one caller's session. One goroutine uses it.
type Session struct {
	ID       uint64
	Database string
	Caller   string

	configuration *catalog.Holder
	homes         HomeFinder
	log           *eventlog.Log

	environment query.Environment
	// seen is the end of the log after the session's last commit, seenAt the time
	// of that commit since boot.
	seen   position.Position
	seenAt time.Duration
	tx     *transaction
}

// transaction is the open transaction of a session.
type transaction struct {
	begin   query.Statement
	route   catalog.Route
	version uint64
	// unit is nil until the first statement has found a home.
	unit stmtunit.Unit
	// failed says that the transaction is over and the caller has to end it, untold
	// that the caller has not been told so yet.
	failed, untold bool
}

// sessionNumber makes the ids of this process's sessions differ.
var sessionNumber atomic.Uint64

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool {
	return s.tx != nil
}

func (s *Session) state() query.TxState {
	switch {
	case s.tx == nil:
		return query.Idle
	case s.tx.failed:
		return query.Failed
	default:
		return query.Open
	}
}

// Run runs one statement that was read at the given time since boot.
func (s *Session) Run(st query.Statement, arrived time.Duration) query.Answer {
	if s.tx != nil && s.tx.failed && st.Kind != query.Commit && st.Kind != query.Rollback {
		if s.tx.untold {
			s.tx.untold = false
			return query.Failure(query.Aborted, query.Failed, "the transaction was rolled back")
		}
		return query.Failure(query.Bad, query.Failed, "the transaction has failed and must be ended")
	}
	switch st.Kind {
	case query.Set, query.Prepare, query.Forget:
		return s.setLocal(st)
	case query.Begin:
		return s.begin(st)
	case query.Commit:
		return s.commit(st, arrived)
	case query.Rollback:
		s.end()
		return query.Success(query.Idle)
	case query.Read, query.Write, query.Execute:
		return s.runOnTarget(st, arrived)
	default:
		return query.Failure(query.Bad, s.state(), "unknown statement")
	}
}

// setLocal serves the statements that change the session only.
func (s *Session) setLocal(st query.Statement) query.Answer {
	switch st.Kind {
	case query.Set:
		if _, known := s.environment.Values[st.Name]; !known && len(s.environment.Values) >= maxValues {
			return query.Failure(query.Bad, s.state(), "too many session values")
		}
		s.environment.Values[st.Name] = st.Value
	case query.Prepare:
		if _, known := s.environment.Prepared[st.Name]; !known && len(s.environment.Prepared) >= maxPrepared {
			return query.Failure(query.Bad, s.state(), "too many prepared statements")
		}
		s.environment.Prepared[st.Name] = query.Prepared{Shape: st.Value, Writes: st.Writes}
	case query.Forget:
		delete(s.environment.Prepared, st.Name)
	}
	return query.Success(s.state())
}

// begin opens a transaction. A home hears of it with the first statement.
func (s *Session) begin(st query.Statement) query.Answer {
	if s.tx != nil {
		return query.Failure(query.Bad, s.state(), "a transaction is open")
	}
	route, version, code := s.configuration.Route(s.Database)
	if code != query.OK {
		return s.refuse(st, code, "no_route")
	}
	s.tx = &transaction{begin: st, route: route, version: version}
	return query.Success(query.Open)
}

func (s *Session) runOnTarget(st query.Statement, arrived time.Duration) query.Answer {
	if st.Kind == query.Execute {
		if _, ok := s.environment.Prepared[st.Name]; !ok {
			return query.Failure(query.NoStatement, s.state(), "no such prepared statement")
		}
	}
	if s.tx != nil {
		return s.runInTransaction(st, arrived)
	}
	route, version, code := s.configuration.Route(s.Database)
	if code != query.OK {
		return s.refuse(st, code, "no_route")
	}
	header := s.header(route, version)
	writes := s.environment.Writes(st)
	u, reply := s.open(header, st, arrived, !writes)
	if u != nil {
		u.Close()
	}
	return s.settle(st, reply, writes, query.Busy, "no_home")
}

// settle answers the last statement of a unit. notRun and reason are the refusal of one
// that no home took.
func (s *Session) settle(st query.Statement, reply stmtunit.Reply, writes bool, notRun query.Code, reason string) query.Answer {
	switch reply.Fate {
	case stmtunit.NotRun:
		return s.refuse(st, notRun, reason)
	case stmtunit.Lost:
		return s.unknown(st, writes)
	}
	s.committed(reply.Committed)
	reply.Answer.State = query.Idle
	return reply.Answer
}

func (s *Session) header(route catalog.Route, version uint64) stmtunit.Header {
	h := stmtunit.Header{Session: s.ID, Route: route, Version: version, Seen: s.seen}
	if !s.seen.IsZero() {
		h.SeenAge = boottime.Now() - s.seenAt
	}
	return h
}

// open runs the first statement of a unit at the first home that takes it. If
// repeatable, a home that is lost meanwhile is followed by the next. A home that is
// cut off is followed by those of other failure domains.
func (s *Session) open(h stmtunit.Header, st query.Statement, arrived time.Duration, repeatable bool) (stmtunit.Unit, stmtunit.Reply) {
	reply := stmtunit.Reply{Fate: stmtunit.NotRun}
	for _, o := range s.homes.Openers(h.Route.Group) {
		u := o.Open(h)
		reply = u.Run(s.call(st, arrived))
		if refusedCutOff(reply) {
			return s.openElsewhere(u, reply, h, st, arrived)
		}
		if reply.Fate == stmtunit.Answered {
			return u, reply
		}
		u.Close()
		requestmetrics.Retried(fateReason(reply.Fate))
		if reply.Fate == stmtunit.Lost && !repeatable {
			break
		}
	}
	return nil, reply
}

// openElsewhere runs the first statement of a unit, which the cut off home of u has
// refused, at the first home of another failure domain that is not cut off. Without
// one, the refusal stands.
func (s *Session) openElsewhere(u stmtunit.Unit, refusal stmtunit.Reply, h stmtunit.Header, st query.Statement, arrived time.Duration) (stmtunit.Unit, stmtunit.Reply) {
	for _, o := range s.homes.OtherDomainOpeners(h.Route.Group) {
		other := o.Open(h)
		reply := other.Run(s.call(st, arrived))
		if reply.Fate == stmtunit.NotRun || refusedCutOff(reply) {
			other.Close()
			continue
		}
		u.Close()
		requestmetrics.Retried("home_cut_off")
		s.log.Retry("home_cut_off", "request", st.ID, "group", h.Route.Group, "fate", fateReason(reply.Fate), "code", reply.Answer.Code.String())
		if reply.Fate == stmtunit.Lost {
			other.Close()
			return nil, reply
		}
		return other, reply
	}
	return u, refusal
}

// refusedCutOff reports whether a home kept nothing of a statement because it is cut
// off.
func refusedCutOff(r stmtunit.Reply) bool {
	return r.Fate == stmtunit.Answered && r.CutOff && (r.Answer.Code == query.Busy || r.Answer.Code == query.Aborted)
}

func (s *Session) call(st query.Statement, arrived time.Duration) stmtunit.Call {
	c := stmtunit.Call{Statement: st, Environment: query.Environment{Values: s.environment.Values}, Age: boottime.Now() - arrived}
	if st.Kind == query.Execute {
		c.Environment.Prepared = map[string]query.Prepared{st.Name: s.environment.Prepared[st.Name]}
	}
	return c
}

func (s *Session) runInTransaction(st query.Statement, arrived time.Duration) query.Answer {
	reply := s.callInTransaction(st, arrived)
	if reply.Fate != stmtunit.Answered {
		s.tx.failed = true
		return s.refuse(st, query.Aborted, fateReason(reply.Fate))
	}
	if reply.Answer.State != query.Open {
		s.tx.failed = true
		s.closeUnit()
	}
	reply.Answer.State = s.state()
	return reply.Answer
}

// callInTransaction runs a statement in the transaction's unit, which it opens if
// need be: nothing is kept of a transaction that is lost before its commit.
func (s *Session) callInTransaction(st query.Statement, arrived time.Duration) stmtunit.Reply {
	tx := s.tx
	if tx.unit != nil {
		return tx.unit.Run(s.call(st, arrived))
	}
	h := s.header(tx.route, tx.version)
	h.Begin = &tx.begin
	u, reply := s.open(h, st, arrived, st.Kind != query.Commit)
	tx.unit = u
	return reply
}

// commit ends the transaction.
func (s *Session) commit(st query.Statement, arrived time.Duration) query.Answer {
	if s.tx == nil || s.tx.failed {
		s.end()
		return query.Failure(query.Aborted, query.Idle, "no transaction is open")
	}
	reply := s.callInTransaction(st, arrived)
	s.end()
	return s.settle(st, reply, true, query.Aborted, "home_not_run")
}

// committed notes the end of the log after a commit.
func (s *Session) committed(p position.Position) {
	if p.Compare(s.seen) > 0 {
		s.seen, s.seenAt = p, boottime.Now()
	}
}

func (s *Session) closeUnit() {
	if s.tx.unit != nil {
		s.tx.unit.Close()
		s.tx.unit = nil
	}
}

// end gives up the transaction, if one is open; it is rolled back.
func (s *Session) end() {
	if s.tx != nil {
		s.closeUnit()
		s.tx = nil
	}
}

// ExpireTransaction ends an open transaction that rested too long or stands in the way of a
// shutdown. Its next statement is answered with Aborted.
func (s *Session) ExpireTransaction(reason string) {
	if s.tx == nil || s.tx.failed {
		return
	}
	requestmetrics.Refused(reason)
	s.log.Failure("transaction_expired", "session", s.ID, "database", s.Database, "reason", reason)
	s.closeUnit()
	s.tx.failed, s.tx.untold = true, true
}

func fateReason(f stmtunit.Outcome) string {
	if f == stmtunit.Lost {
		return "home_lost"
	}
	return "home_not_run"
}

// group returns the group that the session's database leads to now, empty for none.
func (s *Session) group() string {
	r, _, _ := s.configuration.Route(s.Database)
	return r.Group
}

// refuse answers a statement of which nothing is kept.
func (s *Session) refuse(st query.Statement, code query.Code, reason string) query.Answer {
	requestmetrics.Refused(reason)
	s.log.Failure("refused", "request", st.ID, "database", s.Database, "group", s.group(), "reason", reason, "code", code.String(), "config_version", s.configuration.Version())
	return query.Failure(code, s.state(), "not run: "+reason)
}

// unknown answers a statement whose home was lost while it ran.
func (s *Session) unknown(st query.Statement, writes bool) query.Answer {
	requestmetrics.Unknown(fateReason(stmtunit.Lost))
	s.log.Failure("unknown", "request", st.ID, "database", s.Database, "group", s.group(), "reason", "home_lost", "writes", writes)
	if writes {
		return query.Failure(query.Unsure, s.state(), "may have run: home_lost")
	}
	return query.Failure(query.Busy, s.state(), "not kept: home_lost")
}
