package sagesettings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalidSettings is wrapped by every [FieldErrors].
var ErrInvalidSettings = errors.New("settings are not usable")

// FieldError is one thing wrong with the settings.
type FieldError struct {
	// Path names the field, such as "limits.body_bytes" or "seeds[1].peer".
	Path string `json:"path"`
	// Problem says what is wrong and what is wanted.
	Problem string `json:"problem"`
}

// FieldErrors lists everything wrong with the settings.
type FieldErrors []FieldError

// Error joins all faults in one line.
func (f FieldErrors) Error() string {
	parts := make([]string, len(f))
	for i, x := range f {
		parts[i] = x.Path + ": " + x.Problem
	}
	return ErrInvalidSettings.Error() + ": " + strings.Join(parts, "; ")
}

// Unwrap returns [ErrInvalidSettings].
func (f FieldErrors) Unwrap() error { return ErrInvalidSettings }

// Load reads, decodes and checks a settings file. Fields that the file leaves out keep their
// [Default].
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Decode(b)
}

// Decode decodes and checks settings. The error is a [FieldErrors] that holds every fault.
func Decode(b []byte) (Settings, error) {
	s := Default()
	faults := decodeInto(b, &s)
	faults = append(faults, s.Validate()...)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

// decodeInto decodes strictly, collecting unknown fields and wrong types, and leaves out of s what
// it can't decode.
func decodeInto(b []byte, s *Settings) FieldErrors {
	var raw any
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if err := d.Decode(&raw); err != nil {
		return FieldErrors{{Path: "settings", Problem: "not JSON: " + err.Error()}}
	}
	if _, err := d.Token(); err != io.EOF {
		return FieldErrors{{Path: "settings", Problem: "data after the JSON value"}}
	}
	var faults FieldErrors
	set(&faults, "", raw, reflect.ValueOf(s).Elem())
	return faults
}

func (f *FieldErrors) add(path, format string, args ...any) {
	if path == "" {
		path = "settings"
	}
	*f = append(*f, FieldError{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// set stores the decoded value raw in v.
func set(f *FieldErrors, path string, raw any, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		setText(f, path, raw, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		setStruct(f, path, raw, v)
	case reflect.Slice:
		setSlice(f, path, raw, v)
	case reflect.String:
		if s, ok := raw.(string); ok {
			v.SetString(s)
			return
		}
		f.add(path, "want a string, have %s", kindOf(raw))
	case reflect.Int, reflect.Int64:
		setInt(f, path, raw, v)
	case reflect.Float64:
		if n, ok := raw.(json.Number); ok {
			if x, err := n.Float64(); err == nil {
				v.SetFloat(x)
				return
			}
		}
		f.add(path, "want a number, have %s", kindOf(raw))
	default:
		f.add(path, "settings can't hold a %s", v.Kind())
	}
}

func setText(f *FieldErrors, path string, raw any, u encoding.TextUnmarshaler) {
	s, ok := raw.(string)
	if !ok {
		f.add(path, "want a string, have %s", kindOf(raw))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		f.add(path, "%v", err)
	}
}

func setInt(f *FieldErrors, path string, raw any, v reflect.Value) {
	n, ok := raw.(json.Number)
	if !ok {
		f.add(path, "want a whole number, have %s", kindOf(raw))
		return
	}
	x, err := n.Int64()
	if err != nil {
		f.add(path, "want a whole number, have %s", n)
		return
	}
	v.SetInt(x)
}

func setSlice(f *FieldErrors, path string, raw any, v reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		f.add(path, "want a list, have %s", kindOf(raw))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, x := range list {
		set(f, fmt.Sprintf("%s[%d]", path, i), x, v.Index(i))
	}
}

func setStruct(f *FieldErrors, path string, raw any, v reflect.Value) {
	m, ok := raw.(map[string]any)
	if !ok {
		f.add(path, "want an object, have %s", kindOf(raw))
		return
	}
	if path != "" {
		path += "."
	}
	known := make(map[string]bool)
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("json")
		known[name] = true
		if x, ok := m[name]; ok {
			set(f, path+name, x, v.Field(i))
		}
	}
	var unknown []string
	for name := range m {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		f.add(path+name, "unknown field")
	}
}

func kindOf(raw any) string {
	switch raw.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	}
	return "an object"
}
