package sagerollout

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrCountKey is returned for text that is not a [CountKey].
var ErrCountKey = errors.New("malformed rollout count key")

// Arm is a group of upstreams that a request may be sent to.
type Arm uint8

// The arms.
const (
	// ArmAny is all versions. It is used when no order is running.
	ArmAny Arm = iota
	// ArmBaseline is all versions but the target.
	ArmBaseline
	// ArmTarget is the version that the traffic is to be moved to.
	ArmTarget
	// ArmLast is all versions, those that were rolled back or withdrawn too. It is used when no other arm can serve.
	ArmLast
)

// CountKey identifies a count of answers.
type CountKey struct {
	OrderID uint64
	Arm     Arm
	Bad     bool
	Route   string
}

// String returns the key in the form that is sent to peers.
func (k CountKey) String() string {
	bad := "0"
	if k.Bad {
		bad = "1"
	}
	return strconv.FormatUint(k.OrderID, 36) + "/" + strconv.Itoa(int(k.Arm)) + "/" + bad + "/" + k.Route
}

// ParseCountKey parses the result of [CountKey.String].
func ParseCountKey(s string) (CountKey, error) {
	f := strings.SplitN(s, "/", 4)
	if len(f) != 4 {
		return CountKey{}, fmt.Errorf("%q: %w", s, ErrCountKey)
	}
	order, err := strconv.ParseUint(f[0], 36, 64)
	if err != nil {
		return CountKey{}, fmt.Errorf("order ID in %q: %w", s, ErrCountKey)
	}
	arm, err := strconv.ParseUint(f[1], 10, 8)
	if err != nil || Arm(arm) != ArmBaseline && Arm(arm) != ArmTarget {
		return CountKey{}, fmt.Errorf("arm in %q: %w", s, ErrCountKey)
	}
	if f[2] != "0" && f[2] != "1" {
		return CountKey{}, fmt.Errorf("outcome in %q: %w", s, ErrCountKey)
	}
	return CountKey{OrderID: order, Arm: Arm(arm), Bad: f[2] == "1", Route: f[3]}, nil
}

// Count is a number of good and of bad answers.
type Count struct{ Good, Bad int }

// Total returns the number of all answers.
func (c Count) Total() int { return c.Good + c.Bad }

// ArmCounts contains the answers of both arms on a route.
type ArmCounts struct{ Baseline, Target Count }

// Evidence contains an order's answers from all nodes by route.
type Evidence map[string]ArmCounts

// CollectEvidence returns the evidence on an order from counts by the text of their [CountKey]. Malformed keys and
// keys of other orders are skipped.
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

// Sum returns the answers on all routes.
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
