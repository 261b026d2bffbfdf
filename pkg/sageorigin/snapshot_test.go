package sageorigin

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents records from being lost or changed on their way through the store.
func TestSnapshotKeepsRecords(t *testing.T) {
	records := []Record{
		{Key: KeyOf("a", "1"), Origin: chatV1, Until: 5 * second}, {Key: KeyOf("a", "2"), Origin: chatV2, Until: 6 * second}, {Key: KeyOf("a", "3"), Origin: chatV1, Until: 7 * second},
		{Key: KeyOf("a", "4"), Origin: chatV1, Until: second}, {Key: KeyOf("a", "5"), Origin: Origin{Service: "chat"}, Until: 9 * second},
	}
	s := NewSnapshot(2*second, records)
	b, err := json.Marshal(&s)
	require.NoError(t, err)
	var read Snapshot
	require.NoError(t, json.Unmarshal(b, &read))
	got, err := read.Records(2 * second)
	require.NoError(t, err)
	require.ElementsMatch(t, records[:3], got, "without those that have ended or have no version")
}

func TestSnapshotIsChecked(t *testing.T) {
	for _, text := range []string{
		`{"origins":[{"service":"","version":"v1"}]}`,
		`{"origins":[{"service":"chat","version":""}]}`,
		`{"origins":[{"service":"chat","version":"v1","streams":{"zz":5}}]}`,
		`{"origins":[{"service":"chat","version":"v1","streams":{"00":5}}]}`,
		`{"origins":[{"service":"chat","version":"v1","streams":{"00000000000000000000000000000000":-5}}]}`,
	} {
		var s Snapshot
		require.NoError(t, json.Unmarshal([]byte(text), &s))
		_, err := s.Records(second)
		require.ErrorIs(t, err, ErrSnapshot, text)
	}
}

// Prevents a node with very many streams from writing an object that the store refuses.
func TestSnapshotIsBounded(t *testing.T) {
	var records []Record
	for i := range 2 * MaxSnapshotRecords {
		records = append(records, Record{Key: KeyOf("a", string(rune(i))), Origin: chatV1, Until: 9 * second})
	}
	s := NewSnapshot(second, records)
	b, err := json.Marshal(&s)
	require.NoError(t, err)
	require.Less(t, len(b), 1<<20)
	require.Len(t, s.Origins[0].Streams, MaxSnapshotRecords)
}
