package target

import (
	"cmp"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
)

// Type is the PostgreSQL object ID (OID) of a data type.
type Type uint32

// Supported data types. Values of other types are stored as text.
const (
	TypeBool  Type = 16
	TypeInt   Type = 20
	TypeInt4  Type = 23
	TypeText  Type = 25
	TypeFloat Type = 701
	TypeVoid  Type = 2278
)

// Format codes of the wire protocol.
const (
	formatText   = 0
	formatBinary = 1
)

// typeByName returns the type for a type name in a column definition or cast. Unknown
// names yield TypeText.
func typeByName(name string) Type {
	switch strings.ToLower(name) {
	case "int", "integer", "int4", "int8", "bigint", "smallint", "serial", "bigserial":
		return TypeInt
	case "bool", "boolean":
		return TypeBool
	case "float", "float8", "double", "real", "numeric":
		return TypeFloat
	default:
		return TypeText
	}
}

// Value is a value in the PostgreSQL text format.
type Value struct {
	Text string `cbor:"1,keyasint,omitempty"`
	Null bool   `cbor:"2,keyasint,omitempty"`
}

// Row is a row of a table or result. In a table the first value is the primary key.
type Row []Value

var null = Value{Null: true}

func textValue(s string) Value {
	return Value{Text: s}
}

func intValue(n int64) Value {
	return Value{Text: strconv.FormatInt(n, 10)}
}

// coerce converts v to the canonical text format of type t. It returns an error if v is
// not a valid value of t.
func coerce(v Value, t Type) (Value, error) {
	if v.Null {
		return v, nil
	}
	switch t {
	case TypeInt, TypeInt4:
		n, err := strconv.ParseInt(strings.TrimSpace(v.Text), 10, 64)
		if err != nil {
			return v, sqlErrorf(codeInvalidText, "invalid input syntax for type bigint: %q", v.Text)
		}
		return intValue(n), nil
	case TypeFloat:
		f, err := strconv.ParseFloat(strings.TrimSpace(v.Text), 64)
		if err != nil {
			return v, sqlErrorf(codeInvalidText, "invalid input syntax for type double precision: %q", v.Text)
		}
		return textValue(strconv.FormatFloat(f, 'g', -1, 64)), nil
	case TypeBool:
		return coerceBool(v)
	default:
		return v, nil
	}
}

func coerceBool(v Value) (Value, error) {
	switch strings.ToLower(v.Text) {
	case "t", "true", "on", "yes", "1":
		return textValue("t"), nil
	case "f", "false", "off", "no", "0":
		return textValue("f"), nil
	default:
		return v, sqlErrorf(codeInvalidText, "invalid input syntax for type boolean: %q", v.Text)
	}
}

// compareValues compares a and b as values of type t. Nulls sort last.
func compareValues(a, b Value, t Type) int {
	switch {
	case a.Null && b.Null:
		return 0
	case a.Null:
		return 1
	case b.Null:
		return -1
	}
	if t == TypeInt || t == TypeInt4 || t == TypeFloat {
		x, errX := strconv.ParseFloat(a.Text, 64)
		y, errY := strconv.ParseFloat(b.Text, 64)
		if errX == nil && errY == nil {
			return cmp.Compare(x, y)
		}
	}
	return strings.Compare(a.Text, b.Text)
}

// decodeParameter decodes a bound parameter of type t in the given format.
func decodeParameter(data []byte, t Type, format int16) (Value, error) {
	if data == nil {
		return null, nil
	}
	if format == formatText || t == TypeText {
		return coerce(textValue(string(data)), t)
	}
	switch {
	case t == TypeBool && len(data) == 1:
		return coerceBool(textValue(strconv.Itoa(int(data[0]))))
	case t == TypeFloat && len(data) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(data))
		return textValue(strconv.FormatFloat(f, 'g', -1, 64)), nil
	case len(data) == 8:
		return intValue(int64(binary.BigEndian.Uint64(data))), nil
	case len(data) == 4:
		return intValue(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case len(data) == 2:
		return intValue(int64(int16(binary.BigEndian.Uint16(data)))), nil
	default:
		return null, sqlErrorf(codeInvalidText, "binary parameter of type %d has %d bytes", t, len(data))
	}
}

// encodeResult encodes v as type t in the given format. It returns nil for a null value.
func encodeResult(v Value, t Type, format int16) []byte {
	if v.Null {
		return nil
	}
	if format == formatText {
		return []byte(v.Text)
	}
	switch t {
	case TypeInt:
		n, _ := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case TypeInt4:
		n, _ := strconv.ParseInt(v.Text, 10, 32)
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case TypeFloat:
		f, _ := strconv.ParseFloat(v.Text, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	case TypeBool:
		if v.Text == "t" {
			return []byte{1}
		}
		return []byte{0}
	default:
		return []byte(v.Text)
	}
}

// typeSize returns the size of a type in bytes, or -1 if it is variable.
func typeSize(t Type) int16 {
	switch t {
	case TypeInt, TypeFloat:
		return 8
	case TypeInt4, TypeVoid:
		return 4
	case TypeBool:
		return 1
	default:
		return -1
	}
}
