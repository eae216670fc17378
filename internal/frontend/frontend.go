// Package frontend serves the sessions of callers. It accepts their connections, keeps the
// state of each session and sends statements to the homes of database groups.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/acceptloop"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/membudget"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
)

// Conn is a connection from a caller. It is used by one goroutine, except that
// SetReadDeadline and Close may be called by any goroutine.
type Conn interface {
	// ReadStart reads the first message. The key may be empty.
	ReadStart() (database, key string, err error)
	// ReadStatement reads the next statement. The error wraps a *DroppedError for one that was
	// read to its end but not kept.
	ReadStatement() (query.Statement, error)
	// Buffered reports whether bytes of the next message have arrived, or the caller has closed
	// the connection.
	Buffered() bool
	// WriteReady accepts the session.
	WriteReady() error
	// WriteRefusal refuses the session.
	WriteRefusal(code query.Code, message string) error
	// WriteAnswer writes the answer to a statement.
	WriteAnswer(a query.Answer) error
	// SetReadDeadline sets the deadline of reads; the zero time removes it.
	SetReadDeadline(t time.Time) error
	// SetWriteDeadline sets the deadline of writes; the zero time removes it.
	SetWriteDeadline(t time.Time) error
	// Close closes the connection.
	Close() error
}

// DroppedError is returned for a statement that was too large for the memory that is left for
// messages. The session can go on.
type DroppedError struct {
	// ID is the id that the caller gave the request.
	ID string
}

// Error implements error.
func (e *DroppedError) Error() string {
	return "no memory is left for statement " + e.ID
}

// Timeouts of a session.
const (
	// startTimeout limits the wait for the first message.
	startTimeout = 5 * time.Second
	// leavingStartTimeout is the same for a daemon that shuts down, so that a connection
	// without a first message does not hold up its exit.
	leavingStartTimeout = 200 * time.Millisecond
	// writeTimeout limits the write of an answer to a caller that doesn't read.
	writeTimeout = 10 * time.Second
	// configurationTimeout is how long a new session waits for the daemon's first
	// configuration. Callers abandon the start of a session after 2 s.
	configurationTimeout = 1500 * time.Millisecond
	// homesTimeout is how long a new session waits for the first list of VMs once there is
	// a configuration.
	homesTimeout = 500 * time.Millisecond
	// startPollInterval is the time between checks for the first configuration and list.
	startPollInterval = 20 * time.Millisecond
)

// Server accepts connections of callers and runs their statements. Set the exported fields
// before Serve.
type Server struct {
	Homes         HomeFinder
	Configuration *catalog.Holder
	Log           *eventlog.Log
	// SessionBase is added to the ids of sessions, to keep them distinct between daemons.
	SessionBase uint64
	// Quota limits the operations of tenants; nil means no limits.
	Quota QuotaLimiter
	// Confirmation, if not nil, makes the server refuse callers of routes that require a
	// key while the configuration is stale.
	Confirmation *catalog.Confirmation
	// Tenants counts the operations and refusals of tenants; it may be nil.
	Tenants *requestmetrics.Tenants
	// State limits the memory for the state of all sessions; nil means no limit.
	State *membudget.Budget
	// Wrap returns the Conn for an accepted connection.
	Wrap func(net.Conn) Conn

	mu       sync.Mutex
	sessions map[*sessionConn]struct{} // guarded by mu
	// starting holds the connections whose first message has not been read.
	starting map[Conn]struct{} // guarded by mu
	wg       sync.WaitGroup

	// leaving ends each session as soon as it has no open transaction; endingTransactions
	// also aborts open transactions.
	leaving, endingTransactions atomic.Bool
}

// sessionConn is a session together with the connection of its caller.
type sessionConn struct {
	conn  Conn
	state *Session

	mu sync.Mutex
	// waitingForCaller is true while the session reads the next statement.
	waitingForCaller bool // guarded by mu
	// transactionTenant is the tenant of the open transaction while the session reads the
	// next statement, empty if there is none.
	transactionTenant string // guarded by mu
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.sessions = make(map[*sessionConn]struct{})
	s.mu.Unlock()
	acceptloop.Run(l, func(c net.Conn) { s.wg.Go(func() { s.serve(s.Wrap(c)) }) })
}

func (s *Server) serve(c Conn) {
	defer func() {
		// The session has ended; an error of Close can't be handled.
		_ = c.Close()
	}()
	ses, err := s.start(c)
	if err != nil {
		metrics.GetOrCreateCounter(`laburnumrack_sessions_refused_total`).Inc()
		return
	}
	s.mu.Lock()
	s.sessions[ses] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, ses)
		s.mu.Unlock()
		ses.state.endTransaction()
		ses.state.releaseState()
	}()
	endReason := s.run(ses)
	s.Log.Success("session_ended", "session", ses.state.ID, "database", ses.state.Database, "reason", endReason.Error())
}

// start reads the first message and accepts or refuses the session.
func (s *Server) start(c Conn) (*sessionConn, error) {
	database, key, err := s.readStart(c)
	if err != nil {
		return nil, fmt.Errorf("read start message: %w", err)
	}
	var digest catalog.KeyDigest
	if key != "" {
		digest = catalog.DigestKey(key)
	}
	s.waitUntilPrepared()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, err
	}
	current := s.Configuration.Current()
	if isStale(current, s.Confirmation, database) {
		return nil, s.refuseStart(c, loggedDatabase(current, database), query.Busy, reasonStale)
	}
	if _, code := lookUpAccess(current, database, digest); code != query.OK {
		return nil, s.refuseStart(c, loggedDatabase(current, database), code, accessReason(code))
	}
	if err := c.WriteReady(); err != nil {
		return nil, err
	}
	return &sessionConn{conn: c, state: s.newSession(database, digest)}, nil
}

// readStart reads the first message. A connection without one ends soon after the server
// begins to leave.
func (s *Server) readStart(c Conn) (database, key string, err error) {
	s.mu.Lock()
	timeout := startTimeout
	if s.leaving.Load() {
		timeout = leavingStartTimeout
	}
	err = c.SetReadDeadline(time.Now().Add(timeout))
	if s.starting == nil {
		s.starting = make(map[Conn]struct{})
	}
	s.starting[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.starting, c)
		s.mu.Unlock()
	}()
	if err != nil {
		return "", "", err
	}
	return c.ReadStart()
}

// startMessages maps the reasons of refusals of a session to the messages for its caller.
var startMessages = map[string]string{
	reasonNoRoute: "no route to this database", reasonUnknownKey: "the key is unknown", reasonStale: "not run: " + reasonStale,
}

// refuseStart refuses a new session and returns the reason. database must be fit for the
// log.
func (s *Server) refuseStart(c Conn, database string, code query.Code, reason string) error {
	if reason != reasonNoRoute {
		requestmetrics.Refused(reason)
	}
	s.Log.Failure("session_refused", "database", database, "code", code.String(), "reason", reason, "configured", s.Configuration.Current() != nil)
	return errors.Join(fmt.Errorf("session refused: %s", reason), c.WriteRefusal(code, startMessages[reason]))
}

func (s *Server) newSession(database string, key catalog.KeyDigest) *Session {
	return &Session{
		ID: s.SessionBase + lastSessionNumber.Add(1), Database: database, key: key,
		quota: s.Quota, tenants: s.Tenants, confirmation: s.Confirmation,
		configuration: s.Configuration, homes: s.Homes, log: s.Log, budget: s.State,
		environment: query.Environment{Values: map[string]string{}, Prepared: map[string]query.Prepared{}},
	}
}

// waitUntilPrepared waits until there is a configuration, at most for
// configurationTimeout, and then until the homes are known, at most for homesTimeout: a
// daemon that doesn't know the other VMs would act as home of every group, and the
// daemons of a fleet that starts at once would exceed the connection limits of the
// targets.
func (s *Server) waitUntilPrepared() {
	waitUntil(configurationTimeout, func() bool { return s.Configuration.Current() != nil })
	if s.Configuration.Current() != nil {
		waitUntil(homesTimeout, s.Homes.Known)
	}
}

// waitUntil polls condition until it holds, at most for timeout.
func waitUntil(timeout time.Duration, condition func() bool) {
	deadline := time.Now().Add(timeout)
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(startPollInterval)
	}
}

// errLeaving is the reason of a session that is ended because the daemon shuts down.
var errLeaving = errors.New("daemon is leaving")

// run answers statements until the session ends and returns the reason.
func (s *Server) run(ses *sessionConn) error {
	for {
		st, err := s.readStatement(ses)
		var dropped *DroppedError
		if err != nil && !errors.As(err, &dropped) {
			return err
		}
		told := ses.state.toldOfRollback()
		if s.endingTransactions.Load() && !st.Kind.EndsTransaction() {
			ses.state.ExpireTransaction("shutting_down")
		}
		var a query.Answer
		if dropped != nil {
			a = ses.state.RefuseDropped(dropped)
		} else {
			a = ses.state.Run(st, boottime.Now())
		}
		if err := ses.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := ses.conn.WriteAnswer(a); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		if s.endsAfterAnswer(ses, told) {
			return errLeaving
		}
		if a.Code == query.Unauthorized && ses.state.isRevoked() {
			return errKeyRevoked
		}
	}
}

// endsAfterAnswer reports whether a session ends right after an answer because the daemon
// shuts down: its caller has no statement outstanding then, while one that is never idle for
// leaveReadTimeout always has one at some later moment. An open transaction may end first,
// but not one whose caller was told before that it was rolled back.
func (s *Server) endsAfterAnswer(ses *sessionConn, toldOfRollback bool) bool {
	if ses.state.InTransaction() {
		return toldOfRollback && s.endingTransactions.Load()
	}
	return s.leaving.Load() && !ses.conn.Buffered()
}

// readStatement reads the next statement. Meanwhile it expires a transaction that is idle
// for too long. It returns errLeaving if the daemon is shutting down and the session has no
// open transaction, and errKeyRevoked if the session's key was revoked and its caller has
// sent no statement.
func (s *Server) readStatement(ses *sessionConn) (query.Statement, error) {
	revoked := false
	idleSince := time.Now()
	for {
		idleUntil, err := s.setReadDeadline(ses, idleSince)
		if err != nil {
			return query.Statement{}, err
		}
		st, err := ses.conn.ReadStatement()
		ses.setWaitingForCaller(false)
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return st, err
		}
		fault := ses.state.transactionFault()
		switch {
		case ses.state.isRevoked():
			ses.state.rollBackRevoked()
			// A statement that has arrived in part gets one more leaveReadTimeout.
			if revoked || !ses.conn.Buffered() {
				return query.Statement{}, errKeyRevoked
			}
			revoked = true
		case fault != "":
			ses.state.ExpireTransaction(fault)
		case !ses.state.InTransaction():
			if s.leaving.Load() && !ses.conn.Buffered() {
				return query.Statement{}, errLeaving
			}
		case s.endingTransactions.Load():
			ses.state.ExpireTransaction("shutting_down")
		case !idleUntil.IsZero() && !time.Now().Before(idleUntil):
			ses.state.ExpireTransaction("transaction_idle")
		}
	}
}

// leaveReadDeadline returns the end of the wait for a statement of a session that ends.
func leaveReadDeadline() time.Time {
	return time.Now().Add(leaveReadTimeout)
}

// Read timeouts while the daemon is shutting down or a session's key is revoked.
const (
	// leaveReadTimeout is how long an idle session is still read, so that a statement
	// already in transit is answered.
	leaveReadTimeout = 20 * time.Millisecond
	// failedTransactionTimeout is how long a caller may take to end its aborted
	// transaction.
	failedTransactionTimeout = 500 * time.Millisecond
)

// setReadDeadline marks the session as waiting for its caller and sets the read deadline.
// idleSince is when the session began to wait. It returns the time at which an open
// transaction expires as idle, zero for none.
func (s *Server) setReadDeadline(ses *sessionConn, idleSince time.Time) (time.Time, error) {
	var idleUntil, deadline time.Time
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.waitingForCaller, ses.transactionTenant = true, ses.state.transactionTenant()
	switch {
	case ses.state.isRevoked(), ses.state.transactionFault() != "":
		deadline = leaveReadDeadline()
	case !ses.state.InTransaction():
		if s.leaving.Load() {
			deadline = leaveReadDeadline()
		}
	case s.endingTransactions.Load():
		deadline = time.Now().Add(failedTransactionTimeout)
	case ses.state.state() == query.Open:
		if c := s.Configuration.Current(); c != nil && c.TransactionIdle > 0 {
			idleUntil = idleSince.Add(c.TransactionIdle)
			deadline = idleUntil
		}
	}
	return idleUntil, ses.conn.SetReadDeadline(deadline)
}

func (s *sessionConn) setWaitingForCaller(w bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingForCaller = w
}

// wake shortens the read deadline of a waiting session, so that it notices a change of the
// server's state.
func (s *sessionConn) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingForCaller {
		// An error means that the connection is already closed.
		_ = s.conn.SetReadDeadline(leaveReadDeadline())
	}
}

// Leave ends idle sessions, and all others after their next answer outside a transaction.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.wakeWaitingSessions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.starting {
		// An error means that the connection is already closed.
		_ = c.SetReadDeadline(time.Now().Add(leavingStartTimeout))
	}
}

// EndTransactions aborts all open transactions, except for those that are committed next.
func (s *Server) EndTransactions() {
	s.endingTransactions.Store(true)
	s.wakeWaitingSessions()
}

func (s *Server) wakeWaitingSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.sessions {
		ses.wake()
	}
}

// Abort closes the connections of all sessions immediately.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.sessions {
		_ = ses.conn.Close()
	}
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Wait waits until all sessions have ended. It returns an error if ctx ends first.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d sessions are still open: %w", s.Sessions(), ctx.Err())
	}
}
