package routing

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	domainRoundTrip = 3 * time.Millisecond  // between failure domains
	regionRoundTrip = 60 * time.Millisecond // between regions
	unknownAge      = time.Duration(1<<63 - 1)
)

func at(index uint64) position.Position { return position.Position{Term: 2, Index: index} }

// testCandidates returns a group with its primary in osijek and a replica in each other
// failure domain.
func testCandidates() []Candidate {
	return []Candidate{
		{Target: "osijek-1", FailureDomain: "osijek", Region: "panonija", Primary: true, Reachable: true,
			Applied: at(100), RoundTrip: domainRoundTrip, ConfirmTime: domainRoundTrip},
		{Target: "vukovar-1", FailureDomain: "vukovar", Region: "panonija", Valid: true, Reachable: true,
			Applied: at(100), Age: 40 * time.Millisecond, Lag: 5 * time.Millisecond},
		{Target: "split-1", FailureDomain: "split", Region: "jadran", Valid: true, Reachable: true,
			Applied: at(100), Age: 80 * time.Millisecond, Lag: 35 * time.Millisecond, RoundTrip: regionRoundTrip},
	}
}

func TestChoose(t *testing.T) {
	Convey("A read in vukovar whose session has seen entry 100", t, func() {
		r := Read{Seen: at(100), SeenAge: time.Second, FailureDomain: "vukovar", Region: "panonija", Remaining: time.Second}
		c := testCandidates()
		Convey("goes to the replica of its domain", func() {
			So(Choose(&r, c), ShouldResemble, Decision{Index: 1})
		})
		Convey("waits for a replica that will soon have applied the entry", func() {
			r.Seen, r.SeenAge = at(101), 4*time.Millisecond
			So(Choose(&r, c), ShouldResemble, Decision{Index: 1, Wait: 1250 * time.Microsecond})
		})
		Convey("goes to the primary if the replica is far behind", func() {
			c[1].Lag, r.Seen = 80*time.Millisecond, at(101)
			So(Choose(&r, c).Index, ShouldEqual, 0)
		})
		Convey("goes to the primary if the lag is unknown", func() {
			c[1].Lag, r.Seen = 0, at(101)
			So(Choose(&r, c).Index, ShouldEqual, 0)
		})
		Convey("goes to another domain if the slots in its own are busy", func() {
			c[1].QueueWait = 100 * time.Millisecond
			So(Choose(&r, c).Index, ShouldEqual, 0)
		})
		Convey("goes to another region only if no other instance can serve it", func() {
			c[0].QueueWait, c[1].QueueWait = 500*time.Millisecond, 500*time.Millisecond
			So(Choose(&r, c).CrossRegion, ShouldBeFalse)
			c[0].Reachable, c[1].Drained = false, true
			So(Choose(&r, c), ShouldResemble, Decision{Index: 2, CrossRegion: true})
		})
		Convey("is refused if no instance can serve it", func() {
			r.Seen = at(101)
			So(Choose(&r, []Candidate{{Valid: true, Reachable: true, Applied: at(100)}}), ShouldResemble,
				Decision{Index: -1, Reason: outcome.NoPrimary})
			c[0].Drained, c[1].Lag, c[2].Lag = true, 0, 0
			So(Choose(&r, c), ShouldResemble, Decision{Index: -1, Reason: outcome.NoPrimary})
		})
		Convey("goes to the primary if the policy allows no replica", func() {
			r.Policy.PrimaryOnly = true
			So(Choose(&r, c).Index, ShouldEqual, 0)
		})
		Convey("is bound by the maximum age of the policy even if it states a greater one", func() {
			r.Policy.MaxAge, r.MaxAge = 30*time.Millisecond, time.Hour
			c[1].Lag = 0
			So(Choose(&r, c).Index, ShouldEqual, 0)
		})
	})
	Convey("A session that has seen nothing", t, func() {
		r := Read{SessionAge: 10 * time.Millisecond, FailureDomain: "split", Region: "jadran"}
		c := testCandidates()
		Convey("reads data that is no older than the session", func() {
			r.SessionAge = 81 * time.Millisecond
			So(Choose(&r, c), ShouldResemble, Decision{Index: 2})
		})
		Convey("waits for a replica in its region if the wait is short", func() {
			r.NextConfirmationIn = 10 * time.Millisecond
			So(Choose(&r, c), ShouldResemble, Decision{Index: 2, Wait: 45 * time.Millisecond})
		})
		Convey("goes to the primary if the wait is too long", func() {
			r.NextConfirmationIn = 120 * time.Millisecond
			So(Choose(&r, c), ShouldResemble, Decision{Index: 0, CrossRegion: true})
		})
		Convey("reads older data if it states a maximum age", func() {
			r.MaxAge = time.Second
			So(Choose(&r, c), ShouldResemble, Decision{Index: 2})
		})
		Convey("is not served by a replica whose age is unknown", func() {
			c[1].Age, c[2].Age = unknownAge, unknownAge
			c[1].Lag, c[2].Lag = 0, 0
			r.MaxAge = time.Hour
			So(Choose(&r, c).Index, ShouldEqual, 0)
		})
	})
}

// drawRead draws a read and its candidates.
func drawRead(t *rapid.T) (Read, []Candidate) {
	domains := []string{"osijek", "vukovar", "split"}
	regions := []string{"panonija", "panonija", "jadran"}
	ms := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 200).Draw(t, name)) * time.Millisecond
	}
	i := rapid.IntRange(0, 2).Draw(t, "domain")
	r := Read{SeenAge: ms("seenage"), SessionAge: ms("session"), MaxAge: ms("maxage"), NextConfirmationIn: ms("next"),
		Policy:        configuration.ReadPolicy{MaxAge: ms("bound"), PrimaryOnly: rapid.Bool().Draw(t, "only")},
		FailureDomain: domains[i], Region: regions[i], Remaining: ms("remaining")}
	if rapid.Bool().Draw(t, "seen") {
		r.Seen = at(uint64(rapid.IntRange(1, 5).Draw(t, "index")))
	}
	primary := rapid.IntRange(0, 3).Draw(t, "primary")
	var c []Candidate
	for j := range domains {
		c = append(c, Candidate{FailureDomain: domains[j], Region: regions[j], Primary: j == primary,
			Valid: rapid.Bool().Draw(t, "valid"), Drained: rapid.Bool().Draw(t, "drained"),
			Reachable: rapid.Bool().Draw(t, "reachable"), Applied: at(uint64(rapid.IntRange(1, 5).Draw(t, "applied"))),
			Age: ms("age"), Lag: ms("lag"), RoundTrip: ms("trip"), QueueWait: ms("queue")})
	}
	return r, c
}

// TestChooseIsAllowed checks on random reads that the chosen instance may serve the read,
// whatever the costs, that no read is refused which an instance may serve, and that no
// read leaves its region if an instance there may serve it.
func TestChooseIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, c := drawRead(t)
		d := Choose(&r, c)
		serves := func(x Candidate) bool {
			fresh := x.Age <= r.SessionAge || !r.Seen.IsZero() || r.MaxAge > 0
			return !x.Drained && x.Reachable && (x.Primary || x.Valid && !r.Policy.PrimaryOnly &&
				x.Applied.Covers(r.Seen) && fresh && (r.MaxAge == 0 || x.Age <= r.MaxAge) &&
				(r.Policy.MaxAge == 0 || x.Age <= r.Policy.MaxAge))
		}
		if d.Index >= 0 && d.Wait == 0 && !serves(c[d.Index]) {
			// A session age of zero counts as 1 ns, because zero means no bound.
			if !(r.SessionAge == 0 && c[d.Index].Age <= 1) {
				t.Fatalf("%+v may not serve %+v", c[d.Index], r)
			}
		}
		for _, x := range c {
			if serves(x) && d.Index < 0 {
				t.Fatalf("refused, but %+v serves %+v", x, r)
			}
			if serves(x) && x.Region == r.Region && d.CrossRegion {
				t.Fatalf("crossed to another region, but %+v serves %+v", x, r)
			}
		}
	})
}

func TestChooseDoesNotAllocate(t *testing.T) {
	r := Read{Seen: at(101), SeenAge: time.Millisecond, FailureDomain: "vukovar", Region: "panonija", Remaining: time.Second}
	c := testCandidates()
	if n := testing.AllocsPerRun(100, func() { Choose(&r, c) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	r := Read{Seen: at(101), SeenAge: time.Millisecond, FailureDomain: "vukovar", Region: "panonija", Remaining: time.Second}
	c := testCandidates()
	b.ReportAllocs()
	for b.Loop() {
		Choose(&r, c)
	}
}
