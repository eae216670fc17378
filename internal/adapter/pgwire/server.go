package pgwire

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"
)

const (
	logPrefix = "entry: "
	// startupReserveConns is the number of connections beyond Limits.Connections that are
	// accepted, for cancel requests and for refusals with an error message.
	startupReserveConns = 256
)

// Server serves caller connections. It is safe for concurrent use.
type Server struct {
	config      Config
	metrics     *serverMetrics
	decoySecret [32]byte
	memory      memoryBudget
	loggedIn    atomic.Int64
	draining    atomic.Bool
	// ctx is the context of all units of work; Close cancels it.
	ctx  context.Context
	stop context.CancelFunc

	mu            sync.Mutex
	listeners     map[net.Listener]struct{}
	conns         map[uint32]*conn
	drained       chan struct{} // closed when draining and all connections are closed
	drainedClosed bool
}

// ErrServerClosed is returned by Serve after Shutdown or Close.
var ErrServerClosed = errors.New("pgwire: server closed")

// New returns a server, which must be ended by Shutdown or Close. The error reports a
// missing field of config or a failed random source.
func New(config Config) (*Server, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:    config,
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[uint32]*conn),
		drained:   make(chan struct{}),
	}
	if _, err := rand.Read(s.decoySecret[:]); err != nil {
		return nil, fmt.Errorf("pgwire: generate random secret: %w", err)
	}
	s.memory.limit = int64(config.Limits.MemoryBytes)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.metrics = newServerMetrics(config.Metrics, s)
	go s.checkCallers()
	return s, nil
}

// Serve accepts connections until the listener fails, ctx ends or the server is shut
// down; in the last two cases it returns ErrServerClosed. It closes the listener when ctx
// ends. Accepted connections are served on after Serve returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return ErrServerClosed
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.removeListener(listener)
	for {
		nc, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(nc)
		case s.draining.Load() || ctx.Err() != nil:
			return ErrServerClosed
		case isTemporary(err):
			klog.Warningf(logPrefix+"failed to accept a connection: %v", err)
		default:
			return fmt.Errorf("pgwire: accept: %w", err)
		}
	}
}

func isTemporary(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

// accept starts the goroutine of one connection. If startupReserveConns are in use as
// well, or the server is shutting down, it closes the connection without an error
// message.
func (s *Server) accept(nc net.Conn) {
	s.metrics.accepted.Inc()
	c := newConn(s, nc)
	if !s.register(c) {
		s.metrics.dropped.Inc()
		_ = nc.Close()
		return
	}
	go c.serve()
}

// register adds the connection under an unused random process id. It returns false if the
// server is full or shutting down, or if the random source fails.
func (s *Server) register(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || len(s.conns) >= s.config.Limits.Connections+startupReserveConns {
		return false
	}
	for {
		var id [4]byte
		if _, err := rand.Read(id[:]); err != nil {
			return false
		}
		c.pid = binary.BigEndian.Uint32(id[:]) &^ (1 << 31)
		if _, taken := s.conns[c.pid]; !taken && c.pid != 0 {
			break
		}
	}
	s.conns[c.pid] = c
	return true
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
	s.closeIfDrained()
}

// closeIfDrained closes drained once the server is shutting down and has no connections.
// The caller must hold mu.
func (s *Server) closeIfDrained() {
	if s.draining.Load() && len(s.conns) == 0 && !s.drainedClosed {
		s.drainedClosed = true
		close(s.drained)
	}
}

// cancel requests cancellation of the running batch of a connection if the secret
// matches.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.metrics.cancelRequests.Inc()
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil && c.matchesCancelSecret(secret) {
		c.cancelRunning()
	}
}

// Shutdown stops accepting connections, closes idle ones with SQLSTATE 57P01, and waits
// until the others have finished their transactions. It interrupts no request: if ctx
// ends first, it returns the error of ctx, and the remaining connections stay open until
// Close.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.startDraining() {
		c.wake()
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) startDraining() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for l := range s.listeners {
		_ = l.Close()
	}
	s.closeIfDrained()
	return s.allConnsLocked()
}

// Close closes all connections and cancels their running batches.
func (s *Server) Close() {
	defer s.stop()
	for _, c := range s.startDraining() {
		_ = c.raw.Close()
		c.cancelRunning()
	}
}
