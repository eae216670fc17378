package link

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// chunk is a piece of traffic and the time at which it leaves the line.
type chunk struct {
	data []byte
	due  time.Time
}

// stream is one relayed TCP connection: in is the accepted connection, out the one to
// the destination.
type stream struct {
	in net.Conn
	// done is closed when the stream closes.
	done chan struct{}

	mu     sync.Mutex
	out    net.Conn
	closed bool
}

// accept serves connections until the listener closes.
func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve connects to the destination once the line is open and copies both directions
// until both end.
func (r *Relay) serve(conn net.Conn) {
	source := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	route := r.routeFor(source)
	s := &stream{in: conn, done: make(chan struct{})}
	defer s.close()
	if !r.track(s, route.Line) {
		return
	}
	defer r.untrack(s, route.Line)
	if !route.Line.waitOpen(route.Direction, false, s.done) || !s.dial(r.destination, source) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { s.pump(route.Line, route.Direction, s.in, s.out) })
	pumps.Go(func() { s.pump(route.Line, 1-route.Direction, s.out, s.in) })
	pumps.Wait()
}

// track registers a stream with the relay and the line. It reports false if the relay is
// closed.
func (r *Relay) track(s *stream, line *Line) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.streams[s] = struct{}{}
	line.mu.Lock()
	defer line.mu.Unlock()
	line.streams[s] = struct{}{}
	return true
}

// untrack removes a stream from the relay and the line.
func (r *Relay) untrack(s *stream, line *Line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, s)
	line.mu.Lock()
	defer line.mu.Unlock()
	delete(line.streams, s)
}

// dial connects to the destination from the IP of the source, so that another relay on
// the path can select its route by that IP. It reports false if that fails or the stream
// is closed.
func (s *stream) dial(to string, source netip.Addr) bool {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	out, err := dialer.Dial("tcp", to)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = out.Close()
		return false
	}
	s.out = out
	return true
}

// close closes both connections. Later calls have no effect.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	_ = s.in.Close()
	if s.out != nil {
		_ = s.out.Close()
	}
}

// pump copies one direction through the line until the read side ends. It then closes
// the other connection for writing, so that the opposite direction continues after a
// half-close. A failed write closes the stream.
func (s *stream) pump(line *Line, d Direction, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() {
		for c := range queue {
			if !waitUntil(c.due, s.done) || !line.waitOpen(d, false, s.done) {
				continue
			}
			if _, err := to.Write(c.data); err != nil {
				s.close()
			}
		}
	})
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], due: line.schedule(d, n)}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	writer.Wait()
	if line.waitOpen(d, false, s.done) {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}
