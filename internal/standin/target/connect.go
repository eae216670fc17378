package target

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

// serve handles one accepted connection until it is closed.
func (in *Instance) serve(conn net.Conn) {
	defer in.closeConn(conn)
	in.waitUntilThawed()
	backend := pgproto3.NewBackend(conn, &freezableWriter{instance: in, conn: conn})
	backend.SetMaxBodyLen(64 << 20)
	startup, err := in.readStartup(conn, backend)
	if err != nil || startup == nil {
		return
	}
	if startup.Parameters[replicationParameter] == replicationName {
		in.serveFollower(conn, startup)
		return
	}
	s, err := in.openSession(conn, backend, startup)
	if err != nil {
		backend.Send(errorResponse(err, "FATAL"))
		_ = backend.Flush()
		return
	}
	defer s.finish()
	s.run()
}

// closeConn closes conn and stops tracking it.
func (in *Instance) closeConn(conn net.Conn) {
	_ = conn.Close()
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.conns, conn)
}

// readStartup returns the startup message of a connection. It declines requests for
// encryption, and returns nil after it has processed a cancel request.
func (in *Instance) readStartup(conn net.Conn, backend *pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, nil
		case *pgproto3.CancelRequest:
			in.cancelSession(message)
			return nil, nil
		default:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

// cancelSession cancels the running statement of the session that the request names. It
// ignores requests with an unknown process ID or a wrong secret key.
func (in *Instance) cancelSession(request *pgproto3.CancelRequest) {
	in.lockThawed()
	s := in.sessions[request.ProcessID]
	in.mu.Unlock()
	if s == nil || s.secret != cancelSecret(request) {
		return
	}
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancelStatement != nil {
		s.cancelStatement()
	}
}

// openSession registers a session, waits for the connect delay and sends the startup
// response.
func (in *Instance) openSession(conn net.Conn, backend *pgproto3.Backend, startup *pgproto3.StartupMessage) (*session, error) {
	s := &session{
		instance:   in,
		conn:       conn,
		backend:    backend,
		pid:        in.nextPID.Add(1),
		secret:     rand.Uint32(),
		finished:   make(chan struct{}),
		settings:   map[string]string{"server_version": "16.0", "application_name": startup.Parameters["application_name"]},
		statements: map[string]*preparedStatement{},
		portals:    map[string]*portal{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	delay, err := in.registerSession(s)
	if err != nil {
		s.cancel()
		return nil, err
	}
	if err := (&execution{ctx: s.ctx}).sleep(delay); err != nil {
		s.finish()
		return nil, err
	}
	s.sendStartupResponse()
	return s, nil
}

// registerSession adds s to the sessions of the instance. It returns the connect delay,
// or an error if the instance is down or at its connection limit.
func (in *Instance) registerSession(s *session) (delay time.Duration, err error) {
	in.lockThawed()
	defer in.mu.Unlock()
	if in.down {
		return 0, errDown
	}
	if len(in.sessions) >= in.config.Connections {
		return 0, sqlErrorf(contract.SQLStateTooManyConnections, "sorry, too many clients already")
	}
	in.sessions[s.pid] = s
	s.fence = in.fence
	return in.faults.ConnectDelay, nil
}

// sendStartupResponse sends AuthenticationOk, the parameters and the cancellation key.
func (s *session) sendStartupResponse() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version":              "16.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"DateStyle":                   "ISO, MDY",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.backend.Send(s.backendKeyData())
	s.sendReadyForQuery()
}
