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

func ended(op Op, key, id string, o sagewire.Outcome) Entry {
	return Entry{Op: op, Account: "haller", Key: key, ClaimID: id, Outcome: o}
}

func TestBook(t *testing.T) {
	a, b := claim("k", "a"), claim("k", "b")
	finish, lost := ended(OpFinish, "k", "a", sagewire.Complete), ended(OpFinish, "k", "a", sagewire.Unknown)
	release, settleRan := ended(OpRelease, "k", "a", ""), ended(OpResolve, "k", "a", sagewire.Complete)
	settleNot := ended(OpResolve, "k", "a", sagewire.NotRun)
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
		{"unknown stays", []Entry{a, lost, b, release}, "yynn", "a", StateFinished},
		{"released is free", []Entry{a, release, b}, "yyy", "b", StateClaimed},
		{"late copy of a released claim", []Entry{a, release, a}, "yyn", "a", StateReleased},
		{"finish of another's claim", []Entry{a, ended(OpFinish, "k", "b", sagewire.Complete)}, "yn", "a", StateClaimed},
		{"release of another's claim", []Entry{a, ended(OpRelease, "k", "b", "")}, "yn", "a", StateClaimed},
		{"release after another claim", []Entry{a, release, b, release}, "yyyn", "b", StateClaimed},
		{"settled as run", []Entry{a, lost, settleRan, b}, "yyyn", "a", StateFinished},
		{"settled as not run", []Entry{a, lost, settleNot, b}, "yyyy", "b", StateClaimed},
		{"complete isn't settled", []Entry{a, finish, settleNot}, "yyn", "a", StateFinished},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var book ClaimLog
			effect := ""
			for i := range tt.entries {
				if book.Apply(&tt.entries[i]) {
					effect += "y"
				} else {
					effect += "n"
				}
			}
			assert.Equal(t, tt.effect, effect)
			r, ok := book.Record("haller", "k")
			require.True(t, ok)
			assert.Equal(t, tt.id, r.ClaimID)
			assert.Equal(t, tt.state, r.State)
			again, err := DecodeClaimLog(book.Encode())
			require.NoError(t, err)
			assert.Equal(t, book.Records(), again.Records())
		})
	}
}

func TestUnsettled(t *testing.T) {
	r := Record{State: StateClaimed, Deadline: testDeadline}
	assert.False(t, r.Unresolved(testDeadline))
	assert.True(t, r.Unresolved(testDeadline.Add(1)))
	assert.True(t, (&Record{State: StateFinished, Outcome: sagewire.Unknown}).Unresolved(testDeadline))
	assert.False(t, (&Record{State: StateFinished, Outcome: sagewire.Complete}).Unresolved(testDeadline.Add(1)))
	assert.False(t, (&Record{State: StateReleased}).Unresolved(testDeadline.Add(1)))
}

// Whatever entries arrive in whatever order, a key passes from one claim to another only after the
// first was released or settled as not run, and decoding gives the same state.
func TestBookProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var book ClaimLog
		last := make(map[string]Record)
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			key, id := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			e := claim(key, id)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 1:
				e = ended(OpFinish, key, id, rapid.SampledFrom([]sagewire.Outcome{sagewire.Complete, sagewire.Unknown}).Draw(t, "o"))
			case 2:
				e = ended(OpRelease, key, id, "")
			case 3:
				e = ended(OpResolve, key, id, rapid.SampledFrom([]sagewire.Outcome{sagewire.Complete, sagewire.NotRun}).Draw(t, "o"))
			}
			book.Apply(&e)
			if r, ok := book.Record("haller", key); ok {
				if old, had := last[key]; had && old.ClaimID != r.ClaimID && old.State != StateReleased {
					t.Fatalf("%s passed from %+v to %+v", key, old, r)
				}
				last[key] = r
			}
		}
		again, err := DecodeClaimLog(book.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(again.Records()) != fmt.Sprint(book.Records()) {
			t.Fatalf("decoded %v, have %v", again.Records(), book.Records())
		}
	})
}

func FuzzDecodeBook(f *testing.F) {
	var book ClaimLog
	for _, e := range []Entry{claim("k", "a"), ended(OpFinish, "k", "a", sagewire.Unknown), ended(OpResolve, "k", "a", sagewire.NotRun), claim("k", "b")} {
		book.Apply(&e)
	}
	f.Add(book.Encode())
	f.Add([]byte("{}\n"))
	f.Add((&ClaimLog{encoded: []byte("{}\n")}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		book, err := DecodeClaimLog(b)
		if err != nil {
			return
		}
		e := claim("fresh", "z")
		book.Apply(&e)
		again, err := DecodeClaimLog(book.Encode())
		if err != nil {
			t.Fatalf("own encoding: %v", err)
		}
		if fmt.Sprint(again.Records()) != fmt.Sprint(book.Records()) {
			t.Fatalf("decoded %v, have %v", again.Records(), book.Records())
		}
	})
}

// A node runs out of memory: an object of a few KB decompresses to more than any object may hold.
func TestDecodeBookIsBounded(t *testing.T) {
	bomb := (&ClaimLog{encoded: make([]byte, 4*maxLines)}).Encode()
	require.Less(t, len(bomb), maxLines/8)
	_, err := DecodeClaimLog(bomb)
	require.ErrorIs(t, err, ErrInvalidEntry)
	_, err = DecodeClaimLog([]byte("no gzip"))
	require.ErrorIs(t, err, ErrInvalidEntry)
}

func BenchmarkEncode(b *testing.B) {
	var book ClaimLog
	for i := range 400 {
		e := claim(fmt.Sprintf("1764700000%03d-%016x", i, i*7919), fmt.Sprintf("%032x", i*104729))
		book.Apply(&e)
	}
	for b.Loop() {
		book.Encode()
	}
}

func BenchmarkApply(b *testing.B) {
	var book ClaimLog
	i := 0
	for b.Loop() {
		e := claim(fmt.Sprint(i), "a")
		book.Apply(&e)
		i++
	}
}
