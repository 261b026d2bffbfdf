package sagegossipd_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagegossipd"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagerpc/exchange"
	"sagestand.example/sagestand/pkg/sagegossip"
	"sagestand.example/sagestand/pkg/sagemember"
)

const key = "key-of-the-nodes"

// start runs a node's exchange on loopback until the test ends.
func start(t *testing.T, hint string) (*sagemember.Table, *sagegossipd.Service, *sagepeer.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	tab := &sagemember.Table{Self: sagemember.Node{Address: addr, DataCentre: "derby"}, Limits: sagemember.DefaultLimits()}
	require.NoError(t, tab.Start())
	if hint != "" {
		tab.AddSeeds(hint)
	}
	client := &sagepeer.Client{Key: key}
	s := &sagegossipd.Service{
		Self: sagegossip.Peer{Address: addr, DataCentre: "derby"}, Peers: client, Members: tab, Period: 10 * time.Millisecond,
		Engine: sagegossip.Engine{Sections: []sagegossip.Section{tab}},
	}
	srv := &sagepeer.Server{Listener: l, Key: key}
	srv.Mount(exchange.NewExchangeServer(s))
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = srv.Run(ctx) })
	wait.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return tab, s, client
}

func TestNodesFindEachOtherOverTheWire(t *testing.T) {
	a, _, client := start(t, "")
	b, _, _ := start(t, a.LocalNode().Address)
	c, _, _ := start(t, a.LocalNode().Address)
	require.Eventually(t, func() bool {
		for _, tab := range []*sagemember.Table{a, b, c} {
			tab.Tick()
		}
		return len(a.Live()) == 3 && len(b.Live()) == 3 && len(c.Live()) == 3
	}, 20*time.Second, 20*time.Millisecond)
	require.Positive(t, client.Bytes())
}

// A node of another version sends parts that this one can't read. It must be told so, and the node must
// go on.
func TestGarbageOverTheWireIsRefused(t *testing.T) {
	a, s, client := start(t, "")
	ex := exchange.NewExchangeProtobufClient(client.URL(a.LocalNode().Address), client.HTTP())
	_, err := ex.Push(t.Context(), &exchange.PushRequest{Deltas: []*exchange.Part{nil, {Section: sagemember.SectionName, Data: []byte{0xff}}}})
	require.ErrorContains(t, err, "deltas")
	require.EqualValues(t, 1, s.Engine.Rejected())
	_, err = ex.Meet(t.Context(), &exchange.MeetRequest{Digests: make([]*exchange.Part, sagegossip.MaxParts+1)})
	require.ErrorContains(t, err, "digests")
	res, err := ex.Meet(t.Context(), &exchange.MeetRequest{Digests: []*exchange.Part{{Section: sagemember.SectionName, Data: []byte{1}}}})
	require.NoError(t, err)
	require.Len(t, res.GetDigests(), 1)
}
