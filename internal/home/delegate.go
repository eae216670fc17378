package home

import (
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// checkDelegation refuses a unit whose target is in another failure domain, if the home
// delegates such units. A transaction that has begun in this home stays in it.
func (x *batchRun) checkDelegation(p placement) outcome.Outcome {
	h := x.unit.home
	domain := p.instance.declared.FailureDomain
	switch {
	case !h.config.Delegate, x.unit.header.Direct, !x.isFirst, x.unit.deferredBegin != "":
		return outcome.Outcome{}
	case domain == h.config.FailureDomain:
		return outcome.Outcome{}
	}
	x.ownerDomain = domain
	return outcome.Refuse(outcome.Elsewhere, rerunRetryAfter, "target %s is in failure domain %s", p.instance.declared.Name, domain)
}

// placeDeferredBegin decides at a deferred BEGIN whether the transaction stays in this
// home, because a later batch cannot be delegated.
func (x *batchRun) placeDeferredBegin() outcome.Outcome {
	u := x.unit
	if !u.home.config.Delegate || u.header.Direct {
		return outcome.Outcome{}
	}
	begin := u.deferredBegin
	u.deferredBegin, x.isFirst = "", true
	var p placement
	var o outcome.Outcome
	if x.isReadOnly() {
		p, o = u.selectForRead(x.ctx, nil)
	} else {
		p, o = u.awaitPrimary(x.ctx)
	}
	if o.OK() {
		o = x.checkDelegation(p)
	}
	if o.OK() {
		u.deferredBegin = begin
	}
	return o
}

// refusedResult returns the result of a unit that did not run.
func (x *batchRun) refusedResult(o outcome.Outcome) wireunit.Result {
	r := failedResult(o)
	r.Origin.FailureDomain = x.ownerDomain
	r.NoReplicaHere = x.ownerDomain != "" && !x.unit.hasLocalReplica()
	return r
}

// hasLocalReplica reports whether an instance other than the primary is in the failure
// domain of this home.
func (u *unit) hasLocalReplica() bool {
	primary := u.database.state.Load().primary.Name
	for name, i := range u.database.members.Load().byName {
		if name != primary && i.declared.FailureDomain == u.home.config.FailureDomain {
			return true
		}
	}
	return false
}
