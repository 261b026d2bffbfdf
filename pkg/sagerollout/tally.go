package sagerollout

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrCountKey reports the key of a count that can't be read.
var ErrCountKey = errors.New("malformed key of a rollout's count")

// Arm is the group of upstreams that a request goes to.
type Arm uint8

// The arms.
const (
	// ArmAny is every version: no order runs.
	ArmAny Arm = iota
	// ArmBaseline is every version but the target.
	ArmBaseline
	// ArmTarget is the version that the traffic is to be moved to.
	ArmTarget
)

// CountKey names one of a rollout's counts.
type CountKey struct {
	OrderID uint64
	Arm     Arm
	Bad     bool
	Route   string
}

// String returns the key as it goes to other nodes.
func (k CountKey) String() string {
	bad := "0"
	if k.Bad {
		bad = "1"
	}
	return strconv.FormatUint(k.OrderID, 36) + "/" + strconv.Itoa(int(k.Arm)) + "/" + bad + "/" + k.Route
}

// ParseCountKey reads what [Key.String] returned.
func ParseCountKey(s string) (CountKey, error) {
	f := strings.SplitN(s, "/", 4)
	if len(f) != 4 {
		return CountKey{}, fmt.Errorf("%q: %w", s, ErrCountKey)
	}
	order, err := strconv.ParseUint(f[0], 36, 64)
	if err != nil {
		return CountKey{}, fmt.Errorf("order of %q: %w", s, ErrCountKey)
	}
	arm, err := strconv.ParseUint(f[1], 10, 8)
	if err != nil || Arm(arm) != ArmBaseline && Arm(arm) != ArmTarget {
		return CountKey{}, fmt.Errorf("arm of %q: %w", s, ErrCountKey)
	}
	if f[2] != "0" && f[2] != "1" {
		return CountKey{}, fmt.Errorf("outcome of %q: %w", s, ErrCountKey)
	}
	return CountKey{OrderID: order, Arm: Arm(arm), Bad: f[2] == "1", Route: f[3]}, nil
}

// Count is a number of answers.
type Count struct{ Good, Bad int }

// Total returns the number of all answers.
func (c Count) Total() int { return c.Good + c.Bad }

// ArmCounts are the answers of both arms on one route.
type ArmCounts struct{ Baseline, Target Count }

// Evidence are an order's answers by route, from all nodes.
type Evidence map[string]ArmCounts

// CollectEvidence returns the evidence on an order in counts by key. Keys of other orders, and those that can't be
// read, are left out.
func CollectEvidence(order uint64, counts map[string]int) Evidence {
	out := make(Evidence)
	for s, n := range counts {
		k, err := ParseCountKey(s)
		if err != nil || k.OrderID != order {
			continue
		}
		p := out[k.Route]
		c := &p.Baseline
		if k.Arm == ArmTarget {
			c = &p.Target
		}
		if k.Bad {
			c.Bad += n
		} else {
			c.Good += n
		}
		out[k.Route] = p
	}
	return out
}

// Sum returns the answers on all routes together.
func (e Evidence) Sum() ArmCounts {
	var out ArmCounts
	for _, p := range e {
		out.Baseline.Good += p.Baseline.Good
		out.Baseline.Bad += p.Baseline.Bad
		out.Target.Good += p.Target.Good
		out.Target.Bad += p.Target.Bad
	}
	return out
}
