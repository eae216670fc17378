package target

import (
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxCachedStatements limits the number of cached SQL texts; the cache is cleared when
// it is full.
const maxCachedStatements = 4096

// statementCache caches parsed statements by SQL text. Parsed statements are shared
// between sessions and must not be modified.
type statementCache struct {
	mu     sync.Mutex
	parsed map[string][]*statement
}

func newStatementCache() *statementCache {
	return &statementCache{parsed: map[string][]*statement{}}
}

func (c *statementCache) parse(sql string) ([]*statement, error) {
	c.mu.Lock()
	statements, ok := c.parsed[sql]
	c.mu.Unlock()
	if ok {
		return statements, nil
	}
	statements, err := parse(sql)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parsed) >= maxCachedStatements {
		clear(c.parsed)
	}
	c.parsed[sql] = statements
	return statements, nil
}

// preparedStatement is a prepared statement; its statement is nil if the text is empty.
type preparedStatement struct {
	statement  *statement
	parameters []Type
	columns    []Column
}

// portal is a bound prepared statement and, once executed, its result.
type portal struct {
	prepared *preparedStatement
	params   []Value
	formats  []int16
	result   *result
	rowsSent int
}

// prepare parses a statement and determines its parameter types and result columns.
func (s *session) prepare(message *pgproto3.Parse) (*preparedStatement, error) {
	statements, err := s.instance.parseCache.parse(message.Query)
	if err != nil {
		return nil, err
	}
	switch len(statements) {
	case 0:
		return &preparedStatement{}, nil
	case 1:
	default:
		return nil, sqlErrorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &preparedStatement{statement: statements[0]}
	s.instance.lockThawed()
	defer s.instance.mu.Unlock()
	if p.parameters, err = s.instance.parameterTypes(p.statement, message.ParameterOIDs); err != nil {
		return nil, err
	}
	p.columns, err = s.describe(p.statement, p.parameters)
	return p, err
}

// describe returns the result columns of a statement, or nil if it returns no rows. The
// caller holds mu.
func (s *session) describe(st *statement, parameters []Type) ([]Column, error) {
	switch {
	case st.Show != nil:
		return textColumns(st.Show.name()), nil
	case st.Select == nil:
		return nil, nil
	case st.Select.From == nil:
		return (&execution{instance: s.instance, params: make([]Value, len(parameters))}).selectColumns(st.Select, nil)
	case st.Select.From.Function != nil:
		return functionColumns(st.Select.From.Function.Name)
	}
	t, err := s.instance.tables.table(st.Select.From.Table)
	if err != nil {
		return nil, err
	}
	if name, ok := st.Select.countColumn(); ok {
		return []Column{{Name: name, Type: TypeInt}}, nil
	}
	return (&execution{instance: s.instance, params: make([]Value, len(parameters))}).selectColumns(st.Select, t)
}

// parameterTypes infers the types of a statement's parameters from the columns that they
// are compared with or assigned to. Types declared by the client take precedence, and
// parameters without a type are text. The caller holds mu.
func (in *Instance) parameterTypes(st *statement, declared []uint32) ([]Type, error) {
	inference := &typeInference{types: make([]Type, len(declared))}
	for i, oid := range declared {
		inference.types[i] = Type(oid)
	}
	if err := inference.inferStatement(in.tables, st); err != nil {
		return nil, err
	}
	for i, t := range inference.types {
		if t == 0 {
			inference.types[i] = TypeText
		}
	}
	return inference.types, nil
}

// typeInference collects the parameter types of a statement; zero means not yet known.
type typeInference struct {
	types []Type
}

// setType sets the type of every parameter in e that has no type yet: the type of its
// cast, or else t.
func (f *typeInference) setType(e *expression, t Type) {
	if e == nil {
		return
	}
	visitParameters(e, func(o *operand) {
		index := parameterIndex(o.Param)
		if index < 0 || index > 1<<16 {
			return
		}
		if missing := index + 1 - len(f.types); missing > 0 {
			f.types = append(f.types, slices.Repeat([]Type{0}, missing)...)
		}
		switch {
		case f.types[index] != 0:
		case o.Cast != "":
			f.types[index] = typeByName(o.Cast)
		default:
			f.types[index] = t
		}
	})
}

func (f *typeInference) inferStatement(tables catalog, st *statement) error {
	switch {
	case st.Insert != nil:
		return f.inferInsert(tables, st.Insert)
	case st.Update != nil:
		return f.inferUpdate(tables, st.Update)
	case st.Delete != nil:
		return f.inferWhere(tables, st.Delete.Table, st.Delete.Where)
	case st.Select != nil:
		return f.inferSelect(tables, st.Select)
	default:
		return nil
	}
}

func (f *typeInference) inferInsert(tables catalog, s *insertStatement) error {
	t, err := tables.table(s.Table)
	if err != nil {
		return err
	}
	indexes, err := columnIndexes(t, s.Columns)
	if err != nil {
		return err
	}
	for _, row := range s.Rows {
		for i, e := range row.Values {
			if i < len(indexes) {
				f.setType(e, t.columns[indexes[i]].Type)
			}
		}
	}
	return nil
}

func (f *typeInference) inferUpdate(tables catalog, s *updateStatement) error {
	t, err := tables.table(s.Table)
	if err != nil {
		return err
	}
	for _, a := range s.Set {
		index, err := t.column(a.Column)
		if err != nil {
			return err
		}
		f.setType(a.Value, t.columns[index].Type)
	}
	return f.inferWhere(tables, s.Table, s.Where)
}

func (f *typeInference) inferSelect(tables catalog, s *selectStatement) error {
	for _, item := range s.Items {
		f.setType(item.Expression, TypeText)
	}
	f.setType(s.Limit, TypeInt)
	switch {
	case s.From == nil:
		return nil
	case s.From.Function != nil:
		for _, argument := range s.From.Function.Args {
			f.setType(argument, TypeText)
		}
		return nil
	}
	return f.inferWhere(tables, s.From.Table, s.Where)
}

func (f *typeInference) inferWhere(tables catalog, name string, where []*comparison) error {
	t, err := tables.table(name)
	if err != nil {
		return err
	}
	for _, c := range where {
		typ := TypeText
		if column := c.Left.Left.Column; column != "" {
			index, err := t.column(column)
			if err != nil {
				return err
			}
			typ = t.columns[index].Type
		}
		f.setType(c.Left, typ)
		f.setType(c.Right, typ)
	}
	return nil
}

// bind creates a portal from a prepared statement and the decoded parameters.
func (s *session) bind(message *pgproto3.Bind) (*portal, error) {
	p := s.statements[message.PreparedStatement]
	if p == nil {
		return nil, sqlErrorf(codeUndefinedStatement, "prepared statement %q does not exist", message.PreparedStatement)
	}
	if len(message.Parameters) != len(p.parameters) {
		return nil, sqlErrorf(codeProtocolViolation, "bind supplies %d parameters, but the statement requires %d", len(message.Parameters), len(p.parameters))
	}
	bound := &portal{prepared: p, formats: slices.Clone(message.ResultFormatCodes)}
	for i, data := range message.Parameters {
		value, err := decodeParameter(data, p.parameters[i], formatOf(message.ParameterFormatCodes, i))
		if err != nil {
			return nil, err
		}
		bound.params = append(bound.params, value)
	}
	return bound, nil
}

// formatOf returns the format code of the value at index i. No codes mean text format,
// and a single code applies to all values.
func formatOf(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return formatText
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	default:
		return formatText
	}
}
