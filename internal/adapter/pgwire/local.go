package pgwire

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/request"
)

// textOID is the type OID of text in PostgreSQL.
const textOID = 25

// isLocalStatement reports whether a prepared statement is answered without a target in
// the current state of the transaction.
func (c *conn) isLocalStatement(s *preparedStatement) bool {
	return c.isLocal(s.statement)
}

// isLocal reports whether a statement is answered without a target in the current state of
// the transaction.
func (c *conn) isLocal(s request.Statement) bool {
	switch s.Kind {
	case request.Set, request.Reset, request.Deallocate, request.DiscardAll, request.Begin, request.BeginReadOnly:
		return true
	case request.Show:
		_, known := c.parameterValue(s.Name)
		return known || request.IsParameter(s.Name)
	case request.Commit, request.Rollback:
		return c.tx.unit == nil && c.pipeline.empty()
	default:
		return false
	}
}

// runLocal answers one statement without a target. In the simple protocol it also sends
// the columns of SHOW; in the extended protocol Describe does.
func (c *conn) runLocal(s request.Statement, simple bool) outcome.Outcome {
	if c.tx.failed && !s.Kind.EndsTransaction() {
		return outcome.Refuse(outcome.TransactionAborted, 0, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch s.Kind {
	case request.Set:
		return c.runSet(s)
	case request.Reset:
		return c.sendComplete("RESET", c.parameters.reset(s.Name))
	case request.Show:
		return c.runShow(s, simple)
	case request.Deallocate:
		return c.deallocate(s.Name)
	case request.DiscardAll:
		return c.discardAll()
	case request.Begin, request.BeginReadOnly:
		return c.begin(s)
	default:
		return c.endWithoutTarget(s)
	}
}

// sendComplete sends CommandComplete with tag if the outcome is OK, and returns the
// outcome.
func (c *conn) sendComplete(tag string, o outcome.Outcome) outcome.Outcome {
	if o.OK() {
		c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return o
}

func (c *conn) runSet(s request.Statement) outcome.Outcome {
	o := c.setParameter(s.Name, s.Value)
	if o.OK() && serverParameters[s.Name].reported {
		value, _ := c.parameters.value(s.Name)
		c.send(&pgproto3.ParameterStatus{Name: serverParameters[s.Name].displayName, Value: value})
	}
	return c.sendComplete("SET", o)
}

func (c *conn) runShow(s request.Statement, simple bool) outcome.Outcome {
	value, ok := c.parameterValue(s.Name)
	if !ok {
		return outcome.Refuse(outcome.ParameterInvalid, 0, "%v", request.UnknownParameter(s.Name))
	}
	if simple {
		c.send(showDescription(s.Name))
	}
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return c.sendComplete("SHOW", outcome.Outcome{})
}

func showDescription(name string) *pgproto3.RowDescription {
	if s, ok := serverParameters[name]; ok {
		name = s.displayName
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

func (c *conn) deallocate(name string) outcome.Outcome {
	if name == "" {
		c.dropStatements()
		return c.sendComplete("DEALLOCATE ALL", outcome.Outcome{})
	}
	if c.statements[name] == nil {
		return unknownStatement(name)
	}
	c.dropStatement(name)
	return c.sendComplete("DEALLOCATE", outcome.Outcome{})
}

func (c *conn) discardAll() outcome.Outcome {
	if c.tx.active {
		return outcome.Refuse(outcome.Unsupported, 0, "DISCARD ALL cannot run inside a transaction block")
	}
	c.dropStatements()
	c.parameters.reset("")
	return c.sendComplete("DISCARD ALL", outcome.Outcome{})
}

// begin opens a transaction. BEGIN is sent to the target with the first statement, so
// that a transaction that has run nothing holds no target connection.
func (c *conn) begin(s request.Statement) outcome.Outcome {
	if c.tx.implicit {
		return localAfterTarget()
	}
	if c.tx.open() {
		c.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25001", Message: "there is already a transaction in progress"})
		return c.sendComplete("BEGIN", outcome.Outcome{})
	}
	text := s.Text
	if len(text) > maxValueBytes {
		return outcome.Refuse(outcome.TooLarge, 0, "BEGIN has %d bytes, the limit is %d", len(text), maxValueBytes)
	}
	readOnly := s.Kind == request.BeginReadOnly
	if !readOnly && c.declaredReadOnly() {
		readOnly = true
		text = beginText(true)
	}
	c.tx = transaction{active: true, begin: strings.Clone(text), readOnly: readOnly}
	if !readOnly {
		c.tx.requestID = c.parameters.requestID
		c.parameters.requestID = ""
	}
	return c.sendComplete("BEGIN", outcome.Outcome{})
}

// endWithoutTarget ends a transaction that has no unit open.
func (c *conn) endWithoutTarget(s request.Statement) outcome.Outcome {
	tag := "COMMIT"
	if s.Kind == request.Rollback || c.tx.failed {
		tag = "ROLLBACK"
	}
	if !c.tx.open() {
		c.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: "there is no transaction in progress"})
	}
	c.tx.discard()
	c.portals = nil
	return c.sendComplete(tag, outcome.Outcome{})
}
