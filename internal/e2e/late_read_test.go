package e2e

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// ownWrite is a write of a session to the item that only it writes.
type ownWrite struct {
	site.Reply
	data string
}

// outcome returns what the session was told about the write.
func (w ownWrite) outcome() string {
	if w.OK() {
		return "acknowledged"
	}
	return fmt.Sprintf("%q", w.Completion)
}

// traceLateRead returns how a read of a session came to return the earlier write late
// instead of the acknowledged write own. Such a read is right only if late had no known
// outcome, was sent before own, ran after it, and is what the target returned. It returns
// an error if the runs and the log of the primary do not show that.
func traceLateRead(late, own ownWrite, read site.Reply, runs []site.Run, commits []site.Commit) (string, error) {
	trace := fmt.Sprintf("read %s returned %s: write %s was sent %s before write %s of %s (%s), its outcome was %s",
		read.ID, late.data, late.ID, own.Sent.Sub(late.Sent), own.ID, own.data, own.outcome(), late.outcome())
	find := func(id string) int {
		return slices.IndexFunc(commits, func(c site.Commit) bool { return c.ID == id })
	}
	i, j := find(late.ID), find(own.ID)
	k := slices.IndexFunc(runs, func(r site.Run) bool { return r.ID == read.ID && r.ReadID == late.ID })
	switch {
	case late.OK() || slices.Contains(notExecutedCodes, late.Code()):
		return "", fmt.Errorf("%s; the outcome was known", trace)
	case !late.Sent.Before(own.Sent):
		return "", fmt.Errorf("%s; it was not sent earlier", trace)
	case i < 0 || j < 0:
		return "", fmt.Errorf("%s; the log lacks one of them: %v", trace, lastOf(commits, 5))
	case commits[i].Position < commits[j].Position:
		return "", fmt.Errorf("%s; it ran at position %d, before position %d of the acknowledged write", trace, commits[i].Position, commits[j].Position)
	case k < 0:
		return "", fmt.Errorf("%s; no target returned it to this read", trace)
	case runs[k].ReadPosition != commits[i].Position:
		return "", fmt.Errorf("%s; %s returned it from position %d, the log has it at %d", trace, runs[k].Target, runs[k].ReadPosition, commits[i].Position)
	}
	return fmt.Sprintf("%s; it ran %s after the acknowledged write, at position %d after %d, and %s returned it from there",
		trace, commits[i].At.Sub(commits[j].At), commits[i].Position, commits[j].Position, runs[k].Target), nil
}

// Guards against a soak that takes every earlier value for a late write.
func TestTraceLateRead(t *testing.T) {
	sent := time.Now()
	late := ownWrite{Reply: site.Reply{ID: "w1", Completion: site.Closed, Sent: sent}, data: "1"}
	own := ownWrite{Reply: site.Reply{ID: "w2", Completion: "DONE sig.w2", Sent: sent.Add(time.Second)}, data: "2"}
	read := site.Reply{ID: "r", Rows: []string{"1"}, Completion: "DONE sig.r"}
	inOrder := []site.Commit{{ID: "w2", Data: "2", Position: 7}, {ID: "w1", Data: "1", Position: 9}}
	ran := []site.Run{{ID: "r", Target: "grp-0", ReadID: "w1", ReadPosition: 9}}
	if trace, err := traceLateRead(late, own, read, ran, inOrder); err != nil || trace == "" {
		t.Errorf("a late write that was read: %q, %v", trace, err)
	}
	with := func(w ownWrite, change func(*ownWrite)) ownWrite {
		change(&w)
		return w
	}
	for name, err := range map[string]error{
		"a refused write":       errorOf(traceLateRead(with(late, func(w *ownWrite) { w.Completion = "ERR BUSY x" }), own, read, ran, inOrder)),
		"an acknowledged write": errorOf(traceLateRead(with(late, func(w *ownWrite) { w.Completion = "DONE sig.w1" }), own, read, ran, inOrder)),
		"a later write":         errorOf(traceLateRead(with(late, func(w *ownWrite) { w.Sent = sent.Add(2 * time.Second) }), own, read, ran, inOrder)),
		"a stale read": errorOf(traceLateRead(late, own, read, []site.Run{{ID: "r", ReadID: "w1", ReadPosition: 5}},
			[]site.Commit{{ID: "w1", Position: 5}, {ID: "w2", Position: 7}})),
		"a write that is not in the log": errorOf(traceLateRead(late, own, read, ran, inOrder[:1])),
		"a read of another write":        errorOf(traceLateRead(late, own, read, []site.Run{{ID: "r", ReadID: "w2", ReadPosition: 7}}, inOrder)),
		"a read of another log":          errorOf(traceLateRead(late, own, read, []site.Run{{ID: "r", ReadID: "w1", ReadPosition: 8}}, inOrder)),
		"a read that did not run":        errorOf(traceLateRead(late, own, read, nil, inOrder)),
	} {
		if err == nil {
			t.Errorf("%s is taken for a late write", name)
		}
	}
}

// errorOf returns the error of traceLateRead.
func errorOf(_ string, err error) error { return err }
