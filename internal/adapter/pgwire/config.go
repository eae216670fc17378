// Package pgwire serves callers over version 3 of the PostgreSQL wire protocol.
//
// Each caller connection has one goroutine, which runs a state machine. It sends batches
// of messages to a wireunit.Opener, which writes the answers to the connection's buffered
// writer. A caller that reads slowly thus slows down the target, and memory stays
// bounded. Rows are passed through unparsed.
//
// Session parameters, BEGIN, and COMMIT or ROLLBACK of a transaction that has run nothing
// are handled locally, without a target.
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

// Limits bounds the resources that callers may use. Zero fields, except
// IdleInTransactionTimeout, mean the values of DefaultLimits.
type Limits struct {
	// Connections is the maximum number of logged-in callers.
	Connections int
	// MessageBytes is the maximum size of one message, and of one pipeline of messages up
	// to Sync.
	MessageBytes int
	// MemoryBytes is the maximum memory of all connections together for prepared
	// statements and for the part of each request beyond 64 KiB.
	MemoryBytes int
	// Statements is the maximum number of prepared statements of one connection, and of
	// its open portals.
	Statements int
	// StartupTimeout is the maximum time from accept to the end of login.
	StartupTimeout time.Duration
	// WriteTimeout is the maximum time of one write to a caller. A caller that stops
	// reading for longer is disconnected.
	WriteTimeout time.Duration
	// CallerCheckInterval is the interval at which callers with a running statement are
	// checked for a closed connection.
	CallerCheckInterval time.Duration
	// IdleInTransactionTimeout is the maximum wait for the next message of an open
	// transaction; zero means no limit.
	IdleInTransactionTimeout time.Duration
}

// DefaultLimits returns the default limits.
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

// Config is the configuration of a Server. All fields but TLS, RequireTLS, Limits and Now
// are required.
type Config struct {
	Configuration configuration.Source
	Opener        wireunit.Opener
	Keyring       *session.Keyring
	// TLS returns the current TLS settings. If it is nil or returns nil, TLS is not
	// offered.
	TLS func() *tls.Config
	// RequireTLS refuses callers without TLS, while TLS is offered.
	RequireTLS bool
	Limits     Limits
	Metrics    *metrics.Set
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() (Config, error) {
	switch {
	case c.Configuration == nil:
		return c, fmt.Errorf("pgwire: Config.Configuration is not set")
	case c.Opener == nil:
		return c, fmt.Errorf("pgwire: Config.Opener is not set")
	case c.Keyring == nil:
		return c, fmt.Errorf("pgwire: Config.Keyring is not set")
	case c.Metrics == nil:
		return c, fmt.Errorf("pgwire: Config.Metrics is not set")
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
