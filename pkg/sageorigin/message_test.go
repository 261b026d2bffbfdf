package sageorigin

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

func TestMessagesAreDecodedAsEncoded(t *testing.T) {
	k := KeyOf("acc", "q1")
	for _, m := range []Message{
		{Records: []Record{{k, chatV1, 5 * second}, {KeyOf("", "q2"), Origin{Service: "app"}, 3 * second}}},
		{Save: []Record{{k, chatV1, 5 * second}, {KeyOf("", "q2"), chatV2, 3 * second}}},
		{Query: &Query{Number: 7, Key: k, Route: "r"}},
		{Answer: &Answer{Number: 7, Status: Found, Origin: chatV2, Age: 3 * time.Second}},
		{Answer: &Answer{Number: 7, Status: Unknown}},
		{},
	} {
		got, err := Decode(second, m.Encode(second))
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	late := Message{Records: []Record{{k, chatV1, 5 * second}}}
	require.Empty(t, late.Encode(5*second), "a record that has ended isn't sent")
	r := Record{k, chatV1, 5 * second}
	require.LessOrEqual(t, len(late.Encode(second)), r.MaxEncodedBytes())
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	record := func(r Record, ttl uint64) []byte {
		part := appendBytes(nil, fieldKey, r.Key[:])
		part = appendNumber(part, fieldTTL, ttl)
		return appendPart(nil, fieldRecord, r.Origin.append(part))
	}
	query := Message{Query: &Query{Route: long}}
	for name, b := range map[string][]byte{
		"oversized":                make([]byte, MaxMessageBytes+1),
		"no message":               []byte("hello"),
		"cut off":                  (&Message{Query: &Query{Number: 7, Route: "r"}}).Encode(0)[:9],
		"record without a service": record(Record{}, 5),
		"record with a long name":  record(Record{Origin: Origin{Service: "s", Version: long}}, 5),
		"record without a time":    record(Record{Origin: chatV1}, 0),
		"record for ever":          record(Record{Origin: chatV1}, 1<<40),
		"record without a key":     appendPart(nil, fieldRecord, appendNumber(chatV1.append(nil), fieldTTL, 5)),
		"query with a long route":  query.Encode(0),
		"query without a key":      appendPart(nil, fieldQuery, appendNumber(nil, fieldNumber, 5)),
		"answer of unknown status": appendPart(nil, fieldAnswer, appendNumber(chatV1.append(nil), fieldStatus, uint64(numStatuses))),
		"answer without an origin": appendPart(nil, fieldAnswer, appendNumber(nil, fieldStatus, uint64(Found))),
	} {
		_, err := Decode(0, b)
		require.ErrorIs(t, err, ErrMessage, name)
	}
}

// Prevents nodes of an earlier version from rejecting messages to which a later one adds fields.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	m := Message{Answer: &Answer{Number: 7, Status: Found, Origin: chatV2}}
	b := protowire.AppendBytes(protowire.AppendTag(m.Encode(0), 9, protowire.BytesType), []byte("\xff\xff"))
	got, err := Decode(0, protowire.AppendFixed64(protowire.AppendTag(b, 10, protowire.Fixed64Type), 1))
	require.NoError(t, err)
	require.Equal(t, m, got)
}

func FuzzDecode(f *testing.F) {
	k := KeyOf("acc", "q1")
	f.Add((&Message{Records: []Record{{k, chatV1, 5 * second}}}).Encode(0))
	f.Add((&Message{Query: &Query{Number: 7, Key: k, Route: "r"}}).Encode(0))
	f.Add((&Message{Answer: &Answer{Number: 7, Status: Sole, Origin: chatV2}}).Encode(0))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(second, b)
		if err != nil {
			return
		}
		again, err := Decode(second, m.Encode(second))
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}
