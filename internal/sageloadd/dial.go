package sageloadd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
)

// loadPath is the path of an engine's load report.
const loadPath = "/v1/load"

// dialTimeout bounds the connection setup, and separately the exchange that reads the boot id.
const dialTimeout = time.Second

// ErrRestarted reports that an engine has restarted since the request got its unit.
var ErrRestarted = errors.New("upstream has restarted")

// Dial connects to an upstream for requests; the dispatcher uses it for every connection. If the upstream is an
// engine, Dial first reads the engine's load on the new connection and takes the boot id from it. The returned
// connection implements sageconn.BootIdentifier, and no request for another boot is sent on it.
//
// A restarted engine is cold and would be overloaded by the requests that were granted to it when it was warm;
// its coordinator may detect the restart a second later. A restart breaks all connections to the engine, so the
// next request dials, and Dial rejects it if its unit was granted for the earlier boot.
func (s *Service) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.init()
	expected, engine := s.expectedBoot(address)
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial upstream: %w", err)
	}
	if !engine {
		return c, nil
	}
	bootID, err := readBootID(c, address)
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("read boot id: %w", err)
	}
	s.observeBoot(address, bootID)
	if expected != "" && bootID != expected {
		_ = c.Close()
		return nil, fmt.Errorf("%s: %w", address, ErrRestarted)
	}
	return &bootConn{Conn: c, bootID: bootID}, nil
}

// bootConn is a connection to an engine together with the engine's boot id.
type bootConn struct {
	net.Conn

	bootID string
}

// BootID returns the boot id of the engine at the other end.
func (c *bootConn) BootID() string { return c.bootID }

// NetConn returns the TCP connection, whose options may be set.
func (c *bootConn) NetConn() net.Conn { return c.Conn }

func (s *Service) expectedBoot(address string) (id string, engine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byAddress[address]
	if u == nil || !u.engine {
		return "", false
	}
	return u.allotment.BootID(), true
}

func (s *Service) observeBoot(address, bootID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byAddress[address]
	if u == nil || u.allotment.BootID() == bootID {
		return
	}
	u.allotment.ObserveBoot(bootID)
	s.requestSoon()
}

// readBootID reads the load report on a new connection and leaves the connection ready for the next request.
func readBootID(c net.Conn, address string) (string, error) {
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return "", fmt.Errorf("set deadline: %w", err)
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+loadPath, nil)
	if err != nil {
		return "", fmt.Errorf("make request: %w", err)
	}
	if err := req.Write(c); err != nil {
		return "", fmt.Errorf("send: %w", err)
	}
	var head bytes.Buffer
	in := bufio.NewReaderSize(io.TeeReader(io.LimitReader(c, sageheader.MaxResponseBytes+maxReportBytes), &head), maxReportBytes)
	res, err := http.ReadResponse(in, req)
	if err != nil {
		return "", fmt.Errorf("receive: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := sageconn.CheckHead(head.Bytes()); err != nil {
		return "", fmt.Errorf("receive: %w", err)
	}
	r, err := decodeReport(res)
	if err != nil {
		return "", err
	}
	if in.Buffered() > 0 {
		return "", fmt.Errorf("bytes after the report: %w", ErrInvalidReport) // would be lost, or taken for another response
	}
	if res.Close {
		return "", fmt.Errorf("upstream closes the connection: %w", ErrInvalidReport)
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return "", fmt.Errorf("reset deadline: %w", err)
	}
	return r.BootID, nil
}
