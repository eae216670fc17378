package target

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// generateSeries returns the result of SELECT generate_series(first, last).
func (x *execution) generateSeries(columns []Column, c *call) (*result, error) {
	if len(c.Args) != 2 {
		return nil, sqlErrorf(codeUndefinedFunction, "generate_series needs two arguments")
	}
	first, err := x.intArgument(c.Args[0])
	if err != nil {
		return nil, err
	}
	last, err := x.intArgument(c.Args[1])
	if err != nil {
		return nil, err
	}
	next := func() (Row, bool) {
		if first > last {
			return nil, false
		}
		first++
		return Row{intValue(first - 1)}, true
	}
	return &result{columns: columns, next: next, tag: "SELECT", countRows: true}, nil
}

// intArgument evaluates an argument that must be an integer.
func (x *execution) intArgument(e *expression) (int64, error) {
	value, _, err := x.newScope(nil, nil).evalExpression(e)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(value.Text, 10, 64)
	if err != nil {
		return 0, sqlErrorf(codeInvalidText, "%q is not an integer", value.Text)
	}
	return n, nil
}

// describeCall returns the result type of a scalar function, with a null value.
func describeCall(c *call, _ *scope) (Value, Type, error) {
	switch strings.ToLower(c.Name) {
	case "pg_sleep":
		return null, TypeVoid, nil
	case "pg_backend_pid":
		return null, TypeInt4, nil
	case "generate_series":
		return null, TypeInt, nil
	case "now", "version", "current_setting", "repeat":
		return null, TypeText, nil
	default:
		return null, TypeText, sqlErrorf(codeUndefinedFunction, "function %s does not exist", c.Name)
	}
}

// callWithoutSleep executes a scalar function while mu is held. It rejects pg_sleep,
// which would block all other sessions.
func (x *execution) callWithoutSleep(c *call, s *scope) (Value, Type, error) {
	if strings.EqualFold(c.Name, "pg_sleep") {
		return null, TypeVoid, sqlErrorf(codeUnsupported, "pg_sleep is only supported in SELECT without FROM")
	}
	return x.callScalar(c, s)
}

// callScalar evaluates the arguments of a scalar function and executes it.
func (x *execution) callScalar(c *call, s *scope) (Value, Type, error) {
	_, typ, err := describeCall(c, s)
	if err != nil {
		return null, typ, err
	}
	args := make([]Value, len(c.Args))
	for i, argument := range c.Args {
		if args[i], _, err = s.evalExpression(argument); err != nil {
			return null, typ, err
		}
	}
	value, err := x.evalScalar(strings.ToLower(c.Name), args)
	return value, typ, err
}

func (x *execution) evalScalar(name string, args []Value) (Value, error) {
	argument := func(i int) string {
		if i < len(args) {
			return args[i].Text
		}
		return ""
	}
	switch name {
	case "pg_sleep":
		seconds, err := strconv.ParseFloat(argument(0), 64)
		if err != nil {
			return null, sqlErrorf(codeInvalidText, "pg_sleep needs a number of seconds")
		}
		return textValue(""), x.sleep(time.Duration(seconds * float64(time.Second)))
	case "pg_backend_pid":
		return intValue(int64(x.session.pid)), nil
	case "current_setting":
		return textValue(x.session.settings[strings.ToLower(argument(0))]), nil
	case "repeat":
		n, err := strconv.Atoi(argument(1))
		if err != nil || n < 0 || n > 1<<20 {
			return null, sqlErrorf(codeInvalidText, "repeat needs a count from 0 to 1048576")
		}
		return textValue(strings.Repeat(argument(0), n)), nil
	case "now":
		return textValue(time.Now().UTC().Format(time.RFC3339Nano)), nil
	case "version":
		return textValue("laburnumrack stand-in"), nil
	default:
		return null, fmt.Errorf("function %s is described but not implemented", name)
	}
}
