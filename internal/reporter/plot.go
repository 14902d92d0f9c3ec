package reporter

import (
	"bytes"
	"image/color"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"sardinelock.dev/sardinelock/internal/configurer"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotSpan and plotStep are the retention and the bucket width of the middle tier.
	plotSpan = 6 * time.Hour
	plotStep = 5 * time.Minute
	// plotLines is the maximum number of objectives that are drawn, those with the
	// highest burn rates.
	plotLines = 6
	// plotHeadroom is the top of the plot as a multiple of the highest value.
	// plotMargin is the margin to the right of the last value, in hours.
	plotHeadroom = 1.1
	plotMargin   = 0.1
)

// palette has colours that people with colour vision deficiency can distinguish.
var palette = [plotLines]color.RGBA{
	{0x00, 0x72, 0xb2, 0xff},
	{0xd5, 0x5e, 0x00, 0xff},
	{0x00, 0x9e, 0x73, 0xff},
	{0xcc, 0x79, 0xa7, 0xff},
	{0xe6, 0x9f, 0x00, 0xff},
	{0x56, 0xb4, 0xe9, 0xff},
}

// Plot draws the burn rates of the objectives that use up their budgets fastest, over
// the last six hours, as an SVG image. It returns an error of kind [KindPlot] if
// drawing fails.
func Plot(r *Report, services []configurer.Service, counts *Snapshot) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.ConstantTicks(hourTicks())
	p.Add(plotter.NewGrid())
	highest := 1.0
	for i := range min(plotLines, len(r.Objectives)) {
		b := &r.Objectives[i]
		points := burnRatePoints(r.Made, b, services, counts)
		if len(points) == 0 {
			continue
		}
		for _, xy := range points {
			highest = max(highest, xy.Y)
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, &Error{Op: "plot", Kind: KindPlot, Err: err}
		}
		line.Color = palette[i]
		line.Width = vg.Points(1.5)
		// A line through a single point is invisible, so draw a dot at each point.
		dots.Color = palette[i]
		dots.Shape = draw.CircleGlyph{}
		dots.Radius = vg.Points(2)
		p.Add(line, dots)
	}
	addThresholds(p, highest)
	p.Y.Min = 0
	p.Y.Max = highest * plotHeadroom
	p.X.Min, p.X.Max = -plotSpan.Hours(), plotMargin
	return render(p)
}

// addThresholds draws a dashed line at each threshold up to the highest value.
func addThresholds(p *plot.Plot, highest float64) {
	for _, t := range windowPairs {
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

// burnRatePoints returns the burn rate of each step that had jobs, oldest first.
func burnRatePoints(now time.Time, b *Burn, services []configurer.Service, counts *Snapshot) plotter.XYs {
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
			Y: burnRate(service, b.Objective, bucket),
		})
	}
	return out
}
