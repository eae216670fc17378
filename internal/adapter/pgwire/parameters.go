package pgwire

import (
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/request"
	"github.com/laburnumrack/laburnumrack/internal/session"
)

const (
	parameterSession  = request.ParameterSession
	parameterReadOnly = "default_transaction_read_only"
	serverVersion     = "16.0" // reported to callers as server_version
	// maxValueBytes is the maximum size of a parameter value or BEGIN statement that a
	// connection stores. Session tokens may be larger.
	maxValueBytes = 1 << 10
)

// serverParameter is a PostgreSQL parameter that is answered locally. Pooled target
// connections are shared and all have its default value.
type serverParameter struct {
	displayName  string
	defaultValue string
	// acceptedValues lists the values, in lower case, that SET accepts; nil means any
	// value. All but those of default_transaction_read_only are treated as the default.
	acceptedValues []string
	reported       bool
}

var serverParameters = map[string]serverParameter{
	"application_name":                    {displayName: "application_name", reported: true},
	"bytea_output":                        {displayName: "bytea_output", defaultValue: "hex", acceptedValues: []string{"hex"}},
	"client_encoding":                     {displayName: "client_encoding", defaultValue: "UTF8", acceptedValues: []string{"utf8", "utf-8", "unicode"}, reported: true},
	"client_min_messages":                 {displayName: "client_min_messages", defaultValue: "notice", acceptedValues: []string{"notice", "warning", "error"}},
	"datestyle":                           {displayName: "DateStyle", defaultValue: "ISO, MDY", acceptedValues: []string{"iso,mdy", "iso, mdy", "iso"}, reported: true},
	"default_transaction_isolation":       {displayName: "default_transaction_isolation", defaultValue: "read committed", acceptedValues: []string{"read committed"}},
	parameterReadOnly:                     {displayName: parameterReadOnly, defaultValue: "off", acceptedValues: []string{"on", "off", "true", "false", "1", "0", "yes", "no"}, reported: true},
	"extra_float_digits":                  {displayName: "extra_float_digits", defaultValue: "1", acceptedValues: []string{"1", "2", "3"}},
	"idle_in_transaction_session_timeout": {displayName: "idle_in_transaction_session_timeout", defaultValue: "0", acceptedValues: []string{"0"}},
	"intervalstyle":                       {displayName: "IntervalStyle", defaultValue: "postgres", acceptedValues: []string{"postgres"}, reported: true},
	"lock_timeout":                        {displayName: "lock_timeout", defaultValue: "0", acceptedValues: []string{"0"}},
	"search_path":                         {displayName: "search_path", defaultValue: `"$user", public`, acceptedValues: []string{"public", "$user,public", `"$user",public`, `"$user", public`}},
	"standard_conforming_strings":         {displayName: "standard_conforming_strings", defaultValue: "on", acceptedValues: []string{"on", "true", "1", "yes"}, reported: true},
	"statement_timeout":                   {displayName: "statement_timeout", defaultValue: "0", acceptedValues: []string{"0"}},
	"timezone":                            {displayName: "TimeZone", defaultValue: "UTC", acceptedValues: []string{"utc", "etc/utc", "gmt", "zulu"}, reported: true},
}

// parameters holds the session parameters of a connection.
type parameters struct {
	maxAge    time.Duration
	requestID string
	deadline  time.Duration
	readOnly  bool
	// values holds the server parameters that differ from their default.
	values map[string]string
}

func newParameters() parameters {
	return parameters{}
}

// value returns the value of a server parameter. The result is false if the parameter
// isn't answered locally.
func (p *parameters) value(name string) (string, bool) {
	s, ok := serverParameters[name]
	if !ok {
		return "", false
	}
	if v, set := p.values[name]; set {
		return v, true
	}
	return s.defaultValue, true
}

// statusMessages returns the ParameterStatus messages that are sent after login, sorted
// by name.
func (p *parameters) statusMessages() []pgproto3.ParameterStatus {
	out := []pgproto3.ParameterStatus{
		{Name: "integer_datetimes", Value: "on"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "server_version", Value: serverVersion},
	}
	for name, s := range serverParameters {
		if s.reported {
			v, _ := p.value(name)
			out = append(out, pgproto3.ParameterStatus{Name: s.displayName, Value: v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// set sets a server parameter. It refuses parameters that aren't answered locally and
// values that aren't accepted.
func (p *parameters) set(name, value string) outcome.Outcome {
	s, ok := serverParameters[name]
	if !ok {
		return outcome.Refuse(outcome.Unsupported, 0, "SET %s is not supported, because pooled connections do not keep it; use SET LOCAL in a transaction", clip(name))
	}
	if s.acceptedValues != nil && !accepts(s.acceptedValues, value) {
		return outcome.Refuse(outcome.Unsupported, 0, "SET %s to %q is not supported, accepted values: %s", s.displayName, clip(value), strings.Join(s.acceptedValues, " | "))
	}
	if name == parameterReadOnly {
		p.readOnly = accepts([]string{"on", "true", "1", "yes"}, value)
		value = onOff(p.readOnly)
	} else if s.acceptedValues != nil {
		value = s.defaultValue // all accepted values are treated as the default
	}
	p.store(name, value)
	return outcome.Outcome{}
}

func (p *parameters) store(name, value string) {
	if value == serverParameters[name].defaultValue {
		delete(p.values, name)
		return
	}
	if p.values == nil {
		p.values = make(map[string]string, 1)
	}
	p.values[strings.Clone(name)] = value
}

// reset sets one parameter, or all if name is empty, to its default. The positions that
// the session has seen are kept.
func (p *parameters) reset(name string) outcome.Outcome {
	switch name {
	case "":
		*p = newParameters()
	case request.ParameterMaxAge:
		p.maxAge = 0
	case request.ParameterRequestID:
		p.requestID = ""
	case request.ParameterDeadline:
		p.deadline = 0
	case parameterSession:
	case parameterReadOnly:
		p.readOnly = false
		delete(p.values, name)
	default:
		if _, ok := serverParameters[name]; !ok {
			return outcome.Refuse(outcome.Unsupported, 0, "RESET %s is not supported", clip(name))
		}
		delete(p.values, name)
	}
	return outcome.Outcome{}
}

// accepts reports whether values contains value, without regard to case and surrounding
// whitespace.
func accepts(values []string, value string) bool {
	for _, v := range values {
		if strings.EqualFold(v, strings.TrimSpace(value)) {
			return true
		}
	}
	return false
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// applyStartup sets the parameters of the startup message. An invalid value ends the
// connection, because the session would run without a parameter that the caller relies
// on.
func (c *conn) applyStartup(given map[string]string) error {
	all := make(map[string]string, len(given))
	for name, value := range given {
		all[strings.ToLower(name)] = value
	}
	if o := parseOptions(all["options"], all); !o.OK() {
		return fatalOutcome(o)
	}
	for name, value := range all {
		if isStartupOnly(name) {
			continue
		}
		if o := c.setParameter(name, value); !o.OK() {
			return fatalOutcome(o)
		}
	}
	return nil
}

func isStartupOnly(name string) bool {
	switch name {
	case "user", "database", "options", "replication":
		return true
	default:
		return strings.HasPrefix(name, "_pq_.")
	}
}

// parseOptions parses the startup parameter options and adds the parameters to into. It
// accepts arguments of the forms -c name=value, -cname=value and --name=value.
func parseOptions(options string, into map[string]string) outcome.Outcome {
	words := strings.Fields(options)
	for len(words) > 0 {
		word := words[0]
		words = words[1:]
		switch {
		case word == "-c" && len(words) > 0:
			word = words[0]
			words = words[1:]
		case strings.HasPrefix(word, "-c"), strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			return outcome.Refuse(outcome.ParameterInvalid, 0, "invalid startup option %q, accepted form: -c name=value", clip(word))
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return outcome.Refuse(outcome.ParameterInvalid, 0, "invalid startup option %q, accepted form: -c name=value", clip(word))
		}
		into[strings.ToLower(strings.ReplaceAll(name, "-", "_"))] = value
	}
	return outcome.Outcome{}
}

// setParameter sets a session parameter: one of the proxy or a server parameter.
func (c *conn) setParameter(name, value string) outcome.Outcome {
	if len(value) > maxValueBytes && name != parameterSession {
		return outcome.Refuse(outcome.ParameterInvalid, 0, "value of parameter %s has %d bytes, the limit is %d", clip(name), len(value), maxValueBytes)
	}
	if !request.IsParameter(name) {
		return c.parameters.set(name, value)
	}
	switch name {
	case parameterSession:
		return c.presentToken(value)
	case request.ParameterMaxAge:
		return c.setMaxAge(value)
	case request.ParameterRequestID:
		return c.setRequestID(value)
	case request.ParameterDeadline:
		d, err := request.ParseDeadline(value)
		if err != nil {
			return outcome.Refuse(outcome.ParameterInvalid, 0, "%v", err)
		}
		c.parameters.deadline = d
		return outcome.Outcome{}
	default:
		return outcome.Refuse(outcome.ParameterInvalid, 0, "%v", request.UnknownParameter(name))
	}
}

// presentToken merges an encoded session token into the session. An empty text is
// ignored.
func (c *conn) presentToken(text string) outcome.Outcome {
	if text == "" {
		return outcome.Outcome{}
	}
	token, err := c.server.config.Keyring.Decode(text)
	if err != nil {
		return outcome.Refuse(outcome.TokenInvalid, 0, "%v", err)
	}
	if err := c.session.Present(token); err != nil {
		if errors.Is(err, session.ErrTooManyDatabases) {
			return outcome.Refuse(outcome.TokenInvalid, 0, "%v, the limit is %d", err, session.MaxDatabases)
		}
		return outcome.Refuse(outcome.TokenInvalid, 0, "%v", err)
	}
	return outcome.Outcome{}
}

func (c *conn) setMaxAge(value string) outcome.Outcome {
	d, err := request.ParseMaxAge(value)
	if err != nil {
		return outcome.Refuse(outcome.ParameterInvalid, 0, "%v", err)
	}
	if limit := c.maxAgeLimit(); limit > 0 && d > limit {
		return outcome.Refuse(outcome.PolicyDenied, 0, "%s is %v, the read policy of caller %q allows up to %v", request.ParameterMaxAge, d, clip(c.caller), limit)
	}
	c.parameters.maxAge = d
	return outcome.Outcome{}
}

// maxAgeLimit returns the maximum staleness that the caller's read policy allows; zero
// means no limit.
func (c *conn) maxAgeLimit() time.Duration {
	snapshot := c.server.config.Configuration.Current()
	policy := snapshot.Callers[c.caller].Value.Policy
	return snapshot.Policies[policy].Value.MaxAge
}

// maxAge returns the maximum staleness that the session accepts. It applies the limit of
// the read policy again, because that may have become stricter since the parameter was
// set.
func (c *conn) maxAge() time.Duration {
	age := c.parameters.maxAge
	if limit := c.maxAgeLimit(); limit > 0 {
		age = min(age, limit)
	}
	return age
}

func (c *conn) setRequestID(value string) outcome.Outcome {
	id, err := request.ParseRequestID(value)
	if err != nil {
		return outcome.Refuse(outcome.ParameterInvalid, 0, "%v", err)
	}
	if id != "" && c.tx.active {
		return outcome.Refuse(outcome.ParameterInvalid, 0, "%s must be set before BEGIN", request.ParameterRequestID)
	}
	c.parameters.requestID = id
	return outcome.Outcome{}
}

// parameterValue returns the value of a session parameter. The result is false if the
// parameter isn't answered locally or the session token can't be encoded.
func (c *conn) parameterValue(name string) (string, bool) {
	switch name {
	case parameterSession:
		text, err := c.server.config.Keyring.Encode(c.session.Token())
		return text, err == nil
	case request.ParameterMaxAge:
		return durationText(c.parameters.maxAge), true
	case request.ParameterRequestID:
		return c.parameters.requestID, true
	case request.ParameterDeadline:
		return durationText(c.parameters.deadline), true
	default:
		return c.parameters.value(name)
	}
}

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// clip makes a value from the caller safe to quote in a message: it replaces invalid
// UTF-8 and zero bytes, and truncates the value to 64 bytes.
func clip(value string) string {
	const maxBytes = 64
	value = strings.ToValidUTF8(value, "?")
	value = strings.ReplaceAll(value, "\x00", "?")
	if len(value) <= maxBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxBytes], "") + "..."
}
