package admission

import "time"

// Smoothing factors of the service time, as divisors: a sample moves the mean by
// 1/meanGain and the deviation by 1/deviationGain of the difference.
const (
	meanGain      = 16
	deviationGain = 16
)

// estimate follows the mean and the mean deviation of the service time.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	// samples counts the service times up to meanGain.
	samples time.Duration
}

// observe takes one service time into account. The first ones weigh more, so that a
// kind that is new is soon known.
func (e *estimate) observe(d time.Duration) {
	e.samples = min(e.samples+1, meanGain)
	if e.samples == 1 {
		e.mean = d
		return
	}
	diff := d - e.mean
	e.mean += diff / e.samples
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) / min(e.samples, deviationGain)
}

// maxKinds bounds the kinds of requests whose service time is told apart.
const maxKinds = 256

// class is what tickets tell of a request whose kind is new: those that weigh the same
// and have as long are often alike.
type class struct {
	weight int
	// patience is the time from the offer to the deadline, in classStep.
	patience time.Duration
}

// classStep is the granularity of the patience of a class.
const classStep = 10 * time.Millisecond

// estimates follows the service time of all requests, of each class and of each kind.
type estimates struct {
	all     estimate
	classes map[class]*estimate
	kinds   map[string]*kindEstimate
}

// kindEstimate is the estimate of a kind; it has no samples until the first request
// of the kind was served.
type kindEstimate struct {
	estimate
	class class
}

func newEstimates(first time.Duration) estimates {
	return estimates{all: estimate{mean: first, samples: meanGain}, classes: map[class]*estimate{}, kinds: map[string]*kindEstimate{}}
}

// met notes that a request of a kind has come, of which class it is.
func (e *estimates) met(kind string, c class) {
	if _, ok := e.kinds[kind]; !ok && kind != "" && len(e.kinds) < maxKinds {
		e.kinds[kind] = &kindEstimate{class: c}
	}
}

// observe takes one service time into account. Kinds beyond maxKinds share the
// estimate of all.
func (e *estimates) observe(kind string, d time.Duration) {
	e.all.observe(d)
	k, ok := e.kinds[kind]
	if !ok {
		return
	}
	k.observe(d)
	c, ok := e.classes[k.class]
	if !ok {
		if len(e.classes) >= maxKinds {
			return
		}
		c = &estimate{}
		e.classes[k.class] = c
	}
	c.observe(d)
}

// of returns the estimate of a kind, else that of its class, else that of all.
func (e *estimates) of(kind string) *estimate {
	k, ok := e.kinds[kind]
	if !ok {
		return &e.all
	}
	if k.samples > 0 {
		return &k.estimate
	}
	if c, ok := e.classes[k.class]; ok {
		return c
	}
	return &e.all
}

// expected returns the mean service time of a kind.
func (e *estimates) expected(kind string) time.Duration {
	return max(e.of(kind).mean, minServiceTime)
}

// deviation returns the mean deviation of the service time of a kind.
func (e *estimates) deviation(kind string) time.Duration {
	return e.of(kind).deviation
}
