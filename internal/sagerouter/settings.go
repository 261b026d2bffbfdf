package sagerouter

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// maxLinkMbps is far above the link speed of any VM. It rejects settings in the wrong unit.
const maxLinkMbps = 1_000_000

// ErrSettings reports invalid settings.
var ErrSettings = errors.New("unusable settings")

// Listen holds the addresses that a node listens on. The server of an empty one is disabled.
type Listen struct {
	Entry     string `json:"entry"`
	Readiness string `json:"readiness"`
	Directory string `json:"directory"`
	Operator  string `json:"operator"`
	// Mesh is the address for the other nodes, both TCP and UDP. All nodes use the same port.
	Mesh string `json:"mesh"`
}

// Bounds are the limits that the fleet has to meet.
type Bounds struct {
	// KeyWithinMillis is the time within which a revoked key must be rejected by all nodes.
	KeyWithinMillis int `json:"key_within_millis"`
	// ConfigWithinMillis, UpstreamWithinMillis and ClosedWithinMillis are the times within which a new configuration,
	// the removal of an upstream, and a data centre that is taken out of service must take effect on all nodes that
	// reach the store.
	ConfigWithinMillis   int `json:"config_within_millis"`
	UpstreamWithinMillis int `json:"upstream_within_millis"`
	ClosedWithinMillis   int `json:"closed_within_millis"`
	// QuarantineWithinMillis is the time within which a quarantined request must be refused by all nodes that reach
	// the store; 0 means the default.
	QuarantineWithinMillis int `json:"quarantine_within_millis"`
	// LoadCap limits the load of an upstream to a multiple of the mean load of its service; 0 means the default.
	LoadCap float64 `json:"load_cap"`
	// RetryRatio, RetrySlack and RetryWindowSeconds limit the retries of all nodes together.
	RetryRatio         float64 `json:"retry_ratio"`
	RetrySlack         float64 `json:"retry_slack"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// DivideCapacity says that accounts that ask a service for more than it has capacity for are held to their shares. It needs
	// accounts, routes with objectives and upstreams that register their slots.
	DivideCapacity bool `json:"divide_capacity"`
	// Rollouts limits the requests that a bad version of a service receives in a rollout; nil disables rollouts.
	Rollouts *RolloutBounds `json:"rollouts"`
	// StopWithinSeconds is the time within which the process must end after a request to stop.
	StopWithinSeconds float64 `json:"stop_within_seconds"`
}

// RolloutBounds are the limits that the fleet has to meet in rollouts.
type RolloutBounds struct {
	// ExposedShare and ExposedSlack limit the requests that a bad version receives between an order and its deadline:
	// ExposedShare times the requests of the service, plus ExposedSlack.
	ExposedShare float64 `json:"exposed_share"`
	ExposedSlack float64 `json:"exposed_slack"`
	// UndoWithinMillis is the time after which a version that was found bad must not receive requests.
	UndoWithinMillis int `json:"undo_within_millis"`
}

// rollouts converts the bounds on rollouts. Rollouts must not be nil.
func (b *Bounds) rollouts() sagerollout.Bounds {
	return sagerollout.Bounds{ExposedShare: b.Rollouts.ExposedShare, ExposedSlack: b.Rollouts.ExposedSlack}
}

// Settings are the settings of a node.
type Settings struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Listen     Listen `json:"listen"`
	// Seeds are addresses of some nodes. Only their hosts are used; the port is that of Listen.Mesh.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool `json:"first_start"`
	// Store is the address of the platform's store.
	Store    string `json:"store"`
	Bounds   Bounds `json:"bounds"`
	MemoryMB int    `json:"memory_mb"`
	// SourceIP is the IP address from which connections to upstreams are opened; empty leaves the choice to the kernel.
	SourceIP string `json:"source_ip"`
	// LinkMbps is the bandwidth of the VM's link; 0 if unknown. Nodes with fast links act as aggregators.
	LinkMbps float64 `json:"link_mbps"`
}

// ReadSettings decodes and checks settings.
func ReadSettings(r io.Reader) (Settings, error) {
	var s Settings
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("decode: %v: %w", err, ErrSettings)
	}
	return s, s.Check()
}

// Check returns an error that describes the first invalid setting, or nil.
func (s *Settings) Check() error {
	if s.Node == "" {
		return fmt.Errorf("node has no name: %w", ErrSettings)
	}
	for _, a := range []struct{ name, value string }{{"listen.entry", s.Listen.Entry}, {"listen.mesh", s.Listen.Mesh}, {"store", s.Store}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s: %v: %w", a.name, err, ErrSettings)
		}
	}
	for _, a := range s.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("seeds: %v: %w", err, ErrSettings)
		}
	}
	if s.SourceIP != "" && net.ParseIP(s.SourceIP) == nil {
		return fmt.Errorf("source_ip %q: not an IP address: %w", s.SourceIP, ErrSettings)
	}
	if s.LinkMbps < 0 || s.LinkMbps > maxLinkMbps {
		return fmt.Errorf("link_mbps %v: not between 0 and %d: %w", s.LinkMbps, maxLinkMbps, ErrSettings)
	}
	b := &s.Bounds
	if b.ConfigWithinMillis <= 0 || b.UpstreamWithinMillis <= 0 || b.ClosedWithinMillis <= 0 {
		return fmt.Errorf("bounds: config_within_millis, upstream_within_millis and closed_within_millis must be above 0: %w", ErrSettings)
	}
	if b.QuarantineWithinMillis < 0 {
		return fmt.Errorf("bounds.quarantine_within_millis %d: below 0: %w", b.QuarantineWithinMillis, ErrSettings)
	}
	if r := b.Rollouts; r != nil && (r.ExposedShare <= 0 || r.ExposedShare > 1 || r.ExposedSlack < 0 || r.UndoWithinMillis <= 0) {
		return fmt.Errorf("bounds.rollouts: exposed_share must be in (0, 1], exposed_slack at least 0 and undo_within_millis above 0: %w", ErrSettings)
	}
	if b.LoadCap != 0 && b.LoadCap < 1 {
		return fmt.Errorf("bounds.load_cap %v: below 1, so that no upstream could take the mean load: %w", b.LoadCap, ErrSettings)
	}
	if b.KeyWithinMillis <= 0 || b.RetryWindowSeconds <= 0 || b.StopWithinSeconds <= 0 || b.RetryRatio < 0 || b.RetrySlack < 0 {
		return fmt.Errorf("bounds: key_within_millis, retry_window_seconds and stop_within_seconds must be above 0, retry_ratio and retry_slack not below 0: %w", ErrSettings)
	}
	return nil
}

// meshSeeds returns the mesh addresses of the seeds.
func (s *Settings) meshSeeds() []string {
	_, port, _ := net.SplitHostPort(s.Listen.Mesh) // checked by Check
	var out []string
	for _, a := range s.Seeds {
		host, _, _ := net.SplitHostPort(a) // checked by Check
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

func seconds(n float64) time.Duration { return sageclock.DurationOf(n, time.Second) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
