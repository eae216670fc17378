package statement

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// lexerDefinition defines the tokens of the language. Bad matches any character that no
// other rule matches, so that the lexer never fails and all statements are parsed.
var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*`},
	{Name: "Space", Pattern: `[ \t\r\n\f\v]+`},
	{Name: "String", Pattern: `'(?:[^']|'')*'`},
	{Name: "Quoted", Pattern: `"(?:[^"]|"")*"`},
	{Name: "Address", Pattern: `\d+\.\d+\.\d+\.\d+:\d+|\[[0-9A-Fa-f:.]+\]:\d+`},
	{Name: "Host", Pattern: `\d+\.\d+\.\d+\.\d+`},
	{Name: "Duration", Pattern: `(?:\d+(?:\.\d+)?(?:ns|us|ms|s|m|h))+`},
	{Name: "Number", Pattern: `\d+`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_]*(?:-[A-Za-z0-9_]+)*`},
	{Name: "Symbol", Pattern: `<=|>=|!=|[(),;=<>]`},
	{Name: "Bad", Pattern: `(?s).`},
})

// parser parses the tokens of one statement.
var parser = participle.MustBuild[statementNode](
	participle.Lexer(lexerDefinition),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(0),
)

// nameNode is a name, plain or in double quotes.
type nameNode string

// Capture implements participle.Capture. It removes the quotes of a quoted name.
func (n *nameNode) Capture(values []string) error {
	*n = nameNode(unquote(values[0], '"'))
	return nil
}

// textNode is a text in single quotes.
type textNode string

// Capture implements participle.Capture. It removes the quotes of the text.
func (t *textNode) Capture(values []string) error {
	*t = textNode(unquote(values[0], '\''))
	return nil
}

// unquote removes the surrounding quotes of s, if it has any, and unescapes doubled
// quotes.
func unquote(s string, quote byte) string {
	if len(s) < 2 || s[0] != quote {
		return s
	}
	q := string(quote)
	return strings.ReplaceAll(s[1:len(s)-1], q+q, q)
}

// keyword is a keyword of one or more words in upper case.
type keyword string

// Capture implements participle.Capture. It joins the words with spaces.
func (k *keyword) Capture(values []string) error {
	*k = keyword(strings.ToUpper(strings.Join(values, " ")))
	return nil
}

type statementNode struct {
	Show      *showNode    `parser:"( 'SHOW' @@"`
	Declare   *declareNode `parser:"| 'DECLARE' @@"`
	Drain     *drainedNode `parser:"| 'DRAIN' @@"`
	Undrain   *drainedNode `parser:"| 'UNDRAIN' @@"`
	Stop      *nameNode    `parser:"| 'STOP' 'SERVICE' @(Ident | Quoted)"`
	Start     *nameNode    `parser:"| 'START' 'SERVICE' @(Ident | Quoted)"`
	Drop      *droppedNode `parser:"| 'DROP' @@ )"`
	IfVersion *numberNode  `parser:"( 'IF' 'VERSION' @@ )?"`
}

type showNode struct {
	What  keyword          `parser:"@( 'HOLDERS' | 'REPLICAS' | 'TIME' | 'SERVICES' | 'CALLERS' | 'POLICIES' | 'VMS' | 'PROMOTIONS' | 'CONFIG' )"`
	Of    *ofNode          `parser:"( 'OF' @@ )?"`
	By    []nameNode       `parser:"( 'BY' @(Ident | Quoted) ( ',' @(Ident | Quoted) )* )?"`
	Since *durationNode    `parser:"( 'SINCE' @@ )?"`
	Where []*conditionNode `parser:"( 'WHERE' @@ ( 'AND' @@ )* )?"`
}

type ofNode struct {
	Kind keyword  `parser:"@( 'SERVICE' | 'DATABASE' | 'TARGET' | 'CALLER' | 'VM' )"`
	Name nameNode `parser:"@(Ident | Quoted)"`
}

type conditionNode struct {
	Column     nameNode     `parser:"@(Ident | Quoted)"`
	Comparison string       `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value      *literalNode `parser:"@@"`
}

type literalNode struct {
	Pos      lexer.Position
	Text     *textNode `parser:"@String"`
	Duration *string   `parser:"| @Duration"`
	Number   *string   `parser:"| @Number"`
	Name     *nameNode `parser:"| @(Ident | Quoted)"`
}

type declareNode struct {
	Service  *serviceNode  `parser:"'SERVICE' @@"`
	Policy   *policyNode   `parser:"| 'READ' 'POLICY' @@"`
	Caller   *callerNode   `parser:"| 'CALLER' @@"`
	Operator *operatorNode `parser:"| 'OPERATOR' @@"`
	Region   *regionNode   `parser:"| 'REGION' @@"`
}

type serviceNode struct {
	Name      nameNode        `parser:"@(Ident | Quoted)"`
	Databases []*databaseNode `parser:"'(' @@ ( ',' @@ )* ')'"`
}

type databaseNode struct {
	Name    nameNode      `parser:"'DATABASE' @(Ident | Quoted)"`
	Targets []*targetNode `parser:"'(' @@ ( ',' @@ )* ')'"`
}

type targetNode struct {
	Name          nameNode     `parser:"'TARGET' @(Ident | Quoted)"`
	Address       *addressNode `parser:"'AT' @@"`
	FailureDomain nameNode     `parser:"'IN' @(Ident | Quoted)"`
	Slots         *numberNode  `parser:"'SLOTS' @@"`
	Connections   *numberNode  `parser:"'CONNECTIONS' @@"`
}

type addressNode struct {
	Pos  lexer.Position
	Text string `parser:"@Address"`
}

type numberNode struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

type durationNode struct {
	Pos  lexer.Position
	Text string `parser:"@Duration"`
}

type policyNode struct {
	Name    nameNode            `parser:"@(Ident | Quoted)"`
	Options []*policyOptionNode `parser:"'(' ( @@ ( ',' @@ )* )? ')'"`
}

type policyOptionNode struct {
	Pos         lexer.Position
	MaxAge      *durationNode `parser:"'MAX' 'AGE' @@"`
	DefaultAge  *durationNode `parser:"| 'DEFAULT' 'AGE' @@"`
	PrimaryOnly bool          `parser:"| @( 'PRIMARY' 'ONLY' )"`
}

type callerNode struct {
	Name    nameNode            `parser:"@(Ident | Quoted)"`
	Options []*callerOptionNode `parser:"'(' @@ ( ',' @@ )* ')'"`
}

type callerOptionNode struct {
	Pos      lexer.Position
	Password *textNode   `parser:"'PASSWORD' @String"`
	Verifier *textNode   `parser:"| 'VERIFIER' @String"`
	Services []nameNode  `parser:"| 'SERVICES' @(Ident | Quoted) ( (?! ',' ( 'PASSWORD' | 'VERIFIER' | 'SERVICES' | 'POLICY' | 'CLASS' | 'WEIGHT' | 'READ' ) ) ',' @(Ident | Quoted) )*"`
	Policy   *nameNode   `parser:"| 'POLICY' @(Ident | Quoted)"`
	Class    *nameNode   `parser:"| 'CLASS' @(Ident | Quoted)"`
	Weight   *numberNode `parser:"| 'WEIGHT' @@"`
	ReadOnly bool        `parser:"| @( 'READ' 'ONLY' )"`
}

type operatorNode struct {
	Name    nameNode              `parser:"@(Ident | Quoted)"`
	Options []*operatorOptionNode `parser:"'(' @@ ( ',' @@ )* ')'"`
}

type operatorOptionNode struct {
	Pos        lexer.Position
	Role       *nameNode `parser:"'ROLE' @(Ident | Quoted)"`
	SecretHash *textNode `parser:"| 'SECRET' ( 'HASH' @String"`
	Secret     *textNode `parser:"| @String )"`
}

type regionNode struct {
	Name    nameNode   `parser:"@(Ident | Quoted)"`
	Domains []nameNode `parser:"'(' 'FAILURE' 'DOMAIN' @(Ident | Quoted) ( ',' @(Ident | Quoted) )* ')'"`
}

type drainedNode struct {
	Kind keyword  `parser:"@( 'TARGET' | 'VM' | 'SERVICE' )"`
	Name nameNode `parser:"@(Ident | Quoted)"`
}

type droppedNode struct {
	Kind keyword  `parser:"@( 'SERVICE' | 'CALLER' | 'READ' 'POLICY' | 'OPERATOR' | 'REGION' )"`
	Name nameNode `parser:"@(Ident | Quoted)"`
}

// reservedWords are the words that must be quoted when they are the name of a service
// in the SERVICES list of a caller, because they also start the next option.
var reservedWords = map[string]bool{
	"PASSWORD": true, "VERIFIER": true, "SERVICES": true, "POLICY": true,
	"CLASS": true, "WEIGHT": true, "READ": true,
}
