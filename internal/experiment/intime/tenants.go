package intime

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Tenants returns the mix of classes with unequal objectives and service times for the
// comparison of tenants. The weights are multiples of 0.1 of the value of a request.
func Tenants() []Class {
	return []Class{
		{Name: "short", Share: 0.6, Weight: 49, Timeout: time.Second, ServiceTime: 11 * time.Millisecond},
		{Name: "long", Share: 0.15, Weight: 13, Timeout: 1500 * time.Millisecond, ServiceTime: 55 * time.Millisecond},
		{Name: "patient", Share: 0.25, Weight: 13, Timeout: 4 * time.Second, ServiceTime: 33 * time.Millisecond},
	}
}

// GenerateTenants returns the jobs of several tenants within a time, in the order of
// their arrivals. loads are the mean demands of the tenants for work as multiples of the
// capacity of the slots. The jobs of a tenant don't depend on the loads of the others.
func GenerateTenants(seed uint64, mix []Class, slots int, length time.Duration, loads []float64) []Job {
	// One statement per class: a gate does not tell the statements of a database apart.
	statements := make([][]float64, len(mix))
	for i := range statements {
		statements[i] = []float64{1}
	}
	var jobs []Job
	for i, load := range loads {
		if load <= 0 {
			continue
		}
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		// The shortest mean service time bounds the number of jobs within length.
		shortest := slices.MinFunc(mix, func(a, b Class) int { return cmp.Compare(a.ServiceTime, b.ServiceTime) }).ServiceTime
		count := int(4 * load * float64(slots) * float64(length) / float64(shortest))
		for _, j := range generate(rng, statements, mix, slots, count, load) {
			if j.Arrival >= length {
				break
			}
			j.Tenant = fmt.Sprint("tenant-", i)
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return jobs
}

// Service summarizes the results of a set of jobs.
type Service struct {
	Jobs int
	// InTime and Refused are shares of the jobs.
	InTime, Refused float64
	// P99 is the 99th percentile of the latency of the served jobs.
	P99 time.Duration
	// StartedLate is the share of the served jobs that got their slot after half of the
	// time to their deadline.
	StartedLate float64
	// RefusedLate is the share of the refused jobs that were refused after a tenth of the time
	// to their deadline.
	RefusedLate float64
}

// Summarize returns the service that the selected jobs got.
func Summarize(jobs []Job, results []Result, selected func(Job) bool) Service {
	var s Service
	var inTime, refused, startedLate, refusedLate int
	var latencies []time.Duration
	for i, j := range jobs {
		if !selected(j) {
			continue
		}
		s.Jobs++
		r := results[i]
		if !r.Served {
			refused++
			if r.Wait > j.Timeout/10 {
				refusedLate++
			}
			continue
		}
		latencies = append(latencies, r.Latency)
		if r.Latency <= j.Timeout {
			inTime++
		}
		if r.Wait > j.Timeout/2 {
			startedLate++
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		s.P99 = latencies[(len(latencies)*99-1)/100]
	}
	s.InTime, s.Refused = 1-part(s.Jobs-inTime, s.Jobs), part(refused, s.Jobs)
	s.StartedLate, s.RefusedLate = part(startedLate, len(latencies)), part(refusedLate, refused)
	return s
}

// part returns count/whole, or 0 if whole is zero.
func part(count, whole int) float64 {
	return float64(count) / float64(max(whole, 1))
}
