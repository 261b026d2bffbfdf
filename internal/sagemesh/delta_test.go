package sagemesh

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
)

func delta(changes int) sagefollow.Delta {
	d := sagefollow.Delta{Full: true, AsOf: 70}
	for i := range changes {
		d.Changes = append(d.Changes, sagefollow.Change{Object: sagefollow.Object{Name: fmt.Sprint("e", i), Revision: uint64(i + 1), Spec: json.RawMessage(`{"a":[1,"}]"]}`)}, Deleted: i%3 == 0})
	}
	return d
}

func TestDeltaIsDecodedAsEncoded(t *testing.T) {
	for _, d := range []sagefollow.Delta{{}, {AsOf: 5}, delta(1), delta(500)} {
		var b bytes.Buffer
		require.NoError(t, encodeDelta(&b, d))
		whole := new(sagefollow.Delta)
		require.NoError(t, json.Unmarshal(b.Bytes(), whole), "a node of an earlier version reads it")
		got, err := decodeDelta(&b)
		require.NoError(t, err)
		require.Equal(t, d, got)
	}
}

// Prevents an odd object that the store's client lets through from taking the other objects of a copy along.
func TestDeltaWithOddObjects(t *testing.T) {
	nested := strings.Repeat("[", 9900) + strings.Repeat("]", 9900)
	var d sagefollow.Delta
	for i, text := range []string{"1", nested, `{"x":` + nested[1:len(nested)-1] + `}`, "2", "false", "null", "1e400", "\"\xff\"", `"` + strings.Repeat("v", 1<<20) + `"`, "3"} {
		o := sagefollow.Object{Name: fmt.Sprint("e", i), Revision: uint64(i + 1), Spec: json.RawMessage(text), Status: json.RawMessage(text)}
		d.Changes = append(d.Changes, sagefollow.Change{Object: o}, sagefollow.Change{Object: o, Deleted: true})
	}
	d.Full, d.AsOf = true, 70
	var b bytes.Buffer
	require.NoError(t, encodeDelta(&b, d))
	got, err := decodeDelta(&b)
	require.NoError(t, err)
	require.True(t, reflect.DeepEqual(d, got), "too long to be printed")
}

// Prevents a copy that a node of an earlier version encoded, or a damaged one, from being read wrongly.
func TestDeltaOfOtherForm(t *testing.T) {
	text, err := json.Marshal(delta(3))
	require.NoError(t, err)
	got, err := decodeDelta(bytes.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, delta(3), got)
	got, err = decodeDelta(bytes.NewReader([]byte(`{"new":{"x":[1]},"changes":null,"as_of":3}`)))
	require.NoError(t, err)
	require.Equal(t, sagefollow.Delta{AsOf: 3}, got)
	for _, s := range []string{"", "[]", "{", `{"changes":{}}`, `{"changes":[1]}`, `{"as_of":-1}`, `{"changes":[{}]`, string(text[:len(text)-5])} {
		_, err := decodeDelta(bytes.NewReader([]byte(s)))
		require.ErrorIs(t, err, ErrDelta, s)
	}
}

func FuzzDecodeDelta(f *testing.F) {
	text, err := json.Marshal(delta(3))
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte(`{"changes":[{"object":{}}],"as_of":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decodeDelta(bytes.NewReader(b))
		if err != nil {
			return
		}
		var out bytes.Buffer
		require.NoError(t, encodeDelta(&out, d))
	})
}
