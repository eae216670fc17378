package group

import (
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/routing"
)

// readTally counts the reads of a run by the instance that served them.
type readTally struct {
	reads, onReplica, sameRegion, crossRegion int
	// eligible counts the reads for which a replica in their region was a valid choice
	// on arrival. servedLocally counts those of them that such a replica served.
	eligible, servedLocally int
	totalWait               time.Duration
}

// readPolicy configures the routing of reads.
type readPolicy struct {
	name string
	// waitForReplica lets a read wait for a replica that has nearly caught up.
	waitForReplica bool
	// requestPosition lets a read of a new session query the primary for a position.
	requestPosition bool
}

// siteRegion returns the region of a domain. Domain 2 is alone in its region.
func siteRegion(domain int) string {
	if domain == 2 {
		return "far"
	}
	return "near"
}

func (h *simHome) candidates(withLag bool) []routing.Candidate {
	p := h.view.Primary()
	var out []routing.Candidate
	for j, name := range simGroup {
		r, _ := h.confirmer.Replica(name, h.sim.now)
		c := routing.Candidate{Target: name, FailureDomain: name, Region: siteRegion(j), Reachable: true,
			Primary: p.Name == name && p.Open, Valid: r.Valid, Applied: r.Status.Applied, Age: r.Age}
		c.RoundTrip = 2 * h.sim.options.network(h.sim, h.domain, j)
		if withLag {
			c.Lag = r.Lag
		}
		out = append(out, c)
	}
	return out
}

// route sends one read of a session to the instance that package routing chooses, and
// counts it.
func (h *simHome) route(c *simSession, p readPolicy, tally *readTally) {
	s := h.sim
	required := c.seen
	if required.IsZero() {
		required = c.priorPosition
	}
	eligible := false
	for j, n := range s.instances {
		eligible = eligible || isValidReplica(n.status()) && siteRegion(j) == siteRegion(h.domain) &&
			n.status().Applied.Covers(required)
	}
	h.routeAttempt(c, p, s.now, func(d routing.Decision) {
		replica := h.view.Primary().Name != simGroup[d.Index]
		tally.reads++
		tally.onReplica += boolToInt(replica)
		tally.sameRegion += boolToInt(replica && !d.CrossRegion)
		tally.crossRegion += boolToInt(d.CrossRegion)
		tally.eligible += boolToInt(eligible)
		tally.servedLocally += boolToInt(eligible && replica && !d.CrossRegion)
	}, tally)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// routeAttempt routes a read that arrived at arrivedAt, or schedules another attempt if it
// should wait. It calls chosen with the final decision.
func (h *simHome) routeAttempt(c *simSession, p readPolicy, arrivedAt time.Time, chosen func(routing.Decision), tally *readTally) {
	s := h.sim
	r := routing.Read{Seen: c.seen, SeenAge: h.confirmer.ConfirmationAge(c.seen, s.now), SessionAge: s.now.Sub(c.startedAt),
		NextConfirmationIn: ProbeInterval, FailureDomain: simGroup[h.domain], Region: siteRegion(h.domain), AnswerBytes: 2000}
	primary := simGroup.Index(h.view.Primary().Name)
	if p.requestPosition && primary >= 0 {
		r.NextConfirmationIn = 3 * s.options.network(s, h.domain, primary)
	}
	d := routing.Choose(&r, h.candidates(p.waitForReplica))
	switch {
	case d.Index < 0:
	case d.Wait > 0:
		tally.totalWait += d.Wait
		if p.requestPosition && c.seen.IsZero() {
			h.probe(primary)
			h.probe(d.Index)
		}
		p.waitForReplica = s.now.Add(d.Wait).Sub(arrivedAt) < routing.MaxWait
		s.after(d.Wait, func() { h.routeAttempt(c, p, arrivedAt, chosen, tally) })
	default:
		chosen(d)
		h.read(c, d.Index)
	}
}

// runReads simulates 10 s of requests of the sessions of all homes. One request in eight
// is a write, and one in twenty starts a new session.
func runReads(seed uint64, localDelay time.Duration, p readPolicy) (readTally, *sim) {
	s := newSite(seed, localDelay, detectors()[0])
	var tally readTally
	sessions := make([]*simSession, 60)
	s.run(simStart.Add(time.Second))
	for s.now.Sub(simStart) < 11*time.Second {
		s.run(s.now.Add(2 * time.Millisecond))
		k := s.random.IntN(len(sessions))
		if sessions[k] == nil || s.random.IntN(20) == 0 {
			sessions[k] = s.session()
			for _, a := range s.ledger.acks {
				sessions[k].priorPosition = position.Max(sessions[k].priorPosition, a.position)
			}
		}
		h := s.homes[k%simSize]
		if s.random.IntN(8) == 0 {
			h.write(sessions[k], "")
		} else {
			h.route(sessions[k], p, &tally)
		}
		h.issueStatusCalls()
	}
	return tally, s
}

// readShareGoal is the required share of eligible reads that are served by a replica in
// their region.
const readShareGoal = 0.99

// TestReadShare guards against reads that leave their region although a replica there could
// serve them, and against sessions that miss their own writes. It logs the share of reads
// served by replicas. All policies and sites are run with
//
//	go test -run TestReadShare -v -failover.all ./internal/group
func TestReadShare(t *testing.T) {
	policies := []readPolicy{
		{"wait by cost, ask for a position", true, true},
		{"wait by cost", true, false},
		{"primary at once", false, false},
	}
	sites := []time.Duration{1500 * time.Microsecond, 500 * time.Microsecond}
	if !*failoverAllDetectors {
		policies, sites = policies[:1], sites[:1]
	}
	for _, localDelay := range sites {
		for n, p := range policies {
			tally, s := runReads(0, localDelay, p)
			share := float64(tally.servedLocally) / float64(tally.eligible)
			t.Logf("%v, %s: %d reads, %.2f%% on replicas, %.2f%% on replicas of their region, %.2f%% crossed a region; "+
				"of %d that a replica of their region could serve %.2f%% went to one; mean wait %v", localDelay, p.name, tally.reads,
				tally.percent(tally.onReplica), tally.percent(tally.sameRegion), tally.percent(tally.crossRegion), tally.eligible,
				100*share, (tally.totalWait / time.Duration(tally.reads)).Round(time.Microsecond))
			if n == 0 && share < readShareGoal {
				t.Errorf("the share is below the goal of %.0f%%", 100*readShareGoal)
			}
			if s.ledger.violation != "" {
				t.Error(s.ledger.violation)
			}
		}
	}
}

func (r *readTally) percent(n int) float64 {
	return 100 * float64(n) / float64(r.reads)
}
