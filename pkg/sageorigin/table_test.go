package sageorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

const second = sageclock.Instant(time.Second)

var (
	chatV1 = Origin{"chat", "v1"}
	chatV2 = Origin{"chat", "v2"}
)

// Prevents an account from finding or changing the origin of another account's stream.
func TestKeysOfAccountsDiffer(t *testing.T) {
	require.Equal(t, KeyOf("acc", "q1"), KeyOf("acc", "q1"))
	require.NotEqual(t, KeyOf("acc", "q1"), KeyOf("acc", "q2"))
	require.NotEqual(t, KeyOf("acc", "q1"), KeyOf("ac", "cq1"))
	require.NotEqual(t, KeyOf("", "q1"), KeyOf("q1", ""))
}

func TestRecordsEnd(t *testing.T) {
	var tab Table
	k := KeyOf("acc", "q1")
	tab.Put(second, Record{k, chatV1, 3 * second})
	tab.Put(second, Record{k, chatV1, 5 * second})
	tab.Put(second, Record{k, chatV1, 2 * second})
	got, age, ok := tab.Get(4*second, k)
	require.True(t, ok, "a record is extended, never shortened")
	require.Equal(t, chatV1, got)
	require.Equal(t, 3*time.Second, age)
	require.Len(t, tab.Records(4*second), 1)
	_, _, ok = tab.Get(5*second, k)
	require.False(t, ok)
	require.Empty(t, tab.Records(5*second))
	tab.Sweep(5 * second)
	require.Zero(t, tab.Len())
	tab.Put(6*second, Record{k, chatV1, 6 * second})
	require.Zero(t, tab.Len(), "a record that has ended isn't stored")
	tab.Put(6*second, Record{k, chatV2, 8 * second})
	got, _, ok = tab.Get(7*second, k)
	require.True(t, ok)
	require.Equal(t, chatV2, got, "an ended record doesn't contradict a later one")
}

// Prevents a stream of which two nodes report different versions from going on at either.
func TestContradictingRecordsLeaveVersionUnknown(t *testing.T) {
	var tab Table
	k := KeyOf("acc", "q1")
	for _, o := range []Origin{chatV1, chatV2, chatV1} {
		tab.Put(second, Record{k, o, 9 * second})
	}
	got, _, ok := tab.Get(2*second, k)
	require.True(t, ok)
	require.Equal(t, Origin{Service: "chat"}, got)
}

// Prevents a flood of streams from using up the memory.
func TestTableIsBounded(t *testing.T) {
	const limit = 100
	tab := Table{MaxRecords: limit}
	for i := range 50 * limit {
		now := sageclock.Instant(i) * second / 1000
		tab.Put(now, Record{KeyOf("acc", fmt.Sprint(i)), chatV1, now + 100*second})
		require.LessOrEqual(t, tab.Len(), limit)
		require.LessOrEqual(t, len(tab.queue), 2*limit+2)
	}
	_, _, ok := tab.Get(6*second, KeyOf("acc", fmt.Sprint(50*limit-limit)))
	require.True(t, ok, "the newest records are kept")
	_, _, ok = tab.Get(6*second, KeyOf("acc", fmt.Sprint(50*limit-limit-1)))
	require.False(t, ok)
}

func BenchmarkTablePut(b *testing.B) {
	var tab Table
	keys := make([]Key, 1<<12)
	for i := range keys {
		keys[i] = KeyOf("acc", fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := range b.N {
		now := sageclock.Instant(i) * second / 1000
		tab.Put(now, Record{keys[i%len(keys)], chatV1, now + 2*second})
	}
}

func ExampleTable() {
	var t Table
	now := sageclock.Instant(time.Minute)
	k := KeyOf("acc", "9c41d07b")
	t.Put(now, Record{Key: k, Origin: Origin{Service: "chat", Version: "v2"}, Until: now.Add(10 * time.Second)})
	fmt.Println(t.Get(now.Add(time.Second), k))
	fmt.Println(t.Get(now.Add(time.Second), KeyOf("other", "9c41d07b")))
	// Output:
	// {chat v2} 1s true
	// { } 0s false
}
