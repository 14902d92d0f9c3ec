package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/pflag"
)

// outputFormat is how a listing is printed.
type outputFormat string

// The formats of listings.
const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
	outputHTML  outputFormat = "html"
)

// outputFlag is the flag --output.
type outputFlag struct{ format outputFormat }

func (o *outputFlag) register(f *pflag.FlagSet) {
	o.format = outputTable
	f.Var(o, "output", "how to print: table or json")
}

// String implements pflag.Value.
func (o *outputFlag) String() string { return string(o.format) }

// Type implements pflag.Value.
func (*outputFlag) Type() string { return "format" }

// Set implements pflag.Value.
func (o *outputFlag) Set(text string) error {
	switch f := outputFormat(text); f {
	case outputTable, outputJSON:
		o.format = f
		return nil
	}
	return errors.Errorf("%q is not table or json", text)
}

// print prints rows as a table under the heading, or the value as JSON.
func (o *outputFlag) print(w io.Writer, value any, heading string, rows []string) error {
	if o.format == outputJSON {
		return printJSON(w, value)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, heading)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	return errors.Trace(t.Flush())
}

func printJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(value))
}

// printTable prints columns that are two spaces apart. An empty cell is a dash.
func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		for i := range row {
			if row[i] == "" {
				row[i] = "-"
			}
		}
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return errors.Trace(t.Flush())
}
