package peer

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/acceptloop"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Server runs units for other daemons. Set the exported fields before Serve.
type Server struct {
	Name   string
	Opener stmtunit.Opener
	// OnPeerConnected is called for each daemon that connects; it may be nil.
	OnPeerConnected func(peer Identity)
	// Objects and Intents answer the requests to a relay. They are nil if this daemon is no
	// relay.
	Objects ObjectWatcher
	Intents IntentSource
	// StoreIntents answers the requests of other relays from the store; it may be nil.
	StoreIntents IntentSource
	// Positions answers requests for positions of primaries; it may be nil.
	Positions PositionSource
	// Quotas answers requests for operations and tokens of tenants; it may be nil.
	Quotas QuotaSource
	// Log receives the requests of other releases that are not known here; it may be nil.
	Log *eventlog.Log
	// LinkMbps is the bandwidth of this VM's link in Mbit/s, 0 if it is not declared. A relay
	// paces the large pages that it sends by it.
	LinkMbps float64

	packed    packCache
	pages     pagePacer
	leaving   atomic.Bool
	mu        sync.Mutex
	conns     map[*serverConn]struct{} // guarded by mu
	openUnits atomic.Int64
}

// serverConn is a connection from another daemon.
type serverConn struct {
	server *Server
	frames *frameConn
	// peer is the name of the connected daemon.
	peer string
	// unknownLogged is set once a request of this connection was not known. Only the reading
	// goroutine uses it.
	unknownLogged bool

	mu    sync.Mutex
	units map[uint64]*servedUnit // guarded by mu
	done  chan struct{}
}

// servedUnit is an open unit. Its calls run one at a time.
type servedUnit struct {
	unit stmtunit.Unit
	mu   sync.Mutex
	// idleTimer closes a transaction whose client is idle, for example because its daemon is
	// suspended. It is nil for a unit of a single statement.
	idleTimer *time.Timer
}

// unitIdleTimeout is how long a transaction may be idle at its home. The caller's daemon
// ends an idle transaction after the configured time, which is shorter. This time-out
// limits how long a transaction stays open if that daemon fails to.
const unitIdleTimeout = 8 * time.Second

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	acceptloop.Run(l, func(c net.Conn) { go s.serve(c) })
}

// Leave refuses new units and notifies the connected daemons.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		go c.sendLeaving()
	}
}

func (c *serverConn) sendLeaving() {
	// If the write fails, the client is refused when it opens a unit.
	_ = c.frames.write(response{Leaving: true})
}

// Abort closes all connections immediately.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.frames.conn.Close()
	}
}

// ConnectedPeers returns the names of the daemons that are connected to this one.
func (s *Server) ConnectedPeers() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool, len(s.conns))
	for c := range s.conns {
		names[c.peer] = true
	}
	return names
}

// OpenUnits returns the number of open units of other daemons.
func (s *Server) OpenUnits() int {
	return int(s.openUnits.Load())
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	conn := &serverConn{server: s, frames: newFrameConn(c), units: make(map[uint64]*servedUnit), done: make(chan struct{})}
	if err := conn.handshake(); err != nil {
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
		conn.sendLeaving()
	}
	conn.run()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (c *serverConn) handshake() error {
	if err := c.frames.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	var h hello
	if err := c.frames.read(&h); err != nil {
		return err
	}
	if err := c.frames.write(hello{Version: Version, Name: c.server.Name, Quota: c.server.Quotas != nil, Confirmations: true}); err != nil {
		return err
	}
	if h.Version != Version || h.To != c.server.Name {
		return fmt.Errorf("peer %q with protocol version %d expects daemon %q", h.Name, h.Version, h.To)
	}
	if c.server.OnPeerConnected != nil {
		c.server.OnPeerConnected(Identity{Name: h.Name, Address: h.Address})
	}
	c.peer = h.Name
	return c.frames.conn.SetReadDeadline(time.Time{})
}

// handshakeTimeout limits the wait for the first frame.
const handshakeTimeout = 2 * time.Second

// run handles frames until the connection ends, then closes the open units.
func (c *serverConn) run() {
	for {
		var r request
		if err := c.frames.read(&r); err != nil {
			break
		}
		c.handle(r)
	}
	close(c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, u := range c.units {
		delete(c.units, id)
		go c.closeUnit(u)
	}
}

func (c *serverConn) handle(r request) {
	switch {
	case r.Ping:
		go func() { _ = c.frames.write(response{}) }()
	case r.Watch != nil:
		go c.answerWatch(r.Unit, *r.Watch)
	case r.Intents:
		go c.answerIntents(r.Unit, r.FromStore)
	case r.PositionOf != "":
		go c.answerPosition(r.Unit, r.PositionOf)
	case r.Quota != nil:
		go c.answerQuota(r.Unit, *r.Quota)
	case r.Close:
		if u := c.removeUnit(r.Unit); u != nil {
			go c.closeUnit(u)
		}
	case r.Call != nil:
		u, ok := c.findOrOpenUnit(r)
		if !ok {
			go func() { _ = c.frames.write(response{Unit: r.Unit, Reply: &stmtunit.Reply{Outcome: stmtunit.NotRun}}) }()
			return
		}
		go c.runCall(u, r)
	default:
		c.refuseUnknown(r.Unit)
	}
}

// refuseUnknown answers a request of a kind that this release does not know. The first one
// of a connection is logged.
func (c *serverConn) refuseUnknown(id uint64) {
	unknownFrames("request").Inc()
	if c.server.Log != nil && !c.unknownLogged {
		c.unknownLogged = true
		c.server.Log.StateChange("peer_request_unknown", "peer", c.peer)
	}
	// The client learns of a failed write from the end of the connection.
	go func() { _ = c.frames.write(response{Unit: id, Unknown: true}) }()
}

// findOrOpenUnit returns the unit of a call, and opens it if this is its first call. It
// returns false if the unit is unknown or new units are refused.
func (c *serverConn) findOrOpenUnit(r request) (*servedUnit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.units[r.Unit]; ok {
		return u, true
	}
	if r.Open == nil || c.server.leaving.Load() {
		return nil, false
	}
	u := &servedUnit{unit: c.server.Opener.Open(*r.Open)}
	c.server.openUnits.Add(1)
	if r.Open.Begin == nil {
		return u, true
	}
	c.units[r.Unit] = u
	u.idleTimer = time.AfterFunc(unitIdleTimeout, func() {
		if c.removeUnit(r.Unit) != nil {
			c.closeUnit(u)
		}
	})
	return u, true
}

func (c *serverConn) removeUnit(id uint64) *servedUnit {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.units[id]
	delete(c.units, id)
	return u
}

func (c *serverConn) runCall(u *servedUnit, r request) {
	u.mu.Lock()
	if u.idleTimer != nil {
		u.idleTimer.Reset(unitIdleTimeout)
	}
	reply := u.unit.Run(*r.Call)
	u.mu.Unlock()
	if u.idleTimer == nil {
		c.closeUnit(u)
	}
	if err := c.frames.write(response{Unit: r.Unit, Reply: &reply}); err != nil {
		// The client learns of the failed write from the end of the connection.
		_ = c.frames.conn.Close()
	}
}

// closeUnit closes a unit after its running call, if any.
func (c *serverConn) closeUnit(u *servedUnit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idleTimer != nil {
		u.idleTimer.Stop()
	}
	u.unit.Close()
	c.server.openUnits.Add(-1)
}
