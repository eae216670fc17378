package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/request"
)

// recordExecute updates the properties of the pending request for an Execute of a
// statement of the given kind.
func (p *pipeline) recordExecute(kind request.Kind) {
	read := kind == request.Read || kind == request.Show || kind == request.Empty
	p.pending.readOnly = read && (p.pending.readOnly || !p.pending.executes)
	p.pending.controlOnly = kind.ControlsTransaction() && (p.pending.controlOnly || !p.pending.executes)
	p.pending.executes = true
	p.pending.endsTransaction = kind.EndsTransaction()
}

// extended handles one message of the extended query protocol. A refusal fails the
// pipeline, not the connection.
func (c *conn) extended(f frame) error {
	c.pipeline.started = true
	switch {
	case f.kind == 'S':
		return c.sync()
	case c.pipeline.skipping:
		return nil
	case f.kind == 'H':
		return c.flush()
	}
	o := c.extendedMessage(f)
	if o.OK() && len(c.pipeline.pending.messages) > c.pipeline.chargedBytes+unchargedBytes {
		o = c.chargePipeline()
	}
	if o.OK() && len(c.pipeline.pending.messages) > c.server.config.Limits.MessageBytes {
		o = outcome.Refuse(outcome.TooLarge, 0, "pipeline is larger than the limit of %d bytes", c.server.config.Limits.MessageBytes)
	}
	if !o.OK() {
		c.failPipeline(o)
	}
	return nil
}

func (c *conn) extendedMessage(f frame) outcome.Outcome {
	switch f.kind {
	case 'P':
		return c.parse(f)
	case 'B':
		return c.bind(f)
	case 'D':
		return c.describe(f)
	case 'E':
		return c.execute(f)
	default:
		return c.closeObject(f)
	}
}

func (c *conn) parse(f frame) outcome.Outcome {
	var m pgproto3.Parse
	if err := m.Decode(f.body()); err != nil {
		return malformed("Parse", err)
	}
	s := newPreparedStatement(m.Query, m.ParameterOIDs)
	if s.statement.Kind == request.Unsupported {
		return unsupported(s.statement.Feature)
	}
	local := c.isLocalStatement(s) && c.pipeline.empty()
	if o := c.checkNotAborted(); !local && !o.OK() {
		return o
	}
	if o := c.storeStatement(m.Name, s); !o.OK() {
		return o
	}
	if local {
		c.send(&pgproto3.ParseComplete{})
		return outcome.Outcome{}
	}
	c.pipeline.pendingParses = append(c.pipeline.pendingParses, pendingParse{name: m.Name, statement: s})
	m.Name = ""
	c.pipeline.appendMessage('P', &m)
	c.pipeline.unnamedStatement = s
	return outcome.Outcome{}
}

// dropParses drops the prepared statements of the pipeline's Parse messages, except the
// first succeeded ones, which the target accepted.
func (c *conn) dropParses(succeeded int) {
	parses := c.pipeline.pendingParses
	for _, p := range parses[min(succeeded, len(parses)):] {
		if c.statements[p.name] == p.statement {
			c.dropStatement(p.name)
		}
	}
}

// storeStatement stores a prepared statement under the caller's name.
func (c *conn) storeStatement(name string, s *preparedStatement) outcome.Outcome {
	if name != "" && c.statements[name] != nil {
		return outcome.Refuse(outcome.DuplicateStatement, 0, "prepared statement %q already exists", clip(name))
	}
	c.dropStatement(name)
	if len(c.statements) >= c.server.config.Limits.Statements || !c.chargeStatement(s.memoryBytes()) {
		return outcome.Refuse(outcome.TooLarge, 0, "too many or too large prepared statements: %d exist, with %d bytes in total", len(c.statements), c.statementBytes)
	}
	if c.statements == nil {
		c.statements = make(map[string]*preparedStatement, 1)
	}
	c.statements[name] = s
	return outcome.Outcome{}
}

func (c *conn) bind(f frame) outcome.Outcome {
	var m pgproto3.Bind
	if err := m.Decode(f.body()); err != nil {
		return malformed("Bind", err)
	}
	s := c.statements[m.PreparedStatement]
	if s == nil {
		return unknownStatement(m.PreparedStatement)
	}
	local := c.isLocalStatement(s)
	if c.portals == nil {
		c.portals = make(map[string]portal, 1)
	}
	if len(c.portals) >= c.server.config.Limits.Statements {
		return outcome.Refuse(outcome.TooLarge, 0, "too many portals: %d are open", len(c.portals))
	}
	name := m.DestinationPortal
	o := c.bindStatement(s, local, &m)
	if o.OK() {
		c.portals[name] = portal{statement: s.statement, local: local}
	}
	return o
}

// bindStatement answers a Bind locally or adds it to the messages for the target.
func (c *conn) bindStatement(s *preparedStatement, local bool, m *pgproto3.Bind) outcome.Outcome {
	if local {
		return c.bindLocal(len(m.Parameters))
	}
	if o := c.checkNotAborted(); !o.OK() {
		return o
	}
	m.PreparedStatement = c.pipeline.targetName(s)
	c.pipeline.appendMessage('B', m)
	return outcome.Outcome{}
}

func (c *conn) bindLocal(parameters int) outcome.Outcome {
	if !c.pipeline.empty() {
		return localAfterTarget()
	}
	if parameters > 0 {
		return outcome.Refuse(outcome.Malformed, 0, "bind message supplies %d parameters, but the statement requires 0", parameters)
	}
	c.send(&pgproto3.BindComplete{})
	return outcome.Outcome{}
}

func (c *conn) describe(f frame) outcome.Outcome {
	var m pgproto3.Describe
	if err := m.Decode(f.body()); err != nil {
		return malformed("Describe", err)
	}
	if m.ObjectType == 'P' {
		return c.describePortal(f, m.Name)
	}
	s := c.statements[m.Name]
	if s == nil {
		return unknownStatement(m.Name)
	}
	if c.isLocalStatement(s) && c.pipeline.empty() {
		c.send(&pgproto3.ParameterDescription{})
		c.describeLocal(s.statement)
		return outcome.Outcome{}
	}
	if o := c.checkNotAborted(); !o.OK() {
		return o
	}
	m.Name = c.pipeline.targetName(s)
	c.pipeline.appendMessage('D', &m)
	return outcome.Outcome{}
}

func (c *conn) describePortal(f frame, name string) outcome.Outcome {
	p, ok := c.portals[name]
	if !ok {
		return unknownPortal(name)
	}
	switch {
	case p.local && !c.pipeline.empty():
		return localAfterTarget()
	case p.local:
		c.describeLocal(p.statement)
		return outcome.Outcome{}
	}
	if o := c.checkNotAborted(); !o.OK() {
		return o
	}
	c.pipeline.appendFrame(f)
	return outcome.Outcome{}
}

// describeLocal sends the result columns of a statement that is answered locally.
func (c *conn) describeLocal(s request.Statement) {
	if s.Kind == request.Show {
		c.send(showDescription(s.Name))
		return
	}
	c.send(&pgproto3.NoData{})
}

func (c *conn) execute(f frame) outcome.Outcome {
	var m pgproto3.Execute
	if err := m.Decode(f.body()); err != nil {
		return malformed("Execute", err)
	}
	p, ok := c.portals[m.Portal]
	if !ok {
		return unknownPortal(m.Portal)
	}
	kind := p.statement.Kind
	if o := c.checkNotAborted(); !p.local && !o.OK() {
		return o
	}
	switch {
	case p.local && !c.pipeline.empty():
		return localAfterTarget()
	case p.local:
		return c.runLocal(p.statement, false)
	case c.pipeline.pending.endsTransaction:
		return afterTransactionEnd()
	}
	if o := c.checkReadOnly(kind); !o.OK() {
		return o
	}
	c.pipeline.appendFrame(f)
	c.pipeline.recordExecute(kind)
	return outcome.Outcome{}
}

func (c *conn) closeObject(f frame) outcome.Outcome {
	var m pgproto3.Close
	if err := m.Decode(f.body()); err != nil {
		return malformed("Close", err)
	}
	if m.ObjectType == 'S' {
		c.dropStatement(m.Name)
		m.Name = ""
		c.pipeline.unnamedStatement = nil
	} else {
		local := c.portals[m.Name].local || c.tx.unit == nil
		delete(c.portals, m.Name)
		if !local {
			c.pipeline.appendFrame(f)
			return outcome.Outcome{}
		}
	}
	if c.pipeline.empty() {
		c.send(&pgproto3.CloseComplete{})
		return outcome.Outcome{}
	}
	c.pipeline.appendMessage('C', &m)
	return outcome.Outcome{}
}
