package admission

import "time"

// Smoothing factors of the service time, as divisors: a sample moves the mean by
// 1/meanGain and the deviation by 1/deviationGain of the difference.
const (
	meanGain      = 16
	deviationGain = 8
)

// estimate follows the mean and the mean deviation of the service time.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// observe takes one service time into account.
func (e *estimate) observe(d time.Duration) {
	diff := d - e.mean
	e.mean += diff / meanGain
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) / deviationGain
}

// maxKinds bounds the kinds of requests whose service time is told apart.
const maxKinds = 256

// estimates follows the service time of all requests and of each kind.
type estimates struct {
	all   estimate
	kinds map[string]*estimate
}

func newEstimates(first time.Duration) estimates {
	return estimates{all: estimate{mean: first}, kinds: map[string]*estimate{}}
}

// observe takes one service time into account. Kinds beyond maxKinds share the
// estimate of all.
func (e *estimates) observe(kind string, d time.Duration) {
	e.all.observe(d)
	k, ok := e.kinds[kind]
	switch {
	case ok:
		k.observe(d)
	case kind != "" && len(e.kinds) < maxKinds:
		e.kinds[kind] = &estimate{mean: d}
	}
}

// expected returns the mean service time of a kind.
func (e *estimates) expected(kind string) time.Duration {
	if k, ok := e.kinds[kind]; ok {
		return max(k.mean, minServiceTime)
	}
	return max(e.all.mean, minServiceTime)
}

// deviation returns the mean deviation of the service time of a kind.
func (e *estimates) deviation(kind string) time.Duration {
	if k, ok := e.kinds[kind]; ok {
		return k.deviation
	}
	return e.all.deviation
}
