package request

import "strings"

// tokenKind is the lexical class of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted // a quoted identifier
	tokenLiteral
	tokenSymbol
	tokenSemicolon
	tokenUnterminated // an unterminated literal, identifier or comment
)

// token is one lexical token of SQL. The text of a word is in lower case; that of a
// literal is without its quotes. start and end are byte offsets.
type token struct {
	kind  tokenKind
	text  string
	start int
	end   int
}

// scanner splits SQL into tokens. It skips comments and handles all literal forms of
// PostgreSQL, so that the text of a literal never yields a keyword.
type scanner struct {
	sql string
	pos int
}

// next returns the next token. At the end of the input it returns tokenEnd.
func (s *scanner) next() token {
	if !s.skipSpaceAndComments() {
		return token{kind: tokenUnterminated, start: s.pos, end: len(s.sql)}
	}
	if s.pos >= len(s.sql) {
		return token{kind: tokenEnd, start: s.pos, end: s.pos}
	}
	start := s.pos
	t := s.scan()
	t.start = start
	t.end = s.pos
	return t
}

func (s *scanner) scan() token {
	c := s.sql[s.pos]
	switch {
	case c == ';':
		s.pos++
		return token{kind: tokenSemicolon}
	case c == '\'':
		return s.scanQuoted('\'', false, tokenLiteral)
	case c == '"':
		return s.scanQuoted('"', false, tokenQuoted)
	case c == '$':
		return s.scanDollar()
	case isWordStart(c):
		return s.scanWord()
	case isDigit(c):
		return s.scanNumber()
	default:
		s.pos++
		return token{kind: tokenSymbol, text: string(c)}
	}
}

// skipSpaceAndComments skips whitespace and comments. It returns false if a comment is
// unterminated.
func (s *scanner) skipSpaceAndComments() bool {
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case isSpace(rest[0]):
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLine()
		case strings.HasPrefix(rest, "/*"):
			if !s.skipComment() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

func (s *scanner) skipLine() {
	end := strings.IndexAny(s.sql[s.pos:], "\r\n")
	if end < 0 {
		s.pos = len(s.sql)
		return
	}
	s.pos += end + 1
}

// skipComment skips a block comment, including nested ones. It returns false if the
// comment is unterminated.
func (s *scanner) skipComment() bool {
	depth := 0
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return true
		}
	}
	return false
}

// scanQuoted scans a literal or quoted identifier. A doubled quote yields one quote.
// With escapes, a backslash yields the byte that follows it.
func (s *scanner) scanQuoted(quote byte, escapes bool, kind tokenKind) token {
	var text strings.Builder
	for i := s.pos + 1; i < len(s.sql); i++ {
		c := s.sql[i]
		switch {
		case escapes && c == '\\' && i+1 < len(s.sql):
			i++
			text.WriteByte(s.sql[i])
		case c == quote && i+1 < len(s.sql) && s.sql[i+1] == quote:
			i++
			text.WriteByte(quote)
		case c == quote:
			s.pos = i + 1
			next := s.findContinuation()
			if kind != tokenLiteral || next < 0 {
				return token{kind: kind, text: text.String()}
			}
			i = next
		default:
			text.WriteByte(c)
		}
	}
	s.pos = len(s.sql)
	return token{kind: tokenUnterminated}
}

// findContinuation returns the offset of the quote that continues a literal, or -1 if
// there is none. PostgreSQL joins literals that are separated by whitespace with at
// least one line end, and applies the escape rules of the first to the second.
func (s *scanner) findContinuation() int {
	newline := false
	for i := s.pos; i < len(s.sql); i++ {
		c := s.sql[i]
		switch {
		case c == '\n' || c == '\r':
			newline = true
		case isSpace(c):
		case newline && strings.HasPrefix(s.sql[i:], "--"):
			end := strings.IndexAny(s.sql[i:], "\r\n")
			if end < 0 {
				return -1
			}
			i += end
		case newline && c == '\'':
			return i
		default:
			return -1
		}
	}
	return -1
}

// scanDollar scans a parameter such as $1 or a dollar-quoted literal.
func (s *scanner) scanDollar() token {
	i := s.pos + 1
	if i < len(s.sql) && isDigit(s.sql[i]) {
		s.pos = i
		s.skipWhile(isDigit)
		return token{kind: tokenLiteral}
	}
	for i < len(s.sql) && s.sql[i] != '$' && isWordContinuation(s.sql[i]) {
		i++
	}
	if i >= len(s.sql) || s.sql[i] != '$' {
		s.pos++
		return token{kind: tokenSymbol, text: "$"}
	}
	tag := s.sql[s.pos : i+1]
	body := s.sql[i+1:]
	end := strings.Index(body, tag)
	if end < 0 {
		s.pos = len(s.sql)
		return token{kind: tokenUnterminated}
	}
	s.pos = i + 1 + end + len(tag)
	return token{kind: tokenLiteral, text: body[:end]}
}

// scanWord scans a keyword, an unquoted identifier, or a literal with a letter prefix
// such as E'...'.
func (s *scanner) scanWord() token {
	start := s.pos
	s.skipWhile(isWordContinuation)
	text := strings.ToLower(s.sql[start:s.pos])
	if s.pos >= len(s.sql) || s.sql[s.pos] != '\'' {
		return token{kind: tokenWord, text: text}
	}
	switch text {
	case "e":
		return s.scanQuoted('\'', true, tokenLiteral)
	case "b", "x", "n":
		return s.scanQuoted('\'', false, tokenLiteral)
	default:
		return token{kind: tokenWord, text: text}
	}
}

// scanNumber scans a number with its exponent or suffix.
func (s *scanner) scanNumber() token {
	start := s.pos
	s.skipWhile(func(c byte) bool { return isWordContinuation(c) || c == '.' })
	return token{kind: tokenLiteral, text: s.sql[start:s.pos]}
}

func (s *scanner) skipWhile(match func(byte) bool) {
	for s.pos < len(s.sql) && match(s.sql[s.pos]) {
		s.pos++
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isWordContinuation(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}
