package reporter

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"slices"
	"strconv"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent":  percent,
	"rate":     formatRate,
	"colour":   lineColour,
	"budget":   func(left float64) float64 { return left * 100 },
	"duration": formatDuration,
	"moment":   func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
}).Parse(pageText))

// Page renders the report as an HTML page with a plot. It returns an error of kind
// [KindPlot] if rendering fails.
func Page(r *Report, services []configurer.Service, counts *Snapshot) ([]byte, error) {
	plot, err := Plot(r, services, counts)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	err = pageTemplate.Execute(&buf, struct {
		*Report
		Columns []submitter.Duration
		Plot    template.URL
	}{r, rateWindows(), template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(plot))})
	if err != nil {
		return nil, &Error{Op: "page", Kind: KindPlot, Err: err}
	}
	return buf.Bytes(), nil
}

// rateWindows returns the windows of the burn rates of an objective, shortest first.
func rateWindows() []submitter.Duration {
	var out []submitter.Duration
	for _, p := range windowPairs {
		out = append(out, submitter.Duration(p.short), submitter.Duration(p.long))
	}
	slices.Sort(out)
	return out
}

// lineColour returns the line colour of the objective at an index of
// [Report.Objectives], or "" if the plot does not draw it.
func lineColour(i int) template.CSS {
	if i >= plotLines {
		return ""
	}
	c := palette[i]
	return template.CSS(fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B))
}

func percent(v float64) string { return strconv.FormatFloat(v*100, 'f', -1, 64) + "%" }

func formatRate(v float64) string { return fmt.Sprintf("%.2f", v) }

// formatDuration writes whole days, hours and minutes as a number and a unit, such as
// "6 h", and other durations as [time.Duration.String] does.
func formatDuration(d submitter.Duration) string {
	v := time.Duration(d)
	switch {
	case v >= 24*time.Hour && v%(24*time.Hour) == 0:
		return strconv.Itoa(int(v/(24*time.Hour))) + " d"
	case v >= time.Hour && v%time.Hour == 0:
		return strconv.Itoa(int(v/time.Hour)) + " h"
	case v >= time.Minute && v%time.Minute == 0:
		return strconv.Itoa(int(v/time.Minute)) + " min"
	}
	return v.String()
}
