package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// Handler handles one method of control calls and returns the body of the reply. It must
// be safe for concurrent use.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Server accepts control calls and units of work from peers.
type Server struct {
	opener       wireunit.Opener
	handlers     map[string]Handler
	counters     *counters
	traffic      *traffic
	callListener *quic.Listener
	unitListener net.Listener
	tlsConfig    *tls.Config

	mu        sync.Mutex
	callConns map[*quic.Conn]struct{}
	// unitConns holds the connections that carry units.
	unitConns map[net.Conn]struct{}
	wg        sync.WaitGroup
}

// Listen returns a server for control calls on a UDP socket and units of work on a TCP
// listener at the same address. opener runs the units of peers; handlers maps the methods
// of control calls to their handlers. The server closes the socket and the listener. Call
// Serve to accept connections.
func Listen(socket net.PacketConn, unitListener net.Listener, keys *Keys, opener wireunit.Opener, handlers map[string]Handler, set *metrics.Set) (*Server, error) {
	listener, err := quic.Listen(socket, keys.serverConfig(ProtocolVersions), quicConfig(noUniStreams))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Server{
		opener:       opener,
		handlers:     handlers,
		counters:     newCounters(set),
		traffic:      newTraffic(set, "accepted"),
		callListener: listener,
		unitListener: unitListener,
		tlsConfig:    keys.serverConfig(ProtocolVersions),
		callConns:    map[*quic.Conn]struct{}{},
		unitConns:    map[net.Conn]struct{}{},
	}, nil
}

// Serve accepts connections until ctx ends or Close is called. It returns nil in both
// cases.
func (s *Server) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unitsDone := make(chan error, 1)
	go func() { unitsDone <- s.acceptUnitConns(ctx) }()
	err := s.acceptCallConns(ctx)
	cancel()
	_ = s.unitListener.Close()
	return errors.Join(err, <-unitsDone)
}

// acceptCallConns accepts the QUIC connections that carry control calls.
func (s *Server) acceptCallConns(ctx context.Context) error {
	for {
		conn, err := s.callListener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		s.counters.accepted.Inc()
		s.traffic.add(conn)
		s.trackCallConn(conn)
		s.wg.Go(func() {
			defer s.untrackCallConn(conn)
			s.serveCallConn(conn)
		})
	}
}

// Shutdown announces to every peer that this daemon is leaving and waits until the peers
// have closed their connections, each after its last unit. It must be called when no unit
// is open any more: only answers in transit are left then, so it waits for failed peers
// no longer than shutdownTimeout.
func (s *Server) Shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	s.mu.Lock()
	conns := make([]*quic.Conn, 0, len(s.callConns))
	for conn := range s.callConns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		if err := sendLeaving(conn); err != nil {
			klog.V(1).Infof("peer: announce shutdown to %s: %v", conn.RemoteAddr(), err)
			_ = conn.CloseWithError(codeNone, "shutting down")
		}
	}
	for _, conn := range conns {
		select {
		case <-conn.Context().Done():
		case <-ctx.Done():
			klog.Warningf("peer: some peers did not close their connections before the shutdown timeout")
			return
		}
	}
}

// sendLeaving opens the only stream that a server opens, which announces to the peer that
// the server is leaving. Its content has no meaning.
func sendLeaving(conn *quic.Conn) error {
	stream, err := conn.OpenUniStream()
	if err != nil {
		return err
	}
	if _, err := stream.Write([]byte{byte(kindClose)}); err != nil {
		return err
	}
	return stream.Close()
}

// Close closes all connections and waits for the goroutines that serve them. Units that
// are still open are aborted.
func (s *Server) Close() error {
	err := errors.Join(s.callListener.Close(), ignoreClosed(s.unitListener.Close()))
	s.mu.Lock()
	for conn := range s.callConns {
		_ = conn.CloseWithError(codeNone, "shutting down")
	}
	for conn := range s.unitConns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}

// ignoreClosed returns nil instead of net.ErrClosed.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) trackCallConn(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callConns[conn] = struct{}{}
}

func (s *Server) untrackCallConn(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callConns, conn)
}

// serveCallConn serves the control calls of one connection until it ends.
func (s *Server) serveCallConn(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(conn.Context(), callStream{stream}) })
	}
}

// serveStream serves one stream of either kind and closes it, or resets it after an
// error.
func (s *Server) serveStream(ctx context.Context, stream resettableStream) {
	st := &serverStream{
		server: s,
		stream: stream,
		in:     newFrameReader(stream),
		out:    newFrameWriter(stream),
	}
	err := st.run(ctx)
	switch {
	case err == nil:
		_ = stream.Close()
	case errors.Is(err, errUnexpectedFrame), errors.Is(err, errFrameTooLarge):
		s.counters.malformed.Inc()
		klog.Warningf("peer: protocol violation, stream reset: %v", err)
		stream.reset(codeProtocol)
	default:
		stream.reset(codeAborted)
	}
}

// callStream is a QUIC stream that carries a control call.
type callStream struct {
	*quic.Stream
}

func (s callStream) reset(code int) {
	reset(s.Stream, quic.StreamErrorCode(code))
}

// reset aborts both directions of a QUIC stream.
func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
