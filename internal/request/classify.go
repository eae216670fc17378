// Package request classifies the SQL statements of a caller's request, parses its
// session parameters, and decides whether a failed request is retried.
//
// The package is pure: it uses no sockets, goroutines or wall clock.
package request

import (
	"strings"
)

// Kind is the kind of a statement, as far as its text shows it.
type Kind uint8

// The kinds of statements.
const (
	// Empty is a statement without tokens.
	Empty Kind = iota
	// Read is a statement that certainly writes nothing.
	Read
	// Other is a statement that may write.
	Other
	// Write is a statement that certainly writes.
	Write
	// Begin, BeginReadOnly, Commit, Rollback and Savepoint control a transaction.
	// Savepoint covers RELEASE and ROLLBACK TO as well.
	Begin
	BeginReadOnly
	Commit
	Rollback
	Savepoint
	// Set, Reset and Show change or read one session parameter.
	Set
	Reset
	Show
	// Deallocate drops one prepared statement or all.
	Deallocate
	// DiscardAll resets the session state.
	DiscardAll
	// Unsupported is a statement that is refused; Statement.Feature names the reason.
	Unsupported
)

// EndsTransaction reports whether k commits or rolls back a transaction.
func (k Kind) EndsTransaction() bool {
	return k == Commit || k == Rollback
}

// ControlsTransaction reports whether k only begins, ends or marks a transaction.
func (k Kind) ControlsTransaction() bool {
	return k.EndsTransaction() || k.BeginsTransaction() || k == Savepoint
}

// BeginsTransaction reports whether k opens a transaction.
func (k Kind) BeginsTransaction() bool {
	return k == Begin || k == BeginReadOnly
}

// Statement is one classified statement.
type Statement struct {
	Kind Kind
	// Text is the statement without its semicolon and surrounding whitespace. Start
	// is the byte offset in the query string where the statement, including its
	// leading whitespace and comments, begins.
	Text  string
	Start int
	// Name is the parameter of a Set, Reset or Show, in lower case, or the prepared
	// statement of a Deallocate. It is empty for RESET ALL and DEALLOCATE ALL. Value
	// is the new value of a Set.
	Name  string
	Value string
	// Local marks a SET LOCAL, which applies to the current transaction only.
	Local bool
	// Feature names the unsupported feature that an Unsupported statement uses.
	Feature string
}

// initialTokenCapacity fits the tokens of most statements without reallocation.
const initialTokenCapacity = 48

// Classify splits a query string into statements and classifies each. It is
// conservative: a statement is a Read only if it certainly writes nothing.
func Classify(sql string) []Statement {
	s := scanner{sql: sql}
	var statements []Statement
	tokens := make([]token, 0, initialTokenCapacity)
	start := 0
	for {
		t := s.next()
		switch t.kind {
		case tokenSemicolon, tokenEnd:
			st := classifyStatement(tokens)
			st.Text = strings.TrimSpace(sql[start:t.start])
			st.Start = start
			if st.Kind != Empty || t.kind == tokenEnd && len(statements) == 0 {
				statements = append(statements, st)
			}
			if t.kind == tokenEnd {
				return statements
			}
			start = t.end
			tokens = tokens[:0]
		case tokenUnterminated:
			// The target rejects the statement. It is Other, because it is not
			// certainly a read.
			return append(statements, Statement{Kind: Other, Text: strings.TrimSpace(sql[start:]), Start: start})
		default:
			tokens = append(tokens, t)
		}
	}
}

// IsControl reports whether all statements only control a transaction.
func IsControl(statements []Statement) bool {
	for _, s := range statements {
		if !s.Kind.ControlsTransaction() {
			return false
		}
	}
	return true
}

// IsRead reports whether all statements are Read or Empty.
func IsRead(statements []Statement) bool {
	for _, s := range statements {
		if s.Kind != Read && s.Kind != Empty {
			return false
		}
	}
	return true
}

func classifyStatement(tokens []token) Statement {
	if len(tokens) == 0 {
		return Statement{Kind: Empty}
	}
	first := wordAt(tokens, 0)
	switch first {
	case "select", "with", "values", "table", "(":
		return classifyQuery(tokens)
	case "explain":
		return classifyExplain(tokens)
	case "begin", "start":
		return classifyBegin(tokens)
	case "commit", "end":
		return classifyEnd(tokens, Commit)
	case "rollback", "abort":
		return classifyRollback(tokens)
	case "savepoint", "release":
		return Statement{Kind: Savepoint}
	case "set":
		return classifySet(tokens)
	case "reset":
		return classifyReset(tokens)
	case "show":
		return Statement{Kind: Show, Name: parameterName(tokens[1:])}
	case "deallocate":
		return classifyDeallocate(tokens)
	case "discard":
		return classifyDiscard(tokens)
	default:
		return classifyOther(first, tokens)
	}
}

// classifyOther classifies a statement by its first keyword. Statements that leave
// state on a pooled connection or that the proxy does not implement are
// Unsupported.
func classifyOther(first string, tokens []token) Statement {
	kind := Other
	switch first {
	case "insert", "update", "delete", "merge", "drop", "alter", "truncate", "grant", "revoke", "refresh", "comment":
		kind = Write
	case "copy", "listen", "unlisten", "notify", "load", "checkpoint":
		return unsupported(strings.ToUpper(first))
	case "prepare":
		if wordAt(tokens, 1) == "transaction" {
			return unsupported("PREPARE TRANSACTION")
		}
		return unsupported("PREPARE in SQL; use the extended query protocol")
	case "execute":
		return unsupported("EXECUTE in SQL; use the extended query protocol")
	case "declare":
		if containsSequence(tokens, "with", "hold") {
			return unsupported("DECLARE CURSOR WITH HOLD")
		}
		return Statement{Kind: Other}
	case "create":
		if createsTemporary(tokens) {
			return unsupported("temporary objects")
		}
		kind = Write
	}
	if feature := unsupportedCall(tokens); feature != "" {
		return unsupported(feature)
	}
	return Statement{Kind: kind}
}

// createsTemporary reports whether a CREATE statement creates a temporary object,
// which belongs to the session.
func createsTemporary(tokens []token) bool {
	for i := 1; i < len(tokens) && i < 6; i++ {
		switch wordAt(tokens, i) {
		case "temp", "temporary":
			return true
		case "or", "replace", "global", "local", "recursive":
		default:
			return false
		}
	}
	return false
}

// classifyQuery classifies SELECT, WITH, VALUES and TABLE statements.
func classifyQuery(tokens []token) Statement {
	if feature := unsupportedCall(tokens); feature != "" {
		return unsupported(feature)
	}
	if selectsIntoTemporary(tokens) {
		return unsupported("temporary objects")
	}
	for i := range tokens {
		if mayWrite(tokens, i) {
			return Statement{Kind: Other}
		}
	}
	return Statement{Kind: Read}
}

// mayWrite reports whether the token at i could make a query write or lock rows.
// Keywords that are used as column names count too: a false positive only sends a
// read to the primary.
func mayWrite(tokens []token, i int) bool {
	switch wordAt(tokens, i) {
	case "insert", "update", "delete", "merge", "into", "share":
		return true
	}
	if !isCall(tokens, i) {
		return false
	}
	if tokens[i].kind == tokenQuoted {
		return true
	}
	if i > 0 && wordAt(tokens, i-1) == "." {
		return !pureBuiltins[tokens[i].text] || i < 2 || wordAt(tokens, i-2) != "pg_catalog"
	}
	return !pureBuiltins[tokens[i].text] && !callLikeKeywords[tokens[i].text]
}

// isCall reports whether the token at i is a name followed by "(".
func isCall(tokens []token, i int) bool {
	if tokens[i].kind != tokenWord && tokens[i].kind != tokenQuoted {
		return false
	}
	return wordAt(tokens, i+1) == "("
}

func selectsIntoTemporary(tokens []token) bool {
	return containsSequence(tokens, "into", "temp") || containsSequence(tokens, "into", "temporary")
}

// unsupportedCall returns the feature name of the first function call that callers
// may not use: one whose effect on the connection outlives the transaction, or a
// function of laburnumrack itself. It returns "" if there is none.
func unsupportedCall(tokens []token) string {
	for i := range tokens {
		if !isCall(tokens, i) {
			continue
		}
		name := strings.ToLower(tokens[i].text)
		switch {
		case strings.HasPrefix(name, "pg_advisory_xact_lock"), strings.HasPrefix(name, "pg_try_advisory_xact_lock"):
		case strings.HasPrefix(name, "pg_advisory_"), strings.HasPrefix(name, "pg_try_advisory_"):
			return "session-level advisory locks"
		case name == "set_config":
			return "set_config"
		case name == "pg_notify":
			return "NOTIFY"
		case strings.HasPrefix(name, "laburnumrack_"):
			return name
		}
	}
	return ""
}

// classifyExplain classifies EXPLAIN. With ANALYZE the explained statement runs, so
// it may write.
func classifyExplain(tokens []token) Statement {
	for i := range tokens {
		switch wordAt(tokens, i) {
		case "analyze", "analyse":
			return classifyOther("explain", tokens)
		}
	}
	if feature := unsupportedCall(tokens); feature != "" {
		return unsupported(feature)
	}
	return Statement{Kind: Read}
}

func classifyBegin(tokens []token) Statement {
	for i := range tokens {
		if wordAt(tokens, i) == "read" && wordAt(tokens, i+1) == "only" {
			return Statement{Kind: BeginReadOnly}
		}
	}
	return Statement{Kind: Begin}
}

func classifyEnd(tokens []token, kind Kind) Statement {
	if wordAt(tokens, 1) == "prepared" {
		return unsupported("two-phase commit")
	}
	for i := range tokens {
		if wordAt(tokens, i) == "chain" && wordAt(tokens, i-1) == "and" {
			return unsupported("AND CHAIN")
		}
	}
	return Statement{Kind: kind}
}

func classifyRollback(tokens []token) Statement {
	for i := range tokens {
		if wordAt(tokens, i) == "to" {
			return Statement{Kind: Savepoint}
		}
	}
	return classifyEnd(tokens, Rollback)
}

func classifyDeallocate(tokens []token) Statement {
	rest := tokens[1:]
	if wordAt(rest, 0) == "prepare" {
		rest = rest[1:]
	}
	if wordAt(rest, 0) == "all" || len(rest) == 0 {
		return Statement{Kind: Deallocate}
	}
	return Statement{Kind: Deallocate, Name: rest[0].text}
}

func classifyDiscard(tokens []token) Statement {
	if wordAt(tokens, 1) == "all" {
		return Statement{Kind: DiscardAll}
	}
	return unsupported("DISCARD other than DISCARD ALL")
}

// unsupported returns an Unsupported statement that uses feature.
func unsupported(feature string) Statement {
	return Statement{Kind: Unsupported, Feature: feature}
}

// wordAt returns the text of the unquoted word or symbol at i. It returns "" if i is
// out of range or the token is of another kind.
func wordAt(tokens []token, i int) string {
	if i < 0 || i >= len(tokens) {
		return ""
	}
	if k := tokens[i].kind; k != tokenWord && k != tokenSymbol {
		return ""
	}
	return tokens[i].text
}

func containsSequence(tokens []token, words ...string) bool {
	for i := range tokens {
		if hasSequenceAt(tokens, i, words) {
			return true
		}
	}
	return false
}

func hasSequenceAt(tokens []token, at int, words []string) bool {
	for j, w := range words {
		if wordAt(tokens, at+j) != w {
			return false
		}
	}
	return true
}
