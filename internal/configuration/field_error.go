package configuration

import (
	"fmt"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// FieldError is one fault of one field of an object.
type FieldError struct {
	Object store.Key `json:"object"`
	// Field is the path of the field, for example databases[0].targets[1].slots.
	Field string `json:"field"`
	// Value is what the field holds.
	Value string `json:"value"`
	// Want says what would be accepted.
	Want string `json:"want"`
}

// Error names the object, the field, its value and what would be accepted.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s is %q, want %s", e.Object, e.Field, e.Value, e.Want)
}

// FieldErrors are all faults found in one or more objects.
type FieldErrors []FieldError

// Error joins the faults, one a line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there is no fault.
func (f FieldErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// collector gathers the faults of one object.
type collector struct {
	object store.Key
	faults FieldErrors
}

func (c *collector) add(field string, value any, want string) {
	c.faults = append(c.faults, FieldError{Object: c.object, Field: field, Value: fmt.Sprint(value), Want: want})
}

func (c *collector) between(field string, value, low, high int) {
	if value < low || value > high {
		c.add(field, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

func (c *collector) name(field, value string) {
	if !ValidName(value) {
		c.add(field, value, wantName)
	}
}
