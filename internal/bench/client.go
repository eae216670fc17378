package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// Session parameters of the proxy. The value of sessionParameter is a token that
// continues a session on a connection to another gateway.
const (
	sessionParameter  = "laburnumrack.session"
	deadlineParameter = "laburnumrack.deadline"
)

const connectTimeout = 5 * time.Second

// Deployment holds the addresses and credentials of a deployment under test.
type Deployment struct {
	// Gateways are the IP:port of the daemons' listeners for callers.
	Gateways []string
	// Admins are the IP:port of the daemons' administration listeners, which serve
	// the metrics.
	Admins []string
	// Controls are the fault control addresses of the targets, from which the load of
	// each target is read.
	Controls Controls
	// Link is the control IP:port of the simulated network, empty if there is none.
	Link string
	// PasswordPrefix followed by the caller's name is the caller's password.
	PasswordPrefix string
	// CallerAliases maps caller names of the mix to the names to log in with, to
	// compare policies that are bound to callers.
	CallerAliases map[string]string
}

// caller returns the name that a caller of the mix logs in with.
func (d *Deployment) caller(name string) string {
	if other, ok := d.CallerAliases[name]; ok {
		return other
	}
	return name
}

// connect opens a connection of a caller to a database through the gateway with the
// given index.
func (d *Deployment) connect(ctx context.Context, gateway int, caller, service, database string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/?sslmode=disable", d.Gateways[gateway]))
	if err != nil {
		return nil, err
	}
	config.User = d.caller(caller)
	config.Password = d.PasswordPrefix + config.User
	config.Database = service + "." + database
	config.ConnectTimeout = connectTimeout
	return pgx.ConnectConfig(ctx, config)
}

type poolKey struct {
	caller   string
	database string
	gateway  int
}

// connPools holds idle connections by caller, database and gateway. Its methods are
// safe for concurrent use.
type connPools struct {
	deployment *Deployment
	mix        *Mix

	mu   sync.Mutex
	idle map[poolKey][]*pgx.Conn
}

func newConnPools(d *Deployment, mix *Mix) *connPools {
	return &connPools{deployment: d, mix: mix, idle: map[poolKey][]*pgx.Conn{}}
}

// acquire returns an idle connection, or opens one if there is none.
func (p *connPools) acquire(ctx context.Context, key poolKey) (*pgx.Conn, error) {
	p.mu.Lock()
	conns := p.idle[key]
	if n := len(conns); n > 0 {
		conn := conns[n-1]
		p.idle[key] = conns[:n-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	return p.open(ctx, key)
}

// open opens a connection and prepares the caller's statements on it.
func (p *connPools) open(ctx context.Context, key poolKey) (*pgx.Conn, error) {
	conn, err := p.deployment.connect(ctx, key.gateway, key.caller, p.mix.Service, key.database)
	if err != nil {
		return nil, err
	}
	for _, sql := range p.mix.statements(key.caller) {
		if _, err := conn.Prepare(ctx, sql, sql); err != nil {
			_ = conn.Close(ctx)
			return nil, err
		}
	}
	return conn, nil
}

// release returns a connection to its pool. A closed connection is dropped; one that
// is still in a transaction is closed.
func (p *connPools) release(key poolKey, conn *pgx.Conn) {
	if conn.IsClosed() {
		return
	}
	if conn.PgConn().TxStatus() != 'I' {
		go conn.Close(context.Background())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], conn)
}

// close closes every idle connection.
func (p *connPools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, conn := range conns {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = conn.Close(ctx)
			cancel()
		}
	}
	clear(p.idle)
}

// setParameters sends one SET statement per name and value pair, all in one simple
// query message.
func setParameters(ctx context.Context, conn *pgx.Conn, pairs ...[2]string) error {
	text := ""
	for _, pair := range pairs {
		text += fmt.Sprintf("SET %s = '%s';", pair[0], pair[1])
	}
	if text == "" {
		return nil
	}
	return conn.PgConn().Exec(ctx, text).Close()
}
