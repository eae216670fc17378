package executor

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

func TestPlace(t *testing.T) {
	need := Requirement{Position: position.Position{Term: 1, Index: 10}, Age: time.Second}
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
		need       Requirement
		want       []int
	}{
		{"the own failure domain first, the other region last", []Candidate{far, near, local}, need, []int{0, 1, 2}},
		{"a target that has just lacked as old a position is left out", []Candidate{with(local, func(c *Candidate) { c.Behind = true }), with(near, func(c *Candidate) { c.ExpectedWait = time.Second })}, need, []int{1}},
		{"a draining target gets nothing", []Candidate{with(local, func(c *Candidate) { c.Draining = true }), near}, need, []int{1}},
		{"a slow target gives way within the region", []Candidate{with(local, func(c *Candidate) { c.Latency = 200 * time.Millisecond }), near}, need, []int{1, 0}},
		{"a crowded target gives way", []Candidate{with(local, func(c *Candidate) { c.ExpectedWait = 100 * time.Millisecond }), near}, need, []int{1, 0}},
		{"a target in use gives way to an idle one", []Candidate{with(local, func(c *Candidate) { c.Running = 9 }), near}, need, []int{1, 0}},
		{"a failing target comes last, behind the other region", []Candidate{with(local, func(c *Candidate) { c.FailingFor = time.Millisecond }), far}, need, []int{2, 0}},
		{"a silent target comes last", []Candidate{with(local, func(c *Candidate) { c.SilentFor = time.Second }), far}, need, []int{2, 0}},
		{"a replica that lags more than the need is old gives way to the leader", []Candidate{with(local, func(c *Candidate) { c.Lag = 2 * time.Second }), near}, need, []int{1, 0}},
		{"a replica that is known to hold the position does not", []Candidate{with(local, func(c *Candidate) { c.Lag = 2 * time.Second; c.Applied = need.Position }), near}, need, []int{0, 1}},
		{"a cold target gives way", []Candidate{with(local, func(c *Candidate) { c.Cold = true }), near}, need, []int{1, 0}},
	}
	Convey("Reads are placed", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(RankCandidates(c.candidates, c.need), ShouldResemble, c.want)
			})
		}
	})
}
