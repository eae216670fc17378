package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// readRows is how many rows Prepare makes for reads in each database.
const readRows = 200

// Arrival is one request of a plan.
type Arrival struct {
	Number int
	// Prefix keeps the ids of several plans on one deployment apart.
	Prefix   string
	At       time.Duration
	Class    *Class
	Database string
	// Entry and ReadEntry are indexes into the entry addresses; a session that
	// reads back its own write may have moved.
	Gateway     int
	ReadGateway int
	// Row is the row to read.
	Row int
}

// ID is the request's key and request id.
func (a *Arrival) ID() string {
	return fmt.Sprintf("%s%06d", a.Prefix, a.Number)
}

// PlanConfig describes a plan.
type PlanConfig struct {
	Mix Mix
	// Rate is the mean number of arrivals a second.
	Rate     float64
	Duration time.Duration
	// Entries is the number of entries to spread the arrivals over.
	Gateways int
	// Roam is the share of sessions that move between write and read.
	RoamingShare float64
	Seed         uint64
	Prefix       string
}

// Plan returns the arrivals of a Poisson process. The same config gives the same
// plan.
func Plan(config PlanConfig) []Arrival {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	var plan []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / config.Rate * float64(time.Second))
		if at >= config.Duration {
			return plan
		}
		a := config.arrival(random)
		a.Number, a.At = len(plan), at
		plan = append(plan, a)
	}
}

func (c *PlanConfig) arrival(random *rand.Rand) Arrival {
	a := Arrival{
		Prefix:   c.Prefix,
		Class:    pickClass(c.Mix.Classes, random.Float64()),
		Database: c.Mix.Databases[random.IntN(len(c.Mix.Databases))],
		Gateway:  random.IntN(c.Gateways),
		Row:      random.IntN(readRows),
	}
	a.ReadGateway = a.Gateway
	if random.Float64() < c.RoamingShare {
		a.ReadGateway = random.IntN(c.Gateways)
	}
	return a
}

// pickClass returns the class at a point of the shares, which need not add up
// to one.
func pickClass(classes []Class, point float64) *Class {
	total := 0.0
	for _, c := range classes {
		total += c.Share
	}
	point *= total
	for i := range classes {
		point -= classes[i].Share
		if point < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}
