package pgwire

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/request"
)

// simpleQuery serves a Query message. Statements that are answered locally may come
// before those for the target, which are sent as one message.
func (c *conn) simpleQuery(f frame) error {
	if c.pipeline.open() {
		return fatal(outcome.Malformed, "Query message within a pipeline that was not ended by Sync")
	}
	body := f.body()
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return fatal(outcome.Malformed, "Query message is not a zero-terminated string")
	}
	sql := string(body[:len(body)-1])
	if o := c.runQuery(f, sql, request.Classify(sql)); !o.OK() {
		c.refuse(o)
	}
	return c.sendReady()
}

// runQuery runs the statements of one Query message. A refusal that it returns hasn't
// been sent to the caller; outcomes of the target have.
func (c *conn) runQuery(f frame, sql string, statements []request.Statement) outcome.Outcome {
	if len(statements) == 1 && statements[0].Kind == request.Empty {
		c.send(&pgproto3.EmptyQueryResponse{})
		return outcome.Outcome{}
	}
	if o := c.checkQuery(statements); !o.OK() {
		return o
	}
	first := 0
	for first < len(statements) && c.isLocal(statements[first]) {
		if o := c.runLocal(statements[first], true); !o.OK() {
			return o
		}
		first++
	}
	if first == len(statements) {
		return outcome.Outcome{}
	}
	if o := c.checkNotAborted(); !o.OK() {
		return o
	}
	messages := f.raw
	if first > 0 {
		messages = queryMessage(sql[statements[first].Start:])
	}
	return c.runTargetQuery(messages, statements[first:])
}

// checkQuery refuses a query that contains an unsupported statement or order of
// statements, before any of its statements runs.
func (c *conn) checkQuery(statements []request.Statement) outcome.Outcome {
	afterTarget := false
	ended := false
	for _, s := range statements {
		local := c.isLocal(s) && !(afterTarget && s.Kind.EndsTransaction())
		switch {
		case s.Kind == request.Unsupported:
			return unsupported(s.Feature)
		case ended:
			return afterTransactionEnd()
		case local && afterTarget:
			return localAfterTarget()
		}
		if o := c.checkReadOnly(s.Kind); !o.OK() {
			return o
		}
		ended = s.Kind.EndsTransaction()
		afterTarget = afterTarget || !local
	}
	return outcome.Outcome{}
}

func (c *conn) runTargetQuery(messages []byte, statements []request.Statement) outcome.Outcome {
	r := targetRequest{
		messages:        messages,
		readOnly:        request.IsRead(statements),
		executes:        true,
		controlOnly:     request.IsControl(statements),
		endsTransaction: statements[len(statements)-1].Kind.EndsTransaction(),
	}
	if r.endsTransaction && c.parameters.requestID != "" {
		c.parameters.requestID = ""
		return outcome.Refuse(outcome.ParameterInvalid, 0, "%s requires BEGIN before COMMIT or ROLLBACK", request.ParameterRequestID)
	}
	c.wrapReadOnly(r)
	result := c.run(r, &c.sink)
	switch {
	case !result.Outcome.OK():
		c.sendOutcome(result.Outcome)
	case result.Repeated:
		c.send(&pgproto3.CommandComplete{CommandTag: []byte(result.Tag)})
	}
	return outcome.Outcome{}
}
