package sagefleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// Executions asks every application how often it ran each idempotency key, and adds them up.
func (f *Fleet) Executions(ctx context.Context) (map[string]int, error) {
	n := make(map[string]int)
	for _, u := range f.Layout.Upstreams {
		if u.Kind != sageconfig.Application {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/standin/executions", nil)
		if err != nil {
			return nil, fmt.Errorf("executions of %s: %w", u.Name, err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, fmt.Errorf("executions of %s: %w", u.Name, err)
		}
		var m map[string]sagestandin.Execution
		err = json.NewDecoder(res.Body).Decode(&m)
		_ = res.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("executions of %s: %w", u.Name, err)
		}
		for k, e := range m {
			n[k] += e.Count
		}
	}
	return n, nil
}

// SetFaults replaces the faults of the stand-in at an address.
func SetFaults(ctx context.Context, addr string, p sagestandin.FaultPlan) error {
	b, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/standin/faults", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("set faults of %s: %s: %w", addr, res.Status, sagestandin.ErrInvalidFault)
	}
	return nil
}
