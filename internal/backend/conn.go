// Package backend holds the connections of one daemon to the targets of its groups
// and what it knows of each target.
package backend

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Conn is one connection to a target. One goroutine uses it at a time.
type Conn interface {
	// Send writes the statements in one call, to be answered in their order.
	Send(statements ...query.Statement) error
	// Receive reads the next answer.
	Receive() (query.Answer, error)
	// ParseStatus decodes the answer of Status, Hold, Resume and Demote.
	ParseStatus(a query.Answer) (query.TargetStatus, error)
	// SetDeadline bounds reading and writing; zero takes the bound away.
	SetDeadline(at time.Time) error
	// Alive reports whether an idle connection is still open.
	Alive() bool
	// Close closes the connection; the target rolls an open transaction back.
	Close() error
}

// Dialer opens connections.
type Dialer interface {
	// Dial connects to the target id of a group, and fails with *RefusedError if
	// whoever answers there is not it or has no room.
	Dial(ctx context.Context, address, group, id string) (Conn, error)
}

// RefusedError says that a target refused a connection.
type RefusedError struct {
	Code query.Code
}

// Error names the code.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused the connection with code %s", e.Code)
}

// PooledConn is a connection of a pool with the state that was set up on it.
type PooledConn struct {
	Conn
	target *Target
	// values and prepared are what the connection holds at the target.
	values   map[string]string
	prepared map[string]struct{}
	// session is the session that used the connection last.
	session   uint64
	idleSince time.Time
	// kept says that a transaction keeps the connection. Guarded by the pool's lock.
	kept bool
}

// Target returns the target that the connection leads to.
func (l *PooledConn) Target() *Target {
	return l.target
}

// prelude returns the statements that make the connection's state that of e, and
// notes that state as reached: a connection on which one of them fails is closed.
func (l *PooledConn) prelude(e query.Environment, s query.Statement) []query.Statement {
	var out []query.Statement
	for name := range l.values {
		if _, ok := e.Values[name]; !ok {
			out = append(out, query.Statement{Kind: query.Reset})
			l.values, l.prepared = map[string]string{}, map[string]struct{}{}
			break
		}
	}
	for name, value := range e.Values {
		if have, ok := l.values[name]; !ok || have != value {
			out = append(out, query.Statement{Kind: query.Set, Name: name, Value: value})
		}
	}
	if len(out) > 0 {
		l.values = maps.Clone(e.Values)
	}
	if s.Kind != query.Execute {
		return out
	}
	p := e.Prepared[s.Name]
	name := targetName(p)
	if _, ok := l.prepared[name]; !ok {
		out = append(out, query.Statement{Kind: query.Prepare, Name: name, Value: p.Shape, Writes: p.Writes})
		l.prepared[name] = struct{}{}
	}
	return out
}

// Exchange runs one statement with the state of e. An error says that the
// connection is of no use any more; sent tells whether the statement may have
// reached the target.
func (l *PooledConn) Exchange(e query.Environment, s query.Statement, deadline time.Time) (a query.Answer, sent bool, err error) {
	if err := l.SetDeadline(deadline); err != nil {
		return query.Answer{}, false, err
	}
	prelude := l.prelude(e, s)
	if s.Kind == query.Execute {
		s.Name = targetName(e.Prepared[s.Name])
	}
	if err := l.Send(append(prelude, s)...); err != nil {
		return query.Answer{}, true, err
	}
	for _, p := range prelude {
		a, err := l.Receive()
		if err != nil {
			return query.Answer{}, true, err
		}
		if !a.OK() {
			return query.Answer{}, true, fmt.Errorf("session state was not taken: statement kind %d got code %s", p.Kind, a.Code)
		}
	}
	a, err = l.Receive()
	return a, true, err
}
