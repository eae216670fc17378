package admission

import "time"

// Smoothing of the service time estimates: a sample moves the mean by 1/meanDivisor and
// the deviation by 1/deviationDivisor of its difference from them.
const (
	meanDivisor      = 16
	deviationDivisor = 8
)

// serviceTime is a moving estimate of a service time and of its mean absolute deviation.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
}

// observe adds one service time to the estimate.
func (e *serviceTime) observe(d time.Duration) {
	diff := d - e.mean
	e.mean += diff / meanDivisor
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) / deviationDivisor
}

// maxKinds bounds the kinds of requests with an estimate of their own.
const maxKinds = 256

// serviceTimes estimates the service time of all requests and of each kind of request.
type serviceTimes struct {
	all   serviceTime
	kinds map[string]*serviceTime
}

func newServiceTimes(first time.Duration) serviceTimes {
	return serviceTimes{all: serviceTime{mean: first}, kinds: map[string]*serviceTime{}}
}

// observe adds one service time of a kind to the estimates. Kinds beyond maxKinds share
// the estimate of all requests.
func (e *serviceTimes) observe(kind string, d time.Duration) {
	e.all.observe(d)
	k, ok := e.kinds[kind]
	switch {
	case ok:
		k.observe(d)
	case kind != "" && len(e.kinds) < maxKinds:
		e.kinds[kind] = &serviceTime{mean: d}
	}
}

// expected returns the mean service time of a kind, or of all requests if the kind has no
// estimate. It is at least minServiceTime.
func (e *serviceTimes) expected(kind string) time.Duration {
	if k, ok := e.kinds[kind]; ok {
		return max(k.mean, minServiceTime)
	}
	return max(e.all.mean, minServiceTime)
}

// deviation returns the mean absolute deviation of the service time of a kind, or of all
// requests if the kind has no estimate.
func (e *serviceTimes) deviation(kind string) time.Duration {
	if k, ok := e.kinds[kind]; ok {
		return k.deviation
	}
	return e.all.deviation
}
