package home

import (
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// delegate refuses a unit whose target stands in another failure domain. A
// transaction that has begun here stays.
func (x *run) delegate(p place) outcome.Outcome {
	h := x.unit.home
	domain := p.instance.declared.FailureDomain
	switch {
	case !h.config.Delegate, x.unit.header.Direct, !x.opening, x.unit.deferred != "":
		return outcome.Outcome{}
	case domain == h.config.FailureDomain:
		return outcome.Outcome{}
	}
	x.elsewhere = domain
	return outcome.Refuse(outcome.Elsewhere, rerunRetryAfter, "%s stands in %s", p.instance.declared.Name, domain)
}

// placeBegin decides at a deferred BEGIN whether the transaction stays here, since
// a later batch can't move it any more.
func (x *run) placeBegin() outcome.Outcome {
	u := x.unit
	if !u.home.config.Delegate || u.header.Direct {
		return outcome.Outcome{}
	}
	begin := u.deferred
	u.deferred, x.opening = "", true
	var p place
	var o outcome.Outcome
	if x.readOnly() {
		p, o = u.choose(x.ctx, nil)
	} else {
		p, o = u.awaitPrimary(x.ctx)
	}
	if o.OK() {
		o = x.delegate(p)
	}
	if o.OK() {
		u.deferred = begin
	}
	return o
}

// refused returns the result of a unit that did not run.
func (x *run) refused(o outcome.Outcome) wireunit.Result {
	r := ended(o)
	r.Origin.FailureDomain = x.elsewhere
	r.NoReplicaHere = x.elsewhere != "" && !x.unit.replicaHere()
	return r
}

// replicaHere reports whether an instance that is not the primary stands in the
// failure domain of this home.
func (u *unit) replicaHere() bool {
	primary := u.database.state.Load().primary.Name
	for name, i := range u.database.members.Load().byName {
		if name != primary && i.declared.FailureDomain == u.home.config.FailureDomain {
			return true
		}
	}
	return false
}
