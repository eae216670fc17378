package target

import (
	"container/list"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// statementCache tracks the statements that are prepared on a connection, in the order
// of their last use.
type statementCache struct {
	limit int
	// lru holds the names, least recently used first.
	lru    *list.List
	byName map[string]*list.Element
}

func newStatementCache(limit int) *statementCache {
	return &statementCache{limit: limit, lru: list.New(), byName: map[string]*list.Element{}}
}

// preparation holds the statements to close and to parse before a batch runs.
type preparation struct {
	closes  []string
	missing []wireunit.Statement
}

// prepare returns the preparation of a batch that refers to statements, and marks those
// that are already prepared as used. To stay within the limit it closes the least
// recently used ones, but none that the batch refers to.
func (c *statementCache) prepare(statements []wireunit.Statement) preparation {
	var out preparation
	for _, s := range statements {
		if element, ok := c.byName[s.Name]; ok {
			c.lru.MoveToBack(element)
			continue
		}
		if !slices.ContainsFunc(out.missing, func(m wireunit.Statement) bool { return m.Name == s.Name }) {
			out.missing = append(out.missing, s)
		}
	}
	excess := len(c.byName) + len(out.missing) - c.limit
	for e := c.lru.Front(); e != nil && excess > 0; e = e.Next() {
		name := e.Value.(string)
		if refersTo(statements, name) {
			continue
		}
		out.closes = append(out.closes, name)
		excess--
	}
	return out
}

// refersTo reports whether statements contains one with the given name.
func refersTo(statements []wireunit.Statement, name string) bool {
	return slices.ContainsFunc(statements, func(s wireunit.Statement) bool { return s.Name == name })
}

func (c *statementCache) add(name string) {
	c.byName[name] = c.lru.PushBack(name)
}

func (c *statementCache) remove(name string) {
	if element, ok := c.byName[name]; ok {
		c.lru.Remove(element)
		delete(c.byName, name)
	}
}

func (c *statementCache) clear() {
	c.lru.Init()
	clear(c.byName)
}

// appendPrelude appends the encoded statements of a prelude to out. There is no Sync
// between them and the batch, so that after an error the target skips the batch.
func appendPrelude(out []byte, prelude []string) ([]byte, error) {
	for _, sql := range prelude {
		messages := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
		for _, m := range messages {
			var err error
			if out, err = m.Encode(out); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// appendPreparation appends the encoded Close and Parse messages of a preparation to
// out.
func appendPreparation(out []byte, p preparation) ([]byte, error) {
	var err error
	for _, name := range p.closes {
		message := pgproto3.Close{ObjectType: 'S', Name: name}
		if out, err = message.Encode(out); err != nil {
			return out, err
		}
	}
	for _, s := range p.missing {
		message := pgproto3.Parse{Name: s.Name, Query: s.SQL, ParameterOIDs: s.ParameterOIDs}
		if out, err = message.Encode(out); err != nil {
			return out, err
		}
	}
	return out, nil
}
