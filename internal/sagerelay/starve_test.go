package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// serviceFleet is a fakeFleet with one upstream for each service, of the same name.
type serviceFleet struct{ *fakeFleet }

// Pick implements [Fleet].
func (f serviceFleet) Pick(q *Query) *Pick {
	return &Pick{Upstream: &sageupstream.Entry{ID: q.Service, Service: q.Service, Address: q.Service + ":80"}, Done: func() {}}
}

// newServiceFleet returns a fleet with a route /NAME/ for each upstream, and a service of a node of 136 MB.
func newServiceFleet(t *testing.T, ups map[string]upstream) *Service {
	t.Helper()
	f := newFakeFleet(t, testRoute(sageroute.Once), ups)
	var routes []sageroute.Route
	for name := range ups {
		r := testRoute(sageroute.Once)
		r.Name, r.Prefix, r.Services = name, "/"+name+"/", []sageroute.WeightedService{{Service: name, Weight: 1}}
		routes = append(routes, r)
	}
	var err error
	f.table, err = sageroute.New(1, routes, nil, []sageroute.Account{{Name: "acc", Keys: []string{"good"}}}, sageroute.Limits{BodyBytes: 1 << 20})
	require.NoError(t, err)
	s := f.service()
	s.Fleet, s.MaxBufferedBytes = serviceFleet{f}, 34<<20
	return s
}

// callService sends a request to an upstream and returns the status and the size of the response.
func callService(t *testing.T, s *Service, name, body string) (status, size int) {
	t.Helper()
	req, rec := testRequest(t.Context(), nil, body), httptest.NewRecorder()
	req.URL.Path = "/" + name + "/x"
	func() {
		defer func() { _ = recover() }() // an abort, once the test has failed
		s.ServeHTTP(rec, req)
	}()
	return rec.Code, rec.Body.Len()
}

// slowEndless sends a body without end, 3 MB a second.
func slowEndless(w net.Conn, _ *http.Request) {
	part := strings.Repeat("x", 30_000)
	for text := endlessHead + "\r\n"; ; text = part {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// chunkedBody sends a body of n bytes without its length.
func chunkedBody(n int) upstream {
	return func(w net.Conn, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", endlessHead, n, strings.Repeat("y", n)) // fails only if the node has closed the connection
	}
}

// statedBody sends a body of n bytes with its length.
func statedBody(n int) upstream {
	return func(w net.Conn, _ *http.Request) {
		_, _ = io.WriteString(w, endlessHead+"Content-Length: "+strconv.Itoa(n)+"\r\n\r\n"+strings.Repeat("y", n)) // as above
	}
}

// Prevents endless responses of some upstreams from taking the buffer that requests to others, and their responses, need.
func TestEndlessResponsesLeaveSpaceToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const faulty, callers, body, usual = 4, 50, 50_000, 10_000
		ups := map[string]upstream{"sound": chunkedBody(usual)}
		for i := range faulty {
			ups["faulty"+strconv.Itoa(i)] = slowEndless
		}
		s := newServiceFleet(t, ups)
		ended := make(chan int, faulty*callers)
		for i := range faulty * callers {
			go func() {
				status, _ := callService(t, s, "faulty"+strconv.Itoa(i%faulty), "")
				ended <- status
			}()
		}
		time.Sleep(time.Second)
		for range 200 {
			start := time.Now()
			status, size := callService(t, s, "sound", strings.Repeat("x", body))
			require.Equal(t, []int{http.StatusOK, usual}, []int{status, size}, "%d bytes in use", s.buffers.inUse())
			require.LessOrEqual(t, time.Since(start), 20*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
		for range faulty * callers {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, <-ended, "they may have run")
		}
		require.Zero(t, s.buffers.inUse())
	})
}

// Prevents endless responses of several upstreams from keeping large responses of sound ones from their callers.
func TestLargeResponsesBesideEndlessOnes(t *testing.T) {
	for name, answer := range map[string]upstream{"chunked": chunkedBody(maxPlainResponseBytes), "stated": statedBody(maxPlainResponseBytes)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const faulty, callers = 4, 50
				ups := map[string]upstream{"sound": answer}
				for i := range faulty {
					ups["faulty"+strconv.Itoa(i)] = slowEndless
				}
				s := newServiceFleet(t, ups)
				ended := make(chan struct{}, faulty*callers)
				for i := range faulty * callers {
					go func() {
						callService(t, s, "faulty"+strconv.Itoa(i%faulty), "")
						ended <- struct{}{}
					}()
				}
				time.Sleep(time.Second)
				large := make(chan int, 3)
				for range cap(large) {
					go func() {
						_, size := callService(t, s, "sound", "body")
						large <- size
					}()
				}
				for range cap(large) {
					require.Equal(t, maxPlainResponseBytes, <-large)
				}
				for range faulty * callers {
					<-ended
				}
				require.Zero(t, s.buffers.inUse())
			})
		})
	}
}
