package sagesettings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func example(t *testing.T) map[string]any {
	t.Helper()
	b, err := json.Marshal(Example())
	require.NoError(t, err)
	var m map[string]any
	require.NoError(t, json.Unmarshal(b, &m))
	return m
}

func TestExampleDecodesToItself(t *testing.T) {
	b, err := json.Marshal(Example())
	require.NoError(t, err)
	s, err := Decode(b)
	require.NoError(t, err)
	assert.Equal(t, Example(), s)
}

func TestFaults(t *testing.T) {
	sub := func(m map[string]any, name string) map[string]any {
		v, _ := m[name].(map[string]any)
		return v
	}
	tests := []struct {
		name   string
		change func(m map[string]any)
		want   []string
	}{
		{"unknown field", func(m map[string]any) { sub(m, "limits")["speed"] = 1 }, []string{"limits.speed: unknown field"}},
		{"wrong type", func(m map[string]any) { sub(m, "limits")["in_flight"] = "many" }, []string{"limits.in_flight: want a whole number, have a string"}},
		{"fraction", func(m map[string]any) { sub(m, "limits")["in_flight"] = 1.5 }, []string{"limits.in_flight: want a whole number, have 1.5"}},
		{"list for object", func(m map[string]any) { m["node"] = []any{} }, []string{"node: want an object, have a list", "node.name: missing", "node.data_centre: missing"}},
		{"host name", func(m map[string]any) { sub(m, "listen")["entry"] = "vm1:80" }, []string{`listen.entry: have host "vm1", want an IP number`}},
		{"port", func(m map[string]any) { sub(m, "listen")["peer"] = "127.0.0.1:0" }, []string{`listen.peer: have port "0", want 1 to 65535`}},
		{"priority", func(m map[string]any) {
			m["objectives"] = []any{map[string]any{"account": "*", "priority": "soon", "latency_millis": 1, "target": 0.5}}
		}, []string{`objectives[0].priority: priority "soon" (want urgent, normal or bulk): unknown priority`}},
		{"half of tls", func(m map[string]any) { sub(m, "tls")["key_file"] = "k" }, []string{"tls: want all of cert_file, key_file and ca_file, or none"}},
		{"two at once", func(m map[string]any) {
			sub(m, "retry")["ratio"] = 2
			sub(m, "isolated")["rule"] = "hope"
		}, []string{`isolated.rule: have "hope", want quorum, fence, idempotent_only or serve`, "retry.ratio: have 2, want 0 to 1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := example(t)
			tt.change(m)
			b, err := json.Marshal(m)
			require.NoError(t, err)
			_, err = Decode(b)
			require.ErrorIs(t, err, ErrInvalidSettings)
			var faults FieldErrors
			require.True(t, errors.As(err, &faults))
			var got []string
			for _, f := range faults {
				got = append(got, f.Path+": "+f.Problem)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

func TestNotJSON(t *testing.T) {
	for _, s := range []string{"", "{", "{} {}", "[]"} {
		_, err := Decode([]byte(s))
		require.ErrorIs(t, err, ErrInvalidSettings, "settings %q", s)
	}
}

func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
