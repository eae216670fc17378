package statement

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Limits of one text.
const (
	MaxTextBytes  = 4 << 20
	MaxStatements = 10_000
	// maxErrors is the number of errors after which parsing stops.
	maxErrors = 200
)

// Parse returns the valid statements of a text and the errors in the other ones. The
// last statement needs no semicolon. Parsing stops after maxErrors errors. A text with
// more than MaxTextBytes or MaxStatements returns no statements.
func Parse(text string) ([]Statement, Errors) {
	if len(text) > MaxTextBytes {
		return nil, Errors{{Position{1, 1}, fmt.Sprintf("text has %d bytes, want at most %d", len(text), MaxTextBytes)}}
	}
	tokens, err := tokenize(text)
	if err != nil {
		return nil, Errors{positionedError(err)}
	}
	var statements []Statement
	var errs Errors
	for _, stmtTokens := range splitStatements(tokens) {
		s, stmtErrs := parseOne(stmtTokens)
		if len(stmtErrs) == 0 {
			statements = append(statements, s)
		}
		errs = append(errs, stmtErrs...)
		if len(errs) >= maxErrors {
			return statements, append(errs[:maxErrors:maxErrors], Error{errs[maxErrors-1].Position, "too many errors, the rest of the text is not checked"})
		}
		if len(statements) > MaxStatements {
			return nil, Errors{{s.Position, fmt.Sprintf("text has more than %d statements", MaxStatements)}}
		}
	}
	return statements, errs
}

// ParseOne parses a text that must hold exactly one statement.
func ParseOne(text string) (Statement, error) {
	statements, errs := Parse(text)
	if err := errs.Err(); err != nil {
		return Statement{}, err
	}
	if len(statements) != 1 {
		return Statement{}, fmt.Errorf("text has %d statements, want one", len(statements))
	}
	return statements[0], nil
}

// tokenize returns all tokens of a text, including comments and white space.
func tokenize(text string) ([]lexer.Token, error) {
	l, err := lexerDefinition.LexString("", text)
	if err != nil {
		return nil, err
	}
	return lexer.ConsumeAll(l)
}

var (
	symbolTypes = lexerDefinition.Symbols()
	elided      = []lexer.TokenType{symbolTypes["Comment"], symbolTypes["Space"]}
	symbolType  = symbolTypes["Symbol"]
	badType     = symbolTypes["Bad"]
)

// splitStatements returns the tokens of each statement without comments and white
// space, terminated by an EOF token. Empty statements are skipped.
func splitStatements(tokens []lexer.Token) [][]lexer.Token {
	var statements [][]lexer.Token
	var current []lexer.Token
	for _, t := range tokens {
		if t.Type == elided[0] || t.Type == elided[1] {
			continue
		}
		if !t.EOF() && !(t.Type == symbolType && t.Value == ";") {
			current = append(current, t)
			continue
		}
		if len(current) > 0 {
			statements = append(statements, append(current, lexer.EOFToken(t.Pos)))
		}
		current = nil
	}
	return statements
}

// tokenList is a lexer.Lexer that returns the tokens of a slice.
type tokenList struct {
	rest []lexer.Token
}

// Next returns the next token. At the end it returns the last token repeatedly.
func (l *tokenList) Next() (lexer.Token, error) {
	t := l.rest[0]
	if len(l.rest) > 1 {
		l.rest = l.rest[1:]
	}
	return t, nil
}

// parseOne parses the tokens of one statement.
func parseOne(tokens []lexer.Token) (Statement, Errors) {
	for _, t := range tokens {
		if t.Type == badType {
			return Statement{}, Errors{{position(t.Pos), describeBadToken(t.Value)}}
		}
	}
	peeking, err := lexer.Upgrade(&tokenList{rest: tokens})
	if err != nil {
		return Statement{}, Errors{positionedError(err)}
	}
	node, err := parser.ParseFromLexer(peeking)
	if err != nil {
		return Statement{}, Errors{unexpectedTokenError(err, tokens)}
	}
	c := &converter{}
	s := c.statement(node)
	s.Position = position(tokens[0].Pos)
	return s, c.errs
}

// describeBadToken returns the error message for a Bad token.
func describeBadToken(value string) string {
	switch value {
	case "'":
		return "unterminated text in single quotes"
	case `"`:
		return "unterminated name in double quotes"
	default:
		return fmt.Sprintf("unexpected character %q", value)
	}
}

func position(p lexer.Position) Position {
	return Position{Line: p.Line, Column: p.Column}
}

// positionedError converts an error of participle to an Error. An error without a
// position is reported at the start of the text.
func positionedError(err error) Error {
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return Error{position(positioned.Position()), positioned.Message()}
	}
	return Error{Position{1, 1}, err.Error()}
}

// unexpectedTokenError converts a parser error to an Error that describes the
// unexpected token and what the grammar expects there.
func unexpectedTokenError(err error, tokens []lexer.Token) Error {
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return positionedError(err)
	}
	want := "the end of the statement"
	if unexpected.Position() == tokens[0].Pos {
		want = wantStatement
	}
	if _, expected, ok := strings.Cut(unexpected.Message(), "(expected "); ok {
		want = describeExpected(strings.TrimSuffix(expected, ")"))
	}
	return Error{position(unexpected.Position()), describeToken(unexpected.Unexpected) + ", want " + want}
}

// describeToken describes an unexpected token. A text may be a secret, so it is not
// included.
func describeToken(t lexer.Token) string {
	switch {
	case t.EOF():
		return "unexpected end of the statement"
	case t.Type == symbolTypes["String"]:
		return "unexpected text in single quotes"
	default:
		return fmt.Sprintf("unexpected %q", t.Value)
	}
}

// describeExpected describes the first element of a part of the grammar.
func describeExpected(expected string) string {
	if group, _, ok := strings.Cut(expected, ") "); ok && strings.HasPrefix(expected, "(") {
		return productionDescriptions.Replace(group + ")")
	}
	for _, separator := range []string{` ("`, " (("} {
		expected, _, _ = strings.Cut(expected, separator)
	}
	return productionDescriptions.Replace(expected)
}

const wantStatement = "SHOW, DECLARE, DRAIN, UNDRAIN, STOP SERVICE, START SERVICE or DROP"

// productionDescriptions replaces the names of grammar productions, which participle
// puts in its error messages, by a description of how each production starts.
var productionDescriptions = strings.NewReplacer(
	"ShowNode", "HOLDERS, REPLICAS, TIME, SERVICES, CALLERS, POLICIES, VMS, PROMOTIONS or CONFIG",
	"OfNode", "SERVICE, DATABASE, TARGET, CALLER or VM and a name",
	"ConditionNode", "a condition such as state = 'idle'",
	"LiteralNode", "a text, a number or a duration",
	"DeclareNode", "SERVICE, READ POLICY, CALLER, OPERATOR or REGION",
	"ServiceNode", "a service name",
	"DatabaseNode", "DATABASE name (TARGET ...)",
	"TargetNode", "TARGET name AT ip:port IN failure-domain SLOTS n CONNECTIONS n",
	"AddressNode", "an IP address and a port, for example 127.0.0.1:6001",
	"NumberNode", "a number",
	"DurationNode", "a duration, for example 500ms or 2s",
	"PolicyOptionNode", "MAX AGE, DEFAULT AGE or PRIMARY ONLY",
	"PolicyNode", "a policy name",
	"CallerOptionNode", "PASSWORD, VERIFIER, SERVICES, POLICY, CLASS, WEIGHT or READ ONLY",
	"CallerNode", "a caller name",
	"OperatorOptionNode", "ROLE, SECRET or SECRET HASH",
	"OperatorNode", "an operator name",
	"RegionNode", "a region name",
	"DrainedNode", "TARGET, VM or SERVICE and a name",
	"DroppedNode", "SERVICE, CALLER, READ POLICY, OPERATOR or REGION and a name",
	"<ident> | <quoted>", "a name",
	"(<ident> | <quoted>)", "a name",
	"<ident>", "a name",
	"<string>", "a text in single quotes",
	"<number>", "a number",
)
