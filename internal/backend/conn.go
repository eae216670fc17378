// Package backend manages the connections of one daemon to the targets of its database
// groups, and tracks the state of each target and the leader of each group.
package backend

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Conn is one connection to a target. Only one goroutine may use it at a time.
type Conn interface {
	// Send writes the statements in one call. The target answers them in order.
	Send(statements ...query.Statement) error
	// Receive reads the next answer.
	Receive() (query.Answer, error)
	// ParseStatus decodes the answer to a Status, Hold, Resume or Demote statement.
	ParseStatus(a query.Answer) (query.TargetStatus, error)
	// SetDeadline sets the deadline for reads and writes; the zero time removes it.
	SetDeadline(at time.Time) error
	// Alive reports whether an idle connection is still open.
	Alive() bool
	// Close closes the connection. The target rolls back an open transaction.
	Close() error
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial connects to the target id of a group, on behalf of a tenant or, if that is
	// empty, of this program itself. It returns a *RefusedError if another target listens
	// at the address or if the target has no free connection.
	Dial(ctx context.Context, address, group, tenant, id string) (Conn, error)
}

// RefusedError is the error for a target that refuses a connection or a control
// statement.
type RefusedError struct {
	Code query.Code
}

// Error returns a message with the code that the target sent.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused the connection with code %s", e.Code)
}

// PooledConn is a connection of a pool, with the session state that was set up on it.
type PooledConn struct {
	Conn
	target *Target
	// tenant is the tenant that the connection was opened for, empty for none. Only
	// control statements may run for another one.
	tenant string
	// values are the session settings and prepared the names of the prepared statements
	// that the connection has at the target.
	values   map[string]string
	prepared map[string]struct{}
	// session is the session that last used the connection.
	session uint64
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
	// usedAt is idleSince as time since boot.
	usedAt time.Duration
	// pinned reports whether a transaction holds the connection until it ends. It is
	// guarded by the mutex of the pool.
	pinned bool
}

// Target returns the target that the connection is open to.
func (c *PooledConn) Target() *Target {
	return c.target
}

// Tenant returns the tenant that the connection was opened for, empty for none.
func (c *PooledConn) Tenant() string {
	return c.tenant
}

// setupStatements returns the statements that bring the session state of the connection
// to e before s runs. It records e as reached: a connection on which one of the
// statements fails is closed.
func (c *PooledConn) setupStatements(e query.Environment, s query.Statement) []query.Statement {
	var out []query.Statement
	for name := range c.values {
		if _, ok := e.Values[name]; !ok {
			out = append(out, query.Statement{Kind: query.Reset})
			c.values, c.prepared = map[string]string{}, map[string]struct{}{}
			break
		}
	}
	for name, value := range e.Values {
		if current, ok := c.values[name]; !ok || current != value {
			out = append(out, query.Statement{Kind: query.Set, Name: name, Value: value})
		}
	}
	if len(out) > 0 {
		c.values = maps.Clone(e.Values)
	}
	if s.Kind != query.Execute {
		return out
	}
	p := e.Prepared[s.Name]
	name := targetStatementName(p)
	if _, ok := c.prepared[name]; !ok {
		out = append(out, query.Statement{Kind: query.Prepare, Name: name, Value: p.Shape, Writes: p.Writes})
		c.prepared[name] = struct{}{}
	}
	return out
}

// Exchange sets up the session state e and runs one statement before the deadline. After
// an error the connection must be discarded; sent reports whether the statement may have
// reached the target.
func (c *PooledConn) Exchange(e query.Environment, s query.Statement, deadline time.Time) (a query.Answer, sent bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return query.Answer{}, false, err
	}
	setup := c.setupStatements(e, s)
	if s.Kind == query.Execute {
		s.Name = targetStatementName(e.Prepared[s.Name])
	}
	if err := c.Send(append(setup, s)...); err != nil {
		return query.Answer{}, true, err
	}
	for _, p := range setup {
		a, err := c.Receive()
		if err != nil {
			return query.Answer{}, true, err
		}
		if !a.OK() {
			return query.Answer{}, true, fmt.Errorf("set up session state: statement of kind %d failed with code %s", p.Kind, a.Code)
		}
	}
	a, err = c.Receive()
	return a, true, err
}
