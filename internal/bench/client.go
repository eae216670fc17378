package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// Session parameters of the proxy. The token carries a session between entries.
const (
	sessionToken      = "laburnumrack.session"
	deadlineParameter = "laburnumrack.deadline"
)

const connectTimeout = 5 * time.Second

// Deployment says where a deployment can be reached.
type Deployment struct {
	// Gateways are the IP:port of the callers' listeners.
	Gateways []string
	// Admins are the IP:port of the daemons' metrics.
	Admins []string
	// Controls are the fault control addresses of the targets, for their load.
	Controls Controls
	// Link is the control IP:port of the link stand-in, if there is one.
	Link string
	// PasswordPrefix and the caller's name make the caller's password.
	PasswordPrefix string
	// Callers replaces caller names, to compare policies.
	CallerAliases map[string]string
}

func (d *Deployment) caller(name string) string {
	if other, ok := d.CallerAliases[name]; ok {
		return other
	}
	return name
}

// connect opens a connection of a caller to a database through one entry.
func (d *Deployment) connect(ctx context.Context, entry int, caller, service, database string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/?sslmode=disable", d.Gateways[entry]))
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
	entry    int
}

// pools keeps idle connections. All methods may be called from any goroutine.
type pools struct {
	deployment *Deployment
	mix        *Mix

	mu   sync.Mutex
	idle map[poolKey][]*pgx.Conn
}

func newPools(d *Deployment, mix *Mix) *pools {
	return &pools{deployment: d, mix: mix, idle: map[poolKey][]*pgx.Conn{}}
}

func (p *pools) take(ctx context.Context, key poolKey) (*pgx.Conn, error) {
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

// open opens a connection and prepares the statements of its caller.
func (p *pools) open(ctx context.Context, key poolKey) (*pgx.Conn, error) {
	conn, err := p.deployment.connect(ctx, key.entry, key.caller, p.mix.Service, key.database)
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

// put gives a connection back; a broken one is dropped.
func (p *pools) put(key poolKey, conn *pgx.Conn) {
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
func (p *pools) close() {
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

// setParameters sends SET statements in one message.
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
