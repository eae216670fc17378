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
