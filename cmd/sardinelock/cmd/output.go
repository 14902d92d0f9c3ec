package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/pflag"
)

// outputFormat is the format in which a listing is printed.
type outputFormat string

// The formats of listings.
const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
	outputHTML  outputFormat = "html"
)

// outputFlag is the value of the flag --output.
type outputFlag struct {
	format  outputFormat
	formats []outputFormat // formats that the command supports
}

// register adds the flag. Every command supports a table and JSON; more lists its
// further formats.
func (o *outputFlag) register(f *pflag.FlagSet, more ...outputFormat) {
	o.format = outputTable
	o.formats = append([]outputFormat{outputTable, outputJSON}, more...)
	f.Var(o, "output", "output format: "+o.choices())
}

func (o *outputFlag) choices() string {
	var names []string
	for _, f := range o.formats {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}

// String implements pflag.Value.
func (o *outputFlag) String() string { return string(o.format) }

// Type implements pflag.Value.
func (*outputFlag) Type() string { return "format" }

// Set implements pflag.Value.
func (o *outputFlag) Set(text string) error {
	if !slices.Contains(o.formats, outputFormat(text)) {
		return errors.Errorf("must be one of %s, not %s", o.choices(), text)
	}
	o.format = outputFormat(text)
	return nil
}

// print prints rows as a table under the header, or the value as JSON.
func (o *outputFlag) print(w io.Writer, value any, header []string, rows [][]string) error {
	if o.format == outputJSON {
		return printJSON(w, value)
	}
	return printTable(w, header, rows)
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
