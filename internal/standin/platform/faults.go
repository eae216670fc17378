package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Outage is how the object service fails.
type Outage string

// The kinds of outage.
const (
	OutageNone        Outage = ""
	OutageUnavailable Outage = "unavailable" // every call is answered with 503
	OutageSilent      Outage = "silent"      // no call is answered
)

// Faults are the faults that can be injected. They apply until they are replaced.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMS is the delay in milliseconds before each call is handled.
	DelayMS float64 `json:"delay_ms"`
	// LoseNext is how many of the next changes are applied without an answer.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the probability, from 0 to 1, that a change is applied without
	// an answer.
	LoseProbability float64 `json:"lose_probability"`
	// VMLagMS is the age in milliseconds that a change of the VM list must reach before
	// the list shows it.
	VMLagMS float64 `json:"vm_lag_ms"`
}

// faults holds the current faults. All methods may be called from any goroutine.
type faults struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// newFaults returns faults without any fault set.
func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// set replaces the faults.
func (f *faults) set(current Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = current
	close(f.changed)
	f.changed = make(chan struct{})
}

// get returns the current faults and a channel that closes when they change.
func (f *faults) get() (Faults, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// losesAnswer decides whether to withhold the answer of an applied change, and counts
// LoseNext down.
func (f *faults) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseNext > 0 {
		f.current.LoseNext--
		return true
	}
	return f.current.LoseProbability > 0 && f.random.Float64() < f.current.LoseProbability
}

// untilOutage returns a context that is also canceled when an outage begins.
func (f *faults) untilOutage(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			current, changed := f.get()
			if current.Outage != OutageNone {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// milliseconds converts a number of milliseconds into a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// SetFaults replaces the faults, the lag of the VM list included.
func (p *Platform) SetFaults(current Faults) {
	p.SetVMLag(milliseconds(current.VMLagMS))
	p.faults.set(current)
}

// Faults returns the current faults. LoseNext is the number of answers still to be lost.
func (p *Platform) Faults() Faults {
	current, _ := p.faults.get()
	return current
}
