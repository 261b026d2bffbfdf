package sageclaim

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseKey(t *testing.T) {
	at := time.UnixMilli(1_764_700_000_123)
	for _, tt := range []struct {
		in   string
		text string
		ok   bool
	}{
		{"1764700000123-box-17", "1764700000123-box-17", true},
		{"019ADFAC-E47B-7000-8000-000000000001", "019adfac-e47b-7000-8000-000000000001", true},
		{"01764700000123-x", "", false},
		{"+1764700000123-x", "", false},
		{"1764700000123-", "", false},
		{"1764700000123", "", false},
		{"1764700000123-a b", "", false},
		{"f47ac10b-58cc-4372-a567-0e02b2c3d479", "", false},
		{"{019adfac-e47b-7000-8000-000000000001}", "", false},
		{"", "", false},
		{"1-" + strings.Repeat("x", MaxKeyBytes), "", false},
	} {
		t.Run(tt.in, func(t *testing.T) {
			k, err := ParseKey(tt.in)
			if !tt.ok {
				require.ErrorIs(t, err, ErrInvalidKey)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.text, k.Text)
			if k.Text[0] == '1' {
				assert.Equal(t, at, k.CreatedAt)
			}
		})
	}
	u := uuid.Must(uuid.NewV7())
	k, err := ParseKey(u.String())
	require.NoError(t, err)
	sec, nsec := u.Time().UnixTime()
	assert.Equal(t, time.Unix(sec, nsec).UnixMilli(), k.CreatedAt.UnixMilli())
}

func FuzzParseKey(f *testing.F) {
	f.Add("1764700000123-box-17")
	f.Add("019adfac-e47b-7000-8000-000000000001")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			return
		}
		again, err := ParseKey(k.Text)
		if err != nil || again != k {
			t.Fatalf("%q gives %+v, its text gives %+v, %v", s, k, again, err)
		}
	})
}

// A booking is made twice: its claim was deleted with its bucket, and a late repeat finds the key
// free. The key's own age refuses the repeat, well before the object goes.
func TestRulesCheck(t *testing.T) {
	r := testRules()
	created := time.UnixMilli(1_764_700_000_123)
	k := Key{Text: "k", CreatedAt: created}
	require.NoError(t, r.Check(k, created))
	require.NoError(t, r.Check(k, created.Add(r.Retention)))
	require.ErrorIs(t, r.Check(k, created.Add(r.Retention+1)), ErrKeyExpired)
	require.NoError(t, r.Check(k, created.Add(-r.MaxAhead)))
	require.ErrorIs(t, r.Check(k, created.Add(-r.MaxAhead-1)), ErrKeyInFuture)
}

func TestObjectIsStable(t *testing.T) {
	r := testRules()
	k := Key{Text: "k", CreatedAt: time.UnixMilli(1_764_700_000_123)}
	assert.Equal(t, "claims/202512021826/1764700000000-00", r.ObjectKey("haller", k))
	assert.NotEqual(t, Fingerprint("POST", "/a", []byte("b")), Fingerprint("POST", "/ab", nil))
}

func testRules() *Rules {
	return &Rules{Bucket: 2 * time.Second, Shards: 4, Retention: time.Hour, MaxAhead: time.Minute}
}
