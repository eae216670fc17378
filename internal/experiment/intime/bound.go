package intime

import (
	"container/heap"
	"sort"
	"time"
)

// bisectionSteps is the number of bisection steps in the search for the part of a job
// that is still feasible.
const bisectionSteps = 12

// Bound returns an upper bound on the weight that any scheduler, even one that knows all
// arrivals in advance, can serve within the deadlines. It relaxes the problem: a job may
// be preempted, spread over several slots, and served partially for the same part of its
// weight. The feasible amounts of work then form a polymatroid, so that the greedy choice
// by weight per unit of work is optimal.
func Bound(jobs []Job, slots int) float64 {
	total := 0.0
	for i, served := range servedShares(jobs, slots) {
		total += float64(jobs[i].Weight) * served
	}
	return total
}

// servedShares returns, for each job, the share of its work that the scheduler of Bound
// serves. Jobs whose deadline is not after their arrival are not served.
func servedShares(jobs []Job, slots int) []float64 {
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
	shares := make([]float64, len(jobs))
	for _, i := range order {
		if jobs[i].Timeout <= 0 {
			continue
		}
		amounts[i] = float64(jobs[i].ServiceTime)
		if !feasible(jobs, byArrival, amounts, slots) {
			amounts[i] = largestFeasible(jobs, byArrival, amounts, slots, i)
		}
		shares[i] = amounts[i] / float64(jobs[i].ServiceTime)
	}
	return shares
}

// density returns the weight of a job per unit of work.
func density(j Job) float64 {
	return float64(j.Weight) / float64(j.ServiceTime)
}

// largestFeasible sets amounts[i] to the largest feasible amount of work of job i in
// nanoseconds and returns it. The amount is rounded down to a multiple of the service
// time divided by 2^bisectionSteps.
func largestFeasible(jobs []Job, byArrival []int, amounts []float64, slots, i int) float64 {
	low, high := 0.0, float64(jobs[i].ServiceTime)
	for range bisectionSteps {
		amounts[i] = (low + high) / 2
		if feasible(jobs, byArrival, amounts, slots) {
			low = amounts[i]
		} else {
			high = amounts[i]
		}
	}
	// Keep the lower end of the interval, because the kept amounts must be feasible.
	amounts[i] = low
	return low
}

// feasible reports whether preemptive earliest-deadline-first scheduling can serve all
// amounts, in nanoseconds of slot time, within the deadlines on one server that is as
// fast as all slots together. byArrival is the order of the jobs by arrival.
func feasible(jobs []Job, byArrival []int, amounts []float64, slots int) bool {
	// Remaining amounts below resolution, in nanoseconds, count as served: added to
	// the much larger virtual time, they are lost to floating-point rounding.
	const resolution = 1.0
	// rounding is the time by which a completion may miss its deadline because of
	// floating-point rounding, in nanoseconds.
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
				heap.Push(queue, pendingWork{deadline: float64(jobs[i].Deadline()), left: amounts[i] / float64(slots)})
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

// pendingWork is the remaining server time of a job, with its deadline, in nanoseconds.
type pendingWork struct {
	deadline float64
	left     float64
}

// deadlineHeap orders pending work by deadline.
type deadlineHeap []pendingWork

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(pendingWork)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
