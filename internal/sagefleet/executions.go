package sagefleet

import (
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
