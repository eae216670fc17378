// Package acceptloop implements the accept loop of a listener.
package acceptloop

import (
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// retryDelay is the delay after a failed accept. The usual cause is a lack of file
// descriptors, which become available as connections end.
const retryDelay = 5 * time.Millisecond

// Run calls serve for each accepted connection until the listener is closed. serve must not
// block.
func Run(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			metrics.GetOrCreateCounter(`laburnumrack_accept_errors_total`).Inc()
			time.Sleep(retryDelay)
			continue
		}
		serve(c)
	}
}
