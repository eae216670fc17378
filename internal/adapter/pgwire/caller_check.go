package pgwire

import (
	"time"

	"k8s.io/klog/v2"
)

// checkCallers cancels the running batches of callers that have disconnected, so that
// their statements don't hold target connections. It returns when the server has drained.
func (s *Server) checkCallers() {
	ticker := time.NewTicker(s.config.Limits.CallerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.cancelDisconnected()
		case <-s.drained:
			return
		}
	}
}

func (s *Server) cancelDisconnected() {
	for _, c := range s.allConns() {
		if c.cancelIfDisconnected() {
			s.metrics.callersGone.Inc()
			klog.V(1).Infof(logPrefix+"caller at %v disconnected, canceling its running batch", c.raw.RemoteAddr())
		}
	}
}

// allConns returns the open connections.
func (s *Server) allConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allConnsLocked()
}

// allConnsLocked returns the open connections. The caller must hold mu.
func (s *Server) allConnsLocked() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// cancelIfDisconnected cancels the running batch if its caller has closed the connection,
// and reports whether it did. The socket is checked only for a batch that was already
// running at the previous check. It is safe for concurrent use.
func (c *conn) cancelIfDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.runningUnit == nil {
		return false
	}
	if !c.mu.seenRunning {
		c.mu.seenRunning = true
		return false
	}
	if !isClosedByPeer(c.raw) {
		return false
	}
	c.mu.seenRunning = false
	c.mu.runningUnit.Cancel()
	return true
}
