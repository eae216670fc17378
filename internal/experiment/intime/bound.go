package intime

import (
	"container/heap"
	"sort"
	"time"
)

// bisections is how often the part of a job that still fits is halved.
const bisections = 12

// Bound returns an upper bound on the weight that any scheduler can serve in
// time on slots, even one that knows all arrivals. It relaxes the problem: work
// may be preempted, spread over slots and served in part for a part of its
// weight. The amounts that can be served then form a polymatroid, so taking jobs
// by weight per unit of work is optimal.
func Bound(jobs []Job, slots int) float64 {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return density(jobs[order[a]]) > density(jobs[order[b]])
	})
	byArrival := make([]int, len(jobs))
	copy(byArrival, order)
	sort.SliceStable(byArrival, func(a, b int) bool {
		return jobs[byArrival[a]].Arrival < jobs[byArrival[b]].Arrival
	})
	amounts := make([]float64, len(jobs))
	total := 0.0
	for _, i := range order {
		amounts[i] = float64(jobs[i].ServiceTime)
		if !feasible(jobs, byArrival, amounts, slots) {
			amounts[i] = largest(jobs, byArrival, amounts, slots, i)
		}
		total += float64(jobs[i].Weight) * amounts[i] / float64(jobs[i].ServiceTime)
	}
	return total
}

func density(j Job) float64 {
	return float64(j.Weight) / float64(j.ServiceTime)
}

// largest returns an amount of job i, rounded up, above which nothing fits.
func largest(jobs []Job, byArrival []int, amounts []float64, slots, i int) float64 {
	low, high := 0.0, float64(jobs[i].ServiceTime)
	for range bisections {
		amounts[i] = (low + high) / 2
		if feasible(jobs, byArrival, amounts, slots) {
			low = amounts[i]
		} else {
			high = amounts[i]
		}
	}
	// The amount that is kept must be feasible; the bound takes the rest as well.
	amounts[i] = low
	return low
}

// feasible reports whether all amounts can be served by preemptive earliest
// deadline first on one server as fast as all slots.
func feasible(jobs []Job, byArrival []int, amounts []float64, slots int) bool {
	// Amounts below resolution, in nanoseconds, are lost beside the time of the
	// simulation and count as served.
	const resolution = 1.0
	const rounding = float64(time.Microsecond)
	queue := &deadlineHeap{}
	now := 0.0
	next := 0
	for next < len(byArrival) || queue.Len() > 0 {
		if queue.Len() == 0 {
			now = max(now, float64(jobs[byArrival[next]].Arrival))
		}
		for next < len(byArrival) && float64(jobs[byArrival[next]].Arrival) <= now {
			i := byArrival[next]
			next++
			if amounts[i] > 0 {
				heap.Push(queue, part{deadline: float64(jobs[i].Deadline()), left: amounts[i] / float64(slots)})
			}
		}
		if queue.Len() == 0 {
			continue
		}
		until := now + (*queue)[0].left
		if next < len(byArrival) {
			until = min(until, float64(jobs[byArrival[next]].Arrival))
		}
		(*queue)[0].left -= until - now
		now = until
		if (*queue)[0].left <= resolution {
			if now > (*queue)[0].deadline+rounding {
				return false
			}
			heap.Pop(queue)
		}
	}
	return true
}

type part struct {
	deadline float64
	left     float64
}

type deadlineHeap []part

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(part)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
