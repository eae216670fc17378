// Package backend manages the connections of one daemon to the targets of its database
// groups, and tracks the state of each target and the leader of each group.
package backend

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
	// values are the session settings that the connection has at the target, nil if they are
	// not known.
	values map[string]string
	// prepared are the names of the prepared statements that the connection has at the target.
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

// Exchange sets up the session state e and runs one statement before the deadline. If the
// target refuses a part of the session state, the statement has not run and the answer is
// query.Busy. After an error the connection must be discarded; sent reports whether the
// statement may have reached the target.
func (c *PooledConn) Exchange(e query.Environment, s query.Statement, deadline time.Time) (a query.Answer, sent bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return query.Answer{}, false, err
	}
	if refusal, err := c.setValues(e.Values); err != nil || !refusal.OK() {
		return refusal, false, err
	}
	if s.Kind == query.Execute {
		a, err = c.execute(e.Prepared[s.Name], s)
		return a, true, err
	}
	if err := c.Send(s); err != nil {
		return query.Answer{}, true, err
	}
	a, err = c.Receive()
	return a, true, err
}

// hasValues reports whether the connection has the wanted session values and no others.
func (c *PooledConn) hasValues(wanted map[string]string) bool {
	return c.values != nil && maps.Equal(c.values, wanted)
}

// setValues brings the session values of the connection to the wanted ones and returns a
// success, or query.Busy if the target refused to. It waits for the answers of the target: a
// statement sent along would run with the values of another session after a refusal.
func (c *PooledConn) setValues(wanted map[string]string) (query.Answer, error) {
	if c.hasValues(wanted) {
		return query.Success(query.Idle), nil
	}
	statements := c.valueStatements(wanted)
	c.values = nil
	if statements[0].Kind == query.Reset {
		c.prepared = map[string]struct{}{}
	}
	if err := c.Send(statements...); err != nil {
		return query.Answer{}, err
	}
	var refusal *query.Answer
	for range statements {
		a, err := c.Receive()
		if err != nil {
			return query.Answer{}, err
		}
		if !a.OK() && refusal == nil {
			refusal = &a
		}
	}
	if refusal != nil {
		return setupRefused(*refusal), nil
	}
	c.values = maps.Clone(wanted)
	if c.values == nil {
		c.values = map[string]string{}
	}
	return query.Success(query.Idle), nil
}

// setupRefused returns the answer to a statement whose session state the target refused with
// a, so that it did not run.
func setupRefused(a query.Answer) query.Answer {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_session_setup_refused_total{code=%q}`, a.Code)).Inc()
	return query.Failure(query.Busy, a.State, "session state refused: "+a.Code.String())
}

// valueStatements returns the statements that bring the session values of the connection to
// the wanted ones.
func (c *PooledConn) valueStatements(wanted map[string]string) []query.Statement {
	var out []query.Statement
	current := c.values
	if c.hasOtherValues(wanted) {
		out = append(out, query.Statement{Kind: query.Reset})
		current = nil
	}
	for name, value := range wanted {
		if known, ok := current[name]; !ok || known != value {
			out = append(out, query.Statement{Kind: query.Set, Name: name, Value: value})
		}
	}
	return out
}

// hasOtherValues reports whether the connection may have values that are not wanted, which
// only a RESET removes.
func (c *PooledConn) hasOtherValues(wanted map[string]string) bool {
	if c.values == nil {
		return true
	}
	for name := range c.values {
		if _, ok := wanted[name]; !ok {
			return true
		}
	}
	return false
}

// execute runs the prepared statement p by s. A connection that does not have it prepares it
// in the same call: its name is that of its shape, so nothing runs if the target refuses that.
func (c *PooledConn) execute(p query.Prepared, s query.Statement) (query.Answer, error) {
	s.Name = targetStatementName(p)
	if _, ok := c.prepared[s.Name]; ok {
		if err := c.Send(s); err != nil {
			return query.Answer{}, err
		}
		return c.Receive()
	}
	if err := c.Send(query.Statement{Kind: query.Prepare, Name: s.Name, Value: p.Shape, Writes: p.Writes}, s); err != nil {
		return query.Answer{}, err
	}
	prepared, err := c.Receive()
	if err != nil {
		return query.Answer{}, err
	}
	if prepared.OK() {
		c.prepared[s.Name] = struct{}{}
	}
	a, err := c.Receive()
	if err == nil && !prepared.OK() && a.Code == query.NoStatement {
		prepared.State = a.State
		a = setupRefused(prepared)
	}
	return a, err
}
