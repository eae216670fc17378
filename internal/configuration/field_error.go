package configuration

import (
	"fmt"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// FieldError describes an invalid value of one field of an object.
type FieldError struct {
	Object store.Key `json:"object"`
	// Field is the path of the field, for example databases[0].targets[1].slots.
	Field string `json:"field"`
	// Value is the invalid value, or "(hidden)" for a secret.
	Value string `json:"value"`
	// Want describes the accepted values.
	Want string `json:"want"`
}

// Error returns a message with the object, the field, its value and the accepted
// values.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s is %q, want %s", e.Object, e.Field, e.Value, e.Want)
}

// FieldErrors holds all field errors of one or more objects.
type FieldErrors []FieldError

// Error returns the messages of all errors, one per line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if f is empty.
func (f FieldErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// collector collects the field errors of one object.
type collector struct {
	object store.Key
	errs   FieldErrors
}

func (c *collector) add(field string, value any, want string) {
	c.errs = append(c.errs, FieldError{Object: c.object, Field: field, Value: fmt.Sprint(value), Want: want})
}

func (c *collector) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		c.add(field, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

func (c *collector) checkName(field, value string) {
	if !ValidName(value) {
		c.add(field, value, wantName)
	}
}
