//go:build unix

// Package conncheck tells whether the peer of an idle connection has ended it.
package conncheck

import (
	"errors"
	"net"
	"syscall"
)

// Closed reports whether the peer closed an idle connection or sent something that
// nobody asked for. It does not wait, and takes no bytes off. A connection without a
// descriptor counts as open.
func Closed(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err != nil || !silent
}
