package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCheck checks one rule with each kind of fault.
func TestCheck(t *testing.T) {
	known := parseMetrics("queued\nanswers_total reason service\n")
	const page = "## Alarms\n### The queue\n    queued > 1\n### Other\n## Tasks\n### A task\n"
	good := func(expr string) string {
		return "groups: [{name: g, rules: [{alert: A, expr: '" + expr + "', annotations: {page: \"OPERATING-ALARMS.md#the-queue\"}}]}]"
	}
	tests := []struct {
		name, rules string
		want        []string
	}{
		{"none but a section without a rule", good("queued > 1"), nil},
		{"syntax", good("queued >"), []string{"A: 1:9: parse error: unexpected end of input"}},
		{"type", good("rate(queued) > 1"), []string{
			"A: 1:6: parse error: expected type range vector in call to function \"rate\", got instant vector",
			"A: docs/OPERATING-ALARMS.md does not repeat the expression",
		}},
		{"metric", good("length > 1"), []string{"A: no process exports \"length\"", "A: docs/OPERATING-ALARMS.md does not repeat the expression"}},
		{"matcher", good("queued{service=\"x\"} > 1"), []string{"A: queued has no label \"service\"", "A: docs/OPERATING-ALARMS.md does not repeat the expression"}},
		{"grouping", good("sum by (team) (rate(answers_total[1m])) > 1"), []string{"A: answers_total has no label \"team\"", "A: docs/OPERATING-ALARMS.md does not repeat the expression"}},
		{"section", strings.Replace(good("queued > 1"), "#the-queue", "#a-task", 1), []string{
			"A: there is no section OPERATING-ALARMS.md#a-task",
			"no rule has the section OPERATING-ALARMS.md#the-queue",
		}},
	}
	for _, test := range tests {
		_, got := check([]byte(test.rules), known, page)
		want := append(test.want, "no rule has the section OPERATING-ALARMS.md#other")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: faults (-want +got):\n%s", test.name, diff)
		}
	}
}
