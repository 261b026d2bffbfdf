package sagemembers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// errList reports a VM list that can't be read.
var errList = errors.New("no VM list")

// maxList bounds the answer that is read.
const maxList = 1 << 20

// VMListClient reads the VM list over HTTP. URL and HTTP are set before first use.
type VMListClient struct {
	URL  string
	HTTP *http.Client
}

// listed is one entry of the VM list.
type listed struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// VMLister implements [VMLister]. Leaving ones are left out: there is no point in meeting them.
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
		return nil, fmt.Errorf("read VM list: status %d: %w", res.StatusCode, errList)
	}
	var vms []listed
	if err := json.NewDecoder(io.LimitReader(res.Body, maxList)).Decode(&vms); err != nil {
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
