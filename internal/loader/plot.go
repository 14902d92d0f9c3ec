package loader

import (
	"cmp"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a scatter plot of the measured and the ideal response times over the
// run, with the steps marked. The extension of the file name selects the format, such
// as .png or .svg.
func (r *Result) Plot(name string) error {
	const op = "plot"
	p := plot.New()
	p.Title.Text = r.Experiment
	p.X.Label.Text = "arrival in s"
	p.Y.Label.Text = "response in ms"
	points := slices.SortedFunc(slices.Values(r.points), func(a, b point) int { return cmp.Compare(a.arrival, b.arrival) })
	measured, ideal := make(plotter.XYs, len(points)), make(plotter.XYs, len(points))
	for i, pt := range points {
		measured[i] = plotter.XY{X: pt.arrival.Seconds(), Y: float64(pt.latency.Microseconds()) / 1e3}
		ideal[i] = plotter.XY{X: pt.arrival.Seconds(), Y: float64(pt.ideal.Microseconds()) / 1e3}
	}
	if err := addScatter(p, "seen", measured, color.RGBA{R: 200, A: 255}); err != nil {
		return &Error{Op: op, Kind: KindOutput, Err: err}
	}
	if err := addScatter(p, "ideal", ideal, color.RGBA{B: 200, A: 255}); err != nil {
		return &Error{Op: op, Kind: KindOutput, Err: err}
	}
	if err := r.addSteps(p); err != nil {
		return &Error{Op: op, Kind: KindOutput, Err: err}
	}
	if err := p.Save(plotWidth, plotHeight, name); err != nil {
		return &Error{Op: op, Kind: KindOutput, Err: err}
	}
	return nil
}

func addScatter(p *plot.Plot, name string, xys plotter.XYs, c color.Color) error {
	if len(xys) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	s.GlyphStyle.Color = c
	s.GlyphStyle.Radius = vg.Points(1)
	p.Add(s)
	p.Legend.Add(name, s)
	return nil
}

// addSteps labels the plot with the name of each step at the time of the step.
func (r *Result) addSteps(p *plot.Plot) error {
	var labels plotter.XYLabels
	for _, s := range r.Steps {
		labels.XYs = append(labels.XYs, plotter.XY{X: s.At.Seconds()})
		labels.Labels = append(labels.Labels, string(s.Do))
	}
	if len(r.Steps) == 0 {
		return nil
	}
	l, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(l)
	return nil
}
