package configuration

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// walkDepth is the number of store changes in each explored history.
const walkDepth = 4

// TestWalkOfEveryOrder guards against a daemon that misses or reverts a change. It
// explores every history of four changes of two objects (put, remove, a change of
// another kind) and, for each, every state that a daemon can reach by any order of
// lists, watch events, transfers and digests. Messages may be lost, delayed and
// repeated, peers may be in any other reachable state, and daemons may restart at any
// time. Each state must be the store's state at its revision, no step may decrease the
// revision, and a snapshot must not claim a last change that is too old.
func TestWalkOfEveryOrder(t *testing.T) {
	count, states, steps := 0, 0, 0
	for _, h := range histories() {
		w := newWalk(t, h)
		w.run()
		count++
		states += len(w.reached)
		steps += w.steps
	}
	t.Logf("%d histories, %d states, %d steps", count, states, steps)
}

// histories returns every history of walkDepth changes.
func histories() []history {
	all := []history{{unrelated: map[store.Revision]bool{}, states: []map[store.Key]store.Object{{}}}}
	for i := range walkDepth {
		var longer []history
		for _, h := range all {
			for _, name := range []string{"x", "y"} {
				longer = append(longer, h.with(object(store.Revision(i+1), region(name, "d"+name))))
				if _, ok := h.states[i][region(name).Key()]; ok {
					longer = append(longer, h.with(store.Object{Key: region(name).Key(), Version: store.Revision(i + 1), Deleted: true}))
				}
			}
			longer = append(longer, h.with(store.Object{Key: store.Key{Kind: store.KindLedger, Name: "l"}, Version: store.Revision(i + 1)}))
		}
		all = longer
	}
	return all
}

// with returns the history extended by one change.
func (h history) with(event store.Object) history {
	next := history{unrelated: cloneMap(h.unrelated), events: append([]store.Object(nil), h.events...)}
	next.states = append(append(next.states, h.states...), cloneMap(h.states[len(h.events)]))
	next.events = append(next.events, event)
	state := next.states[len(next.events)]
	switch {
	case event.Kind == store.KindLedger:
		next.unrelated[event.Version] = true
	case event.Deleted:
		delete(state, event.Key)
	default:
		state[event.Key] = event
	}
	return next
}

// walk explores the states that daemons can reach in one history.
type walk struct {
	t       *testing.T
	history history
	// reached holds one snapshot per distinct state, in the order of discovery.
	reached []*Snapshot
	visited map[string]bool
	steps   int
}

func newWalk(t *testing.T, h history) *walk {
	w := &walk{t: t, history: h, visited: map[string]bool{}}
	w.visit(Empty(), Empty())
	return w
}

// stateID returns everything that determines the further behaviour of a snapshot.
func stateID(s *Snapshot) string {
	return fmt.Sprint(s.Revision, s.LastChange, s.removalFloor, s.hash, s.removed)
}

// visit checks the state s that a step from before led to, and records it if it is new.
func (w *walk) visit(before, s *Snapshot) {
	w.steps++
	if s.Revision < before.Revision {
		w.t.Fatalf("revision decreased in the step from %s to %s", stateID(before), stateID(s))
	}
	id := stateID(s)
	if w.visited[id] {
		return
	}
	w.visited[id] = true
	w.reached = append(w.reached, s)
	want := w.history.states[s.Revision]
	if len(s.raw) != len(want) || len(s.Regions) != len(want) {
		w.t.Fatalf("history %v: state %s holds %v, want %v", w.history.events, id, s.raw, want)
	}
	for k, o := range want {
		if got := s.raw[k]; got.Version != o.Version || !bytes.Equal(got.Value, o.Value) {
			w.t.Fatalf("history %v: state %s holds %v, want %v", w.history.events, id, got, o)
		}
	}
	for r := s.LastChange + 1; r <= s.Revision; r++ {
		if !w.history.unrelated[r] {
			w.t.Fatalf("history %v: state %s misses the change at revision %d", w.history.events, id, r)
		}
	}
}

// run takes every step from every state until no new state is found. Each new state is
// paired with all earlier ones, both as the receiver and as the peer.
func (w *walk) run() {
	for i := 0; i < len(w.reached); i++ {
		w.storeSteps(w.reached[i])
		for j := 0; j <= i; j++ {
			w.peerSteps(w.reached[i], w.reached[j])
			w.peerSteps(w.reached[j], w.reached[i])
		}
	}
}

// storeSteps applies every list and every range of watch events of the history to s.
func (w *walk) storeSteps(s *Snapshot) {
	last := len(w.history.events)
	for to := range last + 1 {
		next, _ := s.Replace(w.history.list(to))
		w.visit(s, next)
		for from := range to + 1 {
			next, _, err := s.Apply(store.Revision(from), w.history.page(from, to))
			if err != nil && store.Revision(from) <= s.Revision {
				w.t.Fatalf("apply: %v", err)
			}
			w.visit(s, next)
		}
	}
}

// peerSteps imports into s the peer's transfers since every revision that this daemon
// may have requested, and applies the peer's digest to s.
func (w *walk) peerSteps(s, peer *Snapshot) {
	for since := store.Revision(0); since <= s.Revision; since++ {
		b, err := peer.ExportSince(since)
		if err != nil {
			w.t.Fatal(err)
		}
		if b == nil {
			continue
		}
		h := NewHolder()
		h.current.Store(s)
		if _, err := h.Import(b); err != nil {
			w.t.Fatalf("history %v: import from %s into %s: %v", w.history.events, stateID(peer), stateID(s), err)
		}
		w.visit(s, h.Current())
	}
	next := s.advance(peer.Digest())
	w.visit(s, next)
	if s.Covers(peer.Digest()) && next.Revision < peer.Revision {
		w.t.Fatalf("%s covers %s but did not advance", stateID(s), stateID(peer))
	}
}
