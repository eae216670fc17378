//go:build unix

package pgwire

import (
	"errors"
	"net"
	"syscall"
)

// isClosedByPeer reports whether the peer has closed a connection. It doesn't block or
// consume data, and may run concurrently with a read.
func isClosedByPeer(nc net.Conn) bool {
	raw, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData := errors.Is(failure, syscall.EAGAIN) || errors.Is(failure, syscall.EINTR)
		closed = !noData && n <= 0
	})
	return err != nil || closed
}
