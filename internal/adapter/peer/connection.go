package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// connection is the QUIC connection to one peer together with the idle streams to that
// peer.
type connection struct {
	// ready is closed once quicConn or err is set. Neither changes afterwards.
	ready    chan struct{}
	quicConn *quic.Conn
	err      error

	// suspected reports whether a ping is in progress that checks if the peer is
	// reachable.
	suspected atomic.Bool

	mu          sync.Mutex
	idleStreams []*clientStream
	// busy is the number of units and calls in progress.
	busy int
	// lastUse is the time when the last unit or call ended.
	lastUse time.Time
	// retired reports whether no new unit or call may start.
	retired bool
}

// dead reports whether the dial failed or the connection has ended.
func (c *connection) dead() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.quicConn.Context().Err() != nil
	default:
		return false
	}
}

// stale reports whether the connection was unused for longer than staleAfter, so that the
// peer may have failed. A unit sent then could end with an unknown outcome. The caller
// must have acquired the connection.
func (c *connection) stale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy == 1 && time.Since(c.lastUse) > staleAfter
}

// acquire marks the connection as busy until release is called. It returns false if the
// connection is retired.
func (c *connection) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.busy++
	return true
}

// release ends one use of the connection, and closes a retired connection after its last
// use.
func (c *connection) release() {
	c.mu.Lock()
	c.busy--
	c.lastUse = time.Now()
	last := c.retired && c.busy == 0
	c.mu.Unlock()
	if last {
		c.close()
	}
}

// retire prevents new uses of the connection and closes it once the current ones have
// ended.
func (c *connection) retire() {
	c.mu.Lock()
	c.retired = true
	last := c.busy == 0
	c.mu.Unlock()
	c.closeIdleStreams()
	if last {
		c.close()
	}
}

// close closes the QUIC connection, if the dial has completed.
func (c *connection) close() {
	select {
	case <-c.ready:
		if c.quicConn != nil {
			_ = c.quicConn.CloseWithError(codeNone, "")
		}
	default:
	}
}

// takeIdle removes and returns the most recently used idle stream, or nil.
func (c *connection) takeIdle() *clientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idleStreams)
	if n == 0 {
		return nil
	}
	s := c.idleStreams[n-1]
	c.idleStreams = c.idleStreams[:n-1]
	return s
}

// putIdle keeps a stream whose unit ended cleanly for reuse, unless the connection has
// ended or has enough idle streams.
func (c *connection) putIdle(s *clientStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.dead() || len(c.idleStreams) >= maxIdleStreams {
		s.close()
		return
	}
	c.idleStreams = append(c.idleStreams, s)
}

// closeIdleStreams closes the streams that carry no unit.
func (c *connection) closeIdleStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.idleStreams {
		s.close()
	}
	c.idleStreams = nil
}
