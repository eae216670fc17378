package request

import "strings"

// classifySet classifies SET. A SET that applies to the current transaction only is
// sent to the target. One that would change the session state of a pooled connection
// is a Set, which the gateway answers or refuses.
func classifySet(tokens []token) Statement {
	rest := tokens[1:]
	local := false
	switch wordAt(rest, 0) {
	case "transaction", "constraints":
		return Statement{Kind: Other}
	case "local":
		local = true
		rest = rest[1:]
	case "session":
		rest = rest[1:]
	}
	switch wordAt(rest, 0) {
	case "authorization", "characteristics":
		return unsupported("SET SESSION " + strings.ToUpper(wordAt(rest, 0)))
	case "role":
		return classifyLocal(Statement{Kind: Set, Name: "role", Local: local})
	case "time":
		return classifyLocal(Statement{Kind: Set, Name: "timezone", Value: valueText(rest[min(2, len(rest)):]), Local: local})
	}
	name, rest := splitName(rest)
	if operator := wordAt(rest, 0); operator != "=" && operator != "to" || name == "" {
		return Statement{Kind: Other} // not a valid SET: the target returns the error
	}
	rest = rest[1:]
	if wordAt(rest, 0) == "default" && len(rest) == 1 {
		return classifyLocal(Statement{Kind: Reset, Name: name, Local: local})
	}
	return classifyLocal(Statement{Kind: Set, Name: name, Value: valueText(rest), Local: local})
}

// classifyLocal turns a SET LOCAL into Other, so that it is sent to the target. It is
// Unsupported for laburnumrack's own parameters and for parameters that would make
// the classification of later statements wrong. Statements without LOCAL are returned
// unchanged.
func classifyLocal(s Statement) Statement {
	if !s.Local {
		return s
	}
	if IsParameter(s.Name) || s.Name == "standard_conforming_strings" || s.Name == "default_transaction_read_only" {
		return unsupported("SET LOCAL " + s.Name)
	}
	return Statement{Kind: Other}
}

func classifyReset(tokens []token) Statement {
	if wordAt(tokens, 1) == "all" {
		return Statement{Kind: Reset}
	}
	if wordAt(tokens, 1) == "session" {
		return unsupported("RESET SESSION AUTHORIZATION")
	}
	return Statement{Kind: Reset, Name: parameterName(tokens[1:])}
}

// parameterName returns the parameter name that tokens form, in lower case, or "" if
// they form none.
func parameterName(tokens []token) string {
	if wordAt(tokens, 0) == "time" && wordAt(tokens, 1) == "zone" {
		return "timezone"
	}
	if wordAt(tokens, 0) == "transaction" && wordAt(tokens, 1) == "isolation" {
		return "transaction_isolation"
	}
	name, _ := splitName(tokens)
	return name
}

// splitName splits tokens into a leading parameter name of one or more dotted parts,
// in lower case, and the rest.
func splitName(tokens []token) (string, []token) {
	var parts []string
	for len(tokens) > 0 && (tokens[0].kind == tokenWord || tokens[0].kind == tokenQuoted) {
		parts = append(parts, strings.ToLower(tokens[0].text))
		tokens = tokens[1:]
		if wordAt(tokens, 0) != "." {
			break
		}
		tokens = tokens[1:]
	}
	return strings.Join(parts, "."), tokens
}

// valueText returns the value of a SET as text: the texts of its tokens joined, with
// literals unquoted.
func valueText(tokens []token) string {
	var text strings.Builder
	for _, t := range tokens {
		text.WriteString(t.text)
	}
	return text.String()
}
