package sagewire

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPriorityNames(t *testing.T) {
	for p, name := range map[Priority]string{Urgent: "urgent", Normal: "normal", Bulk: "bulk"} {
		got, err := ParsePriority(name)
		require.NoError(t, err)
		assert.Equal(t, p, got)
		assert.Equal(t, name, p.String())
	}
	p, err := ParsePriority("")
	require.NoError(t, err)
	assert.Equal(t, Normal, p)
	_, err = ParsePriority("soon")
	require.ErrorIs(t, err, ErrInvalidPriority)
}

func TestRefusalCheck(t *testing.T) {
	for name, r := range map[string]Refusal{
		"complete":       {Outcome: Complete, Reason: ReasonInternal},
		"no reason":      {Outcome: NotRun},
		"no outcome":     {Reason: ReasonInternal},
		"other outcome":  {Outcome: "maybe", Reason: ReasonInternal},
		"nothing at all": {},
	} {
		b, err := json.Marshal(&r)
		require.NoError(t, err)
		_, err = DecodeRefusal(b)
		assert.Error(t, err, name)
	}
}

// An unknown outcome must never be told with a status that clients take for "try again".
func TestUnknownIsNeverRetriable(t *testing.T) {
	for _, reason := range []Reason{ReasonDeadline, ReasonOverloaded, ReasonAnswerLost, ReasonAccountLimit} {
		assert.Equal(t, 502, (&Refusal{Outcome: Unknown, Reason: reason}).HTTPStatus(), reason)
		assert.Equal(t, 409, (&Refusal{Outcome: AlreadyRun, Reason: reason}).HTTPStatus(), reason)
	}
}

func FuzzDecodeRefusal(f *testing.F) {
	f.Add([]byte(`{"outcome":"not_run","reason":"deadline","retry_at":"2026-12-02T10:00:00Z"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRefusal(b)
		if err != nil {
			return
		}
		require.NoError(t, r.Check())
		require.GreaterOrEqual(t, r.HTTPStatus(), 400)
	})
}

func ExampleRefuse() {
	at := time.Date(2026, 12, 2, 10, 0, 5, 0, time.UTC)
	r := Refuse(ReasonOverloaded, "every upstream of the set is at its bound", at)
	fmt.Println(r.HTTPStatus(), r)
	// Output: 503 not_run: overloaded: every upstream of the set is at its bound
}
