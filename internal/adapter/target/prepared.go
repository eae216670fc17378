package target

import (
	"container/list"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// prepared tracks the statements that a connection holds, least recently used
// at the front.
type prepared struct {
	limit int
	order *list.List
	names map[string]*list.Element
}

func newPrepared(limit int) *prepared {
	return &prepared{limit: limit, order: list.New(), names: map[string]*list.Element{}}
}

// plan is what is sent in front of a batch: closes of old statements and parses
// of missing ones.
type plan struct {
	closes  []string
	missing []wireunit.Statement
}

// plan returns what the connection needs before it can run a batch that refers
// to statements.
func (p *prepared) plan(statements []wireunit.Statement) plan {
	var out plan
	for _, s := range statements {
		if element, ok := p.names[s.Name]; ok {
			p.order.MoveToBack(element)
			continue
		}
		if !slices.ContainsFunc(out.missing, func(m wireunit.Statement) bool { return m.Name == s.Name }) {
			out.missing = append(out.missing, s)
		}
	}
	excess := len(p.names) + len(out.missing) - p.limit
	for e := p.order.Front(); e != nil && excess > 0; e = e.Next() {
		name := e.Value.(string)
		if refersTo(statements, name) {
			continue
		}
		out.closes = append(out.closes, name)
		excess--
	}
	return out
}

func refersTo(statements []wireunit.Statement, name string) bool {
	return slices.ContainsFunc(statements, func(s wireunit.Statement) bool { return s.Name == name })
}

func (p *prepared) add(name string) {
	p.names[name] = p.order.PushBack(name)
}

func (p *prepared) remove(name string) {
	if element, ok := p.names[name]; ok {
		p.order.Remove(element)
		delete(p.names, name)
	}
}

func (p *prepared) clear() {
	p.order.Init()
	clear(p.names)
}

// appendPrelude encodes statements that run in front of a batch. No Sync stands
// between them and the batch, so that an error skips the rest.
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

// appendPlan encodes the messages of a plan.
func appendPlan(out []byte, p plan) ([]byte, error) {
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
