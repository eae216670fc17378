package admission

import "time"

const (
	// floorTime is the time for which a refusal excludes new requests with a lower value.
	floorTime = time.Second
	// floorTolerance is the share by which the value per slot time of requests of one kind
	// differs, because the estimate of their cost changes.
	floorTolerance = 0.2
)

// valueFloor is the value per slot time of the most valuable request that was recently
// refused because not all could be served in time. Requests with long objectives wait
// behind later ones with short objectives. Without a floor they would be refused at the
// end of their wait for requests of lower value that were served meanwhile.
type valueFloor struct {
	value float64
	until time.Time
}

// raise records the refusal of a request with the given value.
func (f *valueFloor) raise(now time.Time, value float64) {
	if value >= f.value || now.After(f.until) {
		f.value, f.until = value, now.Add(floorTime)
	}
}

// excludes reports whether a request with the given value would take slot time from more
// valuable ones.
func (f *valueFloor) excludes(now time.Time, value float64) bool {
	return !now.After(f.until) && value < f.value*(1-floorTolerance)
}
