package target

import (
	"strconv"
	"strings"
)

// scope holds the parameters, the row and the functions that an expression may refer to.
type scope struct {
	params       []Value
	table        *table
	row          Row
	callFunction func(c *call, s *scope) (Value, Type, error)
}

// evalExpression evaluates an expression from left to right. Without a row, the value of
// a column is null.
func (s *scope) evalExpression(e *expression) (Value, Type, error) {
	value, typ, err := s.evalOperand(e.Left)
	for _, operation := range e.Rest {
		if err != nil {
			return null, typ, err
		}
		var right Value
		right, _, err = s.evalOperand(operation.Right)
		if err == nil {
			value, typ, err = applyOperator(operation.Op, value, right, typ)
		}
	}
	return value, typ, err
}

// applyOperator evaluates a binary operator. The result is null if an operand is null.
func applyOperator(op string, a, b Value, t Type) (Value, Type, error) {
	if a.Null || b.Null {
		return null, t, nil
	}
	if op == "||" {
		return textValue(a.Text + b.Text), TypeText, nil
	}
	x, errX := strconv.ParseInt(a.Text, 10, 64)
	y, errY := strconv.ParseInt(b.Text, 10, 64)
	if errX != nil || errY != nil {
		return null, t, sqlErrorf(codeInvalidText, "operator %s needs integers", op)
	}
	if op == "-" {
		y = -y
	}
	return intValue(x + y), TypeInt, nil
}

func (s *scope) evalOperand(o *operand) (Value, Type, error) {
	value, typ, err := s.evalUncast(o)
	if err != nil || o.Cast == "" {
		return value, typ, err
	}
	cast := typeByName(o.Cast)
	value, err = coerce(value, cast)
	return value, cast, err
}

func (s *scope) evalUncast(o *operand) (Value, Type, error) {
	switch {
	case o.Null:
		return null, TypeText, nil
	case o.Bool != "":
		value, err := coerceBool(textValue(o.Bool))
		return value, TypeBool, err
	case o.Number != "":
		return evalNumber(o.Number)
	case o.Text != nil:
		return textValue(*o.Text), TypeText, nil
	case o.Param != "":
		return s.evalParameter(o.Param)
	case o.Call != nil:
		return s.callFunction(o.Call, s)
	default:
		return s.evalColumn(o.Column)
	}
}

func evalNumber(text string) (Value, Type, error) {
	if strings.Contains(text, ".") {
		return textValue(text), TypeFloat, nil
	}
	if n, err := strconv.ParseInt(text, 10, 32); err == nil {
		return intValue(n), TypeInt4, nil
	}
	return textValue(text), TypeInt, nil
}

func (s *scope) evalParameter(name string) (Value, Type, error) {
	index := parameterIndex(name)
	if index < 0 || index >= len(s.params) {
		return null, TypeText, sqlErrorf(codeInvalidParameter, "there is no parameter %s", name)
	}
	return s.params[index], TypeText, nil
}

// parameterIndex returns the zero-based index of parameter $n, or -1 if name is invalid.
func parameterIndex(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "$"))
	if err != nil {
		return -1
	}
	return n - 1
}

func (s *scope) evalColumn(name string) (Value, Type, error) {
	if s.table == nil {
		return null, TypeText, sqlErrorf(codeUndefinedColumn, "column %q does not exist", name)
	}
	index, err := s.table.column(name)
	if err != nil {
		return null, TypeText, err
	}
	if s.row == nil {
		return null, s.table.columns[index].Type, nil
	}
	return s.row[index], s.table.columns[index].Type, nil
}

// matches reports whether the row of the scope satisfies all comparisons.
func (s *scope) matches(where []*comparison) (bool, error) {
	for _, c := range where {
		left, typ, err := s.evalExpression(c.Left)
		if err != nil {
			return false, err
		}
		right, _, err := s.evalExpression(c.Right)
		if err != nil {
			return false, err
		}
		if left.Null || right.Null || !satisfies(c.Op, compareValues(left, right, typ)) {
			return false, nil
		}
	}
	return true, nil
}

// satisfies reports whether a comparison result satisfies the operator.
func satisfies(op string, order int) bool {
	switch op {
	case "=":
		return order == 0
	case "<>", "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

// primaryKeyFrom returns the primary key if the WHERE clause contains an equality
// comparison with it.
func (s *scope) primaryKeyFrom(where []*comparison) (string, bool) {
	keyColumn := s.table.columns[0]
	for _, c := range where {
		if c.Op != "=" || c.Left.Left.Column != keyColumn.Name || len(c.Left.Rest) > 0 {
			continue
		}
		value, _, err := s.evalExpression(c.Right)
		if err != nil || value.Null {
			continue
		}
		value, err = coerce(value, keyColumn.Type)
		if err == nil {
			return value.Text, true
		}
	}
	return "", false
}
