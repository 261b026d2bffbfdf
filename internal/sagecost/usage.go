package sagecost

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidStat reports a malformed /proc/PID/stat.
var ErrInvalidStat = errors.New("malformed /proc stat")

// ticksPerSecond is the unit of processor time in /proc: USER_HZ, which is 100 on Linux.
const ticksPerSecond = 100

// Usage is the processor time that a process has used and its resident memory.
type Usage struct {
	CPU time.Duration
	RSS int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}
	// The name in parentheses may contain spaces, so the fields are counted from its end.
	_, rest, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 22 {
		return Usage{}, fmt.Errorf("stat of %d: %w", pid, ErrInvalidStat)
	}
	var n [3]int64
	for i, field := range []int{11, 12, 21} {
		if n[i], err = strconv.ParseInt(f[field], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("stat of %d: %v: %w", pid, err, ErrInvalidStat)
		}
	}
	return Usage{
		CPU: time.Duration(n[0]+n[1]) * time.Second / ticksPerSecond,
		RSS: n[2] * int64(os.Getpagesize()),
	}, nil
}
