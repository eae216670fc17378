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

// Handler answers one method of control calls. It may be called by many
// goroutines at once.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Server accepts connections of peers.
type Server struct {
	opener   wireunit.Opener
	handlers map[string]Handler
	counters *counters
	traffic  *traffic
	listener *quic.Listener
	streams  net.Listener
	tls      *tls.Config

	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
	// open holds the connections that carry units.
	open map[net.Conn]struct{}
	wg   sync.WaitGroup
}

// Listen serves control calls on a UDP socket and units of work on a TCP listener
// at the same address. opener runs the units of peers; handlers answer control
// calls by method. The server closes both.
func Listen(socket net.PacketConn, streams net.Listener, keys *Keys, opener wireunit.Opener, handlers map[string]Handler, set *metrics.Set) (*Server, error) {
	listener, err := quic.Listen(socket, keys.server(ProtocolVersions), quicConfig(noUniStreams))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Server{
		opener:   opener,
		handlers: handlers,
		counters: newCounters(set),
		traffic:  newTraffic(set, "accepted"),
		listener: listener,
		streams:  streams,
		tls:      keys.server(ProtocolVersions),
		conns:    map[*quic.Conn]struct{}{},
		open:     map[net.Conn]struct{}{},
	}, nil
}

// Serve accepts connections until ctx ends or Close is called.
func (s *Server) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streams := make(chan error, 1)
	go func() { streams <- s.serveStreams(ctx) }()
	err := s.serveCalls(ctx)
	cancel()
	_ = s.streams.Close()
	return errors.Join(err, <-streams)
}

// serveCalls accepts the connections that carry control calls.
func (s *Server) serveCalls(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		s.counters.accepted.Inc()
		s.traffic.add(conn)
		s.track(conn)
		s.wg.Go(func() {
			defer s.untrack(conn)
			s.serveConn(conn)
		})
	}
}

// Shutdown tells every peer that this daemon leaves and waits until they have
// ended their connections, each after its last unit. It is called when no unit is
// open any more; what is left are answers on their way, so peers that are dead
// are not waited for longer than leaveTimeout.
func (s *Server) Shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s.mu.Lock()
	conns := make([]*quic.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		if err := sayLeaving(conn); err != nil {
			klog.V(1).Infof("peer: %s is not told that this daemon leaves: %v.", conn.RemoteAddr(), err)
			_ = conn.CloseWithError(codeNone, "shutting down")
		}
	}
	for _, conn := range conns {
		select {
		case <-conn.Context().Done():
		case <-ctx.Done():
			klog.Warningf("peer: Some peers did not end their connections.")
			return
		}
	}
}

// sayLeaving opens the one stream that a server opens; what it carries does not
// matter.
func sayLeaving(conn *quic.Conn) error {
	stream, err := conn.OpenUniStream()
	if err != nil {
		return err
	}
	if _, err := stream.Write([]byte{byte(kindClose)}); err != nil {
		return err
	}
	return stream.Close()
}

// Close ends all connections. Units that are still open are given up.
func (s *Server) Close() error {
	err := errors.Join(s.listener.Close(), ignoreClosed(s.streams.Close()))
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.CloseWithError(codeNone, "shutting down")
	}
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) track(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) untrack(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) serveConn(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(conn.Context(), quicStream{stream}) })
	}
}

// serveStream tells units of work and control calls apart by the first frame.
func (s *Server) serveStream(ctx context.Context, stream duplex) {
	st := &serverStream{
		server: s,
		stream: stream,
		in:     newReader(stream),
		out:    newWriter(stream),
	}
	err := st.run(ctx)
	switch {
	case err == nil:
		_ = stream.Close()
	case errors.Is(err, errUnexpected), errors.Is(err, errFrameTooLarge):
		s.counters.badData.Inc()
		klog.Warningf("peer: stream reset: %v", err)
		stream.reset(codeProtocol)
	default:
		stream.reset(codeGivenUp)
	}
}

// quicStream is a stream that carries a control call.
type quicStream struct {
	*quic.Stream
}

func (q quicStream) reset(code int) {
	reset(q.Stream, quic.StreamErrorCode(code))
}

func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
