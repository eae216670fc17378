// Package peer carries units of work and control calls between daemons over mutual TLS.
//
// Each pair of daemons has one QUIC connection, which carries the control calls. It also
// shows whether the peer is reachable, and the peer announces on it that it is leaving.
// Units of work run over a pool of TLS connections to the same address, called streams,
// each with one unit at a time. A stream in an uncertain state is closed and never
// reused.
//
// A frame consists of a length, a kind and a body. The body is CBOR for headers and raw
// bytes for protocol messages, which are forwarded unparsed. Peers negotiate the protocol
// version by ALPN, so that a fleet can be upgraded one VM at a time.
//
// Idle connections have no keep-alive. While a unit is open its server sends heartbeats,
// so that the failure of a home is detected within SilenceTimeout. A connection that was
// idle for some time is checked with a ping before a unit is sent on it, because the
// outcome of a unit sent to a failed peer would be unknown.
package peer
