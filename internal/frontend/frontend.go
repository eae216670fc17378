// Package frontend serves the sessions of callers.
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
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Conn is the connection of one caller. One goroutine uses it, but for
// SetReadDeadline and Close.
type Conn interface {
	ReadStart() (database, caller string, err error)
	ReadStatement() (query.Statement, error)
	Buffered() bool
	WriteReady() error
	WriteRefusal(code query.Code, message string) error
	WriteAnswer(a query.Answer) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
}

// Times of a session.
const (
	// startTimeout bounds the wait for the first message.
	startTimeout = 5 * time.Second
	// writeTimeout bounds the writing of an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// configurationWait bounds the wait of a first message for the first
	// configuration; callers give up a start after 2 s.
	configurationWait = 1500 * time.Millisecond
	// configurationPoll is the time between looks for it.
	configurationPoll = 20 * time.Millisecond
)

// Server accepts callers and runs their statements.
type Server struct {
	Homes         HomeFinder
	Configuration *catalog.Holder
	Log           *eventlog.Log
	// SessionBase makes the ids of sessions differ between daemons.
	SessionBase uint64
	// Wrap turns an accepted connection into a caller's.
	Wrap func(net.Conn) Conn

	mu       sync.Mutex
	sessions map[*session]struct{} // guarded by mu
	wg       sync.WaitGroup

	// leaving ends sessions as soon as they are idle; ending fails open
	// transactions too.
	leaving, ending atomic.Bool
}

// session is one connection.
type session struct {
	conn  Conn
	state *Session

	mu sync.Mutex
	// waiting says that the session waits for its caller.
	waiting bool // guarded by mu
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.sessions = make(map[*session]struct{})
	s.mu.Unlock()
	acceptloop.Run(l, func(c net.Conn) { s.wg.Go(func() { s.serve(s.Wrap(c)) }) })
}

func (s *Server) serve(c Conn) {
	defer func() {
		// The session is over; a failed close can't be acted on.
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
		ses.state.end()
	}()
	ended := s.run(ses)
	s.Log.Success("session_ended", "session", ses.state.ID, "database", ses.state.Database, "reason", ended.Error())
}

// start reads the first message and accepts or refuses the session.
func (s *Server) start(c Conn) (*session, error) {
	if err := c.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return nil, err
	}
	database, caller, err := c.ReadStart()
	if err != nil {
		return nil, fmt.Errorf("read start: %w", err)
	}
	s.awaitConfiguration()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, err
	}
	if _, _, code := s.Configuration.Route(database); code != query.OK {
		s.Log.Failure("session_refused", "database", database, "caller", caller, "code", code.String(), "configured", s.Configuration.Current() != nil)
		return nil, errors.Join(fmt.Errorf("no route to %q", database), c.WriteRefusal(code, "no route leads to this database"))
	}
	if err := c.WriteReady(); err != nil {
		return nil, err
	}
	return &session{conn: c, state: s.newSession(database, caller)}, nil
}

func (s *Server) newSession(database, caller string) *Session {
	return &Session{
		ID: s.SessionBase + sessionNumber.Add(1), Database: database, Caller: caller,
		configuration: s.Configuration, homes: s.Homes, log: s.Log,
		environment: query.Environment{Values: map[string]string{}, Prepared: map[string]query.Prepared{}},
	}
}

func (s *Server) awaitConfiguration() {
	limit := time.Now().Add(configurationWait)
	for s.Configuration.Current() == nil && time.Now().Before(limit) {
		time.Sleep(configurationPoll)
	}
}

// errLeaving says that the daemon ended the session because it shuts down.
var errLeaving = errors.New("daemon is leaving")

// run answers statements until the session ends, and returns why it did.
func (s *Server) run(ses *session) error {
	for {
		st, err := s.next(ses)
		if err != nil {
			return err
		}
		a := ses.state.Run(st, boottime.Now())
		if err := ses.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := ses.conn.WriteAnswer(a); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	}
}

// next reads the next statement. It expires a transaction that rests too long, and
// ends the session if the daemon leaves.
func (s *Server) next(ses *session) (query.Statement, error) {
	for {
		idleUntil, err := s.arm(ses)
		if err != nil {
			return query.Statement{}, err
		}
		st, err := ses.conn.ReadStatement()
		ses.setWaiting(false)
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return st, err
		}
		switch {
		case !ses.state.InTransaction():
			if s.leaving.Load() && !ses.conn.Buffered() {
				return query.Statement{}, errLeaving
			}
		case s.ending.Load():
			ses.state.ExpireTransaction("shutting_down")
		case !idleUntil.IsZero() && !time.Now().Before(idleUntil):
			ses.state.ExpireTransaction("transaction_idle")
		}
	}
}

// Looks of a daemon that leaves.
const (
	// lastLook is how long an idle session is still listened to, so that a
	// statement that is on its way is answered.
	lastLook = 20 * time.Millisecond
	// endingLook is how long a session may take to end its failed transaction.
	endingLook = 500 * time.Millisecond
)

// arm notes that the session waits for its caller and bounds the wait. It returns
// when an open transaction has rested too long; zero if nothing bounds it.
func (s *Server) arm(ses *session) (time.Time, error) {
	var idleUntil, deadline time.Time
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.waiting = true
	switch {
	case !ses.state.InTransaction():
		if s.leaving.Load() {
			deadline = time.Now().Add(lastLook)
		}
	case s.ending.Load():
		deadline = time.Now().Add(endingLook)
	default:
		if c := s.Configuration.Current(); c != nil && c.TransactionIdle > 0 {
			idleUntil = time.Now().Add(c.TransactionIdle)
			deadline = idleUntil
		}
	}
	return idleUntil, ses.conn.SetReadDeadline(deadline)
}

func (s *session) setWaiting(w bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = w
}

// wake makes a session that waits look at the server's state.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		// An error means that the connection is closed already.
		_ = s.conn.SetReadDeadline(time.Now().Add(lastLook))
	}
}

// Leave ends sessions that are idle, and others as soon as they are.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.wakeAll()
}

// EndTransactions fails the transactions that are open.
func (s *Server) EndTransactions() {
	s.ending.Store(true)
	s.wakeAll()
}

func (s *Server) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.sessions {
		ses.wake()
	}
}

// Abort closes all sessions at once.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.sessions {
		_ = ses.conn.Close()
	}
}

// Sessions returns how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Wait waits until all sessions have ended or ctx ends.
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
