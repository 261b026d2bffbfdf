package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// slowEvents returns an upstream that sends an event every 100 ms. It waits for the first one for as long as given. ended is closed
// when its connection ends, or after all events.
func slowEvents(first time.Duration, n int, ended chan<- struct{}) upstream {
	return func(c net.Conn, req *http.Request) {
		defer close(ended)
		time.Sleep(first)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testID, req.Header.Get(testID), testSeal); err != nil {
			return
		}
		for i := range n {
			e := fmt.Sprintf("id: %d\ndata: w\n\n", i+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// Prevents a stream from going on at another upstream beside the one at which a lost node began it over this one, and the loss of
// one node from ending what others relay, or what can't be sent again.
func TestStreamsOfLostPeersAreCancelled(t *testing.T) {
	notResumable := testRoute(sageroute.Stream)
	notResumable.Resumable = false
	for _, tt := range []struct {
		name  string
		route sageroute.Route
		from  string
		first time.Duration
		ends  bool
	}{
		{"stream of the lost node", testRoute(sageroute.Stream), "vm1", 0, true},
		{"before its first event", testRoute(sageroute.Stream), "vm1", 180 * time.Millisecond, true},
		{"stream of another node", testRoute(sageroute.Stream), "vm3", 0, false},
		{"stream that can't be resumed", notResumable, "vm1", 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan struct{})
				f := newFakeFleet(t, tt.route, map[string]upstream{"a": slowEvents(tt.first, 20, ended), "b": events(1, 20, true)})
				s := f.service()
				req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/x", nil)
				for k, v := range map[string]string{testID: "id1", testKey: "good", headerRelayFrom: tt.from, headerRelayService: "s"} {
					req.Header.Set(k, v)
				}
				aborted := make(chan bool, 1)
				go func() {
					defer func() { aborted <- recover() != nil }()
					s.ServeRelayed(httptest.NewRecorder(), req)
				}()
				time.Sleep(150 * time.Millisecond)
				lost := time.Now()
				s.CancelRelayed("vm1")
				require.Equal(t, tt.ends, <-aborted)
				<-ended
				if tt.ends {
					require.Less(t, time.Since(lost), 400*time.Millisecond)
				}
				require.Len(t, f.sent, 1, "it isn't sent on")
				require.NotContains(t, f.unanswered, "a", "it says nothing about the upstream")
			})
		})
	}
}
