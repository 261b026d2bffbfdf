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
	ErrNoSeeds       = errors.New("measure needs at least one seed")
	ErrInvalidSample = errors.New("sample is not a finite number or has no name")
	ErrIncomplete    = errors.New("a seed left out a figure that others gave")
)

// Comparison says on which side of its limit a figure must stay.
type Comparison string

// The comparisons.
const (
	AtMost  Comparison = "at_most"
	AtLeast Comparison = "at_least"
)

// Target is the limit that a figure is meant to keep.
type Target struct {
	Comparison Comparison `json:"comparison"`
	Limit      float64    `json:"limit"`
}

// Met reports whether v keeps the limit.
func (t Target) Met(v float64) bool {
	if t.Comparison == AtLeast {
		return v >= t.Limit
	}
	return v <= t.Limit
}

// Sample is one figure of one seed.
type Sample struct {
	Scenario string
	Policy   string
	Metric   string
	Unit     string
	Value    float64
	// Target is nil for a figure without a limit, such as that of a baseline.
	Target *Target
}

// Func runs one measure with one seed. The same seed gives the same samples.
type Func func(seed uint64) ([]Sample, error)

// Row holds one figure over all seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Metric   string `json:"metric"`
	Unit     string `json:"unit"`
	// Values has the figure of each seed in the order of Report.Seeds.
	Values []float64 `json:"values"`
	Median float64   `json:"median"`
	Min    float64   `json:"min"`
	Max    float64   `json:"max"`
	Target *Target   `json:"target,omitempty"`
	// Met is set for a row with a target: every seed kept it.
	Met *bool `json:"met,omitempty"`
}

// Report is the result of one measure.
type Report struct {
	Measure string   `json:"measure"`
	Seeds   []uint64 `json:"seeds"`
	Rows    []Row    `json:"rows"`
}

// Run runs f with n seeds from the first on and folds the samples into a report. Rows keep the order
// in which the first seed gave them.
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

func (r *Report) add(s Sample) error {
	if s.Metric == "" || math.IsNaN(s.Value) || math.IsInf(s.Value, 0) {
		return fmt.Errorf("%s %s %q is %v: %w", s.Scenario, s.Policy, s.Metric, s.Value, ErrInvalidSample)
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

func (r *Report) aggregate() error {
	for i := range r.Rows {
		row := &r.Rows[i]
		if len(row.Values) != len(r.Seeds) {
			return fmt.Errorf("%s %s %s has %d figures of %d seeds: %w",
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

// Row returns the row of that name.
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

// WriteMarkdown writes the report as a table in Markdown.
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

// formatFigure writes v with four significant digits.
func formatFigure(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
