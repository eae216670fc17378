package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/laburnumrack/laburnumrack/internal/conncheck"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
)

// clientStream is a TLS connection that carries units one after another.
type clientStream struct {
	conn    *connection
	tlsConn *tls.Conn
	in      *frameReader
	// number is the number of the last unit.
	number uint64

	// outMu guards out, which the unit's goroutine and Cancel use.
	outMu sync.Mutex
	out   *frameWriter
}

// send writes frames and flushes them.
func (s *clientStream) send(frames func(w *frameWriter) error) error {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	if err := frames(s.out); err != nil {
		return err
	}
	return s.out.flush()
}

// close closes the TCP connection without the close_notify alert of TLS, whose write
// could block on a failed peer.
func (s *clientStream) close() {
	_ = s.tlsConn.NetConn().Close()
}

// peerClosed reports whether the peer has closed the idle stream or sent unexpected data.
// It neither blocks nor consumes bytes.
func (s *clientStream) peerClosed() bool {
	return conncheck.Closed(s.tlsConn.NetConn())
}

// acquireStream returns an idle stream to vm or opens a new one. Its connection is busy
// until it is released.
func (c *Client) acquireStream(ctx context.Context, vm fleet.VM) (*clientStream, error) {
	conn, err := c.checkedConnection(ctx, vm)
	if err != nil {
		return nil, err
	}
	for s := conn.takeIdle(); s != nil; s = conn.takeIdle() {
		if !s.peerClosed() {
			return s, nil
		}
		s.close()
	}
	s, err := c.dialStream(ctx, vm)
	if err != nil {
		conn.release()
		c.streamFailed(vm, conn)
		return nil, err
	}
	s.conn = conn
	return s, nil
}

// dialStream opens a stream to vm. The handshake completes only after the peer's server
// has accepted the connection.
func (c *Client) dialStream(ctx context.Context, vm fleet.VM) (*clientStream, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c.counters.streams.Inc()
	dialer := tls.Dialer{
		NetDialer: &net.Dialer{LocalAddr: c.localAddr},
		Config:    c.keys.clientConfig(ProtocolVersions),
	}
	conn, err := dialer.DialContext(ctx, "tcp", vm.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", vm.Name, err)
	}
	tlsConn := conn.(*tls.Conn)
	return &clientStream{tlsConn: tlsConn, in: newFrameReader(tlsConn), out: newFrameWriter(tlsConn)}, nil
}

// acceptUnitConns accepts the connections that carry units. They outlive ctx: a unit ends
// with its connection, so that a peer never receives a result that was caused only by the
// shutdown of this server.
func (s *Server) acceptUnitConns(ctx context.Context) error {
	for {
		conn, err := s.unitListener.Accept()
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return fmt.Errorf("accept connection for units: %w", err)
		}
		if !s.trackUnitConn(conn) {
			s.counters.refused.Inc()
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.untrackUnitConn(conn)
			s.serveUnitConn(context.WithoutCancel(ctx), conn)
		})
	}
}

// serveUnitConn authenticates the peer by the TLS handshake and serves the units on the
// connection.
func (s *Server) serveUnitConn(ctx context.Context, conn net.Conn) {
	tlsConn := tls.Server(conn, s.tlsConfig)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := tlsConn.HandshakeContext(handshakeCtx)
	cancel()
	if err != nil {
		s.counters.refused.Inc()
		_ = conn.Close()
		return
	}
	s.serveStream(ctx, unitStream{tlsConn})
}

// resettableStream is the server's view of a stream of either kind.
type resettableStream interface {
	io.ReadWriteCloser
	// reset aborts both directions of the stream.
	reset(code int)
}

// unitStream is a TLS connection that carries units. reset ignores the code.
type unitStream struct {
	*tls.Conn
}

func (t unitStream) reset(int) {
	_ = t.NetConn().Close()
}

// trackUnitConn registers a connection for Close. It returns false if the server has
// maxStreams connections already.
func (s *Server) trackUnitConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unitConns) >= maxStreams {
		return false
	}
	s.unitConns[conn] = struct{}{}
	return true
}

func (s *Server) untrackUnitConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.unitConns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}
