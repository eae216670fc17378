package conncache

import (
	"math"
	"time"
)

// Parameters of the demand.
const (
	// halfLife is the age at which a request counts half. It is long against the time in
	// which tenants take turns, so that the demand of tenants with equal rates stays about
	// equal (see similarDemand), and short against the minutes in which callers move.
	halfLife = 15 * time.Second
	// forgetBelow is the demand below which a tenant is forgotten, which is the case two
	// minutes after its only request.
	forgetBelow = 1.0 / 256
	// forgetInterval is the time between two searches for tenants to forget.
	forgetInterval = time.Minute
)

// Demand tracks how much tenants use a set of connections: it counts their requests, of
// which older ones count less. The zero value is ready to use. A Demand is not safe for
// concurrent use. Times are since any fixed moment.
type Demand struct {
	tenants     map[string]weight
	forgottenAt time.Duration
}

// weight is a decaying sum as of a time.
type weight struct {
	sum float64
	at  time.Duration
}

// decayed returns the sum at a later time.
func (w weight) decayed(now time.Duration) float64 {
	return w.sum * math.Exp2(-float64(now-w.at)/float64(halfLife))
}

// Record counts a request of a tenant.
func (d *Demand) Record(tenant string, now time.Duration) {
	if d.tenants == nil {
		d.tenants, d.forgottenAt = make(map[string]weight), now
	}
	d.tenants[tenant] = weight{sum: d.tenants[tenant].decayed(now) + 1, at: now}
	if now-d.forgottenAt < forgetInterval {
		return
	}
	d.forgottenAt = now
	for name, w := range d.tenants {
		if w.decayed(now) < forgetBelow {
			delete(d.tenants, name)
		}
	}
}

// Of returns the number of requests of a tenant, of which older ones count less.
func (d *Demand) Of(tenant string, now time.Duration) float64 {
	return d.tenants[tenant].decayed(now)
}
