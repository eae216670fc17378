package link

import (
	"errors"
	"net"
	"net/netip"
)

// flow carries the datagrams between one source address and the destination of a relay.
type flow struct {
	route  Route
	source netip.AddrPort
	out    *net.UDPConn
	// forward and reverse queue datagrams to the destination and to the source until
	// they leave the line.
	forward chan chunk
	reverse chan chunk
}

// receiveDatagrams queues the datagrams of all sources until the relay closes. It drops
// datagrams of sources that have no flow.
func (r *Relay) receiveDatagrams() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, source, err := r.packetConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f := r.flow(source)
		if f == nil {
			continue
		}
		f.enqueue(f.forward, f.route.Direction, buf[:n])
	}
}

// enqueue sends a copy of a datagram into the line. A cut line or a full queue drops it.
func (f *flow) enqueue(queue chan chunk, d Direction, data []byte) {
	carried := f.route.Line.carries(d)
	c := chunk{data: append([]byte(nil), data...), due: f.route.Line.schedule(d, len(data))}
	if !carried {
		return
	}
	select {
	case queue <- c:
	default:
	}
}

// flow returns the flow of a source and starts it if necessary. It returns nil if the
// relay is closed, has maxFlows flows or cannot open a socket.
func (r *Relay) flow(source netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[source]; f != nil {
		return f
	}
	if r.closed || len(r.flows) >= maxFlows {
		return nil
	}
	destination, err := netip.ParseAddrPort(r.destination)
	if err != nil {
		return nil
	}
	local := &net.UDPAddr{IP: source.Addr().Unmap().AsSlice()}
	out, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(destination))
	if err != nil {
		return nil
	}
	f := &flow{
		route:   r.routeFor(source.Addr().Unmap()),
		source:  source,
		out:     out,
		forward: make(chan chunk, 16*maxQueuedChunks),
		reverse: make(chan chunk, 16*maxQueuedChunks),
	}
	r.flows[source] = f
	go f.deliver(r.done, f.forward, f.route.Direction, func(data []byte) { _, _ = f.out.Write(data) })
	go f.deliver(r.done, f.reverse, 1-f.route.Direction, func(data []byte) { _, _ = r.packetConn.WriteToUDPAddrPort(data, f.source) })
	go f.receiveReplies()
	return f
}

// receiveReplies queues the datagrams from the destination until the flow closes.
func (f *flow) receiveReplies() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := f.out.Read(buf)
		if n > 0 {
			f.enqueue(f.reverse, 1-f.route.Direction, buf[:n])
		}
		if err != nil && n == 0 && errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// deliver writes the datagrams of one direction when they are due, until done closes.
func (f *flow) deliver(done <-chan struct{}, queue <-chan chunk, d Direction, write func([]byte)) {
	for {
		select {
		case <-done:
			return
		case c := <-queue:
			if waitUntil(c.due, done) && f.route.Line.waitOpen(d, true, done) {
				write(c.data)
			}
		}
	}
}
