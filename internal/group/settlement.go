package group

import "github.com/laburnumrack/laburnumrack/internal/position"

// UnclearRequest is a request that was sent to a primary and whose answer is not known
// or not confirmed.
type UnclearRequest struct {
	// HasID says that the request inserts its id into target.RecordTable in the
	// transaction that does its work.
	HasID bool
	// Term is the term in which it was sent.
	Term position.Term
	// ConnectionTerm is the fence that the instance showed on the connection,
	// before the request was sent on it; zero if that is not known. A connection
	// runs no writes after its instance was fenced at a higher term.
	ConnectionTerm position.Term
	// ConnectionEnded says that the connection is known to be gone at the target,
	// or that the target's whole answer was read.
	ConnectionEnded bool
}

// RecordLookup is what a read of the request record on a rightful primary showed. Only
// a read that was itself confirmed in Term counts.
type RecordLookup struct {
	Term  position.Term
	Read  bool
	Found bool
}

// SettlementStep is what to do next for an unclear request.
type SettlementStep uint8

// The steps of a settlement.
const (
	// StepWait means to wait for a primary with an open term.
	StepWait SettlementStep = iota
	// StepTerminate means to end the request's connection at the target that it
	// was sent to, or to wait for a later term if that target does not answer.
	StepTerminate
	// StepReadRecord means to read the request record on the rightful primary
	// and to have the read confirmed.
	StepReadRecord
	// StepDone means that the request took effect.
	StepDone
	// StepNotRun means that the request did not run and never will.
	StepNotRun
	// StepUnknown means that nothing will tell. The caller is told so.
	StepUnknown
)

// String names the step.
func (s SettlementStep) String() string {
	return [...]string{"wait", "terminate", "read_record", "done", "not_run", "unknown"}[s]
}

// Settle returns the next step for an unclear request, by the rightful primary
// and the latest confirmed read of the request record.
//
// The request may still run until its connection is gone, or a term is open that
// is later than the fence its connection was opened under: the same instance may
// lead the next term, and a connection opened after its fence outlasts that. An
// entry of the request may win a promotion until the opening entry of a later
// term is confirmed.
func Settle(u UnclearRequest, p Primary, r RecordLookup) SettlementStep {
	return settle(&safeRules, u, p, r)
}

func settle(rules *rules, u UnclearRequest, p Primary, r RecordLookup) SettlementStep {
	if !u.HasID {
		return StepUnknown
	}
	if p.Name == "" || p.Term < u.Term || !rules.mayJudge(p.Open) {
		return StepWait
	}
	if !u.ConnectionEnded && !u.outlasted(p.Term) {
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

// outlasted reports whether an open term t proves that the request's connection
// runs no more writes that matter.
func (u UnclearRequest) outlasted(t position.Term) bool {
	return u.ConnectionTerm != 0 && u.ConnectionTerm < t && u.Term < t
}
