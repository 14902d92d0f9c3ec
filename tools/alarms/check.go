package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/promql/parser"
)

// file is a rule file in the format of Prometheus.
type file struct {
	Groups []struct {
		Name  string `yaml:"name"`
		Rules []rule `yaml:"rules"`
	} `yaml:"groups"`
}

type rule struct {
	Alert       string            `yaml:"alert"`
	Expr        string            `yaml:"expr"`
	For         string            `yaml:"for"`
	Labels      map[string]string `yaml:"labels"`
	Annotations map[string]string `yaml:"annotations"`
}

// metrics maps the name of each metric to its labels.
type metrics map[string][]string

// targetLabels are on every metric: the scraping server adds them.
var targetLabels = []string{"instance", "job"}

// parseMetrics parses lines that each contain the name of a metric and its labels.
// It adds "up", which the scraping server exports.
func parseMetrics(text string) metrics {
	m := metrics{"up": nil}
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) > 0 {
			m[fields[0]] = fields[1:]
		}
	}
	return m
}

// check validates the rules against the exported metrics and the operators' page. It
// returns the number of rules and all faults.
func check(rules []byte, known metrics, page string) (n int, faults []string) {
	var f file
	if err := yaml.UnmarshalWithOptions(rules, &f, yaml.Strict()); err != nil {
		return 0, []string{err.Error()}
	}
	plain := strings.Join(strings.Fields(page), " ")
	used := make(map[string]bool)
	for _, g := range f.Groups {
		for _, r := range g.Rules {
			n++
			fault := func(format string, args ...any) {
				faults = append(faults, r.Alert+": "+fmt.Sprintf(format, args...))
			}
			checkRule(&r, known, fault)
			if !strings.Contains(plain, strings.Join(strings.Fields(r.Expr), " ")) {
				fault("%s does not repeat the expression", pageFile)
			}
			used[r.Annotations["page"]] = true
			if !slices.Contains(sections(page), r.Annotations["page"]) {
				fault("there is no section %s", r.Annotations["page"])
			}
		}
	}
	for _, s := range sections(page) {
		if !used[s] {
			faults = append(faults, "no rule has the section "+s)
		}
	}
	return n, faults
}

func checkRule(r *rule, known metrics, fault func(string, ...any)) {
	if r.For != "" {
		if _, err := time.ParseDuration(r.For); err != nil {
			fault("%v", err)
		}
	}
	expr, err := parser.NewParser(parser.Options{}).ParseExpr(r.Expr)
	if err != nil {
		fault("%v", err)
		return
	}
	checkUse(expr, known, fault)
}

// checkUse checks that the metrics and labels of an expression exist. A grouping
// label must be on every metric within the aggregation.
func checkUse(expr parser.Expr, known metrics, fault func(string, ...any)) {
	parser.Inspect(expr, func(n parser.Node, _ []parser.Node) error {
		switch n := n.(type) {
		case *parser.VectorSelector:
			for _, m := range n.LabelMatchers {
				if m.Name != labels.MetricName {
					checkLabel(n, m.Name, known, fault)
				}
			}
			if _, ok := known[n.Name]; !ok {
				fault("no process exports %q", n.Name)
			}
		case *parser.AggregateExpr:
			for _, name := range n.Grouping {
				for _, s := range selectors(n.Expr) {
					checkLabel(s, name, known, fault)
				}
			}
		}
		return nil
	})
}

func checkLabel(s *parser.VectorSelector, name string, known metrics, fault func(string, ...any)) {
	if !slices.Contains(known[s.Name], name) && !slices.Contains(targetLabels, name) {
		fault("%s has no label %q", s.Name, name)
	}
}

func selectors(expr parser.Expr) []*parser.VectorSelector {
	var out []*parser.VectorSelector
	parser.Inspect(expr, func(n parser.Node, _ []parser.Node) error {
		if s, ok := n.(*parser.VectorSelector); ok {
			out = append(out, s)
		}
		return nil
	})
	return out
}

// sections returns links to the sections of the chapter "Alarms" of the page.
func sections(page string) []string {
	var out []string
	chapter := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		if title, ok := strings.CutPrefix(line, "## "); ok {
			chapter = title == "Alarms"
		}
		if title, ok := strings.CutPrefix(line, "### "); ok && chapter {
			anchor := strings.ReplaceAll(strings.ToLower(title), " ", "-")
			out = append(out, "OPERATING-ALARMS.md#"+anchor)
		}
	}
	return out
}
