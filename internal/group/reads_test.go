package group

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/routing"
)

// readTally counts where the reads of a run went.
type readTally struct {
	reads, replica, own, remote int
	// could counts the reads that a replica in their region could rightly serve
	// when they came in; did counts those of them that one served.
	could, did int
	waited     time.Duration
}

// readPolicy says whether a read waits for a replica that is almost there.
type readPolicy struct {
	name string
	wait bool
	// ask says that a read of a new session asks the primary for a position.
	ask bool
}

// siteRegion returns the region of a domain when c is alone in its own.
func siteRegion(domain int) string {
	if domain == 2 {
		return "far"
	}
	return "near"
}

func (h *simHome) candidates(lags bool) []routing.Candidate {
	p := h.view.Primary()
	var out []routing.Candidate
	for j, name := range simGroup {
		r, _ := h.confirmer.Replica(name, h.sim.now)
		c := routing.Candidate{Target: name, FailureDomain: name, Region: siteRegion(j), Reachable: true,
			Primary: p.Name == name && p.Open, Valid: r.Valid, Applied: r.Status.Applied, Age: r.Age}
		c.RoundTrip = 2 * h.sim.options.network(h.sim, h.domain, j)
		if lags {
			c.Lag = r.Lag
		}
		out = append(out, c)
	}
	return out
}

// route sends one read of a session where routing says, and tallies it.
func (h *simHome) route(c *simSession, p readPolicy, tally *readTally) {
	s := h.sim
	must := c.seen
	if must.IsZero() {
		must = c.floor
	}
	could := false
	for j, n := range s.instances {
		could = could || showsConfirmed(n.status()) && siteRegion(j) == siteRegion(h.domain) && n.status().Applied.Covers(must)
	}
	h.attempt(c, p, s.now, func(d routing.Decision) {
		replica := h.view.Primary().Name != simGroup[d.Index]
		tally.reads++
		tally.replica += count(replica)
		tally.own += count(replica && !d.CrossRegion)
		tally.remote += count(d.CrossRegion)
		tally.could += count(could)
		tally.did += count(could && replica && !d.CrossRegion)
	}, tally)
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (h *simHome) attempt(c *simSession, p readPolicy, came time.Time, chosen func(routing.Decision), tally *readTally) {
	s := h.sim
	r := routing.Read{Seen: c.seen, SeenAge: h.confirmer.ConfirmationAge(c.seen, s.now), SessionAge: s.now.Sub(c.began),
		NextConfirmationIn: ProbeInterval, FailureDomain: simGroup[h.domain], Region: siteRegion(h.domain), AnswerBytes: 2000}
	primary := simGroup.Index(h.view.Primary().Name)
	if p.ask && primary >= 0 {
		r.NextConfirmationIn = 3 * s.options.network(s, h.domain, primary)
	}
	d := routing.Choose(&r, h.candidates(p.wait))
	switch {
	case d.Index < 0:
	case d.Wait > 0:
		tally.waited += d.Wait
		if p.ask && c.seen.IsZero() {
			h.probe(primary)
			h.probe(d.Index)
		}
		p.wait = s.now.Add(d.Wait).Sub(came) < routing.MaxWait
		s.after(d.Wait, func() { h.attempt(c, p, came, chosen, tally) })
	default:
		chosen(d)
		h.read(c, d.Index)
	}
}

// readRun drives the sessions of all homes: one request in eight is a write, and
// one in twenty comes from a new session.
func readRun(seed uint64, near time.Duration, p readPolicy) (readTally, *sim) {
	s := newSite(seed, near, detectors()[0])
	var tally readTally
	sessions := make([]*simSession, 60)
	s.run(simStart.Add(time.Second))
	for s.now.Sub(simStart) < 11*time.Second {
		s.run(s.now.Add(2 * time.Millisecond))
		k := s.random.IntN(len(sessions))
		if sessions[k] == nil || s.random.IntN(20) == 0 {
			sessions[k] = s.session()
			for _, a := range s.ledger.acks {
				sessions[k].floor = position.Max(sessions[k].floor, a.position)
			}
		}
		h := s.homes[k%simSize]
		if s.random.IntN(8) == 0 {
			h.write(sessions[k], "")
		} else {
			h.route(sessions[k], p, &tally)
		}
		h.pump()
	}
	return tally, s
}

// readGoal is the share of the reads that a replica of their region could rightly
// serve which must go to one.
const readGoal = 0.99

// TestReadShare prints the share of reads that replicas serve, and checks the
// goal and that no session misses what it wrote. Every policy and site:
// go test -run TestReadShare -v -failover.all ./internal/group
func TestReadShare(t *testing.T) {
	policies := []readPolicy{
		{"wait by cost, ask for a position", true, true},
		{"wait by cost", true, false},
		{"primary at once", false, false},
	}
	sites := []time.Duration{1500 * time.Microsecond, 500 * time.Microsecond}
	if !*failoverAll {
		policies, sites = policies[:1], sites[:1]
	}
	for _, near := range sites {
		for n, p := range policies {
			tally, s := readRun(0, near, p)
			share := float64(tally.did) / float64(tally.could)
			t.Logf("%v, %s: %d reads, %.2f%% on replicas, %.2f%% on replicas of their region, %.2f%% crossed a region; "+
				"of %d that a replica of their region could serve %.2f%% went to one; mean wait %v", near, p.name, tally.reads,
				tally.percent(tally.replica), tally.percent(tally.own), tally.percent(tally.remote), tally.could,
				100*share, (tally.waited / time.Duration(tally.reads)).Round(time.Microsecond))
			if n == 0 && share < readGoal {
				t.Errorf("goal: %.0f%%", 100*readGoal)
			}
			if s.ledger.broken != "" {
				t.Error(s.ledger.broken)
			}
		}
	}
}

func (r *readTally) percent(n int) float64 {
	return 100 * float64(n) / float64(r.reads)
}
