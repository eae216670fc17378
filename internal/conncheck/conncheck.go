//go:build unix

// Package conncheck checks whether an idle connection was closed by its peer.
package conncheck

import (
	"errors"
	"net"
	"syscall"
)

// Closed reports whether an idle connection is unusable: closed by either side, or with
// unread bytes, which are unexpected on an idle connection. It doesn't block and consumes no
// bytes. A connection without a file descriptor is assumed to be open.
func Closed(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	openAndEmpty := false
	// Unlike Read, Control does not fail after the deadline of the last read.
	err = control.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndEmpty = errors.Is(recvErr, syscall.EAGAIN)
	})
	return err != nil || !openAndEmpty
}
