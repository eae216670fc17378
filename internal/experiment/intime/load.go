package intime

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class describes one kind of request of a mix.
type Class struct {
	Name   string
	Share  float64
	Weight int
	// Timeout is the time from arrival to deadline.
	Timeout time.Duration
	// ServiceTime is the mean time for which a request occupies a slot.
	ServiceTime time.Duration
}

// Silotehnika returns the mix of fan orders, shift logs and readings.
func Silotehnika() []Class {
	return []Class{
		{Name: "fan-order", Share: 0.1, Weight: 2, Timeout: 250 * time.Millisecond, ServiceTime: 10 * time.Millisecond},
		{Name: "shift-log", Share: 0.15, Weight: 2, Timeout: 500 * time.Millisecond, ServiceTime: 10 * time.Millisecond},
		{Name: "reading", Share: 0.75, Weight: 1, Timeout: 150 * time.Millisecond, ServiceTime: 5 * time.Millisecond},
	}
}

// Volta returns the mix of bookings, permits and availability maps.
func Volta() []Class {
	return []Class{
		{Name: "booking", Share: 0.1, Weight: 2, Timeout: 400 * time.Millisecond, ServiceTime: 12 * time.Millisecond},
		{Name: "permit", Share: 0.1, Weight: 1, Timeout: 600 * time.Millisecond, ServiceTime: 12 * time.Millisecond},
		{Name: "map", Share: 0.8, Weight: 1, Timeout: 200 * time.Millisecond, ServiceTime: 8 * time.Millisecond},
	}
}

// Hakata returns the mix of certificate postings, fineness reports and reconciliations. The
// service times include the further statements of those that are transactions.
func Hakata() []Class {
	return []Class{
		{Name: "certificate", Share: 0.15, Weight: 2, Timeout: 800 * time.Millisecond, ServiceTime: 10 * time.Millisecond},
		{Name: "report", Share: 0.15, Weight: 1, Timeout: 1200 * time.Millisecond, ServiceTime: 33 * time.Millisecond},
		{Name: "reconciliation", Share: 0.7, Weight: 2, Timeout: 1500 * time.Millisecond, ServiceTime: 23 * time.Millisecond},
	}
}

// Job is one request of a simulated load.
type Job struct {
	Class  int
	Tenant string
	// TenantRate is the rate that the tenant declares; zero means none.
	TenantRate float64
	Weight     int
	// Statement identifies the statement of the request. It is known to a policy at
	// the arrival.
	Statement string
	Arrival   time.Duration
	// ServiceTime is known to the simulation only. A policy learns it when the job ends.
	ServiceTime time.Duration
	Timeout     time.Duration
}

// Deadline returns the time of the deadline, on the same clock as Arrival.
func (j Job) Deadline() time.Duration {
	return j.Arrival + j.Timeout
}

// Parameters of the service times. They are lognormally distributed, and the sigmas are
// those of the underlying normal distributions.
const (
	// statementSigma is the sigma of the mean service times of a class's statements.
	statementSigma = 0.5
	// requestSigma is the sigma of the service times of one statement.
	requestSigma = 0.15
	// statementsPerClass is the number of distinct statements of a class.
	statementsPerClass = 16
)

// Generate returns count random jobs with Poisson arrivals. Their mean demand for work is
// load times the capacity of the slots; a load of 1 is 100%.
func Generate(seed uint64, mix []Class, slots, count int, load float64) []Job {
	rng := rand.New(rand.NewPCG(seed, 1))
	return generate(rng, drawStatements(rng, mix), mix, slots, count, load)
}

// generate is Generate with given statements.
func generate(rng *rand.Rand, statements [][]float64, mix []Class, slots, count int, load float64) []Job {
	mean := 0.0
	for i, c := range mix {
		mean += c.Share * float64(c.ServiceTime) * average(statements[i])
	}
	meanGap := mean / (load * float64(slots))
	jobs := make([]Job, count)
	now := 0.0
	for i := range jobs {
		now += rng.ExpFloat64() * meanGap
		class := pickClass(rng, mix)
		c := mix[class]
		statement := rng.IntN(len(statements[class]))
		factor := statements[class][statement] * lognormal(rng, requestSigma)
		jobs[i] = Job{
			Class:       class,
			Weight:      c.Weight,
			Statement:   fmt.Sprintf("%s-%d", c.Name, statement),
			Arrival:     time.Duration(now),
			ServiceTime: time.Duration(factor * float64(c.ServiceTime)),
			Timeout:     c.Timeout,
		}
	}
	return jobs
}

// drawStatements returns, for each class, the mean service time of each statement as a
// multiple of the class's mean.
func drawStatements(rng *rand.Rand, mix []Class) [][]float64 {
	statements := make([][]float64, len(mix))
	for i := range mix {
		for range statementsPerClass {
			statements[i] = append(statements[i], lognormal(rng, statementSigma))
		}
	}
	return statements
}

// lognormal returns a lognormally distributed random number with mean 1.
func lognormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// pickClass returns the index of a random class, drawn with the shares of the mix.
func pickClass(rng *rand.Rand, mix []Class) int {
	threshold := rng.Float64()
	for i, c := range mix {
		threshold -= c.Share
		if threshold < 0 {
			return i
		}
	}
	return len(mix) - 1
}
