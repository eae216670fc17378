package peer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
)

// ProtocolVersions lists the protocol versions that this build speaks, best first.
var ProtocolVersions = []string{"laburnumrack/1"}

// Timing and limits of connections.
const (
	// IdleTimeout is how long a connection without use is kept.
	IdleTimeout = 60 * time.Second
	// SilenceTimeout is how long an open unit may be silent; one that waits on a
	// dead home ends within it.
	SilenceTimeout = 4 * time.Second
	// HeartbeatInterval is the time between heartbeats of an open unit.
	HeartbeatInterval = time.Second
	// staleAfter is how long a connection may be unused until it is checked by a
	// ping before a unit is sent on it.
	staleAfter = 2 * time.Second
	// pingTimeout bounds that ping.
	pingTimeout = 500 * time.Millisecond
	// handshakeTimeout bounds a peer's handshake on a connection for units.
	handshakeTimeout = 5 * time.Second
	// DialTimeout bounds the handshake with a peer.
	DialTimeout = time.Second
	// leaveTimeout bounds the wait for peers to end their connections.
	leaveTimeout = 5 * time.Second
	// maxStreams is how many connections for units a server takes, and how many
	// control calls a peer may have open.
	maxStreams = 4096
	// idleStreams is how many finished streams of a connection are kept.
	idleStreams = 256
	// Flow-control windows of QUIC, in bytes.
	streamWindow     = 256 << 10
	connectionWindow = 4 << 20
)

// Numbers of streams in one direction that a side takes.
const (
	noUniStreams   = -1
	leaveUniStream = 1
)

// Error codes of reset streams and closed connections.
const (
	codeNone     = 0
	codeGivenUp  = 1
	codeProtocol = 2
)

// quicConfig returns the settings of one side. Only the dialing side takes streams
// in one direction: the one by which its server says that it leaves.
func quicConfig(uniStreams int64) *quic.Config {
	return &quic.Config{
		// The probes for larger packets cost more than the handshake.
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

// counters of the peer part.
type counters struct {
	dials, dialErrors     *metrics.Counter
	accepted, refused     *metrics.Counter
	units, calls          *metrics.Counter
	streams               *metrics.Counter
	streamErrors, badData *metrics.Counter
	pingErrors            *metrics.Counter
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
		badData:      set.GetOrCreateCounter("laburnumrack_peer_malformed_total"),
	}
}
