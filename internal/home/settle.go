package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	"k8s.io/klog/v2"
)

// settlePause is the pause between two attempts of a step of a settlement.
const settlePause = 50 * time.Millisecond

// record is what a confirmed read of the request record showed.
type record struct {
	group.RecordLookup
	tag      string
	position position.Position
}

// settle finds out what became of a request with an id whose answer is not known
// or not confirmed. answered says that the target's whole answer was read.
func (x *run) settle(l *lease, answered bool) wireunit.Result {
	ctx, cancel := context.WithTimeout(x.ctx, x.unit.home.timings.SettleTimeout)
	defer cancel()
	unclear := group.UnclearRequest{HasID: true, Term: l.term, ConnectionTerm: l.conn.Fence(), ConnectionEnded: answered}
	var found record
	for ctx.Err() == nil {
		s := x.unit.database.state.Load()
		switch step := group.Settle(unclear, s.primary, found.RecordLookup); step {
		case group.StepTerminate:
			unclear.ConnectionEnded = x.terminate(ctx, l)
			if !unclear.ConnectionEnded {
				pauseOrChange(ctx, s)
			}
		case group.StepReadRecord:
			next, err := x.readPrimaryRecord(ctx, s)
			if err != nil {
				klog.V(2).Infof("home: %s: request record not read: %v", x.unit.database.key, err)
				pauseOrChange(ctx, s)
				continue
			}
			found = next
		case group.StepDone:
			return x.settledDone(l, found)
		case group.StepNotRun:
			x.unit.home.counters.settledNot.Inc()
			return ended(outcome.Refuse(outcome.PrimaryChanged, rerunRetryAfter, "the request was lost with its connection and did not run"))
		default:
			x.unit.database.alarm()
			pauseOrChange(ctx, s)
		}
	}
	return ended(outcome.Unclear(outcome.RequestUnsettled, "the request record could not be read in time"))
}

// settledDone answers a request that took effect although its answer was lost.
func (x *run) settledDone(l *lease, found record) wireunit.Result {
	x.unit.home.counters.settledDone.Inc()
	if x.sink.Written > 0 {
		return ended(outcome.Unclear(outcome.RequestUnsettled, "the request took effect, but its answer was cut short"))
	}
	x.unit.held = x.unit.held[:0]
	return wireunit.Result{Status: wireunit.TxIdle, Position: found.position, Origin: l.origin(), Repeated: true, Tag: found.tag}
}

// terminate ends the connection of a lease at the target and reports whether it
// is known to be gone.
func (x *run) terminate(ctx context.Context, l *lease) bool {
	ctx, cancel := context.WithTimeout(ctx, x.unit.home.timings.StatusTimeout)
	defer cancel()
	err := l.instance.withControl(ctx, func(c target.Control) error { return c.Terminate(ctx, l.conn.PID()) })
	if err != nil {
		klog.V(2).Infof("home: terminating a connection of %s failed: %v", l.instance.declared.Name, err)
	}
	return err == nil
}

// pauseOrChange waits a little, or until the state has changed.
func pauseOrChange(ctx context.Context, s *state) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-s.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readPrimaryRecord reads the request record on the primary of a state.
func (x *run) readPrimaryRecord(ctx context.Context, s *state) (record, error) {
	i := x.unit.database.members.Load().byName[s.primary.Name]
	if i == nil {
		return record{}, errors.New("no primary is known")
	}
	return x.readRecord(ctx, place{instance: i, term: s.primary.Term})
}

// readRecord reads the request record on an instance and has the read confirmed.
func (x *run) readRecord(ctx context.Context, p place) (record, error) {
	header := x.unit.header
	b, err := query(selectRecord(header.RequestID, header.Caller))
	if err != nil {
		return record{}, err
	}
	own := &run{unit: x.unit, ctx: ctx, batch: b}
	l, o := own.admit(p)
	if !o.OK() {
		return record{}, fmt.Errorf("%s: %s", o.Reason, o.Message)
	}
	var rows firstValues
	started := time.Now()
	reply, err := l.conn.Exchange(ctx, target.Exchange{Batch: b, PipelineStatus: true}, &rows)
	ends := time.Now()
	l.giveBack()
	switch {
	case err != nil:
		return record{}, err
	case reply.SQLState != "":
		return record{}, fmt.Errorf("target answered SQLSTATE %s", reply.SQLState)
	case !reply.AfterKnown:
		return record{}, errDeposed
	}
	d, err := own.confirm(group.Batch{Term: p.term, Started: started, Ended: ends, StatusAfter: reply.After})
	if err != nil {
		return record{}, err
	}
	if d.Verdict != group.Confirmed {
		return record{}, errDeposed
	}
	found := record{RecordLookup: group.RecordLookup{Term: p.term, Read: true, Found: len(rows.values) > 0}, position: d.Position}
	if found.Found {
		found.tag = rows.values[0]
	}
	return found, nil
}
