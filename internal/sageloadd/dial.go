package sageloadd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// loadPath is where an engine reports its load.
const loadPath = "/v1/load"

// dialTimeout bounds the connection and the first read on it.
const dialTimeout = time.Second

// ErrRestarted says that an engine has restarted since the request got its unit.
var ErrRestarted = errors.New("upstream has restarted")

// Dial connects to an upstream for requests; a dispatcher uses it for every connection. To an engine
// it first reads the load on the new connection, for the boot id.
//
// The connection knows its boot from then on (sagedispatch.Booted), and no attempt for another boot
// goes out on it.
//
// A restarted engine is cold and falls over under the units that were granted for its warm
// predecessor; the home may learn of the restart a second later. The restart breaks every old
// connection, so whoever comes next dials, sees the new boot id here, and nothing is sent on units
// of the earlier boot.
func (s *Service) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.init()
	expected, engine := s.boot(address)
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial upstream: %w", err)
	}
	if !engine {
		return c, nil
	}
	boot, err := bootOf(c, address)
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("read boot id: %w", err)
	}
	s.seen(address, boot)
	if expected != "" && boot != expected {
		_ = c.Close()
		return nil, fmt.Errorf("%s: %w", address, ErrRestarted)
	}
	return &booted{Conn: c, boot: boot}, nil
}

// booted is a connection to one boot of an engine.
type booted struct {
	net.Conn

	boot string
}

// BootID returns the boot that the connection leads to.
func (c *booted) BootID() string { return c.boot }

func (s *Service) boot(address string) (id string, engine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byAddress[address]
	if u == nil || !u.engine {
		return "", false
	}
	return u.holding.BootID(), true
}

func (s *Service) seen(address, boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byAddress[address]
	if u == nil || u.holding.BootID() == boot {
		return
	}
	u.holding.ObserveBoot(boot)
	s.hurry()
}

// bootOf reads the load on a new connection and leaves it ready for the next request.
func bootOf(c net.Conn, address string) (string, error) {
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
	res, err := http.ReadResponse(bufio.NewReaderSize(c, maxReport), req)
	if err != nil {
		return "", fmt.Errorf("receive: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	r, err := decodeReport(res)
	if err != nil {
		return "", err
	}
	if res.Close {
		return "", fmt.Errorf("upstream closes the connection: %w", ErrInvalidReport)
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return "", fmt.Errorf("reset deadline: %w", err)
	}
	return r.BootID, nil
}
