package pgwire

import (
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/request"
)

// checkReadOnly refuses a write in a read-only transaction or by a caller that has
// declared that it only reads.
func (c *conn) checkReadOnly(kind request.Kind) outcome.Outcome {
	if kind == request.Write && (c.tx.readOnly || !c.tx.active && c.declaredReadOnly()) {
		return outcome.Refuse(outcome.PolicyDenied, 0, "the session or transaction is read-only")
	}
	return outcome.Outcome{}
}

// checkNotAborted refuses work in a failed transaction whose unit is closed.
func (c *conn) checkNotAborted() outcome.Outcome {
	if c.tx.lost() {
		return outcome.Refuse(outcome.TransactionAborted, 0, "current transaction is aborted, commands ignored until end of transaction block")
	}
	return outcome.Outcome{}
}

func malformed(message string, err error) outcome.Outcome {
	return outcome.Refuse(outcome.Malformed, 0, "%s: %v", message, err)
}

func unsupported(feature string) outcome.Outcome {
	return outcome.Refuse(outcome.Unsupported, 0, "%s: not supported", clip(feature))
}

func unknownStatement(name string) outcome.Outcome {
	return outcome.Refuse(outcome.UnknownStatement, 0, "prepared statement %q does not exist", clip(name))
}

func unknownPortal(name string) outcome.Outcome {
	return outcome.Refuse(outcome.UnknownPortal, 0, "portal %q does not exist", clip(name))
}

// localAfterTarget refuses a statement that is answered locally after statements for the
// target: the answers would be out of order.
func localAfterTarget() outcome.Outcome {
	return outcome.Refuse(outcome.Unsupported, 0, "BEGIN, SET, SHOW and RESET are not supported after other statements of the same request; send them first or in a request of their own")
}

func afterTransactionEnd() outcome.Outcome {
	return outcome.Refuse(outcome.Unsupported, 0, "statements after COMMIT or ROLLBACK in the same request are not supported; send them in a request of their own")
}
