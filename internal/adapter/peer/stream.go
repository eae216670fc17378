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
	conn *connection
	tls  *tls.Conn
	in   *reader
	// number is that of the last unit.
	number uint64

	// outMu guards out between the unit's goroutine and Cancel.
	outMu sync.Mutex
	out   *writer
}

func (s *clientStream) send(frames func(w *writer) error) error {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	if err := frames(s.out); err != nil {
		return err
	}
	return s.out.flush()
}

func (s *clientStream) close() {
	// The notification that TLS sends on Close could wait for a dead peer.
	_ = s.tls.NetConn().Close()
}

// ended reports whether the peer has closed the stream, or sent what nobody asked
// for. It looks without waiting and without taking bytes off.
func (s *clientStream) ended() bool {
	return conncheck.Closed(s.tls.NetConn())
}

// stream takes an idle stream to vm, or opens one. Its connection counts as busy
// until its end is called.
func (c *Client) stream(ctx context.Context, vm fleet.VM) (*clientStream, error) {
	conn, err := c.checked(ctx, vm)
	if err != nil {
		return nil, err
	}
	for s := conn.takeIdle(); s != nil; s = conn.takeIdle() {
		if !s.ended() {
			return s, nil
		}
		s.close()
	}
	s, err := c.openStream(ctx, vm)
	if err != nil {
		conn.end()
		c.failed(vm, conn)
		return nil, err
	}
	s.conn = conn
	return s, nil
}

// openStream connects to the peer. The handshake ends only after the peer's server
// has accepted the connection.
func (c *Client) openStream(ctx context.Context, vm fleet.VM) (*clientStream, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c.counters.streams.Inc()
	dialer := tls.Dialer{
		NetDialer: &net.Dialer{LocalAddr: c.local},
		Config:    c.keys.client(ProtocolVersions),
	}
	conn, err := dialer.DialContext(ctx, "tcp", vm.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", vm.Name, err)
	}
	secure := conn.(*tls.Conn)
	return &clientStream{tls: secure, in: newReader(secure), out: newWriter(secure)}, nil
}

// serveStreams accepts the connections that carry units. They outlive ctx: what
// runs on them ends with the connection, so that a peer is never told of an end
// that only this server made.
func (s *Server) serveStreams(ctx context.Context) error {
	for {
		conn, err := s.streams.Accept()
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return fmt.Errorf("accept stream: %w", err)
		}
		if !s.trackStream(conn) {
			s.counters.refused.Inc()
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.untrackStream(conn)
			s.handshake(context.WithoutCancel(ctx), conn)
		})
	}
}

// handshake checks the peer before anything of it is read.
func (s *Server) handshake(ctx context.Context, conn net.Conn) {
	secure := tls.Server(conn, s.tls)
	limited, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := secure.HandshakeContext(limited)
	cancel()
	if err != nil {
		s.counters.refused.Inc()
		_ = conn.Close()
		return
	}
	s.serveStream(ctx, tcpStream{secure})
}

// duplex is what a stream of either kind is to the server.
type duplex interface {
	io.ReadWriteCloser
	// reset gives the stream up in both directions.
	reset(code int)
}

// tcpStream is a stream that carries units.
type tcpStream struct {
	*tls.Conn
}

func (t tcpStream) reset(int) {
	_ = t.NetConn().Close()
}

func (s *Server) trackStream(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxStreams {
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) untrackStream(conn net.Conn) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	_ = conn.Close()
}
