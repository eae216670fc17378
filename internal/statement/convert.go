package statement

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// converter converts a syntax tree to a Statement and collects the errors in it.
type converter struct {
	errs Errors
}

func (c *converter) addError(at lexer.Position, format string, args ...any) {
	c.errs = append(c.errs, Error{position(at), fmt.Sprintf(format, args...)})
}

func (c *converter) statement(n *statementNode) Statement {
	s := c.body(n)
	if n.IfVersion == nil {
		return s
	}
	version, err := strconv.ParseUint(n.IfVersion.Text, 10, 64)
	if err != nil {
		c.addError(n.IfVersion.Pos, "version %s is too large", n.IfVersion.Text)
	}
	if s.Verb == VerbShow {
		c.addError(n.IfVersion.Pos, "IF VERSION is not allowed with SHOW, want it only with a change")
	}
	revision := store.Revision(version)
	s.IfVersion = &revision
	return s
}

// body converts everything but IF VERSION and the position.
func (c *converter) body(n *statementNode) Statement {
	switch {
	case n.Show != nil:
		return Statement{Verb: VerbShow, Show: c.show(n.Show)}
	case n.Declare != nil:
		return Statement{Verb: VerbDeclare, Declare: c.declare(n.Declare)}
	case n.Drain != nil:
		return Statement{Verb: VerbDrain, Object: &Object{ObjectKind(n.Drain.Kind), string(n.Drain.Name)}}
	case n.Undrain != nil:
		return Statement{Verb: VerbUndrain, Object: &Object{ObjectKind(n.Undrain.Kind), string(n.Undrain.Name)}}
	case n.Stop != nil:
		return Statement{Verb: VerbStop, Object: &Object{ObjectService, string(*n.Stop)}}
	case n.Start != nil:
		return Statement{Verb: VerbStart, Object: &Object{ObjectService, string(*n.Start)}}
	default:
		return Statement{Verb: VerbDrop, Object: &Object{ObjectKind(n.Drop.Kind), string(n.Drop.Name)}}
	}
}

func (c *converter) show(n *showNode) *Show {
	s := &Show{Table: TableName(n.What)}
	if n.Of != nil {
		s.Of = &Object{ObjectKind(n.Of.Kind), string(n.Of.Name)}
	}
	for _, column := range n.By {
		s.By = append(s.By, strings.ToLower(string(column)))
	}
	if n.Since != nil {
		s.Since = c.duration(n.Since)
	}
	for _, w := range n.Where {
		s.Where = append(s.Where, Condition{strings.ToLower(string(w.Column)), Comparison(w.Comparison), c.literal(w.Value)})
	}
	return s
}

func (c *converter) literal(n *literalNode) Literal {
	switch {
	case n.Text != nil:
		return Literal{Kind: TextLiteral, Text: string(*n.Text)}
	case n.Duration != nil:
		return Literal{Kind: DurationLiteral, Duration: c.duration(&durationNode{n.Pos, *n.Duration})}
	case n.Number != nil:
		v, err := strconv.ParseInt(*n.Number, 10, 64)
		if err != nil {
			c.addError(n.Pos, "number %s is too large", *n.Number)
		}
		return Literal{Kind: NumberLiteral, Number: v}
	default:
		return Literal{Kind: TextLiteral, Text: string(*n.Name)}
	}
}

func (c *converter) duration(n *durationNode) time.Duration {
	d, err := time.ParseDuration(n.Text)
	if err != nil {
		c.addError(n.Pos, "invalid duration %q, want for example 500ms, 2s or 1h30m", n.Text)
	}
	return d
}

func (c *converter) number(n *numberNode) int {
	v, err := strconv.ParseInt(n.Text, 10, 32)
	if err != nil {
		c.addError(n.Pos, "number %s is too large", n.Text)
	}
	return int(v)
}

func (c *converter) address(n *addressNode) netip.AddrPort {
	a, err := netip.ParseAddrPort(n.Text)
	if err != nil {
		c.addError(n.Pos, "invalid address %q, want an IP address and a port, for example 127.0.0.1:6001", n.Text)
	}
	return a
}

func (c *converter) declare(n *declareNode) *Declare {
	switch {
	case n.Service != nil:
		return &Declare{Document: c.service(n.Service)}
	case n.Policy != nil:
		return &Declare{Document: c.policy(n.Policy)}
	case n.Caller != nil:
		return c.caller(n.Caller)
	case n.Operator != nil:
		return &Declare{Document: c.operator(n.Operator)}
	default:
		r := configuration.Region{Name: string(n.Region.Name), FailureDomains: names(n.Region.Domains)}
		return &Declare{Document: r}
	}
}

func names(nodes []nameNode) []string {
	all := make([]string, len(nodes))
	for i, n := range nodes {
		all[i] = string(n)
	}
	return all
}

func (c *converter) service(n *serviceNode) configuration.Service {
	s := configuration.Service{Name: string(n.Name)}
	for _, d := range n.Databases {
		db := configuration.Database{Name: string(d.Name)}
		for _, t := range d.Targets {
			db.Targets = append(db.Targets, configuration.Target{
				Name:          string(t.Name),
				Address:       c.address(t.Address),
				FailureDomain: string(t.FailureDomain),
				Slots:         c.number(t.Slots),
				Connections:   c.number(t.Connections),
			})
		}
		s.Databases = append(s.Databases, db)
	}
	return s
}

// duplicateChecker reports options that are given more than once.
type duplicateChecker struct {
	c    *converter
	seen map[string]bool
}

// check reports an error if the option was checked before.
func (o *duplicateChecker) check(at lexer.Position, option string) {
	if o.seen[option] {
		o.c.addError(at, "%s is given twice", option)
	}
	o.seen[option] = true
}

func (c *converter) policy(n *policyNode) configuration.ReadPolicy {
	p := configuration.ReadPolicy{Name: string(n.Name)}
	seen := &duplicateChecker{c, map[string]bool{}}
	for _, o := range n.Options {
		switch {
		case o.MaxAge != nil:
			seen.check(o.Pos, "MAX AGE")
			p.MaxAge = c.duration(o.MaxAge)
		case o.DefaultAge != nil:
			seen.check(o.Pos, "DEFAULT AGE")
			p.DefaultAge = c.duration(o.DefaultAge)
		default:
			seen.check(o.Pos, "PRIMARY ONLY")
			p.PrimaryOnly = true
		}
	}
	return p
}

func (c *converter) caller(n *callerNode) *Declare {
	d := &Declare{}
	k := configuration.Caller{Name: string(n.Name)}
	seen := &duplicateChecker{c, map[string]bool{}}
	for _, o := range n.Options {
		switch {
		case o.Password != nil:
			seen.check(o.Pos, "PASSWORD or VERIFIER")
			d.Password = string(*o.Password)
			if d.Password == "" {
				c.addError(o.Pos, "PASSWORD is empty, want at least one character")
			}
		case o.Verifier != nil:
			seen.check(o.Pos, "PASSWORD or VERIFIER")
			k.Verifier = string(*o.Verifier)
		case o.Services != nil:
			seen.check(o.Pos, "SERVICES")
			k.Services = names(o.Services)
		case o.Policy != nil:
			seen.check(o.Pos, "POLICY")
			k.Policy = string(*o.Policy)
		case o.Class != nil:
			seen.check(o.Pos, "CLASS")
			k.Class = string(*o.Class)
		case o.Weight != nil:
			seen.check(o.Pos, "WEIGHT")
			k.Weight = c.number(o.Weight)
		default:
			seen.check(o.Pos, "READ ONLY")
			k.ReadOnly = true
		}
	}
	d.Document = k
	return d
}

func (c *converter) operator(n *operatorNode) configuration.Operator {
	p := configuration.Operator{Name: string(n.Name)}
	seen := &duplicateChecker{c, map[string]bool{}}
	for _, o := range n.Options {
		switch {
		case o.Role != nil:
			seen.check(o.Pos, "ROLE")
			p.Role = configuration.Role(*o.Role)
		case o.SecretHash != nil:
			seen.check(o.Pos, "SECRET")
			p.SecretHash = string(*o.SecretHash)
		default:
			seen.check(o.Pos, "SECRET")
			if *o.Secret == "" {
				c.addError(o.Pos, "SECRET is empty, want at least one character")
			}
			hash := sha256.Sum256([]byte(*o.Secret))
			p.SecretHash = hex.EncodeToString(hash[:])
		}
	}
	return p
}
