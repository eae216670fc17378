package target

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/position"
	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

var statusColumns = textColumns("target", "role", "fence", "joined", "last_term", "last_index", "applied_term", "applied_index")

var terminateColumns = textColumns("terminated")

func textColumns(names ...string) []Column {
	columns := make([]Column, len(names))
	for i, name := range names {
		columns[i] = Column{Name: name, Type: TypeText}
	}
	return columns
}

// functionColumns returns the result columns of SELECT * FROM name(...).
func functionColumns(name string) ([]Column, error) {
	switch strings.ToLower(name) {
	case contract.FuncStatus, contract.FuncFence, contract.FuncPromote, contract.FuncFollow:
		return statusColumns, nil
	case contract.FuncTerminate:
		return terminateColumns, nil
	default:
		return nil, sqlErrorf(codeUndefinedFunction, "function %s does not exist", name)
	}
}

// callTableFunction executes one of the functions named in internal/target.
func (x *execution) callTableFunction(c *call) (*result, error) {
	columns, err := functionColumns(c.Name)
	if err != nil {
		return nil, err
	}
	switch strings.ToLower(c.Name) {
	case contract.FuncTerminate:
		return x.terminateSession(columns, c)
	case contract.FuncStatus:
		x.instance.lockThawed()
		defer x.instance.mu.Unlock()
		return statusResult(columns, x.instance.status()), nil
	}
	if len(c.Args) == 0 {
		return nil, sqlErrorf(codeUndefinedFunction, "%s needs a term", c.Name)
	}
	term, err := x.intArgument(c.Args[0])
	if err != nil {
		return nil, err
	}
	status, err := x.callTermFunction(strings.ToLower(c.Name), position.Term(term), c)
	if err != nil {
		return nil, err
	}
	return statusResult(columns, status), nil
}

// callTermFunction executes the fence, promote or follow function.
func (x *execution) callTermFunction(name string, term position.Term, c *call) (contract.Status, error) {
	switch name {
	case contract.FuncFence:
		return x.instance.Fence(term)
	case contract.FuncPromote:
		return x.instance.Promote(term)
	}
	if len(c.Args) != 2 {
		return contract.Status{}, sqlErrorf(codeUndefinedFunction, "%s needs a term and an address", c.Name)
	}
	text, _, err := x.newScope(nil, nil).evalExpression(c.Args[1])
	if err != nil {
		return contract.Status{}, err
	}
	address, err := netip.ParseAddrPort(text.Text)
	if err != nil {
		return contract.Status{}, sqlErrorf(codeInvalidText, "%q is not an IP:port address", text.Text)
	}
	return x.instance.Follow(term, address)
}

func statusResult(columns []Column, s contract.Status) *result {
	role := "replica"
	if s.Primary {
		role = "primary"
	}
	return rowsResult(columns, []Row{{
		textValue(s.Target),
		textValue(role),
		uintValue(uint64(s.Fence)),
		uintValue(uint64(s.Joined)),
		uintValue(uint64(s.Last.Term)),
		uintValue(s.Last.Index),
		uintValue(uint64(s.Applied.Term)),
		uintValue(s.Applied.Index),
	}})
}

func uintValue(n uint64) Value {
	return textValue(strconv.FormatUint(n, 10))
}

// terminateSession closes another session and waits until its transaction is rolled
// back. The result is false if there is no other session with that process ID.
func (x *execution) terminateSession(columns []Column, c *call) (*result, error) {
	if len(c.Args) != 1 {
		return nil, sqlErrorf(codeUndefinedFunction, "%s needs a process id", c.Name)
	}
	pid, err := x.intArgument(c.Args[0])
	if err != nil {
		return nil, err
	}
	x.instance.lockThawed()
	other := x.instance.sessions[uint32(pid)]
	x.instance.mu.Unlock()
	if other == nil || other == x.session {
		return rowsResult(columns, []Row{{textValue("f")}}), nil
	}
	other.abort()
	select {
	case <-other.finished:
	case <-x.ctx.Done():
		return nil, x.ctx.Err()
	}
	return rowsResult(columns, []Row{{textValue("t")}}), nil
}
