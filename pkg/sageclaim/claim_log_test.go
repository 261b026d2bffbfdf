package sageclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sagestand.example/sagestand/pkg/sagewire"
)

var testDeadline = time.Unix(1_764_700_010, 0).UTC()

func claim(key, id string) Entry {
	return Entry{Op: OpClaim, Account: "haller", Key: key, ClaimID: id, Fingerprint: "f", Deadline: testDeadline}
}

func followUp(op Op, key, id string, outcome sagewire.Outcome) Entry {
	return Entry{Op: op, Account: "haller", Key: key, ClaimID: id, Outcome: outcome}
}

func TestClaimLog(t *testing.T) {
	a, b := claim("k", "a"), claim("k", "b")
	finish, unknown := followUp(OpFinish, "k", "a", sagewire.Complete), followUp(OpFinish, "k", "a", sagewire.Unknown)
	release, resolveRun := followUp(OpRelease, "k", "a", ""), followUp(OpResolve, "k", "a", sagewire.Complete)
	resolveNotRun := followUp(OpResolve, "k", "a", sagewire.NotRun)
	for _, tt := range []struct {
		name    string
		entries []Entry
		effect  string
		id      string
		state   State
	}{
		{"first claim wins", []Entry{a, b}, "yn", "a", StateClaimed},
		{"same claim again", []Entry{a, a}, "yn", "a", StateClaimed},
		{"finished stays", []Entry{a, finish, b, release}, "yynn", "a", StateFinished},
		{"unknown stays", []Entry{a, unknown, b, release}, "yynn", "a", StateFinished},
		{"released key is free", []Entry{a, release, b}, "yyy", "b", StateClaimed},
		{"delayed copy of a released claim", []Entry{a, release, a}, "yyn", "a", StateReleased},
		{"finish of another claim", []Entry{a, followUp(OpFinish, "k", "b", sagewire.Complete)}, "yn", "a", StateClaimed},
		{"release of another claim", []Entry{a, followUp(OpRelease, "k", "b", "")}, "yn", "a", StateClaimed},
		{"repeated release after another claim", []Entry{a, release, b, release}, "yyyn", "b", StateClaimed},
		{"resolved as run", []Entry{a, unknown, resolveRun, b}, "yyyn", "a", StateFinished},
		{"resolved as not run", []Entry{a, unknown, resolveNotRun, b}, "yyyy", "b", StateClaimed},
		{"complete can't be resolved", []Entry{a, finish, resolveNotRun}, "yyn", "a", StateFinished},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var log ClaimLog
			effect := ""
			for i := range tt.entries {
				if log.Apply(&tt.entries[i]) {
					effect += "y"
				} else {
					effect += "n"
				}
			}
			assert.Equal(t, tt.effect, effect)
			r, ok := log.Record("haller", "k")
			require.True(t, ok)
			assert.Equal(t, tt.id, r.ClaimID)
			assert.Equal(t, tt.state, r.State)
			decoded, err := DecodeClaimLog(log.Encode())
			require.NoError(t, err)
			assert.Equal(t, log.Records(), decoded.Records())
		})
	}
}

func TestUnresolved(t *testing.T) {
	r := Record{State: StateClaimed, Deadline: testDeadline}
	assert.False(t, r.Unresolved(testDeadline))
	assert.True(t, r.Unresolved(testDeadline.Add(1)))
	assert.True(t, (&Record{State: StateFinished, Outcome: sagewire.Unknown}).Unresolved(testDeadline))
	assert.False(t, (&Record{State: StateFinished, Outcome: sagewire.Complete}).Unresolved(testDeadline.Add(1)))
	assert.False(t, (&Record{State: StateReleased}).Unresolved(testDeadline.Add(1)))
}

// For any sequence of entries, a key passes from one claim to another only after the first was released
// or resolved as not run, and decoding the encoded log gives the same records.
func TestClaimLogProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log ClaimLog
		last := make(map[string]Record)
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			key, id := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			e := claim(key, id)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 1:
				e = followUp(OpFinish, key, id, rapid.SampledFrom([]sagewire.Outcome{sagewire.Complete, sagewire.Unknown}).Draw(t, "o"))
			case 2:
				e = followUp(OpRelease, key, id, "")
			case 3:
				e = followUp(OpResolve, key, id, rapid.SampledFrom([]sagewire.Outcome{sagewire.Complete, sagewire.NotRun}).Draw(t, "o"))
			}
			log.Apply(&e)
			if r, ok := log.Record("haller", key); ok {
				if old, seen := last[key]; seen && old.ClaimID != r.ClaimID && old.State != StateReleased {
					t.Fatalf("%s passed from %+v to %+v", key, old, r)
				}
				last[key] = r
			}
		}
		decoded, err := DecodeClaimLog(log.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded.Records()) != fmt.Sprint(log.Records()) {
			t.Fatalf("decoded %v, have %v", decoded.Records(), log.Records())
		}
	})
}

func FuzzDecodeClaimLog(f *testing.F) {
	var log ClaimLog
	for _, e := range []Entry{claim("k", "a"), followUp(OpFinish, "k", "a", sagewire.Unknown), followUp(OpResolve, "k", "a", sagewire.NotRun), claim("k", "b")} {
		log.Apply(&e)
	}
	f.Add(log.Encode())
	f.Add([]byte("{}\n"))
	f.Add((&ClaimLog{lines: []byte("{}\n")}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		log, err := DecodeClaimLog(b)
		if err != nil {
			return
		}
		e := claim("fresh", "z")
		log.Apply(&e)
		decoded, err := DecodeClaimLog(log.Encode())
		if err != nil {
			t.Fatalf("decode own encoding: %v", err)
		}
		if fmt.Sprint(decoded.Records()) != fmt.Sprint(log.Records()) {
			t.Fatalf("decoded %v, have %v", decoded.Records(), log.Records())
		}
	})
}

// An object of a few KB could decompress to more than any object may hold and exhaust the node's
// memory.
func TestDecodeClaimLogIsBounded(t *testing.T) {
	bomb := (&ClaimLog{lines: make([]byte, 4*maxDecompressedBytes)}).Encode()
	require.Less(t, len(bomb), maxDecompressedBytes/8)
	_, err := DecodeClaimLog(bomb)
	require.ErrorIs(t, err, ErrInvalidEntry)
	_, err = DecodeClaimLog([]byte("no gzip"))
	require.ErrorIs(t, err, ErrInvalidEntry)
}

func BenchmarkEncode(b *testing.B) {
	var log ClaimLog
	for i := range 400 {
		e := claim(fmt.Sprintf("1764700000%03d-%016x", i, i*7919), fmt.Sprintf("%032x", i*104729))
		log.Apply(&e)
	}
	for b.Loop() {
		log.Encode()
	}
}

func BenchmarkApply(b *testing.B) {
	var log ClaimLog
	i := 0
	for b.Loop() {
		e := claim(fmt.Sprint(i), "a")
		log.Apply(&e)
		i++
	}
}
