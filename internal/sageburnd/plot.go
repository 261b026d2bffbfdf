package sageburnd

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot, and the burn rate above which an alert pages the people on call.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	pageRate   = 14.4
)

// Plot writes a plot of the burn rate of the last hour, with a line for each account and priority. The
// extension of the file name (.svg or .png) determines the format.
func Plot(r *Report, file string) error {
	p := plot.New()
	p.Title.Text = "Error budget burn, last hour"
	p.X.Label.Text = "UTC"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	p.Y.Label.Text = "burn rate (1 spends the budget over the period)"
	p.Legend.Top = true
	for i, l := range r.Lines {
		pts := points(&l)
		if len(pts) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(pts)
		if err != nil {
			return fmt.Errorf("plot %s: %w", l.Account, err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(l.Account+" "+l.Priority.String(), line)
	}
	limit := plotter.NewFunction(func(float64) float64 { return pageRate })
	limit.Color = color.RGBA{R: 200, A: 255}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(limit)
	p.Legend.Add("page", limit)
	p.X.Min, p.X.Max = float64(r.At.Add(-time.Hour).Unix()), float64(r.At.Unix())
	p.Y.Min, p.Y.Max = 0, max(p.Y.Max, pageRate*1.2)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

func points(l *Line) plotter.XYs {
	pts := make(plotter.XYs, len(l.History))
	for i, h := range l.History {
		pts[i] = plotter.XY{X: float64(h.At.Unix()), Y: h.Rate}
	}
	return pts
}
