package statement

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
)

// plainNamePattern matches the names that need no quotes.
var plainNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(-[A-Za-z0-9_]+)*$`)

// String returns the canonical text of the statement, which ends with a semicolon.
func (s Statement) String() string {
	var b strings.Builder
	b.WriteString(string(s.Verb))
	b.WriteByte(' ')
	switch s.Verb {
	case VerbShow:
		b.WriteString(s.Show.text())
	case VerbDeclare:
		b.WriteString(s.Declare.text())
	default:
		b.WriteString(s.Object.text())
	}
	if s.IfVersion != nil {
		fmt.Fprintf(&b, " IF VERSION %d", *s.IfVersion)
	}
	b.WriteByte(';')
	return b.String()
}

// printName returns a name as written in a statement, quoted if necessary.
func printName(s string) string {
	if plainNamePattern.MatchString(s) {
		return s
	}
	return quoteName(s)
}

func quoteName(s string) string {
	return `"` + strings.ReplaceAll(s, `"`, `""`) + `"`
}

func printNames(all []string) string {
	printed := make([]string, len(all))
	for i, s := range all {
		printed[i] = printName(s)
	}
	return strings.Join(printed, ", ")
}

// printServices returns a list of services with reservedWords quoted.
func printServices(all []string) string {
	printed := make([]string, len(all))
	for i, s := range all {
		printed[i] = printName(s)
		if reservedWords[strings.ToUpper(s)] {
			printed[i] = quoteName(s)
		}
	}
	return strings.Join(printed, ", ")
}

func printText(s string) string {
	return `'` + strings.ReplaceAll(s, `'`, `''`) + `'`
}

// printDuration returns a duration without trailing zero units.
func printDuration(d time.Duration) string {
	s := strings.Replace(d.String(), "µ", "u", 1)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func (o Object) text() string {
	return string(o.Kind) + " " + printName(o.Name)
}

func (s *Show) text() string {
	parts := []string{string(s.Table)}
	if s.Of != nil {
		parts = append(parts, "OF "+s.Of.text())
	}
	if len(s.By) > 0 {
		parts = append(parts, "BY "+printNames(s.By))
	}
	if s.Since > 0 {
		parts = append(parts, "SINCE "+printDuration(s.Since))
	}
	for i, c := range s.Where {
		word := "AND"
		if i == 0 {
			word = "WHERE"
		}
		parts = append(parts, fmt.Sprintf("%s %s %s %s", word, printName(c.Column), c.Comparison, c.Value.text()))
	}
	return strings.Join(parts, " ")
}

func (l Literal) text() string {
	switch l.Kind {
	case NumberLiteral:
		return strconv.FormatInt(l.Number, 10)
	case DurationLiteral:
		return printDuration(l.Duration)
	default:
		return printText(l.Text)
	}
}

func (d *Declare) text() string {
	switch doc := d.Document.(type) {
	case configuration.Service:
		return serviceText(doc)
	case configuration.ReadPolicy:
		return policyText(doc)
	case configuration.Caller:
		return callerText(doc, d.Password)
	case configuration.Operator:
		return fmt.Sprintf("OPERATOR %s (ROLE %s, SECRET HASH %s)", printName(doc.Name), printName(string(doc.Role)), printText(doc.SecretHash))
	case configuration.Region:
		return fmt.Sprintf("REGION %s (FAILURE DOMAIN %s)", printName(doc.Name), printNames(doc.FailureDomains))
	default:
		panic(fmt.Sprintf("statement: %T cannot be declared", doc))
	}
}

func serviceText(s configuration.Service) string {
	var b strings.Builder
	fmt.Fprintf(&b, "SERVICE %s (", printName(s.Name))
	for i, db := range s.Databases {
		writeSeparator(&b, i, "\n  ")
		fmt.Fprintf(&b, "DATABASE %s (", printName(db.Name))
		for j, t := range db.Targets {
			writeSeparator(&b, j, "\n    ")
			fmt.Fprintf(&b, "TARGET %s AT %s IN %s SLOTS %d CONNECTIONS %d",
				printName(t.Name), t.Address, printName(t.FailureDomain), t.Slots, t.Connections)
		}
		b.WriteByte(')')
	}
	b.WriteByte(')')
	return b.String()
}

// writeSeparator starts the i-th element of a list on a new line, after a comma if it is
// not the first.
func writeSeparator(b *strings.Builder, i int, indent string) {
	if i > 0 {
		b.WriteByte(',')
	}
	b.WriteString(indent)
}

func policyText(p configuration.ReadPolicy) string {
	var options []string
	if p.MaxAge != 0 {
		options = append(options, "MAX AGE "+printDuration(p.MaxAge))
	}
	if p.DefaultAge != 0 {
		options = append(options, "DEFAULT AGE "+printDuration(p.DefaultAge))
	}
	if p.PrimaryOnly {
		options = append(options, "PRIMARY ONLY")
	}
	return fmt.Sprintf("READ POLICY %s (%s)", printName(p.Name), strings.Join(options, ", "))
}

func callerText(k configuration.Caller, password string) string {
	var options []string
	if password != "" {
		options = append(options, "PASSWORD "+printText(password))
	} else {
		options = append(options, "VERIFIER "+printText(k.Verifier))
	}
	if len(k.Services) > 0 {
		options = append(options, "SERVICES "+printServices(k.Services))
	}
	if k.Policy != "" {
		options = append(options, "POLICY "+printName(k.Policy))
	}
	if k.Class != "" {
		options = append(options, "CLASS "+printName(k.Class))
	}
	if k.Weight != 0 {
		options = append(options, "WEIGHT "+strconv.Itoa(k.Weight))
	}
	if k.ReadOnly {
		options = append(options, "READ ONLY")
	}
	return fmt.Sprintf("CALLER %s (%s)", printName(k.Name), strings.Join(options, ", "))
}
