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

// faultyStore is a store in memory that injects faults.
type faultyStore struct {
	sageobject.Memory
	// puts counts the puts.
	puts int
	// The fields below are numbers of puts, from 1; 0 injects no fault. loseResponse loses the response
	// after the put took effect, refuse rejects the put, crashFrom fails this put and every later
	// operation.
	loseResponse, refuse, crashFrom int
	// failReadBack makes all operations fail after a lost response; responseLost records that one was
	// lost.
	failReadBack, responseLost bool
	// heads holds the values that were written to the head.
	heads [][]byte
}

// Put records the heads that were written, also when the response is lost.
func (f *faultyStore) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	v, err := f.Memory.Put(ctx, key, value, want)
	if key == HeadKey && (err == nil || errors.Is(err, sageobject.ErrUnknown)) {
		f.heads = append(f.heads, value)
	}
	return v, err
}

func newFaultyStore() *faultyStore {
	f := new(faultyStore)
	f.Before = func(op sageobject.Op, _ string) error {
		if op == sageobject.OpPut {
			f.puts++
		}
		switch {
		case f.crashFrom > 0 && f.puts >= f.crashFrom, op == sageobject.OpPut && f.puts == f.refuse, f.failReadBack && f.responseLost:
			return fmt.Errorf("injected: %w", sageobject.ErrUnavailable)
		}
		return nil
	}
	f.After = func(op sageobject.Op, _ string) error {
		if op == sageobject.OpPut && f.puts == f.loseResponse {
			f.responseLost = true
			return fmt.Errorf("injected: %w", sageobject.ErrUnknown)
		}
		return nil
	}
	return f
}

// clearFaults removes all faults.
func (f *faultyStore) clearFaults() {
	f.loseResponse, f.refuse, f.crashFrom, f.failReadBack, f.responseLost = 0, 0, 0, false, false
}

func dataCentre(name string, in bool) sageconfig.Change {
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

func upstreamSet(name string, ups ...string) sageconfig.Change {
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

// mustSubmit submits tickets that must be accepted.
func mustSubmit(t testing.TB, a *Acceptor, ts ...*sageconfig.Ticket) {
	t.Helper()
	for _, tk := range ts {
		_, err := a.Submit(context.Background(), tk)
		require.NoError(t, err)
	}
}

// servedTicket creates a route to one upstream in one data centre.
func servedTicket() *sageconfig.Ticket {
	return ticket(1, dataCentre("derby", true), upstream("e1", "derby"), upstreamSet("s", "e1"), route("chat", "s"))
}
