// Package acceptloop runs the accept loop of a listener.
package acceptloop

import (
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// errorPause is the pause after a failed accept. Source: the usual failure is a
// lack of descriptors, which passes as connections end.
const errorPause = 5 * time.Millisecond

// Run hands every connection to serve, which must not block, until the listener
// is closed.
func Run(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			metrics.GetOrCreateCounter(`laburnumrack_accept_errors_total`).Inc()
			time.Sleep(errorPause)
			continue
		}
		serve(c)
	}
}
