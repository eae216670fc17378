//go:build !unix

package pgwire

import "net"

// isClosedByPeer always returns false: the check is not implemented on this system.
func isClosedByPeer(net.Conn) bool {
	return false
}
