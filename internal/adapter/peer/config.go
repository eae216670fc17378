package peer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
)

// ProtocolVersions lists the protocol versions that this build supports, most preferred
// first.
var ProtocolVersions = []string{"laburnumrack/1"}

// Timing and limits of connections.
const (
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout = 60 * time.Second
	// SilenceTimeout is the maximum time without a frame from the home of an open unit. A
	// unit that waits for a failed home ends within it.
	SilenceTimeout = 4 * time.Second
	// HeartbeatInterval is the time between heartbeats of an open unit.
	HeartbeatInterval = time.Second
	// staleAfter is the time without use after which a connection is checked with a ping
	// before a unit is sent on it.
	staleAfter = 2 * time.Second
	// pingTimeout limits a ping.
	pingTimeout = 500 * time.Millisecond
	// handshakeTimeout limits the TLS handshake of an accepted stream.
	handshakeTimeout = 5 * time.Second
	// DialTimeout limits the dial and the handshake with a peer.
	DialTimeout = time.Second
	// shutdownTimeout limits the wait in Shutdown for peers to close their connections.
	shutdownTimeout = 5 * time.Second
	// maxStreams is the maximum number of streams that a server accepts, and of control
	// calls that a peer may have open.
	maxStreams = 4096
	// maxIdleStreams is the maximum number of idle streams that a client keeps for a
	// peer.
	maxIdleStreams = 256
	// QUIC flow-control windows in bytes.
	streamWindow     = 256 << 10
	connectionWindow = 4 << 20
)

// Numbers of unidirectional streams that a side accepts.
const (
	noUniStreams      = -1
	leavingUniStreams = 1
)

// QUIC error codes of reset streams and closed connections.
const (
	codeNone     = 0
	codeAborted  = 1
	codeProtocol = 2
)

// quicConfig returns the QUIC settings of one side. Only the dialing side accepts a
// unidirectional stream: the one on which its server announces that it is leaving.
func quicConfig(uniStreams int64) *quic.Config {
	return &quic.Config{
		// The probes for a larger MTU cost more than the handshake.
		DisablePathMTUDiscovery:        true,
		HandshakeIdleTimeout:           DialTimeout,
		MaxIdleTimeout:                 IdleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          uniStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
	}
}

// counters holds the counters of clients and servers.
type counters struct {
	dials, dialErrors       *metrics.Counter
	accepted, refused       *metrics.Counter
	units, calls            *metrics.Counter
	streams                 *metrics.Counter
	streamErrors, malformed *metrics.Counter
	pingErrors              *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		dials:        set.GetOrCreateCounter("laburnumrack_peer_dials_total"),
		dialErrors:   set.GetOrCreateCounter("laburnumrack_peer_dial_errors_total"),
		accepted:     set.GetOrCreateCounter("laburnumrack_peer_accepted_total"),
		refused:      set.GetOrCreateCounter("laburnumrack_peer_refused_total"),
		units:        set.GetOrCreateCounter("laburnumrack_peer_units_total"),
		streams:      set.GetOrCreateCounter("laburnumrack_peer_streams_total"),
		calls:        set.GetOrCreateCounter("laburnumrack_peer_calls_total"),
		streamErrors: set.GetOrCreateCounter("laburnumrack_peer_stream_errors_total"),
		pingErrors:   set.GetOrCreateCounter("laburnumrack_peer_ping_errors_total"),
		malformed:    set.GetOrCreateCounter("laburnumrack_peer_malformed_total"),
	}
}
