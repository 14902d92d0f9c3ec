package cmd

import (
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check, show and change the operators' configuration",
		Long: `Check, show and change the operators' configuration.

The configuration consists of one base file for all sites and optional overlays
for single sites. A site is a data centre. docs/CONFIGURATION.md lists every key.`,
		Args: cobra.NoArgs,
	}
	c.AddCommand(
		newConfigCheckCommand(),
		newConfigShowCommand(),
		newConfigDiffCommand(),
		newConfigApplyCommand(),
		newConfigHistoryCommand(),
		newConfigRollbackCommand(),
		newConfigStatusCommand(),
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
