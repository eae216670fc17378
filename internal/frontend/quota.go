package frontend

import (
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// QuotaLimiter limits the operations of tenants. It must be safe for concurrent use.
type QuotaLimiter interface {
	// Admit takes one operation of a tenant with a limit out of the tenant's quota, by the
	// limits of the given version of the configuration. If there is none left, it returns
	// false with the time after which to retry and the reason, which must be a constant. The
	// time that the call takes counts as waiting time of the statement.
	Admit(tenant catalog.Tenant, version uint64) (retryAfter time.Duration, reason string, ok bool)
}

// admit counts an operation of a's tenant. It returns the refusal if the tenant's quota does
// not allow the operation, and false if it does. It must be called once per operation,
// before a unit is opened.
func (s *Session) admit(st query.Statement, a access) (query.Answer, bool) {
	if a.tenant.Name == "" {
		return query.Answer{}, false
	}
	if s.tenants != nil {
		s.tenants.Operation(a.tenant.Name)
	}
	if s.quota == nil || !a.tenant.Limited() {
		return query.Answer{}, false
	}
	retryAfter, reason, ok := s.quota.Admit(a.tenant, a.version)
	if ok {
		return query.Answer{}, false
	}
	// A fraction of a millisecond is rounded up, because an earlier retry is refused again.
	ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return s.refuseWithMessage(st, query.TooManyConnections, reason, fmt.Sprintf("not run: %s retry_after_ms=%d", reason, ms)), true
}

// countRefusal counts the reply of a home among the refusals of the unit's tenant if it is
// one. Refusals by a target, and by homes that send no reason, are counted by their code,
// because messages of targets are not bounded in number.
func (s *Session) countRefusal(r stmtunit.Reply) {
	if s.tenants == nil || s.tenant == "" || r.Outcome != stmtunit.Answered {
		return
	}
	if c := r.Answer.Code; c.NotRun() || c == query.Aborted || c == query.Unauthorized {
		reason := r.Reason
		if reason == "" {
			reason = c.String()
		}
		s.tenants.Refused(s.tenant, reason)
	}
}
