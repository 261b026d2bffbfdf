package sagejson

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

func fields(t *testing.T, text string) map[string]string {
	t.Helper()
	out := make(map[string]string)
	require.NoError(t, Fields([]byte(text), func(name, value []byte) error {
		out[string(name)] = string(value)
		return nil
	}))
	return out
}

func elements(text string) (out []string, err error) {
	err = Elements([]byte(text), func(element []byte) error {
		out = append(out, string(element))
		return nil
	})
	return out, err
}

func TestFields(t *testing.T) {
	require.Empty(t, fields(t, " { } "))
	require.Equal(t, map[string]string{"a": "1", "b": `{"c":[1,"]}\","]}`, "d\n": "", "": "null"},
		fields(t, "{\"a\" : 0, \"b\":{\"c\":[1,\"]}\\\",\"]} ,\n\"d\\u000a\": , \"a\":1,\"\":null}"), "the last field of a name counts")
	for _, text := range []string{"", "null", "[]", "{", "}", `{"a":1`, `{"a"}`, `{a:1}`, `{"a":1,}`, `{"a":"}`, `{"\x":1}`, `{"a":1}}`, `{]"a":[1}`} {
		require.ErrorIs(t, Fields([]byte(text), func(_, _ []byte) error { return nil }), ErrSyntax, text)
	}
}

func TestElements(t *testing.T) {
	deep := nested(100_000)
	for text, want := range map[string][]string{
		"null": nil, " [ ] ": nil, "[1, {\"a\":[2,3]} ,\"x,]\\\"\"]": {"1", `{"a":[2,3]}`, `"x,]\""`}, "[1," + deep + ",2]": {"1", deep, "2"}, "[1,,nul]": {"1", "", "nul"},
	} {
		got, err := elements(text)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	for _, text := range []string{"", "{}", "[", "]", "[1", `["]`, "[[]", "[]]", "][", "[][]"} {
		_, err := elements(text)
		require.ErrorIs(t, err, ErrSyntax, text)
	}
}

func TestFirstErrorStops(t *testing.T) {
	calls := 0
	stop := func() error { calls++; return io.ErrNoProgress }
	require.ErrorIs(t, Elements([]byte("[1,2]"), func([]byte) error { return stop() }), io.ErrNoProgress)
	require.ErrorIs(t, Fields([]byte(`{"a":1,"b":2}`), func(_, _ []byte) error { return stop() }), io.ErrNoProgress)
	require.Equal(t, 2, calls)
}

func TestRead(t *testing.T) {
	for _, text := range []string{"{}", "[]", ` {"a":"}","b":[1,{}]}`, nested(100_000), `["` + strings.Repeat("x", 100_000) + `"]`} {
		for _, r := range []io.Reader{strings.NewReader(text + `{"next":`), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
			got, err := Read(r)
			require.NoError(t, err)
			require.Equal(t, text, string(got))
		}
	}
	_, err := Read(iotest.ErrReader(io.ErrClosedPipe))
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// Prevents an answer that was cut off from being taken for a shorter one.
func TestReadOfCutText(t *testing.T) {
	const text = `{"items":[{"a":"}]}"},{"b":[1,2]}],"n":5}`
	for i := range text {
		_, err := Read(strings.NewReader(text[:i]))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, text[:i])
	}
}

// Prevents a valid value from becoming undecodable when it is wrapped in others.
func TestValid(t *testing.T) {
	for _, text := range []string{"null", "1e400", "{}", `"` + "\xff" + `"`, nested(9000), nested(maxNesting)} {
		require.True(t, Valid([]byte(text)))
		wrapped, err := json.Marshal(map[string]any{"a": []any{map[string]any{"b": json.RawMessage(text)}}})
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(wrapped, new(map[string][]map[string]json.RawMessage)))
	}
	for _, text := range []string{"", "nul", "{", `{"a":}`, "01", "[1}", "\"\n\"", nested(maxNesting + 1), nested(20_000), "[]]", "[] []"} {
		require.False(t, Valid([]byte(text)))
	}
}

// Fuzzing against encoding/json: what it decodes is separated into the same parts.
func FuzzElements(f *testing.F) {
	for _, text := range []string{"[]", "[1,[2,\"]\"],{\"a\":\"\\\\\"}]", "[null , 1e400,\"\xff\"]", "[,]", "[" + nested(20_000) + "]", "]["} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := elements(string(text))
		var want []json.RawMessage
		if json.Unmarshal(text, &want) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, string(want[i]), got[i])
		}
		if len(bytes.TrimSpace(text)) > 0 && bytes.TrimSpace(text)[0] == '[' {
			read, err := Read(bytes.NewReader(text))
			require.NoError(t, err)
			require.Equal(t, bytes.TrimRight(text, " \t\r\n"), read)
		}
	})
}

// Fuzzing against encoding/json: what it decodes has the same fields.
func FuzzFields(f *testing.F) {
	for _, text := range []string{"{}", `{"a":{"b":"}"},"a\\":1}`, `{"a" : 1 , "a":2}`, `{"a":` + nested(20_000) + `}`, "{\"\xff\":1}", "}{"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got := make(map[string]string)
		err := Fields(text, func(name, value []byte) error {
			got[strings.ToValidUTF8(string(name), "\ufffd")] = string(value)
			return nil
		})
		var want map[string]json.RawMessage
		if json.Unmarshal(text, &want) != nil || want == nil {
			return
		}
		require.NoError(t, err)
		require.LessOrEqual(t, len(got), len(want))
		for name, value := range want {
			if !strings.ContainsRune(name, '\ufffd') {
				require.Equal(t, string(value), got[name])
			}
		}
	})
}

func BenchmarkElements(b *testing.B) {
	text := []byte("[" + strings.Repeat(`{"metadata":{"name":"e1","revision":17},"spec":{"service":"app","address":"127.0.0.1:9000","slots":8}},`, 10_000) + "1]")
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_ = Elements(text, func([]byte) error { return nil })
	}
}
