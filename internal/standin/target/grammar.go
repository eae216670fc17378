package target

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// script is the text of a simple query or prepared statement.
//
// The names of this type and of the types below appear in the syntax errors that
// participle returns, and thus in the responses to clients.
type script struct {
	Statements []*statement `parser:"@@? ( ';' @@? )*"`
}

// statement is one SQL statement; exactly one field is set.
type statement struct {
	Create  *createTable     `parser:"  @@"`
	Insert  *insertStatement `parser:"| @@"`
	Select  *selectStatement `parser:"| @@"`
	Update  *updateStatement `parser:"| @@"`
	Delete  *deleteStatement `parser:"| @@"`
	Begin   *beginStatement  `parser:"| @@"`
	End     *endStatement    `parser:"| @@"`
	Set     *setStatement    `parser:"| @@"`
	Show    *showStatement   `parser:"| @@"`
	Discard *discard         `parser:"| @@"`
}

type createTable struct {
	Name    string       `parser:"'CREATE' 'TABLE' ( 'IF' 'NOT' 'EXISTS' )? @Ident"`
	Columns []*columnDef `parser:"'(' @@ ( ',' @@ )* ')'"`
}

type columnDef struct {
	Name    string   `parser:"@Ident"`
	Type    string   `parser:"@Ident 'PRECISION'? ( '(' Number ')' )?"`
	Options []string `parser:"( @( 'PRIMARY' | 'KEY' | 'NOT' | 'NULL' | 'UNIQUE' ) )*"`
}

type insertStatement struct {
	Table     string       `parser:"'INSERT' 'INTO' @Ident"`
	Columns   []string     `parser:"( '(' @Ident ( ',' @Ident )* ')' )?"`
	Rows      []*valueList `parser:"'VALUES' @@ ( ',' @@ )*"`
	DoNothing bool         `parser:"( 'ON' 'CONFLICT' ( '(' Ident ')' )? 'DO' @'NOTHING' )?"`
}

type valueList struct {
	Values []*expression `parser:"'(' @@ ( ',' @@ )* ')'"`
}

type selectStatement struct {
	Items     []*selectItem `parser:"'SELECT' @@ ( ',' @@ )*"`
	From      *from         `parser:"( 'FROM' @@ )?"`
	Where     []*comparison `parser:"( 'WHERE' @@ ( 'AND' @@ )* )?"`
	Order     []*orderKey   `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
	Limit     *expression   `parser:"( 'LIMIT' @@ )?"`
	ForUpdate bool          `parser:"( @'FOR' 'UPDATE' )?"`
}

type selectItem struct {
	Star       bool        `parser:"( @'*'"`
	Expression *expression `parser:"| @@ )"`
	Alias      string      `parser:"( 'AS' @Ident )?"`
}

type from struct {
	Function *call  `parser:"  @@"`
	Table    string `parser:"| @Ident"`
}

type comparison struct {
	Left  *expression `parser:"@@"`
	Op    string      `parser:"@( '=' | '<>' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Right *expression `parser:"@@"`
}

type orderKey struct {
	Column     string `parser:"@Ident"`
	Descending bool   `parser:"( @'DESC' | 'ASC' )?"`
}

type updateStatement struct {
	Table string        `parser:"'UPDATE' @Ident"`
	Set   []*assignment `parser:"'SET' @@ ( ',' @@ )*"`
	Where []*comparison `parser:"( 'WHERE' @@ ( 'AND' @@ )* )?"`
}

type assignment struct {
	Column string      `parser:"@Ident '='"`
	Value  *expression `parser:"@@"`
}

type deleteStatement struct {
	Table string        `parser:"'DELETE' 'FROM' @Ident"`
	Where []*comparison `parser:"( 'WHERE' @@ ( 'AND' @@ )* )?"`
}

type beginStatement struct {
	Word  string   `parser:"@( 'BEGIN' | 'START' )"`
	Modes []string `parser:"( @Ident | ',' )*"`
}

// readOnly reports whether the transaction modes include READ ONLY.
func (b *beginStatement) readOnly() bool {
	return strings.Contains(strings.ToUpper(strings.Join(b.Modes, " ")), "READ ONLY")
}

type endStatement struct {
	Word string `parser:"@( 'COMMIT' | 'END' | 'ROLLBACK' | 'ABORT' ) ( 'TRANSACTION' | 'WORK' )?"`
}

// commits reports whether the statement is COMMIT or END.
func (e *endStatement) commits() bool {
	word := strings.ToUpper(e.Word)
	return word == "COMMIT" || word == "END"
}

type setStatement struct {
	Scope string   `parser:"'SET' @( 'SESSION' | 'LOCAL' )?"`
	Name  string   `parser:"@Ident"`
	Value []string `parser:"( '=' | 'TO' )? ( @( Ident | String | Number | Op ) )*"`
}

type showStatement struct {
	Name []string `parser:"'SHOW' ( @Ident )+"`
}

// discard is DISCARD, DEALLOCATE or RESET.
type discard struct {
	Word      string   `parser:"@( 'DISCARD' | 'DEALLOCATE' | 'RESET' )"`
	Arguments []string `parser:"( @Ident )+"`
}

type expression struct {
	Left *operand     `parser:"@@"`
	Rest []*operation `parser:"@@*"`
}

type operation struct {
	Op    string   `parser:"@( '+' | '-' | '||' )"`
	Right *operand `parser:"@@"`
}

type operand struct {
	Null   bool    `parser:"( @'NULL'"`
	Bool   string  `parser:"| @( 'TRUE' | 'FALSE' )"`
	Number string  `parser:"| @( '-'? Number )"`
	Text   *string `parser:"| @String"`
	Param  string  `parser:"| @Param"`
	Call   *call   `parser:"| @@"`
	Column string  `parser:"| @Ident )"`
	Cast   string  `parser:"( '::' @Ident )?"`
}

type call struct {
	Name string        `parser:"@Ident '('"`
	Star bool          `parser:"( @'*'"`
	Args []*expression `parser:"| @@ ( ',' @@ )* )? ')'"`
}

var sqlLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*`},
	{Name: "Whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `'(?:[^']|'')*'`},
	{Name: "Param", Pattern: `\$\d+`},
	{Name: "Number", Pattern: `\d+(\.\d+)?`},
	{Name: "Ident", Pattern: `"[^"]+"|[A-Za-z_][A-Za-z0-9_.]*`},
	{Name: "Cast", Pattern: `::`},
	{Name: "Op", Pattern: `<>|!=|<=|>=|\|\||[-+*/=<>(),;]`},
})

var sqlParser = participle.MustBuild[script](
	participle.Lexer(sqlLexer),
	participle.Elide("Comment", "Whitespace"),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(3),
	participle.Map(unquote, "String", "Ident"),
)

// unquote removes the quotes of string literals and quoted identifiers.
func unquote(t lexer.Token) (lexer.Token, error) {
	switch {
	case strings.HasPrefix(t.Value, "'"):
		t.Value = strings.ReplaceAll(t.Value[1:len(t.Value)-1], "''", "'")
	case strings.HasPrefix(t.Value, `"`):
		t.Value = t.Value[1 : len(t.Value)-1]
	}
	return t, nil
}

// parse parses sql and returns its non-empty statements.
func parse(sql string) ([]*statement, error) {
	parsed, err := sqlParser.ParseString("", sql)
	if err != nil {
		return nil, sqlErrorf(codeSyntax, "%v", err)
	}
	statements := make([]*statement, 0, len(parsed.Statements))
	for _, s := range parsed.Statements {
		if s != nil {
			statements = append(statements, s)
		}
	}
	return statements, nil
}
