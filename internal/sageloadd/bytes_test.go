package sageloadd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagerpc/allot"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// BenchmarkControlBytes measures the traffic of grant requests per node, sent and received, among nodes that call
// each other over loopback. Idle nodes only vote for coordinators; each busy node starts about twenty requests a
// second at random engines and sends urgent requests for the units that it lacks.
func BenchmarkControlBytes(b *testing.B) {
	for _, c := range []struct {
		nodes, engines int
		busy           bool
	}{{8, 12, false}, {8, 12, true}, {8, 30, false}, {16, 30, false}, {16, 60, false}} {
		b.Run(fmt.Sprintf("%dnodes/%dengines/busy=%v", c.nodes, c.engines, c.busy), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(controlBytes(b, c.nodes, c.engines, c.busy), "B/s/node")
			}
		})
	}
}

// measurePeriod is how long bytes are counted.
const measurePeriod = 6 * time.Second

func controlBytes(b *testing.B, nodes, engines int, busy bool) float64 {
	engine := httptest.NewServer(http.HandlerFunc(serveReport))
	defer engine.Close()
	f := &fleet{state: sageconfig.NewState()}
	for i := range engines {
		f.state.Apply(sageconfig.Entry{TicketNumber: 2, Change: sageconfig.Change{
			Key: sageconfig.EntryKey{Kind: sageconfig.KindUpstream, Name: fmt.Sprintf("derby-engine-%03d", i)},
			Upstream: &sageconfig.Upstream{Kind: sageconfig.Engine, DataCentre: "derby", MaxInFlight: 16,
				Address: strings.TrimPrefix(engine.URL, "http://")},
		}})
	}
	var roster []sageload.Member
	var servers []*sagepeer.Server
	for range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		servers = append(servers, &sagepeer.Server{Listener: l, Key: "k"})
		roster = append(roster, sageload.Member{Name: l.Addr().String(), DataCentre: "derby"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	totalBytes := func() (n int64) {
		for _, s := range servers {
			n += s.Bytes()
		}
		return n
	}
	limits := testLimits
	limits.GrantDuration, limits.PromiseDuration = 4*time.Second, 4*time.Second
	for i, m := range roster {
		s := &Service{Node: m.Name, Roster: roster, Config: f, Peers: &sagepeer.Client{Key: "k"}, Limits: limits, Floor: 1, RampCompletions: 1}
		servers[i].Mount(allot.NewAllotServer(s))
		go func() { _ = servers[i].Run(ctx) }()
		go func() { _ = s.Run(ctx) }()
		if busy {
			go sendRequests(ctx, s, engines)
		}
	}
	time.Sleep(3 * limits.GrantDuration)
	before := totalBytes()
	time.Sleep(measurePeriod)
	// Only servers count bytes. Every byte passes one server and one client, so the traffic of a node is twice
	// the average of the servers.
	return 2 * float64(totalBytes()-before) / measurePeriod.Seconds() / float64(nodes)
}

// sendRequests starts about twenty requests a second at random engines, each of which takes half a second.
func sendRequests(ctx context.Context, s *Service, engines int) {
	for ctx.Err() == nil {
		name := fmt.Sprintf("derby-engine-%03d", rand.IntN(engines))
		if s.Acquire(name, time.Now()) {
			time.AfterFunc(500*time.Millisecond, func() { s.Release(name, time.Now(), true) })
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestSizeOfGrantRequest(t *testing.T) {
	req := &allot.AskRequest{Node: "10.0.0.1:7201", Holder: "78gcdu0edbfsb", EchoHome: "njic1gpv6m523"}
	res := &allot.AskResponse{Home: "njic1gpv6m523"}
	for i := range 6 {
		req.Wants = append(req.Wants, &allot.Want{Upstream: fmt.Sprintf("derby-engine-%03d", i), Seq: 1 << 20, Echo: 1 << 20, Over: 2, Units: 3, Recognise: true})
		res.Grants = append(res.Grants, encodeGrant(i, sageload.Grant{Seq: 1 << 20, Units: 3, Cap: 16,
			BootID: shortID("a9a536d1-550e-4aad-a01f-a5568754a1a0"), ReportFresh: true, Report: sageload.Report{InFlight: 12, CacheGeneration: 3, AsOf: time.Now()}}))
	}
	t.Logf("six upstreams: request %d bytes, response %d bytes", proto.Size(req), proto.Size(res))
	require.Less(t, proto.Size(req)+proto.Size(res), 1000, "one request for six upstreams and its response")
}
