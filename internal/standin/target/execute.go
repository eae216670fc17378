package target

import (
	"context"
	"time"
)

// result is the result of a statement. next returns the rows one at a time, and is nil
// if the statement returns no rows.
type result struct {
	columns []Column
	next    func() (Row, bool)
	tag     string
	// countRows adds the number of rows to the command tag.
	countRows bool
}

// execution executes one statement within a transaction.
type execution struct {
	session  *session
	instance *Instance
	ctx      context.Context
	tx       *transaction
	params   []Value
}

// needsSlot reports whether a statement occupies a slot. Transaction control and the
// functions of internal/target do not.
func (s *statement) needsSlot() bool {
	switch {
	case s.Insert != nil, s.Update != nil, s.Delete != nil, s.Create != nil:
		return true
	case s.Select != nil:
		return s.Select.From == nil || s.Select.From.Function == nil
	default:
		return false
	}
}

// run executes a statement that needs a transaction.
func (x *execution) run(s *statement) (*result, error) {
	x.instance.statementCount.Add(1)
	if !s.needsSlot() {
		return x.callTableFunction(s.Select.From.Function)
	}
	if err := x.instance.slots.acquire(x.ctx); err != nil {
		return nil, err
	}
	defer x.instance.slots.release()
	if err := x.sleep(x.instance.serviceTime()); err != nil {
		return nil, err
	}
	switch {
	case s.Create != nil:
		return x.create(s.Create)
	case s.Insert != nil:
		return x.insert(s.Insert)
	case s.Update != nil:
		return x.update(s.Update)
	case s.Delete != nil:
		return x.delete(s.Delete)
	case s.Select.From != nil:
		return x.selectTable(s.Select)
	default:
		return x.selectValues(s.Select)
	}
}

func (in *Instance) serviceTime() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults.ServiceTime
}

// sleep waits for d. It returns the error of the context if the context is done first.
func (x *execution) sleep(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.ctx.Done():
		return x.ctx.Err()
	}
}

// newScope returns a scope for expressions that are evaluated while mu is held.
func (x *execution) newScope(t *table, row Row) *scope {
	return &scope{params: x.params, table: t, row: row, callFunction: x.callWithoutSleep}
}
