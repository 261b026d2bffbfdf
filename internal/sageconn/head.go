package sageconn

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrMalformedHead is the error of a read of a head without a valid status, or with a line that is no field of HTTP/1. net/http accepts
// some of them: it passes the line on, or takes the field for another one, so that the body isn't what the other end means.
var ErrMalformedHead = errors.New("response head malformed")

// maxQuoted is the number of bytes of a malformed line that an error quotes.
const maxQuoted = 64

// CheckHead checks the head with which b begins, up to its blank line: the status line of HTTP/1, and the fields.
func CheckHead(b []byte) error {
	b = b[:headLen(b)]
	if !responseStart.Match(b) {
		return errNoResponse
	}
	if status := b[len("HTTP/1.1 "):len(firstStatus)]; status[0] == '0' {
		return errors.Wrapf(ErrMalformedHead, "status %s", status)
	}
	first := true
	for line := range bytes.Lines(b[bytes.IndexByte(b, '\n')+1:]) {
		text := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(text) > 0 && !isField(text, first) {
			return errors.Wrapf(ErrMalformedHead, "line %q", text[:min(len(text), maxQuoted)])
		}
		first = false
	}
	return nil
}

// isField reports whether a line of a head is a field whose name is a token and whose value holds neither NUL nor a bare CR, or, unless
// it is the first one, the continuation of such a value.
func isField(line []byte, first bool) bool {
	value := line
	if first || line[0] != ' ' && line[0] != '\t' {
		n := 0
		for n < len(line) && isTokenByte(line[n]) {
			n++
		}
		if n == 0 || n == len(line) || line[n] != ':' {
			return false
		}
		value = line[n+1:]
	}
	return bytes.IndexByte(value, 0) < 0 && bytes.IndexByte(value, '\r') < 0
}

// isTokenByte reports whether a byte may be part of a field's name.
func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}
