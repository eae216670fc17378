package daemon

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// callerTLS holds the TLS configuration of the caller listener, which reload replaces. It
// is safe for concurrent use.
type callerTLS struct {
	certFile, keyFile string
	config            atomic.Pointer[tls.Config]
}

// newCallerTLS loads the certificate and its key. With an empty certFile callers get no
// TLS. It returns an error if the files can't be read or do not match.
func newCallerTLS(certFile, keyFile string) (*callerTLS, error) {
	c := &callerTLS{certFile: certFile, keyFile: keyFile}
	return c, c.reload()
}

// current returns the TLS configuration, or nil without TLS.
func (c *callerTLS) current() *tls.Config {
	return c.config.Load()
}

func (c *callerTLS) reload() error {
	if c.certFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load the caller certificate: %w", err)
	}
	c.config.Store(&tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}})
	return nil
}
