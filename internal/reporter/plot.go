package reporter

import (
	"bytes"
	"image/color"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"sardinelock.dev/sardinelock/internal/configurer"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotSpan and plotStep are those of the middle tier.
	plotSpan = 6 * time.Hour
	plotStep = 5 * time.Minute
	// plotLines bounds the objectives that are drawn; the fastest come first.
	plotLines = 6
	// plotHeadroom and plotMargin leave room above the highest value and to the
	// right of the last, in shares of the height and in hours.
	plotHeadroom = 1.1
	plotMargin   = 0.1
)

// palette has colours that are told apart by people who see colours otherwise.
var palette = [plotLines]color.RGBA{
	{0x00, 0x72, 0xb2, 0xff},
	{0xd5, 0x5e, 0x00, 0xff},
	{0x00, 0x9e, 0x73, 0xff},
	{0xcc, 0x79, 0xa7, 0xff},
	{0xe6, 0x9f, 0x00, 0xff},
	{0x56, 0xb4, 0xe9, 0xff},
}

// Plot draws the burn rate of the fastest objectives over the last six hours as
// an SVG image. It returns an error of kind [KindPlot] if it cannot be drawn.
func Plot(r *Report, services []configurer.Service, counts *Snapshot) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.ConstantTicks(hourTicks())
	p.Add(plotter.NewGrid())
	highest := 1.0
	for i := range min(plotLines, len(r.Objectives)) {
		b := &r.Objectives[i]
		points := curve(r.Made, b, services, counts)
		if len(points) == 0 {
			continue
		}
		for _, xy := range points {
			highest = max(highest, xy.Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, &Error{Op: "plot", Kind: KindPlot, Err: err}
		}
		line.Color = palette[i]
		line.Width = vg.Points(1.5)
		p.Add(line)
	}
	addThresholds(p, highest)
	p.Y.Min = 0
	p.Y.Max = highest * plotHeadroom
	p.X.Min, p.X.Max = -plotSpan.Hours(), plotMargin
	return render(p)
}

// addThresholds draws a line at each threshold that lies within the plot.
func addThresholds(p *plot.Plot, highest float64) {
	for _, t := range pairs {
		if t.threshold > highest {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: -plotSpan.Hours(), Y: t.threshold}, {X: 0, Y: t.threshold}})
		if err != nil {
			continue
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		line.Color = color.Gray{0x60}
		p.Add(line)
	}
}

func hourTicks() []plot.Tick {
	var out []plot.Tick
	for hour := -int(plotSpan.Hours()); hour <= 0; hour++ {
		out = append(out, plot.Tick{Value: float64(hour), Label: strconv.Itoa(hour)})
	}
	return out
}

func render(p *plot.Plot) ([]byte, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, &Error{Op: "plot", Kind: KindPlot, Err: err}
	}
	var buf bytes.Buffer
	if _, err := w.WriteTo(&buf); err != nil {
		return nil, &Error{Op: "plot", Kind: KindPlot, Err: err}
	}
	return buf.Bytes(), nil
}

// curve returns the burn rate of each step that had jobs, the oldest first.
func curve(now time.Time, b *Burn, services []configurer.Service, counts *Snapshot) plotter.XYs {
	var service *configurer.Service
	for i := range services {
		if services[i].Name == b.Service {
			service = &services[i]
		}
	}
	buckets := make(map[int64]*Bucket)
	if c := counts.service(b.Service); len(c.Tiers) > 1 {
		for i := range c.Tiers[1] {
			buckets[c.Tiers[1][i].Start] = &c.Tiers[1][i]
		}
	}
	var out plotter.XYs
	last := now.Truncate(plotStep)
	for at := last.Add(-plotSpan); !at.After(last); at = at.Add(plotStep) {
		bucket := buckets[at.Unix()]
		if bucket == nil || service == nil || bucket.Jobs == 0 {
			continue
		}
		out = append(out, plotter.XY{
			X: max(at.Sub(now).Hours(), -plotSpan.Hours()),
			Y: rate(service, b.Objective, bucket),
		})
	}
	return out
}
