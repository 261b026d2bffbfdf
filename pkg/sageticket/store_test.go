package sageticket

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "50", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// faults decides the fate of store operations, one step each.
type faults struct {
	sageobject.Memory
	// puts counts the conditional updates of the head and the shards.
	puts int
	// lose, down and crash name the put (1 is the first) whose answer is lost after its effect, that
	// is refused, or at which and after which everything fails. 0 is none.
	lose, down, crash int
	// blind makes the reads after a lost answer fail.
	blind, lost bool
	// heads holds the values that the head took.
	heads [][]byte
}

// Put notes the heads that were written, also when the answer is lost.
func (f *faults) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	v, err := f.Memory.Put(ctx, key, value, want)
	if key == HeadKey && (err == nil || errors.Is(err, sageobject.ErrUnknown)) {
		f.heads = append(f.heads, value)
	}
	return v, err
}

func newFaults() *faults {
	f := new(faults)
	f.Before = func(op sageobject.Op, _ string) error {
		if op == sageobject.OpPut {
			f.puts++
		}
		switch {
		case f.crash > 0 && f.puts >= f.crash, op == sageobject.OpPut && f.puts == f.down, f.blind && f.lost:
			return fmt.Errorf("injected: %w", sageobject.ErrUnavailable)
		}
		return nil
	}
	f.After = func(op sageobject.Op, _ string) error {
		if op == sageobject.OpPut && f.puts == f.lose {
			f.lost = true
			return fmt.Errorf("injected: %w", sageobject.ErrUnknown)
		}
		return nil
	}
	return f
}

// mend ends all faults.
func (f *faults) mend() { f.lose, f.down, f.crash, f.blind, f.lost = 0, 0, 0, false, false }

func dc(name string, in bool) sageconfig.Change {
	return sageconfig.Change{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: name},
		DataCentre: &sageconfig.DataCentre{InService: in},
	}
}

func upstream(name, dcName string) sageconfig.Change {
	return sageconfig.Change{
		Key: sageconfig.EntryKey{Kind: sageconfig.KindUpstream, Name: name},
		Upstream: &sageconfig.Upstream{
			Kind: sageconfig.Engine, Address: "127.0.0.1:1", DataCentre: dcName, MaxInFlight: 1,
		},
	}
}

func set(name string, ups ...string) sageconfig.Change {
	return sageconfig.Change{
		Key:         sageconfig.EntryKey{Kind: sageconfig.KindUpstreamSet, Name: name},
		UpstreamSet: &sageconfig.UpstreamSet{Upstreams: ups},
	}
}

func route(name, setName string) sageconfig.Change {
	return sageconfig.Change{
		Key:   sageconfig.EntryKey{Kind: sageconfig.KindRoute, Name: name},
		Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: setName},
	}
}

func ticket(number uint64, changes ...sageconfig.Change) *sageconfig.Ticket {
	return &sageconfig.Ticket{Number: number, Changes: changes}
}

// mustSubmit accepts tickets that have to succeed.
func mustSubmit(t testing.TB, a *Acceptor, ts ...*sageconfig.Ticket) {
	t.Helper()
	for _, tk := range ts {
		_, err := a.Submit(context.Background(), tk)
		require.NoError(t, err)
	}
}

// served has one data centre with one upstream behind one route.
func served() *sageconfig.Ticket {
	return ticket(1, dc("derby", true), upstream("e1", "derby"), set("s", "e1"), route("chat", "s"))
}
