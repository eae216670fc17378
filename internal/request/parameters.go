package request

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// The session parameters of laburnumrack. A caller sets them in the startup message
// or by SET.
const (
	ParameterPrefix = "laburnumrack."
	// ParameterSession is the session token.
	ParameterSession = ParameterPrefix + "session"
	// ParameterMaxAge is the maximum staleness that the next reads accept.
	ParameterMaxAge = ParameterPrefix + "max_age"
	// ParameterRequestID is the idempotency key of the next request.
	ParameterRequestID = ParameterPrefix + "request_id"
	// ParameterDeadline is the time in which the next request must be answered.
	ParameterDeadline = ParameterPrefix + "deadline"
)

// Bounds of the session parameters.
const (
	// MaxRequestIDBytes is the maximum length of a request id, in bytes.
	MaxRequestIDBytes = 128
	// MinDeadline is the shortest deadline.
	MinDeadline = time.Millisecond
	// MaxDuration is the longest max age or deadline.
	MaxDuration = 24 * time.Hour
)

// ParameterError reports an invalid value of a session parameter.
type ParameterError struct {
	Name     string
	Value    string
	Accepted string
}

// Error names the parameter, its value and the accepted values.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("parameter %s has value %q, accepted: %s", e.Name, truncate(e.Value), e.Accepted)
}

// truncate shortens a value for an error message.
func truncate(value string) string {
	const maxBytes = 64
	if len(value) <= maxBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxBytes], "") + "..."
}

// IsParameter reports whether name, in lower case, is in the namespace of
// laburnumrack's parameters.
func IsParameter(name string) bool {
	return strings.HasPrefix(name, ParameterPrefix)
}

// ParseMaxAge parses the value of laburnumrack.max_age. Zero or an empty value
// clears the parameter. The error is a *ParameterError.
func ParseMaxAge(value string) (time.Duration, error) {
	return parseDuration(ParameterMaxAge, value, 0)
}

// ParseDeadline parses the value of laburnumrack.deadline. An empty value clears the
// parameter. The error is a *ParameterError.
func ParseDeadline(value string) (time.Duration, error) {
	return parseDuration(ParameterDeadline, value, MinDeadline)
}

func parseDuration(name, value string, minimum time.Duration) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < minimum || d > MaxDuration {
		accepted := fmt.Sprintf("a duration from %v to %v, such as 800ms", minimum, MaxDuration)
		return 0, &ParameterError{Name: name, Value: value, Accepted: accepted}
	}
	return d, nil
}

// ParseRequestID parses the value of laburnumrack.request_id. An empty value clears
// the parameter. The error is a *ParameterError.
func ParseRequestID(value string) (string, error) {
	if len(value) > MaxRequestIDBytes || !isPrintable(value) {
		accepted := fmt.Sprintf("1 to %d bytes of printable UTF-8", MaxRequestIDBytes)
		return "", &ParameterError{Name: ParameterRequestID, Value: value, Accepted: accepted}
	}
	return value, nil
}

func isPrintable(value string) bool {
	if !utf8.ValidString(value) {
		return false
	}
	for _, r := range value {
		if r < ' ' || r == 0x7f {
			return false
		}
	}
	return true
}

// UnknownParameter returns the *ParameterError for a name in the namespace of
// laburnumrack that is not a parameter.
func UnknownParameter(name string) error {
	accepted := strings.Join([]string{ParameterSession, ParameterMaxAge, ParameterRequestID, ParameterDeadline}, ", ")
	return &ParameterError{Name: truncate(name), Accepted: "only " + accepted}
}
