package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the read size of a stream.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the chunks that one direction of a stream queues; a flow
	// queues 16 times as many datagrams.
	maxQueuedChunks = 64
	// maxDatagramBytes is the read size of a flow; no UDP datagram is larger.
	maxDatagramBytes = 64 << 10
	// maxFlows bounds the sources of one UDP relay.
	maxFlows = 4096
	// dialTimeout bounds connecting to the destination of a relay, and reading the
	// header of a request to the control API.
	dialTimeout = 2 * time.Second
)

// Route is the line and the direction of the traffic from a source.
type Route struct {
	Line      *Line
	Direction Direction
}

// RouteFunc returns the route of a source address. It may be called from any goroutine.
type RouteFunc func(source netip.Addr) Route

// FixedRoute returns a RouteFunc that sends all traffic from side A to side B of line.
func FixedRoute(line *Line) RouteFunc {
	return func(netip.Addr) Route { return Route{Line: line, Direction: AToB} }
}

// Relay forwards the traffic of one listening address to its destination over a line.
// All methods may be called from any goroutine.
type Relay struct {
	address     netip.AddrPort
	destination string
	routeFor    RouteFunc
	// done is closed when the relay closes.
	done chan struct{}

	mu     sync.Mutex
	closed bool
	// listener is set for TCP, packetConn for UDP.
	listener   net.Listener
	packetConn *net.UDPConn
	streams    map[*stream]struct{}
	flows      map[netip.AddrPort]*flow
}

// StartRelay listens on the IP:port listen of the network, "tcp" or "udp", and forwards
// to the IP:port to. It returns an error for another network or if it cannot listen.
func StartRelay(network, listen, to string, routeFor RouteFunc) (*Relay, error) {
	r := &Relay{
		destination: to,
		routeFor:    routeFor,
		done:        make(chan struct{}),
		streams:     map[*stream]struct{}{},
		flows:       map[netip.AddrPort]*flow{},
	}
	var err error
	switch network {
	case "tcp":
		err = r.listenTCP(listen)
	case "udp":
		err = r.listenUDP(listen)
	default:
		err = errors.New("network must be tcp or udp")
	}
	if err != nil {
		return nil, fmt.Errorf("start relay %s %s: %w", network, listen, err)
	}
	return r, nil
}

// listenTCP starts to accept streams.
func (r *Relay) listenTCP(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r.listener = listener
	r.address = listener.Addr().(*net.TCPAddr).AddrPort()
	go r.accept()
	return nil
}

// listenUDP starts to receive datagrams.
func (r *Relay) listenUDP(listen string) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	packet, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	r.packetConn = packet
	r.address = packet.LocalAddr().(*net.UDPAddr).AddrPort()
	go r.receiveDatagrams()
	return nil
}

// Address returns the listening address.
func (r *Relay) Address() netip.AddrPort {
	return r.address
}

// Close stops the relay and closes its streams and flows.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
	if r.listener != nil {
		_ = r.listener.Close()
	}
	if r.packetConn != nil {
		_ = r.packetConn.Close()
	}
	for s := range r.streams {
		s.close()
	}
	for _, f := range r.flows {
		_ = f.out.Close()
	}
}
