package main

import (
	"net"
	"sync"
	"time"
)

// link forwards connections of one daemon to an instance. While it is cut it forwards
// nothing, in either direction, and resets nothing.
type link struct {
	mu       sync.Mutex
	cut      bool
	listener net.Listener
	to       string
}

func newLink(ip, to string) *link {
	l, err := net.Listen("tcp4", ip+":0")
	cannotRun(err)
	k := &link{listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// wait waits until the link is whole.
func (k *link) wait() {
	for {
		k.mu.Lock()
		cut := k.cut
		k.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (k *link) serve(c net.Conn) {
	k.wait()
	to, err := net.Dial("tcp4", k.to)
	if err != nil {
		// The instance refuses the connection.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	go k.copy(c, to)
	k.copy(to, c)
}

func (k *link) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		k.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
