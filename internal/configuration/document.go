package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Document is one declared object: a Service, Caller, ReadPolicy, Operator,
// Region or Drain.
type Document interface {
	// Key returns the key of the object in the store.
	Key() store.Key
	// Validate returns all field errors of the object, without regard to other objects.
	Validate() FieldErrors
	// Command returns the id of the command that wrote the object.
	Command() string
	// WithCommand returns a copy of the object with the command id set.
	WithCommand(id string) Document
}

// Kinds returns the kinds of store objects that belong to the configuration.
func Kinds() []store.Kind {
	return []store.Kind{
		store.KindService, store.KindCaller, store.KindReadPolicy,
		store.KindOperator, store.KindRegion, store.KindDrain,
	}
}

// Key returns the key of the service in the store.
func (s Service) Key() store.Key { return store.Key{Kind: store.KindService, Name: s.Name} }

// Key returns the key of the caller in the store.
func (c Caller) Key() store.Key { return store.Key{Kind: store.KindCaller, Name: c.Name} }

// Key returns the key of the read policy in the store.
func (p ReadPolicy) Key() store.Key { return store.Key{Kind: store.KindReadPolicy, Name: p.Name} }

// Key returns the key of the operator in the store.
func (o Operator) Key() store.Key { return store.Key{Kind: store.KindOperator, Name: o.Name} }

// Key returns the key of the region in the store.
func (r Region) Key() store.Key { return store.Key{Kind: store.KindRegion, Name: r.Name} }

// Key returns the key of the drain in the store, with the name Kind:Name.
func (d Drain) Key() store.Key {
	return store.Key{Kind: store.KindDrain, Name: string(d.Kind) + ":" + d.Name}
}

// Command returns the id of the command that wrote the service.
func (s Service) Command() string { return s.CommandID }

// Command returns the id of the command that wrote the caller.
func (c Caller) Command() string { return c.CommandID }

// Command returns the id of the command that wrote the read policy.
func (p ReadPolicy) Command() string { return p.CommandID }

// Command returns the id of the command that wrote the operator.
func (o Operator) Command() string { return o.CommandID }

// Command returns the id of the command that wrote the region.
func (r Region) Command() string { return r.CommandID }

// Command returns the id of the command that wrote the drain.
func (d Drain) Command() string { return d.CommandID }

// WithCommand returns a copy of the service with the command id set.
func (s Service) WithCommand(id string) Document { s.CommandID = id; return s }

// WithCommand returns a copy of the caller with the command id set.
func (c Caller) WithCommand(id string) Document { c.CommandID = id; return c }

// WithCommand returns a copy of the read policy with the command id set.
func (p ReadPolicy) WithCommand(id string) Document { p.CommandID = id; return p }

// WithCommand returns a copy of the operator with the command id set.
func (o Operator) WithCommand(id string) Document { o.CommandID = id; return o }

// WithCommand returns a copy of the region with the command id set.
func (r Region) WithCommand(id string) Document { r.CommandID = id; return r }

// WithCommand returns a copy of the drain with the command id set.
func (d Drain) WithCommand(id string) Document { d.CommandID = id; return d }

// Encode returns the JSON encoding of a document. It fails with FieldErrors if the
// value is larger than store.MaxValueBytes.
func Encode(d Document) ([]byte, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", d.Key(), err)
	}
	if fieldErr, ok := checkSize(d.Key(), value); ok {
		return nil, FieldErrors{fieldErr}
	}
	return value, nil
}

// Decode decodes and validates a stored object. Unknown fields are ignored, so that a
// newer daemon may add fields. The error is a FieldErrors if the object is too large
// or is decoded but not valid.
func Decode(o store.Object) (Document, error) {
	if fieldErr, ok := checkSize(o.Key, o.Value); ok {
		return nil, FieldErrors{fieldErr}
	}
	d, err := decodeKind(o)
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", o.Key, err)
	}
	errs := d.Validate()
	if d.Key() != o.Key {
		errs = append(errs, FieldError{Object: o.Key, Field: "name", Value: d.Key().String(), Want: "the name of the stored object"})
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func decodeKind(o store.Object) (Document, error) {
	switch o.Kind {
	case store.KindService:
		return decodeAs[Service](o.Value)
	case store.KindCaller:
		return decodeAs[Caller](o.Value)
	case store.KindReadPolicy:
		return decodeAs[ReadPolicy](o.Value)
	case store.KindOperator:
		return decodeAs[Operator](o.Value)
	case store.KindRegion:
		return decodeAs[Region](o.Value)
	case store.KindDrain:
		return decodeAs[Drain](o.Value)
	default:
		return nil, fmt.Errorf("kind %q is not part of the configuration", o.Kind)
	}
}

func decodeAs[T Document](value []byte) (Document, error) {
	var d T
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	return d, nil
}

// checkSize returns a field error and true if the value is larger than
// store.MaxValueBytes.
func checkSize(k store.Key, value []byte) (FieldError, bool) {
	if len(value) <= store.MaxValueBytes {
		return FieldError{}, false
	}
	return FieldError{Object: k, Field: "value", Value: fmt.Sprintf("%d bytes", len(value)),
		Want: fmt.Sprintf("at most %d bytes", store.MaxValueBytes)}, true
}
