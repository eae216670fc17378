// Package wirecompat checks that the messages of a release stay readable for the next ones. It
// is used by tests only.
//
// A golden file holds a message of a release with all fields set. A later release must read
// it without loss: what it writes after it has read the message has every field of the golden
// one, with the same value. Fields that it adds have zero values then.
package wirecompat

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Codec encodes messages as the text of golden files.
type Codec struct {
	// Extension is that of the golden files, with its dot.
	Extension string
	Marshal   func(message any) ([]byte, error)
	// Unmarshal decodes text into a pointer to a message, or into a *any.
	Unmarshal func(text []byte, message any) error
}

// Check reads the golden files testdata/RELEASE/NAME of all releases and reports what the
// present types lose of them. messages has a constructor for each NAME. If release is not
// empty, the golden files of that release are written first from the present types.
func Check(t *testing.T, c Codec, messages map[string]func() any, release string) {
	t.Helper()
	if release != "" {
		c.write(t, filepath.Join("testdata", release), messages)
	}
	files, err := filepath.Glob("testdata/*/*" + c.Extension)
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			golden, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			construct, ok := messages[strings.TrimSuffix(filepath.Base(file), c.Extension)]
			if !ok {
				t.Fatal("the message is gone")
			}
			message := construct()
			if err := c.Unmarshal(golden, message); err != nil {
				t.Fatal(err)
			}
			for _, m := range Missing(c.generic(t, golden), c.Generic(t, message)) {
				t.Error(m)
			}
		})
	}
}

// write writes the golden files of a release.
func (c Codec) write(t *testing.T, dir string, messages map[string]func() any) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, construct := range messages {
		message := construct()
		Fill(message)
		text, err := c.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name+c.Extension), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// Generic returns a message as a decoder sees it that does not know its type.
func (c Codec) Generic(t *testing.T, message any) any {
	t.Helper()
	text, err := c.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return c.generic(t, text)
}

func (c Codec) generic(t *testing.T, text []byte) any {
	t.Helper()
	var v any
	if err := c.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// Fill sets every field of the value that p points to, also in nested values, to a value other
// than zero. The values are the same in each run.
func Fill(p any) {
	n := 0
	fill(reflect.ValueOf(p).Elem(), &n)
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		panic(fmt.Sprintf("can't fill a value of type %s", v.Type()))
	}
}

// Missing returns what the decoded message next lacks of the decoded message golden, as paths
// of field names. Both are made of maps, slices and values, as generic decoders return them.
func Missing(golden, next any) []string {
	return missing("", golden, next)
}

func missing(path string, golden, next any) []string {
	switch g := golden.(type) {
	case map[string]any:
		n, ok := next.(map[string]any)
		if !ok {
			return []string{fmt.Sprintf("%s is %T, was a map", path, next)}
		}
		return missingKeys(path, g, n)
	case map[any]any:
		n, ok := next.(map[any]any)
		if !ok {
			return []string{fmt.Sprintf("%s is %T, was a map", path, next)}
		}
		return missingKeys(path, g, n)
	case []any:
		n, ok := next.([]any)
		if !ok || len(n) != len(g) {
			return []string{fmt.Sprintf("%s is %v, was %v", path, next, golden)}
		}
		var out []string
		for i := range g {
			out = append(out, missing(fmt.Sprintf("%s/%d", path, i), g[i], n[i])...)
		}
		return out
	default:
		if !reflect.DeepEqual(golden, next) {
			return []string{fmt.Sprintf("%s is %v, was %v", path, next, golden)}
		}
		return nil
	}
}

func missingKeys[K comparable](path string, golden, next map[K]any) []string {
	var out []string
	for key, value := range golden {
		child := fmt.Sprintf("%s/%v", path, key)
		if _, ok := next[key]; !ok {
			out = append(out, child+" is gone")
			continue
		}
		out = append(out, missing(child, value, next[key])...)
	}
	return out
}
