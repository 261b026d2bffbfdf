package sagewire

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidPriority reports a priority word outside the defined set.
var ErrInvalidPriority = errors.New("unknown priority")

// Priority is the class of a request; a lower number is served first.
type Priority int

// The priority classes.
const (
	Urgent Priority = iota
	Normal
	Bulk
)

// NumPriorities is the number of priority classes.
const NumPriorities = 3

var priorityNames = [NumPriorities]string{"urgent", "normal", "bulk"}

// String returns the name of p as it stands in headers and settings.
func (p Priority) String() string {
	if p < 0 || int(p) >= NumPriorities {
		return fmt.Sprintf("priority(%d)", int(p))
	}
	return priorityNames[p]
}

// ParsePriority returns the class named by s; the empty string is [Normal].
func ParsePriority(s string) (Priority, error) {
	if s == "" {
		return Normal, nil
	}
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), nil
		}
	}
	return 0, fmt.Errorf("priority %q (want urgent, normal or bulk): %w", s, ErrInvalidPriority)
}

// MarshalText implements [encoding.TextMarshaler].
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (p *Priority) UnmarshalText(b []byte) error {
	v, err := ParsePriority(string(b))
	if err != nil {
		return err
	}
	*p = v
	return nil
}
