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
	chunkBytes = 32 << 10
	// queuedChunks bounds what one direction of a relay holds back.
	queuedChunks     = 64
	maxDatagramBytes = 64 << 10
	maxFlows         = 4096
	dialTimeout      = 2 * time.Second
)

// Route is the line and the direction that traffic from a source takes.
type Route struct {
	Line      *Line
	Direction Direction
}

// RouteFunc finds the route of a source address. It may be called from any
// goroutine.
type RouteFunc func(source netip.Addr) Route

// FixedRoute returns a RouteFunc that sends everything from side A to side B of line.
func FixedRoute(line *Line) RouteFunc {
	return func(netip.Addr) Route { return Route{Line: line, Direction: AToB} }
}

// Relay forwards one listening address. All methods may be called from any
// goroutine.
type Relay struct {
	address netip.AddrPort
	to      string
	choose  RouteFunc
	done    chan struct{}

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	packet   *net.UDPConn
	streams  map[*stream]struct{}
	flows    map[netip.AddrPort]*flow
}

// StartRelay listens on the IP:port listen of the network, "tcp" or "udp", and
// forwards to the IP:port to.
func StartRelay(network, listen, to string, choose RouteFunc) (*Relay, error) {
	r := &Relay{
		to:      to,
		choose:  choose,
		done:    make(chan struct{}),
		streams: map[*stream]struct{}{},
		flows:   map[netip.AddrPort]*flow{},
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
		return nil, fmt.Errorf("relay %s %s: %w", network, listen, err)
	}
	return r, nil
}

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

func (r *Relay) listenUDP(listen string) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	packet, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	r.packet = packet
	r.address = packet.LocalAddr().(*net.UDPAddr).AddrPort()
	go r.receive()
	return nil
}

// Address returns the listening address.
func (r *Relay) Address() netip.AddrPort {
	return r.address
}

// Close stops the relay and breaks what runs through it.
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
	if r.packet != nil {
		_ = r.packet.Close()
	}
	for s := range r.streams {
		s.close()
	}
	for _, f := range r.flows {
		_ = f.out.Close()
	}
}
