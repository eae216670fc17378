// Package pgwire serves callers over the PostgreSQL wire protocol, version 3.
//
// Each caller connection is one goroutine and an explicit state machine. A
// batch of messages goes to a wireunit.Opener, which answers into the connection's
// buffered writer, so that a caller that reads slowly slows the target down and
// memory stays bounded. The bytes of rows are passed through unparsed.
package pgwire

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/session"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// Limits bounds what callers may cost.
type Limits struct {
	// Connections is how many callers may be logged in at once.
	Connections int
	// MessageBytes bounds one message, and one pipeline of messages up to Sync.
	MessageBytes int
	// MemoryBytes bounds what all connections together hold of requests over 64
	// KiB and of prepared statements.
	MemoryBytes int
	// Statements is how many prepared statements one connection may hold.
	Statements int
	// StartupTimeout bounds the time from accept to the end of authentication.
	StartupTimeout time.Duration
	// WriteTimeout bounds the time for which a caller may take no data.
	WriteTimeout time.Duration
	// CallerCheckInterval is the time between two looks at whether callers with a running
	// statement are still there.
	CallerCheckInterval time.Duration
	// IdleInTransactionTimeout bounds the wait for the next message in a transaction;
	// zero is unbounded.
	IdleInTransactionTimeout time.Duration
}

// DefaultLimits returns the limits that a zero field of Limits stands for.
func DefaultLimits() Limits {
	return Limits{
		Connections:              10_000,
		MessageBytes:             16 << 20,
		MemoryBytes:              256 << 20,
		Statements:               1024,
		StartupTimeout:           10 * time.Second,
		WriteTimeout:             time.Minute,
		CallerCheckInterval:      time.Second,
		IdleInTransactionTimeout: 5 * time.Minute,
	}
}

// Config is what a Server needs. All but TLS, Limits and Now must be set.
type Config struct {
	Configuration configuration.Source
	Opener        wireunit.Opener
	Keyring       *session.Keyring
	// TLS gives the current TLS settings; nil, or a nil result, means none.
	TLS func() *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	Limits     Limits
	Metrics    *metrics.Set
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() (Config, error) {
	switch {
	case c.Configuration == nil:
		return c, fmt.Errorf("pgwire: no configuration source")
	case c.Opener == nil:
		return c, fmt.Errorf("pgwire: no opener")
	case c.Keyring == nil:
		return c, fmt.Errorf("pgwire: no session keyring")
	case c.Metrics == nil:
		return c, fmt.Errorf("pgwire: no metrics set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.Limits = c.Limits.withDefaults()
	return c, nil
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.Connections = cmp.Or(l.Connections, d.Connections)
	l.MessageBytes = cmp.Or(l.MessageBytes, d.MessageBytes)
	l.MemoryBytes = cmp.Or(l.MemoryBytes, d.MemoryBytes)
	l.Statements = cmp.Or(l.Statements, d.Statements)
	l.StartupTimeout = cmp.Or(l.StartupTimeout, d.StartupTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, d.WriteTimeout)
	l.CallerCheckInterval = cmp.Or(l.CallerCheckInterval, d.CallerCheckInterval)
	return l
}
