package sagerouter

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagerollout"
)

// mostLinkMbps bounds what a link can be, far above what VMs have.
const mostLinkMbps = 1_000_000

// ErrSettings reports settings with which a node can't run.
var ErrSettings = errors.New("unusable settings")

// Listen holds the addresses of a node. An empty one is not served.
type Listen struct {
	Entry     string `json:"entry"`
	Readiness string `json:"readiness"`
	Directory string `json:"directory"`
	Operator  string `json:"operator"`
	// Mesh is for the other nodes, by TCP and UDP. All nodes use the same port.
	Mesh string `json:"mesh"`
}

// Bounds are what the fleet must keep.
type Bounds struct {
	// KeyWithinMillis is the time after which a key that was taken away must be useless everywhere.
	KeyWithinMillis int `json:"key_within_millis"`
	// ConfigWithinMillis, UpstreamWithinMillis and ClosedWithinMillis are the times after which a new
	// configuration, an upstream's leaving, and a data centre's going out of service must be in force
	// on all nodes that reach the store.
	ConfigWithinMillis   int `json:"config_within_millis"`
	UpstreamWithinMillis int `json:"upstream_within_millis"`
	ClosedWithinMillis   int `json:"closed_within_millis"`
	// QuarantineWithinMillis is the time after which a quarantined request must be refused on all nodes that reach
	// the store; 0 means the usual time.
	QuarantineWithinMillis int `json:"quarantine_within_millis"`
	// LoadCap is how many times the mean load of a service's upstreams one of them may have; 0 means the
	// usual cap.
	LoadCap float64 `json:"load_cap"`
	// RetryRatio, RetrySlack and RetryWindowSeconds bound the retries of all nodes together.
	RetryRatio         float64 `json:"retry_ratio"`
	RetrySlack         float64 `json:"retry_slack"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// Rollouts bound what a bad version of a service gets while the fleet moves traffic to it; nil if there
	// are no rollouts.
	Rollouts *RolloutBounds `json:"rollouts"`
	// StopWithinSeconds is the time from a request to stop until the process must have ended.
	StopWithinSeconds float64 `json:"stop_within_seconds"`
}

// RolloutBounds are what the fleet must keep in rollouts.
type RolloutBounds struct {
	// ExposedShare and ExposedSlack bound the requests that a bad version gets between an order and its
	// deadline: a share of those of its service, and a number.
	ExposedShare float64 `json:"exposed_share"`
	ExposedSlack float64 `json:"exposed_slack"`
	// UndoWithinMillis is the time after which a version that was found bad must get nothing more.
	UndoWithinMillis int `json:"undo_within_millis"`
}

// rollouts returns the bounds on rollouts.
func (b *Bounds) rollouts() sagerollout.Bounds {
	return sagerollout.Bounds{ExposedShare: b.Rollouts.ExposedShare, ExposedSlack: b.Rollouts.ExposedSlack}
}

// Settings of a node.
type Settings struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Listen     Listen `json:"listen"`
	// Seeds are addresses of some nodes; only their hosts count, the port is that of Listen.Mesh.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool `json:"first_start"`
	// Store is the address of the platform's store.
	Store    string `json:"store"`
	Bounds   Bounds `json:"bounds"`
	MemoryMB int    `json:"memory_mb"`
	// LinkMbps is how wide the VM's link is; 0 if unknown. Nodes with wide links pass news on.
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

// Check returns what is wrong, or nil.
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
	if s.LinkMbps < 0 || s.LinkMbps > mostLinkMbps {
		return fmt.Errorf("link_mbps %v: not between 0 and %d: %w", s.LinkMbps, mostLinkMbps, ErrSettings)
	}
	b := &s.Bounds
	if b.ConfigWithinMillis <= 0 || b.UpstreamWithinMillis <= 0 || b.ClosedWithinMillis <= 0 {
		return fmt.Errorf("bounds: what is in force must be so after some time: %w", ErrSettings)
	}
	if b.QuarantineWithinMillis < 0 {
		return fmt.Errorf("bounds.quarantine_within_millis %d: below 0: %w", b.QuarantineWithinMillis, ErrSettings)
	}
	if r := b.Rollouts; r != nil && (r.ExposedShare <= 0 || r.ExposedShare > 1 || r.ExposedSlack < 0 || r.UndoWithinMillis <= 0) {
		return fmt.Errorf("bounds.rollouts: a share of (0, 1], a slack of 0 or more and a time above zero are needed: %w", ErrSettings)
	}
	if b.LoadCap != 0 && b.LoadCap < 1 {
		return fmt.Errorf("bounds.load_cap %v: no upstream could have the mean load: %w", b.LoadCap, ErrSettings)
	}
	if b.KeyWithinMillis <= 0 || b.RetryWindowSeconds <= 0 || b.StopWithinSeconds <= 0 || b.RetryRatio < 0 || b.RetrySlack < 0 {
		return fmt.Errorf("bounds: times must be above zero and retries not below it: %w", ErrSettings)
	}
	return nil
}

// meshSeeds returns the seeds' mesh addresses.
func (s *Settings) meshSeeds() []string {
	_, port, _ := net.SplitHostPort(s.Listen.Mesh) // checked by Check
	var out []string
	for _, a := range s.Seeds {
		host, _, _ := net.SplitHostPort(a) // checked by Check
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
