package executor

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

func TestRankCandidates(t *testing.T) {
	required := Requirement{Position: position.Position{Term: 1, Index: 10}, Age: time.Second}
	local := Candidate{Index: 0, Distance: 0, Slots: 3, Latency: 25 * time.Millisecond}
	near := Candidate{Index: 1, Distance: 1, Slots: 3, Latency: 25 * time.Millisecond, Leader: true}
	far := Candidate{Index: 2, Distance: 2, Slots: 3, Latency: 25 * time.Millisecond}
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	cases := []struct {
		name       string
		candidates []Candidate
		required   Requirement
		want       []int
	}{
		{"the own failure domain comes first, another region last", []Candidate{far, near, local}, required, []int{0, 1, 2}},
		{"a target that has just lacked a position of this age is omitted", []Candidate{with(local, func(c *Candidate) { c.Behind = true }), with(near, func(c *Candidate) { c.ExpectedWait = time.Second })}, required, []int{1}},
		{"a draining target is omitted", []Candidate{with(local, func(c *Candidate) { c.Draining = true }), near}, required, []int{1}},
		{"a slow target ranks behind a fast one in the region", []Candidate{with(local, func(c *Candidate) { c.Latency = 200 * time.Millisecond }), near}, required, []int{1, 0}},
		{"a target with a queue ranks behind one without", []Candidate{with(local, func(c *Candidate) { c.ExpectedWait = 100 * time.Millisecond }), near}, required, []int{1, 0}},
		{"a busy target ranks behind an idle one", []Candidate{with(local, func(c *Candidate) { c.Running = 9 }), near}, required, []int{1, 0}},
		{"a failing target ranks last, behind another region", []Candidate{with(local, func(c *Candidate) { c.FailingFor = time.Millisecond }), far}, required, []int{2, 0}},
		{"a silent target ranks last", []Candidate{with(local, func(c *Candidate) { c.SilentFor = time.Second }), far}, required, []int{2, 0}},
		{"a replica with more lag than the age of the required position ranks behind the leader", []Candidate{with(local, func(c *Candidate) { c.Lag = 2 * time.Second }), near}, required, []int{1, 0}},
		{"a lagging replica that has applied the required position ranks before the leader", []Candidate{with(local, func(c *Candidate) { c.Lag = 2 * time.Second; c.Applied = required.Position }), near}, required, []int{0, 1}},
		{"a target that has just started ranks behind a warm one", []Candidate{with(local, func(c *Candidate) { c.Cold = true }), near}, required, []int{1, 0}},
	}
	Convey("Candidates are ranked for a read", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(RankCandidates(c.candidates, c.required), ShouldResemble, c.want)
			})
		}
	})
}

// Guards against reads of a tenant that go to a target where a connection has to be opened,
// which takes time of a slot, while another target has an idle one.
func TestRankCandidatesWithTenants(t *testing.T) {
	const opening = 15 * time.Millisecond
	leader := Candidate{Index: 0, Distance: 0, Slots: 3, Latency: 25 * time.Millisecond, Leader: true}
	local := Candidate{Index: 1, Distance: 0, Slots: 3, Latency: 25 * time.Millisecond}
	near := Candidate{Index: 2, Distance: 1, Slots: 3, Latency: 25 * time.Millisecond}
	opens := func(c Candidate, cost time.Duration) Candidate {
		c.Opening = cost
		return c
	}
	cases := []struct {
		name       string
		candidates []Candidate
		want       []int
	}{
		{"a replica with a connection ranks before a closer one without", []Candidate{opens(local, opening), near}, []int{2, 1}},
		{"a replica with room ranks before a closer one where a connection has to be closed", []Candidate{opens(local, 2*opening), opens(near, opening)}, []int{2, 1}},
		{"among replicas with a connection, the closer one comes first", []Candidate{near, local}, []int{1, 2}},
		{"a replica with a connection and a queue ranks behind one without", []Candidate{opens(local, opening), opens(Candidate{Index: 2, Distance: 0, Slots: 3, Latency: 25 * time.Millisecond, ExpectedWait: 100 * time.Millisecond}, 0)}, []int{1, 2}},
		{"the leader's connection does not draw reads there", []Candidate{leader, opens(local, opening)}, []int{1, 0}},
	}
	Convey("The time to open a connection counts", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				equalizeLeaderOpening(c.candidates)
				So(RankCandidates(c.candidates, Requirement{}), ShouldResemble, c.want)
			})
		}
	})
}
