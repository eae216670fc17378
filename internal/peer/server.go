package peer

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/acceptloop"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Server runs the units of other daemons.
type Server struct {
	Name   string
	Opener stmtunit.Opener
	// OnPeerConnected is told of each daemon that connects; nil tells nobody.
	OnPeerConnected func(name string)
	// Objects and Intents answer the questions to a relay; nil if this daemon answers
	// none.
	Objects ObjectWatcher
	Intents IntentSource

	leaving atomic.Bool
	mu      sync.Mutex
	conns   map[*serverConn]struct{} // guarded by mu
	open    atomic.Int64
}

// serverConn is the connection of one entry.
type serverConn struct {
	server *Server
	wire   *wire

	mu    sync.Mutex
	units map[uint64]*served // guarded by mu
	ended chan struct{}
}

// served is one open unit. Its calls come one after the other.
type served struct {
	unit stmtunit.Unit
	mu   sync.Mutex
	// idle closes a transaction whose daemon rests, as one that is suspended does.
	idle *time.Timer
}

// unitIdleLimit is how long a transaction may rest at its home. The caller's daemon
// ends it after the configured time, which is shorter; this bounds the hold of a
// daemon that doesn't.
const unitIdleLimit = 8 * time.Second

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	acceptloop.Run(l, func(c net.Conn) { go s.serve(c) })
}

// Leave refuses new units and tells the entries.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		go c.tellLeaving()
	}
}

func (c *serverConn) tellLeaving() {
	// An entry that can't be told is refused when it opens a unit.
	_ = c.wire.write(response{Leaving: true})
}

// Abort closes all connections at once.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.wire.conn.Close()
	}
}

// Open returns how many units of other daemons are open.
func (s *Server) Open() int {
	return int(s.open.Load())
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	conn := &serverConn{server: s, wire: newWire(c), units: make(map[uint64]*served), ended: make(chan struct{})}
	if err := conn.greet(); err != nil {
		metrics.GetOrCreateCounter(`laburnumrack_peer_refused_total`).Inc()
		return
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*serverConn]struct{})
	}
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	if s.leaving.Load() {
		conn.tellLeaving()
	}
	conn.run()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (c *serverConn) greet() error {
	if err := c.wire.conn.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return err
	}
	var h hello
	if err := c.wire.read(&h); err != nil {
		return err
	}
	if err := c.wire.write(hello{Version: Version, Name: c.server.Name}); err != nil {
		return err
	}
	if h.Version != Version || h.To != c.server.Name {
		return fmt.Errorf("peer %q has version %d and asks for %q", h.Name, h.Version, h.To)
	}
	if c.server.OnPeerConnected != nil {
		c.server.OnPeerConnected(h.Name)
	}
	return c.wire.conn.SetReadDeadline(time.Time{})
}

// startTimeout bounds the wait for the first frame.
const startTimeout = 2 * time.Second

// run handles frames until the connection ends, then closes its units.
func (c *serverConn) run() {
	for {
		var r request
		if err := c.wire.read(&r); err != nil {
			break
		}
		c.handle(r)
	}
	close(c.ended)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, u := range c.units {
		delete(c.units, id)
		go c.close(u)
	}
}

func (c *serverConn) handle(r request) {
	switch {
	case r.Ping:
		go func() { _ = c.wire.write(response{}) }()
	case r.Watch != nil:
		go c.watch(r.Unit, *r.Watch)
	case r.Intents:
		go c.intents(r.Unit)
	case r.Close:
		if u := c.take(r.Unit); u != nil {
			go c.close(u)
		}
	case r.Call != nil:
		u, ok := c.find(r)
		if !ok {
			go func() { _ = c.wire.write(response{Unit: r.Unit, Reply: &stmtunit.Reply{Fate: stmtunit.NotRun}}) }()
			return
		}
		go c.call(u, r)
	}
}

// find returns the unit of a call, which is opened by its first.
func (c *serverConn) find(r request) (*served, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.units[r.Unit]; ok {
		return u, true
	}
	if r.Open == nil || c.server.leaving.Load() {
		return nil, false
	}
	u := &served{unit: c.server.Opener.Open(*r.Open)}
	c.server.open.Add(1)
	if r.Open.Begin == nil {
		return u, true
	}
	c.units[r.Unit] = u
	u.idle = time.AfterFunc(unitIdleLimit, func() {
		if c.take(r.Unit) != nil {
			c.close(u)
		}
	})
	return u, true
}

func (c *serverConn) take(id uint64) *served {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.units[id]
	delete(c.units, id)
	return u
}

func (c *serverConn) call(u *served, r request) {
	u.mu.Lock()
	if u.idle != nil {
		u.idle.Reset(unitIdleLimit)
	}
	reply := u.unit.Run(*r.Call)
	u.mu.Unlock()
	if u.idle == nil {
		c.close(u)
	}
	if err := c.wire.write(response{Unit: r.Unit, Reply: &reply}); err != nil {
		// The entry learns of it by the end of the connection.
		_ = c.wire.conn.Close()
	}
}

// close ends a unit after its running call.
func (c *serverConn) close(u *served) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idle != nil {
		u.idle.Stop()
	}
	u.unit.Close()
	c.server.open.Add(-1)
}
