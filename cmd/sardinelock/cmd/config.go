package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check, show and change the operators' configuration",
		Long: `Check, show and change the operators' configuration.

The configuration is one base file for all sites and an overlay for each site
that needs one. A site is a data centre. docs/CONFIGURATION.md has every key.`,
		Args: cobra.NoArgs,
	}
	c.AddCommand(
		newConfigCheckCommand(),
		newConfigShowCommand(),
		newConfigDiffCommand(),
		newConfigApplyCommand(),
		newConfigHistoryCommand(),
		newConfigRollbackCommand(),
	)
	return c
}

// readFiles reads configuration files. The first is the base.
func readFiles(names []string) (base configurer.File, overlays []configurer.File, err error) {
	for i, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return base, nil, errors.Trace(err)
		}
		f := configurer.File{Name: name, Text: text}
		if i == 0 {
			base = f
			continue
		}
		overlays = append(overlays, f)
	}
	return base, overlays, nil
}

// listFormat is how a listing is printed.
type listFormat string

// The formats of listings.
const (
	formatTable listFormat = "table"
	formatJSON  listFormat = "json"
)

// outputFlag is the flag --output.
type outputFlag struct{ format listFormat }

func (o *outputFlag) register(f *pflag.FlagSet) {
	o.format = formatTable
	f.Var(o, "output", "how to print: table or json")
}

// String implements pflag.Value.
func (o *outputFlag) String() string { return string(o.format) }

// Type implements pflag.Value.
func (*outputFlag) Type() string { return "format" }

// Set implements pflag.Value.
func (o *outputFlag) Set(text string) error {
	switch f := listFormat(text); f {
	case formatTable, formatJSON:
		o.format = f
		return nil
	}
	return errors.Errorf("%q is not table or json", text)
}

// print prints rows as a table under the heading, or the value as JSON.
func (o *outputFlag) print(w io.Writer, value any, heading string, rows []string) error {
	if o.format == formatJSON {
		return printIndented(w, value)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, heading)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	return errors.Trace(t.Flush())
}

func printIndented(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(value))
}
