package group

import "github.com/laburnumrack/laburnumrack/internal/position"

// UnresolvedRequest is a request that was sent to a primary and whose outcome is
// unknown, because its answer was lost or could not be confirmed.
type UnresolvedRequest struct {
	// HasID reports whether the request inserts its ID into target.RecordTable in
	// the same transaction as its writes.
	HasID bool
	// Term is the term in which the request was sent.
	Term position.Term
	// ConnectionTerm is the fence of the instance, read on the connection before the
	// request was sent; zero if unknown. A connection executes no writes after its
	// instance has been fenced at a higher term.
	ConnectionTerm position.Term
	// ConnectionEnded reports whether the target is known to have closed the
	// connection, or its complete answer was read.
	ConnectionEnded bool
}

// RecordLookup is the result of reading the request record on the valid primary. A
// lookup is used only if it was itself confirmed in Term.
type RecordLookup struct {
	Term position.Term
	// Read reports whether a confirmed lookup has been made.
	Read bool
	// Found reports whether the record exists.
	Found bool
}

// SettlementStep is the next action in settling an UnresolvedRequest.
type SettlementStep uint8

// The steps of a settlement.
const (
	// StepWait waits for a primary whose term is open.
	StepWait SettlementStep = iota
	// StepTerminate terminates the request's connection at the target that it was
	// sent to, or waits for a later term if that target does not answer.
	StepTerminate
	// StepReadRecord reads the request record on the valid primary and has the read
	// confirmed.
	StepReadRecord
	// StepDone means that the request took effect.
	StepDone
	// StepNotRun means that the request was not executed and never will be.
	StepNotRun
	// StepUnknown means that the outcome can't be determined. The caller receives an
	// unknown result.
	StepUnknown
)

// String returns the name of the step.
func (s SettlementStep) String() string {
	return [...]string{"wait", "terminate", "read_record", "done", "not_run", "unknown"}[s]
}

// Settle returns the next step in settling u, given the valid primary p and the
// latest confirmed lookup r of the request record.
//
// The request may still execute until its connection has ended or a term later than
// ConnectionTerm is open. A term later than the request's own is not enough: the same
// instance may lead the next term, and a connection that was opened after the
// instance was fenced for that term stays usable in it. A log entry of the request
// may also survive a promotion until the opening entry of a later term is confirmed.
func Settle(u UnresolvedRequest, p Primary, r RecordLookup) SettlementStep {
	return settle(&safeRules, u, p, r)
}

func settle(rules *rules, u UnresolvedRequest, p Primary, r RecordLookup) SettlementStep {
	if !u.HasID {
		return StepUnknown
	}
	if p.Name == "" || p.Term < u.Term || !rules.mayResolve(p.Open) {
		return StepWait
	}
	if !u.ConnectionEnded && !u.isFencedBy(p.Term) {
		return StepTerminate
	}
	if !r.Read || r.Term != p.Term {
		return StepReadRecord
	}
	if r.Found {
		return StepDone
	}
	return StepNotRun
}

// isFencedBy reports whether the open term t proves that no later write on the
// request's connection can take effect.
func (u UnresolvedRequest) isFencedBy(t position.Term) bool {
	return u.ConnectionTerm != 0 && u.ConnectionTerm < t && u.Term < t
}
