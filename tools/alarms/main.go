// Command alarms checks the rules of examples/alarms.yaml without a server.
//
// Every expression must parse, and may use only metrics and labels that a running
// system exports; TestMetricsAreListed keeps the list of them up to date. Every rule
// must name a section of the operators' page, which must repeat the expression of the
// rule, and every section must have a rule. The expressions are parsed by Prometheus'
// own parser. This command is a module of its own so that the product does not depend
// on Prometheus.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The files that are checked against each other, relative to the root of the tree.
const (
	rulesFile   = "examples/alarms.yaml"
	metricsFile = "cmd/sardinelock/cmd/testdata/metrics.txt"
	pageFile    = "docs/OPERATING-ALARMS.md"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: alarms ROOT")
		os.Exit(2)
	}
	var texts [3][]byte
	for i, name := range []string{rulesFile, metricsFile, pageFile} {
		text, err := os.ReadFile(filepath.Join(os.Args[1], name))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		texts[i] = text
	}
	n, faults := check(texts[0], parseMetrics(string(texts[1])), string(texts[2]))
	for _, f := range faults {
		fmt.Println(f)
	}
	if len(faults) > 0 {
		os.Exit(1)
	}
	fmt.Printf("%d rules: every expression parses and uses exported metrics and labels\n", n)
}
