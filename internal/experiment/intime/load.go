package intime

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class is one kind of request in the mix.
type Class struct {
	Name   string
	Share  float64
	Weight int
	// Patience is the time from arrival to deadline.
	Timeout time.Duration
	// Service is the mean time that a request holds its slot.
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

// Job is one request of a simulated load.
type Job struct {
	Class  int
	Weight int
	// Statement names the statement of the request, which a policy may know
	// beforehand.
	Statement string
	Arrival   time.Duration
	// Service is known to the simulation only; a policy learns it at the end.
	ServiceTime time.Duration
	Timeout     time.Duration
}

// Deadline returns the latest useful end.
func (j Job) Deadline() time.Duration {
	return j.Arrival + j.Timeout
}

// Spread of service times, as the sigma of lognormal distributions.
const (
	// betweenStatements is the spread of the means of a class's statements.
	betweenStatements = 0.5
	// withinStatement is the spread around the mean of one statement.
	withinStatement = 0.15
	// statementsPerClass is how many statements a class uses.
	statementsPerClass = 16
)

// Generate draws count jobs whose mean demand is load times the capacity of
// slots.
func Generate(seed uint64, mix []Class, slots, count int, load float64) []Job {
	rng := rand.New(rand.NewPCG(seed, 1))
	statements := drawStatements(rng, mix)
	mean := 0.0
	for i, c := range mix {
		mean += c.Share * float64(c.ServiceTime) * average(statements[i])
	}
	gap := mean / (load * float64(slots))
	jobs := make([]Job, count)
	now := 0.0
	for i := range jobs {
		now += rng.ExpFloat64() * gap
		class := pick(rng, mix)
		c := mix[class]
		statement := rng.IntN(statementsPerClass)
		factor := statements[class][statement] * lognormal(rng, withinStatement)
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

// drawStatements returns, by class, the service time of each statement as a
// multiple of the class's mean.
func drawStatements(rng *rand.Rand, mix []Class) [][]float64 {
	statements := make([][]float64, len(mix))
	for i := range mix {
		for range statementsPerClass {
			statements[i] = append(statements[i], lognormal(rng, betweenStatements))
		}
	}
	return statements
}

// lognormal draws a factor with mean 1.
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

func pick(rng *rand.Rand, mix []Class) int {
	at := rng.Float64()
	for i, c := range mix {
		at -= c.Share
		if at < 0 {
			return i
		}
	}
	return len(mix) - 1
}
