package pgwire

import (
	"time"

	"k8s.io/klog/v2"
)

// sweep looks for callers that went away while a batch of theirs runs, so that
// nobody's statement holds a slot of a target. It ends with the server.
func (s *Server) sweep() {
	ticker := time.NewTicker(s.config.Limits.CallerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.cancelGone()
		case <-s.drained:
			return
		}
	}
}

func (s *Server) cancelGone() {
	for _, c := range s.all() {
		if c.cancelIfGone() {
			s.meters.gone.Inc()
			klog.V(1).Infof(logPrefix+"caller at %v went away: its statement is canceled", c.raw.RemoteAddr())
		}
	}
}

// all returns the connections of the moment.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allLocked()
}

// allLocked is called with mu held.
func (s *Server) allLocked() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// cancelIfGone cancels a batch that ran at the last sweep too and whose caller
// has closed the connection. It may be called by any goroutine.
func (c *conn) cancelIfGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.running == nil {
		return false
	}
	if !c.mu.swept {
		c.mu.swept = true
		return false
	}
	if !hungUp(c.raw) {
		return false
	}
	c.mu.swept = false
	c.mu.running.Cancel()
	return true
}
