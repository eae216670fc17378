package target

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// Defaults of Config.
const (
	DefaultDialTimeout     = 3 * time.Second
	DefaultMaxStatements   = 256
	DefaultMaxMessageBytes = 64 << 20
	defaultApplication     = "laburnumrack"
	controlApplication     = "laburnumrack-control"
	runtimeParameterName   = "application_name"
)

// Config says how to log in to targets. The zero value of a limit means its
// default.
type Config struct {
	User     string
	Password string
	// LocalAddress is the address that connections start from; the zero value
	// leaves it to the system.
	LocalAddress netip.Addr
	// TLS is nil for plain connections.
	TLS *tls.Config
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxStatements is how many prepared statements a connection keeps.
	MaxStatements int
	// MaxMessageBytes is the largest backend message that is passed on, in bytes.
	MaxMessageBytes int
}

// Dialer implements target.Dialer. It may be used by any goroutine.
type Dialer struct {
	config Config
}

// NewDialer returns a Dialer that logs in as config says.
func NewDialer(config Config) *Dialer {
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.MaxStatements == 0 {
		config.MaxStatements = DefaultMaxStatements
	}
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return &Dialer{config: config}
}

// DialControl opens a control connection to an instance.
func (d *Dialer) DialControl(ctx context.Context, address netip.AddrPort, database string) (target.Control, error) {
	pc, err := d.connect(ctx, address, database, controlApplication)
	if err != nil {
		return nil, err
	}
	return newControl(pc), nil
}

// Dial opens a connection for the work of callers.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort, database string) (target.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.config.DialTimeout)
	defer cancel()
	pc, err := d.connect(ctx, address, database, defaultApplication)
	if err != nil {
		return nil, err
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, fmt.Errorf("take over connection to %s: %w", address, err)
	}
	c := newConn(hijacked, address, d.config)
	if err := c.readFence(ctx); err != nil {
		return nil, fmt.Errorf("read status of %s: %w: %w", address, target.ErrNotSent, err)
	}
	return c, nil
}

// dialer returns the dialer of all sockets.
func (c Config) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: c.DialTimeout}
	if c.LocalAddress.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.LocalAddress, 0))
	}
	return d
}

func (d *Dialer) connect(ctx context.Context, address netip.AddrPort, database, application string) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.config.DialTimeout)
	defer cancel()
	config, err := d.connectConfig(address, database, application)
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", address, target.ErrNotSent, err)
	}
	return pc, nil
}

// connectConfig overwrites whatever the library took from the environment.
func (d *Dialer) connectConfig(address netip.AddrPort, database, application string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("prepare connection to %s: %w", address, err)
	}
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.Database = database
	config.User = d.config.User
	config.Password = d.config.Password
	config.TLSConfig = d.config.TLS
	config.Fallbacks = nil
	config.ConnectTimeout = d.config.DialTimeout
	config.DialFunc = d.config.dialer().DialContext
	config.RuntimeParams = map[string]string{runtimeParameterName: application}
	return config, nil
}
