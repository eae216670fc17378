package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// preparedReadRows is the number of rows that Prepare inserts for reads in each
// database, in every table that a class reads.
const preparedReadRows = 200

// Arrival is one scheduled request of a plan.
type Arrival struct {
	Number int
	// Prefix starts the request id, so that several plans can run against one
	// deployment without reusing ids.
	Prefix string
	// At is the intended start, measured from the start of the run.
	At       time.Duration
	Class    *Class
	Database string
	// Gateway and ReadGateway are indexes into Deployment.Gateways. They differ for
	// a session that reads its own write through another gateway.
	Gateway     int
	ReadGateway int
	// Row is the number of the prepared row that a Read request reads.
	Row int
}

// ID returns the request id, which is also the primary key of the row that the
// request writes.
func (a *Arrival) ID() string {
	return fmt.Sprintf("%s%06d", a.Prefix, a.Number)
}

// PlanConfig holds the parameters of a plan.
type PlanConfig struct {
	Mix Mix
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	// Gateways is the number of gateways that the arrivals are spread over.
	Gateways int
	// RoamingShare is the share of requests, from 0 to 1, whose gateway for the
	// read-back is drawn anew.
	RoamingShare float64
	Seed         uint64
	Prefix       string
}

// Plan generates the arrivals of a Poisson process. The plan is a deterministic
// function of config.
func Plan(config PlanConfig) []Arrival {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	var plan []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / config.Rate * float64(time.Second))
		if at >= config.Duration {
			return plan
		}
		a := config.newArrival(random)
		a.Number, a.At = len(plan), at
		plan = append(plan, a)
	}
}

func (c *PlanConfig) newArrival(random *rand.Rand) Arrival {
	a := Arrival{
		Prefix:   c.Prefix,
		Class:    pickClass(c.Mix.Classes, random.Float64()),
		Database: c.Mix.Databases[random.IntN(len(c.Mix.Databases))],
		Gateway:  random.IntN(c.Gateways),
		Row:      random.IntN(preparedReadRows),
	}
	a.ReadGateway = a.Gateway
	if random.Float64() < c.RoamingShare {
		a.ReadGateway = random.IntN(c.Gateways)
	}
	return a
}

// pickClass returns the class whose range of the cumulative shares contains threshold,
// a number from 0 to 1. The shares are normalized, so their sum need not be 1.
func pickClass(classes []Class, threshold float64) *Class {
	total := 0.0
	for _, c := range classes {
		total += c.Share
	}
	threshold *= total
	for i := range classes {
		threshold -= classes[i].Share
		if threshold < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}
