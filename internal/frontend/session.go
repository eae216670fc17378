package frontend

import (
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/membudget"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// HomeFinder finds the homes at which units of a group can be opened.
type HomeFinder interface {
	// Known reports whether the VMs of the fleet have been listed. Before that, Openers
	// returns only this daemon.
	Known() bool
	// Openers returns the homes of a group, most preferred first.
	Openers(group string) []stmtunit.Opener
	// OtherDomainOpeners returns the homes of a group in other failure domains, nearest
	// first.
	OtherDomainOpeners(group string) []stmtunit.Opener
}

// Limits on the entries of the state of one session.
const (
	maxValues   = 256
	maxPrepared = 1024
)

// Session is the state of one session: its values, prepared statements and open
// transaction. It must not be used concurrently.
type Session struct {
	ID       uint64
	Database string

	// key is the digest of the caller's key, zero if the caller sent none.
	key catalog.KeyDigest
	// tenant is the name of the tenant of the last unit, empty if it had none.
	tenant        string
	quota         QuotaLimiter
	tenants       *requestmetrics.Tenants
	confirmation  *catalog.Confirmation
	configuration *catalog.Holder
	homes         HomeFinder
	log           *eventlog.Log

	environment query.Environment
	// stateBytes is the size of environment that is taken from budget.
	stateBytes int64
	budget     *membudget.Budget
	// lastCommit is the end of the log after the session's last commit, and lastCommitAt
	// is when that was received, as time since boot.
	lastCommit   position.Position
	lastCommitAt time.Duration
	tx           *transaction
}

// transaction is the open transaction of a session.
type transaction struct {
	begin query.Statement
	// access is that of the unit; until it is opened, that of the begin.
	access access
	// unit is nil until the first statement runs at a home.
	unit stmtunit.Unit
	// failed is true if the transaction was rolled back and the caller must still end it;
	// unreported is true until the caller has been told of the rollback.
	failed, unreported bool
}

// lastSessionNumber counts the sessions of this process.
var lastSessionNumber atomic.Uint64

// InTransaction reports whether a transaction is open, also if it has failed.
func (s *Session) InTransaction() bool {
	return s.tx != nil
}

// toldOfRollback reports whether a transaction is open that was rolled back, and the caller
// has been told so.
func (s *Session) toldOfRollback() bool {
	return s.tx != nil && s.tx.failed && !s.tx.unreported
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

// Run runs one statement, which arrived at the given time since boot.
func (s *Session) Run(st query.Statement, arrived time.Duration) query.Answer {
	if s.isRevoked() {
		s.rollBackRevoked()
		return s.refuse(st, query.Unauthorized, reasonUnknownKey)
	}
	if fault := s.transactionFault(); fault != "" {
		s.ExpireTransaction(fault)
	}
	if st.Kind.UsesTarget() && s.isStale() {
		return s.refuseStale(st)
	}
	if s.tx != nil && s.tx.failed && !st.Kind.EndsTransaction() {
		if s.tx.unreported {
			s.tx.unreported = false
			return query.Failure(query.Aborted, query.Failed, "the transaction was rolled back")
		}
		return query.Failure(query.Bad, query.Failed, "the transaction has failed and must be ended")
	}
	switch st.Kind {
	case query.Set, query.Prepare, query.Forget:
		return s.runLocal(st)
	case query.Begin:
		return s.begin(st)
	case query.Commit:
		return s.commit(st, arrived)
	case query.Rollback:
		s.endTransaction()
		return query.Success(query.Idle)
	case query.Read, query.Write, query.Execute:
		return s.runOnTarget(st, arrived)
	default:
		return query.Failure(query.Bad, s.state(), "unknown statement")
	}
}

// runLocal runs a statement that changes only the state of the session.
func (s *Session) runLocal(st query.Statement) query.Answer {
	switch st.Kind {
	case query.Set:
		return s.setValue(st)
	case query.Prepare:
		return s.prepare(st)
	default:
		return s.forget(st)
	}
}

// begin opens a transaction. Its unit is opened with the first statement.
func (s *Session) begin(st query.Statement) query.Answer {
	if s.tx != nil {
		return query.Failure(query.Bad, s.state(), "a transaction is already open")
	}
	a, code := s.lookUpAccess()
	if code != query.OK {
		return s.refuse(st, code, accessReason(code))
	}
	s.tx = &transaction{begin: st, access: a}
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
	a, code := s.lookUpAccess()
	if code != query.OK {
		return s.refuse(st, code, accessReason(code))
	}
	if refusal, refused := s.admit(st, a); refused {
		return refusal
	}
	header := s.header(a)
	writes := s.environment.Writes(st)
	u, reply := s.openUnit(header, st, arrived, !writes)
	s.countRefusal(reply)
	if u != nil {
		u.Close()
	}
	return s.finishUnit(st, reply, writes, query.Busy, "no_home")
}

// finishUnit returns the answer to the last statement of a unit. notRun and reason are the
// refusal if no home ran the statement.
func (s *Session) finishUnit(st query.Statement, reply stmtunit.Reply, writes bool, notRun query.Code, reason string) query.Answer {
	switch reply.Outcome {
	case stmtunit.NotRun:
		return s.refuse(st, notRun, reason)
	case stmtunit.Lost:
		return s.answerUnknown(st, writes)
	}
	s.recordCommit(reply.Committed)
	reply.Answer.State = query.Idle
	return reply.Answer
}

// lookUpAccess returns the session's access in the configuration in force. The code is that
// of the function lookUpAccess.
func (s *Session) lookUpAccess() (access, query.Code) {
	a, code := lookUpAccess(s.configuration.Current(), s.Database, s.key)
	s.tenant = a.tenant.Name
	return a, code
}

func (s *Session) header(a access) stmtunit.Header {
	h := stmtunit.Header{Session: s.ID, Tenant: a.tenant.Name, Key: a.key, Route: a.route, Version: a.version, Seen: s.lastCommit}
	if !s.lastCommit.IsZero() {
		h.SeenAge = boottime.Now() - s.lastCommitAt
	}
	return h
}

// openUnit opens a unit and runs its first statement at the first home that accepts it. If
// a home is lost during the statement, the next home is tried only if the statement is
// repeatable. If a home refuses because it is cut off, homes of other failure domains are
// tried. The unit is nil if no home ran the statement or its outcome is unknown.
func (s *Session) openUnit(h stmtunit.Header, st query.Statement, arrived time.Duration, repeatable bool) (stmtunit.Unit, stmtunit.Reply) {
	reply := stmtunit.Reply{Outcome: stmtunit.NotRun}
	for _, o := range s.homes.Openers(h.Route.Group) {
		u := o.Open(h)
		reply = u.Run(s.newCall(st, arrived))
		if isRefusedByCutOffHome(reply) {
			return s.openInOtherDomain(u, reply, h, st, arrived)
		}
		if reply.Outcome == stmtunit.Answered {
			return u, reply
		}
		u.Close()
		requestmetrics.Retried(outcomeReason(reply.Outcome))
		if reply.Outcome == stmtunit.Lost && !repeatable {
			break
		}
	}
	return nil, reply
}

// openInOtherDomain runs the first statement of a unit at the first home of another failure
// domain that isn't cut off. u is the unit at the cut-off home and refusal is its reply;
// both are returned if there is no such home.
func (s *Session) openInOtherDomain(u stmtunit.Unit, refusal stmtunit.Reply, h stmtunit.Header, st query.Statement, arrived time.Duration) (stmtunit.Unit, stmtunit.Reply) {
	for _, o := range s.homes.OtherDomainOpeners(h.Route.Group) {
		other := o.Open(h)
		reply := other.Run(s.newCall(st, arrived))
		if reply.Outcome == stmtunit.NotRun || isRefusedByCutOffHome(reply) {
			other.Close()
			continue
		}
		u.Close()
		requestmetrics.Retried("home_cut_off")
		s.log.Retry("home_cut_off", "request", st.ID, "group", h.Route.Group, "fate", outcomeReason(reply.Outcome), "code", reply.Answer.Code.String())
		if reply.Outcome == stmtunit.Lost {
			other.Close()
			return nil, reply
		}
		return other, reply
	}
	return u, refusal
}

// isRefusedByCutOffHome reports whether a home refused a statement, without any effect,
// because it is cut off.
func isRefusedByCutOffHome(r stmtunit.Reply) bool {
	return r.Outcome == stmtunit.Answered && r.CutOff && (r.Answer.Code == query.Busy || r.Answer.Code == query.Aborted)
}

func (s *Session) newCall(st query.Statement, arrived time.Duration) stmtunit.Call {
	c := stmtunit.Call{Statement: st, Environment: query.Environment{Values: s.environment.Values}, Age: boottime.Now() - arrived}
	if st.Kind == query.Execute {
		c.Environment.Prepared = map[string]query.Prepared{st.Name: s.environment.Prepared[st.Name]}
	}
	return c
}

func (s *Session) runInTransaction(st query.Statement, arrived time.Duration) query.Answer {
	reply := s.runInUnit(st, arrived)
	if reply.Outcome != stmtunit.Answered {
		s.tx.failed = true
		return s.refuse(st, query.Aborted, outcomeReason(reply.Outcome))
	}
	if reply.Answer.State != query.Open {
		s.tx.failed = true
		s.closeUnit()
	}
	reply.Answer.State = s.state()
	return reply.Answer
}

// refusedFirst returns the reply for a refused first statement of a transaction, which fails
// the transaction.
func refusedFirst(a query.Answer) stmtunit.Reply {
	a.State = query.Failed
	return stmtunit.Reply{Answer: a}
}

// transactionTenant returns the tenant of the open transaction, empty if there is none.
func (s *Session) transactionTenant() string {
	if s.tx == nil {
		return ""
	}
	return s.tx.access.tenant.Name
}

// rollBackRevoked rolls back the open transaction, if any, because the session's key was
// revoked.
func (s *Session) rollBackRevoked() {
	if s.tx == nil {
		return
	}
	if !s.tx.failed {
		requestmetrics.Refused(reasonKeyRevoked)
		s.log.Failure("transaction_expired", "session", s.ID, "database", s.Database, "reason", reasonKeyRevoked, "tenant", s.tx.access.tenant.Name)
	}
	s.endTransaction()
}

// runInUnit runs a statement in the unit of the open transaction, and opens the unit first
// if there is none. Until the commit the first statement is repeatable, because a lost
// transaction leaves no changes.
func (s *Session) runInUnit(st query.Statement, arrived time.Duration) stmtunit.Reply {
	tx := s.tx
	if tx.unit != nil {
		reply := tx.unit.Run(s.newCall(st, arrived))
		s.countRefusal(reply)
		return reply
	}
	if c := s.configuration.Current(); c != nil && c.Tenants != nil || tx.access.tenant.Name != "" {
		// The key may have moved to another tenant since the begin.
		a, code := s.lookUpAccess()
		if code != query.OK {
			return refusedFirst(s.refuse(st, code, accessReason(code)))
		}
		tx.access = a
	}
	if refusal, refused := s.admit(st, tx.access); refused {
		return refusedFirst(refusal)
	}
	h := s.header(tx.access)
	h.Begin = &tx.begin
	u, reply := s.openUnit(h, st, arrived, st.Kind != query.Commit)
	s.countRefusal(reply)
	tx.unit = u
	return reply
}

// commit commits the open transaction.
func (s *Session) commit(st query.Statement, arrived time.Duration) query.Answer {
	if s.tx == nil || s.tx.failed {
		s.endTransaction()
		return query.Failure(query.Aborted, query.Idle, "no transaction is open")
	}
	reply := s.runInUnit(st, arrived)
	s.endTransaction()
	return s.finishUnit(st, reply, true, query.Aborted, "home_not_run")
}

// recordCommit records the end of the log after a commit, if it is newer.
func (s *Session) recordCommit(p position.Position) {
	if p.Compare(s.lastCommit) > 0 {
		s.lastCommit, s.lastCommitAt = p, boottime.Now()
	}
}

func (s *Session) closeUnit() {
	if s.tx.unit != nil {
		s.tx.unit.Close()
		s.tx.unit = nil
	}
}

// endTransaction discards the open transaction, if any, and closes its unit, which rolls
// back what is not committed.
func (s *Session) endTransaction() {
	if s.tx != nil {
		s.closeUnit()
		s.tx = nil
	}
}

// ExpireTransaction rolls back the open transaction, if any, because it was idle for too
// long or delays a shutdown. The next statement is answered with code Aborted.
func (s *Session) ExpireTransaction(reason string) {
	if s.tx == nil || s.tx.failed {
		return
	}
	requestmetrics.Refused(reason)
	s.log.Failure("transaction_expired", "session", s.ID, "database", s.Database, "reason", reason)
	s.closeUnit()
	s.tx.failed, s.tx.unreported = true, true
}

func outcomeReason(o stmtunit.Outcome) string {
	if o == stmtunit.Lost {
		return "home_lost"
	}
	return "home_not_run"
}

// group returns the group of the session's database in the current configuration, empty if
// there is none.
func (s *Session) group() string {
	r, _, _ := s.configuration.Route(s.Database)
	return r.Group
}

// refuse returns the answer to a statement that had no effect.
func (s *Session) refuse(st query.Statement, code query.Code, reason string) query.Answer {
	return s.refuseWithMessage(st, code, reason, "not run: "+reason)
}

// reasonMessagesFull is the reason of a refusal when no memory is left for messages.
const reasonMessagesFull = "messages_full"

// RefuseDropped refuses a statement that was not kept. An open transaction goes on.
func (s *Session) RefuseDropped(e *DroppedError) query.Answer {
	return s.refuse(query.Statement{ID: e.ID}, query.Busy, reasonMessagesFull)
}

// refuseWithMessage counts and logs a refusal and returns the answer with a message.
func (s *Session) refuseWithMessage(st query.Statement, code query.Code, reason, message string) query.Answer {
	requestmetrics.Refused(reason)
	attrs := []any{"request", st.ID, "database", s.Database, "group", s.group(), "reason", reason, "code", code.String(), "config_version", s.configuration.Version()}
	if s.tenant != "" {
		attrs = append(attrs, "tenant", s.tenant)
		if s.tenants != nil {
			s.tenants.Refused(s.tenant, reason)
		}
	}
	s.log.Failure("refused", attrs...)
	return query.Failure(code, s.state(), message)
}

// answerUnknown returns the answer to a statement whose home was lost during it. A write
// may have run; a read had no effect.
func (s *Session) answerUnknown(st query.Statement, writes bool) query.Answer {
	requestmetrics.Unknown(outcomeReason(stmtunit.Lost))
	s.log.Failure("unknown", "request", st.ID, "database", s.Database, "group", s.group(), "reason", "home_lost", "writes", writes)
	if writes {
		return query.Failure(query.Unsure, s.state(), "may have run: home_lost")
	}
	return query.Failure(query.Busy, s.state(), "not kept: home_lost")
}
