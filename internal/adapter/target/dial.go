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

// Defaults of Config, and the application names that a target shows for the connections.
const (
	DefaultDialTimeout       = 3 * time.Second
	DefaultMaxStatements     = 256
	DefaultMaxMessageBytes   = 64 << 20
	dataApplication          = "laburnumrack"
	controlApplication       = "laburnumrack-control"
	applicationNameParameter = "application_name"
)

// Config holds the credentials for targets and the limits of connections. A limit of
// zero selects its default.
type Config struct {
	User     string
	Password string
	// LocalAddress is the source address of connections; the zero value lets the
	// operating system choose.
	LocalAddress netip.Addr
	// TLS is nil for unencrypted connections.
	TLS *tls.Config
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// MaxStatements is the maximum number of prepared statements on a connection.
	MaxStatements int
	// MaxMessageBytes is the maximum size of a backend message, header included.
	MaxMessageBytes int
}

// Dialer implements target.Dialer. It is safe for concurrent use.
type Dialer struct {
	config Config
}

// NewDialer returns a Dialer with the defaults of config filled in.
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

// DialControl implements target.Dialer. The error wraps target.ErrNotSent unless the
// configuration is invalid.
func (d *Dialer) DialControl(ctx context.Context, address netip.AddrPort, database string) (target.Control, error) {
	pc, err := d.connect(ctx, address, database, controlApplication)
	if err != nil {
		return nil, err
	}
	return newControl(pc), nil
}

// Dial implements target.Dialer. It also reads the instance's fence on the new
// connection. The error of a failed connection attempt wraps target.ErrNotSent.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort, database string) (target.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.config.DialTimeout)
	defer cancel()
	pc, err := d.connect(ctx, address, database, dataApplication)
	if err != nil {
		return nil, err
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, fmt.Errorf("hijack connection to %s: %w", address, err)
	}
	c := newConn(hijacked, address, d.config)
	if err := c.readFence(ctx); err != nil {
		return nil, fmt.Errorf("read status of %s: %w: %w", address, target.ErrNotSent, err)
	}
	return c, nil
}

// netDialer returns the dialer for all sockets, those of cancel requests included.
func (c Config) netDialer() *net.Dialer {
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

// connectConfig returns the pgconn configuration of a connection. It overwrites the
// values that pgconn takes from PG* environment variables.
func (d *Dialer) connectConfig(address netip.AddrPort, database, application string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("configure connection to %s: %w", address, err)
	}
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.Database = database
	config.User = d.config.User
	config.Password = d.config.Password
	config.TLSConfig = d.config.TLS
	config.Fallbacks = nil
	config.ConnectTimeout = d.config.DialTimeout
	config.DialFunc = d.config.netDialer().DialContext
	config.RuntimeParams = map[string]string{applicationNameParameter: application}
	return config, nil
}
