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

// Plot writes a figure of the response times over the run, beside the ideal's, and
// the steps. The name's ending chooses the format, such as .png or .svg.
func (r *Result) Plot(name string) error {
	const op = "plot"
	p := plot.New()
	p.Title.Text = r.Experiment
	p.X.Label.Text = "arrival in s"
	p.Y.Label.Text = "response in ms"
	points := slices.SortedFunc(slices.Values(r.points), func(a, b point) int { return cmp.Compare(a.at, b.at) })
	seen, ideal := make(plotter.XYs, len(points)), make(plotter.XYs, len(points))
	for i, pt := range points {
		seen[i] = plotter.XY{X: pt.at.Seconds(), Y: float64(pt.latency.Microseconds()) / 1e3}
		ideal[i] = plotter.XY{X: pt.at.Seconds(), Y: float64(pt.ideal.Microseconds()) / 1e3}
	}
	if err := addScatter(p, "seen", seen, color.RGBA{R: 200, A: 255}); err != nil {
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

// addSteps writes the name of each step at its time.
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
