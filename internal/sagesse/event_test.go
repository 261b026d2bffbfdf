package sagesse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// A caller would take a cut answer for a whole one if the end of the input after a whole event and
// one inside an event, or a broken connection, looked alike.
func TestEndedTellsAnEndFromABreak(t *testing.T) {
	for _, c := range []struct {
		name  string
		in    io.Reader
		ended bool
	}{
		{"after an event", strings.NewReader("id: 1\ndata: a\n\n"), true},
		{"inside an event", strings.NewReader("id: 1\ndata: a\n"), false},
		{"inside a line", strings.NewReader("id: 1\nda"), false},
		{"broken", io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(io.ErrUnexpectedEOF)), false},
		{"reset", io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(errors.New("reset"))), false},
	} {
		r := &Reader{R: bufio.NewReader(c.in), MaxEventBytes: 64}
		var err error
		for err == nil {
			_, err = r.Next()
		}
		require.Equal(t, c.ended, r.CleanEOF(), c.name)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: [DONE]\n\n"))
	f.Add([]byte(": c\n\nid: 0\n\nid: x\r\ndata: a\ndata\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &Reader{R: bufio.NewReaderSize(bytes.NewReader(b), 16), MaxEventBytes: 64}
		var passed []byte
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			if len(e.Raw) > 64 {
				t.Fatalf("event of %d bytes", len(e.Raw))
			}
			passed = append(passed, e.Raw...)
		}
		if !bytes.Contains(stripBlank(b), stripBlank(passed)) {
			t.Fatalf("passed %q of %q", passed, b)
		}
	})
}

func stripBlank(b []byte) []byte {
	return bytes.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return -1
		}
		return r
	}, b)
}
