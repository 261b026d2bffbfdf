package sagemembers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// errVMListStatus is returned when the platform doesn't respond with status 200.
var errVMListStatus = errors.New("unexpected status")

// maxListBytes limits the size of the response that is read.
const maxListBytes = 1 << 20

// VMListClient reads the VM list over HTTP. URL and HTTP must be set before first use.
type VMListClient struct {
	URL  string
	HTTP *http.Client
}

// vmEntry is one entry of the VM list.
type vmEntry struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// ListVMs implements [VMLister]. It omits VMs that are leaving, which are of no use as peers.
func (p *VMListClient) ListVMs(ctx context.Context) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+"/v1/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	res, err := p.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read VM list: status %d: %w", res.StatusCode, errVMListStatus)
	}
	var vms []vmEntry
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	addresses := make([]string, 0, len(vms))
	for _, v := range vms {
		if !v.Leaving {
			addresses = append(addresses, v.Address)
		}
	}
	return addresses, nil
}
