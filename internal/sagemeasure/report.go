package sagemeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of this package.
var (
	ErrNoSeeds       = errors.New("at least one seed is required")
	ErrInvalidSample = errors.New("sample has no metric name or its value is not finite")
	ErrIncomplete    = errors.New("incomplete measurement")
)

// Comparison says on which side of its limit a value must stay.
type Comparison string

// Comparisons of a [Target].
const (
	AtMost  Comparison = "at_most"
	AtLeast Comparison = "at_least"
)

// Target is a limit that a value should meet.
type Target struct {
	Comparison Comparison `json:"comparison"`
	Limit      float64    `json:"limit"`
}

// Met reports whether v meets the target.
func (t Target) Met(v float64) bool {
	if t.Comparison == AtLeast {
		return v >= t.Limit
	}
	return v <= t.Limit
}

// Sample is the value of a metric in a scenario, from a run with one seed.
type Sample struct {
	Scenario string
	Policy   string
	Metric   string
	Unit     string
	Value    float64
	// Target is nil for a value without a limit, such as that of a baseline.
	Target *Target
}

// Func runs a measurement with one seed. The same seed gives the same samples, except for [Claims].
type Func func(seed uint64) ([]Sample, error)

// Row holds the values of one metric over all seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Metric   string `json:"metric"`
	Unit     string `json:"unit"`
	// Values holds one value per seed, in the order of Report.Seeds.
	Values []float64 `json:"values"`
	Median float64   `json:"median"`
	Min    float64   `json:"min"`
	Max    float64   `json:"max"`
	Target *Target   `json:"target,omitempty"`
	// Met is set if the row has a target, and says whether every seed met it.
	Met *bool `json:"met,omitempty"`
}

// Report is the result of one measurement.
type Report struct {
	Measure string   `json:"measure"`
	Seeds   []uint64 `json:"seeds"`
	Rows    []Row    `json:"rows"`
}

// Run runs f with n consecutive seeds starting at first and aggregates the samples into a report. Rows
// are in the order in which the first seed returned them.
func Run(name string, f Func, first uint64, n int) (*Report, error) {
	if n < 1 {
		return nil, fmt.Errorf("%d seeds: %w", n, ErrNoSeeds)
	}
	r := &Report{Measure: name}
	for i := range n {
		seed := first + uint64(i)
		samples, err := f(seed)
		if err != nil {
			return nil, fmt.Errorf("%s with seed %d: %w", name, seed, err)
		}
		r.Seeds = append(r.Seeds, seed)
		for _, s := range samples {
			if err := r.add(s); err != nil {
				return nil, fmt.Errorf("%s with seed %d: %w", name, seed, err)
			}
		}
	}
	if err := r.aggregate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

// add appends a sample's value to its row.
func (r *Report) add(s Sample) error {
	if s.Metric == "" || math.IsNaN(s.Value) || math.IsInf(s.Value, 0) {
		return fmt.Errorf("%s %s %q has value %v: %w", s.Scenario, s.Policy, s.Metric, s.Value, ErrInvalidSample)
	}
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Scenario == s.Scenario && row.Policy == s.Policy && row.Metric == s.Metric {
			row.Values = append(row.Values, s.Value)
			return nil
		}
	}
	r.Rows = append(r.Rows, Row{
		Scenario: s.Scenario, Policy: s.Policy, Metric: s.Metric, Unit: s.Unit,
		Values: []float64{s.Value}, Target: s.Target,
	})
	return nil
}

// aggregate computes the median, the range and the targets of all rows.
func (r *Report) aggregate() error {
	for i := range r.Rows {
		row := &r.Rows[i]
		if len(row.Values) != len(r.Seeds) {
			return fmt.Errorf("%s %s %s has %d values for %d seeds: %w",
				row.Scenario, row.Policy, row.Metric, len(row.Values), len(r.Seeds), ErrIncomplete)
		}
		v := append([]float64(nil), row.Values...)
		sort.Float64s(v)
		row.Min, row.Max = v[0], v[len(v)-1]
		row.Median = (v[(len(v)-1)/2] + v[len(v)/2]) / 2
		if row.Target == nil {
			continue
		}
		met := row.Target.Met(row.Min) && row.Target.Met(row.Max)
		row.Met = &met
	}
	return nil
}

// Row returns the row of a scenario, policy and metric.
func (r *Report) Row(scenario, policy, metric string) (*Row, bool) {
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Scenario == scenario && row.Policy == policy && row.Metric == metric {
			return row, true
		}
	}
	return nil, false
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteMarkdown writes the report as a Markdown table.
func (r *Report) WriteMarkdown(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "| scenario | policy | metric | median | range over %d seeds | target |\n|---|---|---|---|---|---|\n", len(r.Seeds)); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for i := range r.Rows {
		row := &r.Rows[i]
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %s %s | %s to %s | %s |\n",
			row.Scenario, row.Policy, row.Metric, formatFigure(row.Median), row.Unit, formatFigure(row.Min), formatFigure(row.Max), row.verdict())
		if err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

func (row *Row) verdict() string {
	if row.Target == nil {
		return ""
	}
	outcome := "missed"
	if *row.Met {
		outcome = "met"
	}
	sign := "≤"
	if row.Target.Comparison == AtLeast {
		sign = "≥"
	}
	return sign + " " + formatFigure(row.Target.Limit) + ": " + outcome
}

// formatFigure formats v with four significant digits.
func formatFigure(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
