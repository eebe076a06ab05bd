// Package savorygolden compares encoded values with golden files. It is used by
// tests that pin the bytes of messages, stored records and settings.
package savorygolden

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"savorycart.example/savorycore/savorywire"
)

// recordEnv is the environment variable that, set to "record", makes Check,
// Texts and File write the golden files.
const recordEnv = "SAVORY_GOLDEN"

// Format is an encoding. If Decode is nil, Check does not decode the file.
type Format struct {
	// Suffix is the suffix of the file name; Tag is the key of the format's
	// struct tags.
	Suffix string
	Tag    string
	Encode func(v any) ([]byte, error)
	Decode func(body []byte, v any) error
}

// The formats that the programs use.
var (
	MessagePack = Format{Suffix: ".msgpack", Tag: "msgpack", Encode: savorywire.Encode, Decode: savorywire.Decode}
	JSON        = Format{Suffix: ".json", Tag: "json", Encode: json.Marshal, Decode: json.Unmarshal}
	TOML        = Format{Suffix: ".toml", Tag: "toml", Encode: toml.Marshal, Decode: toml.Unmarshal}
)

// Case is one pinned value.
type Case struct {
	// Name is the file name without its suffix.
	Name string
	// Value is a pointer to the value, so that Check can decode into a new value
	// of its type.
	Value any
	// Zero lists the paths of the fields that are zero, such as "Event.Fault".
	Zero []string
}

// Check compares the cases with their files in testdata/golden. It fails for a
// field that is zero but not listed in Zero, for changed bytes, and for a file
// that decodes to a value with another encoding.
func Check(t *testing.T, f Format, cases []Case) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name+f.Suffix, func(t *testing.T) {
			is := is.New(t)
			is.Equal(zeroFields(reflect.ValueOf(c.Value).Elem(), f.Tag), c.Zero) // the fields that are zero
			body, err := f.Encode(c.Value)
			is.NoErr(err)
			want := File(t, c.Name+f.Suffix, body)
			if !bytes.Equal(body, want) {
				t.Fatalf("%s: the bytes changed\n got %q\nwant %q", c.Name, body, want)
			}
			if f.Decode == nil {
				return
			}
			decoded := reflect.New(reflect.TypeOf(c.Value).Elem()).Interface()
			is.NoErr(f.Decode(want, decoded))
			body, err = f.Encode(decoded)
			is.NoErr(err)
			if !bytes.Equal(body, want) {
				t.Fatalf("%s: encoding the decoded value again gives other bytes\n got %q\nwant %q", c.Name, body, want)
			}
		})
	}
}

// Texts compares the texts of an enum, one per line, with the file of the given
// name with the suffix .txt.
func Texts[T ~string](t *testing.T, name string, values ...T) {
	t.Helper()
	var text strings.Builder
	for _, v := range values {
		fmt.Fprintf(&text, "%s\n", v)
	}
	is.New(t).Equal(text.String(), string(File(t, name+".txt", []byte(text.String()))))
}

// File returns the content of a file in testdata/golden. In record mode it
// writes body to the file first.
func File(t *testing.T, name string, body []byte) []byte {
	t.Helper()
	is := is.New(t)
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv(recordEnv) == "record" {
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, body, 0o644))
	}
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("golden file %s is missing; set %s=record to write it", path, recordEnv)
	}
	is.NoErr(err)
	return want
}

// zeroFields returns the sorted paths of the fields below v that are encoded
// but zero.
func zeroFields(v reflect.Value, tag string) []string {
	var zero []string
	collectZero(v, v.Type().Name(), tag, &zero)
	slices.Sort(zero)
	return zero
}

// collectZero appends the paths of the zero values in v to zero.
func collectZero(v reflect.Value, path, tag string, zero *[]string) {
	if v.IsZero() || (v.Kind() == reflect.Slice || v.Kind() == reflect.Map) && v.Len() == 0 {
		*zero = append(*zero, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		collectZero(v.Elem(), path, tag, zero)
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			collectZero(v.Index(i), fmt.Sprintf("%s[%d]", path, i), tag, zero)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			collectZero(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), tag, zero)
		}
	case reflect.Struct:
		collectZeroFields(v, path, tag, zero)
	}
}

func collectZeroFields(v reflect.Value, path, tag string, zero *[]string) {
	// Times and addresses have no exported fields; they are checked as a whole.
	if v.Type().Implements(reflect.TypeFor[encoding.TextMarshaler]()) && !hasExported(v.Type()) {
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
		if name == "-" || !field.IsExported() && !field.Anonymous {
			continue
		}
		collectZero(v.Field(i), path+"."+field.Name, tag, zero)
	}
}

func hasExported(t reflect.Type) bool {
	return slices.ContainsFunc(reflect.VisibleFields(t), func(f reflect.StructField) bool { return f.IsExported() })
}
