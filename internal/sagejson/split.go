package sagejson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// ErrSyntax reports text that can't be separated.
var ErrSyntax = errors.New("malformed JSON")

// maxNesting is the number of levels up to which a value is valid. It leaves some of the 10,000 levels of encoding/json to what
// the value is wrapped in.
const maxNesting = 9900

// readSize is the number of bytes by which a buffer grows at least.
const readSize = 4 << 10

// scanner follows the structure of text. It uses no recursion and the same memory at any depth.
type scanner struct {
	depth, deepest    int
	inString, escaped bool
}

func (s *scanner) step(c byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = c == '\\', c != '"'
	case c == '"':
		s.inString = true
	case c == '{' || c == '[':
		s.depth++
		s.deepest = max(s.deepest, s.depth)
	case c == '}' || c == ']':
		s.depth--
	}
}

// Read reads an object or array and leaves what follows it.
func Read(r io.Reader) ([]byte, error) {
	var s scanner
	var b []byte
	for {
		if cap(b)-len(b) < readSize {
			b = append(make([]byte, 0, 2*cap(b)+readSize), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		for range n {
			b = b[:len(b)+1]
			if s.step(b[len(b)-1]); s.depth <= 0 && s.deepest > 0 {
				return b, nil
			}
		}
		if err == io.EOF {
			return b, io.ErrUnexpectedEOF
		}
		if err != nil {
			return b, fmt.Errorf("read JSON: %w", err)
		}
	}
}

// Fields calls f for the fields of an object. It stops at the first error.
func Fields(object []byte, f func(name, value []byte) error) error {
	return split(object, '{', '}', func(field []byte) error {
		end := nameEnd(field)
		if end == 0 {
			return fmt.Errorf("field without a name: %w", ErrSyntax)
		}
		name := field[1 : end-1]
		if bytes.IndexByte(name, '\\') >= 0 {
			var text string
			if err := json.Unmarshal(field[:end], &text); err != nil {
				return fmt.Errorf("name of a field: %v: %w", err, ErrSyntax)
			}
			name = []byte(text)
		}
		value, ok := bytes.CutPrefix(trim(field[end:]), []byte(":"))
		if !ok {
			return fmt.Errorf("field %.100q has no value: %w", name, ErrSyntax)
		}
		return f(name, trim(value))
	})
}

// nameEnd returns the index behind the string with which a field begins, or 0 if it begins with none.
func nameEnd(field []byte) int {
	if len(field) == 0 || field[0] != '"' {
		return 0
	}
	var s scanner
	for i, c := range field {
		if s.step(c); !s.inString {
			return i + 1
		}
	}
	return 0
}

// Elements calls f for the elements of an array. It stops at the first error. Null has no elements.
func Elements(array []byte, f func(element []byte) error) error {
	if string(trim(array)) == "null" {
		return nil
	}
	return split(array, '[', ']', f)
}

// split calls f for the parts between two brackets that are separated by commas.
func split(b []byte, opening, closing byte, f func(part []byte) error) error {
	b = trim(b)
	if len(b) < 2 || b[0] != opening || b[len(b)-1] != closing {
		return fmt.Errorf("no %c%c: %w", opening, closing, ErrSyntax)
	}
	b = b[1 : len(b)-1]
	var s scanner
	start := 0
	for i, c := range b {
		if s.step(c); s.depth < 0 {
			return fmt.Errorf("%c at byte %d: %w", c, i, ErrSyntax)
		}
		if c == ',' && s.depth == 0 && !s.inString {
			if err := f(trim(b[start:i])); err != nil {
				return err
			}
			start = i + 1
		}
	}
	if s.depth != 0 || s.inString {
		return fmt.Errorf("unfinished value: %w", ErrSyntax)
	}
	last := trim(b[start:])
	if len(last) == 0 && start == 0 {
		return nil
	}
	return f(last)
}

func trim(b []byte) []byte { return bytes.Trim(b, " \t\r\n") }

// Valid reports whether a value can be decoded and encoded by encoding/json, also as a part of another one.
func Valid(value []byte) bool {
	var s scanner
	for _, c := range value {
		s.step(c)
	}
	return s.deepest <= maxNesting && json.Valid(value)
}
