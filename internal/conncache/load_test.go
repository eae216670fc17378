package conncache

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The load that the tests play: 80 tenants, a few of them large.
const (
	tenantCount = 80
	zipfSkew    = 1.2
	loadTime    = 3 * time.Minute
	// fullShare and failureShare are the connections of a home when it has the whole cap
	// of a target with 82, and when it shares it with those of five other failure domains.
	fullShare    = 82
	failureShare = 11
)

// request is one request of a load.
type request struct {
	at     time.Duration
	tenant string
}

// zipfWeights returns the relative rates of the tenants.
func zipfWeights() []float64 {
	w := make([]float64, tenantCount)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -zipfSkew)
	}
	return w
}

// sum returns the sum of weights.
func sum(weights []float64) float64 {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	return total
}

// randomLoad returns requests that arrive independently. perSecond is the rate with the
// usual weights; weights returns those at a time.
func randomLoad(seed uint64, perSecond float64, weights func(at time.Duration) []float64) []request {
	random := rand.New(rand.NewPCG(seed, 0))
	usual := sum(zipfWeights())
	var out []request
	for at := time.Duration(0); at < loadTime; {
		w := weights(at)
		x := random.Float64() * sum(w)
		tenant := 0
		for tenant < len(w)-1 && x >= w[tenant] {
			x -= w[tenant]
			tenant++
		}
		out = append(out, request{at, fmt.Sprint(tenant)})
		at += time.Duration(random.ExpFloat64() / perSecond * usual / sum(w) * float64(time.Second))
	}
	return out
}

// rotation returns requests of tenants that take turns, 20 per second.
func rotation(tenants int) []request {
	const interval = 50 * time.Millisecond
	var out []request
	for i := range int(loadTime / interval) {
		out = append(out, request{time.Duration(i) * interval, fmt.Sprint(i % tenants)})
	}
	return out
}

// playVictim returns the openings of a load on a number of connections with the victims of
// this package. Each request is over before the next one.
func playVictim(load []request, limit int) int {
	v := View{Limit: limit, Demand: &Demand{}}
	openings := 0
	for _, r := range load {
		v.Now = r.at
		v.Demand.Record(r.tenant, r.at)
		if at := slices.IndexFunc(v.Connections, func(c Connection) bool { return c.Tenant == r.tenant }); at >= 0 {
			v.Connections[at].UsedAt = r.at
			continue
		}
		if d := Decide(v); d.Action == Evict {
			v.Connections = slices.Delete(v.Connections, d.Victim, d.Victim+1)
		}
		openings++
		v.Connections = append(v.Connections, Connection{Tenant: r.tenant, UsedAt: r.at})
	}
	return openings
}

// playLRU is playVictim with the connection that was used longest ago as the victim.
func playLRU(load []request, limit int) int {
	var order []string
	openings := 0
	for _, r := range load {
		if at := slices.Index(order, r.tenant); at >= 0 {
			order = slices.Delete(order, at, at+1)
		} else {
			openings++
			if len(order) == limit {
				order = order[1:]
			}
		}
		order = append(order, r.tenant)
	}
	return openings
}

// playBelady is playVictim with the connection that will be used last as the victim, which
// gives the fewest openings possible.
func playBelady(load []request, limit int) int {
	next := make([]int, len(load))
	seen := make(map[string]int)
	for i, r := range slices.Backward(load) {
		next[i] = math.MaxInt
		if at, ok := seen[r.tenant]; ok {
			next[i] = at
		}
		seen[r.tenant] = i
	}
	used := make(map[string]int)
	openings := 0
	for i, r := range load {
		if _, ok := used[r.tenant]; !ok {
			openings++
			if len(used) == limit {
				farthest := ""
				for tenant, at := range used {
					if farthest == "" || at > used[farthest] {
						farthest = tenant
					}
				}
				delete(used, farthest)
			}
		}
		used[r.tenant] = next[i]
	}
	return openings
}

// Guards against connections that are opened again all the time: each opening takes 12 ms
// of one of the few slots of a target.
func TestOpeningsUnderLoad(t *testing.T) {
	usual := func(time.Duration) []float64 { return zipfWeights() }
	ninefold := func(tenant int) func(time.Duration) []float64 {
		return func(at time.Duration) []float64 {
			w := zipfWeights()
			if at > loadTime/3 && at < 2*loadTime/3 {
				w[tenant] *= 9
			}
			return w
		}
	}
	const large, small = 3, 20
	loads := []struct {
		name string
		load []request
		// rotates is set where tenants take turns.
		rotates bool
	}{
		{"skewed, 20 per second", randomLoad(1, 20, usual), false},
		{"skewed, 60 per second", randomLoad(2, 60, usual), false},
		{"a large tenant at nine times its rate", randomLoad(3, 60, ninefold(large)), false},
		{"a small tenant at nine times its rate", randomLoad(4, 60, ninefold(small)), false},
		{"80 tenants in rotation", rotation(tenantCount), true},
		{"14 tenants in rotation", rotation(14), true},
	}
	Convey("Openings are no more than with the least recently used order, and fewer in rotation", t, func() {
		for _, l := range loads {
			for _, limit := range []int{failureShare, fullShare} {
				got, lru, best := playVictim(l.load, limit), playLRU(l.load, limit), playBelady(l.load, limit)
				perStatement := func(openings int) float64 { return float64(openings) / float64(len(l.load)) }
				t.Logf("%s, %d connections: openings per statement %.3f, least recently used %.3f, with the future known %.3f",
					l.name, limit, perStatement(got), perStatement(lru), perStatement(best))
				So(got, ShouldBeLessThanOrEqualTo, lru)
				if l.rotates && limit == failureShare {
					So(got, ShouldBeLessThan, lru)
				}
				So(got, ShouldBeGreaterThanOrEqualTo, best)
			}
		}
	})
}

// Guards against a start of all homes at which each opens connections that it closes again
// for the next tenant: the tenants come in no order, and no demand is known.
func TestOpeningsAfterStart(t *testing.T) {
	Convey("In the first seconds, openings are no more than with the least recently used order", t, func() {
		for seed := range uint64(6) {
			load := randomLoad(seed, 60, func(time.Duration) []float64 { return zipfWeights() })
			start := load[:slices.IndexFunc(load, func(r request) bool { return r.at > 5*time.Second })]
			got, lru, best := playVictim(start, failureShare), playLRU(start, failureShare), playBelady(start, failureShare)
			t.Logf("home %d: %d statements, %d openings, least recently used %d, with the future known %d", seed, len(start), got, lru, best)
			So(got, ShouldBeLessThanOrEqualTo, lru)
		}
	})
}
