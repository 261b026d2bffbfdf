package sageburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Alert is how the people on call are notified of a burn rate.
type Alert string

// The alerts.
const (
	AlertNone   Alert = ""
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Window is a period over which the burn rate is measured, at the resolution of a level.
type Window struct {
	Name   string
	Length time.Duration
	level  int
}

// Windows are the windows of a report, shortest first.
var Windows = [...]Window{
	{Name: "5m", Length: 5 * time.Minute, level: 0},
	{Name: "30m", Length: 30 * time.Minute, level: 0},
	{Name: "1h", Length: time.Hour, level: 0},
	{Name: "6h", Length: 6 * time.Hour, level: 1},
	{Name: "3d", Length: 72 * time.Hour, level: 2},
}

// rule raises an alert if the burn rate exceeds rate in both windows.
type rule struct {
	short, long int
	rate        float64
	alert       Alert
}

// rules are those of the reference in the package comment, for a period of 30 days. The first match
// applies.
var rules = [...]rule{
	{short: 0, long: 2, rate: 14.4, alert: AlertPage},
	{short: 1, long: 3, rate: 6, alert: AlertPage},
	{short: 3, long: 4, rate: 1, alert: AlertTicket},
}

// Burn is the burn rate of one window.
type Burn struct {
	Window string `json:"window"`
	Count
	// Rate is the burn rate; at 1 the budget lasts exactly for the period of the objective.
	Rate float64 `json:"rate"`
}

// Line is the report of one account and priority.
type Line struct {
	Account   string            `json:"account"`
	Priority  sagewire.Priority `json:"priority"`
	Objective Objective         `json:"objective"`
	Burns     []Burn            `json:"burns"`
	Alert     Alert             `json:"alert,omitempty"`
	// P50Millis and P95Millis are quantiles of the time to the first byte since the nodes started,
	// accurate to a tenth of their value; 0 if no first byte was recorded.
	P50Millis int `json:"p50_millis"`
	P95Millis int `json:"p95_millis"`
}

// Report returns a line for each account and priority in the snapshot that has an objective.
func Report(s Snapshot, objectives []Objective, now time.Time) []Line {
	var lines []Line
	for i := range s.Series {
		x := &s.Series[i]
		o, ok := findObjective(objectives, x.Account, x.Priority)
		if !ok {
			continue
		}
		l := Line{Account: x.Account, Priority: x.Priority, Objective: o, P50Millis: x.quantile(0.5), P95Millis: x.quantile(0.95)}
		for _, w := range Windows {
			c := x.countWithin(w, now)
			l.Burns = append(l.Burns, Burn{Window: w.Name, Count: c, Rate: rate(c, o.Target)})
		}
		l.Alert = alert(l.Burns)
		lines = append(lines, l)
	}
	return lines
}

// countWithin returns the sum of the slots of a window that ends at now.
func (s *Series) countWithin(w Window, now time.Time) Count {
	l := levels[w.level]
	newest := l.slot(now)
	oldest := newest - int64(w.Length/l.step)
	var sum Count
	for n, c := range s.Slots[w.level] {
		if n > oldest && n <= newest {
			sum.add(c)
		}
	}
	return sum
}

func rate(c Count, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

func alert(burns []Burn) Alert {
	for _, r := range rules {
		if burns[r.short].Rate > r.rate && burns[r.long].Rate > r.rate {
			return r.alert
		}
	}
	return AlertNone
}

// quantile returns the q-quantile of the time to the first byte, in milliseconds.
func (s *Series) quantile(q float64) int {
	if s.Latency == nil {
		return 0
	}
	return int(hdrhistogram.Import(s.Latency).ValueAtQuantile(100 * q))
}

// Point is the burn rate of one slot, for a plot.
type Point struct {
	At   time.Time
	Rate float64
}

// History returns the burn rate of each minute of the last hour that had requests.
func (s *Series) History(target float64, now time.Time) []Point {
	l := levels[0]
	var out []Point
	for n := l.slot(now) - int64(l.slots) + 1; n <= l.slot(now); n++ {
		if c, ok := s.Slots[0][n]; ok {
			out = append(out, Point{At: time.Unix(0, n*int64(l.step)), Rate: rate(c, target)})
		}
	}
	return out
}
