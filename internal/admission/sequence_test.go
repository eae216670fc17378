package admission

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// recordedDecisions are the digests of the decisions that the queue made on the schedules
// of seeds 1 to 8 before it knew tenants (commit 063de3a).
var recordedDecisions = []string{
	"39318831bbba75c1",
	"9dbc5505068865cd",
	"625c31e8166427bd",
	"796f6def76ad6a29",
	"24146d13bf437c6a",
	"b87fff68f3850775",
	"77f634593cb5bb93",
	"7dda1121654d48d1",
}

// decisionDigest runs a random schedule on a queue and returns a digest of all decisions.
// All tickets are of one tenant. If reportUse is set, that tenant also uses slots outside
// the queue.
func decisionDigest(seed uint64, tenant string, reportUse bool) string {
	digest := fnv.New64a()
	rng := rand.New(rand.NewPCG(seed, 7))
	q := NewQueue(Config{Slots: 3, MaxWaiting: 40, ServiceTime: 10 * time.Millisecond})
	kinds := []string{"", "short", "long"}
	meanTimes := []time.Duration{10 * time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond}
	kindOf := map[ID]int{}
	now := epoch
	var running, waiting []ID
	remove := func(ids []ID, id ID) []ID {
		for i, other := range ids {
			if other == id {
				return append(ids[:i:i], ids[i+1:]...)
			}
		}
		panic(fmt.Sprint("unknown ticket ", id))
	}
	apply := func(c Change) {
		fmt.Fprintln(digest, c)
		for _, id := range c.Admitted {
			waiting, running = remove(waiting, id), append(running, id)
		}
		for _, r := range c.Refused {
			waiting = remove(waiting, r.ID)
		}
	}
	for id := ID(1); id <= 3000; id++ {
		now = now.Add(time.Duration(rng.Int64N(int64(3 * time.Millisecond))))
		switch step := rng.IntN(100); {
		case step < 55:
			kind := rng.IntN(len(kinds))
			kindOf[id] = kind
			t := Ticket{ID: id, Tenant: tenant, Weight: rng.IntN(4), Kind: kinds[kind], LatestStart: now.Add(time.Millisecond)}
			if rng.IntN(4) == 0 {
				t.Cost = meanTimes[kind] * time.Duration(1+rng.IntN(4))
			}
			if rng.IntN(8) > 0 {
				t.Deadline = now.Add(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
			}
			d := q.Offer(now, t)
			fmt.Fprintln(digest, d)
			for _, r := range d.Evicted {
				waiting = remove(waiting, r.ID)
			}
			switch d.Verdict {
			case Admitted:
				running = append(running, id)
			case Queued:
				waiting = append(waiting, id)
			}
		case step < 90 && len(running) > 0:
			ended := running[rng.IntN(len(running))]
			running = remove(running, ended)
			if rng.IntN(20) == 0 {
				apply(q.Abandon(now, tenant))
				break
			}
			kind := kindOf[ended]
			held := time.Duration(float64(meanTimes[kind]) * (0.5 + rng.Float64()))
			apply(q.Release(now, tenant, kinds[kind], held))
		case step < 93 && len(waiting) > 0:
			gone := waiting[rng.IntN(len(waiting))]
			fmt.Fprintln(digest, q.Cancel(gone))
			waiting = remove(waiting, gone)
		case step < 96:
			apply(q.Expire(now))
		case step < 99:
			apply(q.Resize(now, 2+rng.IntN(3)))
		default:
			apply(Change{Refused: q.Drain(now, outcome.ServiceDraining)})
		}
		if reportUse {
			q.ReportUse(now, tenant, float64(id%2)*2-1)
		}
		expiry, ok := q.NextExpiry()
		fmt.Fprintln(digest, q.Running(), q.Waiting(), q.ExpectedWait(), expiry.Sub(epoch), ok)
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// TestRecordedDecisions guards against a change of the decisions for requests without a
// tenant, or of a single tenant. Deployments without tenants must be served as before.
func TestRecordedDecisions(t *testing.T) {
	for i, want := range recordedDecisions {
		seed := uint64(i + 1)
		for _, tenant := range []string{"", "alone"} {
			for _, reportUse := range []bool{false, true} {
				if got := decisionDigest(seed, tenant, reportUse); got != want {
					t.Errorf("seed %d, tenant %q, use reported %t: decisions %s, recorded %s", seed, tenant, reportUse, got, want)
				}
			}
		}
	}
}
